//! The reducer on a virtual clock.

use fulmarlift_lab::slopes;

use crate::table;

const GROUPS: [u32; 4] = [5, 20, 80, 320];
const PEERS: [u32; 4] = [3, 8, 35, 70];
const REQUESTS: [u32; 4] = [500, 1_000, 2_000, 4_000];
const STATEMENT_MS: [u64; 4] = [1, 20, 100, 400];
/// Runs of one size; the one least disturbed counts.
const RUNS: usize = 5;

const BASE: slopes::Setup = slopes::Setup {
    groups: 20,
    peers: 7,
    requests_per_second: 0,
    write_every: 0,
    statement_ms: 1,
    seconds: 8,
};
const BUSY: slopes::Setup = slopes::Setup {
    groups: 1,
    peers: 0,
    requests_per_second: 1_000,
    write_every: 5,
    ..BASE
};

type Measure = (&'static str, fn(&slopes::Cost) -> f64);

const IDLE: [Measure; 5] = [
    ("reducer us per second", |cost| cost.step_us),
    ("status questions per second", |cost| cost.questions),
    ("heartbeats sent per second", |cost| cost.heartbeats_sent),
    ("bytes of one heartbeat", |cost| cost.heartbeat_bytes),
    ("heartbeat bytes sent and received per second", |cost| {
        cost.peer_bytes
    }),
];
const LOADED: [Measure; 4] = [
    ("reducer us per second", |cost| cost.step_us),
    ("status questions per second", |cost| cost.questions),
    ("requests in flight", |cost| cost.in_flight),
    ("requests answered per second", |cost| cost.answered),
];

/// Measures all slopes of the reducer.
pub fn run() {
    let groups = GROUPS.map(|groups| (f64::from(groups), least(slopes::Setup { groups, ..BASE })));
    report("groups, 7 peers, idle", "group", &groups, &IDLE);
    let peers = PEERS.map(|peers| (f64::from(peers), least(slopes::Setup { peers, ..BASE })));
    report("peers, 20 groups, idle", "peer", &peers, &IDLE);
    let alone = |groups| slopes::Setup {
        groups,
        peers: 0,
        ..BASE
    };
    let alone = GROUPS.map(|groups| (f64::from(groups), least(alone(groups))));
    report("groups, no peers, idle", "group", &alone, &IDLE[..2]);
    let rate = |requests_per_second| slopes::Setup {
        requests_per_second,
        ..BUSY
    };
    let requests = REQUESTS.map(|requests| (f64::from(requests), least(rate(requests))));
    report("requests, 1 in 5 a write", "request/s", &requests, &LOADED);
    let long = |statement_ms| slopes::Setup {
        statement_ms,
        ..BUSY
    };
    let flights = STATEMENT_MS.map(|ms| least(long(ms)));
    let flights = flights.map(|cost| (cost.in_flight, cost));
    report(
        "requests in flight at 1,000/s",
        "in flight",
        &flights,
        &LOADED,
    );
}

fn least(setup: slopes::Setup) -> slopes::Cost {
    let runs = (0..RUNS).map(|_| slopes::measure_cost(&setup));
    let least = runs.min_by(|one, other| one.step_us.total_cmp(&other.step_us));
    least.expect("there is at least one run")
}

fn report(title: &str, x: &str, costs: &[(f64, slopes::Cost)], measures: &[Measure]) {
    for (name, measure) in measures {
        let points: Vec<(f64, f64)> = costs.iter().map(|(at, c)| (*at, measure(c))).collect();
        table::print(title, x, name, &points);
    }
    let refused: f64 = costs.iter().map(|(_, cost)| cost.refused).sum();
    println!("  refused per second, all sizes together: {refused}");
}
