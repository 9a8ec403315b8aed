//! Tests of heartbeats between proxies: their byte budget, their intervals, and how soon they report changes.

mod policy_support;

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, id, peer, topology};
use policy_support::Bench;
use rstest::rstest;

/// Returns a heartbeat of the proxy with this name.
fn message(name: &str) -> peer::Message {
    peer::Message {
        proxy: id::of(name),
        sequence: 1,
        address: name.into(),
        place: topology::Place {
            region: "amman".into(),
            domain: "amman-a".into(),
        },
        head: peer::Head {
            version: 1,
            digest: "d".repeat(64).into(),
        },
        draining: false,
        groups: Vec::new(),
        connection_reports: Vec::new(),
    }
}

/// Returns a table that knows the addresses of this many peers.
fn table(peers: usize, now: Instant) -> peer::Table {
    let addresses = (0..peers).map(|n| format!("10.0.0.{n}:7000").into());
    peer::Table::new(addresses.collect(), now)
}

#[rstest]
#[case(2)]
#[case(7)]
#[case(40)]
#[case(400)]
fn sent_keeps_heartbeats_within_their_bytes(#[case] peers: usize) {
    let now = Instant::now();
    let mut table = table(peers, now);
    let message = message("own");
    table.record_sent(now, &message);
    let seconds = (table.heartbeat_at - now).as_secs_f64();
    let bytes = 2.0 * peers as f64 * (message.encoded_len() + 28) as f64;
    assert!(bytes / seconds <= 4_001.0, "{}", bytes / seconds);
    assert!(seconds >= 0.25);
}

#[test]
fn due_tells_a_change_before_the_next_heartbeat() {
    let now = Instant::now();
    let mut table = table(40, now);
    let mut message = message("own");
    table.record_sent(now, &message);
    let soon = now + Duration::from_millis(150);
    assert!(!table.is_due(soon, &message));
    message.groups.push(peer::GroupReport {
        group: 1,
        term: 1,
        primary_answers: false,
    });
    assert!(!table.is_due(now + Duration::from_millis(50), &message));
    assert!(table.is_due(soon, &message));
}

#[test]
fn alive_allows_for_slow_heartbeats() {
    let now = Instant::now();
    let mut table = table(100, now);
    table.record_sent(now, &message("own"));
    let interval = table.heartbeat_at - now;
    table.receive(now, message("peer"));
    assert_eq!(table.alive(now + interval * 3).count(), 1);
    assert_eq!(table.alive(now + interval * 7).count(), 0);
    assert!(table.loan_until(now) >= now + interval * 2);
}

#[test]
fn heartbeat_tells_soon_that_the_primary_is_silent() {
    let mut bench = Bench::new();
    // With this many peers, regular heartbeats are seconds apart.
    for n in 0..60 {
        bench.step(event::Event::HeartbeatArrived(message(&format!(
            "peer-{n}"
        ))));
    }
    let mut observed_at = None;
    for _ in 0..200 {
        bench.later(10);
        bench.effects.clear();
        bench.step(event::Event::Tick);
        let report = bench.effects.iter().find_map(|effect| match effect {
            effect::Effect::SendHeartbeat { message, .. } => message.groups.first(),
            _ => None,
        });
        let is_reported = report.is_some_and(|report| !report.primary_answers);
        let group = bench.state.groups().get(policy_support::group()).unwrap();
        let primary = group.watch.primary();
        if primary.is_none_or(|primary| !primary.reachable) {
            observed_at = observed_at.or(Some(bench.now));
        }
        if is_reported {
            let observed_at = observed_at.expect("the proxy reports only what it has observed");
            assert!(bench.now - observed_at <= Duration::from_millis(100));
            return;
        }
    }
    panic!("no heartbeat reported the silent primary");
}
