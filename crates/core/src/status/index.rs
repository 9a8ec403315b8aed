//! Read indexes: the point that a read without a token must see.

use std::time::Instant;

use crate::floor;
use crate::id;
use crate::sorted;

/// Reads that wait for a majority of members to answer questions that started after they arrived.
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
    /// Adds a read.
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

    /// Returns whether a read waits for an answer of the member to a question started after `started_at`.
    pub fn wants(&self, member: id::MemberId, started_at: Option<Instant>) -> bool {
        self.waiting.values().any(|waiting| {
            !waiting.votes.contains(&member) && started_at.is_none_or(|at| at < waiting.arrived_at)
        })
    }

    /// Takes in a member's report and returns the reads whose index is known by it.
    ///
    /// Every acknowledged write is on a majority of logs and never dropped from one, so the newest point
    /// among any majority that was asked after the read's arrival is at or past all that was acknowledged
    /// before it. The reports need not be of the same term, since points order across terms.
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
