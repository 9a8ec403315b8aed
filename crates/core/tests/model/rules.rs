//! Bounds of a search, mechanisms that it leaves out, and messages.

use std::time::{Duration, Instant};

use crate::model::member::Broken;

/// Claimants.
pub const CLAIMANTS: usize = 2;

/// How far the search goes.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub attempts: [u8; CLAIMANTS],
    pub writes: u8,
    pub reads: bool,
    /// Whether a report may be overtaken by others.
    pub delayed_reports: bool,
    /// Whether a member's answer to a claimant may be lost, besides the question.
    pub lost_answers: bool,
    /// Whether a primary that serves may be moved.
    pub moves: bool,
}

/// A mechanism left out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mutation {
    /// All mechanisms are in place.
    #[default]
    None,
    /// A log that holds a commit counts whatever the member's term.
    VoteAtAnyTerm,
    /// The primary's word acknowledges.
    AcknowledgeAlone,
    /// The first member that was fenced is promoted, not the most advanced.
    PromoteFirst,
    /// One grant counts for two.
    FenceMinority,
    /// A claimant may use a term again.
    ReuseTerm,
    /// A member grants a term to every claimant.
    SharedGrants,
    /// A fenced replica applies entries of older terms.
    FollowOlder,
    /// A read index is the word of a member that believes itself primary.
    IndexOfPrimary,
    /// A read index counts answers to questions that were asked before the read arrived.
    IndexOfEarlierAnswers,
}

/// A message under way. One that is never delivered is lost.
///
/// A member's answer is lost or arrives with the step that made it: a claimant that gets it later differs
/// only in that its own next message is under way for longer, since a fenced log does not change.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Message {
    Fence(Question),
    Promote(Question),
}

/// A question of a claimant to a member.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Question {
    pub claimant: usize,
    pub member: usize,
    pub term: u8,
    pub control_request: u64,
}

/// What holds for a whole search.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub bounds: Bounds,
    pub mutation: Mutation,
    pub now: Instant,
}

impl Rules {
    /// Returns which of the members' rules are broken.
    pub fn broken(&self) -> Broken {
        Broken {
            shared_grants: self.mutation == Mutation::SharedGrants,
            follows_older: self.mutation == Mutation::FollowOlder,
        }
    }

    /// Returns when questions before the read start.
    pub fn before_read(&self) -> Instant {
        self.now
    }

    /// Returns when the read arrives.
    pub fn read_at(&self) -> Instant {
        self.now + Duration::from_secs(1)
    }
}
