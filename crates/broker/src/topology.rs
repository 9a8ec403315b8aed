//! The configuration and the members that are in force.

use std::net::SocketAddr;

use fulmarlift_core::id;
use fulmarlift_core::sorted;
use fulmarlift_core::topology;
use serde::{Deserialize, Serialize};

/// What a read demands of the log that it runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Consistency {
    /// Served by the leader, with everything acknowledged before the request.
    Leader,
    /// Served by any member that has everything acknowledged longer ago than `max_staleness_ms`.
    Bounded {
        /// Allowed age of the data.
        max_staleness_ms: u32,
    },
    /// As `Bounded`, and with every commit of the session itself.
    OwnWrites {
        /// Allowed age of the data.
        max_staleness_ms: u32,
    },
}

impl Consistency {
    /// Returns the allowed age of the data; none where only the newest will do.
    pub fn max_staleness_ms(self) -> Option<u32> {
        match self {
            Self::Leader => None,
            Self::Bounded { max_staleness_ms } | Self::OwnWrites { max_staleness_ms } => {
                Some(max_staleness_ms)
            }
        }
    }
}

/// A database name that callers may ask for, and how it is served.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name that callers give.
    pub database: Box<str>,
    /// Group that serves it.
    pub group: id::GroupId,
    /// What its reads demand.
    pub consistency: Consistency,
    /// Time that one statement may take.
    pub statement_timeout_ms: u32,
    /// Time within which a whole operation should be answered.
    pub objective_ms: u32,
    /// Rank of its requests; 0 is the highest.
    pub priority: u8,
}

/// A database group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Connections that each member allows for all proxies together.
    pub connections_max: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Topology {
    /// Version; 0 before any was learned.
    pub version: u64,
    /// Groups.
    pub groups: sorted::Map<id::GroupId, Group>,
    /// Time for which a transaction may rest between statements.
    pub transaction_idle_ms: u32,
    routes: Vec<Route>,
}

impl Topology {
    /// Creates a topology. Of routes with the same database name the first one counts.
    pub fn new(version: u64, mut routes: Vec<Route>, groups: Vec<(id::GroupId, Group)>) -> Self {
        routes.sort_by(|a, b| a.database.cmp(&b.database));
        routes.dedup_by(|later, earlier| later.database == earlier.database);
        Self {
            version,
            groups: groups.into_iter().collect(),
            transaction_idle_ms: 0,
            routes,
        }
    }

    /// Returns the route of a database name.
    pub fn route(&self, database: &str) -> Option<&Route> {
        let found = self
            .routes
            .binary_search_by(|route| route.database.as_ref().cmp(database));
        found.ok().map(|index| &self.routes[index])
    }

    /// Returns all routes, sorted by database name.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// Another proxy.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name of its VM.
    pub name: Box<str>,
    /// Address to which statements are forwarded.
    pub address: SocketAddr,
    /// Address at which it hands on what it learns.
    pub news: SocketAddr,
    /// Where it runs.
    pub place: topology::Place,
}

/// One incarnation of a member, as the directory lists it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of this incarnation; a restart under the same name gives another.
    pub id: id::MemberId,
    /// Name, which the member confirms when a connection is opened.
    pub name: Box<str>,
    /// Group that it belongs to.
    pub group: id::GroupId,
    /// Address; used again by others once the member is gone.
    pub address: SocketAddr,
    /// Where it runs.
    pub place: topology::Place,
    /// Statements that it runs at the same time.
    pub slots: u32,
    /// Whether it has announced that it will stop.
    pub leaving: bool,
    /// Whether it says of itself that it leads.
    pub says_leads: bool,
    /// Revision of its entry; a higher one is newer.
    pub revision: u64,
}
