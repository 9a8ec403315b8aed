//! Inputs of the broker: requests, answers of members, changes in the store, and time.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::claim;
use crate::request;
use crate::topology;

/// An input of [`crate::Broker::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A version of the configuration came into force.
    Configured(topology::Topology),
    /// The directory has a new or changed entry of a member.
    Listed(topology::Member),
    /// The directory no longer has an entry of a member.
    Unlisted {
        /// Name of the member.
        name: Box<str>,
        /// Revision of the directory at which the entry was missing.
        revision: u64,
    },
    /// The store has a new or changed entry of another proxy.
    PeerListed(topology::Peer),
    /// The store no longer has an entry of the proxy of this name.
    PeerUnlisted(Box<str>),
    /// [`Event::PeerListed`] has been reported for every proxy that the store lists.
    PeersRead,
    /// A read of the directory ended.
    DirectoryPolled {
        /// Whether the directory answered.
        reached: bool,
    },
    /// A request arrived from a caller or from another proxy.
    Arrived(request::Request),
    /// The caller of a waiting request has gone away.
    Abandoned(id::RequestId),
    /// A transaction sent another statement to this member, on the connection that it holds.
    NextStatementStarted(id::MemberId),
    /// A statement ended.
    StatementEnded(StatementReport),
    /// A probe of a leader ended.
    ProbeEnded(StatementReport),
    /// The user of a connection released it.
    Returned {
        /// Connection that is free again.
        conn: id::ConnId,
        /// Whether later requests may use the connection; otherwise it is closed already.
        reusable: bool,
    },
    /// A connection was opened.
    Opened(id::ConnId),
    /// A connection could not be opened.
    OpenFailed {
        /// Connection that was to be opened.
        conn: id::ConnId,
        /// Cause of the failure.
        failure: OpenFailure,
    },
    /// The other side closed an idle connection.
    IdleConnectionLost(id::ConnId),
    /// A member answered a command of a failover with its status, or failed to answer.
    StatusAnswered {
        /// Group of the member.
        group: id::GroupId,
        /// Member that got the command.
        member: id::MemberId,
        /// Status in the answer; `None` if the member did not answer.
        status: Option<MemberStatus>,
    },
    /// A read of a claim row ended.
    ClaimLoaded {
        /// Group of the row.
        group: id::GroupId,
        /// Row that was read; `None` if the store did not answer.
        stored: Option<claim::ClaimRow>,
    },
    /// A conditional write of a claim row ended.
    ClaimStored {
        /// Group of the row.
        group: id::GroupId,
        /// Outcome of the write.
        outcome: StoreOutcome,
    },
    /// A promotion order ended.
    PromotionOrdered {
        /// Group of the member that is to lead.
        group: id::GroupId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// The periodic timer fired: the broker checks its deadlines and timeouts.
    Tick,
}

/// End of a statement or a probe, with the facts about the member that it shows.
#[derive(Clone, Copy, Debug)]
pub struct StatementReport {
    /// Member that ran the statement.
    pub member: id::MemberId,
    /// Kind of the member's answer.
    pub answer: Answer,
    /// Point of the member's log, if the answer contains it.
    pub point: Option<floor::Point>,
    /// Point that the member's log had to have reached to run the statement.
    pub floor: Option<floor::Point>,
    /// Time from sending the statement to its end; `None` if it took no slot of the member.
    pub took: Option<Duration>,
}

/// Kind of a member's answer to a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The statement ended in a way that any member may answer.
    Served,
    /// The statement ended in a way that only a leader answers.
    Led {
        /// Instant at which the statement was sent.
        sent_at: Instant,
        /// Whether the statement was a commit.
        commit: bool,
    },
    /// The member refused the statement because it does not lead.
    NotLeading,
    /// The member refused the statement because its log has not reached the required point.
    Behind,
    /// The statement ran at the member and failed.
    Failed,
    /// The member refused the statement because its slots and its queue are full.
    Busy,
    /// The caller gave up before the member answered.
    Unfinished,
    /// The connection broke.
    Broken,
    /// The member did not answer before the deadline.
    Silent {
        /// Whether the statement was a commit.
        commit: bool,
    },
}

/// Cause of a failure to open a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenFailure {
    /// The address refuses connections or resets them.
    Refused,
    /// The address did not answer in time.
    Silent,
    /// The member has no connection left.
    Full,
    /// Another process than the expected member answered at the address.
    WrongMember,
}

/// Role, term and log position that a member reports about itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct MemberStatus {
    /// Whether the member leads.
    pub leads: bool,
    /// Newest term that the member knows.
    pub term: id::Term,
    /// Point of the last log entry that the member has received.
    pub received: floor::Point,
    /// Term of the hold: the member receives nothing from leaders of lower terms. 0 while it is not held.
    pub held_term: id::Term,
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The row was written and has this revision now.
    Written(u64),
    /// The row's revision had changed; nothing was written.
    Conflict,
    /// The store did not confirm the write, which may take effect later while its condition is true.
    Unknown,
}

/// Outcome of a promotion order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused the order for good: it has seen a higher token, or the member does not run.
    Refused,
    /// The platform does not take orders for the moment and has not executed this one.
    Deferred,
    /// The platform did not answer and may execute the order seconds later.
    Unknown,
}
