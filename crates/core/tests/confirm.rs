//! Tests of which reports confirm a commit, and when a commit can no longer be confirmed.

use std::time::Duration;

use fulmarlift_core::{event, floor, status};
use rstest::rstest;

const REQUEST: u64 = 7;
const MEMBERS: usize = 3;

/// Returns a member's report. A member whose term starts at a position other than 0 is a primary.
fn status(term: u64, last: (u64, u64), term_start: u64) -> event::Status {
    event::Status {
        term,
        primary: term_start > 0,
        last: floor::Point::new(last.0, last.1),
        term_start,
        connections_used: 0,
        upstream_silence: Duration::ZERO,
    }
}

/// Returns the decision on a commit of primary 1 at term 4, position 10, after one report of member 2.
fn decide(report: event::Status) -> status::DecidedCommits {
    let mut confirmations = status::Confirmations::default();
    confirmations.add(REQUEST, floor::Point::new(4, 10), 1);
    confirmations.record_report(2, report, MEMBERS)
}

#[rstest]
#[case::own_term(status(4, (4, 10), 0))]
#[case::further_in_own_term(status(4, (4, 12), 0))]
#[case::fenced_at_next_term(status(5, (4, 10), 0))]
fn report_confirms_commit(#[case] report: event::Status) {
    let confirmed = vec![(REQUEST, floor::Point::new(4, 10))];
    assert_eq!(decide(report).confirmed, confirmed);
}

#[rstest]
#[case::behind(status(4, (4, 9), 0))]
#[case::log_of_older_term(status(4, (3, 12), 0))]
#[case::not_yet_at_term(status(3, (3, 9), 0))]
#[case::fenced_past_next_term(status(6, (4, 10), 0))]
#[case::fenced_without_it(status(5, (4, 9), 0))]
#[case::newer_log_may_lack_it(status(5, (5, 12), 0))]
fn report_leaves_commit_open(#[case] report: event::Status) {
    assert_eq!(decide(report), status::DecidedCommits::default());
}

#[test]
fn report_of_replaced_history_decides_at_once() {
    let promoted = status(5, (5, 10), 10);
    assert_eq!(decide(promoted).unconfirmed, vec![REQUEST]);
}

#[test]
fn report_of_last_possible_vote_decides_at_once() {
    let mut confirmations = status::Confirmations::default();
    confirmations.add(REQUEST, floor::Point::new(4, 10), 1);
    let without = status(5, (4, 9), 0);
    let first = confirmations.record_report(2, without, MEMBERS);
    assert_eq!(first, status::DecidedCommits::default());
    let second = confirmations.record_report(3, without, MEMBERS);
    assert_eq!(second.unconfirmed, vec![REQUEST]);
    assert!(confirmations.is_empty());
}

#[test]
fn report_of_one_member_counts_once() {
    let mut confirmations = status::Confirmations::default();
    confirmations.add(REQUEST, floor::Point::new(4, 10), 1);
    let own = status(4, (4, 10), 1);
    let decided = confirmations.record_report(1, own, MEMBERS);
    assert_eq!(decided, status::DecidedCommits::default());
}
