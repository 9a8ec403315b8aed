//! Read indexes: the points that reads without a token must see.

use std::time::Instant;

use crate::floor;
use crate::id;
use crate::sorted;

/// Reads that wait for their read index: the newest point that a majority of members reports in answer to control
/// requests sent after the read's arrival.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct ReadIndexWaits {
    waiting: sorted::Map<id::RequestId, WaitingRead>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct WaitingRead {
    arrived_at: Instant,
    /// Members that answered a request sent since the arrival.
    answered_by: Vec<id::MemberId>,
    /// Newest point among their answers.
    newest: floor::Point,
}

impl ReadIndexWaits {
    /// Adds a read that arrived at `arrived_at`.
    pub fn add(&mut self, request: id::RequestId, arrived_at: Instant) {
        let waiting = WaitingRead {
            arrived_at,
            answered_by: Vec::new(),
            newest: floor::Point::default(),
        };
        self.waiting.insert(request, waiting);
    }

    /// Removes a read that no longer waits.
    pub fn remove(&mut self, request: id::RequestId) {
        self.waiting.remove(request);
    }

    /// Returns whether no read waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a read needs another answer of the member, whose newest answer is to a control request sent at
    /// `sent_at`.
    pub fn needs_answer(&self, member: id::MemberId, sent_at: Option<Instant>) -> bool {
        self.waiting.values().any(|waiting| {
            !waiting.answered_by.contains(&member)
                && sent_at.is_none_or(|at| at < waiting.arrived_at)
        })
    }

    /// Records a member's answer to a control request sent at `sent_at`. Returns the reads whose index is now known.
    ///
    /// A majority of logs holds every acknowledged write and never drops it. So the newest point among any majority
    /// that answers requests sent after the read's arrival is at or past every write acknowledged before the
    /// arrival. The reports need not be of the same term, since points are ordered across terms.
    pub fn record_report(
        &mut self,
        member: id::MemberId,
        sent_at: Instant,
        last: floor::Point,
        majority: usize,
    ) -> Vec<(id::RequestId, floor::Point)> {
        let mut indexed = Vec::new();
        self.waiting.retain(|request, waiting| {
            if sent_at < waiting.arrived_at || waiting.answered_by.contains(&member) {
                return true;
            }
            waiting.answered_by.push(member);
            waiting.newest = waiting.newest.max(last);
            if waiting.answered_by.len() < majority {
                return true;
            }
            indexed.push((request, waiting.newest));
            false
        });
        indexed
    }
}
