//! Everything that can happen to a broker.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::claim;
use crate::request;
use crate::topology;

/// An input of [`crate::Broker::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration is in force from now on.
    Configured(topology::Topology),
    /// The directory lists a member.
    Listed(topology::Member),
    /// The directory has no entry of that name any more.
    Unlisted {
        /// The name.
        name: Box<str>,
        /// Revision at which there was none.
        revision: u64,
    },
    /// Another proxy is known.
    PeerListed(topology::Peer),
    /// Another proxy is known no more.
    PeerUnlisted(Box<str>),
    /// All other proxies that are known to the store are known here.
    PeersRead,
    /// The directory was reached, or was not.
    Directory {
        /// Whether its newest answer is from just now.
        reached: bool,
    },
    /// A request arrived.
    Arrived(request::Request),
    /// The caller of a waiting request is gone.
    Abandoned(id::RequestId),
    /// A statement of a transaction was sent on a connection that the transaction holds.
    Started(id::MemberId),
    /// A statement ended.
    Answered(Report),
    /// A probe of a leader ended.
    Probed(Report),
    /// A connection is no longer used.
    Returned {
        /// The connection.
        conn: id::ConnId,
        /// Whether it may be used again.
        reusable: bool,
    },
    /// A connection was opened.
    Opened(id::ConnId),
    /// A connection could not be opened.
    OpenFailed {
        /// The connection.
        conn: id::ConnId,
        /// Why.
        failure: OpenFailure,
    },
    /// An idle connection was closed by the other side.
    Lost(id::ConnId),
    /// A member answered a question about its standing, or did not.
    Standing {
        /// The group.
        group: id::GroupId,
        /// The member that was asked.
        member: id::MemberId,
        /// Its answer; none if there was none.
        standing: Option<Standing>,
    },
    /// A claim row was read, or was not.
    ClaimLoaded {
        /// The group.
        group: id::GroupId,
        /// The row; none if the store did not answer.
        stored: Option<claim::Stored>,
    },
    /// A claim row was written, or was not.
    ClaimStored {
        /// The group.
        group: id::GroupId,
        /// What became of it.
        outcome: StoreOutcome,
    },
    /// An order to take the lead was answered, or was not.
    Ordered {
        /// The group.
        group: id::GroupId,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// Time has passed.
    Tick,
}

/// How a statement ended, as far as it says something about the member.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The member.
    pub member: id::MemberId,
    /// What it answered.
    pub answer: Answer,
    /// Point of its log in the answer.
    pub point: Option<floor::Point>,
    /// Point that the member's log had to have reached.
    pub floor: Option<floor::Point>,
    /// Time from sending to the answer, for a statement that took a slot.
    pub took: Option<Duration>,
}

/// What a member answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// An answer that any member gives.
    Served,
    /// An answer that only a leader gives, to a question that was sent at `asked_at`.
    Led {
        /// When the question was sent.
        asked_at: Instant,
        /// Whether it was the end of a commit.
        commit: bool,
    },
    /// It does not lead.
    NotLeading,
    /// Its log lacks the point that was asked for.
    Behind,
    /// The statement ran there and failed.
    Failed,
    /// It had no slot and no room in its queue.
    Busy,
    /// Nobody waits for its answer any more.
    Unfinished,
    /// The connection broke.
    Broken,
    /// No answer came in time.
    Silent {
        /// Whether a commit was waited for.
        commit: bool,
    },
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenFailure {
    /// The address refuses connections or resets them.
    Refused,
    /// Nothing came back in time.
    Silent,
    /// The member has no connection left.
    Full,
    /// The address belongs to somebody else now.
    Elsewhere,
}

/// A member's word about itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Standing {
    /// Whether it leads.
    pub leads: bool,
    /// Its term.
    pub term: id::Term,
    /// Last entry that it has received.
    pub received: floor::Point,
    /// Term up to which it has stopped receiving; 0 while it receives.
    pub held_term: id::Term,
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// Written; the row's new revision.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// Unknown: it may take effect later while its condition holds.
    Unknown,
}

/// What became of an order to take the lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// Accepted.
    Accepted,
    /// Refused for good: a higher token was used, or the member does not run.
    Refused,
    /// Not taken for now, and not executed.
    Deferred,
    /// Unknown: it may be executed seconds later.
    Unknown,
}
