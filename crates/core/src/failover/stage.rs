//! Stages of a failover.

use std::time::Instant;

use crate::event;
use crate::failover::{TermAnswers, TermRequests};
use crate::id;

/// Stage of a failover, with its data.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// No attempt is under way.
    Idle,
    /// The proxy waits for its rank's delay and for new answers of the members before it claims a term.
    Waiting {
        /// When the stage began; before the claim every reachable member must answer a request sent since then, or
        /// since `claim_at` if the primary has lost its majority.
        since: Instant,
        /// Earliest time of the claim.
        claim_at: Instant,
        /// Highest known term when the stage began.
        term: id::Term,
    },
    /// The proxy claims the term in the platform's table.
    Claiming {
        /// Identifier that the platform's answer carries.
        control_request: id::ControlRequestId,
        /// Term that is claimed.
        term: id::Term,
        /// When the proxy stops waiting for the platform, and the members' grants alone decide.
        deadline: Instant,
        /// When the claim expires.
        until: Instant,
    },
    /// The proxy fences only the primary, and waits for a replica to reach the primary's last entry.
    HandingOver {
        /// Fence of the primary.
        requests: TermRequests,
        /// The primary and its status after the fence, once it has granted the term.
        fenced: Option<(id::MemberId, event::Status)>,
    },
    /// The proxy fences members until a majority has granted the term.
    Fencing {
        /// Fences of the members.
        requests: TermRequests,
        /// Grants received so far.
        answers: TermAnswers,
    },
    /// The proxy promotes a member.
    Promoting {
        /// Promotion of the member.
        requests: TermRequests,
        /// Member that is to become the primary.
        member: id::MemberId,
    },
}

/// Name of a [`Stage`], for log lines.
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
    /// Returns the name of the stage.
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
