//! Classifies SQL statements by their effect on data, transaction and session.
//!
//! `sqlparser` parses the statements in PostgreSQL's dialect. A text that cannot be parsed becomes a single write whose
//! [`Statement::parsed`] is false, or a [`Kind::Pin`] if it may call a control function of the members. It may also
//! have changed the state of the session, so its connection must be reset before other callers share it.
//!
//! A SELECT counts as a read only if it locks no rows, creates no table, contains no data-modifying statement and calls
//! only functions in [`functions::READ_ONLY`]. The classification does not detect effects of the functions that views,
//! rules, operators and casts call.

mod cache;
mod classify;
pub mod functions;
mod settings;
mod visit;

pub use cache::Cache;
pub use classify::{MAX_SQL_BYTES, classify};
pub use settings::changes_syntax;

/// A classified statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Effect of the statement.
    pub kind: Kind,
    /// Tables that the statement names, sorted, with their schemas if given, and without common table expressions.
    pub tables: Vec<Box<str>>,
    /// Whether the text was parsed; if not, the statement stands for the whole text.
    pub parsed: bool,
}

impl Statement {
    /// Creates a parsed statement that names no tables.
    fn new(kind: Kind) -> Statement {
        Statement {
            kind,
            tables: Vec::new(),
            parsed: true,
        }
    }

    /// Creates the statement that stands for a text that cannot be parsed.
    fn unparsed() -> Statement {
        Statement {
            kind: Kind::Write,
            tables: Vec::new(),
            parsed: false,
        }
    }
}

/// Effect of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Reads data and changes nothing, so that a replica can run it.
    Read,
    /// Changes data, locks rows, or may do so.
    Write,
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is declared READ ONLY.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets, releases or rolls back to a savepoint.
    Savepoint,
    /// Sets the characteristics of the current transaction.
    SetTransaction {
        /// Whether the access mode is READ ONLY; `None` if the statement sets no access mode.
        read_only: Option<bool>,
    },
    /// Sets a run-time parameter.
    Set {
        /// Name of the parameter in lower case.
        name: Box<str>,
        /// Value as the text that `set_config` accepts.
        value: Box<str>,
        /// Whether the setting ends with the current transaction (`SET LOCAL`).
        local: bool,
    },
    /// Shows a run-time parameter, or `all`.
    Show {
        /// Name of the parameter in lower case.
        name: Box<str>,
    },
    /// Sets a run-time parameter, or `all`, to its default.
    Reset {
        /// Name of the parameter in lower case.
        name: Box<str>,
        /// Whether the setting ends with the current transaction (`SET LOCAL x TO DEFAULT`).
        local: bool,
    },
    /// Discards all state of the session.
    DiscardAll,
    /// Copies rows from the caller into a table (`COPY … FROM STDIN`).
    CopyIn,
    /// Copies a table or the result of a read to the caller (`COPY … TO STDOUT`).
    CopyOut,
    /// Prepares a statement with the SQL command PREPARE.
    Prepare {
        /// Name of the prepared statement.
        name: Box<str>,
        /// Classification of the prepared statement.
        statement: Box<Statement>,
    },
    /// Runs a prepared statement with the SQL command EXECUTE.
    ExecutePrepared {
        /// Name of the prepared statement.
        name: Box<str>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name of the prepared statement, `None` for all.
        name: Option<Box<str>>,
    },
    /// Cannot run on a connection that sessions share, so that it would pin its session to one connection: it depends
    /// on state of the session, or changes state, that the proxy cannot transfer to another connection. Also stands for
    /// statements that the proxy refuses for the other reasons in [`PinReason`].
    Pin(PinReason),
    /// The text contains only white space, comments and semicolons.
    Empty,
}

/// Reason why a statement cannot run on a connection that sessions share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinReason {
    /// LISTEN or UNLISTEN.
    Listen,
    /// A temporary table, view or sequence.
    TemporaryTable,
    /// A cursor that outlives its transaction.
    CursorWithHold,
    /// An advisory lock of the session.
    AdvisoryLock,
    /// `set_config` for the session. Its name and value may be expressions, which the proxy cannot evaluate.
    SetConfig,
    /// `currval` or `lastval`, which depend on an earlier `nextval` of the same session.
    SequenceValue,
    /// SET SESSION AUTHORIZATION, or several session characteristics at once.
    SessionState,
    /// COMMIT AND CHAIN, which starts the next transaction before the commit is known to be safe.
    CommitAndChain,
    /// A control function of a group's members, which callers must not run.
    GroupControl,
    /// A setting with which the database reads statements otherwise than the proxy, see [`changes_syntax`].
    Syntax,
}

impl PinReason {
    /// Returns the feature that the statement uses, for an error message.
    pub fn feature(self) -> &'static str {
        match self {
            PinReason::Listen => "LISTEN",
            PinReason::TemporaryTable => "a temporary table",
            PinReason::CursorWithHold => "a cursor WITH HOLD",
            PinReason::AdvisoryLock => "a session advisory lock",
            PinReason::SetConfig => "set_config for the session",
            PinReason::SequenceValue => "currval or lastval",
            PinReason::SessionState => "a change of the session's authorization",
            PinReason::CommitAndChain => "COMMIT AND CHAIN",
            PinReason::GroupControl => "a control function of the database group",
            PinReason::Syntax => "a setting that changes how SQL is read",
        }
    }

    /// Returns an alternative to the statement, for the hint of an error.
    pub fn hint(self) -> &'static str {
        match self {
            PinReason::Listen => "Connect to the database itself to listen.",
            PinReason::TemporaryTable => "Use a common table expression or an ordinary table.",
            PinReason::CursorWithHold => "Declare the cursor WITHOUT HOLD within a transaction.",
            PinReason::AdvisoryLock => "Use pg_advisory_xact_lock within a transaction.",
            PinReason::SetConfig => "Use SET, or set_config with is_local true.",
            PinReason::SequenceValue => "Use INSERT ... RETURNING.",
            PinReason::SessionState => "Log in as the user that is needed.",
            PinReason::CommitAndChain => "Send COMMIT, and then BEGIN.",
            PinReason::GroupControl => "The proxy runs these functions itself.",
            PinReason::Syntax => {
                "Keep standard_conforming_strings on, and use an encoding such as UTF8 or LATIN1."
            }
        }
    }
}
