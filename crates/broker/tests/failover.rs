//! Tests of the replacement of leaders.

mod support;

use fulmarlift_broker::claim::{Claim, ClaimRow, LastOrdered, Standing};
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{
    Answer, Event, GroupKnowledge, MissingMember, OpenFailure, OrderOutcome, StatementReport,
    StoreOutcome,
};
use fulmarlift_broker::leader::KnownPoints;
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::topology::Member;
use fulmarlift_broker::trust::TRUST_DURATION;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use std::time::Duration;
use support::{Fixture, GROUP, member_at, status, version};

/// Plays the store: answers the read of the claim row with this row, and confirms the write. Then the attempt sends its first
/// commands.
fn write_claim(fixture: &mut Fixture, stored: ClaimRow) {
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(stored),
    });
    let outcome = StoreOutcome::Written(version(11));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    fixture.advance(100);
}

/// Leaves statements at the leader unanswered until an attempt to replace it reads the claim row.
fn lose_leader(fixture: &mut Fixture) {
    fixture.silence(1);
    fixture.advance(200);
}

/// Loses the leader, and plays the store until the attempt has sent the hold commands.
fn start_attempt(fixture: &mut Fixture) {
    lose_leader(fixture);
    write_claim(fixture, ClaimRow::default());
}

/// Returns the answer of another proxy that knows how a group stands.
fn told(fixture: &Fixture, knowledge: GroupKnowledge) -> Event {
    Event::ProxyTold {
        group: GROUP,
        proxy: 77,
        asked_at: fixture.now,
        knowledge,
    }
}

/// Returns the answer of another proxy that has not failed to reach a member.
fn told_member(fixture: &Fixture, member: Member) -> Event {
    let running = vec![member];
    let knowledge = GroupKnowledge {
        running,
        ..GroupKnowledge::default()
    };
    told(fixture, knowledge)
}

/// Returns the number of members that this proxy names to others.
fn count_running(fixture: &Fixture) -> usize {
    fixture.broker.knowledge(fixture.now, GROUP).running.len()
}

/// Lets all trust in the old leader end.
fn await_end_of_trust(fixture: &mut Fixture) {
    fixture.advance(TRUST_DURATION.as_millis() as u64);
}

/// Plays the directory: answers the read after which the members are held once more.
fn read_directory(fixture: &mut Fixture) {
    let reads = |effect: &Effect| matches!(effect, Effect::ReadDirectory(GROUP));
    assert!(fixture.effects.iter().any(reads), "the directory is read");
    let (group, is_read) = (GROUP, true);
    fixture.handle(Event::DirectoryLoaded { group, is_read });
}

/// Takes all effects, and returns the member and the term of each hold command, sorted by member.
fn take_holds(fixture: &mut Fixture) -> Vec<(id::MemberId, id::Term)> {
    let hold = |effect| match effect {
        Effect::SendCommand {
            member,
            command: MemberCommand::Hold(term),
            ..
        } => Some((member, term)),
        _ => None,
    };
    let mut holds: Vec<_> = fixture
        .take_effects()
        .into_iter()
        .filter_map(hold)
        .collect();
    holds.sort_unstable();
    holds
}

/// Fields of [`status`]: whether the member leads, its term, the term and the position up to which it has received, and the term
/// of its hold.
type MemberFields = (bool, u64, (u64, u64), u64);

/// Answers a command to a member.
fn answer_status(fixture: &mut Fixture, member: id::MemberId, fields: MemberFields) {
    let (leads, term, received, held_term) = fields;
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member,
        asked_at: fixture.now,
        status: Some(status(leads, term, received, held_term)),
    });
}

/// Answers both hold commands to each of these members with the same status, see [`answer_status`].
fn hold_members(fixture: &mut Fixture, statuses: &[(id::MemberId, MemberFields)]) {
    for (member, fields) in statuses {
        answer_status(fixture, *member, *fields);
    }
    await_end_of_trust(fixture);
    read_directory(fixture);
    for (member, fields) in statuses {
        answer_status(fixture, *member, *fields);
    }
}

/// Takes all effects, and returns the target in the claim row that is written; `None` if none is written.
fn take_recorded_target(fixture: &mut Fixture) -> Option<Box<str>> {
    let target = |effect| match effect {
        Effect::StoreClaim { claim, .. } => claim.target,
        _ => None,
    };
    fixture.take_effects().into_iter().find_map(target)
}

#[test]
fn members_are_held_again_after_promotion_during_hold() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let asked = take_holds(&mut fixture);
    let term = asked[0].1;
    assert_eq!(asked, [(2, term), (3, term)]);
    answer_status(&mut fixture, 2, (false, term - 1, (term - 1, 500), term));
    // An order that was executed late has begun a term, which releases the members that were held before.
    answer_status(&mut fixture, 3, (false, term, (term, 529), 0));
    let stores_claim = |effect: &Effect| matches!(effect, Effect::StoreClaim { .. });
    assert!(
        !fixture.effects.iter().any(stores_claim),
        "member 2 is no longer held"
    );
    let again = take_holds(&mut fixture);
    assert_eq!(again, [(2, term + 1), (3, term + 1)]);
    hold_members(
        &mut fixture,
        &[
            (2, (false, term, (term, 531), term + 1)),
            (3, (false, term, (term, 530), term + 1)),
        ],
    );
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
}

#[test]
fn choose_takes_furthest_of_all_members() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    answer_status(&mut fixture, 2, (false, term - 1, (term - 1, 500), term));
    answer_status(&mut fixture, 3, (false, term - 1, (term - 1, 502), term));
    await_end_of_trust(&mut fixture);
    read_directory(&mut fixture);
    answer_status(&mut fixture, 2, (false, term - 1, (term - 1, 500), term));
    assert_eq!(
        take_recorded_target(&mut fixture),
        None,
        "member 3 may have received more"
    );
    answer_status(&mut fixture, 3, (false, term - 1, (term - 1, 502), term));
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-3")
    );
}

/// A held member that is released, or forgets its hold, confirms commits of the old leader, and proxies pass on the successes until their
/// trust ends.
#[test]
fn logs_count_only_once_all_trust_has_ended() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let held = |position| (false, term - 1, (term - 1, position), term);
    answer_status(&mut fixture, 2, held(500));
    fixture.advance(300);
    answer_status(&mut fixture, 3, held(500));
    let trusted_until = fixture.now + TRUST_DURATION;
    fixture.advance(TRUST_DURATION.as_millis() as u64 - 1);
    assert_eq!(fixture.now, trusted_until - Duration::from_millis(1));
    let reads = |effect: &Effect| matches!(effect, Effect::ReadDirectory(GROUP));
    assert!(!fixture.effects.iter().any(reads));
    fixture.advance(1);
    read_directory(&mut fixture);
    answer_status(&mut fixture, 2, held(500));
    answer_status(&mut fixture, 3, held(501));
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-3")
    );
}

