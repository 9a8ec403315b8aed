//! Cases found by a review of the evidence about leaders.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::{Claim, ClaimRow, LastOrdered, Standing};
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport, StoreOutcome};
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

/// Whether a member leads, its term, the term and the position up to which it has received, and the term of its hold.
type StatusFields = (bool, u64, (u64, u64), u64);

/// Reports the end of a statement that was sent at `sent_at`, with the last point of the member's log.
fn report(
    fixture: &mut Fixture,
    member: id::MemberId,
    sent_at: Instant,
    answer: Answer,
    point: Option<(u64, u64)>,
) {
    fixture.handle(Event::StatementEnded(StatementReport {
        member,
        answer,
        point: point.map(|(term, position)| Point::new(term, position)),
        floor: None,
        connected_at: None,
        took: Some(fixture.now - sent_at),
    }));
}

/// Reports an answer that only a leader gives, to a statement that was sent at `sent_at`.
fn report_led(fixture: &mut Fixture, member: id::MemberId, sent_at: Instant, point: (u64, u64)) {
    let commit = false;
    let led = Answer::Led { sent_at, commit };
    report(fixture, member, sent_at, led, Some(point));
}

/// Reports the answer to a question for a lease. The fields are those of [`status`].
fn report_status(
    fixture: &mut Fixture,
    member: id::MemberId,
    asked_at: Instant,
    fields: StatusFields,
) {
    let (leads, term, received, held_term) = fields;
    fixture.handle(Event::LeaseAnswered {
        group: GROUP,
        member,
        asked_at,
        status: Some(status(leads, term, received, held_term)),
    });
}

/// Reports the answer to a command of an attempt.
fn answer_command(fixture: &mut Fixture, member: id::MemberId, fields: StatusFields) {
    let (leads, term, received, held_term) = fields;
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member,
        asked_at: fixture.now,
        status: Some(status(leads, term, received, held_term)),
    });
}

fn advance_by(fixture: &mut Fixture, ms: u64) {
    fixture.now += Duration::from_millis(ms);
}

/// Lets the directory list a member as leader, or as leaving leader.
fn list_leader(fixture: &mut Fixture, member: id::MemberId, domain: &str, leaving: bool) {
    let mut entry = member_at(member, domain, true);
    entry.leaving = leaving;
    entry.revision = version(50);
    fixture.handle(Event::Listed(entry));
}

/// Returns a broker to which member 1 has shown that it leads term 1.
fn led_by_first(mut fixture: Fixture) -> Fixture {
    let now = fixture.now;
    report_led(&mut fixture, 1, now, (1, 10));
    advance_by(&mut fixture, 10);
    fixture
}

/// Adds a request, opens all connections, and returns the members to which requests are granted at once. A write that waits only for
/// a lease counts as granted at the member for whose lease it waits.
fn members_granted(fixture: &mut Fixture, requirement: Requirement) -> Vec<id::MemberId> {
    fixture.effects.clear();
    fixture.add_request(requirement);
    let mut granted = Vec::new();
    for _ in 0..4 {
        fixture.open_all();
        for grant in fixture.take_grants() {
            granted.push(grant.member);
            fixture.end_statement(&grant, Answer::Unfinished, None);
        }
    }
    if granted.is_empty() && requirement == Requirement::Leader {
        granted.extend(fixture.leader());
    }
    granted
}

/// A row whose order for a member has been confirmed, and whose claim has ended.
fn row_of(member: &str, replaced_term: id::Term) -> ClaimRow {
    let claim = Claim {
        token: 6,
        target: Some(member.into()),
        settled: true,
        until_ms: 8_000,
        last_ordered: LastOrdered::Member {
            name: member.into(),
            replaced_term,
        },
        ..Claim::default()
    };
    ClaimRow {
        claim,
        revision: version(20),
        now_ms: 9_000,
    }
}

/// A row whose order for a member got no answer, and cannot be executed any more.
fn row_of_unanswered_order(member: &str, replaced_term: id::Term) -> ClaimRow {
    let mut row = row_of(member, replaced_term);
    row.claim.settled = false;
    row.claim.order_ends_ms = 9_000;
    row
}

