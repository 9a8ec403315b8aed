//! Evidence that reaches the proxy later than the state in which it was given.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::{Claim, ClaimRow, LastOrdered, Standing};
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{Answer, Event, StatementReport, StoreOutcome};
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

/// Reports an answer of a member that only a leader gives, to a statement that was sent at `sent_at`.
fn report_led(
    fixture: &mut Fixture,
    member: id::MemberId,
    sent_at: Instant,
    point: Option<(u64, u64)>,
) {
    let commit = false;
    fixture.handle(Event::StatementEnded(StatementReport {
        member,
        answer: Answer::Led { sent_at, commit },
        point: point.map(|(term, position)| Point::new(term, position)),
        floor: None,
        connected_at: None,
        took: None,
    }));
}

/// Reports the status of a member that was asked at `asked_at`. The fields are those of [`status`].
fn report_status(
    fixture: &mut Fixture,
    member: id::MemberId,
    asked_at: Instant,
    fields: (bool, u64, (u64, u64), u64),
) {
    let (leads, term, received, held_term) = fields;
    fixture.handle(Event::LeaseAnswered {
        group: GROUP,
        member,
        asked_at,
        status: Some(status(leads, term, received, held_term)),
    });
}

/// Lets the directory list member 2 as leader.
fn list_successor(fixture: &mut Fixture) {
    let mut entry = member_at(2, "b", true);
    entry.revision = version(50);
    fixture.handle(Event::Listed(entry));
}

fn advance_by(fixture: &mut Fixture, ms: u64) {
    fixture.now += Duration::from_millis(ms);
}

/// Ends the granted requests without an answer, opens all connections, and returns the members and the floors of all grants.
fn take_grants(fixture: &mut Fixture) -> Vec<(id::MemberId, Option<Point>)> {
    let mut granted = Vec::new();
    for _ in 0..4 {
        fixture.open_all();
        for grant in fixture.take_grants() {
            granted.push((grant.member, grant.floor));
            fixture.end_statement(&grant, Answer::Unfinished, None);
        }
    }
    granted
}

/// Adds a request, and returns the members to which it is granted at once. A write that waits only for a lease counts as granted at the
/// member for whose lease it waits.
fn members_granted(fixture: &mut Fixture, requirement: Requirement) -> Vec<id::MemberId> {
    fixture.effects.clear();
    fixture.add_request(requirement);
    let granted = take_grants(fixture);
    let mut granted: Vec<_> = granted.into_iter().map(|(member, _)| member).collect();
    if granted.is_empty() && requirement == Requirement::Leader {
        granted.extend(fixture.leader());
    }
    granted
}

/// Returns a broker to which member 1 has shown that it leads term 1.
fn led_by_first(mut fixture: Fixture) -> Fixture {
    let now = fixture.now;
    report_led(&mut fixture, 1, now, Some((1, 10)));
    advance_by(&mut fixture, 10);
    fixture
}

/// Returns a broker with a lease of term 2, which member 2 leads, while member 1 leads on in term 1.
fn led_by_successor() -> Fixture {
    let mut fixture = led_by_first(Fixture::unfenced());
    fixture.add_request(Requirement::VerifiedLeader {
        acknowledged_before: fixture.now,
    });
    let asked_at = fixture.now;
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at,
        stored: Some(ClaimRow::default()),
    });
    take_grants(&mut fixture);
    advance_by(&mut fixture, 600);
    list_successor(&mut fixture);
    let asked_at = fixture.now;
    report_status(&mut fixture, 2, asked_at, (true, 2, (1, 10), 0));
    assert_eq!(fixture.leader(), Some(2));
    fixture
}

fn read_newest(fixture: &Fixture) -> Requirement {
    Requirement::VerifiedLeader {
        acknowledged_before: fixture.now,
    }
}

/// The claim row of a group whose member 2 was promoted to term 2 by an order that has been confirmed.
fn row_of_successor(revision: u64) -> ClaimRow {
    let claim = Claim {
        token: 6,
        target: Some("member-2".into()),
        settled: true,
        until_ms: 8_000,
        last_ordered: LastOrdered::Member {
            name: "member-2".into(),
            replaced_term: 1,
        },
        ..Claim::default()
    };
    ClaimRow {
        claim,
        revision: version(revision),
        now_ms: 9_000,
    }
}

