//! The load tool classifies outcomes, checks reads, counts requests and validates its options.

use std::time::Duration;

use fulmarlift_lab::load;
use rstest::rstest;

/// Returns the expected counter after one write with each of the outcomes.
fn counter_after(outcomes: &[load::Outcome]) -> load::ExpectedCounter {
    let mut counter = load::ExpectedCounter::default();
    for outcome in outcomes {
        let value = counter.next_value();
        counter.record_outcome(value, *outcome);
    }
    counter
}

#[rstest]
#[case::acknowledged(&[load::Outcome::Done, load::Outcome::Done], Some(2), load::ReadVerdict::Valid)]
#[case::missed(&[load::Outcome::Done, load::Outcome::Done], Some(1), load::ReadVerdict::Stale)]
#[case::no_row(&[load::Outcome::Done], None, load::ReadVerdict::Stale)]
#[case::unknown_ran(&[load::Outcome::Done, load::Outcome::Unknown], Some(2), load::ReadVerdict::Valid)]
#[case::unknown_did_not_run(&[load::Outcome::Done, load::Outcome::Unknown], Some(1), load::ReadVerdict::Valid)]
#[case::refused_ran(&[load::Outcome::Done, load::Outcome::Refused], Some(2), load::ReadVerdict::False)]
#[case::never_sent(&[load::Outcome::Done], Some(2), load::ReadVerdict::False)]
fn judge_sees(
    #[case] outcomes: &[load::Outcome],
    #[case] value: Option<i64>,
    #[case] verdict: load::ReadVerdict,
) {
    assert_eq!(counter_after(outcomes).judge(value), verdict);
}

#[rstest]
#[case::overloaded(load::Kind::Write, Some("53300"), load::Outcome::Refused)]
#[case::no_primary(load::Kind::Write, Some("57P03"), load::Outcome::Refused)]
#[case::unknown(load::Kind::Write, Some("08007"), load::Outcome::Unknown)]
#[case::cut_write(load::Kind::Write, None, load::Outcome::Unknown)]
#[case::cut_read(load::Kind::IndexRead, None, load::Outcome::Failed)]
#[case::rolled_back(load::Kind::Write, Some("08006"), load::Outcome::Failed)]
fn outcome_is(
    #[case] kind: load::Kind,
    #[case] sqlstate: Option<&str>,
    #[case] outcome: load::Outcome,
) {
    assert_eq!(load::classify_outcome(kind, sqlstate), outcome);
}

#[test]
fn tally_keeps_kinds_and_outcomes_apart() {
    let tally = load::Tally::default();
    let ms = Duration::from_millis;
    tally.record_request(load::Kind::Write, load::Outcome::Done, ms(10));
    tally.record_request(load::Kind::Write, load::Outcome::Done, ms(30));
    tally.record_request(load::Kind::Write, load::Outcome::Refused, ms(1));
    tally.record_request(load::Kind::Write, load::Outcome::Unknown, ms(900));
    tally.record_request(load::Kind::TokenRead, load::Outcome::Failed, ms(5));
    tally.record_stale_read();
    let report = tally.report(&load::Options::default(), Duration::from_secs(2));
    let write = report.kinds[0];
    assert_eq!(
        (write.done, write.refused, write.unknown, write.failed),
        (2, 1, 1, 0)
    );
    assert_eq!(report.kinds[1].failed, 1);
    assert_eq!(report.kinds[2].done, 0);
    // The latency of answered requests contains neither refused nor unknown ones.
    assert!(write.done_latency.max_us.abs_diff(30_000) <= 30);
    assert!(write.done_latency.p50_us.abs_diff(10_000) <= 10);
    assert!((report.done_per_second - 1.0).abs() < f64::EPSILON);
    assert!(!report.passed());
}

#[rstest]
#[case::foreign("192.0.2.1:5432", 50, 1.0, "not a loopback address")]
#[case::sessions("127.0.0.1:5432", 5_001, 1.0, "sessions are not between")]
#[case::rate("127.0.0.1:5432", 50, 0.0, "requests a second")]
#[tokio::test]
async fn run_refuses(
    #[case] address: &str,
    #[case] sessions: u32,
    #[case] requests_per_second: f64,
    #[case] finding: &str,
) {
    let options = load::Options {
        addresses: vec![address.parse().expect("the address is valid")],
        sessions,
        requests_per_second,
        ..load::Options::default()
    };
    let error = load::run(&options, |_| {})
        .await
        .expect_err("the options are invalid");
    assert!(error.to_string().contains(finding), "{error}");
}
