//! Errors and notices that the proxy sends on its own account, with their SQLSTATE codes in one place.
//!
//! | answer | SQLSTATE | meaning for the caller |
//! | --- | --- | --- |
//! | [`Answer::overloaded`] | `53300` | not run, no connection or place in the queue; retry after the time given |
//! | [`Answer::no_primary`], [`Answer::draining`] | `57P03` | not run, the group or proxy takes no work now; retry |
//! | [`Answer::outcome_unknown`] | `08007` | the write was sent and its outcome is not known; never repeat blindly |
//! | [`Answer::shutdown`] | `57P01` | the proxy stops; reconnect |
//! | [`Answer::login_failed`] | `28P01` | unknown caller or wrong password |
//! | [`Answer::protocol_violation`] | `08P01` | a malformed, oversized or unexpected message |
//! | [`Answer::unsupported`] | `0A000` | a feature that cannot be shared; the hint says what to do |
//! | [`Answer::invalid_value`] | `22023` | a setting or token that makes no sense |
//! | [`Answer::idle_in_transaction`] | `25P03` | a transaction left open was rolled back |
//! | [`Answer::canceled`] | `57014` | canceled on the caller's request |
//!
//! A request refused as not run never left the proxy: the detail starts with [`NOT_RUN`].

use pgwire::error::ErrorInfo;
use pgwire::messages::PgWireBackendMessage;

use crate::backend::DatabaseError;
use crate::frame::{self, Frame};

/// SQLSTATE codes.
pub mod sqlstate {
    /// No connection or place in the queue within the deadline; not run.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// No primary, or the proxy is draining; not run.
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    /// A write was sent and its outcome is not known.
    pub const TRANSACTION_RESOLUTION_UNKNOWN: &str = "08007";
    /// The connection to the database was lost within a read or an unfinished transaction.
    pub const CONNECTION_FAILURE: &str = "08006";
    /// The proxy stops.
    pub const ADMIN_SHUTDOWN: &str = "57P01";
    /// Unknown caller or wrong password.
    pub const INVALID_PASSWORD: &str = "28P01";
    /// The login cannot be tried, such as without a user name.
    pub const INVALID_AUTHORIZATION: &str = "28000";
    /// The database or service named at startup does not exist.
    pub const INVALID_CATALOG_NAME: &str = "3D000";
    /// A malformed or unexpected message.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// A feature that the proxy does not carry.
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    /// A setting's value makes no sense.
    pub const INVALID_PARAMETER_VALUE: &str = "22023";
    /// No such setting.
    pub const UNDEFINED_OBJECT: &str = "42704";
    /// No such prepared statement.
    pub const INVALID_SQL_STATEMENT_NAME: &str = "26000";
    /// The prepared statement exists already.
    pub const DUPLICATE_PREPARED_STATEMENT: &str = "42P05";
    /// A statement in a failed transaction.
    pub const IN_FAILED_SQL_TRANSACTION: &str = "25P02";
    /// A write where only reads are possible.
    pub const READ_ONLY_SQL_TRANSACTION: &str = "25006";
    /// Canceled on the caller's request.
    pub const QUERY_CANCELED: &str = "57014";
    /// A request took longer than its deadline allows.
    pub const IDLE_SESSION_TIMEOUT: &str = "57P05";
    /// A transaction was left open for too long.
    pub const IDLE_IN_TRANSACTION_TIMEOUT: &str = "25P03";
    /// A limit of the configuration is reached.
    pub const CONFIGURATION_LIMIT_EXCEEDED: &str = "53400";
    /// An inconsistency within the proxy.
    pub const INTERNAL_ERROR: &str = "XX000";
    /// Code of a notice.
    pub const SUCCESSFUL_COMPLETION: &str = "00000";
    /// Code of a warning.
    pub const WARNING: &str = "01000";
}

/// Start of the detail of every answer to a request that was not run.
pub const NOT_RUN: &str = "not run";

/// How bad an answer is for the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Information.
    Notice,
    /// Something that deserves attention.
    Warning,
    /// The statement failed.
    Error,
    /// The connection is closed after it.
    Fatal,
}

impl Severity {
    /// The protocol's word.
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Notice => "NOTICE",
            Severity::Warning => "WARNING",
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// An error or notice of the proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How bad it is.
    pub severity: Severity,
    /// SQLSTATE.
    pub code: &'static str,
    /// One sentence.
    pub message: Box<str>,
    /// What happened to the request.
    pub detail: Option<Box<str>>,
    /// What to do.
    pub hint: Option<Box<str>>,
}

