//! Which member serves a read, under load and with replicas that are behind.

mod support;

use fulmarlift_broker::effect::{Effect, Grant};
use fulmarlift_broker::event::{Answer, Event, Report};
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::topology::Peer;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use std::time::Duration;
use support::{GROUP, World};

/// Gives the world a sample of the leader's log, as a write's end does.
fn sample(world: &mut World, position: u64) {
    world.arrive(Requirement::Leader);
    world.open_all();
    let grant = world.grants().remove(0);
    let led = Answer::Led {
        asked_at: world.now,
        commit: true,
    };
    world.finish(&grant, led, Some(Point::new(3, position)));
}

fn recent(world: &World, session_commit: Option<Point>) -> Requirement {
    let since = world.now - Duration::from_millis(1_500);
    Requirement::Recent {
        since,
        session_commit,
    }
}

/// Lets a read arrive and returns what it is granted, connections being opened as they are wanted.
fn read(world: &mut World, session_commit: Option<Point>) -> Grant {
    let requirement = recent(world, session_commit);
    world.arrive(requirement);
    world.open_all();
    world.grants().remove(0)
}

#[test]
fn read_goes_to_near_replica_rather_than_far_one() {
    let mut world = World::at("b");
    sample(&mut world, 10);
    assert_eq!(read(&mut world, None).member, 2);
}

#[test]
fn behind_keeps_replica_for_reads_that_ask_for_less() {
    let mut world = World::at("b");
    sample(&mut world, 10);
    let session_commit = Some(Point::new(3, 12));
    let grant = read(&mut world, session_commit);
    assert_eq!((grant.member, grant.floor), (2, session_commit));
    world.finish(&grant, Answer::Behind, Some(Point::new(3, 11)));
    let other = read(&mut world, None);
    assert_eq!(other.member, 2, "it has what this read asks for");
    world.finish(&other, Answer::Served, Some(Point::new(3, 11)));
    assert_ne!(read(&mut world, session_commit).member, 2);
}

/// Load: everything starts at once, and each home would open as many connections as a lone proxy may use. Each takes a slot
/// for a while, and beyond the slots' number they only move the queue to the member.
#[test]
fn slots_are_shared_by_homes() {
    let granted_at = |peers: &[(&str, &str)]| {
        let mut world = World::at("b");
        for (nth, (name, domain)) in (1..).zip(peers) {
            world.handle(Event::PeerListed(Peer {
                name: (*name).into(),
                address: ([127, 0, 0, 1], 7000 + nth).into(),
                updates_address: ([127, 0, 0, 1], 8000 + nth).into(),
                place: support::place(domain),
            }));
        }
        sample(&mut world, 10);
        let mut held = Vec::new();
        for _ in 0..12 {
            let requirement = recent(&world, None);
            world.arrive(requirement);
            world.open_all();
            held.extend(world.grants());
        }
        held.iter().filter(|grant| grant.member == 2).count()
    };
    assert_eq!(granted_at(&[]), 4, "alone: twice the slots");
    let others = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("c1", "c"),
        ("c2", "c"),
    ];
    assert_eq!(granted_at(&others), 2, "one of six homes");
}

#[test]
fn busy_lets_fewer_statements_run_side_by_side() {
    let mut world = World::at("b");
    sample(&mut world, 10);
    let side_by_side = |world: &mut World| {
        let mut held = Vec::new();
        for _ in 0..12 {
            let requirement = recent(world, None);
            world.arrive(requirement);
            world.open_all();
            held.extend(world.grants());
        }
        let there = held.iter().filter(|grant| grant.member == 2).count();
        for grant in &held {
            let answer = if grant.member == 2 {
                Answer::Busy
            } else {
                Answer::Served
            };
            world.finish(grant, answer, None);
        }
        world.pass(100);
        there
    };
    let before = side_by_side(&mut world);
    let after = side_by_side(&mut world);
    assert_eq!(before, 4, "twice the slots");
    assert!((1..before).contains(&after), "{after} of {before}");
}

