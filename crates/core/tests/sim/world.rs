//! The state of a simulation, and the operations on it: requests, faults and queries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarlift_core::{State, effect, event, floor, id, identity, peer, request, sorted, topology};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sim::member::{Entry, Member};
use crate::sim::network::{self, Cuts, Link, Node};
use crate::sim::platform::Platform;
use crate::sim::run::Scheduled;

/// Time between ticks of a proxy.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two replication steps of a member.
pub const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);
/// Time to open a connection.
pub const CONNECT_TIME: Duration = Duration::from_millis(12);
/// Number of connections that each member accepts.
const MEMBER_CONNECTIONS: u32 = 16;

/// A simulated proxy process.
pub struct Proxy {
    pub state: State,
    pub id: id::ProxyId,
    pub domain: Box<str>,
    pub incarnation: u32,
    pub up: bool,
    pub next_request: id::RequestId,
}

/// A caller's request and its answer, if there is one yet.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub proxy: usize,
    /// Key that a write inserts; `None` for a read.
    pub key: Option<u64>,
    /// The session's floor, if the caller presented a token.
    pub floor: Option<floor::Floor>,
    pub sent_at: Duration,
    pub answer: Option<(Duration, Answer)>,
}

/// The answer that a caller got.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The write committed at this point.
    Done(floor::Point),
    /// The read returned these keys from this member.
    Rows {
        member: usize,
        keys: Vec<u64>,
    },
    NotRun(effect::Reason),
    Unknown,
}

/// The state of a simulation.
pub struct World {
    /// Start of the simulation on the proxies' clock.
    pub base: Instant,
    /// Time since the start.
    pub now: Duration,
    pub link: Link,
    pub cuts: Cuts,
    pub rng: StdRng,
    pub group: id::GroupId,
    pub proxies: Vec<Proxy>,
    pub members: Vec<Member>,
    pub member_domains: Vec<Box<str>>,
    pub members_up: Vec<bool>,
    /// Frozen processes, and when each thaws.
    pub frozen: Vec<(Node, Duration)>,
    pub platform: Platform,
    /// Requests of callers, by proxy, incarnation and request identifier.
    pub requests: BTreeMap<(usize, u32, id::RequestId), CallerRequest>,
    /// Running requests, with the result that the shell returns if a request is interrupted.
    pub running: BTreeMap<(usize, u32, id::RequestId), event::Returned>,
    pub state_changes: Vec<(Duration, usize, effect::StateChange)>,
    /// Number of status requests that proxies have sent.
    pub status_messages: u64,
    /// Number of heartbeats that proxies have sent to peers.
    pub peer_messages: u64,
    pub peer_bytes: u64,
    pub vms: Vec<peer::Vm>,
    pub queue: BTreeMap<(Duration, u64), Scheduled>,
    pub sequence: u64,
}

