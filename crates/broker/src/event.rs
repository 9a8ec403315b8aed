//! Inputs of the broker: requests, answers of members, changes in the store, and time.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::leader;
use crate::request;
use crate::revision;
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
        revision: revision::Revision,
    },
    /// Another proxy, which a claimant has asked, told what it knows of a group.
    ProxyTold {
        /// Group that was asked for.
        group: id::GroupId,
        /// Proxy that answered.
        proxy: id::ProxyId,
        /// Instant at which the question was sent, or an earlier one.
        asked_at: Instant,
        /// Its answer.
        knowledge: GroupKnowledge,
    },
    /// The store has a new or changed entry of another proxy.
    PeerListed(topology::Peer),
    /// The store no longer has an entry of the proxy of this name.
    PeerUnlisted(Box<str>),
    /// [`Event::PeerListed`] has been reported for every proxy that the store lists.
    PeersRead,
    /// The store has told its era, or it has become known for how long the store has been in that era.
    StoreEra {
        /// Newest known era of the store.
        era: revision::Era,
        /// Time for which the store has been in this era at least.
        known_for: Duration,
    },
    /// A read of the directory by this proxy ended.
    DirectoryRead {
        /// Instant at which the directory answered, or an earlier one; `None` if it did not.
        answered_at: Option<Instant>,
    },
    /// The reader of this proxy's domain has told its contact with the directory, and before it all that it knew then; `None` if
    /// the directory does not answer the reader.
    DirectoryTold(Option<DirectoryContact>),
    /// A request arrived from a caller or from another proxy.
    Arrived(request::Request),
    /// The caller of a waiting request has gone away.
    Abandoned(id::RequestId),
    /// A transaction sent a statement after its first one to this member, on the connection granted to the transaction.
    NextStatementStarted(id::MemberId),
    /// A statement ended.
    StatementEnded(StatementReport),
    /// A probe of a leader ended.
    ProbeEnded(StatementReport),
    /// A request, probe or command no longer uses its connection.
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
    /// A success of a commit waits for evidence, see [`crate::Broker::confirms_commit`].
    ConfirmationNeeded {
        /// Group whose leader has answered the commit.
        group: id::GroupId,
        /// End of the leader's log in that answer.
        point: Option<floor::Point>,
        /// Instant at which the answer arrived.
        arrived_at: Instant,
    },
    /// This proxy passes the success of a commit on to a caller or to another proxy.
    CommitTold {
        /// Group of the commit.
        group: id::GroupId,
        /// The commit.
        commit: ToldCommit,
    },
    /// A member answered the question whether it has received a commit, or failed to answer.
    ReceiptAnswered {
        /// Group of the member.
        group: id::GroupId,
        /// Member that was asked.
        member: id::MemberId,
        /// Instant at which the question was sent, or an earlier one.
        asked_at: Instant,
        /// Instant at which the connection was opened, or a later one.
        connected_at: Instant,
        /// Status in the answer; `None` if the member did not answer.
        status: Option<MemberStatus>,
    },
    /// A member answered the question for its status that renews a lease, or failed to answer.
    LeaseAnswered {
        /// Group of the member.
        group: id::GroupId,
        /// Member that was asked.
        member: id::MemberId,
        /// Instant at which the question was sent, or an earlier one.
        asked_at: Instant,
        /// Status in the answer; `None` if the member did not answer.
        status: Option<MemberStatus>,
    },
    /// A member answered a command of a failover, which [`Event::StatusAnswered`] tells next. For the diagnostic log.
    CommandAnswered {
        /// Group of the member.
        group: id::GroupId,
        /// Member that got the command.
        member: id::MemberId,
        /// Instant at which the connection was opened.
        connected_at: Instant,
    },
    /// A member answered a command of a failover with its status, or failed to answer.
    StatusAnswered {
        /// Group of the member.
        group: id::GroupId,
        /// Member that got the command.
        member: id::MemberId,
        /// Instant at which the command was sent, or an earlier one.
        asked_at: Instant,
        /// Status in the answer; `None` if the member did not answer.
        status: Option<MemberStatus>,
    },
    /// A member answered the question that [`crate::effect::StatusPurpose::Comparison`] describes, or failed to answer.
    ComparisonAnswered {
        /// Group of the member.
        group: id::GroupId,
        /// Member that was asked.
        member: id::MemberId,
        /// Instant at which the question was sent, or an earlier one.
        asked_at: Instant,
        /// The answer.
        answer: StatusAnswer,
    },
    /// A read of a claim row from the store ended.
    ClaimLoaded {
        /// Group of the row.
        group: id::GroupId,
        /// Instant at which the row was asked for, or an earlier one.
        asked_at: Instant,
        /// Row that was read; `None` if the store did not answer.
        stored: Option<claim::ClaimRow>,
    },
    /// Another proxy has read a claim row for this one, which the store does not answer. Only leases use it: an attempt must reach
    /// the store itself.
    ClaimRelayed {
        /// Group of the row.
        group: id::GroupId,
        /// Instant at which the row was asked for, or an earlier one.
        asked_at: Instant,
        /// Row that was read.
        row: claim::ClaimRow,
    },
    /// The store has answered [`crate::effect::Effect::LoadChoice`]. For the diagnostic log: no decision rests on this read.
    ChoiceLoaded {
        /// Group of the row.
        group: id::GroupId,
        /// Instant at which the row was asked for, or an earlier one.
        asked_at: Instant,
        /// Row that was read.
        row: claim::ClaimRow,
    },
    /// A read of the directory for an attempt to replace a leader ended. [`Event::Listed`] has been reported for every member that
    /// was listed then, and [`Event::ProxyTold`] for the proxies that have answered meanwhile.
    DirectoryLoaded {
        /// Group whose leader is to be replaced.
        group: id::GroupId,
        /// Whether the directory answered.
        is_read: bool,
    },
    /// A conditional write of a claim row to the store ended, whether or not the row was written.
    ClaimStored {
        /// Group of the row.
        group: id::GroupId,
        /// Outcome of the write.
        outcome: StoreOutcome,
    },
    /// The platform answered a promotion order, or failed to answer. An unanswered order may still be executed.
    PromotionOrdered {
        /// Group of the member that is to lead.
        group: id::GroupId,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
    /// The instant that [`crate::Broker::next_expiry`] returned has passed.
    RequestsExpired,
    /// The periodic timer fired: the broker checks its deadlines and timeouts.
    Tick,
}

