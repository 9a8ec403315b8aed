//! Differences between versions of the configuration.

use fulmarlift_broker::topology::{Consistency, Group, Route, Topology};
use fulmarlift_broker::topology_change::TopologyChange;
use rstest::rstest;

fn route(database: &str, objective_ms: u32) -> Route {
    Route {
        database: database.into(),
        group: 1,
        consistency: Consistency::Leader,
        statement_timeout_ms: 1_000,
        objective_ms,
        priority: 1,
        allows_anonymous: false,
    }
}

fn group(id: u64, connections_max: u32) -> (u64, Group) {
    let group = Group {
        name: format!("group-{id}").into(),
        connections_max,
        sync_replicas: 1,
    };
    (id, group)
}

fn topology(version: u64, routes: &[(&str, u32)], groups: &[(u64, u32)]) -> Topology {
    let routes = routes.iter().map(|(database, ms)| route(database, *ms));
    let groups = groups.iter().map(|(id, max)| group(*id, *max));
    let mut topology = Topology::new(version, routes.collect(), groups.collect());
    topology.transaction_idle_ms = u32::try_from(version).expect("versions are small");
    topology
}

#[rstest]
#[case::nothing(&[("a", 1), ("b", 1)], &[(1, 9)])]
#[case::everything_removed(&[], &[])]
#[case::added_before_and_after(&[("0", 1), ("a", 1), ("b", 1), ("c", 1)], &[(0, 9), (1, 9), (2, 9)])]
#[case::changed(&[("a", 2), ("b", 1)], &[(1, 8)])]
#[case::replaced(&[("c", 1), ("d", 1)], &[(3, 9)])]
fn apply_leads_from_base_to_next(#[case] routes: &[(&str, u32)], #[case] groups: &[(u64, u32)]) {
    let base = topology(3, &[("a", 1), ("b", 1)], &[(1, 9)]);
    let next = topology(7, routes, groups);
    let change = TopologyChange::between(&base, &next);
    assert_eq!(change.apply(&base), Some(next));
}

#[test]
fn apply_refuses_another_base() {
    let base = topology(3, &[("a", 1)], &[]);
    let change = TopologyChange::between(&base, &topology(7, &[("b", 1)], &[]));
    assert_eq!(change.apply(&topology(4, &[("a", 1)], &[])), None);
}
