//! Errors of the start of a caller's connection.

use crate::answer::{Answer, sqlstate};
use crate::{frame, handshake, scram, tls};

/// Why a connection did not get to a login.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The deadline passed before the login was done.
    #[error("the login was not done by its deadline")]
    Deadline,
    /// The caller closed the connection without a startup message, as health checks do.
    #[error("the caller closed the connection")]
    Closed,
    /// A startup packet is malformed or too large.
    #[error("malformed startup: {0}")]
    Protocol(&'static str),
    /// The caller speaks another major version of the protocol.
    #[error("unsupported protocol version {major}")]
    Version {
        /// Major version asked for.
        major: u16,
    },
    /// There is no user name.
    #[error("no user name in the startup message")]
    NoUser,
    /// The caller asks for a replication connection.
    #[error("replication connections are not supported")]
    Replication,
    /// The `options` parameter can't be read.
    #[error("malformed startup options: {0}")]
    Options(Box<str>),
    /// A wrong password or an unknown user.
    #[error("login of {user} failed: {reason}")]
    Login {
        /// User name.
        user: Box<str>,
        /// What the SCRAM exchange found.
        reason: scram::server::Error,
    },
    /// A message could not be read or written.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// TLS failed.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

impl Error {
    /// What the caller is told, when there is a way to.
    pub(super) fn answer(&self) -> Option<Answer> {
        let answer = match self {
            Error::Deadline | Error::Closed | Error::Tls(_) => return None,
            Error::Frame(frame::Error::Io(_) | frame::Error::Truncated { .. }) => return None,
            Error::Frame(_) | Error::Protocol(_) | Error::Options(_) => {
                Answer::protocol_violation(self.to_string())
            }
            Error::Version { .. } => {
                Answer::error(sqlstate::FEATURE_NOT_SUPPORTED, self.to_string())
            }
            Error::NoUser => handshake::no_user(),
            Error::Replication => Answer::unsupported(
                "a replication connection",
                "Connect to the database itself.",
            ),
            Error::Login { user, reason } => login_answer(user, *reason),
        };
        Some(answer.fatal())
    }
}

/// A wrong password and an unknown user read the same; a malformed exchange is named.
fn login_answer(user: &str, reason: scram::server::Error) -> Answer {
    match reason {
        scram::server::Error::WrongPassword => Answer::login_failed(user),
        scram::server::Error::Malformed(_) => Answer::protocol_violation(reason.to_string()),
    }
}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Error {
        Error::Frame(frame::Error::Io(error))
    }
}
