//! Commits that wait until a majority of members has them.

use crate::event;
use crate::floor;
use crate::id;
use crate::sorted;

/// Commits that are acknowledged once a majority of members reports a log that holds them.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Confirmations {
    waiting: sorted::Map<id::RequestId, Waiting>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Waiting {
    point: floor::Point,
    /// Members that reported a log with the commit.
    votes: Vec<id::MemberId>,
    /// Members that reported a later term and a log without the commit.
    without: Vec<id::MemberId>,
}

/// Commits that a report decided.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decided {
    /// Commits that a majority of members holds.
    pub confirmed: Vec<(id::RequestId, floor::Point)>,
    /// Commits that a majority can no longer confirm; their outcome stays unknown.
    pub unconfirmed: Vec<id::RequestId>,
}

/// Meaning of a member's report for a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Word {
    /// The member's log holds the commit, and the report counts towards the majority.
    Vote,
    /// The member may still get the commit from the primary that made it.
    Open,
    /// The member is at a later term and its log lacks the commit.
    Without,
    /// A later primary has another entry at the commit's position.
    Replaced,
}

impl Confirmations {
    /// Adds a commit, with the primary that reported it as its first vote.
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

    /// Returns the lowest position of a commit on which the member has not decided.
    pub fn wanted(&self, member: id::MemberId) -> Option<id::Position> {
        let missing = |waiting: &&Waiting| {
            !waiting.votes.contains(&member) && !waiting.without.contains(&member)
        };
        let positions = self.waiting.values().filter(missing);
        positions.map(|waiting| waiting.point.position).min()
    }

    /// Records a report of one of `members` members and returns the commits that it decides.
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
    /// Returns whether the members that have voted and those that still may form no majority.
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

/// Returns the meaning of a report for the commit at `point`.
///
/// A log that ends in the commit's term, at or past the commit's position, holds the commit. The report counts
/// while the member is at that term or the next one. At the next term the log is either unchanged since the member
/// was fenced, or it was copied from the next term's primary, which then holds the commit too; in both cases every
/// log that a later promotion can choose holds the commit. At later terms this does not follow: a primary of a term
/// in between may have started from a log without the commit, and its log may win a later promotion.
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
