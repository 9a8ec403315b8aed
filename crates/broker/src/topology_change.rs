//! Difference between two versions of the configuration, which one proxy sends to another in place of the whole.

use fulmarlift_core::id;
use serde::{Deserialize, Serialize};

use crate::topology;
use crate::workspace;

/// What one version of the configuration changes in another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TopologyChange {
    /// Version in which the change is made.
    pub base_version: u64,
    /// Version that results.
    pub version: u64,
    /// Time for which a transaction may be idle between statements, in milliseconds; 0 means no limit.
    transaction_idle_ms: u32,
    /// Groups that the new version doesn't have, sorted by id.
    removed_groups: Vec<id::GroupId>,
    /// Groups that are new or different, sorted by id.
    groups: Vec<(id::GroupId, topology::Group)>,
    /// Database names of routes that the new version doesn't have, sorted.
    removed_routes: Vec<Box<str>>,
    /// Routes that are new or different, sorted by database name.
    routes: Vec<topology::Route>,
    /// Change of the workspaces; `None` if the new version knows none.
    workspaces: Option<WorkspacesChange>,
}

/// What one version of the configuration changes in the workspaces of another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct WorkspacesChange {
    /// Workspaces that the new version doesn't have, sorted by id.
    removed: Vec<id::WorkspaceId>,
    /// Workspaces that are new or different.
    changed: Vec<workspace::Workspace>,
}

impl WorkspacesChange {
    fn between(base: Option<&workspace::Registry>, next: &workspace::Registry) -> Self {
        let known = |id| base.and_then(|base| base.get(id));
        let base_ids = base.into_iter().flat_map(workspace::Registry::iter);
        Self {
            removed: base_ids
                .map(|(id, _)| id)
                .filter(|id| next.get(*id).is_none())
                .collect(),
            changed: next
                .iter()
                .filter(|(id, workspace)| known(*id) != Some(*workspace))
                .map(|(_, workspace)| workspace.clone())
                .collect(),
        }
    }

    fn apply(self, base: Option<&workspace::Registry>) -> workspace::Registry {
        let base = base.into_iter().flat_map(workspace::Registry::iter);
        let kept = base.filter(|(id, _)| self.removed.binary_search(id).is_err());
        // The changed ones come last, so that they replace those that they change.
        let workspaces = kept.map(|(_, workspace)| workspace.clone());
        workspace::Registry::from(workspaces.chain(self.changed).collect::<Vec<_>>())
    }
}

impl TopologyChange {
    /// Returns the change that leads from `base` to `next`.
    pub fn between(base: &topology::Topology, next: &topology::Topology) -> Self {
        let removed_groups = base.groups.keys();
        let groups = next.groups.iter();
        let removed_routes = base.routes().iter();
        let routes = next.routes().iter();
        Self {
            base_version: base.version,
            version: next.version,
            transaction_idle_ms: next.transaction_idle_ms,
            removed_groups: removed_groups
                .filter(|group| next.groups.get(*group).is_none())
                .collect(),
            groups: groups
                .filter(|(id, group)| base.groups.get(*id) != Some(*group))
                .map(|(id, group)| (id, group.clone()))
                .collect(),
            removed_routes: removed_routes
                .filter(|route| next.route(&route.database).is_none())
                .map(|route| route.database.clone())
                .collect(),
            routes: routes
                .filter(|route| base.route(&route.database) != Some(*route))
                .cloned()
                .collect(),
            workspaces: next
                .workspaces
                .as_ref()
                .map(|next| WorkspacesChange::between(base.workspaces.as_ref(), next)),
        }
    }

    /// Returns the resulting version; none if `base` isn't the version in which the change is made.
    pub fn apply(self, base: &topology::Topology) -> Option<topology::Topology> {
        if base.version != self.base_version {
            return None;
        }
        let keeps_group = |id: id::GroupId| {
            let changed = self
                .groups
                .binary_search_by_key(&id, |(changed, _)| *changed);
            changed.is_err() && self.removed_groups.binary_search(&id).is_err()
        };
        let keeps_route = |database: &str| {
            let by_name = |route: &topology::Route| route.database.as_ref().cmp(database);
            let removed = self
                .removed_routes
                .binary_search_by(|removed| removed.as_ref().cmp(database));
            self.routes.binary_search_by(by_name).is_err() && removed.is_err()
        };
        let kept_groups = base.groups.iter().filter(|(id, _)| keeps_group(*id));
        let mut groups: Vec<_> = kept_groups.map(|(id, group)| (id, group.clone())).collect();
        let kept_routes = base.routes().iter();
        let mut routes: Vec<_> = kept_routes
            .filter(|route| keeps_route(&route.database))
            .cloned()
            .collect();
        groups.extend(self.groups);
        routes.extend(self.routes);
        let mut topology = topology::Topology::new(self.version, routes, groups);
        topology.transaction_idle_ms = self.transaction_idle_ms;
        topology.workspaces = self
            .workspaces
            .map(|change| change.apply(base.workspaces.as_ref()));
        Some(topology)
    }
}
