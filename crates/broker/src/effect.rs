//! Outputs of the broker: the actions that the shell carries out.

use std::fmt;
use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::claim;
use crate::event;
use crate::leader;
use crate::pace;
use crate::revision;

/// Timeout to open a connection to a member: less than the 1 s after which the kernel repeats a lost first packet.
pub const MEMBER_CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// An output of [`crate::Broker::step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request on the granted connection.
    Grant(Grant),
    /// Refuse the request, which has not been sent to any member.
    Refuse(Refusal),
    /// Open a connection to a member.
    Open {
        /// Identifier that the connection gets.
        conn: id::ConnId,
        /// Member to connect to.
        member: id::MemberId,
    },
    /// Close an idle connection.
    Close(id::ConnId),
    /// Ask a member whether it leads and for the point of its log, on an idle connection that is in use until
    /// [`crate::event::Event::Returned`].
    Probe {
        /// Connection to use.
        conn: id::ConnId,
        /// Member at the other end of the connection.
        member: id::MemberId,
    },
    /// Ask a member for its status, on an idle connection that is in use until [`crate::event::Event::Returned`].
    AskStatus {
        /// Group of the member.
        group: id::GroupId,
        /// Connection to use.
        conn: id::ConnId,
        /// Member at the other end of the connection.
        member: id::MemberId,
        /// What the answer is for, which tells the event that reports it.
        purpose: StatusPurpose,
    },
    /// Send a command to a member, which answers with its status.
    SendCommand {
        /// Group of the member.
        group: id::GroupId,
        /// Member that gets the command.
        member: id::MemberId,
        /// Command to send.
        command: MemberCommand,
        /// Connection to use until [`crate::event::Event::Returned`]; `None` if the shell has to open one.
        conn: Option<id::ConnId>,
    },
    /// Read the claim row of a group.
    LoadClaim(id::GroupId),
    /// Read the claim row of a group for the diagnostic log, which [`event::Event::ChoiceLoaded`] reports. If the store does not answer,
    /// nothing is reported.
    LoadChoice(id::GroupId),
    /// Ask other proxies what they know of a group whose leader is replaced; each answer is a [`event::Event::ProxyTold`].
    AskProxies(id::GroupId),
    /// Read the entries of all members, for the attempt to replace the leader of a group, and ask other proxies meanwhile.
    ReadDirectory(id::GroupId),
    /// Write the claim row of a group if the row still has the given revision and the store is still in that era.
    StoreClaim {
        /// Group of the row.
        group: id::GroupId,
        /// New contents of the row.
        claim: claim::Claim,
        /// Revision that the row must have, with version 0 if the row must not exist.
        revision: revision::Revision,
    },
    /// Order the platform to promote a member to leader.
    OrderPromotion {
        /// Group of the member.
        group: id::GroupId,
        /// Member that is to lead.
        member: id::MemberId,
        /// Fencing token of the claim under which the order is given.
        token: u64,
        /// Instant from which the order must not be sent any more; `None` if the platform refuses outdated orders.
        until: Option<Instant>,
    },
    /// Write a change of the broker's state to the proxy's diagnostic log.
    RecordChange(StateChange),
}

/// Exclusive use of a connection by a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// Request that may use the connection.
    pub request: id::RequestId,
    /// Connection to use.
    pub conn: id::ConnId,
    /// Member or home at the other end of the connection.
    pub member: id::MemberId,
    /// Point that the member's log must have reached. The shell sends it along; a member behind it refuses the statement.
    ///
    /// On a connection to a home: the session's newest commit, from which the home determines the floor.
    pub floor: Option<floor::Point>,
    /// Whether the member must confirm that it leads before the shell sends the statement.
    pub verify: bool,
    /// What this proxy believes about the leader, on the first grant to a member after a change of that.
    pub new_belief: Option<Belief>,
}

/// What a proxy believes about the leader of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Member that is believed to lead.
    pub leader: Option<id::MemberId>,
    /// Newest term that this member is known to follow or to lead.
    pub leader_term: id::Term,
    /// Newest term in which a lease was granted; 0 before the first one.
    pub lease_term: id::Term,
    /// End of that lease.
    pub lease_expires_at: Option<Instant>,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Request that is refused.
    pub request: id::RequestId,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Earliest instant at which the caller should try again.
    pub retry_at: Instant,
}

