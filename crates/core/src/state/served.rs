//! Counts of reads by who served them.

use crate::group;
use crate::id;
use crate::request;

/// Reads sent to members since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Served {
    /// Reads sent to replicas.
    pub replica_reads: u64,
    /// Reads sent to primaries.
    pub primary_reads: u64,
}

impl Served {
    /// Counts a dispatched request.
    pub fn count(&mut self, kind: request::Kind, group: &group::Group, member: id::MemberId) {
        let primary = group.watch.primary().map(|primary| primary.id);
        match (kind.is_read(), primary == Some(member)) {
            (true, true) => self.primary_reads += 1,
            (true, false) => self.replica_reads += 1,
            (false, _) => {}
        }
    }

    /// Returns the share of reads that replicas served; 1 without any reads.
    pub fn replica_share(&self) -> f64 {
        match self.replica_reads + self.primary_reads {
            0 => 1.0,
            reads => self.replica_reads as f64 / reads as f64,
        }
    }
}
