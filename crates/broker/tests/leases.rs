//! Tests of the leases of leaders, where promotions are not fenced.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::{Claim, ClaimRow};
use fulmarlift_broker::effect::{Effect, MemberCommand, RefusalReason};
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StoreOutcome};
use fulmarlift_broker::lease::LEASE_DURATION;
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

const LEASE_MS: u64 = LEASE_DURATION.as_millis() as u64;

/// Returns a broker that has got an answer of the leader of term 1.
fn unfenced() -> Fixture {
    let mut fixture = Fixture::unfenced();
    show_leader(&mut fixture, 1);
    fixture
}

/// Runs a write at the member that is believed to lead; its answer shows a term but does not end a commit.
fn show_leader(fixture: &mut Fixture, term: id::Term) {
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    let led = Answer::Led {
        sent_at: fixture.now,
        commit: false,
    };
    fixture.end_statement(&grant, led, Some(Point::new(term, 10)));
    fixture.effects.clear();
}

/// Adds a read of the newest data.
fn read(fixture: &mut Fixture) -> id::RequestId {
    let acknowledged_before = fixture.now;
    fixture.add_request(Requirement::VerifiedLeader {
        acknowledged_before,
    })
}

/// Opens the requested connections, and returns the members that are asked for their status, with the connections.
fn take_questions(fixture: &mut Fixture) -> Vec<(id::MemberId, id::ConnId, Instant)> {
    for _ in 0..3 {
        fixture.open_all();
        fixture.advance(1);
        fixture.handle(Event::Tick);
    }
    let now = fixture.now;
    let asked = |effect: &Effect| match effect {
        Effect::AskStatus { member, conn, .. } => Some((*member, *conn, now)),
        _ => None,
    };
    let questions = fixture.effects.iter().filter_map(asked).collect();
    fixture
        .effects
        .retain(|effect| !matches!(effect, Effect::AskStatus { .. }));
    questions
}

/// Answers a question. The fields are those of [`status`].
fn answer(
    fixture: &mut Fixture,
    question: (id::MemberId, id::ConnId, Instant),
    fields: Option<(bool, u64, (u64, u64), u64)>,
) {
    let (member, conn, asked_at) = question;
    fixture.handle(Event::LeaseAnswered {
        group: GROUP,
        member,
        asked_at,
        status: fields.map(|(leads, term, received, held)| status(leads, term, received, held)),
    });
    let reusable = true;
    fixture.handle(Event::Returned { conn, reusable });
}

#[test]
fn read_waits_until_free_replica_has_answered() {
    let mut fixture = unfenced();
    let request = read(&mut fixture);
    let questions = take_questions(&mut fixture);
    assert_eq!(questions.len(), 1);
    assert_ne!(questions[0].0, 1, "the leader cannot vouch for itself");
    assert!(fixture.take_grants().is_empty());
    answer(&mut fixture, questions[0], Some((false, 1, (1, 10), 0)));
    let grants = fixture.take_grants();
    assert_eq!(grants.len(), 1);
    assert_eq!((grants[0].request, grants[0].member), (request, 1));
}

#[test]
fn read_that_arrives_within_lease_needs_no_question() {
    let mut fixture = unfenced();
    read(&mut fixture);
    let question = take_questions(&mut fixture)[0];
    answer(&mut fixture, question, Some((false, 1, (1, 10), 0)));
    let grant = fixture.take_grants().remove(0);
    fixture.end_statement(&grant, Answer::Served, Some(Point::new(1, 10)));
    fixture.now = question.2 + LEASE_DURATION - Duration::from_millis(1);
    read(&mut fixture);
    let grant = fixture.take_grants().remove(0);
    fixture.end_statement(&grant, Answer::Served, Some(Point::new(1, 10)));
    fixture.now = question.2 + LEASE_DURATION;
    read(&mut fixture);
    assert!(fixture.take_grants().is_empty(), "the lease has ended");
    assert_eq!(take_questions(&mut fixture).len(), 1);
}

