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
    /// A caller disconnected or cancelled its request. The request ends without an answer, unless it runs on a
    /// connection at the moment.
    Abandoned(id::RequestId),
    /// The next statement of a running transaction arrived, with a deadline of its own.
    StatementArrived {
        /// Request that began the transaction.
        request: id::RequestId,
        /// Deadline for the statement's answer.
        deadline: Instant,
    },
    /// The run of a dispatched request has ended, and the shell returns the connection.
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
    /// A member answered a status request, or the request's deadline passed.
    StatusAnswered(StatusAnswer),
    /// A member answered a fence or promotion, or the request's deadline passed.
    TermAnswered(TermAnswer),
    /// The platform answered a claim, or the claim's deadline for an answer passed.
    ClaimAnswered(ClaimAnswer),
    /// A heartbeat arrived from a peer.
    HeartbeatArrived(peer::Message),
    /// The proxy has read the platform's list of VMs.
    VmsListed(Vec<peer::Vm>),
    /// The shell has accepted a configuration. It takes effect now if it is newer than the one in force.
    Configured(topology::Topology, peer::Head),
    /// The process is to stop: the proxy refuses new requests and lets those in flight end.
    Drain,
    /// The shell's timer fired.
    Tick,
}

/// The end of a dispatched request's run on a connection. A commit is still to be confirmed, and a request that did
/// not run, or a failed read, is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Returned {
    /// Request that ran, or was to run.
    pub request: id::RequestId,
    /// Connection that the request ran on.
    pub conn: id::ConnId,
    /// How the run ended.
    pub outcome: Outcome,
    /// Whether the protocol state shows that the connection is idle and reusable.
    pub clean: bool,
}

/// How the run of a dispatched request on a connection ended.
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

/// A member's answer to a status request.
#[derive(Clone, Copy, Debug)]
pub struct StatusAnswer {
    /// Identifier of the status request.
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
    /// If the member is the primary: position of the first entry of its term.
    pub term_start: id::Position,
    /// Number of connections in use that count against the member's maximum, whoever opened them.
    pub connections_used: u32,
    /// Time since the replica last received anything from its upstream, the primary of its term; zero for a primary.
    pub upstream_silence: Duration,
}

/// A member's answer to a fence or promotion.
#[derive(Clone, Copy, Debug)]
pub struct TermAnswer {
    /// Identifier of the fence or promotion.
    pub control_request: id::ControlRequestId,
    /// Group of the member.
    pub group: id::GroupId,
    /// Member that was asked.
    pub member: id::MemberId,
    /// Status after the request, and whether the member granted it (accepted the fence or promotion); `None` without
    /// an answer in time.
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
    /// The claim row names another proxy, whose claim excludes this one. The shell decides that by the other claim's
    /// expiry and by whether its term is at least the one claimed now.
    Held {
        /// Term in the claim row.
        term: id::Term,
        /// When the other proxy's claim expires.
        until: Instant,
    },
    /// The platform did not answer in time.
    Unavailable,
}
