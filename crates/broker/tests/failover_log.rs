//! Tests of what the diagnostic log tells about the replacement of a leader.

mod support;

use std::time::Duration;

use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{
    Choice, ChoiceMember, Comparison, Effect, Grant, StateChange, StatusPurpose,
};
use fulmarlift_broker::event::{
    Answer, Event, MemberStatus, OrderOutcome, StatementReport, StatusAnswer, StoreOutcome,
};
use fulmarlift_broker::leader::ReplaceReason;
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::trust::TRUST_DURATION;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

/// Plays the store: no claim is in force, and the write of one succeeds.
fn write_claim(fixture: &mut Fixture) {
    let (group, asked_at) = (GROUP, fixture.now);
    let stored = Some(ClaimRow::default());
    fixture.handle(Event::ClaimLoaded {
        group,
        asked_at,
        stored,
    });
    store_row(fixture, 11);
}

/// Plays the store: the write of the claim row succeeds.
fn store_row(fixture: &mut Fixture, row_version: u64) {
    let outcome = StoreOutcome::Written(version(row_version));
    let group = GROUP;
    fixture.handle(Event::ClaimStored { group, outcome });
}

/// Answers a command to a member, over a connection that was opened 400 ms ago.
fn answer(fixture: &mut Fixture, member: id::MemberId, status: MemberStatus) {
    let (group, asked_at) = (GROUP, fixture.now);
    fixture.handle(Event::CommandAnswered {
        group,
        member,
        connected_at: fixture.now - Duration::from_millis(400),
    });
    let status = Some(status);
    fixture.handle(Event::StatusAnswered {
        group,
        member,
        asked_at,
        status,
    });
}

/// Leaves the leader's statements unanswered until an attempt to take over from it has claimed.
fn lose_leader(fixture: &mut Fixture) {
    fixture.silence(1);
    fixture.advance(200);
    write_claim(fixture);
}

/// Holds the members twice, with the same answers, until the order for the chosen member is given.
fn take_over(fixture: &mut Fixture, statuses: &[(id::MemberId, MemberStatus)]) {
    lose_leader(fixture);
    for (member, status) in statuses {
        answer(fixture, *member, *status);
    }
    fixture.advance(TRUST_DURATION.as_millis() as u64);
    let (group, is_read) = (GROUP, true);
    fixture.handle(Event::DirectoryLoaded { group, is_read });
    for (member, status) in statuses {
        answer(fixture, *member, *status);
    }
    fixture.now += Duration::from_millis(120);
    store_row(fixture, 12);
}

/// Lets the leader leave beside a silent member 3, until an attempt to replace the leader has claimed.
fn start_handover(fixture: &mut Fixture) {
    fixture.silence(3);
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = version(10);
    fixture.handle(Event::Listed(leaving));
    fixture.advance(200);
    write_claim(fixture);
}

/// Lets the leader hand over to member 2 while it logs another entry, until the order is given.
fn finish_handover(fixture: &mut Fixture) {
    answer(fixture, 2, status(false, 1, (1, 528), 0));
    answer(fixture, 1, status(true, 1, (1, 528), 0));
    store_row(fixture, 12);
    answer(fixture, 1, status(false, 1, (1, 529), 0));
    fixture.advance(100);
    answer(fixture, 2, status(false, 1, (1, 529), 0));
    // The leader has logged nothing more, neither before nor beside the holds.
    fixture.advance(100);
    answer(fixture, 1, status(false, 1, (1, 529), 0));
    answer(fixture, 2, status(false, 1, (1, 529), 2));
    answer(fixture, 1, status(false, 1, (1, 529), 0));
    // Member 3 does not answer its hold command.
    fixture.advance(300);
}

fn hand_over(fixture: &mut Fixture) {
    start_handover(fixture);
    finish_handover(fixture);
}

fn take_choices(fixture: &mut Fixture) -> Vec<Choice> {
    let choice = |effect| match effect {
        Effect::RecordChange(StateChange::Choice(choice)) => Some(choice),
        _ => None,
    };
    let effects = fixture.take_effects().into_iter();
    effects.filter_map(choice).collect()
}

fn find(choice: &Choice, member: id::MemberId) -> &ChoiceMember {
    let mut members = choice.members.iter();
    members
        .find(|known| known.member == member)
        .expect("the choice tells of the member")
}

