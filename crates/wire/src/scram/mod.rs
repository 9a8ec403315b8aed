//! SCRAM-SHA-256 (RFC 5802, RFC 7677) for logins of callers.
//!
//! A [`Verifier`] holds what is needed to check a password without knowing it, in the text form that PostgreSQL
//! stores. [`server::Exchange`] runs the server's side of one login.

pub mod server;

pub use fulmarlift_config::verifier::{Key, Scram as Verifier};

/// Name of the mechanism in the protocol.
pub const MECHANISM: &str = "SCRAM-SHA-256";
