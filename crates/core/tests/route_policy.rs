//! Tests of read routing: a read prefers replicas to the primary, waits for a near replica rather than crossing
//! regions, and never sees stale data.

mod policy_support;

use std::time::{Duration, Instant};

use fulmarlift_core::route::{self, Policy as _};
use fulmarlift_core::{effect, event, request};
use policy_support::{Bench, member};
use rstest::rstest;

fn candidate(id: u64, distance: u8) -> route::Candidate {
    route::Candidate {
        member: id,
        primary: id == 1,
        reachable: true,
        leaving: false,
        fresh: true,
        estimated_catch_up: Some(Duration::ZERO),
        estimated_wait: Duration::ZERO,
        estimated_answer_time: Duration::from_millis(2),
        distance,
        round_trip: Duration::from_millis(1),
        idle: 1,
        waiting: 0,
        avoided: false,
    }
}

fn behind(id: u64, distance: u8, catch_up_ms: u64) -> route::Candidate {
    route::Candidate {
        fresh: false,
        estimated_catch_up: Some(Duration::from_millis(catch_up_ms)),
        ..candidate(id, distance)
    }
}

#[rstest]
#[case::near_replica_first(candidate(2, 1), candidate(3, 2), route::Choice::Member(2))]
#[case::short_wait_stays_near(behind(2, 1, 8), candidate(3, 2), route::Choice::AwaitCatchUp(2))]
#[case::long_wait_crosses(behind(2, 1, 500), candidate(3, 2), route::Choice::Member(3))]
#[case::both_behind_goes_to_primary(behind(2, 1, 500), behind(3, 2, 500), route::Choice::Member(1))]
#[case::leaving_is_avoided(
    route::Candidate { leaving: true, ..candidate(2, 1) }, candidate(3, 2), route::Choice::Member(3))]
#[case::long_queue_crosses(
    route::Candidate { estimated_wait: Duration::from_millis(90), ..candidate(2, 1) },
    candidate(3, 2), route::Choice::Member(3))]
fn choose_weighs_time_and_scarcity(
    #[case] near: route::Candidate,
    #[case] far: route::Candidate,
    #[case] expected: route::Choice,
) {
    let now = Instant::now();
    let choice = route::Nearest.choose(&route::RoutingInput {
        now,
        kind: request::Kind::Read { fresh_since: None },
        deadline: now + Duration::from_secs(10),
        candidates: &[candidate(1, 1), near, far],
    });
    assert_eq!(choice, expected);
}

#[test]
fn read_waits_for_its_replica_by_a_held_question() {
    let mut bench = Bench::new();
    let read = bench.read(11);
    assert_eq!(bench.held_status_requests(), [(member(1), 11)]);
    assert!(bench.opens().is_empty());
    bench.later(3);
    bench.answer(1, 11);
    bench.open_all();
    let dispatch = bench.dispatches()[0];
    assert_eq!((dispatch.request, dispatch.member), (read, member(1)));
}

#[test]
fn read_leaves_a_replica_that_does_not_catch_up() {
    let mut bench = Bench::new();
    bench.read(11);
    for _ in 0..40 {
        bench.later(10);
        bench.step(event::Event::Tick);
        bench.answer(0, 11);
        bench.answer(2, 11);
        bench.answer(1, 10);
    }
    bench.open_all();
    assert_eq!(bench.dispatches()[0].member, member(2));
}

#[test]
fn commit_makes_the_primary_known_fresh() {
    let mut bench = Bench::new();
    bench.write();
    bench.open_all();
    let dispatch = bench.dispatches()[0];
    let point = fulmarlift_core::floor::Point::new(1, 11);
    bench.finish(dispatch, event::Outcome::Committed(point), true);
    let group = bench.state.groups().get(policy_support::group()).unwrap();
    assert_eq!(group.watch.newest_point(), point);
}

#[test]
fn freshness_needs_a_majority() {
    let mut bench = Bench::new();
    // From now on only one replica answers, and it receives nothing from the primary.
    let cut_at = bench.now;
    for _ in 0..20 {
        bench.later(100);
        bench.step(event::Event::Tick);
        bench.answer(1, 10);
    }
    let since = Some(cut_at + Duration::from_millis(500));
    let kind = request::Kind::Read { fresh_since: since };
    bench.request("ledger", kind, Some(10), 10_000);
    bench.open_all();
    assert_eq!(bench.dispatches(), []);
    assert!(
        !bench
            .effects
            .iter()
            .any(|e| matches!(e, effect::Effect::Open { .. }))
    );
}

/// Advances the clock by 100 ms in which every member but the near replica answers.
fn advance_without_near_replica(bench: &mut Bench) {
    for _ in 0..10 {
        bench.later(10);
        bench.step(event::Event::Tick);
        bench.answer(0, 12);
        bench.answer(2, 12);
    }
}

#[test]
fn read_is_not_held_up_by_a_question_for_a_higher_position() {
    let mut bench = Bench::new();
    let abandoned = bench.read(12);
    bench.step(event::Event::Abandoned(abandoned));
    // The near replica, which is at position 10, still holds the status request for position 12, so the proxy cannot
    // send it one for position 11.
    let read = bench.read(11);
    advance_without_near_replica(&mut bench);
    bench.open_all();
    let dispatch = bench.dispatches()[0];
    assert_eq!((dispatch.request, dispatch.member), (read, member(2)));
}

#[test]
fn read_does_not_wait_where_another_has_waited_in_vain() {
    let mut bench = Bench::new();
    bench.read(10);
    bench.open_all();
    let first = bench.dispatches()[0];
    assert_eq!(first.member, member(1));
    bench.finish(first, event::Outcome::Answered, true);
    bench.effects.clear();
    bench.read(12);
    advance_without_near_replica(&mut bench);
    bench.open_all();
    assert_eq!(bench.dispatches()[0].member, member(2));
    bench.effects.clear();
    bench.read(11);
    bench.open_all();
    assert_eq!(bench.dispatches()[0].member, member(2));
}
