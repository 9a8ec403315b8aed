//! The accepted configuration in the form that decisions use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::sorted;

/// Groups, services and read classes of one configuration version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Topology {
    /// Version of the configuration document; 0 before any was learned.
    pub version: u64,
    /// Database groups.
    pub groups: sorted::Map<id::GroupId, Group>,
    /// Services.
    pub services: sorted::Map<id::ServiceId, Service>,
}

/// A database group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Number of slots stated by the operator.
    pub slots: u32,
    /// Members.
    pub members: sorted::Map<id::MemberId, Member>,
}

impl Group {
    /// Returns how many members make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A member of a database group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Address as `ip:port`.
    pub address: Box<str>,
    /// Where the member runs.
    pub place: Place,
    /// Connections that the member allows in total.
    pub connections: u32,
    /// Time that a new connection takes.
    pub connect_time: Duration,
}

/// A failure domain and its region.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// Region name.
    pub region: Box<str>,
    /// Failure domain name.
    pub domain: Box<str>,
}

/// A service in front of one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Group that the service fronts.
    pub group: id::GroupId,
    /// Limits of the service.
    pub limits: Limits,
}

/// Limits of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Time that a request may take from arrival to answer.
    pub request_timeout: Duration,
    /// Requests that may wait at one proxy.
    pub queue_requests: u32,
    /// Share of a contended connection relative to other services.
    pub weight: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            request_timeout: Duration::from_secs(10),
            queue_requests: 1_000,
            weight: 1,
        }
    }
}
