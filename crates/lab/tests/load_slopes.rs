//! Fits and the counts that slopes rest on.

use fulmarlift_lab::slopes;
use rstest::rstest;

const SETUP: slopes::Setup = slopes::Setup {
    groups: 2,
    peers: 3,
    requests_per_second: 0,
    write_every: 0,
    statement_ms: 1,
    seconds: 2,
};

#[test]
fn fit_finds_the_line() {
    let fit = slopes::Fit::of(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("xs differ");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9);
    assert!((fit.r_squared - 1.0).abs() < 1e-9);
    assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn fit_refuses_one_size() {
    assert_eq!(slopes::Fit::of(&[(1.0, 5.0), (1.0, 6.0)]), None);
}

#[rstest]
#[case::few(2, 3)]
#[case::more_groups(6, 3)]
#[case::more_peers(2, 9)]
fn cost_counts_what_an_idle_proxy_sends(#[case] groups: u32, #[case] peers: u32) {
    let setup = slopes::Setup {
        groups,
        peers,
        ..SETUP
    };
    let cost = slopes::cost(&setup);
    // Every member of every group each 100 ms, every peer each 250 ms.
    assert!((cost.questions - f64::from(groups * 3 * 10)).abs() <= f64::from(groups * 3));
    assert!((cost.heartbeats_sent - f64::from(peers * 4)).abs() <= f64::from(peers));
    let heard = cost.peer_bytes - cost.heartbeats_sent * cost.heartbeat_bytes;
    assert!(heard > 0.0);
}

#[test]
fn cost_counts_every_request_once() {
    let setup = slopes::Setup {
        peers: 0,
        requests_per_second: 200,
        write_every: 5,
        ..SETUP
    };
    let cost = slopes::cost(&setup);
    assert!((cost.answered - 200.0).abs() <= 2.0, "{}", cost.answered);
    assert!(cost.refused == 0.0);
}