/// The statement ran while member 1 led on in term 1. Commits that member 2 had acknowledged by then are not in that log.
#[test]
fn answer_of_replaced_leader_is_no_sample_of_newer_term_that_it_follows_by_then() {
    let mut fixture = led_by_successor();
    advance_by(&mut fixture, 100);
    let sent_at = fixture.now;
    advance_by(&mut fixture, 20);
    let asked_at = fixture.now;
    report_status(&mut fixture, 1, asked_at, (false, 2, (1, 10), 0));
    report_led(&mut fixture, 1, sent_at, Some((1, 12)));
    fixture.effects.clear();
    fixture.add_request(Requirement::Recent {
        acknowledged_before: sent_at,
        session_commit: None,
    });
    assert_eq!(take_grants(&mut fixture), []);
}

/// Member 1 has stepped down and follows term 2, but has not caught up yet: 1.12 is the end of its own log.
#[test]
fn bounded_read_is_not_granted_at_end_of_log_of_former_leader_that_has_stepped_down() {
    let mut fixture = led_by_successor();
    advance_by(&mut fixture, 20);
    let asked_at = fixture.now;
    report_status(&mut fixture, 1, asked_at, (false, 2, (1, 12), 0));
    advance_by(&mut fixture, 100);
    let sent_at = fixture.now;
    report_led(&mut fixture, 1, sent_at, Some((1, 12)));
    fixture.effects.clear();
    fixture.add_request(Requirement::Recent {
        acknowledged_before: sent_at,
        session_commit: None,
    });
    assert_eq!(take_grants(&mut fixture), []);
}

/// Commits up to 2.200 were acknowledged before the second statement was sent. Member 1 was not seen to lead a newer term.
#[test]
fn bounded_read_is_not_granted_below_earlier_sample_where_replaced_leader_may_lead_on() {
    let mut fixture = led_by_successor();
    let sent_at = fixture.now;
    report_led(&mut fixture, 2, sent_at, Some((2, 200)));
    advance_by(&mut fixture, 200);
    let sent_at = fixture.now;
    report_led(&mut fixture, 1, sent_at, Some((2, 140)));
    let floors = floors_granted(&mut fixture, sent_at);
    assert!(
        floors
            .iter()
            .all(|floor| *floor >= Some(Point::new(2, 200))),
        "{floors:?}"
    );
}

/// The same answer, for what only the leader may serve.
#[test]
fn answer_of_replaced_leader_does_not_win_it_newer_term_that_it_follows_by_then() {
    let mut fixture = led_by_successor();
    let sent_at = fixture.now;
    advance_by(&mut fixture, 20);
    let asked_at = fixture.now;
    report_status(&mut fixture, 1, asked_at, (false, 2, (1, 10), 0));
    report_led(&mut fixture, 1, sent_at, Some((1, 12)));
    let requirement = read_newest(&fixture);
    assert_eq!(members_granted(&mut fixture, requirement), [2]);
    assert_eq!(fixture.leader(), Some(2));
}