/// Reason for the refusal of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No member of the group is known.
    NoMember,
    /// The group has no leader, and none is expected before the request's deadline.
    NoLeader,
    /// So many requests wait that the request would not be answered before its objective or deadline, or no other member
    /// can serve a hedge at once.
    Overload,
    /// The configuration in force does not have the request's workspace.
    NoWorkspace,
    /// The request waited (for a connection, a sample of the read index or a leader) until so little time was left that it
    /// could not be answered before its deadline any more.
    Late,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoMember => "no member known",
            Self::NoLeader => "no leader",
            Self::Overload => "overload",
            Self::NoWorkspace => "unknown workspace",
            Self::Late => "no member free in time",
        })
    }
}

/// Purpose of a question for a member's status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusPurpose {
    /// The lease of a leader; the answer is a [`event::Event::LeaseAnswered`].
    Lease,
    /// The confirmation of a commit; the answer is a [`event::Event::ReceiptAnswered`].
    Receipt,
    /// The comparison of the other members with a new leader, for the diagnostic log; the answer is a
    /// [`event::Event::ComparisonAnswered`].
    Comparison,
}

/// Command to a member during a failover. The member answers each with its status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberCommand {
    /// Report the status and change nothing.
    Status,
    /// Stop receiving from leaders of terms below this one, until released or until some member is promoted.
    ///
    /// A held replica confirms no further commits of the old leader, and its log does not change while logs are compared.
    Hold(id::Term),
    /// Receive again.
    Release {
        /// End of the time in which the command may be sent. Later, another proxy may hold the member.
        until: Instant,
    },
    /// Stop leading if the member's term is below this one.
    Demote(id::Term),
}

