//! Tests of how the proxy closes connections: silent ones, those of members whose VM is leaving, and those of members
//! that a configuration no longer contains.

mod policy_support;

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, peer, topology};
use policy_support::{Bench, member};

/// Runs two reads on the near replica, so that two connections to it are idle.
fn bench_with_two_idle() -> (Bench, Vec<effect::Dispatch>) {
    let mut bench = Bench::new();
    bench.read(10);
    bench.read(10);
    bench.open_all();
    let dispatches = bench.dispatches();
    for dispatch in &dispatches {
        bench.finish(*dispatch, event::Outcome::Answered, true);
    }
    bench.effects.clear();
    (bench, dispatches)
}

/// Returns the number of connections that the proxy has closed.
fn close_count(bench: &Bench) -> usize {
    let close = |effect: &&effect::Effect| matches!(effect, effect::Effect::Close(_));
    bench.effects.iter().filter(close).count()
}

#[test]
fn silent_read_is_tried_elsewhere_and_idle_connections_are_closed() {
    let (mut bench, _) = bench_with_two_idle();
    let read = bench.read(10);
    let dispatch = bench.dispatches()[0];
    assert!(dispatch.first_byte_by <= bench.now + Duration::from_millis(500));
    bench.effects.clear();
    bench.now = dispatch.first_byte_by;
    bench.finish(dispatch, event::Outcome::ReadFailed, false);
    // The silent connection and the other idle one.
    assert_eq!(close_count(&bench), 2);
    bench.open_all();
    let second = bench.dispatches()[0];
    assert_eq!(second.request, read);
    assert_ne!(second.member, dispatch.member);
    // The second run may last until the deadline: the member may just be slow.
    assert_eq!(second.first_byte_by, second.deadline);
}

#[test]
fn read_that_fails_early_leaves_idle_connections_alone() {
    let (mut bench, _) = bench_with_two_idle();
    bench.read(10);
    let dispatch = bench.dispatches()[0];
    bench.effects.clear();
    bench.later(1);
    bench.finish(dispatch, event::Outcome::ReadFailed, false);
    assert_eq!(close_count(&bench), 1);
}

#[test]
fn write_has_until_its_deadline() {
    let mut bench = Bench::new();
    bench.write();
    bench.open_all();
    let dispatch = bench.dispatches()[0];
    assert_eq!(dispatch.first_byte_by, dispatch.deadline);
}

/// Returns the platform's report that the VM of a member is leaving.
fn leaving(index: usize) -> event::Event {
    event::Event::VmsListed(vec![peer::Vm {
        name: "vm".into(),
        address: format!("m{index}").into(),
        place: topology::Place::default(),
        state: peer::VmState::Leaving,
    }])
}

#[test]
fn leaving_replica_gets_no_new_work_and_loses_idle_connections() {
    let (mut bench, _) = bench_with_two_idle();
    bench.step(leaving(1));
    assert_eq!(close_count(&bench), 2);
    bench.read(10);
    bench.open_all();
    assert_eq!(bench.dispatches()[0].member, member(2));
}

#[test]
fn requests_queued_for_a_leaving_replica_go_elsewhere() {
    let mut bench = Bench::new();
    bench.read(10);
    assert_eq!(bench.opens()[0].1, member(1));
    bench.effects.clear();
    bench.step(leaving(1));
    bench.open_all();
    assert_eq!(bench.dispatches()[0].member, member(2));
}

#[test]
fn configuration_without_the_group_closes_and_refuses() {
    let (mut bench, dispatches) = bench_with_two_idle();
    bench.read(10);
    let running = bench.dispatches()[0];
    let waiting = bench.read(11);
    bench.effects.clear();
    let head = peer::Head {
        version: 2,
        digest: "2".into(),
    };
    bench.step(event::Event::Configured(
        topology::Topology::default(),
        head,
    ));
    assert_eq!(close_count(&bench), dispatches.len() - 1);
    assert_eq!(bench.refusals()[0].request, waiting);
    assert_eq!(bench.refusals()[0].reason, effect::Reason::UnknownService);
    bench.finish(running, event::Outcome::Answered, true);
    assert!(bench.effects.contains(&effect::Effect::Close(running.conn)));
    assert_eq!(bench.state.in_flight(), 0);
}

#[test]
fn forget_drops_peers_long_silent_and_their_addresses() {
    let now = Instant::now();
    let mut table = peer::Table::new(vec!["settings".into()], now);
    table.receive(
        now,
        peer::Message {
            proxy: 7,
            sequence: 1,
            address: "gone".into(),
            place: topology::Place::default(),
            head: peer::Head::default(),
            draining: false,
            groups: Vec::new(),
            connection_reports: Vec::new(),
        },
    );
    table.forget(now + Duration::from_secs(60));
    assert_eq!(table.addresses.len(), 2);
    table.forget(now + Duration::from_secs(300));
    assert_eq!(table.addresses, ["settings".into()]);
    assert!(table.peers.is_empty());
}
