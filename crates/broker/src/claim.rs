//! The row by which one proxy at a time replaces the leader of a group.

use serde::{Deserialize, Serialize};

/// Contents of a group's claim row. Every change is conditional on the row's revision.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the proxy that claimed last, with its incarnation.
    pub holder: Box<str>,
    /// Fencing token; every claim takes the next one.
    pub token: u64,
    /// Member that has been, or may have been, ordered to take the lead.
    pub target: Option<Box<str>>,
    /// Whether the order to `target` is known to have ended.
    pub settled: bool,
    /// When others may take over, on the store's clock.
    pub until_ms: u64,
}

/// A claim row with what the store says about it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// The claim; the default where the row does not exist.
    pub claim: Claim,
    /// Revision of the row; 0 where it does not exist.
    pub revision: u64,
    /// The store's clock when it was read.
    pub now_ms: u64,
}

/// The row's bytes are not a claim.
#[derive(Debug, thiserror::Error)]
#[error("the claim row cannot be decoded: {0}")]
pub struct Malformed(#[from] postcard::Error);

impl Claim {
    /// Encodes the row.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a claim of plain values always encodes")
    }

    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// [`Malformed`] when the bytes were not made by [`Claim::to_bytes`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Malformed> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Returns the member whose promotion may still take effect.
    pub fn pending(&self) -> Option<&str> {
        self.target.as_deref().filter(|_| !self.settled)
    }
}