#[test]
fn choice_tells_logs_of_members_that_were_held() {
    let mut fixture = Fixture::new();
    let (two, three) = (status(false, 1, (1, 530), 2), status(false, 1, (1, 528), 2));
    let mut leaving = member_at(3, "c", false);
    leaving.leaving = true;
    leaving.revision = version(10);
    fixture.handle(Event::Listed(leaving));
    take_over(&mut fixture, &[(2, two), (3, three)]);
    let choices = take_choices(&mut fixture);
    let [choice] = choices.as_slice() else {
        panic!("one choice, not {choices:?}");
    };
    assert_eq!((choice.group, choice.target), (GROUP, Some(2)));
    assert_eq!(choice.reason, ReplaceReason::Unreachable);
    assert_eq!(choice.basis.old_leader, Some(1));
    assert!(!choice.basis.hands_over);
    assert_eq!(choice.basis.log_end, None);
    for (member, status) in [(2, two), (3, three)] {
        let told = find(choice, member).answer.expect("the member answered");
        assert_eq!(told.status, status);
        let ages = [Some(told.answered_at), told.connected_at].map(|then| {
            let age = fixture.now - then.expect("the instant is known");
            age.as_millis()
        });
        assert_eq!(ages, [120, 520]);
    }
    let flags = |member| {
        let known = find(choice, member);
        (known.asked, known.listed, known.leaving)
    };
    assert_eq!(flags(1), (false, true, false));
    assert_eq!(flags(2), (true, true, false));
    assert_eq!(flags(3), (true, true, true));
    assert_eq!(find(choice, 1).answer, None);
}

#[test]
fn choice_tells_end_of_log_that_was_handed_over() {
    let mut fixture = Fixture::new();
    hand_over(&mut fixture);
    let choices = take_choices(&mut fixture);
    let [choice] = choices.as_slice() else {
        panic!("one choice, not {choices:?}");
    };
    assert_eq!(choice.target, Some(2));
    assert_eq!(choice.reason, ReplaceReason::Leaving);
    assert!(choice.basis.hands_over);
    assert_eq!(choice.basis.surveyed_end, Some(Point::new(1, 528)));
    assert_eq!(choice.basis.log_end, Some(Point::new(1, 529)));
    let silent = find(choice, 3);
    assert_eq!((silent.answer, silent.asked), (None, true));
}

/// What a member told an earlier attempt is no basis of this one.
#[test]
fn choice_does_not_tell_answer_to_earlier_attempt() {
    let mut fixture = Fixture::new();
    start_handover(&mut fixture);
    answer(&mut fixture, 3, status(false, 1, (1, 540), 0));
    fixture.advance(2_600);
    fixture.silence(3);
    write_claim(&mut fixture);
    finish_handover(&mut fixture);
    let choices = take_choices(&mut fixture);
    let [choice] = choices.as_slice() else {
        panic!("one choice, not {choices:?}");
    };
    let silent = find(choice, 3);
    assert_eq!((silent.answer, silent.asked), (None, true));
}

/// The order is repeated while the platform takes none; the choice stays the same.
#[rstest]
#[case::deferred(OrderOutcome::Deferred)]
#[case::unanswered(OrderOutcome::Unknown)]
fn choice_is_told_once_for_repeated_order(#[case] outcome: OrderOutcome) {
    let mut fixture = Fixture::new();
    hand_over(&mut fixture);
    let group = GROUP;
    fixture.handle(Event::PromotionOrdered { group, outcome });
    fixture.advance(1_200);
    let orders = |effect: &&Effect| matches!(effect, Effect::OrderPromotion { .. });
    let orders = fixture.effects.iter().filter(orders).count();
    assert!(orders > 1, "the order is repeated");
    assert_eq!(take_choices(&mut fixture).len(), 1);
}

/// Ways of replacing leader 1 by member 2, which then leads term 2.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    /// Members 2 and 3 are held, and have received up to 530 and 528.
    TakeOver,
    /// Member 1 stops at 529. Member 2 has received up to there, and member 3 does not answer.
    HandOver,
}

/// Returns a proxy beside member 3, with an idle connection to it if `is_connected`.
fn beside_third(is_connected: bool) -> Fixture {
    let mut fixture = Fixture::in_domain("c");
    if is_connected {
        let grant = read_at_third(&mut fixture);
        fixture.end_statement(&grant, Answer::Served, None);
        fixture.effects.clear();
    }
    fixture
}

