//! Counts the reads sent to replicas and to primaries.

use crate::group;
use crate::id;
use crate::request;

/// Numbers of reads sent to members since the start of the proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadCounts {
    /// Number of reads sent to replicas.
    pub replica_reads: u64,
    /// Number of reads sent to primaries.
    pub primary_reads: u64,
}

impl ReadCounts {
    /// Counts a dispatched request if it is a read.
    pub fn count(&mut self, kind: request::Kind, group: &group::Group, member: id::MemberId) {
        let primary = group.watch.primary().map(|primary| primary.id);
        match (kind.is_read(), primary == Some(member)) {
            (true, true) => self.primary_reads += 1,
            (true, false) => self.replica_reads += 1,
            (false, _) => {}
        }
    }

    /// Returns the share of reads that were sent to replicas, from 0 to 1; 1 before the first read.
    pub fn replica_share(&self) -> f64 {
        match self.replica_reads + self.primary_reads {
            0 => 1.0,
            reads => self.replica_reads as f64 / reads as f64,
        }
    }
}
