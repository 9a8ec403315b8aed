//! Members whose answers are malformed: which reads they get, and that nothing else depends on it (issue 61).

mod support;

use fulmarlift_broker::effect::{Effect, Grant, StateChange};
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, member_at, version};

/// Malformed answers after which the broker avoids a member.
const ANSWERS_MIN: usize = 3;

/// Creates a proxy in domain b, whose nearest member is the replica 2, and that knows the end of the leader's log.
fn fixture() -> Fixture {
    let mut fixture = Fixture::in_domain("b");
    let write = take_grant(&mut fixture, Requirement::Leader);
    let committed = Answer::Led {
        sent_at: fixture.now,
        commit: true,
    };
    fixture.end_statement(&write, committed, Some(Point::new(1, 5)));
    fixture
}

/// Lets the leader tell the end of its log, and returns the requirement of a read.
fn read(fixture: &mut Fixture) -> Requirement {
    let answer = Answer::Led {
        sent_at: fixture.now,
        commit: false,
    };
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer,
        point: Some(Point::new(1, 5)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    Requirement::Recent {
        acknowledged_before: fixture.now - std::time::Duration::from_millis(100),
        session_commit: None,
    }
}

/// Returns the grant of a request, for which connections are opened if need be.
fn take_grant(fixture: &mut Fixture, requirement: Requirement) -> Grant {
    fixture.add_request(requirement);
    fixture.open_all();
    let mut grants = fixture.take_grants();
    grants.pop().expect("the request is granted")
}

/// Runs a read and returns the member that got it.
fn run_read(fixture: &mut Fixture, answer: Answer) -> id::MemberId {
    let requirement = read(fixture);
    let grant = take_grant(fixture, requirement);
    let point = (answer == Answer::Served).then_some(Point::new(1, 5));
    fixture.end_statement(&grant, answer, point);
    grant.member
}

/// Reports a malformed answer of the nearest member.
fn answer_malformed(fixture: &mut Fixture) {
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 2,
        answer: Answer::Malformed,
        point: None,
        floor: None,
        connected_at: None,
        took: None,
    }));
}

fn avoid_nearest(fixture: &mut Fixture) {
    for _ in 0..ANSWERS_MIN {
        answer_malformed(fixture);
    }
}

/// Takes what the log tells of members that are avoided, and of those that are used again.
fn take_changes(fixture: &mut Fixture) -> Vec<(id::MemberId, bool)> {
    let change = |effect| match effect {
        Effect::RecordChange(StateChange::Avoided { member, until, .. }) => {
            Some((member, until.is_some()))
        }
        _ => None,
    };
    fixture
        .take_effects()
        .into_iter()
        .filter_map(change)
        .collect()
}

#[test]
fn member_with_malformed_answers_is_logged_and_used_again() {
    let mut fixture = fixture();
    avoid_nearest(&mut fixture);
    assert_eq!(take_changes(&mut fixture), [(2, true)]);
    assert_ne!(run_read(&mut fixture, Answer::Served), 2);
    // The statement errors of that time are forgotten as well.
    fixture.advance(12_000);
    assert_eq!(take_changes(&mut fixture), [(2, false)]);
    assert_eq!(run_read(&mut fixture, Answer::Served), 2);
}

/// The only member of the region answers each read malformed for a minute; all others answer.
#[test]
fn member_with_malformed_answers_costs_few_reads() {
    let mut fixture = fixture();
    for (member, domain) in [(1, "a"), (3, "c")] {
        let mut far = member_at(member, domain, member == 1);
        far.place.region = "south".into();
        far.revision = version(10);
        fixture.handle(Event::Listed(far));
    }
    let mut malformed = 0;
    for _ in 0..600 {
        let requirement = read(&mut fixture);
        let grant = take_grant(&mut fixture, requirement);
        let answer = match grant.member {
            2 => Answer::Malformed,
            _ => Answer::Served,
        };
        malformed += usize::from(grant.member == 2);
        let point = (answer == Answer::Served).then_some(Point::new(1, 5));
        fixture.end_statement(&grant, answer, point);
        fixture.advance(100);
    }
    assert!(malformed <= 16, "{malformed}");
}

#[test]
fn avoidance_grows_with_each_malformed_answer_and_is_bounded() {
    let mut fixture = fixture();
    avoid_nearest(&mut fixture);
    let mut lasted_ms = Vec::new();
    for _ in 0..8 {
        take_changes(&mut fixture);
        let mut waited_ms = 0;
        while take_changes(&mut fixture).is_empty() {
            fixture.advance(100);
            waited_ms += 100;
        }
        lasted_ms.push(waited_ms);
        answer_malformed(&mut fixture);
    }
    assert!(lasted_ms.is_sorted(), "{lasted_ms:?}");
    assert_eq!(lasted_ms.first(), Some(&500));
    assert_eq!(lasted_ms.last(), Some(&8_000));
}

/// The rows of one table may be malformed while those of others are not.
#[test]
fn member_is_not_avoided_for_single_malformed_answers() {
    let mut fixture = fixture();
    for _ in 0..20 {
        run_read(&mut fixture, Answer::Malformed);
        run_read(&mut fixture, Answer::Served);
        run_read(&mut fixture, Answer::Served);
    }
    assert_eq!(take_changes(&mut fixture), []);
}

#[test]
fn usable_answer_ends_avoidance() {
    let mut fixture = fixture();
    let requirement = read(&mut fixture);
    let late = take_grant(&mut fixture, requirement);
    avoid_nearest(&mut fixture);
    fixture.end_statement(&late, Answer::Served, Some(Point::new(1, 5)));
    assert_eq!(take_changes(&mut fixture), [(2, true), (2, false)]);
}

/// A wrong belief must not make a group unservable.
#[test]
fn reads_are_served_though_all_members_are_avoided() {
    let mut fixture = fixture();
    let mut asked = Vec::new();
    for _ in 0..30 {
        asked.push(run_read(&mut fixture, Answer::Malformed));
    }
    let mut avoided: Vec<_> = take_changes(&mut fixture);
    avoided.sort_unstable();
    assert_eq!(avoided, [(1, true), (2, true), (3, true)]);
    for member in 1..=3 {
        assert!(asked.contains(&member));
    }
    run_read(&mut fixture, Answer::Served);
}

/// A leader whose answers are malformed is neither replaced nor left without writes.
#[rstest]
#[case::fenced(Fixture::new())]
#[case::unfenced(Fixture::unfenced())]
fn malformed_answers_do_not_replace_leader(#[case] mut fixture: Fixture) {
    for _ in 0..50 {
        let grants = match fixture.leader() {
            Some(1) => {
                fixture.add_request(Requirement::Leader);
                fixture.open_all();
                fixture.take_grants()
            }
            other => panic!("{other:?} leads"),
        };
        for grant in grants {
            assert_eq!(grant.member, 1);
            fixture.end_statement(&grant, Answer::Malformed, None);
        }
    }
    let replaces = |effect: &Effect| {
        matches!(
            effect,
            Effect::RecordChange(StateChange::Failover { .. }) | Effect::OrderPromotion { .. }
        )
    };
    assert!(!fixture.take_effects().iter().any(replaces));
}