/// Commits were acknowledged by way of a member that had joined after the holds, and lost with the promotion of a held one.
#[test]
fn choose_takes_member_that_has_joined_after_holds() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let held = |position| (false, term - 1, (term - 1, position), term);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held(500));
    }
    await_end_of_trust(&mut fixture);
    fixture.handle(Event::Listed(member_at(4, "d", false)));
    read_directory(&mut fixture);
    assert_eq!(
        take_holds(&mut fixture),
        [(2, term), (3, term), (4, term)],
        "all members are held before the choice"
    );
    for (member, position) in [(2, 500), (3, 500), (4, 502)] {
        answer_status(&mut fixture, member, held(position));
    }
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-4")
    );
}

/// Returns whether the effects since the last look stop the old leader.
fn stops_leader(fixture: &mut Fixture) -> bool {
    let stops = |effect: &Effect| {
        matches!(
            effect,
            Effect::SendCommand {
                member: 1,
                command: MemberCommand::Demote(_),
                ..
            }
        )
    };
    fixture.take_effects().iter().any(stops)
}

/// Guards against commits that an old leader acknowledges after the choice, by way of a member whose hold is undone (inc13).
#[test]
fn old_leader_is_stopped_as_logs_are_read() {
    let mut fixture = Fixture::unfenced();
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let held = (false, term - 1, (term - 1, 500), term);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held);
    }
    await_end_of_trust(&mut fixture);
    let reads = |effect: &Effect| matches!(effect, Effect::ReadDirectory(GROUP));
    assert!(fixture.effects.iter().any(reads));
    assert!(!stops_leader(&mut fixture), "the attempt may be given up");
    let (group, is_read) = (GROUP, true);
    fixture.handle(Event::DirectoryLoaded { group, is_read });
    assert!(stops_leader(&mut fixture));
    answer_status(&mut fixture, 1, (false, term - 1, (term - 1, 504), 0));
    for member in [2, 3] {
        answer_status(&mut fixture, member, held);
    }
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
}

/// Members that answer slowly, each at its own time, must not keep the choice from being made.
#[test]
fn slow_members_are_held_again_once() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = (false, 0, (0, 500), 1);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held);
    }
    await_end_of_trust(&mut fixture);
    read_directory(&mut fixture);
    fixture.advance(100);
    answer_status(&mut fixture, 2, held);
    fixture.advance(420);
    answer_status(&mut fixture, 3, held);
    fixture.advance(420);
    answer_status(&mut fixture, 2, held);
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
}

/// The answer of a leader that has been stopped tells nothing of the leases.
#[test]
fn stopped_leader_does_not_delay_choice() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = (false, 0, (0, 500), 1);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held);
    }
    fixture.advance(500);
    answer_status(&mut fixture, 1, (false, 0, (0, 504), 0));
    fixture.advance(TRUST_DURATION.as_millis() as u64 - 500);
    read_directory(&mut fixture);
}

/// Guards against a choice that counts a member which has started again since its answer, and forgotten its hold (inc13).
#[test]
fn members_are_held_again_if_others_answer_late() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = |position| (false, 0, (0, position), 1);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held(500));
    }
    await_end_of_trust(&mut fixture);
    read_directory(&mut fixture);
    answer_status(&mut fixture, 2, held(500));
    fixture.advance(500);
    fixture.take_effects();
    answer_status(&mut fixture, 3, held(502));
    assert_eq!(take_holds(&mut fixture), [(2, 1)]);
    answer_status(&mut fixture, 2, held(505));
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
}

/// The same while the choice is written to the claim row.
#[rstest]
#[case::at_once(0, false)]
#[case::late(500, true)]
fn members_are_held_again_if_record_takes_long(#[case] took_ms: u64, #[case] again: bool) {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = (false, 0, (0, 500), 1);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    fixture.take_effects();
    fixture.advance(took_ms);
    store_choice(&mut fixture);
    assert_eq!(ordered_member(&fixture), (!again).then_some(2));
    if again {
        read_directory(&mut fixture);
        assert_eq!(take_holds(&mut fixture), [(2, 1), (3, 1)]);
    }
}

/// Guards against an order beside a member that has started again while the choice was recorded (inc13).
#[test]
fn member_that_starts_again_before_order_is_held_again() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = |position| (false, 0, (0, position), 1);
    hold_members(&mut fixture, &[(2, held(500)), (3, held(500))]);
    let mut restarted = member_at(4, "c", false);
    restarted.name = "member-3".into();
    restarted.revision = version(20);
    fixture.handle(Event::Listed(restarted));
    fixture.take_effects();
    store_choice(&mut fixture);
    assert_eq!(take_holds(&mut fixture), [(2, 1), (4, 1)]);
    answer_status(&mut fixture, 2, held(500));
    answer_status(&mut fixture, 4, held(503));
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-3")
    );
}

/// Plays the store: the choice is written.
fn store_choice(fixture: &mut Fixture) {
    let outcome = StoreOutcome::Written(version(12));
    let group = GROUP;
    fixture.handle(Event::ClaimStored { group, outcome });
}

/// Returns the member that is ordered in the effects.
fn ordered_member(fixture: &Fixture) -> Option<id::MemberId> {
    let ordered = |effect: &Effect| match effect {
        Effect::OrderPromotion { member, .. } => Some(*member),
        _ => None,
    };
    fixture.effects.iter().find_map(ordered)
}

/// A member whose entry has lapsed and that this proxy has dropped, or has never known, still confirms commits if it runs. Another
/// proxy knows it.
#[test]
fn choose_waits_for_log_of_unlisted_member_that_another_proxy_knows() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let held = |position| (false, term - 1, (term - 1, position), term);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held(500));
    }
    await_end_of_trust(&mut fixture);
    let told = told_member(&fixture, member_at(4, "d", false));
    fixture.handle(told);
    read_directory(&mut fixture);
    assert_eq!(take_holds(&mut fixture), [(2, term), (3, term), (4, term)]);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held(500));
    }
    assert_eq!(take_recorded_target(&mut fixture), None);
    answer_status(&mut fixture, 4, held(499));
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
}

