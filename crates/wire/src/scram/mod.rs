//! SCRAM-SHA-256 authentication (RFC 5802, RFC 7677) of callers.
//!
//! A [`Verifier`] holds the salted keys that check a password without revealing it; its text form is the one that
//! PostgreSQL stores. [`server::Exchange`] runs the server side of a login.

pub mod server;

pub use fulmarlift_config::verifier::{Key, Scram as Verifier};

/// SASL name of the mechanism.
pub const MECHANISM: &str = "SCRAM-SHA-256";