/// The answer does not tell its term. Member 1 leads on in term 1.
#[test]
fn write_is_not_granted_at_replaced_leader_by_answer_without_point() {
    let mut fixture = led_by_successor();
    let sent_at = fixture.now;
    advance_by(&mut fixture, 20);
    report_led(&mut fixture, 1, sent_at, None);
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// An answer of the leader of term 1, which this proxy has known to lead term 1 since before the entry.
#[derive(Clone, Copy, Debug)]
enum OldAnswer {
    /// To a statement that was sent before the entry.
    StatementBefore,
    /// To a statement that was sent after the entry. A replaced leader answers so where promotions are not fenced.
    StatementAfter,
    /// To a question for its status that was sent before the entry.
    StatusBefore,
    /// To a question for its status that was sent after the entry.
    StatusAfter,
}

/// Member 2 has not shown its term, or has answered with its log, which has no entry of its term yet.
#[rstest]
#[case::fenced(Fixture::new(), OldAnswer::StatementBefore, false)]
#[case::fenced_with_answer_of_successor(Fixture::new(), OldAnswer::StatementBefore, true)]
#[case::unfenced(Fixture::unfenced(), OldAnswer::StatementBefore, false)]
#[case::unfenced_with_answer_of_successor(Fixture::unfenced(), OldAnswer::StatementBefore, true)]
#[case::leading_on(Fixture::unfenced(), OldAnswer::StatementAfter, false)]
#[case::leading_on_with_answer_of_successor(Fixture::unfenced(), OldAnswer::StatementAfter, true)]
#[case::status(Fixture::unfenced(), OldAnswer::StatusBefore, false)]
#[case::status_leading_on(Fixture::unfenced(), OldAnswer::StatusAfter, false)]
fn write_is_not_granted_at_replaced_leader_whose_answer_arrives_after_entry_of_successor(
    #[case] fixture: Fixture,
    #[case] answer: OldAnswer,
    #[case] successor_answers: bool,
) {
    let mut fixture = led_by_first(fixture);
    let before = fixture.now;
    advance_by(&mut fixture, 100);
    list_successor(&mut fixture);
    assert_eq!(fixture.leader(), Some(2));
    advance_by(&mut fixture, 10);
    let after = fixture.now;
    if successor_answers {
        report_led(&mut fixture, 2, after, Some((1, 10)));
    }
    advance_by(&mut fixture, 10);
    match answer {
        OldAnswer::StatementBefore => report_led(&mut fixture, 1, before, Some((1, 11))),
        OldAnswer::StatementAfter => report_led(&mut fixture, 1, after, Some((1, 11))),
        OldAnswer::StatusBefore => {
            report_status(&mut fixture, 1, before, (true, 1, (1, 11), 0));
        }
        OldAnswer::StatusAfter => report_status(&mut fixture, 1, after, (true, 1, (1, 11), 0)),
    }
    let granted = members_granted(&mut fixture, Requirement::Leader);
    assert!(!granted.contains(&1), "granted at {granted:?}");
}

/// Member 3 has shown term 3 when an entry of member 2, which may lead term 2 on or a term after 3, arrives.
#[test]
fn write_is_not_granted_at_member_whose_log_is_of_older_term_before_it_shows_its_term() {
    let mut fixture = led_by_first(Fixture::unfenced());
    let sent_at = fixture.now;
    report_led(&mut fixture, 3, sent_at, Some((3, 20)));
    advance_by(&mut fixture, 100);
    list_successor(&mut fixture);
    let sent_at = fixture.now;
    advance_by(&mut fixture, 10);
    report_led(&mut fixture, 2, sent_at, Some((2, 15)));
    fixture.add_request(Requirement::Leader);
    for _ in 0..3 {
        let reads = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
        if fixture.effects.iter().any(reads) {
            fixture.effects.retain(|effect| !reads(effect));
            fixture.handle(Event::ClaimLoaded {
                group: GROUP,
                asked_at: fixture.now,
                stored: Some(ClaimRow::default()),
            });
        }
        let granted = take_grants(&mut fixture);
        assert!(granted.is_empty(), "granted at {granted:?}");
        fixture.advance(100);
    }
}

/// The claimant knew term 1 as the newest one, so the row tells a lower bound of the successor's term.
#[test]
fn write_is_not_granted_at_leader_that_claim_row_calls_replaced_by_its_next_answer() {
    let mut fixture = led_by_first(Fixture::unfenced());
    let sent_at = fixture.now;
    report_led(&mut fixture, 1, sent_at, Some((2, 12)));
    let asked_at = fixture.now;
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at,
        stored: Some(row_of_successor(20)),
    });
    assert_eq!(fixture.leader(), None);
    advance_by(&mut fixture, 10);
    report_led(&mut fixture, 1, asked_at, Some((2, 13)));
    let granted = members_granted(&mut fixture, Requirement::Leader);
    assert!(!granted.contains(&1), "granted at {granted:?}");
}

