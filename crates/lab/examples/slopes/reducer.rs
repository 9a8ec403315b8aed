//! Measurements of the reducer on a virtual clock.

use fulmarlift_lab::slopes;

use crate::table;

const GROUPS: [u32; 4] = [5, 20, 80, 320];
const PEERS: [u32; 4] = [3, 8, 35, 70];
const REQUESTS: [u32; 4] = [500, 1_000, 2_000, 4_000];
const STATEMENT_MS: [u64; 4] = [1, 20, 100, 400];
/// Number of runs of each size. The run that spent the least time in the reducer counts, as other processes on the
/// machine disturbed it least.
const RUNS: usize = 5;

/// System without load.
const IDLE_SETUP: slopes::Setup = slopes::Setup {
    groups: 20,
    peers: 7,
    requests_per_second: 0,
    write_every: 0,
    statement_ms: 1,
    seconds: 8,
};
/// System of one proxy and one group under load.
const LOADED_SETUP: slopes::Setup = slopes::Setup {
    groups: 1,
    peers: 0,
    requests_per_second: 1_000,
    write_every: 5,
    ..IDLE_SETUP
};

/// Name of a measured quantity, and its value in a cost.
type Measure = (&'static str, fn(&slopes::Cost) -> f64);

const IDLE_MEASURES: [Measure; 5] = [
    ("reducer us per second", |cost| cost.step_us),
    ("status questions per second", |cost| cost.questions),
    ("heartbeats sent per second", |cost| cost.heartbeats_sent),
    ("bytes of one heartbeat", |cost| cost.heartbeat_bytes),
    ("heartbeat bytes sent and received per second", |cost| {
        cost.peer_bytes
    }),
];
const LOADED_MEASURES: [Measure; 4] = [
    ("reducer us per second", |cost| cost.step_us),
    ("status questions per second", |cost| cost.questions),
    ("requests in flight", |cost| cost.in_flight),
    ("requests answered per second", |cost| cost.answered),
];

/// Measures the reducer by groups, peers, requests and statement times, and prints the results.
pub fn run() {
    let groups = GROUPS.map(|groups| {
        (
            f64::from(groups),
            lowest_cost(slopes::Setup {
                groups,
                ..IDLE_SETUP
            }),
        )
    });
    report("groups, 7 peers, idle", "group", &groups, &IDLE_MEASURES);
    let peers = PEERS.map(|peers| {
        (
            f64::from(peers),
            lowest_cost(slopes::Setup {
                peers,
                ..IDLE_SETUP
            }),
        )
    });
    report("peers, 20 groups, idle", "peer", &peers, &IDLE_MEASURES);
    let without_peers = |groups| slopes::Setup {
        groups,
        peers: 0,
        ..IDLE_SETUP
    };
    let groups = GROUPS.map(|groups| (f64::from(groups), lowest_cost(without_peers(groups))));
    report(
        "groups, no peers, idle",
        "group",
        &groups,
        &IDLE_MEASURES[..2],
    );
    let with_rate = |requests_per_second| slopes::Setup {
        requests_per_second,
        ..LOADED_SETUP
    };
    let requests = REQUESTS.map(|requests| (f64::from(requests), lowest_cost(with_rate(requests))));
    report(
        "requests, 1 in 5 a write",
        "request/s",
        &requests,
        &LOADED_MEASURES,
    );
    let with_statement_time = |statement_ms| slopes::Setup {
        statement_ms,
        ..LOADED_SETUP
    };
    let costs = STATEMENT_MS.map(|ms| lowest_cost(with_statement_time(ms)));
    let in_flight = costs.map(|cost| (cost.in_flight, cost));
    report(
        "requests in flight at 1,000/s",
        "in flight",
        &in_flight,
        &LOADED_MEASURES,
    );
}

/// Runs a setup several times and returns the cost of the run with the least time in the reducer.
fn lowest_cost(setup: slopes::Setup) -> slopes::Cost {
    let costs = (0..RUNS).map(|_| slopes::measure_cost(&setup));
    let lowest = costs.min_by(|one, other| one.step_us.total_cmp(&other.step_us));
    lowest.expect("there is at least one run")
}

/// Prints each measured quantity of the costs, which are given with their value of x, and the refused requests.
fn report(title: &str, x_name: &str, costs: &[(f64, slopes::Cost)], measures: &[Measure]) {
    for (name, measure) in measures {
        let points: Vec<(f64, f64)> = costs.iter().map(|(x, cost)| (*x, measure(cost))).collect();
        table::print(title, x_name, name, &points);
    }
    let refused: f64 = costs.iter().map(|(_, cost)| cost.refused).sum();
    println!("  refused per second, all sizes together: {refused}");
}
