//! Errors and notices that the proxy itself creates, and their SQLSTATE codes.
//!
//! | answer | SQLSTATE | meaning for the caller |
//! | --- | --- | --- |
//! | [`Answer::overloaded`] | `53300` | not run: no free connection or queue slot; retry after the given time |
//! | [`Answer::not_served`] | `57P03` | not run: no member could serve the request in time; retry |
//! | [`Answer::no_primary`] | `57P03` | not run: the group has no primary at the moment; retry |
//! | [`Answer::draining`] | `57P03` | not run: the proxy is shutting down; reconnect and retry |
//! | [`Answer::outcome_unknown`] | `08007` | the write was sent and its outcome is unknown; check before a retry |
//! | [`Answer::connection_lost`] | `08006` | the database connection was lost and the request rolled back; retry |
//! | [`Answer::shutdown`] | `57P01` | the proxy closes the connection to shut down; reconnect |
//! | [`Answer::login_failed`] | `28P01` | unknown caller or wrong password |
//! | [`Answer::protocol_violation`] | `08P01` | malformed, oversized or unexpected message |
//! | [`Answer::unsupported`] | `0A000` | feature that does not work on shared connections; see the hint |
//! | [`Answer::invalid_value`] | `22023` | invalid value of a setting or token |
//! | [`Answer::invalid_setting`] | `22023` | not run: the database rejected a setting of the session |
//! | [`Answer::idle_in_transaction`] | `25P03` | the transaction was idle for too long and was rolled back |
//! | [`Answer::canceled`] | `57014` | the statement was canceled on the caller's request |
//!
//! A detail that starts with [`NOT_RUN`] guarantees that the proxy did not send the request to a database. Answers
//! without a detail, such as [`Answer::unsupported`], say nothing about this.

use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;

use crate::backend::DatabaseError;
use crate::frame::{self, Frame};

/// SQLSTATE codes that the proxy sends or interprets.
pub mod sqlstate {
    /// The request got no connection or queue slot before its deadline and was not run; from a database: its limit of
    /// connections is reached.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// No member can serve the request, or the proxy is draining; the request was not run.
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    /// A write was sent and its outcome is unknown.
    pub const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";
    /// The connection to the database was lost during a read or an uncommitted transaction.
    pub const CONNECTION_FAILURE: &str = "08006";
    /// The proxy is shutting down.
    pub const ADMIN_SHUTDOWN: &str = "57P01";
    /// Unknown caller or wrong password.
    pub const INVALID_PASSWORD: &str = "28P01";
    /// The login cannot be attempted, for example because the user name is missing.
    pub const INVALID_AUTHORIZATION: &str = "28000";
    /// The database or service named in the startup message does not exist.
    pub const INVALID_CATALOG_NAME: &str = "3D000";
    /// A malformed or unexpected message.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A feature that the proxy does not support.
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    /// The value of a setting is invalid.
    pub const INVALID_PARAMETER_VALUE: &str = "22023";
    /// The setting does not exist.
    pub const UNDEFINED_OBJECT: &str = "42704";
    /// The prepared statement does not exist.
    pub const INVALID_SQL_STATEMENT_NAME: &str = "26000";
    /// The prepared statement exists already.
    pub const DUPLICATE_PREPARED_STATEMENT: &str = "42P05";
    /// A statement was sent in a failed transaction.
    pub const IN_FAILED_SQL_TRANSACTION: &str = "25P02";
    /// A write was sent in a read-only transaction or to a member that only serves reads.
    pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    /// The statement was canceled on the caller's request.
    pub const QUERY_CANCELED: &str = "57014";
    /// A session was idle for too long.
    pub const IDLE_SESSION_TIMEOUT: &str = "57P05";
    /// A transaction was idle for too long.
    pub const IDLE_IN_TRANSACTION_TIMEOUT: &str = "25P03";
    /// A configured limit is reached.
    pub const CONFIGURATION_LIMIT_EXCEEDED: &str = "53400";
    /// The proxy found its own state inconsistent.
    pub const INTERNAL_ERROR: &str = "XX000";
    /// The answer is a notice, not an error.
    pub const SUCCESSFUL_COMPLETION: &str = "00000";
    /// The answer is a warning without a code of its own.
    pub const WARNING: &str = "01000";
}

