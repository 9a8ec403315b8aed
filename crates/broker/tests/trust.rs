//! Tests of the trust in leaders where promotions are fenced.

mod support;

use std::time::Duration;

use fulmarlift_broker::claim::{Claim, ClaimRow, LastOrdered};
use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::trust::TRUST_DURATION;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, version};

/// Lets a member answer as the leader of term 1. With `took_ms`, the answer ends a commit.
fn lead(fixture: &mut Fixture, member: id::MemberId, took_ms: Option<u64>) {
    let took = took_ms.map(Duration::from_millis);
    let sent_at = fixture.now;
    fixture.now += took.unwrap_or_default();
    fixture.handle(Event::StatementEnded(StatementReport {
        member,
        answer: Answer::Led {
            sent_at,
            commit: took.is_some(),
        },
        point: Some(Point::new(1, 10)),
        floor: None,
        connected_at: None,
        took,
    }));
}

/// Returns a broker that trusts member 1, which leads term 1.
fn trusting() -> Fixture {
    let mut fixture = Fixture::new();
    lead(&mut fixture, 1, None);
    fixture.trust_leader();
    fixture.effects.clear();
    fixture
}

fn join(fixture: &mut Fixture, member: id::MemberId, leads: bool) {
    let mut entry = member_at(member, "b", leads);
    entry.revision = version(30 + member);
    fixture.handle(Event::Listed(entry));
}

/// A row of an attempt that has ordered member 2, and whose order is not known to have been executed.
fn row_of_attempt() -> ClaimRow {
    let claim = Claim {
        token: 2,
        target: Some("member-2".into()),
        until_ms: 8_000,
        last_ordered: LastOrdered::Member {
            name: "member-2".into(),
            replaced_term: 1,
        },
        ..Claim::default()
    };
    ClaimRow {
        claim,
        revision: version(8),
        now_ms: 6_000,
    }
}

/// Plays the store and the connections for a second, and returns whether a request was granted at a member.
fn is_granted(fixture: &mut Fixture, member: id::MemberId, row: &ClaimRow) -> bool {
    let mut granted = false;
    for _ in 0..10 {
        fixture.open_all();
        for effect in fixture.take_effects() {
            match effect {
                Effect::LoadClaim(group) => fixture.handle(Event::ClaimLoaded {
                    group,
                    asked_at: fixture.now,
                    stored: Some(row.clone()),
                }),
                Effect::Grant(grant) => granted |= grant.member == member,
                _ => {}
            }
        }
        fixture.advance(100);
    }
    granted
}

/// Commits were lost that a leader acknowledged which was back after an absence, while the order for another member was accepted and
/// not yet executed (users' LOST, inc7).
#[rstest]
#[case::write(Requirement::Leader, row_of_attempt(), false)]
#[case::transaction(Requirement::LeaderForReads { acknowledged_before: std::time::Instant::now() }, row_of_attempt(), false)]
#[case::write_without_attempt(Requirement::Leader, ClaimRow::default(), true)]
fn write_is_sent_to_leader_that_is_back_only_without_attempt(
    #[case] requirement: Requirement,
    #[case] row: ClaimRow,
    #[case] expected: bool,
) {
    let mut fixture = trusting();
    fixture.handle(Event::Unlisted {
        name: "member-1".into(),
        revision: version(20),
    });
    fixture.advance(5_000);
    fixture.effects.clear();
    join(&mut fixture, 11, true);
    lead(&mut fixture, 11, None);
    assert_eq!(fixture.leader(), Some(11));
    fixture.add_request_within(requirement, 2_000, 4_000);
    assert_eq!(is_granted(&mut fixture, 11, &row), expected);
}

/// A member that joined after the holds of an attempt confirmed commits, and their successes were passed on (inc7).
#[rstest]
#[case::member_joined(None, true)]
#[case::commit_waited(Some(700), false)]
fn success_is_passed_on_only_if_claim_row_shows_no_attempt_since(
    #[case] took_ms: Option<u64>,
    #[case] joins: bool,
) {
    let mut fixture = trusting();
    let point = Some(Point::new(1, 10));
    fixture.receive(2, Point::new(1, 10));
    assert_eq!(
        fixture.broker.confirms_commit(GROUP, point, fixture.now),
        Some(true)
    );
    fixture.now += Duration::from_millis(100);
    if joins {
        join(&mut fixture, 4, false);
    }
    lead(&mut fixture, 1, took_ms.or(Some(20)));
    let arrived_at = fixture.now;
    assert_eq!(
        fixture.broker.confirms_commit(GROUP, point, arrived_at),
        None
    );
    let group = GROUP;
    fixture.handle(Event::ConfirmationNeeded {
        group,
        point,
        arrived_at,
    });
    let reads = |effect: &Effect| matches!(effect, Effect::LoadClaim(GROUP));
    assert!(fixture.effects.iter().any(reads), "the claim row is read");
    fixture.trust_leader();
    assert_eq!(
        fixture.broker.confirms_commit(GROUP, point, arrived_at),
        Some(true)
    );
}