/// A commit of whose success a proxy tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ToldCommit {
    /// Identifier that the caller gave the commit.
    pub request: Box<str>,
    /// End of the leader's log in the answer to the commit, which may lie past the commit.
    pub point: floor::Point,
    /// [`crate::Broker::newest_log_end`] before the commit was sent.
    pub seen_before: Option<floor::Point>,
}

/// What a proxy knows of a group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupKnowledge {
    /// Members that the proxy has not failed to reach, whether or not the directory lists them.
    pub running: Vec<topology::Member>,
    /// Members that may come back with their logs.
    pub missing: Vec<MissingMember>,
    /// What the answers to commits have told the proxy.
    pub points: leader::KnownPoints,
    /// Instant since which the process has had a configuration.
    pub known_since: Option<Instant>,
}

/// A member without an entry that may run, and that its proxy does not know to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MissingMember {
    /// Last known entry of the member.
    pub entry: topology::Member,
    /// Instant until which the member may come back with its log.
    pub awaited_until: Instant,
    /// Whether the member has failed to answer.
    pub is_silent: bool,
}

/// Contact of a proxy with the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DirectoryContact {
    /// Instant of the newest answer: all members that joined before it are known.
    pub answered_at: Instant,
    /// Instant since which every read has succeeded.
    pub reached_since: Instant,
}

/// End of a statement or a probe, and what it shows about the member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatementReport {
    /// Member that ran the statement.
    pub member: id::MemberId,
    /// How the statement ended.
    pub answer: Answer,
    /// Point of the member's log, if the answer contains it.
    pub point: Option<floor::Point>,
    /// Floor that was sent with the statement: the point that the member's log must have reached to run it.
    pub floor: Option<floor::Point>,
    /// Instant at which the connection was opened, or a later one; `None` if the point counts as no receipt.
    pub connected_at: Option<Instant>,
    /// Time from sending the statement to its end, answered or not; `None` if the statement used no slot of the member.
    pub took: Option<Duration>,
}

/// How a statement ended: with an answer of the member, or without one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The member answered. The answer does not show whether the member leads.
    Served,
    /// The member answered in a way in which only a leader answers.
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
    /// The member answered that the statement failed.
    Failed,
    /// The member refused the statement because its slots and its queue are full.
    Busy,
    /// The caller gave up before the member answered.
    Unfinished,
    /// The connection broke.
    Broken,
    /// The member's answer does not follow the protocol, and its connection is closed.
    Malformed,
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
    /// The member allows no further connection.
    Full,
    /// Another process than the expected member answered at the address.
    WrongMember,
    /// The connection is not needed any more, and the member was not contacted.
    Abandoned,
}

/// Role, term and log position that a member reports about itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
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

/// Answer of a member that was asked for its status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusAnswer {
    /// The member told its status.
    Status(MemberStatus),
    /// The member refused.
    Refused {
        /// Whether it said that it is busy. A replica that is rolled back says so, and one whose slots and queue are full.
        is_busy: bool,
        /// Last point of the member's log in the refusal.
        point: Option<floor::Point>,
    },
    /// The member did not answer.
    Missing,
}

impl StatusAnswer {
    /// Returns the status, if the member told it.
    pub fn status(self) -> Option<MemberStatus> {
        match self {
            Self::Status(status) => Some(status),
            Self::Refused { .. } | Self::Missing => None,
        }
    }

    /// Returns the last point of the member's log in the answer.
    pub fn point(self) -> Option<floor::Point> {
        match self {
            Self::Status(status) => Some(status.received),
            Self::Refused { point, .. } => point,
            Self::Missing => None,
        }
    }
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// The row was written and has this revision now.
    Written(revision::Revision),
    /// The row's revision had changed; nothing was written.
    Conflict,
    /// The store refused the call for now; nothing was written.
    Refused,
    /// The store did not confirm the write. The write may still be made later if the row has the expected revision then.
    Unknown,
}

/// Outcome of a promotion order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// The platform refused the order for good: it has seen a higher token, or the member does not run.
    Refused,
    /// The platform takes no orders for the moment. It has not taken this one and will not execute it.
    Deferred,
    /// The platform did not answer and may execute the order seconds later.
    Unknown,
}
