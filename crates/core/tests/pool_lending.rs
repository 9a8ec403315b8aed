//! Tests of proxies' shares of members' connections and of loans between proxies.

mod policy_support;

use std::time::{Duration, Instant};

use fulmarlift_core::{State, effect, event, id, identity, peer, pool, topology};
use policy_support::{Bench, group, member};
use rstest::rstest;

/// Returns a peer's heartbeat with a report on its connections to member 1.
fn message(
    name: &str,
    sequence: u64,
    open: u32,
    waiting: u32,
    loans: Vec<peer::Loan>,
) -> peer::Message {
    peer::Message {
        proxy: id::of(name),
        sequence,
        address: name.into(),
        place: topology::Place::default(),
        head: peer::Head::default(),
        draining: false,
        groups: Vec::new(),
        connection_reports: vec![peer::ConnectionReport {
            member: member(1),
            open,
            waiting,
            loans,
        }],
    }
}

/// Returns the proxy's pool for member 1.
fn pool(bench: &Bench) -> &pool::Pool {
    let group = bench.state.groups().get(group()).unwrap();
    group.pools.get(member(1)).unwrap()
}

/// Ticks while time passes, with a heartbeat of the peer before each tick.
fn run_with_peer(bench: &mut Bench, ms: u64, peer: &mut peer::Message) {
    for _ in 0..ms / 50 {
        bench.later(50);
        peer.sequence += 1;
        bench.step(event::Event::HeartbeatArrived(peer.clone()));
        bench.step(event::Event::Tick);
        bench.answer_all([10; 3]);
    }
}

#[rstest]
#[case(1, 16)]
#[case(3, 16)]
#[case(8, 40)]
#[case(20, 16)]
fn share_divides_a_limit_exactly(#[case] proxies: u64, #[case] total: u32) {
    let now = Instant::now();
    let shares = (0..proxies).map(|this_proxy| {
        let mut table = peer::Table::new(Vec::new(), now);
        for other in (0..proxies).filter(|other| *other != this_proxy) {
            let mut heard = message("peer", 1, 0, 0, Vec::new());
            heard.proxy = other;
            table.receive(now, heard);
        }
        table.share(now, this_proxy, 0, member(1), total)
    });
    assert_eq!(shares.sum::<u32>(), total);
}

#[test]
fn share_counts_addresses_not_heard_yet() {
    let now = Instant::now();
    let addresses = ["a", "b", "own"].map(Into::into).to_vec();
    let table = peer::Table::new(addresses, now);
    assert_eq!(table.unheard_count(now, "own"), 2);
    let unheard = table.unheard_count(now, "own");
    assert_eq!(table.share(now, 7, unheard, member(1), 16), 5);
    assert_eq!(table.unheard_count(now + Duration::from_secs(10), "own"), 0);
}

#[test]
fn share_of_a_new_proxy_leaves_room_for_those_not_heard() {
    let now = Instant::now();
    let identity = identity::Identity::new("proxy-0", "rvk", "rvk-b", "proxy-0");
    let peers = ["a", "b", "c"].map(Into::into).to_vec();
    let mut state = State::new(identity, peers, now);
    let topology = policy_support::topology(&topology::Limits::default(), 16);
    let head = peer::Head {
        version: 1,
        digest: "1".into(),
    };
    state.step(
        now,
        event::Event::Configured(topology, head),
        &mut Vec::new(),
    );
    let pools = &state.groups().get(group()).unwrap().pools;
    assert_eq!(pools.get(member(1)).unwrap().limit, 4);
}

#[test]
fn share_of_a_silent_peer_returns_after_a_margin() {
    let mut bench = Bench::new();
    bench.step(event::Event::HeartbeatArrived(message(
        "peer",
        1,
        4,
        0,
        Vec::new(),
    )));
    bench.step(event::Event::Tick);
    assert_eq!(pool(&bench).limit, 8);
    bench.later(4_000);
    bench.step(event::Event::Tick);
    assert_eq!(pool(&bench).limit, 8);
    bench.later(6_000);
    bench.step(event::Event::Tick);
    assert_eq!(pool(&bench).limit, 16);
}

#[test]
fn lend_gives_spare_connections_until_a_deadline() {
    let mut bench = Bench::new();
    let mut peer = message("peer", 1, 8, 3, Vec::new());
    run_with_peer(&mut bench, 500, &mut peer);
    let share_report = bench.effects.iter().rev().find_map(|effect| match effect {
        effect::Effect::SendHeartbeat { message, .. } => {
            message.connection_report(member(1)).cloned()
        }
        _ => None,
    });
    let loan = share_report.unwrap().loans[0];
    assert_eq!(loan.to, id::of("peer"));
    let lent = loan.connections;
    assert!(lent >= 3);
    assert_eq!(pool(&bench).limit, 8 - lent);
    // The peer has no waiting request and uses no more than its share.
    peer = message("peer", peer.sequence, 8, 0, Vec::new());
    run_with_peer(&mut bench, 2_000, &mut peer);
    assert_eq!(pool(&bench).limit, 8 - lent);
    run_with_peer(&mut bench, 1_000, &mut peer);
    assert_eq!(pool(&bench).limit, 8);
}

#[test]
fn borrow_ends_with_the_lenders_deadline() {
    let mut bench = Bench::new();
    let loan = peer::Loan {
        to: id::of("proxy-0"),
        connections: 5,
        remaining_ms: 1_000,
    };
    bench.step(event::Event::HeartbeatArrived(message(
        "peer",
        1,
        0,
        0,
        vec![loan],
    )));
    bench.step(event::Event::Tick);
    assert_eq!(pool(&bench).limit, 13);
    bench.later(1_000);
    bench.step(event::Event::Tick);
    assert_eq!(pool(&bench).limit, 8);
}

#[test]
fn returned_connection_over_the_limit_is_closed() {
    let mut bench = Bench::with(topology::Limits::default(), 2);
    for _ in 0..2 {
        bench.read(10);
    }
    bench.open_all();
    let dispatches = bench.dispatches();
    assert_eq!(dispatches.len(), 2);
    bench.step(event::Event::HeartbeatArrived(message(
        "peer",
        1,
        0,
        0,
        Vec::new(),
    )));
    bench.step(event::Event::Tick);
    bench.finish(dispatches[0], event::Outcome::Answered, true);
    let close = effect::Effect::Close(dispatches[0].conn);
    assert!(bench.effects.contains(&close));
    assert_eq!(pool(&bench).open_count(), 1);
}
