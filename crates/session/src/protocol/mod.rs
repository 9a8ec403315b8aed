//! What callers and members say, apart from how it is written on the wire.

pub mod caller;
pub mod member;

use serde::{Deserialize, Serialize};

/// Where a session stands between two statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Outside a transaction.
    Idle,
    /// In a transaction.
    Transaction,
    /// In a transaction that has failed; ending it rolls back.
    Failed,
}

/// Why a statement or a connection was refused or failed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Code {
    /// No capacity; the statement has not run.
    Busy,
    /// The transaction was rolled back; nothing of it is kept.
    Aborted,
    /// The log lacks the point asked for; the statement has not run.
    Behind,
    /// The member does not lead; the statement has not run.
    ReadOnly,
    /// The address belongs to another member or group.
    Misrouted,
    /// The member has no connection left.
    TooMany,
    /// The statement ran and failed.
    Failed,
    /// No prepared statement has that name; the statement has not run.
    NoStatement,
    /// The statement ran out of time; what became of it is unknown.
    Timeout,
    /// Whether the statement took effect is unknown.
    InDoubt,
    /// There is no such database.
    NoDatabase,
    /// The message cannot be understood.
    Malformed,
    /// The message is too large.
    TooLarge,
    /// A code that the protocol does not name.
    Other(Box<str>),
}

impl Code {
    /// Returns whether a statement that a member answered so has not run.
    pub fn not_run(&self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Behind
                | Self::ReadOnly
                | Self::Misrouted
                | Self::TooMany
                | Self::NoStatement
        )
    }
}

/// Whether a statement may change data.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub enum Mode {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// Bytes that cannot be understood; the connection cannot go on.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WireError {
    /// A message is longer than the protocol allows.
    #[error("a message of more than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// A message is not what the protocol says.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
}
