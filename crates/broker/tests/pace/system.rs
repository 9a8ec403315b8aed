//! Six homes in front of a leader and two replicas, which are modelled as slots with a short queue. Deterministic, without a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use fulmarlift_broker::Broker;
use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{Effect, Grant};
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport};
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Group, Member, Peer, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::support::{GROUP, member_at, place, version};

pub const HOMES: usize = 6;
pub const SLOTS: u32 = 5;
/// Statements that wait at a member before it answers that it is busy.
const QUEUE_MAX: usize = 5;
/// Usual time of a statement, in microseconds, on average.
const SERVICE_US: u64 = 10_000;
const OPEN_US: u64 = 12_000;
const TICK_US: u64 = 100_000;
/// Time to a refusal by a member.
const REFUSAL_US: u64 = 500;
const DEADLINE: Duration = Duration::from_millis(800);
const OBJECTIVE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Work {
    Statement { grant: Grant, sent_us: u64 },
    Probe(id::ConnId),
    Open(id::ConnId),
}

#[derive(Clone, Copy, Debug)]
struct Job {
    home: usize,
    work: Work,
}

/// Trouble of a member during a phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    pub from_ms: u64,
    pub until_ms: u64,
    /// Factor of the time of each statement; 0 stands for 1.
    pub slowness: u64,
    /// Statements of a hundred that fail.
    pub failing_percent: u32,
    pub down: bool,
}

/// A member, and what happened at it.
#[derive(Debug)]
pub struct Server {
    pub entry: Member,
    phases: Vec<Phase>,
    running: u32,
    queue: VecDeque<Job>,
    /// Number of the process, which changes with a restart.
    process: u32,
    /// Instants of the arrivals, in microseconds, and the number of statements that waited then.
    arrivals: Vec<(u64, usize)>,
    /// Instants of the busy answers, in microseconds.
    busy: Vec<u64>,
}

impl Server {
    fn phase(&self, now_us: u64) -> Phase {
        let during = |phase: &&Phase| (phase.from_ms..phase.until_ms).contains(&(now_us / 1_000));
        self.phases.iter().find(during).copied().unwrap_or_default()
    }

    /// Returns the number of statements that arrived in a time.
    pub fn arrived(&self, from_ms: u64, until_ms: u64) -> usize {
        self.arrivals_between(from_ms, until_ms).count()
    }

    /// Returns the mean number of statements that waited when others arrived.
    pub fn waiting(&self, from_ms: u64, until_ms: u64) -> f64 {
        let waiting: usize = self.arrivals_between(from_ms, until_ms).sum();
        waiting as f64 / self.arrived(from_ms, until_ms) as f64
    }

    /// Returns the number of busy answers in a time.
    pub fn busy_between(&self, from_ms: u64, until_ms: u64) -> usize {
        let during = |us: &&u64| (from_ms..until_ms).contains(&(*us / 1_000));
        self.busy.iter().filter(during).count()
    }

    fn arrivals_between(&self, from_ms: u64, until_ms: u64) -> impl Iterator<Item = usize> {
        let during = move |us: u64| (from_ms..until_ms).contains(&(us / 1_000));
        let arrivals = self.arrivals.iter();
        arrivals
            .filter(move |arrival| during(arrival.0))
            .map(|arrival| arrival.1)
    }
}

#[derive(Debug)]
enum Next {
    Arrival(usize),
    Tick,
    Expiry(usize),
    Done(usize, u32, Job),
    Refused(usize, Job, bool),
    Down(usize),
    Restart(usize, u32),
}

/// The play.
pub struct System {
    start: Instant,
    pub now_us: u64,
    pub homes: Vec<Broker>,
    pub servers: Vec<Server>,
    /// Instant, home, request and member of each grant.
    pub grants: Vec<(u64, usize, id::RequestId, id::MemberId)>,
    pub refused: usize,
    conns: Vec<(usize, id::ConnId, usize)>,
    requests: Vec<(usize, Request)>,
    expiries: Vec<Option<u64>>,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    items: Vec<Option<Next>>,
    rng: StdRng,
    interval_us: u64,
    writes_percent: u32,
    next_request: id::RequestId,
}

