//! Beliefs about leaders.

mod support;

use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{Answer, Event, OpenFailure, Report};
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use std::time::Duration;
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
        world.arrive(Requirement::Leader);
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
    world.arrive(Requirement::Leader);
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

/// Reports how a commit on the leader ended, that took 760 ms.
fn commit(world: &mut World, answer: Answer) {
    world.handle(Event::StatementEnded(Report {
        member: 1,
        answer,
        point: Some(Point::new(3, 10)),
        floor: None,
        took: Some(Duration::from_millis(760)),
    }));
}

fn claims(world: &mut World) -> usize {
    let claims = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    world.take().iter().filter(|effect| claims(effect)).count()
}

#[test]
fn verdict_replaces_leader_whose_commits_do_not_end() {
    let mut world = World::new();
    let lost = Answer::Silent { commit: true };
    commit(&mut world, lost);
    commit(&mut world, lost);
    world.pass(800);
    assert_eq!(claims(&mut world), 1, "1.5 s after the first was sent");
}

#[test]
fn verdict_keeps_leader_that_others_commit_at() {
    let mut world = World::new();
    let lost = Answer::Silent { commit: true };
    let ended = Answer::Led {
        asked_at: world.now,
        commit: true,
    };
    for _ in 0..10 {
        commit(&mut world, ended);
        commit(&mut world, lost);
        commit(&mut world, lost);
        world.pass(500);
    }
    assert_eq!(claims(&mut world), 0);
}
