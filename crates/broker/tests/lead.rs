//! Beliefs about leaders.

mod support;

use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{Event, OpenFailure};
use fulmarlift_broker::request::Need;
use support::{World, member_at};

/// Ends every attempt to reach a member as if its process were gone.
fn refuse_all(world: &mut World) {
    for effect in world.take() {
        if let Effect::Open { conn, .. } = effect {
            let failure = OpenFailure::Refused;
            world.handle(Event::OpenFailed { conn, failure });
        }
    }
}

#[test]
fn elect_follows_claim_newer_than_dead_leader() {
    let mut world = World::new();
    assert_eq!(world.leader(), Some(1));
    for _ in 0..4 {
        world.arrive(Need::Lead);
        refuse_all(&mut world);
        world.pass(200);
    }
    // The old leader's entry still says that it leads when another's begins to.
    let mut claims = member_at(2, "b", true);
    claims.revision = 9;
    world.handle(Event::Listed(claims));
    assert_eq!(world.leader(), Some(2));
    world.handle(Event::Unlisted {
        name: "member-1".into(),
        revision: 99,
    });
    world.pass(3_000);
    assert_eq!(world.leader(), Some(2));
}

#[test]
fn elect_keeps_leader_seen_after_older_claim() {
    let mut world = World::new();
    world.arrive(Need::Lead);
    world.open_all();
    let grant = world.grants().remove(0);
    let asked_at = world.now;
    let led = fulmarlift_broker::event::Answer::Led {
        asked_at,
        commit: true,
    };
    let point = Some(fulmarlift_core::floor::Point::new(3, 10));
    world.finish(&grant, led, point);
    // Another entry changes in something else than its claim to lead.
    let mut other = member_at(2, "b", false);
    other.revision = 9;
    world.handle(Event::Listed(other));
    assert_eq!(world.leader(), Some(1));
}
