//! Tests of admission, fair queues, the retry budget, and floors past everything written.

mod policy_support;

use std::time::Duration;

use fulmarlift_core::{effect, event, floor, id, limit, pool, request, topology};
use policy_support::{Bench, member};
use rstest::rstest;

const READ: request::Kind = request::Kind::Read { fresh_since: None };
const WRITE: request::Kind = request::Kind::Write { repeatable: false };

fn ticket(request: id::RequestId, service: u64, caller: u64, weight: u32) -> pool::Ticket {
    pool::Ticket {
        request,
        service,
        caller,
        weight,
    }
}

/// Returns a bench with one connection to each member on which writes take 100 ms, and the dispatch of a write
/// that occupies the primary's connection.
fn bench_with_busy_primary() -> (Bench, effect::Dispatch) {
    let mut bench = Bench::with(topology::Limits::default(), 1);
    for _ in 0..40 {
        bench.write();
        bench.open_all();
        let dispatch = *bench.dispatches().last().unwrap();
        bench.later(100);
        bench.finish(dispatch, event::Outcome::Answered, true);
    }
    bench.write();
    let dispatch = *bench.dispatches().last().unwrap();
    bench.effects.clear();
    (bench, dispatch)
}

#[test]
fn arrival_refuses_at_once_what_cannot_be_in_time() {
    let (mut bench, _) = bench_with_busy_primary();
    bench.request("ledger", WRITE, Some(1), 1_000);
    assert_eq!(bench.refusals(), []);
    let late = bench.request("ledger", WRITE, Some(1), 150);
    let refusal = bench.refusals()[0];
    assert_eq!(refusal.request, late);
    assert_eq!(refusal.reason, effect::Reason::Overloaded);
    assert!(refusal.retry_at > bench.now);
}

#[test]
fn queued_request_too_late_is_refused_unsent() {
    let (mut bench, dispatch) = bench_with_busy_primary();
    let late = bench.request("ledger", WRITE, Some(1), 400);
    let next = bench.request("ledger", WRITE, Some(1), 5_000);
    bench.later(350);
    bench.finish(dispatch, event::Outcome::Answered, true);
    assert_eq!(bench.refusals()[0].request, late);
    assert_eq!(bench.dispatches()[0].request, next);
}

#[test]
fn refusals_are_spread() {
    let (mut bench, _) = bench_with_busy_primary();
    let mut times: Vec<_> = (0..50)
        .map(|_| {
            bench.request("ledger", WRITE, Some(1), 10);
            bench.refusals().last().unwrap().retry_at
        })
        .collect();
    times.sort();
    times.dedup();
    assert!(times.len() > 30);
    assert!(times[times.len() - 1] - times[0] >= Duration::from_millis(100));
}

#[rstest]
#[case::equal(1, 1, 5)]
#[case::heavy(3, 1, 7)]
fn pop_is_fair_between_services(#[case] one: u32, #[case] other: u32, #[case] expected: usize) {
    let mut queue = pool::Queue::default();
    for request in 0..100 {
        queue.push(ticket(request, 1, 1, one));
    }
    for request in 100..110 {
        queue.push(ticket(request, 2, 2, other));
    }
    let served: Vec<_> = std::iter::from_fn(|| queue.pop()).take(10).collect();
    let first = served.iter().filter(|request| **request < 100).count();
    assert!(first.abs_diff(expected) <= 1, "{served:?}");
}

#[test]
fn pop_is_fair_between_callers() {
    let mut queue = pool::Queue::default();
    for request in 0..100 {
        queue.push(ticket(request, 1, 1, 1));
    }
    queue.push(ticket(100, 1, 2, 1));
    assert_eq!(queue.ahead(ticket(101, 1, 3, 1)), 2);
    let served: Vec<_> = std::iter::from_fn(|| queue.pop()).take(2).collect();
    assert!(served.contains(&100));
}

#[test]
fn ahead_of_a_light_service_is_not_the_flood_of_another() {
    let mut queue = pool::Queue::default();
    for request in 0..100 {
        queue.push(ticket(request, 1, 1, 1));
    }
    assert_eq!(queue.ahead(ticket(100, 2, 2, 1)), 1);
    assert_eq!(queue.ahead(ticket(100, 1, 1, 1)), 100);
}

#[test]
fn spend_allows_a_tenth_of_the_requests() {
    let mut budget = limit::RetryBudget::default();
    let saved = (0..1_000).filter(|_| budget.spend()).count();
    assert_eq!(saved, 10);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert_eq!(spent, 100);
}

#[test]
fn read_that_may_have_run_is_not_called_not_run() {
    let mut bench = Bench::new();
    // Failing reads spend the budget until one of them cannot be retried.
    for _ in 0..30 {
        bench.read(10);
        for _ in 0..10 {
            bench.open_all();
            let Some(dispatch) = bench.dispatches().first().copied() else {
                break;
            };
            bench.effects.clear();
            bench.finish(dispatch, event::Outcome::ReadFailed, false);
            let ended = |e: &effect::Effect| matches!(e, effect::Effect::Unconfirmed(_));
            if bench.effects.iter().any(ended) {
                assert_eq!(bench.refusals(), []);
                return;
            }
        }
    }
    panic!("the budget allowed every retry");
}

#[test]
fn floor_past_anything_written_is_refused_after_an_index() {
    let mut bench = Bench::new();
    let read = bench.read(1_000);
    assert_eq!(bench.refusals(), []);
    bench.later(2);
    bench.answer_all([10; 3]);
    let refusal = bench.refusals()[0];
    assert_eq!(refusal.request, read);
    assert_eq!(refusal.reason, effect::Reason::FloorAhead);
}

#[test]
fn floor_that_was_written_meanwhile_is_served() {
    let mut bench = Bench::new();
    let read = bench.read(11);
    bench.later(2);
    bench.answer_all([11; 3]);
    assert_eq!(bench.refusals(), []);
    bench.open_all();
    assert_eq!(bench.dispatches()[0].request, read);
    assert_eq!(bench.dispatches()[0].member, member(1));
}

#[test]
fn floor_of_unknown_groups_only_is_refused() {
    let mut bench = Bench::new();
    let mut floor = floor::Floor::default();
    floor.raise(id::of("nowhere"), floor::Point::new(1, 1));
    bench.step(event::Event::Arrived(request::Request {
        id: 77,
        caller: 1,
        service: id::of("ledger"),
        kind: READ,
        floor: Some(floor),
        deadline: bench.now + Duration::from_secs(1),
    }));
    assert_eq!(bench.refusals()[0].reason, effect::Reason::FloorAhead);
}
