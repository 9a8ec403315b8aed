//! Questions that proxies ask each other over TCP, and their answers.

use serde::{Deserialize, Serialize};

/// A question to a peer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Asks for the document of a configuration version.
    Document {
        /// Version of the document.
        version: u64,
        /// Digest of the document.
        digest: Box<str>,
    },
    /// Asks the peer to cancel the statement that one of its sessions is running.
    Cancel {
        /// Process ID in the cancel key that the peer gave the caller.
        pid: i32,
        /// Secret in the cancel key that the peer gave the caller.
        secret: Vec<u8>,
    },
}

/// An answer of a peer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Text of the document.
    Document(Box<str>),
    /// The peer does not have this document in force.
    Absent,
    /// The peer has processed the cancel request.
    Cancelled,
}
