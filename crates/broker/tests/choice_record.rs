//! Tests of the record of a choice in the claim row.

mod support;

use std::time::Duration;

use fulmarlift_broker::claim::{ChoiceRecord, Claim, ClaimRow, LastOrdered, RecordedMember};
use fulmarlift_broker::effect::{Choice, Effect, StateChange};
use fulmarlift_broker::event::{
    Event, GroupKnowledge, MemberStatus, OpenFailure, OrderOutcome, StoreOutcome,
};
use fulmarlift_broker::leader::KnownPoints;
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::trust::TRUST_DURATION;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

fn record() -> ChoiceRecord {
    let member = RecordedMember {
        name: "member-2".into(),
        received: Some(Point::new(6, 40)),
        held_term: 7,
        listed: true,
        leaving: true,
        answered: true,
        dropped_for_ms: Some(3_200),
    };
    ChoiceRecord {
        token: 9,
        claimant: "proxy-1-0".into(),
        target: "member-2".into(),
        replaced_term: 6,
        hands_over: true,
        at_order: true,
        acknowledged: Some(Point::new(6, 39)),
        target_had: Some(Point::new(6, 40)),
        members: vec![member],
        told_by: vec!["proxy-2".into()],
    }
}

fn claim_with(choice: Option<ChoiceRecord>) -> Claim {
    Claim {
        holder: "proxy-1-0".into(),
        token: 9,
        target: Some("member-2".into()),
        until_ms: 900,
        order_ends_ms: 12_000,
        era: 3,
        last_ordered: LastOrdered::Member {
            name: "member-2".into(),
            replaced_term: 6,
        },
        led_term: 7,
        choice: choice.map(Box::new),
        ..Claim::default()
    }
}

/// Encodes a row as the release before did.
fn earlier_bytes(claim: &Claim) -> Vec<u8> {
    let row = (
        claim,
        claim.order_ends_ms,
        claim.era,
        &claim.last_ordered,
        claim.led_term,
    );
    postcard::to_stdvec(&row).expect("plain values encode")
}

#[rstest]
#[case::none(None)]
#[case::some(Some(record()))]
fn claim_is_decoded_with_its_choice(#[case] choice: Option<ChoiceRecord>) {
    let claim = claim_with(choice);
    assert_eq!(Claim::from_bytes(&claim.to_bytes()).ok(), Some(claim));
}

#[test]
fn claim_row_without_choice_is_decoded() {
    let claim = claim_with(None);
    let read = Claim::from_bytes(&earlier_bytes(&claim));
    assert_eq!(read.ok(), Some(claim));
}

#[test]
fn claim_row_with_choice_begins_as_earlier_releases_read_it() {
    let claim = claim_with(Some(record()));
    let bytes = claim.to_bytes();
    assert!(bytes.starts_with(&earlier_bytes(&claim)));
}

#[test]
fn claim_with_unreadable_choice_is_decoded_without_it() {
    let claim = claim_with(None);
    let mut bytes = earlier_bytes(&claim);
    bytes.extend([1, 0xff, 0xff]);
    assert_eq!(Claim::from_bytes(&bytes).ok(), Some(claim));
}

#[test]
fn bounded_record_keeps_its_target() {
    let member = |number: usize| RecordedMember {
        name: format!("member-{number}").into(),
        ..RecordedMember::default()
    };
    let long = "\u{e9}".repeat(150);
    let bounded = ChoiceRecord {
        target: "member-11".into(),
        members: (0..12).map(member).collect(),
        told_by: vec![long.as_str().into(); 6],
        ..record()
    }
    .bounded();
    assert_eq!(bounded.members.len(), 8);
    assert_eq!(bounded.members[0].name, bounded.target);
    assert_eq!(bounded.told_by.len(), 4);
    assert_eq!(bounded.told_by[0].len(), 200);
}

fn write_row(fixture: &mut Fixture, row_version: u64) {
    let (group, outcome) = (GROUP, StoreOutcome::Written(version(row_version)));
    fixture.handle(Event::ClaimStored { group, outcome });
}

fn answer(fixture: &mut Fixture, member: id::MemberId, status: MemberStatus) {
    let (group, asked_at, status) = (GROUP, fixture.now, Some(status));
    fixture.handle(Event::StatusAnswered {
        group,
        member,
        asked_at,
        status,
    });
}

fn load_row(fixture: &mut Fixture, claim: Claim) {
    let (group, asked_at) = (GROUP, fixture.now);
    let stored = Some(ClaimRow {
        claim,
        revision: version(10),
        now_ms: 20_000,
    });
    fixture.handle(Event::ClaimLoaded {
        group,
        asked_at,
        stored,
    });
}

fn written_claims(fixture: &Fixture) -> Vec<Claim> {
    let claim = |effect: &Effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.clone()),
        _ => None,
    };
    fixture.effects.iter().filter_map(claim).collect()
}

fn choices(fixture: &Fixture) -> Vec<Choice> {
    let choice = |effect: &Effect| match effect {
        Effect::RecordChange(StateChange::Choice(choice)) => Some(choice.clone()),
        _ => None,
    };
    fixture.effects.iter().filter_map(choice).collect()
}

/// Leaves the leader's statements unanswered until an attempt has claimed after a read of this row.
fn lose_leader(fixture: &mut Fixture, claim: Claim) {
    fixture.silence(1);
    fixture.advance(200);
    load_row(fixture, claim);
    write_row(fixture, 11);
}

