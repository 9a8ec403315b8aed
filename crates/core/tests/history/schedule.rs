//! Random schedules of requests and faults.

use std::time::Duration;

use fulmarlift_core::floor;
use proptest::prelude::{Just, Strategy, any};
use proptest::{collection, prop_oneof};

use crate::sim::network::{Link, Node, REYKJAVIK};
use crate::sim::world::{Answer, World};

const DOMAINS: [&str; 3] = ["rvk-a", "rvk-b", "aey-a"];
const PROXIES: usize = 3;
const STEPS: std::ops::Range<usize> = 10..50;
const SESSIONS: usize = 2;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const WARM_UP_TIME: Duration = Duration::from_secs(1);
/// Time for which [`Fault::Frozen`] freezes a primary.
const FREEZE_TIME: Duration = Duration::from_secs(4);
/// Time after the end of all faults within which the group must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Write {
        proxy: usize,
        session: usize,
    },
    Read {
        proxy: usize,
        session: Option<usize>,
    },
    Advance {
        time_ms: u64,
    },
    Kill(Node),
    /// Kills, freezes or cuts off the primary of the highest term.
    FailPrimary(Fault),
    Restart(Node),
    Freeze {
        node: Node,
        time_ms: u64,
    },
    CutDomain(usize),
    CutNodes(Node, Node),
    Heal,
    Lag {
        member: usize,
        lag_ms: u64,
    },
    StoreSlow {
        delay_ms: u64,
    },
    LoseAnswers,
    Leave(usize),
}

/// How a primary fails.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Killed,
    Frozen,
    Cut,
}

/// A random sequence of requests and faults.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    /// Whether one message in a hundred is lost.
    pub lossy: bool,
    pub steps: Vec<Step>,
}

/// Returns a strategy that generates schedules.
pub fn schedules() -> impl Strategy<Value = Schedule> {
    let steps = collection::vec(step(), STEPS);
    let parts = (any::<u64>(), any::<bool>(), steps);
    parts.prop_map(|(seed, lossy, steps)| Schedule { seed, lossy, steps })
}