/// The question was sent before the promotion, on a slower connection than the one after it.
#[test]
fn status_that_was_asked_before_last_one_does_not_deny_leader() {
    let mut fixture = led_by_successor();
    let asked_at = fixture.now - Duration::from_millis(300);
    advance_by(&mut fixture, 10);
    report_status(&mut fixture, 2, asked_at, (false, 1, (1, 10), 0));
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// The store has not heard of the loss of member 1's lead, which leads on in term 1. Member 2 has led term 2 and was replaced as well.
#[test]
fn write_is_not_granted_at_leader_of_older_term_that_directory_still_lists() {
    let mut fixture = led_by_successor();
    advance_by(&mut fixture, 100);
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 2,
        answer: Answer::NotLeading,
        point: None,
        floor: None,
        connected_at: None,
        took: None,
    }));
    let granted = members_granted(&mut fixture, Requirement::Leader);
    assert!(!granted.contains(&1), "granted at {granted:?}");
}

/// Two reads of the row are under way, one of a failover and one for a lease, and the first one is answered last.
#[test]
fn write_is_not_granted_at_replaced_leader_by_claim_row_older_than_last_one() {
    let mut fixture = led_by_successor();
    advance_by(&mut fixture, 600);
    let asked_at = fixture.now;
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at,
        stored: Some(row_of_successor(20)),
    });
    let mut older = row_of_successor(10);
    older.now_ms = 2_000;
    older.claim.until_ms = 1_000;
    older.claim.target = Some("member-1".into());
    older.claim.last_ordered = LastOrdered::Member {
        name: "member-1".into(),
        replaced_term: 0,
    };
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: asked_at - Duration::from_millis(1_500),
        stored: Some(older),
    });
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// Lets member 3, the successor of member 1, leave. Holds the members after a read of this row, while member 1 leads on in term 1,
/// the newest term that this proxy has seen.
fn find_replaced_leader(row: ClaimRow) -> Fixture {
    let mut fixture = led_by_first(Fixture::unfenced());
    let mut successor = member_at(3, "c", true);
    successor.leaving = true;
    successor.revision = version(50);
    fixture.handle(Event::Listed(successor));
    assert_eq!(fixture.leader(), Some(3));
    fixture.advance(300);
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(row),
    });
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome: StoreOutcome::Written(version(60)),
    });
    fixture.advance(100);
    fixture.take_effects();
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member: 1,
        asked_at: fixture.now,
        status: Some(status(true, 1, (1, 20), 0)),
    });
    fixture
}

/// A row whose order for member 3 got no answer and ends at this time on the store's clock.
fn row_of_unanswered_order(order_ends_ms: u64) -> ClaimRow {
    let mut row = row_of_successor(20);
    row.claim.target = Some("member-3".into());
    row.claim.settled = false;
    row.claim.order_ends_ms = order_ends_ms;
    row.claim.last_ordered = LastOrdered::Member {
        name: "member-3".into(),
        replaced_term: 1,
    };
    row
}

/// The order for member 3 has been executed without an answer, and cannot be executed any more.
#[test]
fn claim_does_not_name_replaced_leader_found_after_unanswered_order() {
    let mut fixture = find_replaced_leader(row_of_unanswered_order(9_000));
    let rows = fixture.take_effects().into_iter().filter_map(|effect| {
        let Effect::StoreClaim { claim, .. } = effect else {
            return None;
        };
        Some(ClaimRow {
            claim,
            revision: version(61),
            now_ms: 20_000,
        })
    });
    let standings: Vec<Standing> = rows.map(|row| row.standing("member-1", 1)).collect();
    assert!(
        !standings.contains(&Standing::Undisputed),
        "other proxies give the replaced leader a lease"
    );
}

/// Otherwise each attempt to replace member 3, which leaves, would end at member 1.
#[test]
fn replaced_leader_that_is_found_by_attempt_is_demoted() {
    let mut fixture = find_replaced_leader(row_of_unanswered_order(9_000));
    let demoted = fixture.take_effects().into_iter().any(|effect| {
        let command = MemberCommand::Demote(2);
        matches!(effect, Effect::SendCommand { member: 1, command: sent, .. } if sent == command)
    });
    assert!(demoted);
}

#[rstest]
#[case::that_may_be_executed_again(20_000)]
#[case::that_has_ended(9_000)]
fn write_is_not_granted_at_replaced_leader_found_after_unanswered_order(
    #[case] order_ends_ms: u64,
) {
    let mut fixture = find_replaced_leader(row_of_unanswered_order(order_ends_ms));
    let granted = members_granted(&mut fixture, Requirement::Leader);
    assert!(!granted.contains(&1), "granted at {granted:?}");
}

