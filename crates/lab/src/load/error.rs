//! Errors of a load.

use crate::load::options;

/// Error that prevents or ends a load.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The options are invalid.
    #[error(transparent)]
    Options(#[from] options::InvalidOptions),
    /// Connecting to the first proxy, or a statement that prepares the load's table, failed.
    #[error("preparing the load's table failed: {0}")]
    Prepare(#[from] tokio_postgres::Error),
    /// Preparing the load's table took longer than the timeout of a request.
    #[error("preparing the load's table timed out")]
    PrepareTimeout,
    /// The task of a session panicked or was cancelled.
    #[error("a session of the load failed: {0}")]
    Session(#[from] tokio::task::JoinError),
}
