//! Traits by which a proxy reaches its deployment: protocols, the store, and the promotions of the platform.

use std::future::Future;
use std::time::Duration;

use fulmarlift_broker::claim;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use serde::{Deserialize, Serialize};

use crate::protocol;

/// The types by which one deployment is reached.
pub trait Deployment: 'static {
    /// Callers' protocol.
    type Caller: protocol::caller::Codec;
    /// Members' protocol.
    type Member: protocol::member::Codec;
    /// Claim rows.
    type Claims: Claims;
    /// Orders to take the lead.
    type PromotionOrders: PromotionOrders;
}

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// Refused for now; nothing was done.
    #[error("refused for now: {0}")]
    Deferred(Box<str>),
    /// A condition did not hold; nothing was done.
    #[error("the condition does not hold")]
    Conflict,
    /// The history asked for is gone; everything has to be read anew.
    #[error("the history is no longer kept")]
    Compacted,
    /// No answer, or one that cannot be used; a write may have taken effect or may do so later.
    #[error("no usable answer: {0}")]
    Unknown(Box<str>),
}

/// Claim rows in the store, one for each group.
pub trait Claims: 'static {
    /// Reads a group's row.
    fn load(&self, group: &str) -> impl Future<Output = Result<claim::Stored, CallError>>;

    /// Writes a group's row if it still has that revision.
    fn store(
        &self,
        group: &str,
        claim: &claim::Claim,
        revision: u64,
    ) -> impl Future<Output = event::StoreOutcome>;
}

/// Orders to take the lead.
pub trait PromotionOrders: 'static {
    /// Orders a member to take the lead of its group.
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
    /// A configuration.
    Configured(topology::Topology),
    /// A member's entry.
    Listed(topology::Member),
    /// A member's name without an entry. An entry that cannot be used counts as none.
    Unlisted {
        /// The name.
        name: Box<str>,
        /// Revision at which there was none.
        revision: u64,
    },
    /// Another proxy's entry, or this one's own.
    PeerListed(topology::Peer),
    /// A proxy's name without an entry.
    PeerUnlisted(Box<str>),
}

/// What a part of the store holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contents {
    /// The operator's configuration.
    Configuration,
    /// The members' entries.
    Members,
    /// The proxies' entries.
    Peers,
}

/// This proxy's own entry.
pub trait Announce: 'static {
    /// Writes the entry where it is missing or another.
    fn announce(&self) -> impl Future<Output = Result<(), CallError>>;
}

/// Rows as of one moment, or changes up to it.
#[derive(Clone, Debug)]
pub struct Batch {
    /// What the rows say, oldest first.
    pub updates: Vec<Update>,
    /// Revision up to which they are known.
    pub revision: u64,
}

/// A part of the store that is followed.
pub trait Source: 'static {
    /// What it holds.
    fn contents(&self) -> Contents;

    /// Reads everything.
    fn read(&self) -> impl Future<Output = Result<Batch, CallError>>;

    /// Waits for changes after a revision, at most for `wait`.
    fn changes(&self, after: u64, wait: Duration)
    -> impl Future<Output = Result<Batch, CallError>>;
}