fn node() -> impl Strategy<Value = Node> {
    prop_oneof![
        4 => (0..DOMAINS.len()).prop_map(Node::Member),
        3 => (0..PROXIES).prop_map(Node::Proxy),
        1 => Just(Node::Platform),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![Just(Fault::Killed), Just(Fault::Frozen), Just(Fault::Cut)]
}

fn step() -> impl Strategy<Value = Step> {
    let proxy = 0..PROXIES;
    let session = proptest::option::of(0..SESSIONS);
    prop_oneof![
        12 => (proxy.clone(), 0..SESSIONS).prop_map(|(proxy, session)| Step::Write { proxy, session }),
        8 => (proxy, session).prop_map(|(proxy, session)| Step::Read { proxy, session }),
        8 => (1_u64..60).prop_map(|time_ms| Step::Advance { time_ms }),
        8 => (60_u64..2_500).prop_map(|time_ms| Step::Advance { time_ms }),
        2 => node().prop_map(Step::Kill),
        3 => fault().prop_map(Step::FailPrimary),
        2 => node().prop_map(Step::Restart),
        2 => (node(), 50_u64..4_000).prop_map(|(node, time_ms)| Step::Freeze { node, time_ms }),
        1 => (0..DOMAINS.len()).prop_map(Step::CutDomain),
        2 => (node(), node()).prop_map(|(one, other)| Step::CutNodes(one, other)),
        2 => Just(Step::Heal),
        3 => (0..DOMAINS.len(), 0_u64..5_000).prop_map(|(member, lag_ms)| Step::Lag { member, lag_ms }),
        1 => (0_u64..2_000).prop_map(|delay_ms| Step::StoreSlow { delay_ms }),
        1 => Just(Step::LoseAnswers),
        1 => (0..DOMAINS.len()).prop_map(Step::Leave),
    ]
}

impl Schedule {
    /// Runs the schedule, then ends all faults and lets the group recover.
    pub fn run(&self) -> World {
        let loss = if self.lossy { 0.01 } else { 0.0 };
        let link = Link { loss, ..REYKJAVIK };
        let mut world = World::new(link, self.seed, &DOMAINS, &DOMAINS);
        world.advance(WARM_UP_TIME);
        let mut sessions = vec![Vec::new(); SESSIONS];
        for (index, step) in self.steps.iter().enumerate() {
            apply(&mut world, &mut sessions, index, *step);
        }
        recover(&mut world);
        world
    }
}

/// Returns the floor that the session's acknowledged writes give.
fn session_floor(world: &World, writes: &[(usize, u32, u64)]) -> floor::Floor {
    let mut floor = floor::Floor::default();
    for id in writes {
        if let Some((_, Answer::Done(point))) = world.requests[id].answer {
            floor.raise(world.group, point);
        }
    }
    floor
}

fn apply(world: &mut World, sessions: &mut [Vec<(usize, u32, u64)>], index: usize, step: Step) {
    match step {
        Step::Write { proxy, session } => {
            let floor = session_floor(world, &sessions[session]);
            let id = world.send_request(proxy, Some(index as u64), Some(floor), ANSWER_TIMEOUT);
            sessions[session].push(id);
        }
        Step::Read { proxy, session } => {
            let floor = session.map(|session| session_floor(world, &sessions[session]));
            let floor = floor.filter(|floor| !floor.is_empty());
            world.send_request(proxy, None, floor, ANSWER_TIMEOUT);
        }
        Step::Advance { time_ms } => world.advance(Duration::from_millis(time_ms)),
        Step::Kill(node) => world.kill(node),
        Step::FailPrimary(fault) => fail_primary(world, fault),
        Step::Restart(node) => {
            if !world.is_up(node) {
                world.restart(node);
            }
        }
        Step::Freeze { node, time_ms } => world.freeze(node, Duration::from_millis(time_ms)),
        Step::CutDomain(domain) => {
            for other in (0..DOMAINS.len()).filter(|other| *other != domain) {
                world.cuts.add(DOMAINS[domain], DOMAINS[other]);
            }
        }
        Step::CutNodes(one, other) => {
            let (one, other) = (world.names(one), world.names(other));
            world.cuts.add(&one[0], &other[0]);
        }
        Step::Heal => world.cuts.clear(),
        Step::Lag { member, lag_ms } => world.members[member].lag = Duration::from_millis(lag_ms),
        Step::StoreSlow { delay_ms } => world.platform.delay = Duration::from_millis(delay_ms),
        Step::LoseAnswers => world.platform.lose_answers += 1,
        Step::Leave(member) => world.announce_leaving(member),
    }
}

fn fail_primary(world: &mut World, fault: Fault) {
    let members = 0..DOMAINS.len();
    let primaries = members.filter(|member| world.members[*member].primary);
    let newest = primaries.max_by_key(|member| world.members[*member].term);
    let Some(member) = newest else {
        return;
    };
    match fault {
        Fault::Killed => world.kill(Node::Member(member)),
        Fault::Frozen => world.freeze(Node::Member(member), FREEZE_TIME),
        Fault::Cut => {
            for other in (0..DOMAINS.len()).filter(|other| *other != member) {
                world.cuts.add(DOMAINS[member], DOMAINS[other]);
            }
        }
    }
}

fn recover(world: &mut World) {
    world.cuts.clear();
    let members = (0..DOMAINS.len()).map(Node::Member);
    let proxies = (0..PROXIES).map(Node::Proxy);
    for node in members.chain(proxies).chain([Node::Platform]) {
        if !world.is_up(node) {
            world.restart(node);
        }
    }
    world
        .members
        .iter_mut()
        .for_each(|member| member.lag = Duration::ZERO);
    world.advance(RECOVERY_TIME);
}