/// Another proxy may know a member that has ended: the attempt must not wait for it for long.
#[test]
fn member_that_another_proxy_knows_is_dropped_if_it_does_not_run() {
    let mut fixture = Fixture::new();
    let told = told_member(&fixture, member_at(4, "d", true));
    fixture.handle(told);
    fixture.handle(Event::Tick);
    assert!(fixture.broker.member(4).is_some());
    assert_eq!(fixture.leader(), Some(1), "the entry may be an old one");
    assert_eq!(count_running(&fixture), 3, "it has not answered");
    let missing = |fixture: &Fixture| {
        let missing = fixture.broker.knowledge(fixture.now, GROUP).missing;
        let missing = missing.iter();
        missing
            .map(|missing| (missing.entry.id, missing.is_silent))
            .collect::<Vec<_>>()
    };
    assert_eq!(missing(&fixture), [(4, false)]);
    for _ in 0..2 {
        fixture.advance(100);
        refuse_connections(&mut fixture, 4);
    }
    assert_eq!(missing(&fixture), [(4, true)], "others do not ask it");
    for _ in 0..34 {
        fixture.advance(100);
        refuse_connections(&mut fixture, 4);
    }
    assert!(fixture.broker.member(4).is_none());
}

/// What another proxy knows may be older than what this one knows.
#[test]
fn member_that_another_proxy_knows_changes_nothing_that_is_known() {
    let mut fixture = Fixture::new();
    let mut moved = member_at(2, "d", true);
    moved.revision = version(90);
    let told = told_member(&fixture, moved);
    fixture.handle(told);
    let mut earlier = member_at(4, "d", false);
    earlier.name = "member-3".into();
    let told = told_member(&fixture, earlier.clone());
    fixture.handle(told);
    let mut elsewhere = member_at(5, "d", false);
    elsewhere.group = GROUP + 1;
    let told = told_member(&fixture, elsewhere);
    fixture.handle(told);
    assert_eq!(fixture.broker.member(2), Some(&member_at(2, "b", false)));
    assert!(fixture.broker.member(4).is_none() && fixture.broker.member(5).is_none());
    assert_eq!(count_running(&fixture), 3);
    // Once the name is not listed any more, its newest incarnation counts.
    fixture.handle(Event::Unlisted {
        name: "member-3".into(),
        revision: version(60),
    });
    earlier.revision = version(2);
    let told = told_member(&fixture, earlier.clone());
    fixture.handle(told);
    assert!(fixture.broker.member(4).is_none());
    earlier.revision = version(61);
    let told = told_member(&fixture, earlier);
    fixture.handle(told);
    assert!(fixture.broker.member(4).is_some() && fixture.broker.member(3).is_none());
    assert!(
        fixture
            .broker
            .listed_members()
            .iter()
            .all(|member| member.id != 4)
    );
}

/// A member that started during an outage of the directory may have confirmed commits, and has 2 s to be listed.
#[test]
fn leader_is_replaced_only_once_directory_is_complete_again() {
    let mut fixture = Fixture::new();
    fixture.directory_answers = false;
    fixture.handle(Event::DirectoryRead { answered_at: None });
    let answered_at = Some(fixture.now);
    fixture.handle(Event::DirectoryRead { answered_at });
    let loads_claim = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    lose_leader(&mut fixture);
    assert!(!fixture.effects.iter().any(loads_claim));
    fixture.advance(1_000);
    assert!(fixture.effects.iter().any(loads_claim));
}

#[test]
fn choose_names_member_of_unanswered_order_again() {
    let mut fixture = Fixture::new();
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = version(10);
    fixture.handle(Event::Listed(leaving));
    fixture.advance(300);
    let mut stored = ClaimRow {
        revision: version(4),
        now_ms: 9_000,
        ..ClaimRow::default()
    };
    stored.claim.token = 6;
    stored.claim.target = Some("member-2".into());
    stored.claim.until_ms = 8_000;
    write_claim(&mut fixture, stored);
    let term = take_holds(&mut fixture)[0].1;
    let held = (false, 0, (0, 500), term);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
    let outcome = StoreOutcome::Written(version(12));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    let order = fixture
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::OrderPromotion { member, token, .. } => Some((member, token)),
            _ => None,
        });
    assert_eq!(order, Some((2, 7)));
}

#[test]
fn finish_leaves_claim_unsettled_after_unanswered_order() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = (false, 0, (0, 500), 1);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    let outcome = StoreOutcome::Written(version(12));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    let outcome = OrderOutcome::Unknown;
    fixture.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome,
    });
    fixture.take_effects();
    answer_status(&mut fixture, 2, (true, 1, (1, 501), 0));
    let settled = fixture
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::StoreClaim { claim, .. } => Some(claim.settled),
            _ => None,
        });
    assert_eq!(
        settled,
        Some(false),
        "the unanswered order may still be executed"
    );
}

/// The row of a member that had confirmed its lead after an order without an answer did not change its target with the next claim, and told
/// proxies that nobody replaces that member.
#[test]
fn claim_disputes_leader_whose_order_got_no_answer() {
    let mut fixture = Fixture::new();
    lose_leader(&mut fixture);
    let claim = Claim {
        token: 6,
        target: Some("member-1".into()),
        until_ms: 8_000,
        last_ordered: LastOrdered::Member {
            name: "member-1".into(),
            replaced_term: 0,
        },
        led_term: 1,
        ..Claim::default()
    };
    let stored = ClaimRow {
        claim,
        revision: version(4),
        now_ms: 9_000,
    };
    assert_eq!(stored.standing("member-1", 1), Standing::Undisputed);
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(stored.clone()),
    });
    let written = ClaimRow {
        claim: take_written_claim(&mut fixture),
        revision: version(11),
        now_ms: 9_100,
    };
    assert_eq!(written.standing("member-1", 1), Standing::Disputed);
    let outcome = StoreOutcome::Written(version(11));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    // Nobody answers, and the attempt is given up.
    fixture.advance(4_000);
    let given_up = take_written_claim(&mut fixture);
    assert_eq!(given_up.led_term, 1);
}

/// Answers two commits at the leader, one after the other, with these points (term and position) as the end of its log.
fn commit_twice(fixture: &mut Fixture, ends: [(u64, u64); 2]) {
    for (term, position) in ends {
        let sent_at = fixture.now;
        fixture.now += Duration::from_millis(20);
        fixture.handle(Event::StatementEnded(StatementReport {
            member: 1,
            answer: Answer::Led {
                sent_at,
                commit: true,
            },
            point: Some(Point::new(term, position)),
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(20)),
        }));
    }
}

