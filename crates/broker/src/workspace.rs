//! Workspaces, on whose behalf callers send statements, and the keys by which callers identify themselves.
//!
//! Only digests of keys are kept. A lookup compares digests, so its time tells nothing about a key.

use fulmarlift_core::id;
use fulmarlift_core::sorted;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest of a caller's key.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Leaves the digest out, so that it gets into no log.
impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Limit of the operations of a workspace over all proxies together, in thousandths of an operation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Sustained rate, in thousandths of an operation per second.
    pub rate_milliops_per_s: u64,
    /// Operations that may exceed the rate at once, in thousandths.
    pub burst_milliops: u64,
}

impl RateLimit {
    /// Creates a limit from operations per second, and operations.
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        let milli = |value: f64| (value.max(0.0) * 1_000.0).round() as u64;
        Self {
            rate_milliops_per_s: milli(rate_per_s),
            burst_milliops: milli(burst),
        }
    }

    /// Returns the sustained rate in operations per second.
    pub fn rate_per_s(self) -> f64 {
        self.rate_milliops_per_s as f64 / 1_000.0
    }

    /// Returns the number of operations that may exceed the rate at once.
    pub fn burst(self) -> f64 {
        self.burst_milliops as f64 / 1_000.0
    }
}

/// A workspace of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name of the workspace, which members are told.
    pub name: Box<str>,
    /// Limit of its operations; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Digests of its keys, sorted.
    pub keys: Vec<KeyDigest>,
}

impl Workspace {
    /// Returns the identifier of the workspace.
    pub fn id(&self) -> id::WorkspaceId {
        id::of(&self.name)
    }
}

/// The workspaces of a configuration, by identifier and by key.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Workspace>", into = "Vec<Workspace>")]
pub struct Registry {
    workspaces: sorted::Map<id::WorkspaceId, Workspace>,
    /// Workspace of each key, sorted by key.
    keys: Vec<(KeyDigest, id::WorkspaceId)>,
}

impl Registry {
    /// Returns the workspace of a name's identifier.
    pub fn get(&self, workspace: id::WorkspaceId) -> Option<&Workspace> {
        self.workspaces.get(workspace)
    }

    /// Returns the workspace that has a key.
    pub fn find(&self, key: &KeyDigest) -> Option<id::WorkspaceId> {
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(key));
        found.ok().map(|index| self.keys[index].1)
    }

    /// Returns all workspaces, sorted by identifier.
    pub fn iter(&self) -> impl Iterator<Item = (id::WorkspaceId, &Workspace)> {
        self.workspaces.iter()
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether there is no workspace.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }
}

/// Of several workspaces with the same key, the one with the lowest identifier has it.
impl From<Vec<Workspace>> for Registry {
    fn from(workspaces: Vec<Workspace>) -> Self {
        let workspaces: sorted::Map<id::WorkspaceId, Workspace> = workspaces
            .into_iter()
            .map(|workspace| (workspace.id(), workspace))
            .collect();
        let mut keys: Vec<(KeyDigest, id::WorkspaceId)> = workspaces
            .iter()
            .flat_map(|(id, workspace)| workspace.keys.iter().map(move |key| (*key, id)))
            .collect();
        keys.sort_unstable();
        keys.dedup_by_key(|(key, _)| *key);
        Self { workspaces, keys }
    }
}

impl From<Registry> for Vec<Workspace> {
    fn from(registry: Registry) -> Self {
        let workspaces = registry.workspaces.values();
        workspaces.cloned().collect()
    }
}

/// Why a caller may not use a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown key")]
pub struct Unauthorized;
