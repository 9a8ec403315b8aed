//! Everything that can happen to a proxy.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::floor;
use crate::id;
use crate::peer;
use crate::request;
use crate::topology;

/// An input of [`crate::State::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Arrived(request::Request),
    /// The caller of a request that has not been dispatched is gone.
    Abandoned(id::RequestId),
    /// A transaction goes on with a statement that has a deadline of its own.
    Extended {
        /// The request that began the transaction.
        request: id::RequestId,
        /// When the caller no longer wants the statement's answer.
        deadline: Instant,
    },
    /// A dispatched request has ended and its connection is free.
    Returned(Returned),
    /// A connection was opened.
    Opened(id::ConnId),
    /// A connection could not be opened.
    OpenFailed {
        /// The connection.
        conn: id::ConnId,
        /// Whether the member answered that it has no connection left.
        full: bool,
    },
    /// An idle connection was closed by the member.
    Lost(id::ConnId),
    /// A member answered a status question, or did not.
    Status(StatusAnswer),
    /// A member answered a fence or promotion, or did not.
    Granted(GrantAnswer),
    /// The platform answered a claim, or did not.
    Claimed(ClaimAnswer),
    /// A peer's message arrived.
    Peer(peer::Message),
    /// The platform's list of VMs was read.
    Vms(Vec<peer::Vm>),
    /// A configuration is in force from now on.
    Configured(topology::Topology, peer::Head),
    /// The proxy was asked to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Returned {
    /// The request.
    pub request: id::RequestId,
    /// The connection it held.
    pub conn: id::ConnId,
    /// What became of the request.
    pub outcome: Outcome,
    /// Whether the protocol shows the connection idle and clean.
    pub clean: bool,
}

/// What became of a dispatched request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered; nothing was written.
    Answered,
    /// Committed at this point; the acknowledgement is still held.
    Committed(floor::Point),
    /// No byte was sent to the member.
    NotSent,
    /// The member refused a write because it is not the primary of its term; nothing ran.
    NotPrimary,
    /// A read failed before a row reached the caller; it may be tried again.
    ReadFailed,
    /// Bytes were sent and the result is not known.
    Unknown,
}

/// A member's answer to a status question.
#[derive(Clone, Copy, Debug)]
pub struct StatusAnswer {
    /// The question.
    pub control_request: id::ControlRequestId,
    /// Group of the member.
    pub group: id::GroupId,
    /// The member.
    pub member: id::MemberId,
    /// The status, or none if the member could not be reached in time.
    pub status: Option<Status>,
}

/// What a member reports of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// Highest term that the member was fenced at or follows.
    pub term: id::Term,
    /// Whether the member is the primary of that term.
    pub primary: bool,
    /// Last entry of its log.
    pub last: floor::Point,
    /// Position at which its own term started, if it is the primary.
    pub term_start: id::Position,
    /// Connections in use.
    pub connections_used: u32,
    /// Time since a replica last heard from a primary of its term; zero for a primary.
    pub upstream_silence: Duration,
}

/// A member's answer to a fence or promotion.
#[derive(Clone, Copy, Debug)]
pub struct GrantAnswer {
    /// The question.
    pub control_request: id::ControlRequestId,
    /// Group of the member.
    pub group: id::GroupId,
    /// The member.
    pub member: id::MemberId,
    /// Status after the attempt and whether it was granted, or none without an answer.
    pub result: Option<(Status, bool)>,
}

/// The platform's answer to a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimAnswer {
    /// The question.
    pub control_request: id::ControlRequestId,
    /// Group of the claim.
    pub group: id::GroupId,
    /// The answer.
    pub result: ClaimResult,
}

/// What the platform answered to a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The row names this proxy and term.
    Won,
    /// The row names another claimant with this term until the deadline.
    Held {
        /// Term in the row.
        term: id::Term,
        /// When the other claim lapses.
        until: Instant,
    },
    /// The platform did not answer.
    Unavailable,
}
