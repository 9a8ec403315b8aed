//! Why a load could not run.

use crate::load::options;

/// Why a load could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The options cannot be used.
    #[error(transparent)]
    Options(#[from] options::Invalid),
    /// The table of the load could not be prepared.
    #[error("the load's table: {0}")]
    Prepare(#[from] tokio_postgres::Error),
    /// The table was not prepared in time.
    #[error("the load's table was not prepared in time")]
    PrepareTimeout,
    /// A session ended by a fault of the tool.
    #[error("a session of the load: {0}")]
    Session(#[from] tokio::task::JoinError),
}
