//! class
