//! Search for a leader while the store cannot be read.

mod support;

use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport};
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use support::{Fixture, GROUP, status};

/// Another proxy has replaced the leader. This one reaches the members, but neither the old leader nor the store. Its callers'
/// writes must be served by the new leader before the store answers again.
#[test]
fn new_leader_is_found_while_store_does_not_answer() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(1, 4)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    fixture.trust_leader();
    let mut served_by = None;
    for _ in 0..50 {
        fixture.add_request(Requirement::Leader);
        for effect in fixture.take_effects() {
            match effect {
                Effect::Open { conn, member: 1 } => {
                    let failure = OpenFailure::Silent;
                    fixture.handle(Event::OpenFailed { conn, failure });
                }
                Effect::Open { conn, .. } => fixture.handle(Event::Opened(conn)),
                Effect::LoadClaim(group) => {
                    let stored = None;
                    fixture.handle(Event::ClaimLoaded {
                        group,
                        asked_at: fixture.now,
                        stored,
                    });
                }
                Effect::AskStatus { conn, member, .. } => {
                    let status = Some(status(member == 2, 2, (1, 5), 0));
                    let asked_at = fixture.now;
                    fixture.handle(Event::LeaseAnswered {
                        group: GROUP,
                        member,
                        asked_at,
                        status,
                    });
                    let reusable = true;
                    fixture.handle(Event::Returned { conn, reusable });
                }
                Effect::Grant(grant) => served_by = Some(grant.member),
                _ => {}
            }
        }
        fixture.advance(100);
    }
    assert_eq!(fixture.leader(), Some(2));
    assert_eq!(served_by, Some(2));
}

/// Nobody needs the leader of an idle group in a hurry, and each question takes a slot of the member.
#[test]
fn members_are_not_asked_while_leader_is_usable() {
    let mut fixture = Fixture::new();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    fixture.advance(2_000);
    let effects = fixture.take_effects();
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::AskStatus { .. }))
    );
}