/// Adds a bounded read, and returns the floors with which it is granted at once.
fn floors_granted(fixture: &mut Fixture, acknowledged_before: Instant) -> Vec<Option<Point>> {
    fixture.effects.clear();
    fixture.add_request(Requirement::Recent {
        acknowledged_before,
        session_commit: None,
    });
    let granted = take_grants(fixture);
    granted.into_iter().map(|(_, floor)| floor).collect()
}

/// A promoted leader's log ends with an entry of the older term until its first write.
#[test]
fn sample_of_promoted_leader_counts_before_its_first_write() {
    let mut fixture = led_by_successor();
    advance_by(&mut fixture, 10);
    let sent_at = fixture.now;
    report_led(&mut fixture, 2, sent_at, Some((1, 10)));
    let floors = floors_granted(&mut fixture, sent_at);
    assert_eq!(floors, [Some(Point::new(1, 10))]);
}

#[test]
fn sample_of_promoted_leader_counts_before_any_status_where_promotions_are_fenced() {
    let mut fixture = led_by_first(Fixture::new());
    list_successor(&mut fixture);
    advance_by(&mut fixture, 10);
    let sent_at = fixture.now;
    report_led(&mut fixture, 2, sent_at, Some((1, 10)));
    assert_eq!(fixture.leader(), Some(2));
    let floors = floors_granted(&mut fixture, sent_at);
    assert_eq!(floors, [Some(Point::new(1, 10))]);
}

/// The promotion has discarded entries of the old leader that no member had received.
#[test]
fn sample_of_leader_promoted_behind_last_sample_counts_where_promotions_are_fenced() {
    let mut fixture = led_by_first(Fixture::new());
    let sent_at = fixture.now;
    report_led(&mut fixture, 2, sent_at, Some((2, 200)));
    advance_by(&mut fixture, 200);
    let sent_at = fixture.now;
    report_led(&mut fixture, 1, sent_at, Some((2, 140)));
    let floors = floors_granted(&mut fixture, sent_at);
    assert_eq!(floors, [Some(Point::new(2, 140))]);
}

/// Where promotions are fenced, only one member can lead at the time of the answer.
#[test]
fn answer_to_statement_sent_after_entry_of_other_member_wins_where_promotions_are_fenced() {
    let mut fixture = led_by_first(Fixture::new());
    list_successor(&mut fixture);
    advance_by(&mut fixture, 10);
    let sent_at = fixture.now;
    report_led(&mut fixture, 1, sent_at, Some((1, 11)));
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [1]);
}

/// A member whose status shows that it leads a newer term than the known one.
#[rstest]
#[case::fenced(Fixture::new())]
#[case::unfenced(Fixture::unfenced())]
fn status_of_newer_term_wins_without_entry(#[case] fixture: Fixture) {
    let mut fixture = led_by_first(fixture);
    let asked_at = fixture.now;
    report_status(&mut fixture, 3, asked_at, (true, 2, (1, 10), 0));
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [3]);
}

#[rstest]
#[case::fenced(Fixture::new())]
#[case::unfenced(Fixture::unfenced())]
fn answer_with_entry_of_newer_term_wins_without_entry_or_status(#[case] fixture: Fixture) {
    let mut fixture = led_by_first(fixture);
    let sent_at = fixture.now;
    report_led(&mut fixture, 3, sent_at, Some((2, 12)));
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [3]);
}

/// The answer of any member to a read, or to the end of a transaction that has changed nothing.
#[rstest]
#[case::fenced(Fixture::new())]
#[case::unfenced(Fixture::unfenced())]
fn answer_that_any_member_gives_is_no_sample_and_moves_no_belief(#[case] fixture: Fixture) {
    let mut fixture = led_by_first(fixture);
    list_successor(&mut fixture);
    advance_by(&mut fixture, 10);
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer: Answer::Served,
        point: Some(Point::new(2, 12)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    let now = fixture.now;
    assert_eq!(floors_granted(&mut fixture, now), []);
    assert_eq!(fixture.leader(), Some(2));
}
