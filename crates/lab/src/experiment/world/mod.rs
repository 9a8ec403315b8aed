//! The simulation of an experiment: one database group, its proxies, their callers and the platform, on one virtual
//! clock.

mod callers;
mod faults;
mod members;
mod shell;

use std::time::{Duration, Instant};

use fulmarlift_core::{State, event, floor, id, identity, peer, route, sorted, topology};
use rand::prelude::*;
use rand::rngs::StdRng;

use crate::experiment::{
    Options, Profile, Report,
    caller::Sessions,
    clock::Clock,
    member::{Member, Statement, StatusQuestion},
    network::Network,
    proxy::Proxy,
    store::Store,
    tally::{self, Tally},
};

/// Duration of the warm-up, after which the measurement starts.
const WARM_UP: Duration = Duration::from_secs(3);
/// Interval of the ticks of a reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Name of the database group and of its only service.
const GROUP_NAME: &str = "group";

/// An entry of the event queue. Proxies, members, sessions and faults are given by index.
#[derive(Clone, Debug)]
enum Scheduled {
    /// A caller sends a request.
    NewRequest,
    /// A request arrives at the proxy of its session.
    RequestSubmitted {
        session: usize,
        sent_at: Instant,
        /// Whether the request is the read after an acknowledged write.
        follow_up: bool,
    },
    /// A session whose write was acknowledged sends a read.
    FollowUpRead { session: usize },
    /// The reducer of a proxy gets an event.
    Event { proxy: usize, event: event::Event },
    /// The timer of a proxy fires.
    Tick { proxy: usize },
    /// A statement arrives at a member.
    StatementReceived { member: usize, statement: Statement },
    /// A member has run a statement.
    StatementFinished { member: usize, statement: Statement },
    /// The answer to a statement arrives at its proxy.
    AnswerReceived {
        statement: Statement,
        outcome: event::Outcome,
    },
    /// A proxy gives up a statement unless its answer has arrived.
    StatementTimedOut { statement: Statement },
    /// A proxy's request to open a connection arrives at a member.
    ConnectReceived {
        member: usize,
        proxy: usize,
        conn: id::ConnId,
    },
    /// A member learns that a proxy has closed a connection.
    DisconnectReceived {
        member: usize,
        proxy: usize,
        conn: id::ConnId,
    },
    /// A status question arrives at a member.
    QuestionReceived {
        member: usize,
        question: StatusQuestion,
    },
    /// A member must answer a status question even if its log has not reached the position.
    QuestionDue { member: usize },
    /// A request to fence or promote a member arrives there.
    TermRequestReceived {
        member: usize,
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        promote: bool,
    },
    /// A claim arrives at the platform's store.
    ClaimReceived {
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        until: Instant,
    },
    /// A replica applies a log entry.
    EntryApplied { member: usize, point: floor::Point },
    /// The fault with this index in the options starts.
    FaultStarted(usize),
    /// The fault with this index in the options ends.
    FaultEnded(usize),
}

/// The state of a simulation.
#[derive(Debug)]
pub struct World<P> {
    profile: Profile,
    options: Options,
    /// When the warm-up ends and the measurement starts.
    start: Instant,
    /// When the measurement ends.
    end: Instant,
    rng: StdRng,
    clock: Clock<Scheduled>,
    network: Network,
    proxies: Vec<Proxy<P>>,
    members: Vec<Member>,
    sessions: Sessions,
    store: Store,
    /// Factor by which the fault `Rush` multiplies the load at present.
    load_factor: f64,
    tally: Tally,
    group: id::GroupId,
}

impl<P: route::Policy + Copy> World<P> {
    /// Creates a simulation whose proxies get their configuration at its start. Callers send their first requests in the
    /// middle of the warm-up.
    pub fn new(profile: &Profile, options: &Options, policy: P) -> Self {
        let now = Instant::now();
        let start = now + WARM_UP;
        let group = id::of(GROUP_NAME);
        let members = (0..3).map(|index| Member::new(member_id(index), index == 0));
        let mut world = Self {
            profile: profile.clone(),
            options: options.clone(),
            start,
            end: start + options.length,
            rng: StdRng::seed_from_u64(options.seed),
            clock: Clock::new(now),
            network: Network::new(profile, now),
            proxies: Vec::new(),
            members: members.collect(),
            sessions: Sessions::default(),
            store: Store::default(),
            load_factor: 1.0,
            tally: Tally::new(start),
            group,
        };
        world.add_proxies(policy, now);
        world.open_sessions();
        world.schedule_faults();
        world
            .clock
            .schedule(now + WARM_UP / 2, Scheduled::NewRequest);
        world
    }