/// Plays the store for an attempt to replace the leader until the hold commands have been sent.
fn start_attempt(fixture: &mut Fixture, row: ClaimRow) {
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
}

/// Takes all effects, and returns what the rows that are written tell about a member that has led a term.
fn standings_written(fixture: &mut Fixture, member: &str, led_term: id::Term) -> Vec<Standing> {
    let rows = fixture.take_effects().into_iter().filter_map(|effect| {
        let Effect::StoreClaim { claim, .. } = effect else {
            return None;
        };
        let revision = version(61);
        let now_ms = 30_000;
        let row = ClaimRow {
            claim,
            revision,
            now_ms,
        };
        Some(row.standing(member, led_term))
    });
    rows.collect()
}

/// The proxy has started anew: it knows member 3, which was promoted to term 2, by its entry only. Member 1 leads on in term 1.
#[test]
fn claim_does_not_name_replaced_leader_found_by_proxy_that_has_seen_no_term() {
    let mut fixture = Fixture::unfenced();
    list_leader(&mut fixture, 3, "c", true);
    start_attempt(&mut fixture, row_of_unanswered_order("member-3", 1));
    answer_command(&mut fixture, 1, (true, 1, (1, 293), 0));
    let standings = standings_written(&mut fixture, "member-1", 1);
    assert!(!standings.contains(&Standing::Undisputed), "{standings:?}");
}

/// Member 2 was promoted to term 2, member 3 to term 3. This proxy has seen term 1 only, and member 2 leads on.
#[test]
fn claim_does_not_name_replaced_leader_found_after_two_promotions() {
    let mut fixture = led_by_first(Fixture::unfenced());
    list_leader(&mut fixture, 3, "c", true);
    start_attempt(&mut fixture, row_of_unanswered_order("member-3", 2));
    answer_command(&mut fixture, 2, (true, 2, (2, 40), 0));
    let standings = standings_written(&mut fixture, "member-2", 2);
    assert!(!standings.contains(&Standing::Undisputed), "{standings:?}");
}

/// What the proxy did in the test before, seen by another proxy: it has a lease of the replaced leader's term.
#[rstest]
#[case::that_has_seen_no_term(false)]
#[case::after_two_promotions(true)]
fn read_of_newest_data_is_not_granted_by_row_of_proxy_that_found_replaced_leader(
    #[case] two_promotions: bool,
) {
    let (old, term) = match two_promotions {
        false => (1, 1),
        true => (2, 2),
    };
    let mut claimant = match two_promotions {
        false => Fixture::unfenced(),
        true => led_by_first(Fixture::unfenced()),
    };
    list_leader(&mut claimant, 3, "c", true);
    start_attempt(&mut claimant, row_of_unanswered_order("member-3", term));
    answer_command(&mut claimant, old, (true, term, (term, 293), 0));
    let written = claimant.take_effects().into_iter().find_map(|effect| {
        let Effect::StoreClaim { claim, .. } = effect else {
            return None;
        };
        Some(ClaimRow {
            claim,
            revision: version(61),
            now_ms: 30_000,
        })
    });
    // A proxy that has not heard of member 3's promotion.
    let mut reader = led_by_first(Fixture::unfenced());
    let now = reader.now;
    report_led(&mut reader, old, now, (term, 293));
    assert_eq!(reader.leader(), Some(old));
    let acknowledged_before = reader.now;
    reader.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: acknowledged_before,
        stored: written,
    });
    let granted = members_granted(
        &mut reader,
        Requirement::VerifiedLeader {
            acknowledged_before,
        },
    );
    assert_eq!(granted, []);
}