impl System {
    /// Creates the system. Each home gets `rate_per_s` requests.
    pub fn new(paced: bool, rate_per_s: u64, writes_percent: u32) -> Self {
        let start = Instant::now();
        let entries = [(1, "a"), (2, "b"), (3, "c")].map(|(member, domain)| Member {
            slots: SLOTS,
            ..member_at(member, domain, member == 1)
        });
        let homes = (0..HOMES).map(|home| {
            let mut broker = Broker::new(settings(home));
            if paced {
                broker.adapt_concurrency();
            }
            broker
        });
        let mut system = Self {
            start,
            now_us: 0,
            homes: homes.collect(),
            servers: entries.map(server).into(),
            grants: Vec::new(),
            refused: 0,
            conns: Vec::new(),
            requests: Vec::new(),
            expiries: vec![None; HOMES],
            agenda: BinaryHeap::new(),
            items: Vec::new(),
            rng: StdRng::seed_from_u64(64),
            interval_us: 1_000_000 / rate_per_s,
            writes_percent,
            next_request: 0,
        };
        for home in 0..HOMES {
            system.step(home, Event::Configured(topology()));
            for index in 0..system.servers.len() {
                let entry = system.servers[index].entry.clone();
                system.step(home, Event::Listed(entry));
            }
            for other in 0..HOMES {
                system.step(home, Event::PeerListed(peer(other)));
            }
            system.step(home, Event::PeersRead);
            let first_us = 12_000_000 + system.interval_us * home as u64 / HOMES as u64;
            system.schedule(first_us, Next::Arrival(home));
        }
        system.schedule(0, Next::Tick);
        system
    }

    /// Adds trouble of the member at this index.
    pub fn add_phase(&mut self, index: usize, phase: Phase) {
        if phase.down {
            self.schedule(phase.from_ms * 1_000, Next::Down(index));
        }
        self.servers[index].phases.push(phase);
    }

    /// Restarts a member with another incarnation, whose entry says that it is slow for `cold_remaining_ms`.
    pub fn restart(&mut self, at_ms: u64, index: usize, cold_remaining_ms: u32) {
        self.schedule(at_ms * 1_000, Next::Restart(index, cold_remaining_ms));
    }

