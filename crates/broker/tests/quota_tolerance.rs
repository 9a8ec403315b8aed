//! The limits that coordinators enforce. Too high, they break the bound over a window; too low, callers lose what they may use.

use fulmarlift_broker::quota::tolerance::Tolerance;
use fulmarlift_broker::workspace::RateLimit;
use rstest::rstest;

const TOLERANCE: Tolerance = Tolerance {
    window_s: 5.0,
    overshoot: 0.1,
    slack: 20.0,
};

/// Tokens of 5.4 s and a full bucket, of at least 40 ms, can be used in a window of 5 s.
fn most_in_window(limit: RateLimit) -> f64 {
    limit.rate_per_s() * 5.44 + limit.burst()
}

#[rstest]
#[case::large(237.0, 237.0)]
#[case::small(1.0, 1.0)]
#[case::large_burst(10.0, 1_000.0)]
#[case::no_burst(50.0, 0.0)]
#[case::nothing(0.0, 0.0)]
fn enforced_stays_within_the_window(#[case] rate_per_s: f64, #[case] burst: f64) {
    let limit = RateLimit::new(rate_per_s, burst);
    let allowed = (rate_per_s * 5.0 + burst) * 1.1 + 20.0;
    assert!((TOLERANCE.allowed(limit) - allowed).abs() < 1e-6);
    assert!(most_in_window(TOLERANCE.enforced(limit)) <= allowed);
    let strict = Tolerance {
        overshoot: 0.0,
        slack: 0.0,
        ..TOLERANCE
    };
    assert!(most_in_window(strict.enforced(limit)) <= rate_per_s * 5.0 + burst);
}

/// A workspace gets its configured rate.
#[rstest]
#[case::large(237.0, 237.0)]
#[case::small(1.0, 1.0)]
fn enforced_gives_the_whole_rate(#[case] rate_per_s: f64, #[case] burst: f64) {
    let enforced = TOLERANCE.enforced(RateLimit::new(rate_per_s, burst));
    assert!(enforced.rate_per_s() >= rate_per_s, "{enforced:?}");
}