impl World {
    /// Starts a group with a member in each domain of `members`, the first of them primary, and a proxy in each
    /// domain of `proxies`.
    pub fn new(link: Link, seed: u64, members: &[&str], proxies: &[&str]) -> Self {
        let start = Entry {
            term: 1,
            key: None,
            at: Duration::ZERO,
        };
        let member = |index: usize| Member {
            term: 1,
            primary: index == 0,
            history_term: u64::from(index == 0),
            log: vec![start],
            ..Member::default()
        };
        let mut world = Self {
            base: Instant::now(),
            now: Duration::ZERO,
            link,
            cuts: Cuts::default(),
            rng: StdRng::seed_from_u64(seed),
            group: id::of("ledger"),
            proxies: Vec::new(),
            members: (0..members.len()).map(member).collect(),
            member_domains: members.iter().map(|domain| (*domain).into()).collect(),
            members_up: vec![true; members.len()],
            frozen: Vec::new(),
            platform: Platform::default(),
            requests: BTreeMap::new(),
            running: BTreeMap::new(),
            state_changes: Vec::new(),
            status_messages: 0,
            peer_messages: 0,
            peer_bytes: 0,
            vms: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for member in 0..members.len() {
            world.schedule(REPLICATION_INTERVAL, Scheduled::Replicate(member));
        }
        for domain in proxies {
            world.add_proxy(domain, proxies.len());
        }
        world
    }

    fn add_proxy(&mut self, domain: &str, count: usize) {
        let index = self.proxies.len();
        self.proxies.push(Proxy {
            state: new_state(index, 0, domain, count, self.base),
            id: id::of(&proxy_name(index, 0)),
            domain: domain.into(),
            incarnation: 0,
            up: true,
            next_request: 0,
        });
        self.start_proxy(index);
    }

    fn start_proxy(&mut self, index: usize) {
        let incarnation = self.proxies[index].incarnation;
        let head = peer::Head {
            version: 1,
            digest: "1".into(),
        };
        let topology = self.topology();
        self.step(index, event::Event::Configured(topology, head));
        // The ticks of different proxies do not coincide.
        let phase =
            Duration::from_micros(id::rendezvous_weight(index as u64, self.sequence) % 20_000);
        self.schedule(
            phase,
            Scheduled::Tick {
                proxy: index,
                incarnation,
            },
        );
    }

    fn topology(&self) -> topology::Topology {
        let domains = self.member_domains.iter().enumerate();
        let members = domains.map(|(index, domain)| {
            let member = topology::Member {
                name: member_name(index).into(),
                address: member_address(index),
                place: place(domain),
                connections: MEMBER_CONNECTIONS,
                connect_time: CONNECT_TIME,
            };
            (self.member_id(index), member)
        });
        let group = topology::Group {
            name: "ledger".into(),
            slots: 2,
            members: members.collect(),
        };
        let service = topology::Service {
            name: "handovers".into(),
            group: self.group,
            limits: topology::Limits::default(),
        };
        topology::Topology {
            version: 1,
            groups: [(self.group, group)]
                .into_iter()
                .collect::<sorted::Map<_, _>>(),
            services: [(id::of("handovers"), service)].into_iter().collect(),
        }
    }

    /// Returns the identifier of a member.
    pub fn member_id(&self, index: usize) -> id::MemberId {
        id::member(self.group, &member_name(index))
    }

    /// Returns the index of a member.
    pub fn member_index(&self, member: id::MemberId) -> usize {
        let indexes = 0..self.members.len();
        let mut found = indexes.filter(|index| self.member_id(*index) == member);
        found.next().expect("effects name members of the group")
    }

    /// Returns the current time as proxies see it.
    pub fn instant(&self) -> Instant {
        self.base + self.now
    }

    /// Sends a caller's request to a proxy: a write of `key`, or a read without one. Returns the request's key
    /// in `requests`.
    pub fn send_request(
        &mut self,
        proxy: usize,
        key: Option<u64>,
        floor: Option<floor::Floor>,
        timeout: Duration,
    ) -> (usize, u32, id::RequestId) {
        let sent_at = self.now;
        let deadline = self.instant() + timeout;
        let process = &mut self.proxies[proxy];
        process.next_request += 1;
        let id = (proxy, process.incarnation, process.next_request);
        let caller_request = CallerRequest {
            proxy,
            key,
            floor: floor.clone(),
            sent_at,
            answer: None,
        };
        self.requests.insert(id, caller_request);
        if !self.proxies[proxy].up {
            self.answer(id, Answer::Unknown);
            return id;
        }
        let kind = match key {
            Some(_) => request::Kind::Write { repeatable: false },
            None => request::Kind::Read { fresh_since: None },
        };
        let request = request::Request {
            id: id.2,
            caller: id::of("courier"),
            service: id::of("handovers"),
            kind,
            floor,
            deadline,
        };
        let incarnation = id.1;
        let event = event::Event::Arrived(request);
        self.schedule(
            Duration::ZERO,
            Scheduled::Event {
                proxy,
                incarnation,
                event,
            },
        );
        id
    }

    /// Records the answer to a request; later answers change nothing.
    pub fn answer(&mut self, id: (usize, u32, id::RequestId), answer: Answer) {
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&id) {
            request.answer.get_or_insert((now, answer));
        }
    }

