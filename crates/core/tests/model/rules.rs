//! Bounds of a search, the mechanism that it leaves out, and messages to members.

use std::time::{Duration, Instant};

use crate::model::member::BrokenRules;

/// Number of claimants.
pub const CLAIMANTS: usize = 2;

/// Bounds of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of attempts of each claimant.
    pub attempts: [u8; CLAIMANTS],
    /// Maximum number of writes.
    pub writes: u8,
    /// Whether a read without a token may arrive.
    pub reads: bool,
    /// Whether a report may arrive after newer ones.
    pub delayed_reports: bool,
    /// Whether a member's answer to a claimant may be lost. The request may always be.
    pub lost_answers: bool,
    /// Whether a claimant may hand the primary role over from a primary that answers.
    pub handovers: bool,
}

/// Mechanism that a search leaves out, to show that it then finds a violation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mutation {
    /// All mechanisms are in place.
    #[default]
    None,
    /// A log that holds a commit confirms it, whatever the member's term.
    VoteAtAnyTerm,
    /// The primary alone confirms a commit.
    AcknowledgeAlone,
    /// A claimant promotes the first member that granted the term, not the most advanced one.
    PromoteFirst,
    /// One grant counts for two.
    FenceMinority,
    /// A claimant may use a term again.
    ReuseTerm,
    /// A member grants a term to every claimant.
    SharedGrants,
    /// A fenced replica applies entries of older terms.
    FollowOlder,
    /// A read index is the point that any one member reports that takes itself for the primary.
    IndexOfPrimary,
    /// A read index counts answers to requests that were sent before the read arrived.
    IndexOfEarlierAnswers,
}

/// A message to a member that has not been delivered. A message that is never delivered is lost.
///
/// A member's answer is lost, or it arrives in the step that made it. A later arrival would only delay the claimant's
/// next message, since a fenced log does not change.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Message {
    Fence(SentRequest),
    Promote(SentRequest),
}

/// A fence or promotion that a claimant sends to a member.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SentRequest {
    pub claimant: usize,
    pub member: usize,
    pub term: u8,
    pub control_request: u64,
}

/// Parameters of a search.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub bounds: Bounds,
    pub mutation: Mutation,
    pub now: Instant,
}

impl Rules {
    /// Returns the members' rules that the mutation breaks.
    pub fn broken_rules(&self) -> BrokenRules {
        BrokenRules {
            shared_grants: self.mutation == Mutation::SharedGrants,
            follows_older: self.mutation == Mutation::FollowOlder,
        }
    }

    /// Returns a time before the read arrives.
    pub fn before_read(&self) -> Instant {
        self.now
    }

    /// Returns when the read arrives.
    pub fn read_at(&self) -> Instant {
        self.now + Duration::from_secs(1)
    }
}
