//! A version of the configuration, in the form that the reducer uses.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::sorted;

/// Groups and services of one configuration version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Topology {
    /// Version of the configuration document; 0 before the first one is in force.
    pub version: u64,
    /// Database groups by identifier.
    pub groups: sorted::Map<id::GroupId, Group>,
    /// Services by identifier.
    pub services: sorted::Map<id::ServiceId, Service>,
}

/// A database group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Group {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Number of slots that the configuration states for the group. This crate does not use it; see
    /// `fulmarlift_config::model::Group` for its meaning.
    pub slots: u32,
    /// Members by identifier.
    pub members: sorted::Map<id::MemberId, Member>,
}

impl Group {
    /// Returns the number of members that make a majority.
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
    /// Region and failure domain that the member runs in.
    pub place: Place,
    /// Maximum number of connections that the member accepts from all proxies together.
    pub connections: u32,
    /// Expected time to open a connection.
    pub connect_time: Duration,
}

/// The place of a VM: a failure domain and its region.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Place {
    /// Name of the region.
    pub region: Box<str>,
    /// Name of the failure domain.
    pub domain: Box<str>,
}

/// A service, which gives its callers access to one group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Group that serves the service's requests.
    pub group: id::GroupId,
    /// Limits that apply to the service's requests.
    pub limits: Limits,
}

/// Limits of a service's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum time from the arrival of a request to its answer.
    pub request_timeout: Duration,
    /// Maximum number of the service's requests in flight at one proxy, whether they wait, run or await confirmation.
    pub queue_requests: u32,
    /// Weight of the service relative to others when their requests compete for connections.
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