/// The row was read before the order for member 2 was recorded, and the store's answer took longer than the promotion.
#[rstest]
#[case::that_has_not_shown_its_term(false)]
#[case::that_has_shown_its_term(true)]
fn successor_is_not_denied_by_claim_row_that_was_asked_for_before_its_entry(#[case] shown: bool) {
    let mut fixture = led_by_first(Fixture::unfenced());
    let asked_at = fixture.now;
    advance_by(&mut fixture, 900);
    list_leader(&mut fixture, 2, "b", false);
    advance_by(&mut fixture, 10);
    if shown {
        let asked_at = fixture.now;
        report_status(&mut fixture, 2, asked_at, (true, 2, (1, 10), 0));
    }
    assert_eq!(fixture.leader(), Some(2));
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at,
        stored: Some(row_of("member-1", 0)),
    });
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// Member 2 answered while it was held for its promotion; the proxy stood still and takes the directory's update first.
#[test]
fn successor_is_not_denied_by_status_that_was_asked_for_before_its_entry() {
    let mut fixture = led_by_first(Fixture::unfenced());
    let asked_at = fixture.now;
    advance_by(&mut fixture, 700);
    list_leader(&mut fixture, 2, "b", false);
    advance_by(&mut fixture, 1);
    report_status(&mut fixture, 2, asked_at, (false, 1, (1, 10), 2));
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// Member 2 refused a statement as a replica, and was promoted and asked since.
#[test]
fn leader_is_not_denied_by_refusal_of_statement_sent_before_its_confirmation() {
    let mut fixture = led_by_first(Fixture::unfenced());
    let sent_at = fixture.now;
    advance_by(&mut fixture, 700);
    let asked_at = fixture.now;
    advance_by(&mut fixture, 10);
    report_status(&mut fixture, 2, asked_at, (true, 2, (1, 10), 0));
    report(&mut fixture, 2, sent_at, Answer::NotLeading, None);
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// The first question waited for a connection or a slot, and was answered after the member's promotion.
#[rstest]
#[case::unfenced(Fixture::unfenced())]
#[case::fenced(Fixture::new())]
fn status_of_newer_term_counts_though_later_question_was_answered_before(#[case] fixture: Fixture) {
    let mut fixture = led_by_first(fixture);
    let first = fixture.now;
    advance_by(&mut fixture, 100);
    let second = fixture.now;
    advance_by(&mut fixture, 10);
    report_status(&mut fixture, 2, second, (false, 1, (1, 10), 2));
    advance_by(&mut fixture, 300);
    report_status(&mut fixture, 2, first, (true, 2, (1, 10), 0));
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// Member 1 stepped down after it had answered the second question, before it answered the first one.
#[test]
fn status_of_newer_term_denies_leader_though_later_question_was_answered_before() {
    let mut fixture = led_by_first(Fixture::unfenced());
    let first = fixture.now;
    advance_by(&mut fixture, 100);
    let second = fixture.now;
    advance_by(&mut fixture, 10);
    report_status(&mut fixture, 1, second, (true, 1, (1, 10), 0));
    advance_by(&mut fixture, 300);
    report_status(&mut fixture, 1, first, (false, 2, (1, 10), 0));
    let granted = members_granted(&mut fixture, Requirement::Leader);
    assert!(!granted.contains(&1), "granted at {granted:?}");
}

/// Plays a second of writes at members with these statuses, answers the questions of the proxy to them, and returns the members to
/// which writes are granted after it.
fn members_granted_after_second_of_writes(
    fixture: &mut Fixture,
    statuses: &[(id::MemberId, StatusFields)],
) -> Vec<id::MemberId> {
    fixture.effects.clear();
    for _ in 0..10 {
        fixture.add_request(Requirement::Leader);
        for _ in 0..3 {
            fixture.open_all();
            for effect in fixture.take_effects() {
                answer_truly(fixture, effect, statuses);
            }
        }
        answer_write_at_leader(fixture, statuses);
        fixture.advance(100);
    }
    members_granted(fixture, Requirement::Leader)
}

/// Lets the believed leader answer a write that was sent to it before its lease ended.
fn answer_write_at_leader(fixture: &mut Fixture, statuses: &[(id::MemberId, StatusFields)]) {
    let sent_at = fixture.now;
    let leader = fixture.leader();
    let known = statuses.iter().find(|(other, _)| Some(*other) == leader);
    match known {
        Some((member, (true, _, end, _))) => report_led(fixture, *member, sent_at, *end),
        Some((member, _)) => report(fixture, *member, sent_at, Answer::NotLeading, None),
        None => {}
    }
}

fn answer_truly(fixture: &mut Fixture, effect: Effect, statuses: &[(id::MemberId, StatusFields)]) {
    let status_of = |member| {
        let known = statuses.iter().find(|(other, _)| *other == member);
        known.map(|(_, status)| *status)
    };
    let sent_at = fixture.now;
    let answer_of = |member| match status_of(member) {
        Some((true, _, end, _)) => {
            let commit = false;
            (Answer::Led { sent_at, commit }, Some(end))
        }
        _ => (Answer::NotLeading, None),
    };
    let reusable = true;
    match effect {
        Effect::Grant(grant) => {
            let (answer, point) = answer_of(grant.member);
            report(fixture, grant.member, sent_at, answer, point);
            let conn = grant.conn;
            fixture.handle(Event::Returned { conn, reusable });
        }
        Effect::Probe { conn, member } => {
            let (answer, point) = answer_of(member);
            fixture.handle(Event::ProbeEnded(StatementReport {
                member,
                answer,
                point: point.map(|(term, position)| Point::new(term, position)),
                floor: None,
                connected_at: None,
                took: None,
            }));
            fixture.handle(Event::Returned { conn, reusable });
        }
        Effect::AskStatus { conn, member, .. } => {
            if let Some(fields) = status_of(member) {
                report_status(fixture, member, sent_at, fields);
            }
            fixture.handle(Event::Returned { conn, reusable });
        }
        _ => {}
    }
}

/// Member 2 was promoted to term 2 and member 3 to term 3. The entry of member 2 comes late, that of member 3 not yet.
#[test]
fn leader_that_shows_known_term_is_believed_over_member_that_has_shown_older_one() {
    let mut fixture = led_by_first(Fixture::unfenced());
    let asked_at = fixture.now;
    report_status(&mut fixture, 1, asked_at, (false, 3, (1, 10), 0));
    assert_eq!(fixture.leader(), None);
    advance_by(&mut fixture, 10);
    list_leader(&mut fixture, 2, "b", false);
    advance_by(&mut fixture, 10);
    let sent_at = fixture.now;
    report_led(&mut fixture, 2, sent_at, (2, 15));
    advance_by(&mut fixture, 10);
    let asked_at = fixture.now;
    report_status(&mut fixture, 3, asked_at, (true, 3, (2, 15), 0));
    let statuses = [
        (1, (false, 3, (1, 10), 0)),
        (2, (true, 2, (2, 15), 0)),
        (3, (true, 3, (2, 15), 0)),
    ];
    let granted = members_granted_after_second_of_writes(&mut fixture, &statuses);
    assert_eq!(granted, [3]);
}

/// The row tells that member 2 was promoted to term 2, and that another proxy has claimed since. The entry of member 2 lags.
#[test]
fn successor_that_shows_known_term_is_believed_over_leader_of_older_one() {
    let mut fixture = led_by_first(Fixture::unfenced());
    let mut row = row_of("member-2", 1);
    row.claim.target = None;
    row.claim.until_ms = 12_000;
    let asked_at = fixture.now;
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at,
        stored: Some(row),
    });
    advance_by(&mut fixture, 10);
    let asked_at = fixture.now;
    report_status(&mut fixture, 2, asked_at, (true, 2, (1, 10), 0));
    let statuses = [
        (1, (true, 1, (1, 12), 0)),
        (2, (true, 2, (1, 10), 0)),
        (3, (false, 2, (1, 10), 0)),
    ];
    let granted = members_granted_after_second_of_writes(&mut fixture, &statuses);
    assert_eq!(granted, [2]);
}

/// The entry is one that a proxy passes on which is behind.
#[test]
fn member_is_not_listed_again_by_entry_older_than_its_removal() {
    let mut fixture = Fixture::unfenced();
    fixture.handle(Event::Unlisted {
        name: "member-1".into(),
        revision: version(55),
    });
    let mut entry = member_at(1, "a", true);
    entry.revision = version(50);
    fixture.handle(Event::Listed(entry));
    let listed = fixture.broker.listed_members();
    assert!(listed.iter().all(|member| member.id != 1));
}

/// Lets all attempts to connect to a member fail without an answer.
fn fail_connections(fixture: &mut Fixture, member: id::MemberId) {
    let opening = fixture
        .take_effects()
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Open { conn, member: to } if to == member => Some(conn),
            _ => None,
        });
    for conn in opening.collect::<Vec<_>>() {
        let failure = OpenFailure::Silent;
        fixture.handle(Event::OpenFailed { conn, failure });
    }
}