/// Change of the broker's state that is written to the proxy's diagnostic log.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// The group has another leader, or none.
    Leader {
        /// Group whose leader changed.
        group: id::GroupId,
        /// New leader; `None` if no leader is known.
        member: Option<id::MemberId>,
        /// Newest term that an answer has shown.
        term: id::Term,
        /// Observation after which the leader was determined again.
        evidence: LeaderEvidence,
    },
    /// A failover reached another step.
    Failover {
        /// Group whose leader is replaced.
        group: id::GroupId,
        /// Reason for the replacement.
        reason: leader::ReplaceReason,
        /// Name of the step; `done` or `given_up` at the end of the attempt.
        step: &'static str,
        /// Fencing token of the claim; 0 before the claim is made.
        token: u64,
        /// Member that is to lead; `None` before one is chosen.
        target: Option<id::MemberId>,
    },
    /// A failover orders the promotion of a member.
    Choice(Choice),
    /// An idle connection of a workspace was closed, since another workspace needs its place.
    ConnectionMoved {
        /// Member at the other end.
        member: id::MemberId,
        /// Workspace whose connection was closed; `None` if it served none.
        from: Option<id::WorkspaceId>,
        /// Workspace for which a connection is opened.
        to: Option<id::WorkspaceId>,
    },
    /// The choice of the leader that this proxy believes in, as the claim row tells it.
    LeaderChoice {
        /// Group of the leader.
        group: id::GroupId,
        /// The leader.
        leader: id::MemberId,
        /// Newest term that an answer has shown.
        term: id::Term,
        /// The choice.
        choice: Box<claim::ChoiceRecord>,
    },
    /// The leader lacks a commit of whose success this proxy has told.
    CommitLost(LostCommit),
    /// The leader lacks further such commits.
    MoreCommitsLost {
        /// Group of the leader.
        group: id::GroupId,
        /// The leader.
        leader: id::MemberId,
        /// Point up to which it had received when it was chosen.
        leader_had: floor::Point,
        /// Number of commits that are certain to lie past that point.
        certain: usize,
        /// Number of commits that may lie past that point.
        uncertain: usize,
    },
    /// No member is promoted, since all that answer may lack acknowledged commits.
    ChoiceWithheld {
        /// Group whose leader is replaced.
        group: id::GroupId,
        /// Fencing token of the claim.
        token: u64,
        /// Highest point up to which a member has received.
        furthest: Option<floor::Point>,
        /// Point up to which all commits are known to be acknowledged.
        acknowledged: Option<floor::Point>,
        /// Point from which on a log lacks none of the commits that were answered.
        answered_end: Option<floor::Point>,
        /// Whether a member has been dropped that may come back with its log.
        awaits_missing: bool,
        /// Whether all homes have told what they know.
        homes_told: bool,
    },
    /// A leader that hands over has stopped.
    LeaderStopped {
        /// Group of the leader.
        group: id::GroupId,
        /// Fencing token of the claim.
        token: u64,
        /// The leader.
        member: id::MemberId,
        /// End of its log in the answer that says that it has stopped.
        log_end: floor::Point,
    },
    /// A leader that had stopped has logged more in the same term since.
    StoppedLeaderWentOn {
        /// Group of the leader.
        group: id::GroupId,
        /// Fencing token of the claim under which it was stopped.
        token: u64,
        /// The leader.
        member: id::MemberId,
        /// End of its log in the answer that said that it had stopped.
        log_end: floor::Point,
        /// End of its log now.
        point: floor::Point,
    },
    /// A member was compared with the leader that has been promoted.
    Compared(Comparison),
    /// A member told a failover the end of its log, on which the choice of the next leader rests.
    LogEnd {
        /// Group whose leader is replaced.
        group: id::GroupId,
        /// Fencing token of the claim.
        token: u64,
        /// Member that answered.
        member: id::MemberId,
        /// Status in its last answer.
        status: event::MemberStatus,
        /// Whether the member is leaving.
        leaving: bool,
        /// Instant of the member's first entry in the directory.
        first_listed_at: Instant,
    },
    /// A member or a home stopped answering, or a connection to it was opened after it had stopped answering.
    Reachable {
        /// Member or home whose reachability changed.
        member: id::MemberId,
        /// Whether the member answers.
        reachable: bool,
    },
    /// A member or a home whose answers are malformed gets only reads that no other can serve, or is used again.
    Avoided {
        /// Member or home.
        member: id::MemberId,
        /// Instant until which it is avoided; `None` if it is used again.
        until: Option<Instant>,
        /// Number of malformed answers since its last usable one.
        malformed_answers: u32,
    },
    /// The adaptive concurrency limit of a member begins, or the member is in full use again.
    Pace {
        /// The member.
        member: id::MemberId,
        /// What begins.
        change: pace::Change,
    },
    /// Requests wait for the lease of their leader, or do so no longer, or another member grants the lease.
    Lease {
        /// Group of the leader.
        group: id::GroupId,
        /// Newest term in which a lease was granted.
        term: id::Term,
        /// Whether the lease covers the requests.
        valid: bool,
        /// Newest evidence, whether or not it granted a lease.
        evidence: LeaseEvidence,
    },
    /// The broker dropped a member that is gone.
    Gone(id::MemberId),
}

/// The choice of the next leader, with what its claimant knew of the members at the order.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Group whose leader is replaced.
    pub group: id::GroupId,
    /// Fencing token of the claim.
    pub token: u64,
    /// Reason for the replacement.
    pub reason: leader::ReplaceReason,
    /// Member that is to lead.
    pub target: Option<id::MemberId>,
    /// What the attempt knew of the old leader.
    pub basis: ChoiceBasis,
    /// Members that the attempt knew, and those that were dropped lately.
    pub members: Vec<ChoiceMember>,
    /// Names of the VMs whose proxies have told what they know since the attempt began.
    pub told_by: Vec<Box<str>>,
}

/// A commit that a promoted leader lacks, and of whose success this proxy has told.
#[derive(Clone, Debug, PartialEq)]
pub struct LostCommit {
    /// Group of the commit.
    pub group: id::GroupId,
    /// Identifier that the caller gave the commit.
    pub request: Box<str>,
    /// End of the old leader's log in the answer to the commit.
    pub point: floor::Point,
    /// Instant at which this proxy told of the success.
    pub told_at: Instant,
    /// The promoted leader.
    pub leader: id::MemberId,
    /// Point up to which it had received when it was chosen.
    pub leader_had: floor::Point,
    /// Whether the old leader's log had reached that point before the commit was sent, so that the commit lies past it.
    pub is_certain: bool,
}