/// Load: a slow group. A second attempt must not double it at the member that is slow.
#[test]
fn hedge_is_refused_where_no_other_member_can_serve() {
    let mut world = World::at("a");
    sample(&mut world, 10);
    for member in [2, 3] {
        world.handle(Event::Unlisted {
            name: format!("member-{member}").into(),
            revision: 99,
        });
    }
    let first = read(&mut world, None);
    let now = world.now;
    world.handle(Event::Arrived(Request {
        id: 900,
        group: GROUP,
        requirement: recent(&world, None),
        priority: 1,
        objective_at: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(800),
        avoid: Some(first.member),
        hedge: true,
        forwarded: false,
    }));
    let refused =
        |effect: &Effect| matches!(effect, Effect::Refuse(refusal) if refusal.request == 900);
    assert!(world.effects.iter().any(refused));
}

/// Load: three times what the group can serve. Callers learn at once that their turn would come too late.
#[test]
fn arrived_is_refused_at_once_when_its_turn_comes_too_late() {
    let mut world = World::at("a");
    sample(&mut world, 10);
    let mut running: Vec<(u64, Grant)> = Vec::new();
    let (mut granted, mut refused_late, mut refused) = (0, 0, 0);
    let mut arrived_at: Vec<(id::RequestId, u64)> = Vec::new();
    for ms in 0..3_000_u64 {
        world.now += Duration::from_millis(1);
        if ms % 100 == 0 {
            world.handle(Event::Tick);
        }
        // Three members with two slots and statements of 20 ms serve 300 a second; 900 arrive.
        if ms % 10 != 9 {
            let requirement = recent(&world, None);
            arrived_at.push((world.arrive(requirement), ms));
        }
        world.open_all();
        running.extend(world.grants().into_iter().map(|grant| (ms + 40, grant)));
        let (done, rest) = running.into_iter().partition(|(until, _)| *until <= ms);
        running = rest;
        let done: Vec<(u64, Grant)> = done;
        for (_, grant) in done {
            granted += 1;
            world.handle(Event::StatementEnded(Report {
                member: grant.member,
                answer: Answer::Served,
                point: Some(Point::new(3, 10)),
                floor: grant.floor,
                took: Some(Duration::from_millis(40)),
            }));
            let (conn, reusable) = (grant.conn, true);
            world.handle(Event::Returned { conn, reusable });
        }
        if ms % 500 == 0 {
            sample_now(&mut world);
        }
        world.open_all();
        running.extend(world.grants().into_iter().map(|grant| (ms + 40, grant)));
        for effect in world.take() {
            if let Effect::Refuse(refusal) = effect {
                refused += 1;
                let arrived = arrived_at.iter().find(|(id, _)| *id == refusal.request);
                let waited = arrived.map_or(0, |(_, at)| ms - at);
                refused_late += u32::from(waited > 125);
                assert!(refusal.retry_at > world.now);
            }
        }
    }
    assert!(granted > 700, "{granted} served");
    assert!(refused > 500, "{refused} refused");
    assert!(
        refused_late * 50 < refused,
        "{refused_late} of {refused} refused late"
    );
}

/// A probe's answer, without its connection.
fn sample_now(world: &mut World) {
    let led = Answer::Led {
        asked_at: world.now,
        commit: false,
    };
    world.handle(Event::StatementEnded(Report {
        member: 1,
        answer: led,
        point: Some(Point::new(3, 10)),
        floor: None,
        took: None,
    }));
}

/// Load: everything starts at once, and the first requests wait for connections that are being opened.
#[test]
fn arrived_is_not_refused_while_first_connections_open() {
    let mut world = World::at("a");
    sample_now(&mut world);
    for _ in 0..10 {
        let requirement = recent(&world, None);
        world.arrive(requirement);
        world.now += Duration::from_millis(10);
    }
    let refused = |effect: &Effect| matches!(effect, Effect::Refuse(_));
    assert!(!world.effects.iter().any(refused));
    world.open_all();
    assert!(!world.grants().is_empty());
}

