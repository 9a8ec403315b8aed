//! What a broker asks its shell to do.

use std::fmt;
use std::time::Instant;

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::claim;
use crate::lead;

/// An output of [`crate::Broker::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A request may use a connection.
    Grant(Grant),
    /// A request is refused; it has not been sent to any member.
    Refuse(Refuse),
    /// Open a connection to a member.
    Open {
        /// Its number from now on.
        conn: id::ConnId,
        /// The member.
        member: id::MemberId,
    },
    /// Close an idle connection.
    Close(id::ConnId),
    /// Ask on this idle connection whether the member leads; the connection is lent until it is returned.
    Probe {
        /// The connection.
        conn: id::ConnId,
        /// The member.
        member: id::MemberId,
    },
    /// Ask a member about its standing, or change it.
    Ask {
        /// The group.
        group: id::GroupId,
        /// The member.
        member: id::MemberId,
        /// The question.
        question: Question,
        /// An idle connection to ask on, lent until it is returned; none if one has to be opened for it.
        conn: Option<id::ConnId>,
    },
    /// Read the group's claim row.
    LoadClaim(id::GroupId),
    /// Write the group's claim row if its revision is still this one.
    StoreClaim {
        /// The group.
        group: id::GroupId,
        /// The row.
        claim: claim::Claim,
        /// Revision that the row must have; 0 if it must not exist.
        revision: u64,
    },
    /// Order a member to take the lead.
    Order {
        /// The group.
        group: id::GroupId,
        /// The member.
        member: id::MemberId,
        /// Fencing token.
        token: u64,
    },
    /// A change of belief, for the log.
    Note(Note),
}

/// A connection for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// The request.
    pub request: id::RequestId,
    /// The connection.
    pub conn: id::ConnId,
    /// The member at its other end.
    pub member: id::MemberId,
    /// Point that the member's log has to have reached; the member is told, and refuses otherwise.
    pub floor: Option<floor::Point>,
    /// Whether the member has to show that it leads before the request is sent.
    pub verify: bool,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refuse {
    /// The request.
    pub request: id::RequestId,
    /// Why.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry_at: Instant,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No member of the group is known.
    NoMember,
    /// Nobody leads the group, and nobody is expected to in time.
    NoLeader,
    /// Its turn would come too late.
    Overload,
    /// No member could be had before its deadline.
    Late,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoMember => "no member known",
            Self::NoLeader => "no leader",
            Self::Overload => "overload",
            Self::Late => "no member free in time",
        })
    }
}

/// A question to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Question {
    /// What is your standing?
    Status,
    /// Stop receiving from leaders below this term.
    Hold(id::Term),
    /// Receive again.
    Release {
        /// When this must no longer be sent: another proxy may hold the member by then.
        until: Instant,
    },
    /// Stop leading terms below this one.
    Demote(id::Term),
}

/// A change of belief.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// Another member leads, or none.
    Leader {
        /// The group.
        group: id::GroupId,
        /// The member.
        member: Option<id::MemberId>,
        /// The newest term seen.
        term: id::Term,
    },
    /// A replacement of a leader has reached another step.
    Failover {
        /// The group.
        group: id::GroupId,
        /// Why it is replaced.
        reason: lead::Reason,
        /// The step.
        step: &'static str,
        /// Fencing token; 0 before there is one.
        token: u64,
        /// The member that is to lead, once chosen.
        target: Option<id::MemberId>,
    },
    /// A member does not answer, or answers again.
    Reachable {
        /// The member.
        member: id::MemberId,
        /// Whether it answers.
        reachable: bool,
    },
    /// A member counts as gone.
    Gone(id::MemberId),
}
