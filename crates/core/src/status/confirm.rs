//! Commits that wait for a majority.

use crate::event;
use crate::floor;
use crate::id;
use crate::sorted;

/// Commits whose acknowledgement is held until a majority of members report their term and position.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Confirmations {
    waiting: sorted::Map<id::RequestId, Waiting>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Waiting {
    point: floor::Point,
    /// Members whose log was seen to hold the commit.
    votes: Vec<id::MemberId>,
    /// Members that were seen at a later term without the commit.
    without: Vec<id::MemberId>,
}

/// What a report decided about commits.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decided {
    /// Commits that a majority confirms.
    pub confirmed: Vec<(id::RequestId, floor::Point)>,
    /// Commits that a majority can no longer be expected to confirm; their outcome stays unknown.
    pub unconfirmed: Vec<id::RequestId>,
}

/// What a member's report says about a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Word {
    /// The member's log holds the commit, by a report that counts.
    Vote,
    /// The member may still get the commit from the primary that made it.
    Open,
    /// The member has left the commit's term without it.
    Without,
    /// The history that a later primary carries on has another entry in the commit's place.
    Replaced,
}

impl Confirmations {
    /// Adds a commit; the primary has voted by reporting it.
    pub fn add(&mut self, request: id::RequestId, point: floor::Point, primary: id::MemberId) {
        let waiting = Waiting {
            point,
            votes: vec![primary],
            without: Vec::new(),
        };
        self.waiting.insert(request, waiting);
    }

    /// Removes a commit that no longer waits.
    pub fn remove(&mut self, request: id::RequestId) {
        self.waiting.remove(request);
    }

    /// Returns whether no commit waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the lowest position for which the member's vote is missing.
    pub fn wanted(&self, member: id::MemberId) -> Option<id::Position> {
        let missing = |waiting: &&Waiting| {
            !waiting.votes.contains(&member) && !waiting.without.contains(&member)
        };
        let positions = self.waiting.values().filter(missing);
        positions.map(|waiting| waiting.point.position).min()
    }

    /// Takes in a report of one of `members` members and returns what it decides.
    pub fn report(
        &mut self,
        member: id::MemberId,
        status: event::Status,
        members: usize,
    ) -> Decided {
        let mut decided = Decided::default();
        self.waiting.retain(|request, waiting| {
            match word(status, waiting.point) {
                Word::Vote => add(&mut waiting.votes, member),
                Word::Without => add(&mut waiting.without, member),
                Word::Open => {}
                Word::Replaced => {
                    decided.unconfirmed.push(request);
                    return false;
                }
            }
            if waiting.votes.len() > members / 2 {
                decided.confirmed.push((request, waiting.point));
                return false;
            }
            if waiting.lost(members) {
                decided.unconfirmed.push(request);
                return false;
            }
            true
        });
        decided
    }
}

impl Waiting {
    /// Returns whether the members that may still vote no longer make a majority with those that did.
    fn lost(&self, members: usize) -> bool {
        let votes = &self.votes;
        let without = self.without.iter().filter(|id| !votes.contains(id));
        members.saturating_sub(without.count()) <= members / 2
    }
}

fn add(members: &mut Vec<id::MemberId>, member: id::MemberId) {
    if !members.contains(&member) {
        members.push(member);
    }
}

/// Weighs a report.
///
/// A log that ends within the commit's own term at or past its position holds the commit. It counts while
/// the member is at that term, or at the very next one. In the next term the log is either as it was when
/// the member was fenced, or it was taken from the next term's primary, which then holds the commit too;
/// in both cases every log that a later promotion can choose holds it. Past the next term that no longer
/// follows: a primary between may have started from a log without the commit, and that log wins a later
/// promotion.
fn word(status: event::Status, point: floor::Point) -> Word {
    let holds = status.last.term == point.term && status.last.position >= point.position;
    if holds && (status.term == point.term || status.term == point.term + 1) {
        return Word::Vote;
    }
    if status.term <= point.term {
        return Word::Open;
    }
    if status.primary && status.term_start <= point.position {
        return Word::Replaced;
    }
    Word::Without
}
