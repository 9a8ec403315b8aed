//! Homes, and what is forwarded to them.

mod support;

use std::time::Duration;

use fulmarlift_broker::effect::{Effect, Grant};
use fulmarlift_broker::event::{Answer, Event, OpenFailure, Report};
use fulmarlift_broker::homes::{self, Candidate};
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::topology::{Member, Peer, Topology};
use fulmarlift_core::id;
use support::{GROUP, World, place};

fn candidates<'a>(names: &[(&str, &'a str)]) -> Vec<Candidate<'a>> {
    let candidate = |(name, domain): &(&str, &'a str)| Candidate {
        proxy: id::of(name),
        domain,
    };
    names.iter().map(candidate).collect()
}

const PROXIES: [(&str, &str); 8] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("a4", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("b3", "b"),
    ("c1", "c"),
];

#[test]
fn choose_takes_two_of_each_domain_with_members() {
    let chosen = homes::choose(1, &["a", "b"], &candidates(&PROXIES));
    assert_eq!(chosen.len(), 4);
    assert!(!chosen.contains(&id::of("c1")), "no member is in domain c");
}

#[test]
fn choose_moves_one_home_when_one_proxy_leaves() {
    let all = candidates(&PROXIES);
    let before = homes::choose(1, &["a"], &all);
    let left: Vec<_> = all
        .iter()
        .filter(|candidate| candidate.proxy != before[0])
        .copied()
        .collect();
    let after = homes::choose(1, &["a"], &left);
    let kept = before.iter().filter(|home| after.contains(home)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn choose_takes_everyone_where_no_proxy_is_near() {
    let chosen = homes::choose(1, &["x"], &candidates(&PROXIES));
    assert_eq!(chosen.len(), PROXIES.len());
}

/// A proxy in a domain without members, beside two in each domain that has one.
fn far_proxy() -> World {
    let mut world = World::at("far");
    for domain in ["a", "b", "c"] {
        for nth in 1..=2 {
            world.handle(Event::PeerListed(Peer {
                name: format!("{domain}{nth}").into(),
                address: ([127, 0, 0, 1], 7000 + nth).into(),
                updates_address: ([127, 0, 0, 1], 8000 + nth).into(),
                place: place(domain),
            }));
        }
    }
    world.effects.clear();
    world
}

#[test]
fn arrived_is_forwarded_by_proxy_that_is_no_home() {
    let mut world = far_proxy();
    world.arrive(Requirement::Leader);
    world.open_all();
    let grant = world.grants().remove(0);
    assert!(world.broker.is_peer(grant.member));
    assert!(!grant.verify, "the home looks after its leader");
}

#[test]
fn arrived_is_served_here_when_no_home_can_be_reached() {
    let mut world = far_proxy();
    for _ in 0..20 {
        world.arrive_within(Requirement::Leader, 2_000, 2_000);
        for effect in world.take() {
            if let Effect::Open { conn, member } = effect {
                let failure = OpenFailure::Refused;
                match world.broker.is_peer(member) {
                    true => world.handle(Event::OpenFailed { conn, failure }),
                    false => world.handle(Event::Opened(conn)),
                }
            }
        }
        let granted = world.grants();
        if let Some(grant) = granted.first() {
            assert!(!world.broker.is_peer(grant.member));
            return;
        }
        world.pass(20);
    }
    panic!("no request was served here");
}

#[test]
fn arrived_is_not_forwarded_twice() {
    let mut world = far_proxy();
    let now = world.now;
    world.handle(Event::Arrived(Request {
        id: 900,
        group: GROUP,
        requirement: Requirement::Leader,
        priority: 1,
        objective_at: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(800),
        avoid: None,
        hedge: false,
        forwarded: true,
    }));
    world.open_all();
    let grant = world.grants().remove(0);
    assert!(!world.broker.is_peer(grant.member));
}

#[test]
fn tick_opens_nothing_before_other_proxies_are_known() {
    let mut world = World::unread("a");
    world.pass(2_000);
    let opens = |effect: &Effect| matches!(effect, Effect::Open { .. });
    assert!(!world.effects.iter().any(opens));
}

const OTHER_GROUP: id::GroupId = 8;

/// Adds a second group with a member of its own, which has the same homes.
fn add_group(world: &mut World) {
    let first = support::topology();
    let group = first.groups.get(GROUP).expect("it is configured").clone();
    let routes = first
        .route(support::DATABASE)
        .cloned()
        .into_iter()
        .collect();
    let groups = vec![(GROUP, group.clone()), (OTHER_GROUP, group)];
    world.handle(Event::Configured(Topology::new(2, routes, groups)));
    for (member, domain) in [(4, "a"), (5, "b"), (6, "c")] {
        world.handle(Event::Listed(Member {
            group: OTHER_GROUP,
            ..support::member_at(member, domain, member == 4)
        }));
    }
    world.pass(100);
    world.effects.clear();
}

fn arrive_at(world: &mut World, group: id::GroupId, id: id::RequestId) {
    let now = world.now;
    world.handle(Event::Arrived(Request {
        id,
        group,
        requirement: Requirement::Leader,
        priority: 1,
        objective_at: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(800),
        avoid: None,
        hedge: false,
        forwarded: false,
    }));
}

/// Ends a statement without an answer in time.
fn silence(world: &mut World, grant: &Grant, took_ms: u64) {
    world.handle(Event::StatementEnded(Report {
        member: grant.member,
        answer: Answer::Silent { commit: false },
        point: None,
        floor: None,
        took: Some(Duration::from_millis(took_ms)),
    }));
    world.handle(Event::Returned {
        conn: grant.conn,
        reusable: false,
    });
}

/// Keeps so many statements under way that every home would get one.
fn spread_over_homes(world: &mut World, group: id::GroupId) -> Vec<Grant> {
    let mut grants = Vec::new();
    for id in 800..830 {
        arrive_at(world, group, id);
        world.open_all();
        grants.extend(world.grants());
    }
    grants
}

fn home_name(world: &World, member: id::MemberId) -> Box<str> {
    let home = world.broker.member(member).expect("it is known");
    home.name.clone()
}

#[test]
fn silent_home_is_avoided_for_other_groups_too() {
    let mut world = far_proxy();
    add_group(&mut world);
    world.arrive(Requirement::Leader);
    world.open_all();
    let grant = world.grants().remove(0);
    let silent = home_name(&world, grant.member);
    world.now += Duration::from_millis(760);
    silence(&mut world, &grant, 760);
    let used = spread_over_homes(&mut world, OTHER_GROUP);
    assert!(used.len() > 1);
    assert!(
        used.iter()
            .all(|grant| home_name(&world, grant.member) != silent)
    );
}

#[test]
fn arrived_does_not_wait_for_home_that_has_failed() {
    let mut world = far_proxy();
    world.arrive(Requirement::Leader);
    world.open_all();
    let grant = world.grants().remove(0);
    world.now += Duration::from_millis(760);
    silence(&mut world, &grant, 760);
    world.effects.clear();
    // Its rest is over, but nothing shows that it is back.
    world.pass(200);
    world.arrive(Requirement::Leader);
    let tried = open_but(&mut world, |member| member == grant.member);
    assert!(tried, "it is tried in the background");
    let granted = world.grants();
    assert_eq!(granted.len(), 1, "another home takes the request meanwhile");
}

#[test]
fn home_that_is_back_is_used_for_all_groups() {
    let mut world = far_proxy();
    add_group(&mut world);
    arrive_at(&mut world, OTHER_GROUP, 901);
    world.open_all();
    let first = world.grants().remove(0);
    world.finish(&first, Answer::Served, None);
    world.now += Duration::from_millis(10);
    world.arrive(Requirement::Leader);
    world.open_all();
    let grant = world.grants().remove(0);
    world.now += Duration::from_millis(760);
    silence(&mut world, &grant, 760);
    world.effects.clear();
    world.pass(200);
    world.arrive(Requirement::Leader);
    world.open_all();
    let name = home_name(&world, grant.member);
    assert!(!world.broker.is_suspect(id::member(GROUP, &name)));
    assert!(!world.broker.is_suspect(id::member(OTHER_GROUP, &name)));
}

#[test]
fn silent_statement_says_nothing_about_home_that_answers_others() {
    let mut world = far_proxy();
    world.arrive(Requirement::Leader);
    world.open_all();
    let silent = world.grants().remove(0);
    world.now += Duration::from_millis(400);
    let others = spread_over_homes(&mut world, GROUP);
    let same = others.iter().find(|grant| grant.member == silent.member);
    let other = same.expect("it serves another one");
    world.finish(other, Answer::Served, None);
    world.now += Duration::from_millis(360);
    silence(&mut world, &silent, 760);
    assert!(!world.broker.is_suspect(silent.member));
}

#[test]
fn arrived_does_not_wait_for_home_that_was_never_reached() {
    let mut world = far_proxy();
    world.arrive(Requirement::Leader);
    let first = world.take().into_iter().find_map(|effect| match effect {
        Effect::Open { conn, member } => Some((conn, member)),
        _ => None,
    });
    let (conn, home) = first.expect("a connection is opened");
    world.handle(Event::Opened(conn));
    assert_eq!(world.grants().len(), 1);
    // It has work, so that another one would be a little cheaper.
    world.arrive(Requirement::Leader);
    let tried = open_but(&mut world, |member| member != home);
    let granted = world.grants();
    assert_eq!(granted.len(), 1, "the home that answers takes it");
    assert_eq!(granted[0].member, home);
    assert!(!tried, "the others are being tried already");
}

/// Opens all connections that are asked for, but for some; returns whether there were such.
fn open_but(world: &mut World, but: impl Fn(id::MemberId) -> bool) -> bool {
    let mut seen = false;
    for effect in world.take() {
        match effect {
            Effect::Open { member, .. } if but(member) => seen = true,
            Effect::Open { conn, .. } => world.handle(Event::Opened(conn)),
            other => world.effects.push(other),
        }
    }
    seen
}

/// Load: what needs the leader would cross two domains by way of a home elsewhere.
#[test]
fn arrived_for_leader_is_forwarded_to_its_domain() {
    let mut world = far_proxy();
    for (leader, domain) in [(1, "a"), (2, "b"), (3, "c")] {
        world.handle(Event::Listed(Member {
            revision: 10 + leader,
            ..support::member_at(leader, domain, true)
        }));
        world.pass(100);
        world.arrive(Requirement::Leader);
        world.open_all();
        for grant in world.grants() {
            let home = world.broker.member(grant.member).expect("it is known");
            assert_eq!(*home.place.domain, *domain, "member {leader} leads there");
            world.finish(&grant, Answer::Served, None);
        }
    }
}

/// Load: a home that is overloaded refuses at once. Its quick answers must not draw everybody's requests there.
#[test]
fn home_that_refuses_is_left_for_another() {
    let mut world = far_proxy();
    let mut served = 0;
    let mut refusing = None;
    for _ in 0..40 {
        world.arrive(Requirement::Leader);
        world.open_all();
        for grant in world.grants() {
            let refuses = *refusing.get_or_insert(grant.member) == grant.member;
            served += usize::from(!refuses);
            let answer = if refuses {
                Answer::Busy
            } else {
                Answer::Served
            };
            let took_ms = if refuses { 1 } else { 30 };
            world.now += Duration::from_millis(took_ms);
            world.handle(Event::StatementEnded(Report {
                member: grant.member,
                answer,
                point: None,
                floor: None,
                took: Some(Duration::from_millis(took_ms)),
            }));
            let (conn, reusable) = (grant.conn, true);
            world.handle(Event::Returned { conn, reusable });
        }
    }
    assert!(served >= 25, "{served} of 40");
}

/// Load: a home is restarted. Each of its connections would break under another attempt of the same statement.
#[test]
fn broken_connection_closes_others_to_the_same_home() {
    let mut world = far_proxy();
    let mut held = Vec::new();
    for _ in 0..12 {
        world.arrive(Requirement::Leader);
        world.open_all();
        held.extend(world.grants());
    }
    let home = held[0].member;
    let there: Vec<_> = held
        .iter()
        .filter(|grant| grant.member == home)
        .cloned()
        .collect();
    assert!(there.len() > 1);
    for grant in &there[1..] {
        world.finish(grant, Answer::Served, None);
    }
    world.effects.clear();
    world.handle(Event::StatementEnded(Report {
        member: home,
        answer: Answer::Broken,
        point: None,
        floor: None,
        took: Some(Duration::from_millis(1)),
    }));
    let closed = |effect: &Effect| matches!(effect, Effect::Close(conn) if there[1..].iter().any(|grant| grant.conn == *conn));
    let closed = world.effects.iter().filter(|effect| closed(effect)).count();
    assert_eq!(closed, there.len() - 1);
}
