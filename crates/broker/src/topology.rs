//! The configuration in force, the members that the directory lists, and the proxies that the store lists.

use std::net::SocketAddr;

use fulmarlift_core::id;
use fulmarlift_core::sorted;
use fulmarlift_core::topology;
use serde::{Deserialize, Serialize};

use crate::revision;
use crate::workspace;

/// Consistency of a route's reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Consistency {
    /// The leader serves the read and shows every commit acknowledged before the request.
    Leader,
    /// Any member may serve the read if its data contain every commit acknowledged more than `max_staleness_ms` ago.
    Bounded {
        /// Allowed age of the data, in milliseconds.
        max_staleness_ms: u32,
    },
    /// As `Bounded`, and the read also shows every commit of its own session.
    OwnWrites {
        /// Allowed age of the data, in milliseconds.
        max_staleness_ms: u32,
    },
}

impl Consistency {
    /// Returns the allowed age of the data in milliseconds; `None` if reads must show the newest data.
    pub fn max_staleness_ms(self) -> Option<u32> {
        match self {
            Self::Leader => None,
            Self::Bounded { max_staleness_ms } | Self::OwnWrites { max_staleness_ms } => {
                Some(max_staleness_ms)
            }
        }
    }
}

/// A database name under which callers (the clients of the proxy) connect, with the group and the limits of its requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Database name in the caller's startup message.
    pub database: Box<str>,
    /// Group that serves the route.
    pub group: id::GroupId,
    /// Consistency of the route's reads.
    pub consistency: Consistency,
    /// Timeout of a single statement, in milliseconds.
    pub statement_timeout_ms: u32,
    /// Latency objective of a whole operation, including repeated attempts, in milliseconds.
    pub objective_ms: u32,
    /// Priority class of the route's requests; 0 is the highest.
    pub priority: u8,
    /// Whether callers without a known key may use the route.
    pub allows_anonymous: bool,
}

/// Configuration of a database group: a leader and its replicas.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group in the configuration.
    pub name: Box<str>,
    /// Number of connections that each member allows for all proxies together.
    pub connections_max: u32,
    /// Number of replicas that must have received a commit before the leader acknowledges it.
    pub sync_replicas: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Topology {
    /// Number of the version; 0 before the first configuration is known.
    pub version: u64,
    /// Configured groups.
    pub groups: sorted::Map<id::GroupId, Group>,
    /// Time for which a transaction may be idle between statements, in milliseconds; 0 means no limit, which
    /// [`Topology::new`] sets.
    pub transaction_idle_ms: u32,
    /// Workspaces, whose keys callers need; `None` if the configuration knows no workspaces, and callers need no key.
    pub workspaces: Option<workspace::Registry>,
    routes: Vec<Route>,
}

impl Topology {
    /// Creates a configuration without a limit for idle transactions. Of several routes with the same database name, the
    /// first one is used.
    pub fn new(version: u64, mut routes: Vec<Route>, groups: Vec<(id::GroupId, Group)>) -> Self {
        routes.sort_by(|a, b| a.database.cmp(&b.database));
        routes.dedup_by(|later, earlier| later.database == earlier.database);
        Self {
            version,
            groups: groups.into_iter().collect(),
            transaction_idle_ms: 0,
            workspaces: None,
            routes,
        }
    }

    /// Returns the route for a database name.
    pub fn route(&self, database: &str) -> Option<&Route> {
        let found = self
            .routes
            .binary_search_by(|route| route.database.as_ref().cmp(database));
        found.ok().map(|index| &self.routes[index])
    }

    /// Returns the workspace on whose behalf a caller with this key uses a route; `None` if the configuration knows no workspaces, or for
    /// an anonymous caller.
    ///
    /// # Errors
    ///
    /// [`workspace::Unauthorized`] if no workspace has the key, and the route requires one.
    pub fn authorize(
        &self,
        route: &Route,
        key: &workspace::KeyDigest,
    ) -> Result<Option<id::WorkspaceId>, workspace::Unauthorized> {
        let Some(workspaces) = &self.workspaces else {
            return Ok(None);
        };
        match workspaces.find(key) {
            None if !route.allows_anonymous => Err(workspace::Unauthorized),
            workspace => Ok(workspace),
        }
    }

    /// Returns a workspace of the configuration.
    pub fn workspace(&self, workspace: id::WorkspaceId) -> Option<&workspace::Workspace> {
        self.workspaces.as_ref()?.get(workspace)
    }

    /// Returns all routes, sorted by database name.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// Another proxy, as the store lists it. The store lists one entry per VM, which a restarted proxy takes over.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the VM that runs the proxy.
    pub vm_name: Box<str>,
    /// Address at which the proxy takes forwarded statements.
    pub address: SocketAddr,
    /// Address at which other proxies of the domain get what this proxy reads from the store.
    pub updates_address: SocketAddr,
    /// Region and failure domain of the proxy.
    pub place: topology::Place,
}

/// One incarnation of a member, as the directory lists it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of this incarnation. A restart under the same name gets another identifier.
    pub id: id::MemberId,
    /// Name of the member, which it confirms when a connection is opened.
    pub name: Box<str>,
    /// Group of the member.
    pub group: id::GroupId,
    /// Address of the member. Another process may get the same address once the member is gone.
    pub address: SocketAddr,
    /// Region and failure domain of the member.
    pub place: topology::Place,
    /// Number of statements that the member runs concurrently.
    pub slots: u32,
    /// Whether the member has announced that it will stop.
    pub leaving: bool,
    /// Whether the entry says that the member leads its group.
    pub listed_as_leader: bool,
    /// Time for which the member expected to be slow after its start when it wrote the entry, in milliseconds.
    pub cold_remaining_ms: u32,
    /// Revision of the directory at which the entry was written; a higher one is newer.
    pub revision: revision::Revision,
}
