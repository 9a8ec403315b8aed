//! Errors of accepting a connection from a caller.

use crate::answer::{Answer, sqlstate};
use crate::{frame, handshake, scram, tls};

/// Reason why a connection ended before its login succeeded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The deadline passed before the login was complete.
    #[error("the login was not done by its deadline")]
    Deadline,
    /// The caller closed the connection before the login was complete. Health checks do so without sending any message.
    #[error("the caller closed the connection")]
    Closed,
    /// A message before or during the login is malformed, too large or unexpected.
    #[error("malformed startup: {0}")]
    Protocol(&'static str),
    /// The caller requests an unsupported major version of the protocol.
    #[error("unsupported protocol version {major}")]
    Version {
        /// Requested major version.
        major: u16,
    },
    /// The startup message contains no user name.
    #[error("no user name in the startup message")]
    NoUser,
    /// The caller requests a replication connection.
    #[error("replication connections are not supported")]
    Replication,
    /// The `options` startup parameter is malformed.
    #[error("malformed startup options: {0}")]
    Options(Box<str>),
    /// The user is unknown, the password is wrong, or the SCRAM exchange is malformed.
    #[error("login of {user} failed: {reason}")]
    Login {
        /// User name.
        user: Box<str>,
        /// Error of the SCRAM exchange.
        reason: scram::server::Error,
    },
    /// A message could not be read, decoded or written.
    #[error(transparent)]
    Frame(#[from] frame::Error),
    /// The TLS handshake failed.
    #[error(transparent)]
    Tls(#[from] tls::Error),
}

impl Error {
    /// Returns the answer for the caller, or `None` if the connection cannot carry one.
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
            Error::NoUser => handshake::no_user_answer(),
            Error::Replication => Answer::unsupported(
                "a replication connection",
                "Connect to the database itself.",
            ),
            Error::Login { user, reason } => login_answer(user, *reason),
        };
        Some(answer.fatal())
    }
}

/// Returns the same answer for a wrong password and an unknown user, to hide which users exist.
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
