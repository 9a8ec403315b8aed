//! The group, its proxies, their callers and the platform, on one clock.

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
    link::Network,
    member::{Member, Question, Statement},
    node::Node,
    store::Store,
    tally::{self, Tally},
};

/// Time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time between two ticks of a reducer.
const TICK: Duration = Duration::from_millis(10);
/// Name of the group and of the service in front of it.
const NAME: &str = "group";

/// Something that will happen.
#[derive(Clone, Debug)]
enum Happening {
    Arrival,
    Submitted {
        session: usize,
        sent_at: Instant,
        follows: bool,
    },
    FollowUp {
        session: usize,
    },
    Event {
        proxy: usize,
        event: event::Event,
    },
    Tick {
        proxy: usize,
    },
    Statement {
        member: usize,
        statement: Statement,
    },
    Finished {
        member: usize,
        statement: Statement,
    },
    Answer {
        statement: Statement,
        outcome: event::Outcome,
    },
    Overdue {
        statement: Statement,
    },
    Connect {
        member: usize,
        proxy: usize,
        conn: id::ConnId,
    },
    Disconnect {
        member: usize,
        proxy: usize,
        conn: id::ConnId,
    },
    Ask {
        member: usize,
        question: Question,
    },
    AskDue {
        member: usize,
    },
    Grant {
        member: usize,
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        promote: bool,
    },
    Claim {
        proxy: usize,
        control_request: id::ControlRequestId,
        term: id::Term,
        until: Instant,
    },
    Apply {
        member: usize,
        point: floor::Point,
    },
    FaultStart(usize),
    FaultEnd(usize),
}

/// Everything that takes part in an experiment.
#[derive(Debug)]
pub struct World<P> {
    profile: Profile,
    options: Options,
    start: Instant,
    end: Instant,
    rng: StdRng,
    clock: Clock<Happening>,
    network: Network,
    nodes: Vec<Node<P>>,
    members: Vec<Member>,
    sessions: Sessions,
    store: Store,
    rush: f64,
    tally: Tally,
    group: id::GroupId,
}

impl<P: route::Policy + Copy> World<P> {
    /// Builds the deployment with every proxy configured.
    pub fn new(profile: &Profile, options: &Options, policy: P) -> Self {
        let now = Instant::now();
        let start = now + WARM_UP;
        let group = id::of(NAME);
        let members = (0..3).map(|index| Member::new(member_id(index), index == 0));
        let mut world = Self {
            profile: profile.clone(),
            options: options.clone(),
            start,
            end: start + options.length,
            rng: StdRng::seed_from_u64(options.seed),
            clock: Clock::new(now),
            network: Network::new(profile, now),
            nodes: Vec::new(),
            members: members.collect(),
            sessions: Sessions::default(),
            store: Store::default(),
            rush: 1.0,
            tally: Tally::new(start),
            group,
        };
        world.add_nodes(policy, now);
        world.open_sessions();
        world.plan_faults();
        world.clock.plan(now + WARM_UP / 2, Happening::Arrival);
        world
    }

    fn add_nodes(&mut self, policy: P, now: Instant) {
        let count = self.options.proxies;
        let addresses: Vec<Box<str>> = (0..count).map(address).collect();
        for proxy in 0..count {
            let domain = self.profile.domain_of(proxy, count);
            let place = self.profile.domains[domain];
            let name = format!("proxy-{proxy}");
            let identity =
                identity::Identity::new(&name, place.region, place.name, &addresses[proxy]);
            let state = State::with_policy(identity, addresses.clone(), now, policy);
            let node = Node::new(state, domain, addresses[proxy].clone());
            self.nodes.push(node);
            let topology = topology_of(&self.profile);
            let head = peer::Head {
                version: 1,
                digest: "1".into(),
            };
            let event = event::Event::Configured(topology, head);
            self.clock.plan(now, Happening::Event { proxy, event });
            let offset = TICK * u32::try_from(proxy).unwrap_or(0) / 16;
            self.clock.plan(now + offset, Happening::Tick { proxy });
        }
    }

