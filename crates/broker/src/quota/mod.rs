//! Decisions by which all proxies together keep to the rate limits of workspaces.
//!
//! Workspaces are divided into shards. One proxy at a time, the coordinator of a shard, grants tokens to the proxies that ask.
//! A token admits one operation and expires [`TOKEN_LIFETIME`] after the question was sent.
//!
//! - [`bucket`]: the token bucket of a workspace.
//! - [`coordinator`]: the answers of a shard's coordinator.
//! - [`lease`]: when a proxy becomes the coordinator of a shard, renews its lease and stops.
//! - [`client`]: the admission of operations at a proxy.
//! - [`message`]: the messages between proxies.
//! - [`tolerance`]: the limits that coordinators enforce.
//!
//! The bound: in a window of 5 s, operations use tokens that were granted in the 5.4 s up to its end. The leases of successive
//! coordinators do not overlap and each starts its buckets at zero, so these are at most rate x 5.4 + burst tokens.

use std::time::Duration;

use fulmarlift_core::id;

mod account;
pub mod bucket;
pub mod client;
pub mod coordinator;
pub mod lease;
pub mod message;
pub mod tolerance;

/// Identifier of a shard, below [`SHARDS`].
pub type ShardId = u64;
/// Number of a coordinator's lease. Each change of the coordinator of a shard takes a higher one.
pub type Term = u64;
/// Number of a question at one proxy. Each question takes a higher one.
pub type QuestionId = u64;

/// Number of shards. The workspaces of a shard whose coordinator has ended are refused until another proxy takes over.
pub const SHARDS: u64 = 4;
/// Time in which a token can be used, from the instant at which the question was sent, by the asking proxy's clock. It is less
/// than the share of a window of 5 s that an overshoot of a tenth allows.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(400);

/// Returns the shard of a workspace.
pub fn shard_of(workspace: id::WorkspaceId) -> ShardId {
    workspace % SHARDS
}

/// Returns the proxies in the order in which they are candidates for the coordinator of the shard.
pub fn candidates(shard: ShardId, proxies: &[id::ProxyId]) -> Vec<id::ProxyId> {
    let mut ordered = proxies.to_vec();
    ordered.sort_by_cached_key(|proxy| {
        std::cmp::Reverse((id::rendezvous_weight(shard, *proxy), *proxy))
    });
    ordered.dedup();
    ordered
}