/// Drops member 1, whose term 1 member 2 has ended, and lists it again as leader, which it calls itself until it hears of member 2.
fn list_replaced_leader_again() -> Fixture {
    let mut fixture = led_by_first(Fixture::unfenced());
    list_leader(&mut fixture, 2, "b", false);
    advance_by(&mut fixture, 10);
    let asked_at = fixture.now;
    report_status(&mut fixture, 2, asked_at, (true, 2, (1, 10), 0));
    fixture.handle(Event::Unlisted {
        name: "member-1".into(),
        revision: version(55),
    });
    for _ in 0..60 {
        fail_connections(&mut fixture, 1);
        let sent_at = fixture.now;
        fixture.advance(100);
        report_led(&mut fixture, 2, sent_at, (2, 20));
    }
    assert_eq!(fixture.leader(), Some(2));
    assert!(fixture.broker.member(1).is_none(), "it counts as gone");
    let mut entry = member_at(1, "a", true);
    entry.revision = version(70);
    fixture.handle(Event::Listed(entry));
    advance_by(&mut fixture, 10);
    fixture
}

/// Member 1 is cut off right after its entry has come back.
#[test]
fn leader_is_not_demoted_by_attempt_to_replace_one_that_was_listed_anew() {
    let mut fixture = list_replaced_leader_again();
    for _ in 0..20 {
        fail_connections(&mut fixture, 1);
        fixture.add_request(Requirement::Leader);
        let sent_at = fixture.now;
        fixture.advance(100);
        report_led(&mut fixture, 2, sent_at, (2, 22));
    }
    start_attempt(&mut fixture, row_of("member-2", 1));
    answer_command(&mut fixture, 2, (true, 2, (2, 22), 0));
    let demoted = fixture.take_effects().into_iter().any(|effect| {
        matches!(
            effect,
            Effect::SendCommand {
                member: 2,
                command: MemberCommand::Demote(_),
                ..
            }
        )
    });
    assert!(!demoted);
}