#[test]
fn choose_waits_for_log_with_everything_acknowledged() {
    let mut fixture = Fixture::new();
    commit_twice(&mut fixture, [(1, 309), (1, 312)]);
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    // Only a member that is gone had received the last entry.
    let held = (false, 1, (1, 309), term);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    assert_eq!(
        take_recorded_target(&mut fixture),
        None,
        "entries up to 310 are acknowledged"
    );
}

/// The claimant has sent no commit itself, and the replica that confirmed the last ones is gone.
#[test]
fn choose_waits_for_log_with_what_another_proxy_knows_to_be_acknowledged() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let asks = |effect: &Effect| matches!(effect, Effect::AskProxies(GROUP));
    assert!(fixture.effects.iter().any(asks));
    let term = take_holds(&mut fixture)[0].1;
    let held = (false, term - 1, (1, 281), term);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held);
    }
    await_end_of_trust(&mut fixture);
    let points = points(Some(310), Some(312));
    let told = told(
        &fixture,
        GroupKnowledge {
            points,
            ..GroupKnowledge::default()
        },
    );
    fixture.handle(told);
    read_directory(&mut fixture);
    for member in [2, 3] {
        answer_status(&mut fixture, member, held);
    }
    assert_eq!(take_recorded_target(&mut fixture), None);
}

/// Returns points of the log in term 1.
fn points(acknowledged: Option<u64>, answered_end: Option<u64>) -> KnownPoints {
    KnownPoints {
        acknowledged: acknowledged.map(|position| Point::new(1, position)),
        answered_end: answered_end.map(|position| Point::new(1, position)),
        term_start: None,
    }
}

/// A member that has crashed, and that the directory has dropped, may come back with commits that the others lack.
#[rstest]
#[case::nothing_known(None, 5_000, None)]
#[case::may_lack_commits(Some(311), 5_000, None)]
#[case::lacks_nothing(Some(310), 5_000, Some("member-2"))]
#[case::awaited_for_long(None, 1_000, Some("member-2"))]
fn choose_waits_for_missing_member_unless_log_is_whole(
    #[case] answered_end: Option<u64>,
    #[case] awaited_ms: u64,
    #[case] expected: Option<&str>,
) {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let missing = MissingMember {
        entry: member_at(4, "d", false),
        awaited_until: fixture.now + Duration::from_millis(awaited_ms),
        is_silent: true,
    };
    let knowledge = GroupKnowledge {
        missing: vec![missing],
        points: points(None, answered_end),
        ..GroupKnowledge::default()
    };
    let told = told(&fixture, knowledge);
    fixture.handle(told);
    let held = |position| (false, term - 1, (1, position), term);
    hold_members(&mut fixture, &[(2, held(310)), (3, held(281))]);
    assert_eq!(take_recorded_target(&mut fixture).as_deref(), expected);
}

#[test]
fn choose_accepts_log_that_lacks_only_unacknowledged_entries() {
    let mut fixture = Fixture::new();
    commit_twice(&mut fixture, [(1, 309), (1, 312)]);
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let (ahead, behind) = ((1, 310), (1, 281));
    hold_members(
        &mut fixture,
        &[(2, (false, 1, ahead, term)), (3, (false, 1, behind, term))],
    );
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
}

#[test]
fn choose_keeps_stalled_leader_whose_replicas_have_nothing_of_its_term() {
    let mut fixture = Fixture::new();
    // Member 1 confirms in its answer to a statement that it leads term 2.
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(2, 325)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    for _ in 0..2 {
        fixture.handle(Event::StatementEnded(StatementReport {
            member: 1,
            answer: Answer::Silent { commit: true },
            point: None,
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(760)),
        }));
    }
    fixture.advance(900);
    write_claim(&mut fixture, ClaimRow::default());
    let term = take_holds(&mut fixture)[0].1;
    answer_status(&mut fixture, 2, (false, 1, (1, 281), term));
    answer_status(&mut fixture, 3, (false, 1, (1, 281), term));
    assert_eq!(take_recorded_target(&mut fixture), None);
}

#[test]
fn finish_extends_claim_by_order_lease() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = (false, 0, (0, 500), 1);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    let outcome = StoreOutcome::Written(version(12));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    let outcome = OrderOutcome::Accepted;
    fixture.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome,
    });
    fixture.advance(600);
    fixture.take_effects();
    answer_status(&mut fixture, 2, (true, 1, (1, 500), 0));
    let until_ms = fixture
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::StoreClaim { claim, .. } => Some(claim.until_ms),
            _ => None,
        });
    // The claim row was read at 0 on the store's clock, and the target confirmed more than 600 ms later. The claim lasts for
    // the order lease of 3,000 ms from then on.
    assert!(until_ms >= Some(3_600), "{until_ms:?}");
}

/// Takes all effects, and returns the members that are released.
fn take_releases(fixture: &mut Fixture) -> Vec<id::MemberId> {
    let release = |effect| match effect {
        Effect::SendCommand {
            member,
            command: MemberCommand::Release { .. },
            ..
        } => Some(member),
        _ => None,
    };
    let mut released: Vec<_> = fixture
        .take_effects()
        .into_iter()
        .filter_map(release)
        .collect();
    released.sort_unstable();
    released
}

/// Takes the leader's entry from the directory, and plays the store until the attempt has sent the hold commands: the leader does not
/// answer either. `pending` is
/// the target of an earlier claim's order that may still be executed.
fn start_attempt_for_missing_leader(fixture: &mut Fixture, pending: Option<&str>) {
    fixture.handle(Event::Unlisted {
        name: "member-1".into(),
        revision: version(20),
    });
    fixture.advance(300);
    let mut stored = ClaimRow {
        revision: version(4),
        now_ms: 9_000,
        ..ClaimRow::default()
    };
    stored.claim.token = 6;
    stored.claim.target = pending.map(Box::from);
    stored.claim.settled = pending.is_none();
    stored.claim.until_ms = 8_000;
    fixture.advance(3_000);
    write_claim(fixture, stored);
    // The leader does not answer that it leads.
    fixture.advance(1_000);
}

#[test]
fn held_members_are_released_when_another_leads_by_then() {
    let mut fixture = Fixture::new();
    start_attempt_for_missing_leader(&mut fixture, None);
    let term = take_holds(&mut fixture)[0].1;
    // Member 2 knows a newer term, so it is held again at the next one. Only then does the leader of the newer term answer.
    answer_status(&mut fixture, 2, (false, term, (term, 166), 0));
    answer_status(&mut fixture, 2, (false, term, (term, 166), term + 1));
    fixture.effects.clear();
    answer_status(&mut fixture, 3, (true, term, (term, 168), 0));
    assert_eq!(take_releases(&mut fixture), [2, 3]);
}

