//! What a statement does, found from its SQL text.
//!
//! Statements are parsed with `sqlparser` in PostgreSQL's dialect. What can't be parsed is one write whose
//! [`Statement::parsed`] is false: it may have changed the state of the session as well, so its connection should not
//! be shared afterwards without a reset.
//!
//! A SELECT counts as a read only when it locks no rows, creates no table, holds no data-modifying statement and
//! calls only functions of [`functions::READ_ONLY`]. What a view, rule, operator or cast does beneath is not seen.

mod cache;
mod classify;
pub mod functions;
mod settings;
mod visit;

pub use cache::Cache;
pub use classify::{MAX_SQL_BYTES, classify};

/// One statement of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// What it does.
    pub kind: Kind,
    /// Tables that it names, sorted; a schema is kept. Common table expressions are left out.
    pub tables: Vec<Box<str>>,
    /// Whether the text could be parsed.
    pub parsed: bool,
}

impl Statement {
    /// A parsed statement that names no tables.
    fn new(kind: Kind) -> Statement {
        Statement {
            kind,
            tables: Vec::new(),
            parsed: true,
        }
    }

    /// What stands for a text that can't be parsed.
    fn unparsed() -> Statement {
        Statement {
            kind: Kind::Write,
            tables: Vec::new(),
            parsed: false,
        }
    }
}

/// What a statement does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Changes nothing; a replica may answer it.
    Read,
    /// Changes data, locks rows, or can't be told from what does.
    Write,
    /// Starts a transaction.
    Begin {
        /// Whether it is declared read-only.
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
        /// The access mode, when it is among them.
        read_only: Option<bool>,
    },
    /// Sets a run-time parameter.
    Set {
        /// Name in lower case.
        name: Box<str>,
        /// The value in the form that `set_config` takes.
        value: Box<str>,
        /// Whether it lasts for the current transaction only.
        local: bool,
    },
    /// Shows a run-time parameter, or `all`.
    Show {
        /// Name in lower case.
        name: Box<str>,
    },
    /// Sets a run-time parameter, or `all`, to its default.
    Reset {
        /// Name in lower case.
        name: Box<str>,
        /// Whether it lasts for the current transaction only (`SET LOCAL x TO DEFAULT`).
        local: bool,
    },
    /// Drops all state of the session.
    DiscardAll,
    /// Copies from the caller into a table.
    CopyIn,
    /// Copies a table or the rows of a read to the caller.
    CopyOut,
    /// Prepares a statement by SQL.
    Prepare {
        /// Name of the prepared statement.
        name: Box<str>,
        /// What the prepared statement does.
        statement: Box<Statement>,
    },
    /// Runs a statement that was prepared by SQL.
    ExecutePrepared {
        /// Name of the prepared statement.
        name: Box<str>,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name of the prepared statement, `None` for all.
        name: Option<Box<str>>,
    },
    /// Changes or needs state of the session that can't be carried to another connection.
    Pin(PinReason),
    /// Nothing but white space and comments.
    Empty,
}

/// Why a statement can't run on a shared connection.
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
    /// `set_config` for the session, whose name and value may be computed.
    SetConfig,
    /// `currval` or `lastval`, which depend on an earlier `nextval` of the same session.
    SequenceValue,
    /// SET SESSION AUTHORIZATION, or several session characteristics at once.
    SessionState,
    /// COMMIT AND CHAIN: the next transaction starts before the commit is known to be safe.
    CommitAndChain,
    /// A control function of a group's members; callers must not run it.
    GroupControl,
}

impl PinReason {
    /// What the statement uses, for an error message.
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
        }
    }

    /// What to do instead, for an error hint.
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
        }
    }
}