#[test]
fn held_replica_grants_no_lease_and_other_is_asked() {
    let mut fixture = unfenced();
    read(&mut fixture);
    let first = take_questions(&mut fixture)[0];
    answer(&mut fixture, first, Some((false, 1, (1, 10), 2)));
    assert!(fixture.take_grants().is_empty());
    fixture.advance(100);
    let second = take_questions(&mut fixture)[0];
    assert_ne!(second.0, first.0);
    answer(&mut fixture, second, Some((false, 1, (1, 10), 0)));
    assert_eq!(fixture.take_grants().len(), 1);
}

/// A promotion ends the hold of a replica before the replica has heard of the new leader.
#[test]
fn replica_released_by_promotion_grants_no_lease_of_old_term() {
    let mut fixture = unfenced();
    read(&mut fixture);
    let question = take_questions(&mut fixture)[0];
    answer(&mut fixture, question, Some((false, 1, (1, 10), 2)));
    fixture.advance(900);
    read(&mut fixture);
    let question = take_questions(&mut fixture)
        .pop()
        .expect("a replica is asked");
    answer(&mut fixture, question, Some((false, 1, (1, 10), 0)));
    fixture.open_all();
    assert!(fixture.take_grants().is_empty());
}

#[rstest]
#[case::for_read_of_newest_data(0, false)]
#[case::for_read_that_allows_staleness(1_500, true)]
fn old_leader_proves_nothing_after_promotion(#[case] staleness_ms: u64, #[case] stale: bool) {
    let mut fixture = unfenced();
    read(&mut fixture);
    let question = take_questions(&mut fixture)[0];
    // A replica follows a newer term, while the old leader leads on.
    answer(&mut fixture, question, Some((false, 2, (1, 10), 0)));
    assert_eq!(fixture.leader(), None);
    let mut entry = member_at(2, "b", true);
    entry.revision = version(50);
    fixture.handle(Event::Listed(entry));
    assert_eq!(fixture.leader(), Some(2));
    // Its answers no longer count.
    fixture.handle(Event::StatementEnded(
        fulmarlift_broker::event::StatementReport {
            member: 1,
            answer: Answer::Led {
                sent_at: fixture.now,
                commit: true,
            },
            point: Some(Point::new(1, 99)),
            floor: None,
            took: None,
        },
    ));
    assert_eq!(fixture.leader(), Some(2));
    fixture.effects.clear();
    let acknowledged_before = fixture.now - Duration::from_millis(staleness_ms);
    fixture.add_request(match stale {
        true => Requirement::Recent {
            acknowledged_before,
            session_commit: None,
        },
        false => Requirement::VerifiedLeader {
            acknowledged_before,
        },
    });
    fixture.open_all();
    let reads_of_old_term = |effect: &Effect| match effect {
        Effect::Grant(grant) => grant.member == 1 || grant.floor.is_some_and(|f| f.term < 2),
        _ => false,
    };
    assert!(!fixture.effects.iter().any(reads_of_old_term));
}

#[test]
fn old_leader_that_has_stepped_down_grants_no_lease() {
    let mut fixture = unfenced();
    let acknowledged_before = fixture.now;
    fixture.advance(100);
    // The old leader was never held, and does not follow the newer term yet.
    answer(
        &mut fixture,
        (1, 1, acknowledged_before),
        Some((false, 1, (1, 10), 0)),
    );
    fixture.effects.clear();
    fixture.add_request(Requirement::Recent {
        acknowledged_before,
        session_commit: None,
    });
    assert!(fixture.take_grants().is_empty());
}

#[test]
fn leader_that_has_not_shown_its_term_is_asked_itself() {
    let mut fixture = unfenced();
    read(&mut fixture);
    let question = take_questions(&mut fixture)[0];
    answer(&mut fixture, question, Some((false, 2, (1, 10), 0)));
    fixture.advance(100);
    let question = take_questions(&mut fixture)[0];
    assert_eq!(question.0, 1);
    answer(&mut fixture, question, Some((true, 2, (1, 10), 0)));
    assert_eq!(fixture.leader(), Some(1));
}