/// Load: callers that come back after an outage bring statements that are late already, among others that are not.
#[test]
fn missed_objective_gives_way_to_those_in_time() {
    let mut world = World::at("b");
    sample(&mut world, 10);
    let held = fill(&mut world);
    let late = world.arrive_within(Requirement::Leader, 0, 800);
    let fresh = world.arrive_within(Requirement::Leader, 500, 800);
    let late_too = world.arrive_within(Requirement::Leader, 0, 800);
    let refused = |effect: &Effect| matches!(effect, Effect::Refuse(_));
    assert!(!world.effects.iter().any(refused), "all can be answered");
    let led = Answer::Led {
        asked_at: world.now,
        commit: true,
    };
    world.finish(&held[0], led, Some(Point::new(3, 11)));
    world.finish(&held[1], led, Some(Point::new(3, 12)));
    world.finish(&held[2], led, Some(Point::new(3, 13)));
    let order: Vec<_> = world.grants().iter().map(|grant| grant.request).collect();
    assert_eq!(order, [fresh, late, late_too]);
}

/// Load: more than can be served. Whoever is about to miss its objective would be served just too late, and so would
/// everyone after it.
#[test]
fn objective_that_cannot_be_met_gives_way() {
    let mut world = World::at("b");
    sample(&mut world, 10);
    let held = fill(&mut world);
    // Answers take 10 ms.
    let hopeless = world.arrive_within(Requirement::Leader, 5, 800);
    let fresh = world.arrive_within(Requirement::Leader, 500, 800);
    let led = Answer::Led {
        asked_at: world.now,
        commit: true,
    };
    world.finish(&held[0], led, Some(Point::new(3, 11)));
    world.finish(&held[1], led, Some(Point::new(3, 12)));
    let order: Vec<_> = world.grants().iter().map(|grant| grant.request).collect();
    assert_eq!(order, [fresh, hopeless]);
}

/// Keeps the leader as busy as is allowed.
fn fill(world: &mut World) -> Vec<Grant> {
    let mut held = Vec::new();
    loop {
        let waiting = world.arrive_within(Requirement::Leader, 2_000, 2_000);
        world.open_all();
        let grants = world.grants();
        if grants.is_empty() {
            world.handle(Event::Abandoned(waiting));
            return held;
        }
        held.extend(grants);
    }
}

/// Load: a member whose health is good fails statements, at once or by breaking connections. Reads are worth the way to
/// another one, and it is tried again after a while.
#[rstest]
#[case::answers(Answer::Failed)]
#[case::resets(Answer::Broken)]
fn reads_leave_member_that_fails_statements(#[case] failure: Answer) {
    let mut world = World::at("b");
    sample(&mut world, 10);
    let mut there = Vec::new();
    for nth in 0..40 {
        let grant = read(&mut world, None);
        there.push(grant.member == 2);
        let fails = grant.member == 2 && nth % 2 == 0;
        let answer = if fails { failure } else { Answer::Served };
        world.now += Duration::from_millis(5);
        world.finish(&grant, answer, Some(Point::new(3, 10)));
        sample_now(&mut world);
    }
    let late = there[20..].iter().filter(|near| **near).count();
    assert!(late <= 5, "{late} of 20 go on to the near one");
    world.now += Duration::from_secs(8);
    sample_now(&mut world);
    assert_eq!(read(&mut world, None).member, 2, "it is tried again");
}

/// Load: overload. A statement that would be given up before its answer is refused as not run instead of being sent.
#[test]
fn grant_is_not_given_when_too_little_time_is_left() {
    let mut world = World::at("a");
    sample(&mut world, 10);
    let held = fill(&mut world);
    let waiting = world.arrive_within(Requirement::Leader, 0, 800);
    // Answers take 10 ms.
    world.now += Duration::from_millis(797);
    let led = Answer::Led {
        asked_at: world.now,
        commit: true,
    };
    world.finish(&held[0], led, Some(Point::new(3, 11)));
    assert!(world.grants().is_empty());
    let refused =
        |effect: &Effect| matches!(effect, Effect::Refuse(refusal) if refusal.request == waiting);
    assert!(world.effects.iter().any(refused));
}
