//! Errors that a member returns to its callers.

use rusqlite::ffi;

/// SQLSTATE of a write on a member that is not the primary, or in a read-only transaction.
pub const READ_ONLY: &str = "25006";
/// SQLSTATE of a statement in a failed transaction block.
pub const FAILED_TRANSACTION: &str = "25P02";
/// SQLSTATE of a cancelled statement.
pub const QUERY_CANCELED: &str = "57014";
/// SQLSTATE of a session that ends because the member stops.
pub const ADMIN_SHUTDOWN: &str = "57P01";
/// SQLSTATE of a wait for a lock that timed out.
pub const LOCK_NOT_AVAILABLE: &str = "55P03";
/// SQLSTATE of a startup beyond the connection limit.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE of a feature that the member does not support.
pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// SQLSTATE of a statement that can't be parsed.
pub const SYNTAX_ERROR: &str = "42601";
/// SQLSTATE of an unknown prepared statement.
pub const INVALID_STATEMENT_NAME: &str = "26000";
/// SQLSTATE of an unknown portal.
pub const INVALID_CURSOR_NAME: &str = "34000";
/// SQLSTATE of a value that can't be parsed as its type.
pub const INVALID_TEXT_REPRESENTATION: &str = "22P02";
/// SQLSTATE of a protocol message that is not allowed in the current state.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE of a malformed line in COPY data.
pub const BAD_COPY_FORMAT: &str = "22P04";
/// SQLSTATE of an unknown setting.
pub const UNDEFINED_OBJECT: &str = "42704";
/// SQLSTATE of an invalid argument or setting value.
pub const INVALID_PARAMETER_VALUE: &str = "22023";
/// SQLSTATE of an internal error of the member.
pub const INTERNAL_ERROR: &str = "XX000";

/// Error that a caller receives.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct SqlError {
    /// SQLSTATE of the error.
    pub code: &'static str,
    /// Message text of the error.
    pub message: Box<str>,
}

impl SqlError {
    /// Creates an error with a SQLSTATE and a message.
    pub fn new(code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Returns the error for a write on a member that is not the primary.
    pub fn read_only() -> Self {
        Self::new(READ_ONLY, "cannot write: this member is not the primary")
    }

    /// Returns the error for a session that ends because the member stops.
    pub fn stopped() -> Self {
        Self::new(ADMIN_SHUTDOWN, "terminating connection: the member stops")
    }

    /// Returns the error for a cancelled statement.
    pub fn canceled() -> Self {
        Self::new(QUERY_CANCELED, "canceling statement due to user request")
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        Self::new(sql_state(&error, &message), message)
    }
}

fn sql_state(error: &rusqlite::Error, message: &str) -> &'static str {
    if message.contains("no such table") {
        return "42P01";
    }
    if message.contains("already exists") {
        return "42P07";
    }
    if message.contains("no such column") || message.contains("has no column named") {
        return "42703";
    }
    if message.contains("no such function") {
        return "42883";
    }
    let inner = match error {
        rusqlite::Error::SqliteFailure(inner, _) => inner,
        rusqlite::Error::SqlInputError { error: inner, .. } => inner,
        _ => return INTERNAL_ERROR,
    };
    match inner.extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => "23505",
        ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
        ffi::SQLITE_CONSTRAINT_CHECK => "23514",
        ffi::SQLITE_INTERRUPT => QUERY_CANCELED,
        ffi::SQLITE_BUSY | ffi::SQLITE_LOCKED => LOCK_NOT_AVAILABLE,
        ffi::SQLITE_READONLY => READ_ONLY,
        ffi::SQLITE_ERROR => SYNTAX_ERROR,
        _ => INTERNAL_ERROR,
    }
}