    /// Lets everything happen until the end of the measurement.
    pub fn run(&mut self) {
        while let Some(happening) = self.clock.next(self.end) {
            self.happen(happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival => self.arrival(),
            Happening::Submitted {
                session,
                sent_at,
                follows,
            } => self.submitted(session, sent_at, follows),
            Happening::FollowUp { session } => self.follow_up(session),
            Happening::Event { proxy, event } => self.step(proxy, event),
            Happening::Tick { proxy } => self.tick(proxy),
            Happening::Statement { member, statement } => self.statement(member, statement),
            Happening::Finished { member, statement } => self.finished(member, statement),
            Happening::Answer { statement, outcome } => self.answer(statement, outcome),
            Happening::Overdue { statement } => self.overdue(statement),
            Happening::Connect {
                member,
                proxy,
                conn,
            } => self.connect(member, proxy, conn),
            Happening::Disconnect {
                member,
                proxy,
                conn,
            } => {
                self.members[member].close(|p, c| (p, c) == (proxy, conn));
            }
            Happening::Ask { member, question } => self.asked(member, question),
            Happening::AskDue { member } => self.answer_questions(member),
            Happening::Grant {
                member,
                proxy,
                control_request,
                term,
                promote,
            } => {
                self.grant(member, proxy, control_request, term, promote);
            }
            Happening::Claim {
                proxy,
                control_request,
                term,
                until,
            } => self.claim(proxy, control_request, term, until),
            Happening::Apply { member, point } => self.apply(member, point),
            Happening::FaultStart(index) => self.fault(index, true),
            Happening::FaultEnd(index) => self.fault(index, false),
        }
    }

    fn tick(&mut self, proxy: usize) {
        if !self.nodes[proxy].alive {
            return;
        }
        let now = self.clock.now();
        self.clock.plan(now + TICK, Happening::Tick { proxy });
        self.step(proxy, event::Event::Tick);
        if proxy == 0 && self.tally.measures(now) {
            let open = self
                .members
                .iter()
                .map(|member| member.open.len())
                .sum::<usize>();
            self.tally.second(now).connections = open as u64;
        }
    }

    /// Returns the figures.
    pub fn into_report(self) -> Report {
        let seconds = self.options.length.as_secs_f64();
        let all_seconds = (self.end - self.start + WARM_UP).as_secs_f64();
        let tally = self.tally;
        let carried = self.network.carried;
        let share = |part: u64, whole: u64| part as f64 / (whole.max(1)) as f64;
        let peer: u64 = self.nodes.iter().map(|node| node.peer_bytes).sum();
        let control: u64 = self.nodes.iter().map(|node| node.control_bytes).sum();
        Report {
            profile: self.profile.name.into(),
            policy: format!("{:?}", self.options.policy).into(),
            requests: tally.requests,
            reads: tally.reads,
            replica_share: share(tally.by_replicas, tally.reads),
            region_share: share(tally.in_region, tally.reads),
            writes: tally.writes,
            unknown: tally.unknown,
            refusals: tally.refusals,
            refusal_latency: tally::summary(&tally.refusal_us),
            read_latency: tally::summary(&tally.read_us),
            write_latency: tally::summary(&tally.write_us),
            wait_latency: tally::summary(&tally.wait_us),
            goodput: tally.answers as f64 / seconds,
            retry_share: share(tally.retries, tally.requests),
            connects_per_second: tally.connects as f64 / seconds,
            connects_refused: self.members.iter().map(|member| member.refused).sum(),
            connections_mean: tally.connections_mean(),
            connections_peak: self.members.iter().map(|member| member.open_peak).collect(),
            link_bytes_per_read: share(carried.read_bytes, tally.reads),
            link_bytes_per_write: share(carried.write_bytes, tally.writes),
            link_control_bytes_per_second: carried.control_bytes as f64 / all_seconds,
            control_bytes_per_second: control as f64 / all_seconds / self.nodes.len() as f64,
            peer_bytes_per_second: peer as f64 / all_seconds / self.nodes.len() as f64,
            longest_write_gap_ms: tally.longest_gap.as_secs_f64() * 1_000.0,
            promotions: tally.promotions,
            broken: tally.broken,
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
    id::member(id::of(NAME), &member_name(index))
}

fn topology_of(profile: &Profile) -> topology::Topology {
    let group = id::of(NAME);
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
        name: NAME.into(),
        slots: u32::try_from(profile.slots).unwrap_or(u32::MAX),
        members: members.collect(),
    };
    let service = topology::Service {
        name: NAME.into(),
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

/// Draws from an exponential distribution.
fn exponential(rng: &mut StdRng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}
