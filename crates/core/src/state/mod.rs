//! The reducer: applies all events of a proxy to its state.

mod configure;
mod conns;
mod groups;
mod interrupt;
mod leaving;
mod lending;
mod outcome;
mod peers;
mod preview;
mod read_counts;
mod requests;
mod tick;

use std::time::Instant;

use crate::effect;
use crate::event;
use crate::group;
use crate::id;
use crate::identity;
use crate::limit;
use crate::peer;
use crate::request;
use crate::route;
use crate::sorted;
use crate::topology;

pub use read_counts::ReadCounts;

/// The state of a proxy: everything that its decisions depend on.
#[derive(Clone, Debug)]
pub struct State<P = route::Nearest> {
    identity: identity::Identity,
    policy: P,
    topology: topology::Topology,
    head: peer::Head,
    groups: sorted::Map<id::GroupId, group::Group>,
    requests: sorted::Map<id::RequestId, request::Active>,
    /// The member that each connection leads to.
    conn_members: sorted::Map<id::ConnId, MemberRef>,
    admission: limit::Admission,
    retry_budget: limit::RetryBudget,
    peers: peer::Table,
    /// Sequence number of the last heartbeat to peers.
    heartbeat_sequence: u64,
    read_counts: ReadCounts,
    draining: bool,
    drained: bool,
    /// Identifier of the last control request; the next one is one higher.
    last_control_request: id::ControlRequestId,
    /// Identifier of the last connection; the next one is one higher.
    last_conn: id::ConnId,
}

/// The member that a connection leads to, and its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct MemberRef {
    group: id::GroupId,
    member: id::MemberId,
}

impl State {
    /// Creates the state of a proxy before any event. `peers` are the addresses of peers from the settings.
    pub fn new(identity: identity::Identity, peers: Vec<Box<str>>, now: Instant) -> Self {
        Self::with_policy(identity, peers, now, route::Nearest)
    }
}

impl<P: route::Policy> State<P> {
    /// Creates the state of a proxy that routes requests by the given policy.
    pub fn with_policy(
        identity: identity::Identity,
        peers: Vec<Box<str>>,
        now: Instant,
        policy: P,
    ) -> Self {
        Self {
            identity,
            policy,
            topology: topology::Topology::default(),
            head: peer::Head::default(),
            groups: sorted::Map::default(),
            requests: sorted::Map::default(),
            conn_members: sorted::Map::default(),
            admission: limit::Admission::default(),
            retry_budget: limit::RetryBudget::default(),
            peers: peer::Table::new(peers, now),
            heartbeat_sequence: 0,
            read_counts: ReadCounts::default(),
            draining: false,
            drained: false,
            last_control_request: 0,
            last_conn: 0,
        }
    }

    /// Applies one event to the state and appends the resulting effects to `effects`.
    pub fn step(&mut self, now: Instant, event: event::Event, effects: &mut Vec<effect::Effect>) {
        match event {
            event::Event::Arrived(request) => self.handle_arrived(now, request, effects),
            event::Event::Abandoned(request) => self.handle_abandoned(now, request),
            event::Event::StatementArrived { request, deadline } => {
                self.handle_statement_arrived(request, deadline)
            }
            event::Event::Returned(returned) => self.handle_returned(now, returned, effects),
            event::Event::Opened(conn) => self.handle_opened(now, conn, effects),
            event::Event::OpenFailed { conn, full } => {
                self.handle_open_failed(now, conn, full, effects)
            }
            event::Event::IdleClosed(conn) => self.forget_connection(now, conn, effects),
            event::Event::StatusAnswered(answer) => self.handle_status_answer(now, answer, effects),
            event::Event::TermAnswered(answer) => self.handle_term_answer(now, answer, effects),
            event::Event::ClaimAnswered(answer) => self.handle_claim_answer(now, answer, effects),
            event::Event::HeartbeatArrived(message) => self.handle_heartbeat(now, message, effects),
            event::Event::VmsListed(vms) => self.handle_vms(now, &vms, effects),
            event::Event::Configured(topology, head) => {
                self.configure(now, topology, head, effects)
            }
            event::Event::Drain => self.draining = true,
            event::Event::Tick => self.tick(now, effects),
        }
        self.finish_drain(effects);
    }

    /// Returns the topology in force.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns the version and digest of the configuration in force.
    pub fn head(&self) -> &peer::Head {
        &self.head
    }

    /// Returns the state of each group.
    pub fn groups(&self) -> &sorted::Map<id::GroupId, group::Group> {
        &self.groups
    }

    /// Returns the state of the peers.
    pub fn peers(&self) -> &peer::Table {
        &self.peers
    }

    /// Returns the numbers of reads sent to replicas and to primaries; a retried read counts again.
    pub fn read_counts(&self) -> ReadCounts {
        self.read_counts
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    fn finish_drain(&mut self, effects: &mut Vec<effect::Effect>) {
        if self.draining && !self.drained && self.requests.is_empty() {
            self.drained = true;
            effects.push(effect::Effect::Drained);
        }
    }
}
