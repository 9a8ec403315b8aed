//! A proxy: a real broker, with the connections and the statements of its callers.

use std::collections::BTreeMap;
use std::time::Duration;

use fulmarlift_broker::Broker;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::state;
use fulmarlift_broker::topology;
use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;

use crate::simulation::callers;
use crate::simulation::clock::Micros;
use crate::simulation::member;

/// The group of all members.
pub const GROUP: id::GroupId = 7;
/// Domains of the proxies and of the first members.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// What a caller asks for.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A read of the newest data.
    Newest,
    /// A single write.
    Write,
    /// A transaction that may write, with this many reads, and pauses before each statement.
    Transaction {
        reads: u8,
        writes: bool,
        pause: Micros,
    },
    /// A read of data of at most this age.
    Recent(Micros),
    /// The same, with the newest commit of the session.
    Own(Micros),
}

/// What a caller's request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// A grant.
    Queued,
    /// The answer to `BEGIN`, which shows that the member leads.
    Verifying,
    /// The answer to the read or write.
    Running,
    /// The next statement of its caller.
    Paused,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Job {
    pub kind: Kind,
    /// Time at which the caller sent it.
    pub first_byte: Micros,
    /// Time at which it arrived.
    pub arrived: Micros,
    /// Time after which it is given up.
    pub deadline: Micros,
    pub attempts: u32,
    pub stage: Stage,
    pub conn: id::ConnId,
    pub member: id::MemberId,
    pub floor: Option<floor::Point>,
    pub own: Option<floor::Point>,
    pub running_since: Micros,
    /// Term in which its transaction was begun.
    pub begun_term: id::Term,
    pub reads_left: u8,
}

/// A connection to a member.
#[derive(Clone, Copy, Debug)]
pub struct Conn {
    pub member: usize,
    pub member_starts: u32,
    pub opened_at: Micros,
    pub busy: bool,
}

/// Why an answer matters.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// A connection is opened.
    Open,
    /// A probe begins a transaction, and rolls it back with this report.
    Probe(Option<event::StatementReport>),
    /// A question, asked at this time, that renews a lease.
    Status(Micros, effect::StatusPurpose),
    /// A command of a failover, and whether it has been sent: its connection may have to be opened first.
    Command(effect::MemberCommand, bool),
    /// The same, with the identifier of the errand to which it belongs.
    Errand(u64, effect::MemberCommand, bool),
    /// A statement of a caller's request.
    Job(id::RequestId),
}

/// A command under way to a member, or its answer under way back.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    pub proxy: usize,
    pub proxy_starts: u32,
    pub conn: Option<id::ConnId>,
    /// Member as the proxy knows it.
    pub member_id: id::MemberId,
    pub member: usize,
    pub member_starts: u32,
    pub command: member::Command,
    pub purpose: Purpose,
    pub sent_at: Micros,
    /// Proxy that passes the command on, if it does not go the direct way.
    pub via: Option<usize>,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug)]
pub enum Ended {
    Answered(member::Reply),
    Broken,
    Refused,
    /// The member refuses new connections.
    Full,
    Silent,
}

/// A proxy.
pub struct Proxy {
    pub broker: Broker,
    /// Number of the proxy's starts.
    pub starts: u32,
    pub frozen_until: Micros,
    pub conns: BTreeMap<id::ConnId, Conn>,
    pub jobs: BTreeMap<id::RequestId, Job>,
    pub next_request: id::RequestId,
    /// Newest commit of the proxy's callers.
    pub newest_commit: Option<floor::Point>,
    /// Successes of commits that wait until they may be passed on.
    pub successes: Vec<callers::Success>,
}

impl Proxy {
    /// Creates a proxy that knows nothing. Seeds differ in the order in which proxies begin to replace a leader.
    pub fn new(index: usize, starts: u32, seed: u64, fenced: bool) -> Self {
        Self {
            broker: Broker::new(state::Settings {
                name: format!("proxy-{index}-{starts}#{seed}").into(),
                vm_name: vm_name(index),
                place: place(DOMAINS[index % DOMAINS.len()]),
                drain_timeout: Duration::from_secs(7),
                fenced,
            }),
            starts,
            frozen_until: 0,
            conns: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_request: 0,
            newest_commit: None,
            successes: Vec::new(),
        }
    }
}

/// Returns the name of the VM that runs a proxy.
pub fn vm_name(index: usize) -> Box<str> {
    format!("proxy-{index}").into()
}

/// Returns a place in a domain.
pub fn place(domain: &str) -> Place {
    Place {
        region: "north".into(),
        domain: domain.into(),
    }
}

/// Returns the configuration.
pub fn topology() -> topology::Topology {
    let group = topology::Group {
        name: "ledger".into(),
        connections_max: 48,
        sync_replicas: 1,
    };
    topology::Topology::new(1, Vec::new(), vec![(GROUP, group)])
}