#[test]
fn held_members_are_released_when_one_does_not_answer_in_time() {
    let mut fixture = Fixture::new();
    start_attempt_for_missing_leader(&mut fixture, None);
    let term = take_holds(&mut fixture)[0].1;
    answer_status(&mut fixture, 2, (false, term - 1, (term - 1, 166), term));
    // Member 3 never answers.
    fixture.advance(200);
    assert_eq!(take_releases(&mut fixture), []);
    fixture.advance(3_500);
    assert_eq!(take_releases(&mut fixture), [2, 3]);
}

#[test]
fn attempt_waits_until_own_earlier_claim_expires() {
    let mut fixture = Fixture::new();
    start_attempt_for_missing_leader(&mut fixture, None);
    let term = take_holds(&mut fixture)[0].1;
    answer_status(&mut fixture, 2, (false, term - 1, (term - 1, 166), term));
    fixture.advance(3_500);
    let stored_claim = |effect: &Effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.clone()),
        _ => None,
    };
    let claim = fixture.effects.iter().rev().find_map(stored_claim);
    let claim = claim.expect("the attempt shortens its claim");
    // The claim row was read at 9,000, the attempt was given up within 3,500, and the release commands need 1,500. The rest
    // is a reserve for ticks.
    assert!(claim.until_ms <= 9_000 + 3_500 + 2_000, "{claim:?}");
    let loads_claim = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    assert!(
        fixture.effects.iter().any(loads_claim),
        "the proxy reads the claim row again"
    );
    // A release command may still be under way to a member that a new claim would hold again.
    fixture.effects.clear();
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(ClaimRow {
            now_ms: claim.until_ms - 1,
            revision: version(12),
            claim,
        }),
    });
    let stores_claim = |effect: &Effect| matches!(effect, Effect::StoreClaim { .. });
    assert!(!fixture.effects.iter().any(stores_claim));
}

#[test]
fn claim_lasts_as_long_as_intended_after_slow_answer_of_the_store() {
    let mut fixture = Fixture::new();
    lose_leader(&mut fixture);
    let loads_claim = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    assert!(fixture.effects.iter().any(loads_claim));
    // The store reads its clock when the read of the claim row arrives, and its answer takes 1 s.
    let asked_at = fixture.now;
    fixture.advance(1_000);
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at,
        stored: Some(ClaimRow {
            now_ms: 9_000,
            ..ClaimRow::default()
        }),
    });
    let until = |effect: &Effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.until_ms),
        _ => None,
    };
    let outcome = StoreOutcome::Written(version(11));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    fixture.advance(100);
    let term = take_holds(&mut fixture)[0].1;
    let held = (false, term - 1, (term - 1, 166), term);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    let until_ms = fixture.effects.iter().find_map(until);
    let trust_ms = TRUST_DURATION.as_millis() as u64;
    assert!(
        until_ms >= Some(9_000 + 1_000 + trust_ms + 4_500),
        "{until_ms:?}"
    );
}

/// Takes all effects, and returns the claim that is written.
fn take_written_claim(fixture: &mut Fixture) -> Claim {
    let claim = |effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim),
        _ => None,
    };
    let mut effects = fixture.take_effects().into_iter();
    effects.find_map(claim).expect("a claim is written")
}

fn ordered() -> LastOrdered {
    LastOrdered::Member {
        name: "member-2".into(),
        replaced_term: 0,
    }
}

/// Returns a row whose last claim ordered member 2, with tokens and times of the past.
fn row_after_order(settled: bool, order_ends_ms: u64) -> ClaimRow {
    let claim = Claim {
        token: 6,
        target: Some("member-2".into()),
        settled,
        until_ms: 8_000,
        order_ends_ms,
        last_ordered: ordered(),
        ..Claim::default()
    };
    ClaimRow {
        claim,
        revision: version(4),
        now_ms: 9_000,
    }
}

#[rstest]
#[case::after_promotion(row_after_order(true, 0), ordered())]
#[case::after_order_without_answer(row_after_order(false, 20_000), ordered())]
#[case::after_order_without_answer_that_has_ended(
    row_after_order(false, 9_000),
    LastOrdered::Unknown
)]
fn claim_keeps_last_ordered_member(#[case] stored: ClaimRow, #[case] expected: LastOrdered) {
    let mut fixture = Fixture::unfenced();
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = version(10);
    fixture.handle(Event::Listed(leaving));
    fixture.advance(300);
    fixture.take_effects();
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(stored),
    });
    assert_eq!(take_written_claim(&mut fixture).last_ordered, expected);
}

#[rstest]
#[case::accepted(OrderOutcome::Accepted, ordered())]
#[case::unanswered(OrderOutcome::Unknown, ordered())]
#[case::refused(OrderOutcome::Refused, LastOrdered::Nobody)]
fn claim_names_ordered_member_unless_order_is_refused(
    #[case] outcome: OrderOutcome,
    #[case] expected: LastOrdered,
) {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    fixture.take_effects();
    let held = (false, 0, (0, 500), 1);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    let recorded = take_written_claim(&mut fixture).last_ordered;
    assert_eq!(recorded, ordered());
    let written = StoreOutcome::Written(version(12));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome: written,
    });
    fixture.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome,
    });
    if outcome != OrderOutcome::Refused {
        fixture.take_effects();
        answer_status(&mut fixture, 2, (true, 1, (1, 501), 0));
    }
    assert_eq!(take_written_claim(&mut fixture).last_ordered, expected);
}

#[rstest]
#[case::of_newest_term(5, true)]
#[case::of_older_term(3, false)]
fn claim_names_leader_that_was_found(#[case] term: id::Term, #[case] named: bool) {
    let mut fixture = Fixture::new();
    let newest = StatementReport {
        member: 3,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(4, 10)),
        floor: None,
        connected_at: None,
        took: None,
    };
    fixture.handle(Event::StatementEnded(newest));
    let mut leaving = member_at(3, "c", true);
    leaving.leaving = true;
    leaving.revision = version(10);
    fixture.handle(Event::Listed(leaving));
    fixture.advance(300);
    write_claim(&mut fixture, ClaimRow::default());
    fixture.take_effects();
    answer_status(&mut fixture, 2, (true, term, (term, 20), 0));
    let effects = fixture.take_effects();
    let found = LastOrdered::Member {
        name: "member-2".into(),
        replaced_term: term - 1,
    };
    let names_found = |effect: &Effect| match effect {
        Effect::StoreClaim { claim, .. } => {
            claim.target.as_deref() == Some("member-2") && claim.last_ordered == found
        }
        _ => false,
    };
    let demotes = |effect: &Effect| match effect {
        Effect::SendCommand {
            member, command, ..
        } => *member == 2 && matches!(command, MemberCommand::Demote(_)),
        _ => false,
    };
    assert_eq!(effects.iter().any(names_found), named);
    assert_eq!(
        effects.iter().any(demotes),
        !named,
        "a replaced leader that leads on can be held only once it is demoted"
    );
}