    /// Creates the proxies and schedules their configuration and their first ticks, each a sixteenth of the tick
    /// interval after that of the proxy before.
    fn add_proxies(&mut self, policy: P, now: Instant) {
        let count = self.options.proxies;
        let addresses: Vec<Box<str>> = (0..count).map(address).collect();
        for proxy in 0..count {
            let domain = self.profile.domain_of_proxy(proxy, count);
            let failure_domain = self.profile.domains[domain];
            let name = format!("proxy-{proxy}");
            let identity = identity::Identity::new(
                &name,
                failure_domain.region,
                failure_domain.name,
                &addresses[proxy],
            );
            let state = State::with_policy(identity, addresses.clone(), now, policy);
            let process = Proxy::new(state, domain, addresses[proxy].clone());
            self.proxies.push(process);
            let topology = topology_of(&self.profile);
            let head = peer::Head {
                version: 1,
                digest: "1".into(),
            };
            let event = event::Event::Configured(topology, head);
            self.clock.schedule(now, Scheduled::Event { proxy, event });
            let offset = TICK_INTERVAL * u32::try_from(proxy).unwrap_or(0) / 16;
            self.clock.schedule(now + offset, Scheduled::Tick { proxy });
        }
    }

    /// Runs the simulation until the end of the measurement.
    pub fn run(&mut self) {
        while let Some(entry) = self.clock.next(self.end) {
            self.handle(entry);
        }
    }

    fn handle(&mut self, entry: Scheduled) {
        match entry {
            Scheduled::NewRequest => self.generate_request(),
            Scheduled::RequestSubmitted {
                session,
                sent_at,
                follow_up,
            } => self.submit_request(session, sent_at, follow_up),
            Scheduled::FollowUpRead { session } => self.send_follow_up_read(session),
            Scheduled::Event { proxy, event } => self.step(proxy, event),
            Scheduled::Tick { proxy } => self.tick(proxy),
            Scheduled::StatementReceived { member, statement } => {
                self.receive_statement(member, statement)
            }
            Scheduled::StatementFinished { member, statement } => {
                self.finish_statement(member, statement)
            }
            Scheduled::AnswerReceived { statement, outcome } => {
                self.receive_answer(statement, outcome)
            }
            Scheduled::StatementTimedOut { statement } => self.time_out_statement(statement),
            Scheduled::ConnectReceived {
                member,
                proxy,
                conn,
            } => self.receive_connect(member, proxy, conn),
            Scheduled::DisconnectReceived {
                member,
                proxy,
                conn,
            } => {
                self.members[member].close_conns(|p, c| (p, c) == (proxy, conn));
            }
            Scheduled::QuestionReceived { member, question } => {
                self.receive_question(member, question)
            }
            Scheduled::QuestionDue { member } => self.answer_questions(member),
            Scheduled::TermRequestReceived {
                member,
                proxy,
                control_request,
                term,
                promote,
            } => {
                self.receive_term_request(member, proxy, control_request, term, promote);
            }
            Scheduled::ClaimReceived {
                proxy,
                control_request,
                term,
                until,
            } => self.receive_claim(proxy, control_request, term, until),
            Scheduled::EntryApplied { member, point } => self.apply_entry(member, point),
            Scheduled::FaultStarted(index) => self.apply_fault(index, true),
            Scheduled::FaultEnded(index) => self.apply_fault(index, false),
        }
    }

