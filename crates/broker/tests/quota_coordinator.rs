//! Answers of the coordinator of a shard.

use std::time::{Duration, Instant};

use fulmarlift_broker::quota::coordinator::Coordinator;
use fulmarlift_broker::quota::message::{Demand, Grant, QuotaAnswer, QuotaQuestion, Returned};
use fulmarlift_broker::workspace::RateLimit;

const WORKSPACE: u64 = 8;
const TERM: u64 = 7;
const LIMIT: RateLimit = RateLimit {
    rate_milliops_per_s: 100_000,
    burst_milliops: 100_000,
};

fn coordinator(start: Instant) -> Coordinator {
    let until = start + Duration::from_secs(10);
    Coordinator::new(start, 0, TERM, until, &[(WORKSPACE, LIMIT)])
}

fn question(asker: u64, wanted: u64) -> QuotaQuestion {
    QuotaQuestion {
        asker,
        question: 1,
        shard: 0,
        term: TERM,
        demands: vec![Demand {
            workspace: WORKSPACE,
            wanted,
            returned: Vec::new(),
        }],
    }
}

fn ask(coordinator: &mut Coordinator, now: Instant, question: &QuotaQuestion) -> Option<Grant> {
    match coordinator.answer(now, question) {
        QuotaAnswer::Granted { grants, .. } => grants.first().copied(),
        QuotaAnswer::NotCoordinator { .. } => None,
    }
}

/// A coordinator that was suspended granted tokens beside its successor.
#[test]
fn answer_after_lease_end_grants_nothing() {
    let start = Instant::now();
    let mut coordinator = coordinator(start);
    let end = start + Duration::from_secs(10);
    let before = end - Duration::from_millis(1);
    assert!(ask(&mut coordinator, before, &question(1, 1)).is_some());
    assert_eq!(ask(&mut coordinator, end, &question(1, 1)), None);
    coordinator.renew(end + Duration::from_secs(3));
    assert!(ask(&mut coordinator, end, &question(1, 1)).is_some());
}

/// Tokens of another term were put back into a bucket that had not granted them.
#[test]
fn answer_to_other_term_puts_nothing_back() {
    let start = Instant::now();
    let mut coordinator = coordinator(start);
    let now = start + Duration::from_secs(1);
    let all = ask(&mut coordinator, now, &question(1, 100));
    assert_eq!(all.map(|grant| grant.tokens), Some(100));
    let mut returns = question(1, 60);
    returns.question = 2;
    returns.term = TERM - 1;
    returns.demands[0].returned = vec![Returned {
        question: 1,
        tokens: 60,
    }];
    let grant = ask(&mut coordinator, now, &returns).expect("a grant");
    assert_eq!((grant.tokens, grant.wait_ms), (0, 10));
    returns.term = TERM;
    let grant = ask(&mut coordinator, now, &returns).expect("a grant");
    assert_eq!((grant.tokens, grant.wait_ms), (60, 0));
}

/// A proxy that asks more often than the others took most of the tokens.
#[test]
fn answer_to_frequent_asker_leaves_tokens_to_others() {
    let start = Instant::now();
    let mut coordinator = coordinator(start);
    let mut granted = [0; 3];
    for step in 0..1_000 {
        let now = start + Duration::from_millis(step * 5);
        for (asker, every) in [(0, 1), (1, 3), (2, 9)] {
            if step % every == 0 {
                let question = question(asker, 50);
                let grant = ask(&mut coordinator, now, &question).expect("a grant");
                granted[usize::try_from(asker).expect("small")] += grant.tokens;
            }
        }
    }
    println!("{granted:?}");
    assert!(granted.iter().sum::<u64>() >= 490, "{granted:?}");
    assert!(granted.iter().all(|tokens| *tokens >= 110), "{granted:?}");
}

/// Where many proxies wait for few tokens, some never got one.
#[test]
fn answer_to_many_waiting_proxies_reaches_each() {
    let start = Instant::now();
    let mut coordinator = coordinator(start);
    let mut granted = vec![0; 89];
    for step in 0..500 {
        let now = start + Duration::from_millis(step * 10);
        for (asker, tokens) in (0..).zip(&mut granted) {
            *tokens +=
                ask(&mut coordinator, now, &question(asker, 5)).map_or(0, |grant| grant.tokens);
        }
    }
    let (least, most) = (granted.iter().min(), granted.iter().max());
    println!(
        "{least:?} to {most:?}, {} in all",
        granted.iter().sum::<u64>()
    );
    assert!(least >= Some(&4) && most <= Some(&8), "{granted:?}");
}

/// A workspace whose limit was removed and added again had a full bucket, or the coordinator failed for an unknown workspace.
#[test]
fn apply_without_workspace_and_with_it_again_starts_empty() {
    let start = Instant::now();
    let mut coordinator = coordinator(start);
    let now = start + Duration::from_secs(5);
    coordinator.apply(now, &[]);
    let grant = ask(&mut coordinator, now, &question(1, 1)).expect("a grant");
    assert_eq!((grant.tokens, grant.wait_ms), (0, 500));
    coordinator.apply(now, &[(WORKSPACE, LIMIT)]);
    let grant = ask(&mut coordinator, now, &question(1, 1)).expect("a grant");
    assert_eq!((grant.tokens, grant.wait_ms), (0, 10));
}
