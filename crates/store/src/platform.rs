//! The platform as a trait, so that tests and the lab can stand in for it.

use std::future::Future;

use serde::de;

use crate::message;

/// The platform's calls. Any of them may fail with [`Error::Unavailable`], may take long, and may take effect
/// although its answer is lost.
pub trait Platform: Send + Sync {
    /// Reads a row; `None` when it doesn't exist.
    fn row<V>(
        &self,
        table: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<message::Row<V>>, Error>> + Send
    where
        V: de::DeserializeOwned + Send;

    /// Lists at most `limit` rows in key order, from the first key above `after`.
    fn rows<V>(
        &self,
        table: &str,
        after: &str,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<message::Row<V>>, Error>> + Send
    where
        V: de::DeserializeOwned + Send;

    /// Runs a conditional transaction, all or nothing. [`Error::Conflict`] says that nothing happened.
    fn transact(
        &self,
        transaction: &message::Transaction,
    ) -> impl Future<Output = Result<message::Committed, Error>> + Send;

    /// Stores an immutable object. Storing the same bytes again is idempotent; [`Error::ObjectDiffers`] when
    /// the name holds others.
    fn put_object(
        &self,
        name: &str,
        bytes: &[u8],
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object; `None` when it doesn't exist.
    fn object(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// The VMs; the list lags.
    fn vms(&self) -> impl Future<Output = Result<Vec<message::Vm>, Error>> + Send;
}

/// Why a call of the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform is not reached, refuses for now, or its answer did not come in time. Whether a write took
    /// effect is unknown.
    #[error("platform unavailable: {0}")]
    Unavailable(Box<str>),
    /// A check of the transaction failed; nothing happened.
    #[error("transaction did not happen: {} row(s) differ", .0.conflicts.len())]
    Conflict(message::Conflicts),
    /// The object's name holds other bytes; nothing happened.
    #[error("object {0} holds other bytes")]
    ObjectDiffers(Box<str>),
    /// The platform has no such call.
    #[error("not found: {0}")]
    NotFound(Box<str>),
    /// The answer is not what the protocol says; whether a write took effect is unknown.
    #[error("malformed answer from the platform: {0}")]
    Malformed(Box<str>),
    /// The platform's address is no URL.
    #[error("platform address {url:?}: {cause}")]
    Address {
        /// The address as given.
        url: Box<str>,
        /// What is wrong with it.
        cause: Box<str>,
    },
}

impl Error {
    /// Whether a write that failed so may have taken effect.
    pub fn outcome_unknown(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Malformed(_))
    }
}