#[rstest]
#[case::with_effect(true, 0)]
#[case::without_effect(false, 1)]
fn acknowledged_commit_grants_lease(#[case] commit: bool, #[case] questions: usize) {
    let mut fixture = unfenced();
    fixture.add_request(Requirement::Leader);
    let grant = fixture.take_grants().remove(0);
    let led = Answer::Led {
        sent_at: fixture.now,
        commit,
    };
    fixture.end_statement(&grant, led, Some(Point::new(1, 11)));
    fixture.advance(LEASE_MS - 100);
    fixture.effects.clear();
    read(&mut fixture);
    assert_eq!(fixture.take_grants().len(), 1 - questions);
    assert_eq!(take_questions(&mut fixture).len(), questions);
}

#[test]
fn read_is_refused_at_once_without_member_to_ask() {
    let mut fixture = unfenced();
    for _ in 0..4 {
        read(&mut fixture);
        for effect in fixture.take_effects() {
            if let Effect::Open { conn, member } = effect {
                assert_ne!(member, 1);
                let failure = OpenFailure::Refused;
                fixture.handle(Event::OpenFailed { conn, failure });
            }
        }
        fixture.advance(900);
    }
    fixture.effects.clear();
    let request = read(&mut fixture);
    let refused = fixture.effects.iter().any(|effect| {
        matches!(effect, Effect::Refuse(refusal)
            if refusal.request == request && refusal.reason == RefusalReason::NoLeader)
    });
    assert!(refused);
}

#[test]
fn fenced_leader_needs_no_lease() {
    let mut fixture = Fixture::new();
    show_leader(&mut fixture, 1);
    read(&mut fixture);
    assert_eq!(fixture.take_grants().len(), 1);
    assert!(take_questions(&mut fixture).is_empty());
}

/// Lets the leader announce that it leaves, holds both replicas, and returns the time until the choice is written.
fn time_from_hold_to_record_ms(mut fixture: Fixture) -> u64 {
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = version(10);
    fixture.handle(Event::Listed(leaving));
    fixture.advance(300);
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        stored: Some(ClaimRow::default()),
    });
    let outcome = StoreOutcome::Written(version(11));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    fixture.advance(100);
    let held = |effect: &Effect| match effect {
        Effect::SendCommand {
            member,
            command: MemberCommand::Hold(term),
            ..
        } => Some((*member, *term)),
        _ => None,
    };
    let holds: Vec<_> = fixture.effects.iter().filter_map(held).collect();
    fixture.effects.clear();
    assert_eq!(holds.len(), 2);
    for (member, term) in holds {
        fixture.handle(Event::StatusAnswered {
            group: GROUP,
            member,
            status: Some(status(false, term - 1, (term - 1, 10), term)),
        });
    }
    let recorded = |effect: &Effect| matches!(effect, Effect::StoreClaim { .. });
    let mut waited_ms = 0;
    while !fixture.effects.iter().any(recorded) {
        fixture.advance(100);
        waited_ms += 100;
        assert!(waited_ms < 2_000, "the choice is never written");
    }
    waited_ms
}

#[test]
fn promotion_waits_for_end_of_leases() {
    assert_eq!(time_from_hold_to_record_ms(Fixture::new()), 0);
    assert_eq!(time_from_hold_to_record_ms(Fixture::unfenced()), LEASE_MS);
}

#[test]
fn claim_row_of_earlier_release_can_be_read_and_reads_new_rows() {
    #[derive(serde::Serialize, serde::Deserialize, Debug, PartialEq)]
    struct Earlier {
        holder: Box<str>,
        token: u64,
        target: Option<Box<str>>,
        settled: bool,
        until_ms: u64,
    }
    let earlier = Earlier {
        holder: "proxy-1-0".into(),
        token: 7,
        target: Some("member-2".into()),
        settled: false,
        until_ms: 900,
    };
    let bytes = postcard::to_stdvec(&earlier).expect("plain values encode");
    let mut claim = Claim::from_bytes(&bytes).expect("the row is valid");
    assert_eq!((claim.token, claim.order_ends_ms), (7, 0));
    claim.order_ends_ms = 12_000;
    assert_eq!(
        Claim::from_bytes(&claim.to_bytes()).ok(),
        Some(claim.clone())
    );
    let read: Earlier =
        postcard::from_bytes(&claim.to_bytes()).expect("trailing bytes are ignored");
    assert_eq!(read, earlier);
}
