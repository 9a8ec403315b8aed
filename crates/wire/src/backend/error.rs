//! Errors of connections to databases.

use pgwire::error::ErrorInfo;
use pgwire::messages::response::ErrorResponse;

use crate::answer::sqlstate;
use crate::backend::expected;
use crate::{frame, tls};

/// An error that a database reported.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{severity} {code}: {message}")]
pub struct DatabaseError {
    /// Severity, such as `ERROR` or `FATAL`.
    pub severity: Box<str>,
    /// SQLSTATE code.
    pub code: Box<str>,
    /// Primary message.
    pub message: Box<str>,
}

impl From<ErrorResponse> for DatabaseError {
    fn from(response: ErrorResponse) -> DatabaseError {
        let info = ErrorInfo::from(response);
        DatabaseError {
            severity: info.severity.into(),
            code: info.code.into(),
            message: info.message.into(),
        }
    }
}

/// Reason why a connection to a database could not be opened or a query failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The TCP connection could not be opened.
    #[error("unreachable: {0}")]
    Unreachable(std::io::Error),
    /// The deadline passed. The connection may be in the middle of an answer and must be dropped.
    #[error("the deadline passed")]
    Deadline,
    /// The database closed the connection.
    #[error("the database closed the connection")]
    Closed,
    /// The database reported an error.
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// A message could not be read, decoded or written.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// The TLS files could not be loaded, or the TLS handshake failed.
    #[error(transparent)]
    Tls(#[from] tls::Error),
    /// The proxy requires TLS and the database does not offer it.
    #[error("the database does not offer TLS")]
    TlsRefused,
    /// The database asks for a password and the credentials contain none.
    #[error("the database asks for a password and none is set")]
    NoPassword,
    /// The database asks for a login method that is not supported.
    #[error("the database asks for the login method {0}, which is not supported")]
    Method(Box<str>),
    /// The SCRAM exchange failed.
    #[error("SCRAM: {0}")]
    Scram(std::io::Error),
    /// The database sent a message that is not allowed at this point of the login or query.
    #[error("unexpected message '{}'", tag.escape_ascii())]
    Unexpected {
        /// Message type byte.
        tag: u8,
    },
    /// The database sent a response that does not belong to the query, which shows that the connection is out of step.
    #[error(transparent)]
    OutOfStep(#[from] expected::OutOfStep),
    /// The answer to a query is malformed, or a status lacks a column or has an invalid value.
    #[error("malformed answer: {0}")]
    Answer(Box<str>),
}

impl Error {
    /// Returns the SQLSTATE code if the database reported the error.
    pub fn sqlstate(&self) -> Option<&str> {
        match self {
            Error::Database(error) => Some(&error.code),
            _ => None,
        }
    }

    /// Returns whether the database refused the connection because its connection limit is reached.
    pub fn is_too_many_connections(&self) -> bool {
        self.sqlstate() == Some(sqlstate::TOO_MANY_CONNECTIONS)
    }

    /// Returns whether the connection can still be used: the database reported a non-fatal error and is ready for the
    /// next query.
    pub fn is_recoverable(&self) -> bool {
        matches!(self, Error::Database(error) if &*error.severity == "ERROR")
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Frame(frame::Error::Io(error))
    }
}