    /// Runs a tick of a proxy and schedules the next one; the first proxy's ticks sample the number of connections. A
    /// stopped proxy has no more ticks.
    fn tick(&mut self, proxy: usize) {
        if !self.proxies[proxy].alive {
            return;
        }
        let now = self.clock.now();
        self.clock
            .schedule(now + TICK_INTERVAL, Scheduled::Tick { proxy });
        self.step(proxy, event::Event::Tick);
        if proxy == 0 && self.tally.is_measuring(now) {
            let open_conns = self
                .members
                .iter()
                .map(|member| member.open_conns.len())
                .sum::<usize>();
            self.tally.second(now).connections = open_conns as u64;
        }
    }

    /// Returns the measurements.
    pub fn into_report(self) -> Report {
        let seconds = self.options.length.as_secs_f64();
        let all_seconds = (self.end - self.start + WARM_UP).as_secs_f64();
        let tally = self.tally;
        let link_bytes = self.network.link_bytes;
        let ratio = |part: u64, whole: u64| part as f64 / (whole.max(1)) as f64;
        let peer_bytes: u64 = self.proxies.iter().map(|process| process.peer_bytes).sum();
        let control_bytes: u64 = self
            .proxies
            .iter()
            .map(|process| process.control_bytes)
            .sum();
        Report {
            profile: self.profile.name.into(),
            policy: format!("{:?}", self.options.policy).into(),
            requests: tally.requests,
            reads: tally.reads,
            replica_share: ratio(tally.reads_by_replicas, tally.reads),
            region_share: ratio(tally.reads_in_region, tally.reads),
            writes: tally.writes,
            unknown: tally.unknown,
            refusals: tally.refusals,
            refusal_latency: tally::latency_summary(&tally.refusal_us),
            read_latency: tally::latency_summary(&tally.read_us),
            write_latency: tally::latency_summary(&tally.write_us),
            wait_latency: tally::latency_summary(&tally.wait_us),
            goodput: tally.answers as f64 / seconds,
            retry_share: ratio(tally.retries, tally.requests),
            connects_per_second: tally.connects as f64 / seconds,
            connects_refused: self.members.iter().map(|member| member.refused_conns).sum(),
            connections_mean: tally.connections_mean(),
            connections_peak: self
                .members
                .iter()
                .map(|member| member.open_conns_peak)
                .collect(),
            link_bytes_per_read: ratio(link_bytes.read_bytes, tally.reads),
            link_bytes_per_write: ratio(link_bytes.write_bytes, tally.writes),
            link_control_bytes_per_second: link_bytes.control_bytes as f64 / all_seconds,
            control_bytes_per_second: control_bytes as f64
                / all_seconds
                / self.proxies.len() as f64,
            peer_bytes_per_second: peer_bytes as f64 / all_seconds / self.proxies.len() as f64,
            longest_write_gap_ms: tally.longest_write_gap.as_secs_f64() * 1_000.0,
            promotions: tally.promotions,
            violations: tally.violations,
            seconds: tally.seconds,
        }
    }
}

fn address(proxy: usize) -> Box<str> {
    format!("proxy-{proxy}").into()
}

fn member_name(index: usize) -> String {
    format!("member-{index}")
}

fn member_id(index: usize) -> id::MemberId {
    id::member(id::of(GROUP_NAME), &member_name(index))
}

/// Returns the topology with the group of the profile.
fn topology_of(profile: &Profile) -> topology::Topology {
    let group = id::of(GROUP_NAME);
    let members = profile.domains.iter().enumerate().map(|(index, domain)| {
        let member = topology::Member {
            name: member_name(index).into(),
            address: member_name(index).into(),
            place: topology::Place {
                region: domain.region.into(),
                domain: domain.name.into(),
            },
            connections: profile.connections,
            connect_time: profile.connect_time,
        };
        (member_id(index), member)
    });
    let config = topology::Group {
        name: GROUP_NAME.into(),
        slots: u32::try_from(profile.slots).unwrap_or(u32::MAX),
        members: members.collect(),
    };
    let service = topology::Service {
        name: GROUP_NAME.into(),
        group,
        limits: topology::Limits {
            request_timeout: profile.request_timeout,
            ..topology::Limits::default()
        },
    };
    topology::Topology {
        version: 1,
        groups: sorted::Map::from_iter([(group, config)]),
        services: sorted::Map::from_iter([(group, service)]),
    }
}

/// Draws a duration from an exponential distribution with this mean.
fn exponential(rng: &mut StdRng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}
