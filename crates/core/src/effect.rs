//! Everything that a proxy's shell is asked to do.

use std::time::Instant;

use crate::floor;
use crate::id;
use crate::peer;

/// An output of [`crate::State::step`]. Running one never blocks.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request on this connection.
    Dispatch(Dispatch),
    /// Answer that the request did not run.
    Refuse(Refuse),
    /// Let the answer go to the caller: the write at this point is safe.
    Acknowledge {
        /// The request.
        request: id::RequestId,
        /// Group that was written.
        group: id::GroupId,
        /// The commit's point.
        point: floor::Point,
    },
    /// Answer that the outcome is unknown.
    Unconfirmed(id::RequestId),
    /// Give up what the request runs; the connection is returned with the outcome.
    Interrupt(id::RequestId),
    /// Open a connection to a member.
    Open {
        /// The connection.
        conn: id::ConnId,
        /// Group of the member.
        group: id::GroupId,
        /// The member.
        member: id::MemberId,
        /// When to give up.
        deadline: Instant,
    },
    /// Close a connection.
    Close(id::ConnId),
    /// Ask a member for its status.
    AskStatus {
        /// The question.
        control_request: id::ControlRequestId,
        /// Group of the member.
        group: id::GroupId,
        /// The member.
        member: id::MemberId,
        /// The member holds its answer until its log has reached this position; 0 asks at once.
        min_position: id::Position,
        /// When to give up.
        deadline: Instant,
    },
    /// Fence a member at a term.
    Fence(Grant),
    /// Promote a member at a term.
    Promote(Grant),
    /// Claim a term in the platform's table.
    Claim {
        /// The question.
        control_request: id::ControlRequestId,
        /// The group.
        group: id::GroupId,
        /// The term claimed.
        term: id::Term,
        /// When the claim lapses.
        until: Instant,
        /// When to give up waiting for the answer.
        deadline: Instant,
    },
    /// Send a message to peers.
    Send {
        /// The peer's address as `ip:port`.
        to: Box<str>,
        /// The message.
        message: peer::Message,
    },
    /// A newer configuration is known than the one in force.
    Fetch(peer::Head),
    /// Record a change of state in the log and in the audit trail.
    Record(Record),
    /// All requests have ended and the proxy may exit.
    Drained,
}

/// A request and the connection it runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: id::RequestId,
    /// The connection, exclusively the request's until it is returned.
    pub conn: id::ConnId,
    /// Member at the other end.
    pub member: id::MemberId,
    /// When the first byte of the answer must have arrived.
    pub first_byte_by: Instant,
    /// When the whole answer must have arrived.
    pub deadline: Instant,
}

/// A refusal; the request did not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refuse {
    /// The request.
    pub request: id::RequestId,
    /// Why it was refused.
    pub reason: Reason,
    /// When the caller should come back.
    pub retry_at: Instant,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The service is not configured.
    UnknownService,
    /// The proxy is stopping.
    Draining,
    /// The wait would pass the request's deadline.
    Overloaded,
    /// The group has no primary that can be reached before the deadline.
    NoPrimary,
    /// No member at or above the session's floor can be reached before the deadline.
    NoFreshMember,
    /// The session's floor is past anything that the group has written.
    FloorAhead,
    /// The deadline passed before the request was sent.
    TimedOut,
}

/// A fence or promotion of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The question.
    pub control_request: id::ControlRequestId,
    /// Group of the member.
    pub group: id::GroupId,
    /// The member.
    pub member: id::MemberId,
    /// The term.
    pub term: id::Term,
    /// When to give up.
    pub deadline: Instant,
}

/// A change of state worth a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Record {
    /// A member stopped or started answering.
    Reachable {
        /// Group of the member.
        group: id::GroupId,
        /// The member.
        member: id::MemberId,
        /// Whether it answers.
        reachable: bool,
    },
    /// A failover moved to another stage.
    Failover {
        /// The group.
        group: id::GroupId,
        /// Term that is claimed.
        term: id::Term,
        /// The stage.
        stage: crate::failover::StageName,
    },
    /// A primary was seen at a new term.
    Primary {
        /// The group.
        group: id::GroupId,
        /// The term.
        term: id::Term,
        /// The primary.
        member: id::MemberId,
    },
}
