//! Tests of the confirmations on which the successes of commits are passed on.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::{Claim, ClaimRow, LastOrdered};
use fulmarlift_broker::effect::{Effect, StatusPurpose};
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport};
use fulmarlift_broker::topology::{Group, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, version};

const COMMIT: Point = Point {
    term: 1,
    position: 10,
};

/// What happens to a member after the proxy has learnt that no attempt is under way.
#[derive(Clone, Copy, Debug)]
enum Change {
    Nothing,
    Leaves,
    Unlisted,
    Joins,
    /// It refuses a connection and then answers again, as after a restart.
    MayRestart,
}

/// Lets member 1 acknowledge a commit as the leader of term 1.
fn commit(fixture: &mut Fixture) {
    let sent_at = fixture.now;
    fixture.now += Duration::from_millis(5);
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer: Answer::Led {
            sent_at,
            commit: true,
        },
        point: Some(COMMIT),
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(5)),
    }));
}

fn is_confirmed(fixture: &Fixture) -> Option<bool> {
    fixture
        .broker
        .confirms_commit(GROUP, Some(COMMIT), fixture.now)
}

/// Lists a member with another property than before.
fn list(fixture: &mut Fixture, member: id::MemberId, leaving: bool) {
    let mut entry = member_at(member, "b", member == 1);
    entry.leaving = leaving;
    entry.revision = version(30 + member);
    fixture.handle(Event::Listed(entry));
}

fn apply(fixture: &mut Fixture, member: id::MemberId, change: Change) {
    match change {
        Change::Nothing => {}
        Change::Leaves => list(fixture, member, true),
        Change::Joins => list(fixture, member, false),
        Change::Unlisted => fixture.handle(Event::Unlisted {
            name: format!("member-{member}").into(),
            revision: version(40),
        }),
        Change::MayRestart => refuse_connection(fixture, member),
    }
    fixture.now += Duration::from_millis(1);
}

fn seek_confirmation(fixture: &mut Fixture, point: Point, arrived_at: Instant) {
    fixture.handle(Event::ConfirmationNeeded {
        group: GROUP,
        point: Some(point),
        arrived_at,
    });
}

fn refuse_connection(fixture: &mut Fixture, member: id::MemberId) {
    let arrived_at = fixture.now - Duration::from_secs(1);
    seek_confirmation(fixture, Point::new(1, 100), arrived_at);
    let opened = |effect: &Effect| match effect {
        Effect::Open { conn, member: to } => (*to == member).then_some(*conn),
        _ => None,
    };
    let conn = fixture.effects.iter().find_map(opened);
    fixture.handle(Event::OpenFailed {
        conn: conn.expect("a connection is opened"),
        failure: OpenFailure::Refused,
    });
}

/// Returns a fixture whose proxy knows that no attempt is under way, and where the leader has acknowledged a commit.
fn committed(fenced: bool) -> Fixture {
    let mut fixture = match fenced {
        true => Fixture::new(),
        false => Fixture::unfenced(),
    };
    commit(&mut fixture);
    fixture.trust_leader();
    fixture.effects.clear();
    fixture.now += Duration::from_millis(1);
    fixture
}

/// Commits were lost whose only confirmation came from a member that left, or that had joined after the choice (users' LOST, inc10).
#[rstest]
#[case::staying_replica(2, COMMIT, Change::Nothing, Some(true))]
#[case::later_point(2, Point::new(1, 12), Change::Nothing, Some(true))]
#[case::earlier_point(2, Point::new(1, 9), Change::Nothing, None)]
#[case::leader_itself(1, COMMIT, Change::Nothing, None)]
#[case::leaving_replica(2, COMMIT, Change::Leaves, None)]
#[case::unlisted_replica(2, COMMIT, Change::Unlisted, None)]
#[case::unknown_member(4, COMMIT, Change::Nothing, None)]
#[case::member_joined(4, COMMIT, Change::Joins, None)]
#[case::member_may_have_restarted(2, COMMIT, Change::MayRestart, None)]
fn success_is_passed_on_only_once_counted_member_has_received_commit(
    #[case] member: id::MemberId,
    #[case] received: Point,
    #[case] change: Change,
    #[case] expected: Option<bool>,
    #[values(true, false)] fenced: bool,
) {
    let mut fixture = committed(fenced);
    apply(&mut fixture, member, change);
    fixture.receive(member, received);
    assert_eq!(is_confirmed(&fixture), expected);
}