impl Answer {
    /// An answer without detail and hint.
    pub fn new(severity: Severity, code: &'static str, message: impl Into<Box<str>>) -> Answer {
        Answer {
            severity,
            code,
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    /// An error without detail and hint.
    pub fn error(code: &'static str, message: impl Into<Box<str>>) -> Answer {
        Answer::new(Severity::Error, code, message)
    }

    /// Adds the detail.
    pub fn with_detail(mut self, detail: impl Into<Box<str>>) -> Answer {
        self.detail = Some(detail.into());
        self
    }

    /// Adds the hint.
    pub fn with_hint(mut self, hint: impl Into<Box<str>>) -> Answer {
        self.hint = Some(hint.into());
        self
    }

    /// The same answer, after which the connection is closed.
    pub fn fatal(mut self) -> Answer {
        self.severity = Severity::Fatal;
        self
    }

    /// Not run: no connection or place in the queue before the deadline.
    pub fn overloaded(service: &str, retry_after_ms: u64) -> Answer {
        not_run(
            sqlstate::TOO_MANY_CONNECTIONS,
            format!("service {service} is overloaded"),
            retry_after_ms,
        )
    }

    /// Not run: no member could serve the request in time.
    pub fn not_served(service: &str, retry_after_ms: u64) -> Answer {
        not_run(
            sqlstate::CANNOT_CONNECT_NOW,
            format!("no member of service {service} could serve the request in time"),
            retry_after_ms,
        )
    }

    /// Not run: the group has no primary that could take the statement before the deadline.
    pub fn no_primary(service: &str, retry_after_ms: u64) -> Answer {
        not_run(
            sqlstate::CANNOT_CONNECT_NOW,
            format!("service {service} has no primary at the moment"),
            retry_after_ms,
        )
    }

    /// Not run: the proxy takes no new work.
    pub fn draining(retry_after_ms: u64) -> Answer {
        let message = "the proxy is shutting down and takes no new requests".to_owned();
        not_run(sqlstate::CANNOT_CONNECT_NOW, message, retry_after_ms)
            .with_hint("Connect again; another proxy will answer.")
    }

    /// The write was sent and its outcome is not known.
    pub fn outcome_unknown(reason: &str) -> Answer {
        Answer::error(
            sqlstate::TRANSACTION_RESOLUTION_UNKNOWN,
            format!("the outcome of the write is unknown: {reason}"),
        )
        .with_detail("outcome unknown; the write was sent to the database and may have run")
        .with_hint("Read whether the write is there before you repeat it.")
    }

    /// The connection to the database was lost and no write of the request can have lasted.
    pub fn connection_lost(reason: &str) -> Answer {
        Answer::error(
            sqlstate::CONNECTION_FAILURE,
            format!("the connection to the database was lost: {reason}"),
        )
        .with_detail("rolled back; nothing that the request wrote was committed")
        .with_hint("Run the transaction again.")
    }

    /// The proxy closes the connection.
    pub fn shutdown() -> Answer {
        Answer::new(
            Severity::Fatal,
            sqlstate::ADMIN_SHUTDOWN,
            "terminating the connection because the proxy shuts down",
        )
        .with_hint("Connect again; another proxy will answer.")
    }

    /// Unknown caller or wrong password; the two read the same.
    pub fn login_failed(user: &str) -> Answer {
        Answer::new(
            Severity::Fatal,
            sqlstate::INVALID_PASSWORD,
            format!("password authentication failed for user \"{user}\""),
        )
    }

    /// A malformed, oversized or unexpected message; the connection is closed.
    pub fn protocol_violation(reason: impl Into<Box<str>>) -> Answer {
        Answer::new(Severity::Fatal, sqlstate::PROTOCOL_VIOLATION, reason)
    }

    /// A feature that cannot be carried.
    pub fn unsupported(what: &str, hint: &str) -> Answer {
        Answer::error(
            sqlstate::FEATURE_NOT_SUPPORTED,
            format!("{what} is not supported through the proxy"),
        )
        .with_hint(hint)
    }

    /// A setting or token whose value makes no sense.
    pub fn invalid_value(name: &str, reason: &str) -> Answer {
        Answer::error(
            sqlstate::INVALID_PARAMETER_VALUE,
            format!("invalid value for parameter \"{name}\": {reason}"),
        )
    }

    /// A setting of the session that the database refuses.
    pub fn invalid_setting(error: &DatabaseError) -> Answer {
        Answer::error(
            sqlstate::INVALID_PARAMETER_VALUE,
            format!("a setting of the session is refused: {}", error.message),
        )
        .with_detail(format!("{NOT_RUN}; the database answered {}", error.code))
        .with_hint("Reset the setting, or leave it out of the startup options.")
    }

    /// The caller left a transaction open without going on; it is rolled back and the connection closed.
    pub fn idle_in_transaction() -> Answer {
        Answer::new(
            Severity::Fatal,
            sqlstate::IDLE_IN_TRANSACTION_TIMEOUT,
            "terminating the connection because its transaction was idle for too long",
        )
        .with_detail("rolled back; nothing that the transaction wrote was committed")
        .with_hint("Send the statements of a transaction within the service's request_timeout_ms.")
    }

    /// Canceled on the caller's request.
    pub fn canceled() -> Answer {
        Answer::error(
            sqlstate::QUERY_CANCELED,
            "canceling statement due to user request",
        )
    }

    /// The frame of an ErrorResponse, or of a NoticeResponse when the severity is below an error.
    pub fn frame(&self) -> Frame {
        let message = match self.severity {
            Severity::Notice | Severity::Warning => {
                PgWireBackendMessage::NoticeResponse(self.info().into())
            }
            Severity::Error | Severity::Fatal => {
                PgWireBackendMessage::ErrorResponse(self.info().into())
            }
        };
        frame::backend(&message)
    }

    /// The fields of the message. A zero byte would end a field early and is left out.
    fn info(&self) -> ErrorInfo {
        let severity = self.severity.as_str();
        let mut info = ErrorInfo::new(severity.into(), self.code.into(), field(&self.message));
        info.detail = self.detail.as_deref().map(field);
        info.hint = self.hint.as_deref().map(field);
        info.severity_nonlocalized = Some(severity.into());
        info
    }
}

fn field(text: &str) -> String {
    text.replace('\0', "")
}

fn not_run(code: &'static str, message: String, retry_after_ms: u64) -> Answer {
    Answer::error(code, message)
        .with_detail(format!("{NOT_RUN}; retry after {retry_after_ms} ms"))
        .with_hint("The request did not reach a database and may be repeated.")
}
