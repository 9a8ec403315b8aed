//! Revisions of the store, which order its changes.
//!
//! The store may come back from an older copy of itself. What was written since the copy is lost, and the store counts its
//! versions on from the copy's, so it gives out some of them again. It starts a new era then. So a version alone does not order
//! two changes, but the era and the version together do.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of the store's era: the number of times that it has come back older, plus a constant. 0 for a store that does not
/// tell it, which counts as one that never comes back older.
pub type Era = u64;

/// A state of the store. Revisions order by era first.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era in which the store answered.
    pub era: Era,
    /// Number of the newest change in that era; 0 before the first one, or for a row that does not exist.
    pub version: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}
