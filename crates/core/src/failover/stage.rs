//! Where a failover stands.

use std::time::Instant;

use crate::event;
use crate::failover::{Attempt, Fencing};
use crate::id;

/// Where a failover stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// The primary serves.
    Idle,
    /// The primary is to be replaced once proxies of a higher rank have had their turn.
    Waiting {
        /// When the primary was first missed.
        since: Instant,
        /// When this proxy starts.
        start_at: Instant,
        /// Highest term known then.
        term: id::Term,
    },
    /// The term is being claimed in the platform's table.
    Claiming {
        /// The question.
        ask: id::AskId,
        /// The term.
        term: id::Term,
        /// When the members' grants decide alone.
        deadline: Instant,
        /// When the claim lapses.
        until: Instant,
    },
    /// The primary has been fenced alone, and a replica is to reach its last entry.
    HandingOver {
        /// The attempt.
        attempt: Attempt,
        /// The primary's grant.
        fenced: Option<(id::MemberId, event::Status)>,
    },
    /// Members are being fenced at the term.
    Fencing {
        /// The attempt.
        attempt: Attempt,
        /// Grants so far.
        fencing: Fencing,
    },
    /// A member is being promoted.
    Promoting {
        /// The attempt.
        attempt: Attempt,
        /// The member.
        member: id::MemberId,
    },
}

/// The stage without its data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StageName {
    /// See [`Stage::Idle`].
    Idle,
    /// See [`Stage::Waiting`].
    Waiting,
    /// See [`Stage::Claiming`].
    Claiming,
    /// See [`Stage::HandingOver`].
    HandingOver,
    /// See [`Stage::Fencing`].
    Fencing,
    /// See [`Stage::Promoting`].
    Promoting,
}

impl Stage {
    /// Returns the stage without its data.
    pub fn name(&self) -> StageName {
        match self {
            Self::Idle => StageName::Idle,
            Self::Waiting { .. } => StageName::Waiting,
            Self::Claiming { .. } => StageName::Claiming,
            Self::HandingOver { .. } => StageName::HandingOver,
            Self::Fencing { .. } => StageName::Fencing,
            Self::Promoting { .. } => StageName::Promoting,
        }
    }
}
