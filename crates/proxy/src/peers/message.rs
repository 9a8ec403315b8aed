//! Questions between proxies.

use serde::{Deserialize, Serialize};

/// A question to a peer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// The document of a configuration version.
    Document {
        /// Its version.
        version: u64,
        /// Its digest.
        digest: Box<str>,
    },
    /// Cancel what a session of the peer is running.
    Cancel {
        /// Process number that the peer gave the caller.
        pid: i32,
        /// Secret that the peer gave the caller.
        secret: Vec<u8>,
    },
}

/// A peer's answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The document's text.
    Document(Box<str>),
    /// The peer has another version.
    Absent,
    /// The cancel request was taken.
    Cancelled,
}
