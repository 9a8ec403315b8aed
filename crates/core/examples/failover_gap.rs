//! Measures the failover gap on a virtual clock: the time from the failure of a group's primary to the
//! first write at each proxy that the next primary commits. Eight proxies write steadily; the platform is up,
//! slow or down.
//!
//! ```text
//! cargo run --release -p fulmarlift-core --example failover_gap -- [FAILOVERS] [QUIET_MINUTES]
//! ```

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::time::Duration;

use fulmarlift_core::{effect, failover};
use rand::RngExt;

use sim::network::{Link, Node, REYKJAVIK};
use sim::world::{Answer, World};

const MEMBERS: [&str; 3] = ["rvk-a", "rvk-b", "aey-a"];
const PROXIES: [&str; 8] = [
    "rvk-a", "rvk-a", "rvk-a", "rvk-b", "rvk-b", "rvk-b", "aey-a", "aey-a",
];
/// Time between writes at each proxy.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time for which the proxies continue to write after the fault.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);
const DEFAULT_FAILOVERS: u64 = 40;
const DEFAULT_QUIET_MINUTES: u64 = 60;

/// How the primary fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    Frozen,
    DomainCut,
}

/// State of the platform during the failover.
#[derive(Clone, Copy, Debug)]
enum Store {
    Up,
    Slow,
    Down,
}

/// Results of the writes after the faults.
#[derive(Default)]
struct Tally {
    gaps: Vec<Duration>,
    waited: u64,
    refused: u64,
    unknown: u64,
    /// Number of proxies at which no write succeeded after the fault.
    unserved: u64,
}

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok());
    let failovers = arguments.next().unwrap_or(DEFAULT_FAILOVERS);
    let quiet_minutes = arguments.next().unwrap_or(DEFAULT_QUIET_MINUTES);
    println!("fault       store  gap ms p50   p99   max  waited refused unknown unserved");
    for fault in [Fault::Killed, Fault::Frozen, Fault::DomainCut] {
        for store in [Store::Up, Store::Slow, Store::Down] {
            let mut tally = Tally::default();
            for seed in 0..failovers {
                run_failover(fault, store, seed, &mut tally);
            }
            tally.print(fault, store);
        }
    }
    run_quiet(quiet_minutes);
}

fn link(loss: f64) -> Link {
    Link { loss, ..REYKJAVIK }
}

fn run_failover(fault: Fault, store: Store, seed: u64, tally: &mut Tally) {
    let mut world = World::new(link(0.01), seed, &MEMBERS, &PROXIES);
    match store {
        Store::Up => world.platform.delay = Duration::from_millis(5),
        Store::Slow => world.platform.delay = Duration::from_secs(2),
        Store::Down => world.platform.down = true,
    }
    // The fault starts at a random time between two heartbeats and ticks.
    let phase = Duration::from_micros(world.rng.random_range(0..500_000));
    write_until(&mut world, WARM_UP_TIME + phase, 0);
    let failed_at = world.now;
    let serving_proxies = match fault {
        Fault::Killed => {
            world.kill(Node::Member(0));
            0..PROXIES.len()
        }
        Fault::Frozen => {
            world.freeze(Node::Member(0), Duration::from_secs(60));
            0..PROXIES.len()
        }
        Fault::DomainCut => {
            world.cuts.add("rvk-a", "rvk-b");
            world.cuts.add("rvk-a", "aey");
            3..PROXIES.len()
        }
    };
    let end = world.now + OBSERVATION_TIME;
    write_until(&mut world, end, 1_000_000);
    world.advance(ANSWER_TIMEOUT);
    for proxy in serving_proxies {
        tally.count(&world, proxy, failed_at);
    }
}

fn write_until(world: &mut World, until: Duration, first_key: u64) {
    let mut key = first_key;
    while world.now < until {
        for proxy in 0..PROXIES.len() {
            key += 1;
            world.send_request(proxy, Some(key), None, ANSWER_TIMEOUT);
        }
        world.advance(WRITE_INTERVAL);
    }
}

impl Tally {
    fn count(&mut self, world: &World, proxy: usize, failed_at: Duration) {
        let requests = world
            .requests
            .values()
            .filter(|request| request.proxy == proxy);
        let requests = requests.filter(|request| request.sent_at >= failed_at);
        let mut first_done = None;
        for request in requests {
            match &request.answer {
                Some((at, Answer::Done(point))) if point.term > 1 => {
                    let known = first_done.get_or_insert(*at);
                    *known = (*known).min(*at);
                    self.waited += u64::from(*at - request.sent_at > WRITE_INTERVAL);
                }
                Some((_, Answer::NotRun(_))) => self.refused += 1,
                Some((_, Answer::Unknown)) => self.unknown += 1,
                _ => {}
            }
        }
        match first_done {
            Some(at) => self.gaps.push(at - failed_at),
            None => self.unserved += 1,
        }
    }

    fn print(&mut self, fault: Fault, store: Store) {
        self.gaps.sort_unstable();
        let quantile = |share: f64| {
            let index = (self.gaps.len() as f64 * share) as usize;
            let gap = self.gaps.get(index.min(self.gaps.len().saturating_sub(1)));
            gap.map_or(0, Duration::as_millis)
        };
        println!(
            "{:<11} {:<6} {:>9} {:>5} {:>5} {:>7} {:>7} {:>7} {:>8}",
            format!("{fault:?}"),
            format!("{store:?}"),
            quantile(0.5),
            quantile(0.99),
            quantile(1.0),
            self.waited,
            self.refused,
            self.unknown,
            self.unserved
        );
    }
}

/// Runs an idle group that loses one message in a hundred and whose processes pause for 200 ms. No failover
/// should start.
fn run_quiet(minutes: u64) {
    const PAUSE_TIME: Duration = Duration::from_millis(200);
    const PAUSE_INTERVAL: Duration = Duration::from_secs(2);
    let mut world = World::new(link(0.01), 7, &MEMBERS, &PROXIES);
    let end = Duration::from_secs(60 * minutes);
    let mut pauses = 0_u64;
    while world.now < end {
        world.advance(PAUSE_INTERVAL);
        let nodes = MEMBERS.len() + PROXIES.len();
        let node = match world.rng.random_range(0..nodes) {
            member if member < MEMBERS.len() => Node::Member(member),
            proxy => Node::Proxy(proxy - MEMBERS.len()),
        };
        world.freeze(node, PAUSE_TIME);
        pauses += 1;
    }
    let count_stage = |name| {
        let changes = world.state_changes.iter();
        let matching = changes.filter(|(_, _, change)| {
            matches!(change, effect::StateChange::Failover { stage, .. } if *stage == name)
        });
        matching.count()
    };
    let seconds = end.as_secs_f64() * PROXIES.len() as f64;
    println!(
        "quiet {minutes} min, {pauses} pauses of 200 ms, 1% loss: suspected {}, claimed {}, fenced {}; \
         {:.1} status questions and {:.1} peer messages a second and proxy",
        count_stage(failover::StageName::Waiting),
        count_stage(failover::StageName::Claiming),
        count_stage(failover::StageName::Fencing),
        world.status_messages as f64 / seconds,
        world.peer_messages as f64 / seconds,
    );
}
