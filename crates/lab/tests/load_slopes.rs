//! Linear fits, and the costs to which they are fitted.

use fulmarlift_lab::slopes;
use rstest::rstest;

/// Maximum rate of heartbeats sent and received, the same as in the reducer.
const HEARTBEAT_BYTES_PER_SECOND_MAX: f64 = 4_000.0;
/// Size of the headers of a datagram, the same as in the reducer.
const DATAGRAM_HEADER_BYTES: f64 = 28.0;

const SETUP: slopes::Setup = slopes::Setup {
    groups: 2,
    peers: 3,
    requests_per_second: 0,
    write_every: 0,
    statement_ms: 1,
    seconds: 20,
};

#[test]
fn fit_finds_the_line() {
    let fit = slopes::Fit::from_points(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
        .expect("the values of x differ");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-9);
    assert!((fit.value_at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn fit_refuses_one_size() {
    assert_eq!(slopes::Fit::from_points(&[(1.0, 5.0), (1.0, 6.0)]), None);
}

#[rstest]
#[case::few(2, 3, 16.5)]
#[case::more_groups(6, 3, 18.9)]
#[case::more_peers(2, 9, 16.5)]
fn cost_counts_what_an_idle_proxy_sends(
    #[case] groups: u32,
    #[case] peers: u32,
    #[case] questions: f64,
) {
    let setup = slopes::Setup {
        groups,
        peers,
        ..SETUP
    };
    let cost = slopes::measure_cost(&setup);
    // With 2 groups, the proxy asks each primary every 160 ms and each replica every second. With 6 groups, the primaries
    // that this proxy watches share 12.5 questions per second, each replica gets a quarter as many as its primary, and
    // the members of other groups are asked every 20 s.
    assert!(
        (cost.questions - questions).abs() <= 0.5,
        "{}",
        cost.questions
    );
    // The proxy sends a heartbeat to each peer every 250 ms, or less often if the heartbeats sent and received would
    // exceed 4,000 bytes per second with headers.
    let round_bytes = 2.0 * f64::from(peers) * (cost.heartbeat_bytes + DATAGRAM_HEADER_BYTES);
    let rounds = (HEARTBEAT_BYTES_PER_SECOND_MAX / round_bytes).min(4.0);
    let sent = cost.heartbeats_sent / f64::from(peers);
    assert!((sent - rounds).abs() <= 0.1 * rounds, "{sent} of {rounds}");
    // Peers send heartbeats as often and of the same size.
    let received = cost.peer_bytes - cost.heartbeats_sent * cost.heartbeat_bytes;
    assert!((received / cost.peer_bytes - 0.5).abs() < 0.1, "{received}");
}

#[test]
fn cost_counts_every_request_once() {
    let setup = slopes::Setup {
        peers: 0,
        requests_per_second: 200,
        write_every: 5,
        ..SETUP
    };
    let cost = slopes::measure_cost(&setup);
    assert!((cost.answered - 200.0).abs() <= 2.0, "{}", cost.answered);
    assert!(cost.refused == 0.0);
}