/// Begins a read at member 3, over the only connection to it.
fn read_at_third(fixture: &mut Fixture) -> Grant {
    let acknowledged_before = fixture.now;
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(1, 500)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    fixture.add_request(Requirement::Recent {
        acknowledged_before,
        session_commit: None,
    });
    assert_eq!(fixture.open_all().len(), 1);
    let mut grants = fixture.take_grants();
    assert_eq!(grants[0].member, 3);
    grants.remove(0)
}

/// Replaces the leader, and leaves what follows from the new leader's confirmation in the effects.
fn replace_leader(fixture: &mut Fixture, way: Way) {
    let mut read = None;
    match way {
        Way::TakeOver => take_over(
            fixture,
            &[
                (2, status(false, 1, (1, 530), 2)),
                (3, status(false, 1, (1, 528), 2)),
            ],
        ),
        Way::HandOver => {
            read = Some(read_at_third(fixture));
            hand_over(fixture);
        }
    }
    let (group, outcome) = (GROUP, OrderOutcome::Accepted);
    fixture.handle(Event::PromotionOrdered { group, outcome });
    fixture.advance(100);
    for effect in fixture.take_effects() {
        if let Effect::SendCommand {
            conn: Some(conn), ..
        } = effect
        {
            let reusable = true;
            fixture.handle(Event::Returned { conn, reusable });
        }
        eprintln!("E {effect:?}"); // Member 3 is back after the choice.
        if let Effect::Open { conn, member: 3 } = effect {
            fixture.handle(Event::Opened(conn));
        }
    }
    fixture.effects.clear();
    if let Some(read) = read {
        // Member 3 is back after the choice.
        fixture.end_statement(&read, Answer::Served, None);
        fixture.effects.clear();
    }
    answer(fixture, 2, status(true, 2, (2, 530), 0));
}

/// Returns the members that are asked for a comparison.
fn asked_for_comparison(fixture: &Fixture) -> Vec<id::MemberId> {
    let asked = |effect: &Effect| match effect {
        Effect::AskStatus {
            member,
            purpose: StatusPurpose::Comparison,
            ..
        } => Some(*member),
        _ => None,
    };
    fixture.effects.iter().filter_map(asked).collect()
}

fn take_comparisons(fixture: &mut Fixture) -> Vec<Comparison> {
    let compared = |effect| match effect {
        Effect::RecordChange(StateChange::Compared(comparison)) => Some(comparison),
        _ => None,
    };
    let effects = fixture.take_effects().into_iter();
    effects.filter_map(compared).collect()
}

fn compare(fixture: &mut Fixture, answer: StatusAnswer) {
    fixture.handle(Event::ComparisonAnswered {
        group: GROUP,
        member: 3,
        asked_at: fixture.now,
        answer,
    });
}

const fn refused(is_busy: bool, term: id::Term, position: id::Position) -> StatusAnswer {
    let point = Some(Point { term, position });
    StatusAnswer::Refused { is_busy, point }
}

fn told(received: (u64, u64)) -> StatusAnswer {
    StatusAnswer::Status(status(false, received.0, received, 0))
}

/// A replica that had more than the promoted member is rolled back, and says so once, by `BUSY` in the new term (users' LOST, inc12).
#[rstest]
#[case::same_as_at_choice(Way::TakeOver, told((1, 528)), false)]
#[case::received_while_held(Way::TakeOver, told((1, 529)), true)]
#[case::received_more_than_leader(Way::TakeOver, told((1, 531)), true)]
#[case::follows_leader(Way::TakeOver, told((2, 531)), false)]
#[case::rolled_back(Way::TakeOver, refused(true, 2, 531), true)]
#[case::refused_otherwise(Way::TakeOver, refused(false, 2, 531), false)]
#[case::busy_before_new_term(Way::TakeOver, refused(true, 1, 528), false)]
#[case::busy_and_ahead_before_new_term(Way::TakeOver, refused(true, 1, 531), true)]
#[case::unanswered(Way::TakeOver, StatusAnswer::Missing, false)]
#[case::received_rest_of_log(Way::HandOver, told((1, 529)), false)]
#[case::received_past_end(Way::HandOver, told((1, 530)), true)]
#[case::rolled_back_after_handover(Way::HandOver, refused(true, 2, 530), true)]
fn replica_is_ahead_if_it_shows_more_than_choice_counted(
    #[case] way: Way,
    #[case] answer: StatusAnswer,
    #[case] expected: bool,
) {
    let mut fixture = beside_third(way == Way::TakeOver);
    replace_leader(&mut fixture, way);
    assert_eq!(asked_for_comparison(&fixture), [3]);
    fixture.take_effects();
    compare(&mut fixture, answer);
    compare(&mut fixture, answer);
    let comparisons = take_comparisons(&mut fixture);
    let [comparison] = comparisons.as_slice() else {
        panic!("one comparison, not {comparisons:?}");
    };
    let (leader_had, choice_received) = match way {
        Way::TakeOver => (530, Some(Point::new(1, 528))),
        Way::HandOver => (529, None),
    };
    assert_eq!((comparison.leader, comparison.term), (2, 2));
    assert_eq!(comparison.leader_had, Some(Point::new(1, leader_had)));
    assert_eq!(comparison.choice_received, choice_received);
    assert_eq!((comparison.member, comparison.answer), (3, Some(answer)));
    assert_eq!(comparison.is_ahead, expected);
}

