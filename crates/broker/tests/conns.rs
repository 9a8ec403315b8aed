//! Connections to members.

mod support;

use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{Event, OpenFailure};
use fulmarlift_broker::request::Need;
use support::World;

/// Load: thirty writes wait at a member that has no connection left for a second.
#[test]
fn open_stays_rare_while_member_is_full() {
    let mut world = World::new();
    for _ in 0..30 {
        world.arrive(Need::Lead);
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
