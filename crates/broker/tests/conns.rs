//! Connections to members.

mod support;

use fulmarlift_broker::effect::Effect;
use std::time::Duration;

use fulmarlift_broker::event::{Answer, Event, OpenFailure, Report};
use fulmarlift_broker::request::Requirement;
use rstest::rstest;
use support::World;

/// Load: thirty writes wait at a member that has no connection left for a second.
#[test]
fn open_stays_rare_while_member_is_full() {
    let mut world = World::new();
    for _ in 0..30 {
        world.arrive(Requirement::Leader);
    }
    let mut opened = 0;
    for _ in 0..10 {
        for effect in world.take() {
            if let Effect::Open { conn, .. } = effect {
                opened += 1;
                let failure = OpenFailure::Full;
                world.handle(Event::OpenFailed { conn, failure });
            }
        }
        world.pass(100);
    }
    assert!(
        (1..=12).contains(&opened),
        "{opened} connections were tried"
    );
}

/// Load: overload. Statements whose turn comes late are given up soon after they were sent; their member is not to blame.
#[rstest]
#[case::soon(50, false)]
#[case::after_a_while(400, true)]
fn silence_counts_once_it_has_lasted(#[case] took_ms: u64, #[case] suspect: bool) {
    let mut world = World::new();
    world.arrive(Requirement::Leader);
    world.open_all();
    let grant = world.grants().remove(0);
    world.now += Duration::from_millis(took_ms);
    world.handle(Event::StatementEnded(Report {
        member: grant.member,
        answer: Answer::Silent { commit: false },
        point: None,
        floor: None,
        took: Some(Duration::from_millis(took_ms)),
    }));
    assert_eq!(world.broker.is_suspect(grant.member), suspect);
}