/// Holds the members twice until the choice is recorded.
fn hold(fixture: &mut Fixture, statuses: &[(id::MemberId, MemberStatus)]) {
    for (member, status) in statuses {
        answer(fixture, *member, *status);
    }
    fixture.advance(TRUST_DURATION.as_millis() as u64);
    let (group, is_read) = (GROUP, true);
    fixture.handle(Event::DirectoryLoaded { group, is_read });
    for (member, status) in statuses {
        answer(fixture, *member, *status);
    }
}

#[test]
fn recorded_claim_tells_choice() {
    let mut fixture = Fixture::new();
    lose_leader(&mut fixture, Claim::default());
    fixture.effects.clear();
    let two = status(false, 1, (1, 530), 2);
    hold(
        &mut fixture,
        &[(2, two), (3, status(false, 1, (1, 528), 2))],
    );
    let claims = written_claims(&fixture);
    let recorded = claims.last().and_then(|claim| claim.choice.as_deref());
    let recorded = recorded.expect("the choice is recorded").clone();
    assert_eq!(recorded.target.as_ref(), "member-2");
    assert_eq!(recorded.claimant.as_ref(), "proxy-1-0");
    assert_eq!((recorded.token, recorded.replaced_term), (1, 1));
    assert_eq!(recorded.target_had, Some(Point::new(1, 530)));
    assert_eq!((recorded.hands_over, recorded.at_order), (false, false));
    assert_eq!(recorded.acknowledged, None);
    let known = recorded
        .members
        .iter()
        .map(|member| (member.name.as_ref(), member.received, member.held_term));
    assert_eq!(
        known.collect::<Vec<_>>(),
        [
            ("member-2", Some(Point::new(1, 530)), 2),
            ("member-1", None, 0),
            ("member-3", Some(Point::new(1, 528)), 2),
        ]
    );
    fixture.effects.clear();
    write_row(&mut fixture, 12);
    let group = GROUP;
    fixture.handle(Event::PromotionOrdered {
        group,
        outcome: OrderOutcome::Accepted,
    });
    answer(&mut fixture, 2, status(true, 2, (2, 531), 0));
    let claims = written_claims(&fixture);
    let finished = claims.last().and_then(|claim| claim.choice.as_deref());
    let at_order = true;
    assert_eq!(
        finished,
        Some(&ChoiceRecord {
            at_order,
            ..recorded
        })
    );
}

/// A claim that makes no choice must not end the record of the last one.
#[test]
fn claim_keeps_choice_of_row_that_was_read() {
    let mut fixture = Fixture::new();
    fixture.silence(1);
    fixture.advance(200);
    fixture.effects.clear();
    let mut earlier = claim_with(Some(record()));
    earlier.settled = true;
    load_row(&mut fixture, earlier);
    let claims = written_claims(&fixture);
    let [claim] = claims.as_slice() else {
        panic!("one claim, not {claims:?}");
    };
    assert_eq!(claim.token, 10);
    assert_eq!(claim.choice.as_deref(), Some(&record()));
}

/// Members that were dropped lately explain what a choice lacks (users' LOST, inc14).
#[test]
fn choice_tells_members_that_were_dropped_without_answer() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::Listed(member_at(4, "a", false)));
    fixture.receive(4, Point::new(1, 533));
    fixture.add_request(Requirement::Leader);
    fixture.handle(Event::Unlisted {
        name: "member-4".into(),
        revision: version(20),
    });
    let is_gone = |effect: &Effect| matches!(effect, Effect::RecordChange(StateChange::Gone(4)));
    for _ in 0..100 {
        fixture.advance(100);
        for effect in fixture.take_effects() {
            match effect {
                Effect::Open { conn, member: 4 } => {
                    let failure = OpenFailure::Silent;
                    fixture.handle(Event::OpenFailed { conn, failure });
                }
                other => fixture.effects.push(other),
            }
        }
        if fixture.effects.iter().any(is_gone) {
            break;
        }
    }
    assert!(fixture.effects.iter().any(is_gone), "member 4 is dropped");
    let dropped_at = fixture.now;
    // No other member has to be awaited: the leader's log was no longer.
    fixture.handle(Event::ProxyTold {
        group: GROUP,
        proxy: 77,
        asked_at: fixture.now,
        knowledge: GroupKnowledge {
            points: KnownPoints {
                answered_end: Some(Point::new(1, 530)),
                ..KnownPoints::default()
            },
            ..GroupKnowledge::default()
        },
    });
    lose_leader(&mut fixture, Claim::default());
    hold(
        &mut fixture,
        &[
            (2, status(false, 1, (1, 530), 2)),
            (3, status(false, 1, (1, 528), 2)),
        ],
    );
    let age = fixture.now - dropped_at;
    let claims = written_claims(&fixture);
    let recorded = claims.last().and_then(|claim| claim.choice.as_deref());
    let recorded = recorded.expect("the choice is recorded");
    let mut members = recorded.members.iter();
    let dropped = members.find(|member| member.name.as_ref() == "member-4");
    let dropped = dropped.expect("the record tells of the member");
    assert_eq!(dropped.received, Some(Point::new(1, 533)));
    assert!(!dropped.answered);
    let told = dropped.dropped_for_ms.map(Duration::from_millis);
    assert_eq!(told, Some(age));
    write_row(&mut fixture, 12);
    let choices = choices(&fixture);
    let [choice] = choices.as_slice() else {
        panic!("one choice, not {choices:?}");
    };
    let mut members = choice.members.iter();
    let dropped = members.find(|member| member.member == 4);
    let dropped = dropped.and_then(|member| member.dropped);
    assert_eq!(dropped.map(|dropped| dropped.at), Some(dropped_at));
}