    /// Plays until an instant.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(&Reverse((at_us, item))) = self.agenda.peek() {
            if at_us >= until_ms * 1_000 {
                break;
            }
            self.agenda.pop();
            self.now_us = at_us;
            if let Some(next) = self.items[item as usize].take() {
                self.handle(next);
            }
        }
        self.now_us = until_ms * 1_000;
    }

    /// Returns the number of homes that limit a member.
    pub fn limiting_homes(&self, index: usize) -> usize {
        let member = self.servers[index].entry.id;
        let limits = self.homes.iter().map(|home| home.pace_limit(member));
        limits.flatten().count()
    }

    fn handle(&mut self, next: Next) {
        match next {
            Next::Arrival(home) => {
                self.schedule(self.now_us + self.interval_us, Next::Arrival(home));
                self.arrive(home);
            }
            Next::Tick => {
                self.schedule(self.now_us + TICK_US, Next::Tick);
                for home in 0..HOMES {
                    let answered_at = Some(self.now());
                    self.step(home, Event::DirectoryRead { answered_at });
                    self.step(home, Event::Tick);
                }
            }
            Next::Expiry(home) => {
                if self.expiries[home] == Some(self.now_us) {
                    self.expiries[home] = None;
                    self.step(home, Event::RequestsExpired);
                }
            }
            Next::Done(index, process, job) => self.finish(index, process, job),
            Next::Refused(index, job, busy) => self.refuse(index, job, busy),
            Next::Down(index) => self.stop(index),
            Next::Restart(index, cold_remaining_ms) => {
                self.stop(index);
                let entry = &mut self.servers[index].entry;
                entry.id += 10;
                entry.revision = version(entry.id);
                entry.cold_remaining_ms = cold_remaining_ms;
                let entry = entry.clone();
                for home in 0..HOMES {
                    self.step(home, Event::Listed(entry.clone()));
                }
            }
        }
    }

    fn arrive(&mut self, home: usize) {
        let now = self.now();
        self.next_request += 1;
        let requirement = match self.rng.random_range(0..100) < self.writes_percent {
            true => Requirement::Leader,
            false => Requirement::Recent {
                acknowledged_before: now - Duration::from_millis(1_500),
                session_commit: None,
            },
        };
        let request = Request {
            id: self.next_request,
            group: GROUP,
            requirement,
            priority: 1,
            objective_at: now + OBJECTIVE,
            deadline: now + DEADLINE,
            avoid: None,
            hedge: false,
            forwarded: false,
            workspace: None,
        };
        self.requests.push((home, request.clone()));
        self.step(home, Event::Arrived(request));
    }

    /// Ends the process of a member: its connections break.
    fn stop(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.process += 1;
        server.running = 0;
        server.queue.clear();
        let (broken, kept) = std::mem::take(&mut self.conns)
            .into_iter()
            .partition(|conn| conn.2 == index);
        self.conns = kept;
        let broken: Vec<(usize, id::ConnId, usize)> = broken;
        // Statements under way end as broken when their turn comes, see `finish`.
        for (home, conn, _) in broken {
            self.step(home, Event::IdleConnectionLost(conn));
        }
    }

    fn send(&mut self, member: id::MemberId, job: Job) {
        let Some(index) = self.index_of(member) else {
            self.schedule(self.now_us + REFUSAL_US, Next::Refused(0, job, false));
            return;
        };
        let phase = self.servers[index].phase(self.now_us);
        let server = &mut self.servers[index];
        if matches!(job.work, Work::Statement { .. }) {
            server.arrivals.push((self.now_us, server.queue.len()));
        }
        let full = server.running >= SLOTS && server.queue.len() >= QUEUE_MAX;
        if phase.down || full {
            if !phase.down {
                server.busy.push(self.now_us);
            }
            self.schedule(
                self.now_us + REFUSAL_US,
                Next::Refused(index, job, !phase.down),
            );
        } else if server.running >= SLOTS {
            server.queue.push_back(job);
        } else {
            self.run(index, job);
        }
    }

    fn run(&mut self, index: usize, job: Job) {
        let slowness = self.servers[index].phase(self.now_us).slowness.max(1);
        let usual_us = match job.work {
            Work::Open(_) => OPEN_US,
            _ => self.rng.random_range(SERVICE_US / 2..SERVICE_US * 3 / 2),
        };
        let server = &mut self.servers[index];
        server.running += 1;
        let done = Next::Done(index, server.process, job);
        self.schedule(self.now_us + usual_us * slowness, done);
    }

    fn finish(&mut self, index: usize, process: u32, job: Job) {
        if self.servers[index].process != process {
            return self.refuse(index, job, false);
        }
        let phase = self.servers[index].phase(self.now_us);
        self.servers[index].running -= 1;
        if let Some(waiting) = self.servers[index].queue.pop_front() {
            self.run(index, waiting);
        }
        match job.work {
            Work::Open(conn) => {
                self.conns.push((job.home, conn, index));
                self.step(job.home, Event::Opened(conn));
            }
            Work::Probe(conn) => {
                let answer = Answer::Led {
                    sent_at: self.now() - Duration::from_millis(1),
                    commit: false,
                };
                let member = self.servers[index].entry.id;
                let report = report(member, answer, None);
                self.step(job.home, Event::ProbeEnded(report));
                self.step(
                    job.home,
                    Event::Returned {
                        conn,
                        reusable: true,
                    },
                );
            }
            Work::Statement { grant, sent_us } => {
                let failed = self.rng.random_range(0..100) < phase.failing_percent;
                let answer = match failed {
                    true => Answer::Failed,
                    false => Answer::Served,
                };
                self.end(job.home, grant, sent_us, answer);
            }
        }
    }

    fn refuse(&mut self, _index: usize, job: Job, busy: bool) {
        match job.work {
            Work::Open(conn) => {
                let failure = match busy {
                    true => OpenFailure::Full,
                    false => OpenFailure::Refused,
                };
                self.step(job.home, Event::OpenFailed { conn, failure });
            }
            Work::Probe(conn) => {
                let report = report(1, Answer::Broken, None);
                self.step(job.home, Event::ProbeEnded(report));
                let reusable = false;
                self.step(job.home, Event::Returned { conn, reusable });
            }
            Work::Statement { grant, sent_us } => {
                let answer = match busy {
                    true => Answer::Busy,
                    false => Answer::Broken,
                };
                self.end(job.home, grant, sent_us, answer);
            }
        }
    }

    /// Ends a statement. One that was not served is tried once more elsewhere.
    fn end(&mut self, home: usize, grant: Grant, sent_us: u64, answer: Answer) {
        let took = Duration::from_micros(self.now_us - sent_us);
        let report = report(grant.member, answer, Some(took));
        let request = self.take_request(grant.request);
        self.step(home, Event::StatementEnded(report));
        let (conn, reusable) = (grant.conn, answer != Answer::Broken);
        self.step(home, Event::Returned { conn, reusable });
        let Some((home, mut request)) = request else {
            return;
        };
        if answer == Answer::Served {
            return;
        }
        if request.avoid.is_none() {
            request.avoid = Some(grant.member);
            self.requests.push((home, request.clone()));
            self.step(home, Event::Arrived(request));
        } else {
            self.refused += 1;
        }
    }

    fn take_request(&mut self, id: id::RequestId) -> Option<(usize, Request)> {
        let index = self
            .requests
            .iter()
            .position(|request| request.1.id == id)?;
        Some(self.requests.swap_remove(index))
    }

    /// Passes an event to a home and carries out the effects.
    fn step(&mut self, home: usize, event: Event) {
        let mut effects = Vec::new();
        let now = self.now();
        self.homes[home].step(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Grant(grant) => {
                    let entry = (self.now_us, home, grant.request, grant.member);
                    self.grants.push(entry);
                    let sent_us = self.now_us;
                    let work = Work::Statement { grant, sent_us };
                    self.send(grant.member, Job { home, work });
                }
                Effect::Refuse(refusal) => {
                    self.take_request(refusal.request);
                    self.refused += 1;
                }
                Effect::Open { conn, member } => {
                    let work = Work::Open(conn);
                    self.send(member, Job { home, work });
                }
                Effect::Probe { conn, member } => {
                    let work = Work::Probe(conn);
                    self.send(member, Job { home, work });
                }
                Effect::Close(conn) => {
                    self.conns
                        .retain(|known| (known.0, known.1) != (home, conn));
                }
                Effect::LoadClaim(group) => self.step(
                    home,
                    Event::ClaimLoaded {
                        group,
                        asked_at: now,
                        stored: Some(ClaimRow::default()),
                    },
                ),
                _ => {}
            }
        }
        let expiry = self.homes[home].next_expiry();
        let expiry_us = expiry.map(|at| (at - self.start).as_micros() as u64 + 1);
        if let Some(at_us) = expiry_us.filter(|at| self.expiries[home] != Some(*at)) {
            self.schedule(at_us.max(self.now_us + 1), Next::Expiry(home));
            self.expiries[home] = Some(at_us.max(self.now_us + 1));
        }
    }

    fn index_of(&self, member: id::MemberId) -> Option<usize> {
        self.servers
            .iter()
            .position(|server| server.entry.id == member)
    }

    fn schedule(&mut self, at_us: u64, next: Next) {
        self.agenda.push(Reverse((at_us, self.items.len() as u64)));
        self.items.push(Some(next));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }
}

