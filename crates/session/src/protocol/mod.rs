//! Messages of callers and members, independent of their wire format.

pub mod caller;
pub mod member;
pub mod words;

use serde::{Deserialize, Serialize};

/// Transaction state of a session or connection between two statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum TransactionState {
    /// Outside a transaction.
    Idle,
    /// In a transaction.
    Transaction,
    /// In a transaction that has failed; a commit or rollback ends it without effect.
    Failed,
}

/// Error code of a statement or connection.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Code {
    /// The member or proxy has no capacity; the statement has not run.
    Busy,
    /// The transaction has no effect: it was rolled back, or it wrote nothing and its commit was not confirmed.
    Aborted,
    /// The member's log has not reached the required point; the statement has not run.
    Behind,
    /// The member is not the leader; the statement has not run.
    ReadOnly,
    /// The member at this address has another name or group.
    Misrouted,
    /// The member has reached its connection limit.
    TooMany,
    /// The statement ran and failed, or the proxy sent a read and got no result.
    Failed,
    /// No prepared statement has this name; the statement has not run.
    NoStatement,
    /// The statement timed out; its outcome is unknown.
    Timeout,
    /// The write may or may not have taken effect.
    InDoubt,
    /// The database does not exist.
    NoDatabase,
    /// The caller's key is unknown.
    Unauthorized,
    /// The message is malformed.
    Malformed,
    /// The message exceeds the protocol's limit.
    TooLarge,
    /// A code of a member that the protocol does not define.
    Other(Box<str>),
}

impl Code {
    /// Returns whether a member that answers with this code has not run the statement.
    pub fn means_not_run(&self) -> bool {
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

/// Access mode of a statement or transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub enum Mode {
    /// Only reads data.
    Read,
    /// May change data.
    Write,
}

/// Reason why a command is not sent. Nothing of it reaches the member, and the connection remains usable.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Withheld {
    /// The message would exceed the protocol's limit: on the way to a member it can become longer than the caller's.
    #[error("not run: the message to the member would be too long")]
    TooLong,
    /// The connection does not have the prepared statement.
    #[error("not run: the statement is not prepared at the member")]
    Unprepared,
    /// The connection has bytes that answer nothing, or answers to other commands are outstanding.
    #[error("not run: the connection is out of step")]
    OutOfStep {
        /// Bytes that answer no command.
        left_bytes: usize,
        /// Commands without an answer.
        unanswered: usize,
    },
    /// The statement would not run in the transaction state that its session believes in.
    #[error("not run: the connection is not in the expected transaction state")]
    State {
        /// State in which the statement would run.
        expected: TransactionState,
        /// State that the session believes in.
        believed: TransactionState,
    },
    /// The other end has closed the connection.
    #[error("not run: the connection is closed")]
    Closed,
    /// The member would read another command than the one to be sent.
    #[error("not run: the message to the member would change the statement")]
    Changed,
}

impl Withheld {
    /// Returns the name of the reason, for the log and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLong => "TooLong",
            Self::Unprepared => "Unprepared",
            Self::OutOfStep { .. } => "OutOfStep",
            Self::State { .. } => "State",
            Self::Closed => "Closed",
            Self::Changed => "Changed",
        }
    }

    /// Returns whether the reason lies in the connection, so that the statement may be sent on another one.
    pub fn concerns_connection(self) -> bool {
        !matches!(self, Self::TooLong | Self::Changed)
    }
}

/// Error of a codec; the connection is unusable after it.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WireError {
    /// A message is longer than the protocol's limit.
    #[error("a message of more than {limit_bytes} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// A message does not follow the protocol.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
}

impl WireError {
    /// Returns the reason without values, for metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too large",
            Self::Malformed(reason) => reason,
        }
    }
}