/// A member that is cut off from the directory goes on receiving, and confirming commits for the leader.
#[rstest]
#[case::that_answers(true, &[2, 3])]
#[case::that_is_gone(false, &[3])]
fn hold_includes_member_without_entry(#[case] answers: bool, #[case] expected: &[id::MemberId]) {
    let mut fixture = Fixture::new();
    fixture.add_request(Requirement::Leader);
    fixture.handle(Event::Unlisted {
        name: "member-2".into(),
        revision: version(60),
    });
    for _ in 0..50 {
        for effect in fixture.take_effects() {
            match effect {
                Effect::Open { conn, member: 2 } if !answers => {
                    let failure = OpenFailure::Refused;
                    fixture.handle(Event::OpenFailed { conn, failure });
                }
                Effect::Open { conn, .. } => fixture.handle(Event::Opened(conn)),
                _ => {}
            }
        }
        fixture.advance(100);
        fixture.add_request(Requirement::Leader);
    }
    start_attempt(&mut fixture);
    let held: Vec<_> = take_holds(&mut fixture)
        .into_iter()
        .map(|(member, _)| member)
        .collect();
    assert_eq!(held, expected);
}

/// Lets the connections to a member fail: its process is gone.
fn refuse_connections(fixture: &mut Fixture, refusing: id::MemberId) {
    for effect in fixture.take_effects() {
        match effect {
            Effect::Open { conn, member } if member == refusing => {
                let failure = OpenFailure::Refused;
                fixture.handle(Event::OpenFailed { conn, failure });
            }
            other => fixture.effects.push(other),
        }
    }
}

#[test]
fn choose_waits_for_log_of_member_that_was_dropped_after_its_hold() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    answer_status(&mut fixture, 2, (false, 0, (0, 501), 1));
    fixture.handle(Event::Unlisted {
        name: "member-2".into(),
        revision: version(60),
    });
    for _ in 0..34 {
        refuse_connections(&mut fixture, 2);
        fixture.advance(100);
    }
    assert!(fixture.broker.member(2).is_none());
    answer_status(&mut fixture, 3, (false, 0, (0, 500), 1));
    assert_eq!(take_recorded_target(&mut fixture), None);
}

/// A row that names member 3, promoted to term 2. Its claim has ended.
fn row_of_promoted_member() -> ClaimRow {
    let claim = Claim {
        token: 6,
        target: Some("member-3".into()),
        settled: true,
        until_ms: 8_000,
        last_ordered: LastOrdered::Member {
            name: "member-3".into(),
            replaced_term: 1,
        },
        ..Claim::default()
    };
    ClaimRow {
        claim,
        revision: version(4),
        now_ms: 9_000,
    }
}

/// Member 3 has been promoted to term 2 and leaves, or cannot be reached. Its predecessor, member 1, leads on in term 1, which is
/// the newest term that this proxy has seen.
#[rstest]
#[case::without_other_answer(false)]
#[case::after_replica_has_shown_newer_term(true)]
fn claim_does_not_name_replaced_leader_that_leads_on(#[case] replica_answers_first: bool) {
    let mut fixture = Fixture::unfenced();
    let led = StatementReport {
        member: 1,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(1, 10)),
        floor: None,
        connected_at: None,
        took: None,
    };
    fixture.handle(Event::StatementEnded(led));
    fixture.now += Duration::from_millis(10);
    let mut successor = member_at(3, "c", true);
    successor.leaving = true;
    successor.revision = version(10);
    fixture.handle(Event::Listed(successor));
    assert_eq!(fixture.leader(), Some(3));
    fixture.advance(300);
    write_claim(&mut fixture, row_of_promoted_member());
    fixture.take_effects();
    if replica_answers_first {
        answer_status(&mut fixture, 2, (false, 2, (2, 20), 0));
    }
    answer_status(&mut fixture, 1, (true, 1, (1, 20), 0));
    let named = fixture
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::StoreClaim { claim, .. } => Some(claim.last_ordered),
            _ => None,
        });
    let replaced = LastOrdered::Member {
        name: "member-1".into(),
        replaced_term: 0,
    };
    assert_ne!(named, Some(replaced), "member 3 has been promoted since");
}

/// The newest claim, which may have ordered another member, is lost with the store's changes.
#[test]
fn claim_does_not_keep_last_ordered_member_of_earlier_era() {
    let mut fixture = Fixture::unfenced();
    fixture.handle(Event::StoreEra {
        era: 1,
        known_for: Duration::from_secs(60),
    });
    fixture.handle(Event::DirectoryRead {
        answered_at: Some(fixture.now),
    });
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision.era = 1;
    fixture.handle(Event::Listed(leaving));
    fixture.advance(300);
    fixture.take_effects();
    let mut stored = row_of_promoted_member();
    stored.revision.era = 1;
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(stored),
    });
    let claim = take_written_claim(&mut fixture);
    assert_eq!(claim.last_ordered, LastOrdered::Unknown);
}

/// The claim ends 4 s after its read. The proxy is suspended meanwhile, and the first event after it is the loss of a connection to
/// a member that has been dropped.
#[test]
fn choice_is_not_written_after_claim_has_ended() {
    let mut fixture = Fixture::unfenced();
    fixture.handle(Event::Unlisted {
        name: "member-3".into(),
        revision: version(9),
    });
    for _ in 0..18 {
        fixture.advance(100);
        refuse_connections(&mut fixture, 3);
    }
    start_attempt(&mut fixture);
    assert!(fixture.broker.member(3).is_some());
    refuse_connections(&mut fixture, 3);
    let term = take_holds(&mut fixture)[0].1;
    answer_status(&mut fixture, 2, (false, term - 1, (term - 1, 500), term));
    fixture.advance(600);
    assert!(fixture.broker.member(3).is_none());
    read_directory(&mut fixture);
    answer_status(&mut fixture, 2, (false, term - 1, (term - 1, 500), term));
    fixture.take_effects();
    fixture.now += Duration::from_millis(5_000);
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member: 3,
        asked_at: fixture.now,
        status: None,
    });
    assert_eq!(take_recorded_target(&mut fixture), None);
}