    /// Returns whether a process is running.
    pub fn is_up(&self, node: Node) -> bool {
        match node {
            Node::Member(member) => self.members_up[member],
            Node::Proxy(proxy) => self.proxies[proxy].up,
            Node::Platform => !self.platform.down,
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, node: Node) {
        match node {
            Node::Member(member) => self.members_up[member] = false,
            Node::Platform => self.platform.down = true,
            Node::Proxy(proxy) => {
                self.proxies[proxy].up = false;
                let open = self
                    .requests
                    .iter()
                    .filter(|(_, request)| request.proxy == proxy);
                for id in open.map(|(id, _)| *id).collect::<Vec<_>>() {
                    self.answer(id, Answer::Unknown);
                }
            }
        }
    }

    /// Restarts a killed process: a member keeps its log, a proxy loses its state.
    pub fn restart(&mut self, node: Node) {
        match node {
            Node::Member(member) => {
                self.members_up[member] = true;
                self.members[member].held.clear();
            }
            Node::Platform => self.platform.down = false,
            Node::Proxy(proxy) => {
                let (now, count) = (self.instant(), self.proxies.len());
                let process = &mut self.proxies[proxy];
                process.incarnation += 1;
                process.up = true;
                let incarnation = process.incarnation;
                process.id = id::of(&proxy_name(proxy, incarnation));
                process.state = new_state(proxy, incarnation, &process.domain, count, now);
                self.start_proxy(proxy);
            }
        }
    }

    /// Freezes a process for this time.
    pub fn freeze(&mut self, node: Node, time: Duration) {
        let until = self.now + time;
        self.frozen.retain(|(frozen, _)| *frozen != node);
        self.frozen.push((node, until));
    }

    /// Sends all proxies a list of VMs in which a member's VM is leaving.
    pub fn announce_leaving(&mut self, member: usize) {
        self.vms.push(peer::Vm {
            name: member_name(member).into(),
            address: member_address(member),
            place: place(&self.member_domains[member]),
            state: peer::VmState::Leaving,
        });
        for proxy in 0..self.proxies.len() {
            let event = event::Event::VmsListed(self.vms.clone());
            self.step(proxy, event);
        }
    }

    /// Returns the primary that a proxy knows: term, member index and whether the primary answers the proxy.
    pub fn primary_seen_by(&self, proxy: usize) -> Option<(id::Term, usize, bool)> {
        let group = self.proxies[proxy].state.groups().get(self.group)?;
        let primary = group.watch.primary()?;
        let index = self.member_index(primary.id);
        Some((group.watch.top_term(), index, primary.reachable))
    }

    /// Returns the names by which a cut can select a node: its own, its domain's and its region's.
    pub fn names(&self, node: Node) -> [String; 3] {
        let (name, domain) = match node {
            Node::Proxy(index) => (
                format!("p{}", index + 1),
                self.proxies[index].domain.as_ref(),
            ),
            Node::Member(index) => (member_name(index), self.member_domains[index].as_ref()),
            Node::Platform => ("store".to_owned(), "rvk-store"),
        };
        let region = network::region(domain);
        [name, domain.to_owned(), region.to_owned()]
    }
}

/// Returns the name of a member.
pub fn member_name(index: usize) -> String {
    format!("m{}", index + 1)
}

fn member_address(index: usize) -> Box<str> {
    format!("10.0.0.{}:5432", index + 1).into()
}

fn proxy_name(index: usize, incarnation: u32) -> String {
    format!("p{}.{incarnation}", index + 1)
}

/// Returns the address at which peers reach a proxy.
pub fn proxy_address(index: usize) -> Box<str> {
    format!("10.1.0.{}:7000", index + 1).into()
}

fn place(domain: &str) -> topology::Place {
    topology::Place {
        region: network::region(domain).into(),
        domain: domain.into(),
    }
}

fn new_state(index: usize, incarnation: u32, domain: &str, count: usize, now: Instant) -> State {
    let name = proxy_name(index, incarnation);
    let address = proxy_address(index);
    let identity = identity::Identity::new(&name, network::region(domain), domain, &address);
    State::new(identity, (0..count).map(proxy_address).collect(), now)
}