/// With fences, member 1 led when it answered the first statement, and member 2 when it answered the second one.
#[test]
fn leader_is_not_replaced_by_answer_to_statement_sent_before_its_own() {
    let mut fixture = led_by_first(Fixture::new());
    list_leader(&mut fixture, 2, "b", false);
    advance_by(&mut fixture, 10);
    let first = fixture.now;
    advance_by(&mut fixture, 100);
    let second = fixture.now;
    advance_by(&mut fixture, 10);
    report_led(&mut fixture, 2, second, (1, 12));
    report_led(&mut fixture, 1, first, (1, 11));
    assert_eq!(members_granted(&mut fixture, Requirement::Leader), [2]);
}

/// Returns a broker whose attempt to replace member 1, which leaves and does not answer, has sent its hold commands.
fn holding() -> Fixture {
    let mut fixture = led_by_first(Fixture::unfenced());
    list_leader(&mut fixture, 1, "a", true);
    start_attempt(&mut fixture, ClaimRow::default());
    fixture.advance(1_000);
    let holds = |effect: &Effect| match effect {
        Effect::SendCommand { command, .. } => matches!(command, MemberCommand::Hold(_)),
        _ => false,
    };
    assert_eq!(
        fixture
            .effects
            .iter()
            .filter(|effect| holds(effect))
            .count(),
        2
    );
    fixture
}

fn records_target(fixture: &mut Fixture) -> bool {
    let effects = fixture.take_effects();
    let mut claims = effects.iter().filter_map(|effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim),
        _ => None,
    });
    claims.any(|claim| claim.target.is_some())
}

