//! Trait of the platform's calls, which tests implement to replace the platform by a fake.

use std::future::Future;

use serde::de;

use crate::message;

/// Calls of the platform's table service, object store and VM list.
///
/// Any call may fail with [`Error::Unavailable`] or take long, and a write may take effect although its answer is lost.
pub trait Platform: Send + Sync {
    /// Reads a row. Returns `None` if the row does not exist.
    fn row<V>(
        &self,
        table: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<message::Row<V>>, Error>> + Send
    where
        V: de::DeserializeOwned + Send;

    /// Lists at most `limit` rows in key order, starting with the first key greater than `after`.
    fn rows<V>(
        &self,
        table: &str,
        after: &str,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<message::Row<V>>, Error>> + Send
    where
        V: de::DeserializeOwned + Send;

    /// Runs a conditional transaction, which takes effect as a whole or not at all. Fails with [`Error::Conflict`],
    /// without effect, if a check of the transaction fails.
    fn transact(
        &self,
        transaction: &message::Transaction,
    ) -> impl Future<Output = Result<message::Committed, Error>> + Send;

    /// Stores an immutable object. Storing the same bytes again succeeds without effect. Fails with
    /// [`Error::ObjectDiffers`] if an object of that name holds other bytes.
    fn put_object(
        &self,
        name: &str,
        bytes: &[u8],
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object. Returns `None` if the object does not exist.
    fn object(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Lists the VMs. The list lags behind the actual state.
    fn vms(&self) -> impl Future<Output = Result<Vec<message::Vm>, Error>> + Send;
}

/// Failure of a platform call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform is unreachable, answers with a server error, or does not answer in time. It is unknown whether a
    /// write took effect.
    #[error("platform unavailable: {0}")]
    Unavailable(Box<str>),
    /// At least one check of the transaction failed; the transaction had no effect.
    #[error("transaction rejected: {} row(s) are not at the expected version", .0.conflicts.len())]
    Conflict(message::Conflicts),
    /// An object of this name with other bytes exists and stays as it is.
    #[error("object {0} exists with other bytes")]
    ObjectDiffers(Box<str>),
    /// The platform answers that the call's path, a table or the VM list does not exist.
    #[error("not found: {0}")]
    NotFound(Box<str>),
    /// The platform's answer does not follow the protocol. It is unknown whether a write took effect.
    #[error("malformed answer from the platform: {0}")]
    Malformed(Box<str>),
    /// The platform's address is not an HTTP URL.
    #[error("invalid platform address {url:?}: {cause}")]
    Address {
        /// Address as the user gave it.
        url: Box<str>,
        /// Reason why the address is rejected.
        cause: Box<str>,
    },
}

impl Error {
    /// Returns true if a write that failed with this error may have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::Malformed(_))
    }
}