/// A held replica that restarted unseen forgot its hold and confirmed commits that the promoted member lacked (inc10).
#[rstest]
fn receipt_over_connection_since_last_proof_does_not_count(#[values(true, false)] fenced: bool) {
    let mut fixture = committed(fenced);
    let connected_at = fixture.now;
    fixture.receive_over(2, COMMIT, connected_at);
    assert_eq!(is_confirmed(&fixture), None);
    fixture.receive_over(3, COMMIT, connected_at - Duration::from_secs(1));
    assert_eq!(is_confirmed(&fixture), Some(true));
}

#[rstest]
fn receipt_that_does_not_count_makes_claim_row_read(#[values(true, false)] fenced: bool) {
    let mut fixture = committed(fenced);
    fixture.receive(2, Point::new(1, 9));
    fixture.now += Duration::from_millis(60);
    fixture.receive_over(2, COMMIT, fixture.now);
    let arrived_at = fixture.now;
    seek_confirmation(&mut fixture, COMMIT, arrived_at);
    let reads = |effect: &Effect| matches!(effect, Effect::LoadClaim(GROUP));
    assert!(fixture.effects.iter().any(reads));
    fixture.trust_leader();
    assert_eq!(is_confirmed(&fixture), Some(true));
}

#[rstest]
#[case::member_joined(4, Change::Joins)]
#[case::member_may_have_restarted(2, Change::MayRestart)]
fn member_counts_once_claim_row_shows_no_attempt_since(
    #[case] member: id::MemberId,
    #[case] change: Change,
    #[values(true, false)] fenced: bool,
) {
    let mut fixture = committed(fenced);
    apply(&mut fixture, member, change);
    fixture.receive(member, COMMIT);
    fixture.now += Duration::from_millis(1);
    fixture.trust_leader();
    assert_eq!(is_confirmed(&fixture), Some(true));
}

/// A replica that has forgotten its log with its restart does not vouch for what it had before.
#[rstest]
fn receipt_before_restart_does_not_count_after_it(#[values(true, false)] fenced: bool) {
    let mut fixture = committed(fenced);
    fixture.receive(2, COMMIT);
    apply(&mut fixture, 2, Change::MayRestart);
    fixture.receive(2, Point::new(1, 2));
    fixture.now += Duration::from_millis(1);
    fixture.trust_leader();
    assert_eq!(is_confirmed(&fixture), None);
}

/// A member whose entry had lapsed may have been passed over by an attempt.
#[rstest]
fn member_listed_again_counts_once_claim_row_shows_no_attempt_since(
    #[values(true, false)] fenced: bool,
) {
    let mut fixture = committed(fenced);
    apply(&mut fixture, 2, Change::Unlisted);
    let mut entry = member_at(2, "b", false);
    entry.revision = version(50);
    fixture.handle(Event::Listed(entry));
    fixture.receive(2, COMMIT);
    assert_eq!(is_confirmed(&fixture), None);
    fixture.trust_leader();
    assert_eq!(is_confirmed(&fixture), Some(true));
}

#[rstest]
#[case::older_connection_last([0, 1_000])]
#[case::older_connection_first([1_000, 0])]
fn receipt_over_oldest_connection_counts(#[case] ages_ms: [u64; 2]) {
    let mut fixture = committed(true);
    for age_ms in ages_ms {
        let connected_at = fixture.now - Duration::from_millis(age_ms);
        fixture.receive_over(2, COMMIT, connected_at);
    }
    assert_eq!(is_confirmed(&fixture), Some(true));
}

/// A position in the log of another term says nothing of this one.
#[rstest]
fn receipt_of_other_term_does_not_count(#[values(true, false)] fenced: bool) {
    let mut fixture = committed(fenced);
    fixture.receive(2, Point::new(2, 50));
    assert_ne!(is_confirmed(&fixture), Some(true));
}

/// Held replicas received a commit of the old leader after the promotion had released them, and the success was passed on (inc10).
#[rstest]
#[case::prompt(50, false, Some(true))]
#[case::late(400, false, None)]
#[case::late_and_leader_answers(400, true, Some(true))]
fn late_receipt_counts_only_while_leader_still_leads(
    #[case] after_ms: u64,
    #[case] leads_on: bool,
    #[case] expected: Option<bool>,
) {
    let mut fixture = committed(true);
    let arrived_at = fixture.now;
    fixture.now += Duration::from_millis(after_ms);
    fixture.receive(2, COMMIT);
    if leads_on {
        commit(&mut fixture);
    }
    let confirmed = fixture
        .broker
        .confirms_commit(GROUP, Some(COMMIT), arrived_at);
    assert_eq!(confirmed, expected);
}

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