/// No connection is opened for a comparison.
#[test]
fn comparison_tells_members_that_are_not_asked() {
    let mut fixture = beside_third(false);
    replace_leader(&mut fixture, Way::TakeOver);
    assert_eq!(asked_for_comparison(&fixture), []);
    let comparisons = take_comparisons(&mut fixture);
    let compared = comparisons
        .iter()
        .map(|compared| (compared.member, compared.answer, compared.is_ahead));
    assert_eq!(
        compared.collect::<Vec<_>>(),
        [(1, None, false), (3, None, false)]
    );
}

/// Takes the changes that tell that the old leader has stopped, and that it has gone on.
fn take_stops(fixture: &mut Fixture) -> (Vec<Point>, Vec<(Point, Point)>) {
    let (mut stopped, mut went_on) = (Vec::new(), Vec::new());
    for effect in fixture.take_effects() {
        match effect {
            Effect::RecordChange(StateChange::LeaderStopped {
                member, log_end, ..
            }) => {
                assert_eq!(member, 1);
                stopped.push(log_end);
            }
            Effect::RecordChange(StateChange::StoppedLeaderWentOn {
                member,
                log_end,
                point,
                ..
            }) => {
                assert_eq!(member, 1);
                went_on.push((log_end, point));
            }
            _ => {}
        }
    }
    (stopped, went_on)
}

/// Ways in which the old leader answers after it has stopped.
#[derive(Clone, Copy, Debug)]
enum Later {
    Command,
    Lease,
    Receipt,
    Refusal,
}

/// Lets the old leader answer with this end of its log, in a newer term if the end is of one.
fn answer_later(fixture: &mut Fixture, later: Later, end: (u64, u64)) {
    let (group, member, asked_at) = (GROUP, 1, fixture.now);
    let told = status(false, end.0, end, 0);
    let status = Some(told);
    let event = match later {
        Later::Command => return answer(fixture, member, told),
        Later::Lease => Event::LeaseAnswered {
            group,
            member,
            asked_at,
            status,
        },
        Later::Receipt => Event::ReceiptAnswered {
            group,
            member,
            asked_at,
            connected_at: asked_at,
            status,
        },
        Later::Refusal => Event::StatementEnded(StatementReport {
            member,
            answer: Answer::NotLeading,
            point: Some(told.received),
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(5)),
        }),
    };
    fixture.handle(event);
}

/// A commit that was being executed when the demotion arrived is in the log only after the answer (hypothesis of inc12).
#[rstest]
#[case::no_more((1, 529), false)]
#[case::more((1, 530), true)]
#[case::follows_successor((2, 531), false)]
fn stopped_leader_went_on_if_it_shows_more_in_its_term(
    #[case] end: (u64, u64),
    #[case] expected: bool,
    #[values(Later::Command, Later::Lease, Later::Receipt, Later::Refusal)] later: Later,
) {
    let mut fixture = Fixture::new();
    hand_over(&mut fixture);
    let log_end = Point::new(1, 529);
    assert_eq!(take_stops(&mut fixture), (vec![log_end], vec![]));
    answer_later(&mut fixture, later, end);
    answer_later(&mut fixture, later, end);
    let went_on = match expected {
        true => vec![(log_end, Point::new(end.0, end.1))],
        false => vec![],
    };
    assert_eq!(take_stops(&mut fixture), (vec![], went_on));
}
