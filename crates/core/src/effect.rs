//! Effects that the reducer asks the shell of its proxy to carry out.

use std::time::Instant;

use crate::floor;
use crate::id;
use crate::peer;

/// An output of [`crate::State::step`]. Carrying one out never blocks the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a request to a member on a connection.
    Dispatch(Dispatch),
    /// Answers the caller that the request did not run.
    Refuse(Refuse),
    /// Releases the answer of a write to its caller: a majority of members has confirmed the commit.
    Acknowledge {
        /// Request whose answer is released.
        request: id::RequestId,
        /// Group that the request wrote to.
        group: id::GroupId,
        /// Log point of the commit.
        point: floor::Point,
    },
    /// Answers the caller that the outcome of the request is unknown: its commit was not confirmed, or a member may
    /// have run it without answering.
    Unconfirmed(id::RequestId),
    /// Stops a running request; the shell returns its connection together with the outcome.
    Interrupt(id::RequestId),
    /// Opens a connection to a member.
    Open {
        /// Identifier of the new connection.
        conn: id::ConnId,
        /// Group of the member.
        group: id::GroupId,
        /// Member to connect to.
        member: id::MemberId,
        /// When the attempt counts as failed.
        deadline: Instant,
    },
    /// Closes a connection.
    Close(id::ConnId),
    /// Asks a member for its status.
    AskStatus {
        /// Identifier that the answer carries too.
        control_request: id::ControlRequestId,
        /// Group of the member.
        group: id::GroupId,
        /// Member to ask.
        member: id::MemberId,
        /// The member delays its answer until its log has reached this position; 0 asks for an immediate answer.
        min_position: id::Position,
        /// When the status request counts as unanswered.
        deadline: Instant,
    },
    /// Fences a member at a term: if it grants the term, it no longer accepts writes of earlier terms.
    Fence(TermRequest),
    /// Promotes a member to primary of the term that it has granted.
    Promote(TermRequest),
    /// Claims a term of a group in the platform's table of claims.
    Claim {
        /// Identifier that the answer carries too.
        control_request: id::ControlRequestId,
        /// Group whose primary is to be replaced.
        group: id::GroupId,
        /// Term to claim.
        term: id::Term,
        /// When the claim expires.
        until: Instant,
        /// When the claim counts as unanswered.
        deadline: Instant,
    },
    /// Sends a heartbeat to one peer.
    SendHeartbeat {
        /// The peer's address as `ip:port`.
        to: Box<str>,
        /// The heartbeat.
        message: peer::Message,
    },
    /// Fetches a configuration that a peer has announced by its version and digest, and that is newer than the one in
    /// force.
    FetchConfiguration(peer::Head),
    /// Reports a change of state, which the shell writes to its log output.
    RecordChange(StateChange),
    /// Tells the shell that all requests have ended and that the proxy may exit.
    Drained,
}

/// A request and the connection it runs on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// Request to send.
    pub request: id::RequestId,
    /// Connection that the request has to itself until the shell returns it.
    pub conn: id::ConnId,
    /// Member at the other end of the connection.
    pub member: id::MemberId,
    /// When the first byte of the answer must have arrived.
    pub first_byte_by: Instant,
    /// When the whole answer must have arrived.
    pub deadline: Instant,
}

/// The refusal of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refuse {
    /// Request that is refused.
    pub request: id::RequestId,
    /// Why the proxy refuses it.
    pub reason: Reason,
    /// Earliest time at which the caller should try again.
    pub retry_at: Instant,
}

/// Why the proxy refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The configuration has no such service.
    UnknownService,
    /// The proxy is stopping.
    Draining,
    /// The request would wait past its deadline, its service has too many requests in flight, or no retry is left.
    Overloaded,
    /// The group has no primary that can be reached before the deadline. No policy of this crate gives this reason: a
    /// request without a primary waits and then gets [`Reason::TimedOut`].
    NoPrimary,
    /// No member at or above the session's floor can be reached before the deadline. No policy of this crate gives
    /// this reason: a read without such a member waits and then gets [`Reason::TimedOut`].
    NoFreshMember,
    /// The session's floor is past everything that the group has written, or names only unknown groups.
    FloorAhead,
    /// The deadline passed before the request was sent to a member.
    TimedOut,
}

/// A request to one member to be fenced at a term, or to become the primary of a term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TermRequest {
    /// Identifier that the answer carries too.
    pub control_request: id::ControlRequestId,
    /// Group of the member.
    pub group: id::GroupId,
    /// Member to fence or to promote.
    pub member: id::MemberId,
    /// Term that the member is fenced at or becomes primary of.
    pub term: id::Term,
    /// When the request counts as unanswered.
    pub deadline: Instant,
}

/// A change of state that the shell writes to its log output.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StateChange {
    /// A member stopped or started to answer.
    Reachable {
        /// Group of the member.
        group: id::GroupId,
        /// Member whose reachability changed.
        member: id::MemberId,
        /// Whether it answers now.
        reachable: bool,
    },
    /// A failover moved to another stage.
    Failover {
        /// Group whose primary is replaced.
        group: id::GroupId,
        /// Term of the attempt; 0 while no term is claimed for it and after it was given up.
        term: id::Term,
        /// Stage that the failover has entered.
        stage: crate::failover::StageName,
    },
    /// A member first reported itself primary of a new term.
    Primary {
        /// Group of the primary.
        group: id::GroupId,
        /// Term of the primary.
        term: id::Term,
        /// The new primary.
        member: id::MemberId,
    },
}