/// The write of an earlier attempt had returned revision 59; this attempt's claim has revision 60.
#[test]
fn order_is_not_given_by_outcome_of_write_of_earlier_attempt() {
    let mut fixture = holding();
    answer_command(&mut fixture, 2, (false, 1, (1, 10), 2));
    answer_command(&mut fixture, 3, (false, 1, (1, 10), 2));
    fixture.advance(600);
    let (group, is_read) = (GROUP, true);
    fixture.handle(Event::DirectoryLoaded { group, is_read });
    answer_command(&mut fixture, 2, (false, 1, (1, 10), 2));
    answer_command(&mut fixture, 3, (false, 1, (1, 10), 2));
    assert!(records_target(&mut fixture));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome: StoreOutcome::Written(version(59)),
    });
    let ordered = |effect: &Effect| matches!(effect, Effect::OrderPromotion { .. });
    assert!(!fixture.effects.iter().any(ordered));
}

/// An earlier attempt asked, and has released the member since.
#[test]
fn hold_of_earlier_attempt_does_not_count() {
    let mut fixture = holding();
    let asked_at = fixture.now - Duration::from_millis(1_700);
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member: 2,
        asked_at,
        status: Some(status(false, 1, (1, 10), 2)),
    });
    answer_command(&mut fixture, 3, (false, 1, (1, 10), 2));
    fixture.advance(600);
    assert!(!records_target(&mut fixture));
}

fn row_of_pending_order(order_ends_ms: u64) -> ClaimRow {
    let mut row = row_of_unanswered_order("member-9", 1);
    row.claim.order_ends_ms = order_ends_ms;
    row
}

/// Member 9 has been promoted to term 2, and another proxy has claimed to replace it.
fn row_of_attempt_after_promotion() -> ClaimRow {
    let mut row = row_of("member-9", 1);
    row.claim.target = None;
    row.claim.until_ms = 99_000;
    row
}

#[test]
fn standing_of_replaced_leader_is_replaced_during_later_attempt() {
    let row = row_of_attempt_after_promotion();
    assert_eq!(row.standing("member-1", 1), Standing::Replaced);
}

/// Member 9 is not known to this proxy: it joined unseen, or was dropped. Its promotion has released the replicas, which are cut from it.
#[rstest]
#[case::that_may_have_been_executed(row_of_pending_order(20_000))]
#[case::that_can_no_longer_be_executed(row_of_pending_order(9_000))]
#[case::that_was_executed_before_claim_in_force(row_of_attempt_after_promotion())]
fn lease_is_not_started_by_consent_while_claim_row_names_order_for_unknown_member(
    #[case] row: ClaimRow,
) {
    let mut fixture = led_by_first(Fixture::unfenced());
    for _ in 0..20 {
        let acknowledged_before = fixture.now;
        fixture.add_request(Requirement::VerifiedLeader {
            acknowledged_before,
        });
        for _ in 0..3 {
            fixture.open_all();
            for effect in fixture.take_effects() {
                answer_with_consent(&mut fixture, effect, &row);
            }
        }
        let granted = fixture.take_grants();
        assert!(granted.is_empty(), "granted at {}", granted[0].member);
        fixture.advance(70);
    }
}

/// Answers a read of the claim row with this row, and a question to a member with its consent; member 1 does not answer questions.
fn answer_with_consent(fixture: &mut Fixture, effect: Effect, row: &ClaimRow) {
    let asked_at = fixture.now;
    match effect {
        Effect::LoadClaim(group) => fixture.handle(Event::ClaimLoaded {
            group,
            asked_at,
            stored: Some(row.clone()),
        }),
        Effect::AskStatus {
            group,
            conn,
            member,
            ..
        } => {
            let consent = status(false, 1, (1, 10), 0);
            fixture.handle(Event::LeaseAnswered {
                group,
                member,
                asked_at,
                status: (member != 1).then_some(consent),
            });
            let reusable = true;
            fixture.handle(Event::Returned { conn, reusable });
        }
        other => fixture.effects.push(other),
    }
}
