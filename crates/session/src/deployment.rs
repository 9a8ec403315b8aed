//! Traits by which a proxy reaches its deployment: protocols, the store, and the promotions of the platform.
//!
//! The store holds rows with revisions: the operator's configuration, the entries of members and proxies, and one claim row
//! for each group. The claim row lets one proxy at a time replace the group's leader. That proxy, the holder of the claim,
//! orders the platform to promote a member. The order carries the claim's fencing token, by which the platform refuses
//! orders of earlier claims.
//!
//! The store may come back from an older copy of itself, which begins a new era, see [`revision`].

use std::future::Future;
use std::time::Duration;

use fulmarlift_broker::claim;
use fulmarlift_broker::event;
use fulmarlift_broker::quota;
use fulmarlift_broker::revision;
use fulmarlift_broker::topology;
use serde::{Deserialize, Serialize};

use crate::protocol;
use crate::transfer;

/// Types by which a proxy speaks to the callers, members, store and platform of one deployment.
pub trait Deployment: 'static {
    /// Codec of the callers' protocol.
    type Caller: protocol::caller::Codec;
    /// Codec of the members' protocol.
    type Member: protocol::member::Codec;
    /// Access to the claim rows.
    type Claims: Claims;
    /// Interface that executes promotion orders.
    type PromotionOrders: PromotionOrders;
    /// Entries of the members, for reads that an attempt to replace a leader needs.
    type Directory: Source;
}

/// Error of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The store refused the call for now, for example because of its rate limit. The call had no effect.
    #[error("refused for now: {0}")]
    Deferred(Box<str>),
    /// The row has another revision than the write expected. The call had no effect.
    #[error("the row has another revision than the write expected")]
    Conflict,
    /// The store no longer has the changes after the requested revision; a full read is needed.
    #[error("the store no longer has the changes after this revision")]
    Compacted,
    /// The answer is missing or unusable. A write may have taken effect or may do so later.
    #[error("no usable answer: {0}")]
    Unknown(Box<str>),
}

/// Claim rows in the store, one for each group.
pub trait Claims: 'static {
    /// Reads the claim row of a group.
    fn load(&self, group: &str) -> impl Future<Output = Result<claim::ClaimRow, CallError>>;

    /// Writes the claim row of a group if the row still has the given revision. The outcome tells the era in which the store
    /// answered, which may be a newer one.
    fn store(
        &self,
        group: &str,
        claim: &claim::Claim,
        revision: revision::Revision,
    ) -> impl Future<Output = event::StoreOutcome>;

    /// Reads the lease rows of all quota shards. Only deployments whose workspaces have limits need it.
    fn load_quota_leases(&self) -> impl Future<Output = Result<QuotaLeases, CallError>> {
        std::future::ready(Err(CallError::Unknown("not supported".into())))
    }

    /// Writes the lease row of a quota shard if the row still has the given version; 0 stands for a missing row.
    fn store_quota_lease(
        &self,
        _shard: quota::ShardId,
        _value: &[u8],
        _revision: revision::Revision,
    ) -> impl Future<Output = event::StoreOutcome> {
        std::future::ready(event::StoreOutcome::Refused)
    }
}

/// Lease rows of the quota shards, as of one moment.
#[derive(Clone, Debug, Default)]
pub struct QuotaLeases {
    /// The rows that exist.
    pub rows: Vec<QuotaLeaseRow>,
    /// Era of the store.
    pub era: revision::Era,
}

/// Lease row of one quota shard.
#[derive(Clone, Debug)]
pub struct QuotaLeaseRow {
    /// Shard of the row.
    pub shard: quota::ShardId,
    /// Contents of the row.
    pub value: Vec<u8>,
    /// Revision of the row.
    pub revision: revision::Revision,
}

/// Sends promotion orders to the platform, which makes a member the leader of its group.
pub trait PromotionOrders: 'static {
    /// Orders that a member becomes the leader of its group. `holder` names this proxy as the claim's holder; `token`
    /// is the fencing token.
    fn promote(
        &self,
        group: &str,
        member: &str,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = event::OrderOutcome>;
}

/// Content of one entry of the store, handed on between proxies.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The operator's configuration.
    Configured(topology::Topology),
    /// Entry of a member.
    Listed(topology::Member),
    /// The member has no entry. An unusable entry counts as none.
    Unlisted {
        /// Name of the member.
        name: Box<str>,
        /// Revision of the store at which the entry was missing.
        revision: revision::Revision,
    },
    /// Entry of another proxy, or of this one.
    PeerListed(topology::Peer),
    /// The proxy of this name has no entry.
    PeerUnlisted(Box<str>),
}

/// Kind of entries in a part of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contents {
    /// The operator's configuration.
    Configuration,
    /// The members' entries.
    Members,
    /// The proxies' entries.
    Peers,
}

/// Announces this proxy to the others.
pub trait Announce: 'static {
    /// Writes the entry of this proxy to the store if the entry is missing, differs or was written in an earlier era.
    fn announce(&self) -> impl Future<Output = Result<Announced, CallError>>;
}

/// What the store tells when a proxy announces itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Announced {
    /// Era of the store.
    pub era: revision::Era,
    /// Time for which the store has been in this era at least, as far as the proxy's entry tells.
    pub known_for: Duration,
}

/// Result of a full read, or the changes since a revision.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Contents of the rows. Changes are in the order in which they were made.
    pub updates: Vec<Update>,
    /// Revision up to which the updates are complete.
    pub revision: revision::Revision,
}

/// A part of the store that a proxy follows by long polling.
pub trait Source: 'static {
    /// Returns the kind of entries in this part.
    fn contents(&self) -> Contents;

    /// Reads all entries. Records the progress of the answer in `transfer`.
    fn read(&self, transfer: &transfer::Transfer)
    -> impl Future<Output = Result<Batch, CallError>>;

    /// Waits for changes after a revision, at most for `wait`. Returns an empty batch if there was none. A batch of another era
    /// does not tell what changed since the revision. Records the progress of the answer in `transfer`.
    fn changes(
        &self,
        after: revision::Revision,
        wait: Duration,
        transfer: &transfer::Transfer,
    ) -> impl Future<Output = Result<Batch, CallError>>;
}
