//! answer
