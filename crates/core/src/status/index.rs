//! Read indexes: the points that reads without a token must see.

use std::time::Instant;

use crate::floor;
use crate::id;
use crate::sorted;

/// Reads that wait for their read index: the newest point that a majority of members reports in answer to control
/// requests sent after the read's arrival.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Indexes {
    waiting: sorted::Map<id::RequestId, Waiting>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Waiting {
    arrived_at: Instant,
    votes: Vec<id::MemberId>,
    newest: floor::Point,
}

impl Indexes {
    /// Adds a read that arrived at `arrived_at`.
    pub fn add(&mut self, request: id::RequestId, arrived_at: Instant) {
        let waiting = Waiting {
            arrived_at,
            votes: Vec::new(),
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

    /// Returns whether a read needs an answer of the member to a control request sent later than `started_at`.
    pub fn wants(&self, member: id::MemberId, started_at: Option<Instant>) -> bool {
        self.waiting.values().any(|waiting| {
            !waiting.votes.contains(&member) && started_at.is_none_or(|at| at < waiting.arrived_at)
        })
    }

    /// Records a member's answer to a control request sent at `started_at`, and returns the reads whose index is now
    /// known.
    ///
    /// A majority of logs holds every acknowledged write and never drops it. So the newest point among any majority
    /// that answers requests sent after the read's arrival is at or past every write acknowledged before the
    /// arrival. The reports need not be of the same term, since points are ordered across terms.
    pub fn report(
        &mut self,
        member: id::MemberId,
        started_at: Instant,
        last: floor::Point,
        majority: usize,
    ) -> Vec<(id::RequestId, floor::Point)> {
        let mut done = Vec::new();
        self.waiting.retain(|request, waiting| {
            if started_at < waiting.arrived_at || waiting.votes.contains(&member) {
                return true;
            }
            waiting.votes.push(member);
            waiting.newest = waiting.newest.max(last);
            if waiting.votes.len() < majority {
                return true;
            }
            done.push((request, waiting.newest));
            false
        });
        done
    }
}
