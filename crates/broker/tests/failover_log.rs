//! Tests of what the diagnostic log tells about the replacement of a leader.

mod support;

use std::time::Duration;

use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{Choice, ChoiceMember, Effect, StateChange};
use fulmarlift_broker::event::{
    Answer, Event, MemberStatus, OrderOutcome, StatementReport, StoreOutcome,
};
use fulmarlift_broker::leader::ReplaceReason;
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
    for _ in 0..2 {
        fixture.handle(Event::StatementEnded(StatementReport {
            member: 1,
            answer: Answer::Silent { commit: false },
            point: None,
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(760)),
        }));
    }
    fixture.advance(1_600);
    write_claim(fixture);
}

/// Holds the members twice, with the same answers, until the order for the chosen member is given.
fn take_over(fixture: &mut Fixture, statuses: &[(id::MemberId, MemberStatus)]) {
    lose_leader(fixture);
    for (member, status) in statuses {
        answer(fixture, *member, *status);
    }
    let (group, is_read) = (GROUP, true);
    fixture.handle(Event::DirectoryLoaded { group, is_read });
    for (member, status) in statuses {
        answer(fixture, *member, *status);
    }
    fixture.now += Duration::from_millis(120);
    store_row(fixture, 12);
}

/// Lets the leader leave, until an attempt to replace it has claimed.
fn start_handover(fixture: &mut Fixture) {
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
    fixture.advance(3_500);
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
