//! Workspaces: their keys, and how their requests share the connections to a member and the place in the queue.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::effect::{Effect, StateChange};
use fulmarlift_broker::event::{Answer, Event};
use fulmarlift_broker::queue::Queue;
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::topology::{Route, Topology};
use fulmarlift_broker::topology_change::TopologyChange;
use fulmarlift_broker::workspace::{KeyDigest, RateLimit, Registry, Unauthorized, Workspace};
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let mut keys: Vec<KeyDigest> = keys
        .iter()
        .map(|key| KeyDigest::of(key.as_bytes()))
        .collect();
    keys.sort_unstable();
    Workspace {
        name: name.into(),
        limit: Some(RateLimit::new(10.0, 5.0)),
        keys,
    }
}

fn with_workspaces(version: u64, workspaces: Vec<Workspace>) -> Topology {
    let mut topology = support::topology();
    topology.version = version;
    topology.workspaces = Some(Registry::from(workspaces));
    topology
}

fn request(id: u64, workspace: &str, at: Instant) -> Request {
    Request {
        id,
        group: GROUP,
        requirement: Requirement::Leader,
        priority: 1,
        objective_at: at + Duration::from_millis(800),
        deadline: at + Duration::from_millis(2_000),
        avoid: None,
        hedge: false,
        forwarded: false,
        workspace: Some(id::of(workspace)),
    }
}

/// An unknown key was served, or a caller was served in the name of another workspace.
#[rstest]
#[case::first_key("k1", false, Ok(Some(id::of("mill"))))]
#[case::second_key("k2", false, Ok(Some(id::of("mill"))))]
#[case::other_workspace("k3", false, Ok(Some(id::of("port"))))]
#[case::unknown("k4", false, Err(Unauthorized))]
#[case::prefix("k", false, Err(Unauthorized))]
#[case::anonymous("k4", true, Ok(None))]
#[case::known_on_anonymous_route("k3", true, Ok(Some(id::of("port"))))]
fn authorize_by_key(
    #[case] key: &str,
    #[case] allows_anonymous: bool,
    #[case] expected: Result<Option<id::WorkspaceId>, Unauthorized>,
) {
    let workspaces = vec![workspace("mill", &["k1", "k2"]), workspace("port", &["k3"])];
    let topology = with_workspaces(2, workspaces);
    let route = Route {
        allows_anonymous,
        ..topology.routes()[0].clone()
    };
    let digest = KeyDigest::of(key.as_bytes());
    assert_eq!(topology.authorize(&route, &digest), expected);
    let without = support::topology();
    assert_eq!(without.authorize(&route, &digest), Ok(None));
}

/// A digest, from which a weak key could be guessed, got into a log.
#[test]
fn key_digest_is_not_formatted() {
    let topology = with_workspaces(2, vec![workspace("mill", &["k1"])]);
    let text = format!("{topology:?}");
    assert!(text.contains("KeyDigest(..)") && !text.contains("k1"));
}

/// A proxy that learns of a version from another one kept a removed key, or lost a workspace.
#[test]
fn change_between_versions_carries_workspaces() {
    let first = with_workspaces(
        2,
        vec![workspace("mill", &["k1", "k2"]), workspace("port", &["k3"])],
    );
    let second = with_workspaces(
        3,
        vec![workspace("mill", &["k2"]), workspace("yard", &["k5"])],
    );
    let without = {
        let mut topology = support::topology();
        topology.version = 4;
        topology
    };
    for (base, next) in [(&first, &second), (&second, &without), (&without, &first)] {
        let change = TopologyChange::between(base, next);
        assert_eq!(change.apply(base).as_ref(), Some(next));
    }
}

/// A statement of one workspace ran on a connection of another one.
#[test]
fn grant_uses_connection_of_workspace() {
    let mut fixture = Fixture::new();
    let topology = with_workspaces(
        9,
        vec![workspace("mill", &["k1"]), workspace("port", &["k3"])],
    );
    fixture.handle(Event::Configured(topology));
    let now = fixture.now;
    fixture.handle(Event::Arrived(request(901, "mill", now)));
    let opened = fixture.open_all();
    assert_eq!(opened.len(), 1);
    assert_eq!(
        fixture.broker.conn_workspace(opened[0]),
        Some(id::of("mill"))
    );
    let grant = fixture.take_grants().remove(0);
    assert_eq!(grant.conn, opened[0]);
    fixture.end_statement(&grant, Answer::Served, None);
    fixture.handle(Event::Arrived(request(902, "port", now)));
    assert_eq!(
        fixture.take_grants().len(),
        0,
        "the idle connection serves another workspace"
    );
    let opened = fixture.open_all();
    assert_eq!(
        fixture.broker.conn_workspace(opened[0]),
        Some(id::of("port"))
    );
    assert_eq!(fixture.take_grants().len(), 1);
}

/// With all connections of its share held by idle workspaces, a proxy served no further workspace, or opened more than its share.
#[test]
fn idle_connection_is_replaced_where_share_is_used_up() {
    let names: Vec<String> = (0..40).map(|number| format!("w{number}")).collect();
    let workspaces = names.iter().map(|name| workspace(name, &[name])).collect();
    let mut fixture = Fixture::new();
    fixture.handle(Event::Configured(with_workspaces(9, workspaces)));
    let (mut open, mut moved) = (0_i64, 0);
    for (number, name) in names.iter().enumerate() {
        fixture.now += Duration::from_millis(50);
        fixture.trust_leader();
        fixture.take_effects();
        let now = fixture.now;
        fixture.handle(Event::Arrived(request(900 + number as u64, name, now)));
        for effect in &fixture.effects {
            match effect {
                Effect::Open { .. } => open += 1,
                Effect::Close(_) => open -= 1,
                Effect::RecordChange(StateChange::ConnectionMoved { .. }) => moved += 1,
                _ => {}
            }
        }
        fixture.open_all();
        let grants = fixture.take_grants();
        assert_eq!(grants.len(), 1, "{name} is served");
        fixture.end_statement(&grants[0], Answer::Served, None);
        fixture.take_effects();
    }
    let group = fixture.broker.topology().groups.get(GROUP);
    let connections_max = group.map_or(0, |group| i64::from(group.connections_max));
    assert!(open <= connections_max / 2, "{open} connections stay open");
    assert!(moved > 0);
}

/// One workspace that sends ten times as much as each of five others made them wait behind its backlog.
#[test]
fn order_of_hot_workspace_leaves_others_in_front() {
    let at = Instant::now();
    let mut queue = Queue::default();
    let mut next = 0;
    let mut waits: Vec<(u64, usize)> = Vec::new();
    let mut arrived: Vec<(u64, usize)> = Vec::new();
    for round in 0..100 {
        for _ in 0..10 {
            next += 1;
            queue.push(at, request(next, "hot", at));
        }
        if round % 2 == 0 {
            next += 1;
            let name = format!("small-{}", round / 2 % 5);
            queue.push(at, request(next, &name, at));
            arrived.push((next, round));
        }
        // Five requests are served in the time in which ten or eleven arrive.
        for _ in 0..5 {
            let served = queue.in_order(at)[0].id;
            queue.remove(served, true);
            if let Some((id, since)) = arrived.iter().find(|(id, _)| *id == served) {
                waits.push((*id, round - since));
            }
        }
    }
    assert_eq!(waits.len(), arrived.len(), "each small request is served");
    assert!(waits.iter().all(|(_, rounds)| *rounds <= 1), "{waits:?}");
}
