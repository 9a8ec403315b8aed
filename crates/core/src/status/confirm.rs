//! Commits that wait for a majority.

use crate::event;
use crate::floor;
use crate::id;
use crate::sorted;

/// Commits whose acknowledgement is held until a majority of members report their term and position.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    waiting: sorted::Map<id::RequestId, Waiting>,
}

#[derive(Clone, Debug)]
struct Waiting {
    point: floor::Point,
    votes: Vec<id::MemberId>,
}

impl Confirmations {
    /// Adds a commit; the primary has voted by reporting it.
    pub fn add(&mut self, request: id::RequestId, point: floor::Point, primary: id::MemberId) {
        let votes = vec![primary];
        self.waiting.insert(request, Waiting { point, votes });
    }

    /// Removes a commit that no longer waits.
    pub fn remove(&mut self, request: id::RequestId) {
        self.waiting.remove(request);
    }

    /// Returns the lowest position for which the member's vote is missing.
    pub fn wanted(&self, member: id::MemberId) -> Option<id::Position> {
        self.waiting
            .values()
            .filter(|waiting| !waiting.votes.contains(&member))
            .map(|waiting| waiting.point.position)
            .min()
    }

    /// Takes in a member's report and returns the commits that a majority now confirms.
    ///
    /// A member votes only while it is at the commit's own term: one that was fenced at a later term
    /// may belong to a majority that has elected a log without the commit.
    pub fn report(
        &mut self,
        member: id::MemberId,
        status: event::Status,
        majority: usize,
    ) -> Vec<(id::RequestId, floor::Point)> {
        let mut done = Vec::new();
        self.waiting.retain(|request, waiting| {
            if !votes_for(status, waiting.point) || waiting.votes.contains(&member) {
                return true;
            }
            waiting.votes.push(member);
            if waiting.votes.len() < majority {
                return true;
            }
            done.push((request, waiting.point));
            false
        });
        done
    }
}

fn votes_for(status: event::Status, point: floor::Point) -> bool {
    status.term == point.term
        && status.last.term == point.term
        && status.last.position >= point.position
}
