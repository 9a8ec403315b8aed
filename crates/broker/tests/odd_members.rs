//! Members whose entries decode but are absurd.

mod support;

use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{Answer, Event, OpenFailure};
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::topology::Member;
use fulmarlift_core::floor::Point;
use rstest::rstest;
use support::{Fixture, member_at, version};

fn odd_member() -> Member {
    let mut entry = member_at(4, "d", false);
    entry.revision = version(40);
    entry
}

/// Processes that read an absurd entry among the members ended.
#[rstest]
#[case::most_slots(Member { slots: u32::MAX, ..odd_member() })]
#[case::no_slots(Member { slots: 0, ..odd_member() })]
#[case::port_zero(Member { address: ([127, 0, 0, 1], 0).into(), ..odd_member() })]
#[case::address_of_another(Member { address: ([127, 0, 0, 1], 9001).into(), ..odd_member() })]
#[case::unknown_group(Member { group: 999, ..odd_member() })]
#[case::latest_revision(Member { revision: Revision { era: u64::MAX, version: u64::MAX }, ..odd_member() })]
#[case::no_place(Member { place: support::place(""), ..odd_member() })]
fn requests_are_served_beside_absurd_member(#[case] entry: Member) {
    let mut fixture = Fixture::new();
    let odd = entry.id;
    fixture.handle(Event::Listed(entry));
    let mut served = 0;
    for round in 0..40 {
        if round % 10 == 0 {
            fixture.trust_leader();
        }
        fixture.add_request(Requirement::Leader);
        fixture.add_request(Requirement::Recent {
            acknowledged_before: fixture.now,
            session_commit: None,
        });
        for effect in fixture.take_effects() {
            match effect {
                Effect::Open { conn, member } if member == odd => {
                    let failure = OpenFailure::Refused;
                    fixture.handle(Event::OpenFailed { conn, failure });
                }
                Effect::Open { conn, .. } => fixture.handle(Event::Opened(conn)),
                Effect::Grant(grant) => {
                    served += 1;
                    let sent_at = fixture.now;
                    let commit = false;
                    let answer = match grant.member {
                        1 => Answer::Led { sent_at, commit },
                        _ => Answer::Served,
                    };
                    fixture.end_statement(&grant, answer, Some(Point::new(1, 10)));
                }
                _ => {}
            }
        }
        fixture.advance(100);
    }
    assert!(served > 20, "served {served}");
    assert_eq!(fixture.leader(), Some(1));
}
