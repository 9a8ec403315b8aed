//! Events that the reducer of a proxy takes in.

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
    /// A request arrived from a caller.
    Arrived(request::Request),
    /// A caller disconnected before its request was dispatched.
    Abandoned(id::RequestId),
    /// The next statement of a running transaction arrived, with a deadline of its own.
    StatementArrived {
        /// Request that began the transaction.
        request: id::RequestId,
        /// Deadline for the statement's answer.
        deadline: Instant,
    },
    /// A dispatched request has ended and no longer uses its connection.
    Returned(Returned),
    /// A connection was opened.
    Opened(id::ConnId),
    /// A connection could not be opened.
    OpenFailed {
        /// Connection that was to be opened.
        conn: id::ConnId,
        /// Whether the member refused because it has no connection left.
        full: bool,
    },
    /// A member closed an idle connection.
    IdleClosed(id::ConnId),
    /// A member answered a status question, or its deadline passed.
    StatusAnswered(StatusAnswer),
    /// A member answered a fence or promotion, or its deadline passed.
    TermAnswered(TermAnswer),
    /// The platform answered a claim, or its deadline passed.
    ClaimAnswered(ClaimAnswer),
    /// A heartbeat arrived from a peer.
    HeartbeatArrived(peer::Message),
    /// The proxy has read the platform's list of VMs.
    VmsListed(Vec<peer::Vm>),
    /// The proxy has accepted a configuration, which takes effect now.
    Configured(topology::Topology, peer::Head),
    /// The process is to stop: the proxy refuses new requests and lets those in flight end.
    Drain,
    /// The shell's timer fired.
    Tick,
}

/// The end of a dispatched request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Returned {
    /// Request that ended.
    pub request: id::RequestId,
    /// Connection that the request ran on.
    pub conn: id::ConnId,
    /// How the request ended.
    pub outcome: Outcome,
    /// Whether the protocol state shows that the connection is idle and reusable.
    pub clean: bool,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The member answered and wrote nothing.
    Answered,
    /// The member committed at this point; the shell still withholds the answer from the caller.
    Committed(floor::Point),
    /// The connection failed before any byte reached the member.
    NotSent,
    /// The member refused a write because it is not the primary of its term; nothing ran.
    NotPrimary,
    /// A read failed before a row reached the caller, so it may be retried.
    ReadFailed,
    /// The request was sent, at least in part, and its result is not known.
    Unknown,
}

/// A member's answer to a status question.
#[derive(Clone, Copy, Debug)]
pub struct StatusAnswer {
    /// Identifier of the question.
    pub control_request: id::ControlRequestId,
    /// Group of the member.
    pub group: id::GroupId,
    /// Member that was asked.
    pub member: id::MemberId,
    /// Status of the member; `None` if it did not answer in time.
    pub status: Option<Status>,
}

/// The status that a member reports of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// Highest term that the member has been fenced at or replicates.
    pub term: id::Term,
    /// Whether the member is the primary of that term.
    pub primary: bool,
    /// Point of the last entry in the member's log.
    pub last: floor::Point,
    /// Position at which the member's term started, if the member is the primary.
    pub term_start: id::Position,
    /// Number of the member's connections that are in use.
    pub connections_used: u32,
    /// Time since the replica last received anything from a primary of its term; zero for a primary.
    pub upstream_silence: Duration,
}

/// A member's answer to a fence or promotion.
#[derive(Clone, Copy, Debug)]
pub struct TermAnswer {
    /// Identifier of the question.
    pub control_request: id::ControlRequestId,
    /// Group of the member.
    pub group: id::GroupId,
    /// Member that was asked.
    pub member: id::MemberId,
    /// Status after the attempt, and whether the member granted it; `None` without an answer.
    pub result: Option<(Status, bool)>,
}

/// The platform's answer to a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimAnswer {
    /// Identifier of the claim.
    pub control_request: id::ControlRequestId,
    /// Group whose term was claimed.
    pub group: id::GroupId,
    /// Result of the claim.
    pub result: ClaimResult,
}

/// The result of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim row names this proxy and the claimed term.
    Won,
    /// The claim row names another proxy, whose claim has not expired or is of an equal or higher term.
    Held {
        /// Term in the claim row.
        term: id::Term,
        /// When the other proxy's claim expires.
        until: Instant,
    },
    /// The platform did not answer in time.
    Unavailable,
}