/// A member beside a leader that has just confirmed its promotion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Group of the members.
    pub group: id::GroupId,
    /// Fencing token of the claim under which the leader was promoted.
    pub token: u64,
    /// The new leader.
    pub leader: id::MemberId,
    /// Term of the new leader.
    pub term: id::Term,
    /// Point up to which the leader had received when the promotion was ordered.
    pub leader_had: Option<floor::Point>,
    /// The other member.
    pub member: id::MemberId,
    /// Point up to which the other member had received when the promotion was ordered, as far as the attempt knew.
    pub choice_received: Option<floor::Point>,
    /// Answer of the other member; `None` if it was not asked, for want of an idle connection.
    pub answer: Option<event::StatusAnswer>,
    /// Whether the answer shows that the member had received more than the choice counted.
    pub is_ahead: bool,
}

/// What an attempt to replace a leader knows of that leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceBasis {
    /// Leader that is replaced, if one is known.
    pub old_leader: Option<id::MemberId>,
    /// Whether the old leader hands over, rather than being taken over from.
    pub hands_over: bool,
    /// End of the old leader's log when it first answered.
    pub surveyed_end: Option<floor::Point>,
    /// End of the old leader's log when it had stopped.
    pub log_end: Option<floor::Point>,
    /// Point up to which all commits are known to be acknowledged.
    pub acknowledged: Option<floor::Point>,
    /// Point from which on a log lacks none of the commits that were answered.
    pub answered_end: Option<floor::Point>,
}

/// What an attempt to replace a leader knows of a member at the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceMember {
    /// Identifier of the member.
    pub member: id::MemberId,
    /// Name of the member.
    pub name: Box<str>,
    /// Its answer to the newest command of the attempt.
    pub answer: Option<CommandAnswer>,
    /// Instant since which the member is known, see [`crate::member_state::MemberState::known_since`]; `None` if it was dropped.
    pub known_since: Option<Instant>,
    /// Whether the attempt has asked the member for its log.
    pub asked: bool,
    /// Whether the directory lists the member.
    pub listed: bool,
    /// Whether the member leaves.
    pub leaving: bool,
    /// What is known of the drop of the member; `None` if it was not dropped.
    pub dropped: Option<DroppedMember>,
}

/// A member that the broker has dropped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DroppedMember {
    /// Instant of the drop.
    pub at: Instant,
    /// Last known point of the member's log.
    pub reached: Option<floor::Point>,
}

/// Answer of a member to a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommandAnswer {
    /// Status in the answer.
    pub status: event::MemberStatus,
    /// Instant of the answer.
    pub answered_at: Instant,
    /// Instant at which the connection was opened; `None` if that is not known.
    pub connected_at: Option<Instant>,
}

/// Observation after which a proxy determines the leader of a group again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaderEvidence {
    /// A statement or a probe ended.
    Statement(event::StatementReport),
    /// A member told its status.
    Status {
        /// Member that was asked.
        member: id::MemberId,
        /// Status in the answer; `None` if the member did not answer.
        status: Option<event::MemberStatus>,
    },
    /// The claim row was read. It tells this about the member that was believed to lead.
    Claim(claim::Standing),
    /// An attempt of this proxy found or promoted a leader.
    Failover,
    /// A directory entry changed, or a member was dropped.
    Directory,
    /// Time has passed.
    Tick,
}

/// Answer from which a proxy concludes whether the leader of a group has a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseEvidence {
    /// The claim row was read, or could not be read.
    Claim {
        /// Member that is believed to lead.
        member: id::MemberId,
        /// What the row tells about the member.
        standing: claim::Standing,
    },
    /// A member answered the question for its status, or failed to answer.
    Status {
        /// Member that was asked.
        member: id::MemberId,
        /// Time from the question to its answer.
        took: Duration,
        /// Status in the answer; `None` if the member did not answer.
        status: Option<event::MemberStatus>,
    },
}