/// The claimant before has held both replicas for term 3 and ended. This proxy has seen no term yet.
#[test]
fn claim_tells_promotion_of_member_that_earlier_claimant_has_held() {
    let mut fixture = Fixture::unfenced();
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = version(10);
    fixture.handle(Event::Listed(leaving));
    fixture.advance(300);
    write_claim(&mut fixture, row_after_order(false, 20_000));
    for member in [2, 3] {
        answer_status(&mut fixture, member, (false, 2, (2, 500), 3));
    }
    let holds = take_holds(&mut fixture);
    // A member keeps a hold at a later term.
    let term = holds.last().map_or(3, |hold| hold.1.max(3));
    for member in [2, 3] {
        answer_status(&mut fixture, member, (false, 2, (2, 500), term));
    }
    fixture.advance(600);
    read_directory(&mut fixture);
    for member in [2, 3] {
        answer_status(&mut fixture, member, (false, 2, (2, 500), term));
    }
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome: StoreOutcome::Written(version(12)),
    });
    fixture.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome: OrderOutcome::Accepted,
    });
    fixture.take_effects();
    answer_status(&mut fixture, 2, (true, 3, (3, 501), 0));
    let row = ClaimRow {
        claim: take_written_claim(&mut fixture),
        revision: version(13),
        now_ms: 12_000,
    };
    assert_eq!(row.standing("member-2", 3), Standing::Undisputed);
}

/// Otherwise the leader's commits wait until another attempt holds the members and releases them.
#[test]
fn members_are_released_when_store_refuses_record_of_choice() {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let held = (false, term - 1, (term - 1, 500), term);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    assert!(take_recorded_target(&mut fixture).is_some());
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome: StoreOutcome::Refused,
    });
    let released = fixture.take_effects().into_iter().filter(|effect| {
        let Effect::SendCommand { command, .. } = effect else {
            return false;
        };
        matches!(command, MemberCommand::Release { .. })
    });
    assert_eq!(released.count(), 2);
}

/// Plays a replacement by member 2, which confirms that it leads term 2, and returns the claim row that is left.
fn replace_leader(fixture: &mut Fixture, held_terms: [id::Term; 2]) -> ClaimRow {
    start_attempt(fixture);
    fixture.take_effects();
    let [held_2, held_3] = held_terms;
    for member in [(2, held_2), (3, held_3)] {
        answer_status(fixture, member.0, (false, 1, (1, 500), member.1));
    }
    await_end_of_trust(fixture);
    read_directory(fixture);
    for member in [(2, held_2), (3, held_3)] {
        answer_status(fixture, member.0, (false, 1, (1, 500), member.1));
    }
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome: StoreOutcome::Written(version(12)),
    });
    fixture.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome: OrderOutcome::Accepted,
    });
    fixture.advance(300);
    fixture.take_effects();
    answer_status(fixture, 2, (true, 2, (1, 500), 0));
    let stored = |effect: &Effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.clone()),
        _ => None,
    };
    let claim = fixture.effects.iter().find_map(stored);
    ClaimRow {
        claim: claim.expect("the claim is settled"),
        revision: version(13),
        now_ms: 60_000,
    }
}

/// A leader that started again under another name was taken for a replaced one, and members were held at a term after that of the next
/// leader (inc6).
#[test]
fn leader_that_started_again_under_another_name_is_not_called_replaced() {
    let mut fixture = Fixture::unfenced();
    let row = replace_leader(&mut fixture, [2, 2]);
    fixture.handle(Event::Unlisted {
        name: "member-2".into(),
        revision: version(30),
    });
    let mut entry = member_at(9, "b", true);
    entry.revision = version(31);
    fixture.handle(Event::Listed(entry));
    fixture.now += Duration::from_millis(10);
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 9,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(2, 501)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    fixture.now += Duration::from_millis(10);
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(row),
    });
    assert_eq!(fixture.leader(), Some(9));
}

/// Replicas were held at a term after that of the leader, as a claimant had died or its releases were lost, and the leader could commit
/// nothing any more (inc6).
#[test]
fn member_held_above_term_of_next_leader_is_released() {
    let mut fixture = Fixture::new();
    replace_leader(&mut fixture, [2, 4]);
    assert_eq!(take_releases(&mut fixture), [3]);
}

/// The leader stalls because its replicas are held at a term that an attempt before has raised (inc6).
#[test]
fn stalled_leader_of_held_replicas_is_not_replaced() {
    let mut fixture = Fixture::new();
    commit_twice(&mut fixture, [(1, 309), (1, 312)]);
    fixture.now += Duration::from_millis(1_000);
    for _ in 0..2 {
        fixture.handle(Event::StatementEnded(StatementReport {
            member: 1,
            answer: Answer::Silent { commit: true },
            point: None,
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(760)),
        }));
    }
    fixture.advance(900);
    write_claim(&mut fixture, ClaimRow::default());
    let term = take_holds(&mut fixture)[0].1;
    for member in [2, 3] {
        answer_status(&mut fixture, member, (false, 1, (1, 312), term + 2));
    }
    await_end_of_trust(&mut fixture);
    let demotes = |effect: &Effect| match effect {
        Effect::SendCommand { command, .. } => matches!(command, MemberCommand::Demote(_)),
        _ => false,
    };
    assert!(!fixture.effects.iter().any(demotes));
    assert_eq!(take_releases(&mut fixture), [2, 3]);
}

/// The target of an order without an answer was gone for good, but stayed the only member that could be chosen (review case 5).
#[test]
fn choose_takes_another_member_once_target_of_unanswered_order_is_gone() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::Unlisted {
        name: "member-3".into(),
        revision: version(20),
    });
    for _ in 0..40 {
        refuse_connections(&mut fixture, 3);
        fixture.advance(100);
    }
    assert!(fixture.broker.member(3).is_none());
    let knowledge = GroupKnowledge {
        points: KnownPoints {
            answered_end: Some(Point::new(0, 500)),
            ..KnownPoints::default()
        },
        ..GroupKnowledge::default()
    };
    let told = told(&fixture, knowledge);
    fixture.handle(told);
    start_attempt_for_missing_leader(&mut fixture, Some("member-3"));
    let holds = take_holds(&mut fixture);
    let term = holds.last().map_or(0, |hold| hold.1);
    hold_members(&mut fixture, &[(2, (false, 0, (0, 500), term))]);
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-2")
    );
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome: StoreOutcome::Written(version(12)),
    });
    let order = fixture
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::OrderPromotion { member, token, .. } => Some((member, token)),
            _ => None,
        });
    assert_eq!(order, Some((2, 7)));
    // If it is refused, the older order may still be executed.
    fixture.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome: OrderOutcome::Refused,
    });
    let claim = take_written_claim(&mut fixture);
    assert_eq!(claim.pending_target(), Some("member-3"));
}