/// A replica that is ahead of a promoted member is rolled back, and until then refuses with a point of the new term.
#[rstest]
#[case::served(Answer::Served, Some(true))]
#[case::failed(Answer::Failed, Some(true))]
#[case::busy(Answer::Busy, None)]
#[case::not_leading(Answer::NotLeading, None)]
#[case::behind(Answer::Behind, None)]
fn refusal_is_no_receipt(#[case] answer: Answer, #[case] expected: Option<bool>) {
    let mut fixture = committed(true);
    let connected_at = Some(fixture.now - Duration::from_secs(1));
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 2,
        answer,
        point: Some(COMMIT),
        floor: None,
        connected_at,
        took: Some(Duration::from_millis(5)),
    }));
    assert_eq!(is_confirmed(&fixture), expected);
}

fn fall_silent(fixture: &mut Fixture, member: id::MemberId) {
    fixture.handle(Event::StatementEnded(StatementReport {
        member,
        answer: Answer::Silent { commit: false },
        point: None,
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(760)),
    }));
}

/// A member that had joined after the holds consented alone, as the held members could not be reached, and its receipt counted (inc10).
#[test]
fn consents_prove_nothing_beside_row_of_attempt() {
    let mut fixture = committed(true);
    fall_silent(&mut fixture, 2);
    fall_silent(&mut fixture, 3);
    list(&mut fixture, 4, false);
    for _ in 0..4 {
        fixture.now += Duration::from_millis(100);
        let asked_at = fixture.now - Duration::from_millis(2);
        for event in [
            Event::ClaimLoaded {
                group: GROUP,
                asked_at,
                stored: Some(row_of_attempt()),
            },
            Event::LeaseAnswered {
                group: GROUP,
                member: 4,
                asked_at,
                status: Some(support::status(false, 1, (1, 9), 0)),
            },
        ] {
            fixture.handle(event);
        }
    }
    commit(&mut fixture);
    fixture.receive_over(4, COMMIT, fixture.now - Duration::from_millis(300));
    assert_eq!(is_confirmed(&fixture), None);
}

#[test]
fn answer_of_held_replica_ends_trust() {
    let mut fixture = committed(true);
    fixture.receive(2, COMMIT);
    assert_eq!(is_confirmed(&fixture), Some(true));
    fixture.handle(Event::ReceiptAnswered {
        group: GROUP,
        member: 3,
        asked_at: fixture.now,
        connected_at: fixture.now,
        status: Some(support::status(false, 1, (1, 9), 3)),
    });
    assert_eq!(is_confirmed(&fixture), None);
}

/// Where promotions are not fenced, a member that has received the commit after the last lease may follow the old leader beside the new one.
#[test]
fn receipt_after_end_of_lease_does_not_confirm() {
    let mut fixture = committed(false);
    let arrived_at = fixture.now;
    fixture.now += Duration::from_millis(800);
    fixture.receive(2, COMMIT);
    let confirmed = fixture
        .broker
        .confirms_commit(GROUP, Some(COMMIT), arrived_at);
    assert_eq!(confirmed, None);
}

#[test]
fn commit_of_group_without_synchronous_replicas_needs_no_receipt() {
    let mut fixture = committed(true);
    let group = Group {
        name: "ledger".into(),
        connections_max: 16,
        sync_replicas: 0,
    };
    fixture.handle(Event::Configured(Topology::new(
        2,
        Vec::new(),
        vec![(GROUP, group)],
    )));
    assert_eq!(is_confirmed(&fixture), Some(true));
}

/// Returns the replicas that are asked for a receipt within a time. None of them answers.
fn asked_replicas(fixture: &mut Fixture, within_ms: u64) -> Vec<id::MemberId> {
    let arrived_at = fixture.now;
    let mut asked = Vec::new();
    for _ in 0..within_ms / 10 {
        seek_confirmation(fixture, COMMIT, arrived_at);
        fixture.open_all();
        for effect in fixture.take_effects() {
            match effect {
                Effect::AskStatus {
                    member,
                    purpose: StatusPurpose::Receipt,
                    ..
                } => asked.push(member),
                Effect::LoadClaim(group) => fixture.handle(Event::ClaimLoaded {
                    group,
                    asked_at: fixture.now,
                    stored: Some(ClaimRow::default()),
                }),
                _ => {}
            }
        }
        fixture.now += Duration::from_millis(10);
    }
    asked
}

#[test]
fn receipt_is_asked_of_one_staying_replica_after_another() {
    let mut fixture = committed(true);
    fixture.now += Duration::from_secs(20);
    fixture.trust_leader();
    assert_eq!(asked_replicas(&mut fixture, 80), []);
    assert_eq!(asked_replicas(&mut fixture, 450), [2, 3]);
}

#[test]
fn receipt_is_asked_at_once_while_members_change() {
    let mut fixture = committed(true);
    fixture.now += Duration::from_secs(20);
    list(&mut fixture, 2, true);
    fixture.trust_leader();
    assert_eq!(asked_replicas(&mut fixture, 30), [3]);
}
