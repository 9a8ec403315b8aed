//! scram