/// Prefix of a detail which says that the proxy did not send the request to a database.
pub const NOT_RUN: &str = "not run";

/// Severity of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Information; the statement succeeded.
    Notice,
    /// Possible problem; the statement succeeded.
    Warning,
    /// The statement failed; the session continues.
    Error,
    /// The proxy closes the connection after the answer.
    Fatal,
}

impl Severity {
    /// Returns the severity as the protocol spells it.
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Notice => "NOTICE",
            Severity::Warning => "WARNING",
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// An error or notice that the proxy itself creates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Severity, which decides between an ErrorResponse and a NoticeResponse.
    pub severity: Severity,
    /// SQLSTATE code.
    pub code: &'static str,
    /// Primary message, one sentence.
    pub message: Box<str>,
    /// Detail, such as whether the request was run.
    pub detail: Option<Box<str>>,
    /// Advice for the caller.
    pub hint: Option<Box<str>>,
}

impl Answer {
    /// Creates an answer without detail and hint.
    pub fn new(severity: Severity, code: &'static str, message: impl Into<Box<str>>) -> Answer {
        Answer {
            severity,
            code,
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    /// Creates an error without detail and hint.
    pub fn error(code: &'static str, message: impl Into<Box<str>>) -> Answer {
        Answer::new(Severity::Error, code, message)
    }

    /// Sets the detail.
    pub fn with_detail(mut self, detail: impl Into<Box<str>>) -> Answer {
        self.detail = Some(detail.into());
        self
    }

    /// Sets the hint.
    pub fn with_hint(mut self, hint: impl Into<Box<str>>) -> Answer {
        self.hint = Some(hint.into());
        self
    }

    /// Raises the severity to [`Severity::Fatal`], after which the connection is closed.
    pub fn fatal(mut self) -> Answer {
        self.severity = Severity::Fatal;
        self
    }

    /// Reports that the request was not run, because it got no connection or queue slot before its deadline.
    pub fn overloaded(service: &str, retry_after_ms: u64) -> Answer {
        not_run(
            sqlstate::TOO_MANY_CONNECTIONS,
            format!("service {service} is overloaded"),
            retry_after_ms,
        )
    }

    /// Reports that the request was not run, because no member could serve it before its deadline.
    pub fn not_served(service: &str, retry_after_ms: u64) -> Answer {
        not_run(
            sqlstate::CANNOT_CONNECT_NOW,
            format!("no member of service {service} could serve the request in time"),
            retry_after_ms,
        )
    }

    /// Reports that the request was not run, because the group has no primary that could run it before its deadline.
    pub fn no_primary(service: &str, retry_after_ms: u64) -> Answer {
        not_run(
            sqlstate::CANNOT_CONNECT_NOW,
            format!("service {service} has no primary at the moment"),
            retry_after_ms,
        )
    }

    /// Reports that the request was not run, because the proxy is draining and accepts no new requests.
    pub fn draining(retry_after_ms: u64) -> Answer {
        let message = "the proxy is shutting down and takes no new requests".to_owned();
        not_run(sqlstate::CANNOT_CONNECT_NOW, message, retry_after_ms)
            .with_hint("Connect again; another proxy will answer.")
    }

    /// Reports that the write was sent to a database and that its outcome is unknown.
    pub fn outcome_unknown(reason: &str) -> Answer {
        Answer::error(
            sqlstate::TRANSACTION_RESOLUTION_UNKNOWN,
            format!("the outcome of the write is unknown: {reason}"),
        )
        .with_detail("outcome unknown; the write was sent to the database and may have run")
        .with_hint("Read whether the write is there before you repeat it.")
    }

    /// Reports that the connection to the database was lost and that no write of the request was committed.
    pub fn connection_lost(reason: &str) -> Answer {
        Answer::error(
            sqlstate::CONNECTION_FAILURE,
            format!("the connection to the database was lost: {reason}"),
        )
        .with_detail("rolled back; nothing that the request wrote was committed")
        .with_hint("Run the transaction again.")
    }

    /// Reports that the proxy closes the connection because it is shutting down.
    pub fn shutdown() -> Answer {
        Answer::new(
            Severity::Fatal,
            sqlstate::ADMIN_SHUTDOWN,
            "terminating the connection because the proxy shuts down",
        )
        .with_hint("Connect again; another proxy will answer.")
    }

    /// Reports that the caller is unknown or its password is wrong. One text for both hides which callers exist.
    pub fn login_failed(user: &str) -> Answer {
        Answer::new(
            Severity::Fatal,
            sqlstate::INVALID_PASSWORD,
            format!("password authentication failed for user \"{user}\""),
        )
    }

    /// Reports a malformed, oversized or unexpected message, after which the proxy closes the connection.
    pub fn protocol_violation(reason: impl Into<Box<str>>) -> Answer {
        Answer::new(Severity::Fatal, sqlstate::PROTOCOL_VIOLATION, reason)
    }

    /// Reports that the caller used a feature that the proxy does not support.
    pub fn unsupported(feature: &str, hint: &str) -> Answer {
        Answer::error(
            sqlstate::FEATURE_NOT_SUPPORTED,
            format!("{feature} is not supported through the proxy"),
        )
        .with_hint(hint)
    }

    /// Reports an invalid value of a setting or token.
    pub fn invalid_value(name: &str, reason: &str) -> Answer {
        Answer::error(
            sqlstate::INVALID_PARAMETER_VALUE,
            format!("invalid value for parameter \"{name}\": {reason}"),
        )
    }

    /// Reports that the request was not run, because the database rejected a setting of the session with `error`.
    pub fn invalid_setting(error: &DatabaseError) -> Answer {
        Answer::error(
            sqlstate::INVALID_PARAMETER_VALUE,
            format!("a setting of the session is refused: {}", error.message),
        )
        .with_detail(format!("{NOT_RUN}; the database answered {}", error.code))
        .with_hint("Reset the setting, or leave it out of the startup options.")
    }

    /// Reports that the caller left a transaction idle for too long. The proxy rolls it back and closes the connection.
    pub fn idle_in_transaction() -> Answer {
        Answer::new(
            Severity::Fatal,
            sqlstate::IDLE_IN_TRANSACTION_TIMEOUT,
            "terminating the connection because its transaction was idle for too long",
        )
        .with_detail("rolled back; nothing that the transaction wrote was committed")
        .with_hint("Send the statements of a transaction within the service's request_timeout_ms.")
    }

    /// Reports that the statement was canceled on the caller's request.
    pub fn canceled() -> Answer {
        Answer::error(
            sqlstate::QUERY_CANCELED,
            "canceling statement due to user request",
        )
    }

    /// Encodes the answer as an ErrorResponse, or as a NoticeResponse if its severity is below an error.
    pub fn frame(&self) -> Frame {
        let message = match self.severity {
            Severity::Notice | Severity::Warning => {
                PgWireBackendMessage::NoticeResponse(self.fields().into())
            }
            Severity::Error | Severity::Fatal => {
                PgWireBackendMessage::ErrorResponse(self.fields().into())
            }
        };
        frame::encode_backend(&message)
    }

    fn fields(&self) -> ErrorInfo {
        let severity = self.severity.as_str();
        let mut info = ErrorInfo::new(
            severity.into(),
            self.code.into(),
            without_zero_bytes(&self.message),
        );
        info.detail = self.detail.as_deref().map(without_zero_bytes);
        info.hint = self.hint.as_deref().map(without_zero_bytes);
        info.severity_nonlocalized = Some(severity.into());
        info
    }
}

/// Removes zero bytes, because a zero byte ends a field in the protocol.
fn without_zero_bytes(text: &str) -> String {
    text.replace('\0', "")
}

fn not_run(code: &'static str, message: String, retry_after_ms: u64) -> Answer {
    Answer::error(code, message)
        .with_detail(format!("{NOT_RUN}; retry after {retry_after_ms} ms"))
        .with_hint("The request did not reach a database and may be repeated.")
}