#[test]
fn trust_ends_with_silence_of_leader() {
    let mut fixture = trusting();
    fixture.advance(2_000);
    lead(&mut fixture, 1, Some(20));
    fixture.receive(2, Point::new(1, 10));
    let (now, point) = (fixture.now, Some(Point::new(1, 10)));
    assert_eq!(fixture.broker.confirms_commit(GROUP, point, now), None);
}

/// Lets time pass in which the leader answers, and a caller writes nothing.
fn wait_in_contact(fixture: &mut Fixture, time: Duration) {
    let until = fixture.now + time;
    while fixture.now < until {
        let step = Duration::from_millis(400).min(until - fixture.now);
        fixture.advance(step.as_millis() as u64);
        lead(fixture, 1, None);
    }
}

fn reads_claim(fixture: &mut Fixture) -> bool {
    let reads = |effect: &Effect| matches!(effect, Effect::LoadClaim(GROUP));
    fixture.take_effects().iter().any(reads)
}

/// Nothing that a proxy sees tells of an attempt whose holds have been undone.
#[rstest]
#[case::before_end(TRUST_DURATION - Duration::from_millis(1), Some(true))]
#[case::at_end(TRUST_DURATION, None)]
fn trust_ends_by_itself(#[case] after: Duration, #[case] expected: Option<bool>) {
    let mut fixture = trusting();
    fixture.receive(2, Point::new(1, 10));
    wait_in_contact(&mut fixture, after);
    let (arrived_at, point) = (fixture.now, Some(Point::new(1, 10)));
    let confirmed = |fixture: &Fixture| fixture.broker.confirms_commit(GROUP, point, arrived_at);
    assert_eq!(confirmed(&fixture), expected);
    assert!(!reads_claim(&mut fixture), "no write needs the row");
    fixture.trust_leader();
    assert_eq!(confirmed(&fixture), Some(true));
}

#[test]
fn success_makes_claim_row_read_once_trust_has_ended() {
    let mut fixture = trusting();
    wait_in_contact(&mut fixture, TRUST_DURATION);
    fixture.receive(2, Point::new(1, 10));
    fixture.handle(Event::ConfirmationNeeded {
        group: GROUP,
        point: Some(Point::new(1, 10)),
        arrived_at: fixture.now,
    });
    assert!(reads_claim(&mut fixture));
}

/// A claimant may have read the logs by the time that the receipt came.
#[rstest]
#[case::within_trust(60, Some(true))]
#[case::after_trust(140, None)]
fn receipt_confirms_only_within_trust(
    #[case] received_after_ms: u64,
    #[case] expected: Option<bool>,
) {
    let mut fixture = trusting();
    let connected_at = fixture.now - Duration::from_secs(1);
    wait_in_contact(&mut fixture, TRUST_DURATION - Duration::from_millis(100));
    let (arrived_at, point) = (fixture.now, Some(Point::new(1, 10)));
    fixture.now += Duration::from_millis(received_after_ms);
    fixture.receive_over(2, Point::new(1, 10), connected_at);
    lead(&mut fixture, 1, None);
    let confirmed = |fixture: &Fixture| fixture.broker.confirms_commit(GROUP, point, arrived_at);
    assert_eq!(confirmed(&fixture), expected);
    fixture.trust_leader();
    assert_eq!(confirmed(&fixture), Some(true));
}

/// A success may wait for the row, a write need not.
#[rstest]
#[case::write(Requirement::Leader, true)]
#[case::transaction(Requirement::LeaderForReads { acknowledged_before: std::time::Instant::now() }, false)]
fn write_is_sent_without_delay_after_end_of_trust(
    #[case] requirement: Requirement,
    #[case] reads: bool,
    #[values(Duration::ZERO, Duration::from_millis(50))] before_end: Duration,
) {
    let mut fixture = trusting();
    wait_in_contact(&mut fixture, TRUST_DURATION - before_end);
    fixture.effects.clear();
    fixture.add_request(requirement);
    fixture.open_all();
    assert_eq!(fixture.take_grants().len(), 1);
    assert_eq!(reads_claim(&mut fixture), reads);
}