fn report(member: id::MemberId, answer: Answer, took: Option<Duration>) -> StatementReport {
    // One point for all logs: no replica is ever behind.
    let answered = matches!(answer, Answer::Served | Answer::Led { .. });
    StatementReport {
        member,
        answer,
        point: answered.then(|| Point::new(3, 1_000)),
        floor: None,
        connected_at: None,
        took,
    }
}

fn server(entry: Member) -> Server {
    Server {
        entry,
        phases: Vec::new(),
        running: 0,
        queue: VecDeque::new(),
        process: 0,
        arrivals: Vec::new(),
        busy: Vec::new(),
    }
}

fn domain(home: usize) -> &'static str {
    ["a", "b", "c"][home % 3]
}

fn settings(home: usize) -> Settings {
    Settings {
        name: format!("proxy-{home}-0").into(),
        vm_name: format!("proxy-{home}").into(),
        place: place(domain(home)),
        drain_timeout: Duration::from_secs(7),
        fenced: true,
    }
}

fn peer(home: usize) -> Peer {
    Peer {
        vm_name: format!("proxy-{home}").into(),
        address: ([127, 0, 0, 1], 7_000 + home as u16).into(),
        updates_address: ([127, 0, 0, 1], 8_000 + home as u16).into(),
        place: place(domain(home)),
    }
}

fn topology() -> Topology {
    let group = Group {
        name: "ledger".into(),
        connections_max: 53,
        sync_replicas: 1,
    };
    Topology::new(1, Vec::new(), vec![(GROUP, group)])
}
