//! Errors of connections to databases.

use pgwire::error::ErrorInfo;
use pgwire::messages::response::ErrorResponse;

use crate::answer::sqlstate;
use crate::backend::script;
use crate::{frame, tls};

/// An error that a database reported.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{severity} {code}: {message}")]
pub struct DatabaseError {
    /// Severity as reported.
    pub severity: Box<str>,
    /// SQLSTATE.
    pub code: Box<str>,
    /// The primary message.
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

/// Why a connection could not be made or used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No TCP connection.
    #[error("unreachable: {0}")]
    Unreachable(std::io::Error),
    /// The deadline passed. The connection is in the middle of something and must be dropped.
    #[error("the deadline passed")]
    Deadline,
    /// The database closed the connection.
    #[error("the database closed the connection")]
    Closed,
    /// The database reported an error.
    #[error(transparent)]
    Database(#[from] DatabaseError),
    /// A message could not be read or written.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// TLS could not be set up.
    #[error(transparent)]
    Tls(#[from] tls::Error),
    /// The database does not offer TLS.
    #[error("the database does not offer TLS")]
    TlsRefused,
    /// The database asks for a password and there is none.
    #[error("the database asks for a password and none is set")]
    NoPassword,
    /// The database asks for a login method that is not supported.
    #[error("the database asks for the login method {0}, which is not supported")]
    Method(Box<str>),
    /// The SCRAM exchange failed.
    #[error("SCRAM: {0}")]
    Scram(std::io::Error),
    /// A message that does not belong here.
    #[error("unexpected message '{}'", tag.escape_ascii())]
    Unexpected {
        /// The message type byte.
        tag: u8,
    },
    /// A message that answers nothing; the connection is out of step.
    #[error(transparent)]
    OutOfStep(#[from] script::OutOfStep),
    /// An answer that does not have the form that the protocol notes give it.
    #[error("malformed answer: {0}")]
    Answer(Box<str>),
}

impl Error {
    /// The SQLSTATE that the database reported.
    pub fn sqlstate(&self) -> Option<&str> {
        match self {
            Error::Database(error) => Some(&error.code),
            _ => None,
        }
    }

    /// Whether the database is there and refused the connection because its limit is reached.
    pub fn is_too_many_connections(&self) -> bool {
        self.sqlstate() == Some(sqlstate::TOO_MANY_CONNECTIONS)
    }

    /// Whether the connection can be used after the error: the database reported it and is ready again.
    pub fn is_recoverable(&self) -> bool {
        matches!(self, Error::Database(error) if &*error.severity == "ERROR")
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Frame(frame::Error::Io(error))
    }
}