/// Lists a member as one that leaves.
fn list_leaving(fixture: &mut Fixture, member: id::MemberId, domain: &str) {
    let mut entry = member_at(member, domain, false);
    entry.leaving = true;
    entry.revision = version(30 + member);
    fixture.handle(Event::Listed(entry));
}

/// Two replicas that left had confirmed a commit. Neither might be chosen, nothing was released, and the commit was lost with their logs
/// (inc10).
#[rstest]
#[case::leaving_member_alone_is_furthest([502, 500], "member-2")]
#[case::member_that_stays_is_as_far([502, 502], "member-3")]
#[case::member_that_stays_is_furthest([500, 502], "member-3")]
fn choose_takes_leaving_member_only_if_none_that_stays_is_as_far(
    #[case] positions: [u64; 2],
    #[case] expected: &str,
    #[values(true, false)] fenced: bool,
) {
    let mut fixture = match fenced {
        true => Fixture::new(),
        false => Fixture::unfenced(),
    };
    list_leaving(&mut fixture, 2, "b");
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let held = |position| (false, term - 1, (term - 1, position), term);
    let [second, third] = positions;
    for member in [(2, second), (3, third)] {
        answer_status(&mut fixture, member.0, held(member.1));
    }
    await_end_of_trust(&mut fixture);
    read_directory(&mut fixture);
    for member in [(2, second), (3, third)] {
        answer_status(&mut fixture, member.0, held(member.1));
    }
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some(expected)
    );
}

/// A promoted member that leaves would have to be replaced at once.
#[test]
fn choose_takes_member_that_stays_rather_than_pending_target_that_leaves() {
    let mut fixture = Fixture::new();
    list_leaving(&mut fixture, 2, "b");
    start_attempt_for_missing_leader(&mut fixture, Some("member-2"));
    let term = take_holds(&mut fixture)[0].1;
    let held = (false, 0, (0, 500), term);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    assert_eq!(
        take_recorded_target(&mut fixture).as_deref(),
        Some("member-3")
    );
}

/// A member without an entry may have ended by the time of the order.
#[test]
fn choose_passes_over_leaving_member_that_is_not_listed_any_more() {
    let mut fixture = Fixture::new();
    list_leaving(&mut fixture, 2, "b");
    start_attempt(&mut fixture);
    let term = take_holds(&mut fixture)[0].1;
    let held = |position| (false, term - 1, (term - 1, position), term);
    for member in [(2, 502), (3, 500)] {
        answer_status(&mut fixture, member.0, held(member.1));
    }
    fixture.handle(Event::Unlisted {
        name: "member-2".into(),
        revision: version(60),
    });
    await_end_of_trust(&mut fixture);
    read_directory(&mut fixture);
    for member in [(2, 502), (3, 500)] {
        answer_status(&mut fixture, member.0, held(member.1));
    }
    assert_eq!(take_recorded_target(&mut fixture), None);
}

#[test]
fn leaving_member_that_was_promoted_hands_over() {
    let mut fixture = Fixture::new();
    list_leaving(&mut fixture, 2, "b");
    list_leaving(&mut fixture, 3, "c");
    let mut row = replace_leader(&mut fixture, [2, 2]);
    row.revision = version(10);
    assert_eq!(row.claim.target.as_deref(), Some("member-2"));
    fixture.take_effects();
    fixture.advance(1_800);
    let loads_claim = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    assert!(fixture.effects.iter().any(loads_claim));
    write_claim(&mut fixture, row);
    let asks = |effect: &Effect| match effect {
        Effect::SendCommand { command, .. } => matches!(command, MemberCommand::Status),
        _ => false,
    };
    assert!(fixture.effects.iter().any(asks), "the leader is asked");
    assert_eq!(take_holds(&mut fixture), []);
}

/// The older order for the member that was chosen again may still be executed.
#[rstest]
#[case::record_is_refused(StoreOutcome::Refused)]
#[case::orders_are_not_taken(StoreOutcome::Written(version(12)))]
fn members_stay_held_if_pending_target_is_not_ordered_again(#[case] outcome: StoreOutcome) {
    let mut fixture = Fixture::new();
    start_attempt_for_missing_leader(&mut fixture, Some("member-2"));
    let term = take_holds(&mut fixture)[0].1;
    let held = (false, 0, (0, 500), term);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    let target = take_recorded_target(&mut fixture);
    assert_eq!(target.as_deref(), Some("member-2"));
    let group = GROUP;
    fixture.handle(Event::ClaimStored { group, outcome });
    let mut effects = Vec::new();
    for _ in 0..50 {
        let taken = fixture.take_effects();
        let ordered = |effect: &Effect| matches!(effect, Effect::OrderPromotion { .. });
        if taken.iter().any(ordered) {
            let outcome = OrderOutcome::Deferred;
            fixture.handle(Event::PromotionOrdered { group, outcome });
        }
        effects.extend(taken);
        fixture.advance(100);
    }
    let releases = |effect: &Effect| match effect {
        Effect::SendCommand { command, .. } => matches!(command, MemberCommand::Release { .. }),
        _ => false,
    };
    assert!(!effects.iter().any(releases));
    let loads_claim = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    assert!(effects.iter().any(loads_claim), "the attempt has ended");
}

/// The platform may still execute an order that got no answer, or that was accepted.
#[rstest]
#[case::unanswered(OrderOutcome::Unknown)]
#[case::accepted(OrderOutcome::Accepted)]
fn members_stay_held_if_target_does_not_confirm(#[case] outcome: OrderOutcome) {
    let mut fixture = Fixture::new();
    start_attempt(&mut fixture);
    let held = (false, 0, (0, 500), 1);
    hold_members(&mut fixture, &[(2, held), (3, held)]);
    let group = GROUP;
    fixture.handle(Event::ClaimStored {
        group,
        outcome: StoreOutcome::Written(version(12)),
    });
    fixture.handle(Event::PromotionOrdered { group, outcome });
    fixture.take_effects();
    let mut released = Vec::new();
    for _ in 0..60 {
        let orders = |effect: &Effect| matches!(effect, Effect::OrderPromotion { .. });
        let is_ordered = fixture.effects.iter().any(orders);
        released.extend(take_releases(&mut fixture));
        if is_ordered {
            let outcome = OrderOutcome::Deferred;
            fixture.handle(Event::PromotionOrdered { group, outcome });
        }
        fixture.advance(100);
    }
    assert_eq!(released, []);
}
