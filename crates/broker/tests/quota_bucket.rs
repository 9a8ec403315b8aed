//! Token bucket of a workspace.

use std::time::{Duration, Instant};

use fulmarlift_broker::quota::bucket::Bucket;
use fulmarlift_broker::quota::message::Returned;
use fulmarlift_broker::workspace::RateLimit;
use rstest::rstest;

const ASKER: u64 = 1;

fn limit(rate_per_s: u64, burst: u64) -> RateLimit {
    RateLimit {
        rate_milliops_per_s: rate_per_s * 1_000,
        burst_milliops: burst * 1_000,
    }
}

fn returned(question: u64, tokens: u64) -> Returned {
    Returned { question, tokens }
}

/// A bucket that starts with tokens adds to those that the predecessor of its coordinator has just granted.
#[rstest]
#[case::at_start(0, 0)]
#[case::after_half_a_second(500, 50)]
#[case::after_long_pause(60_000, 200)]
fn level_after_start(#[case] after_ms: u64, #[case] level: u64) {
    let start = Instant::now();
    let mut bucket = Bucket::new(start, limit(100, 200));
    assert_eq!(bucket.level(start + Duration::from_millis(after_ms)), level);
}

/// Tokens that came back after the bucket had filled up again were granted beside a whole burst.
#[test]
fn put_back_after_refill_is_ignored() {
    let start = Instant::now();
    let full = start + Duration::from_secs(10);
    let mut bucket = Bucket::new(start, limit(100, 100));
    assert_eq!(bucket.grant(full, ASKER, 1, 100), 100);
    let refilled = full + Duration::from_secs(1);
    assert_eq!(bucket.grant(refilled, ASKER, 2, 100), 100);
    bucket.put_back(refilled, ASKER, returned(1, 100));
    assert_eq!(bucket.level(refilled), 0);
    bucket.put_back(refilled, ASKER, returned(2, 40));
    assert_eq!(bucket.level(refilled), 40);
    bucket.put_back(refilled, ASKER, returned(2, 40));
    assert_eq!(bucket.level(refilled), 40, "a grant is reported once");
}

/// The level and the outstanding tokens together never exceed the burst, whatever is granted and put back.
#[test]
fn put_back_keeps_level_and_outstanding_within_burst() {
    let mut now = Instant::now();
    let mut bucket = Bucket::new(now, limit(100, 50));
    for question in 1..500 {
        now += Duration::from_millis(question * 7 % 300);
        bucket.grant(now, ASKER, question, question % 60);
        bucket.put_back(
            now,
            ASKER,
            returned(question.saturating_sub(3), question % 17),
        );
        assert!(bucket.level(now) + bucket.outstanding() <= 50);
    }
}

/// A burst of fewer tokens than are granted within their lifetime lowered the rate, while outstanding tokens kept new ones out; so did
/// one of fewer tokens than are added between two questions of a proxy.
#[rstest]
#[case::less_than_in_lifetime(200, 20, 10)]
#[case::less_than_between_questions(1_000, 1, 35)]
fn grant_with_small_burst_reaches_rate(
    #[case] rate_per_s: u64,
    #[case] burst: u64,
    #[case] interval_ms: u64,
) {
    let start = Instant::now();
    let mut bucket = Bucket::new(start, limit(rate_per_s, burst));
    let steps = (0..1_000).map(|step| start + Duration::from_millis(step * interval_ms));
    let granted: u64 = steps.map(|now| bucket.grant(now, ASKER, 1, 1_000)).sum();
    let whole = rate_per_s * interval_ms;
    assert!((whole * 99 / 100..=whole).contains(&granted), "{granted}");
}

/// A lower limit was not in force until the tokens of the higher one were used.
#[test]
fn set_limit_lower_drops_tokens() {
    let start = Instant::now();
    let full = start + Duration::from_secs(10);
    let mut bucket = Bucket::new(start, limit(100, 100));
    assert_eq!(bucket.grant(full, ASKER, 1, 30), 30);
    bucket.set_limit(full, limit(10, 20));
    assert_eq!((bucket.level(full), bucket.outstanding()), (20, 0));
    assert_eq!(bucket.time_until(full, 25), Duration::from_millis(500));
}

/// A rate of zero, or an enormous one, ended the process.
#[rstest]
#[case::zero(0, 0, 60_000)]
#[case::enormous(u64::MAX / 1_000, u64::MAX / 1_000, 1)]
fn time_until_with_extreme_limit(
    #[case] rate_per_s: u64,
    #[case] burst: u64,
    #[case] wait_ms: u64,
) {
    let start = Instant::now();
    let mut bucket = Bucket::new(start, limit(rate_per_s, burst));
    assert_eq!(bucket.time_until(start, 1), Duration::from_millis(wait_ms));
    bucket.grant(start + Duration::from_secs(1 << 32), ASKER, 1, u64::MAX);
}
