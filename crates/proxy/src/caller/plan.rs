//! Decides how to serve the statements of a caller's message.

use std::sync::Arc;

use fulmarlift_wire::class;

use crate::caller::proxy_answers;

/// Reason for which the proxy does not serve statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Feature that the proxy does not support on shared connections.
    pub feature: &'static str,
    /// Advice to the caller.
    pub hint: &'static str,
}

/// Advice to callers that use the SQL statements PREPARE or EXECUTE.
const PREPARE_HINT: &str = "Prepare through the protocol, as drivers do.";

/// How to serve statements that run together.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// The statements execute nothing.
    Nothing,
    /// A replica may serve the statements.
    Read {
        /// Tables that the statements read, sorted.
        tables: Vec<Box<str>>,
    },
    /// The primary must serve the statements.
    Write {
        /// Tables that the statements read or write, sorted.
        tables: Vec<Box<str>>,
    },
    /// The statements only read or change settings of the session, so that any member can serve them.
    Settings,
    /// The proxy cannot serve the statements on a shared connection.
    Refused(Refusal),
}

impl Plan {
    /// Returns the plan that serves the same statements at the primary.
    pub fn into_write(self) -> Self {
        match self {
            Self::Read { tables } => Self::Write { tables },
            other => other,
        }
    }

    /// Returns the plan for statements that run together.
    pub fn of(statements: &[class::Statement]) -> Self {
        if let Some(refusal) = refusal(statements) {
            return Self::Refused(refusal);
        }
        let executed = statements.iter().filter(|s| s.kind != class::Kind::Empty);
        let executed: Vec<&class::Statement> = executed.collect();
        if executed.is_empty() {
            return Self::Nothing;
        }
        if executed.iter().all(|statement| is_setting(&statement.kind)) {
            return Self::Settings;
        }
        let mut tables: Vec<Box<str>> = executed
            .iter()
            .flat_map(|statement| statement.tables.iter().cloned())
            .collect();
        tables.sort();
        tables.dedup();
        match executed.iter().all(|statement| is_read(&statement.kind)) {
            true => Self::Read { tables },
            false => Self::Write { tables },
        }
    }
}

/// Returns the reason for which the proxy does not serve statements that run together, if there is one.
pub fn refusal(statements: &[class::Statement]) -> Option<Refusal> {
    let refused = statements.iter().find_map(|s| refusal_of_kind(&s.kind));
    refused
        .or_else(|| refusal_of_transaction_end(statements))
        .or_else(|| refusal_of_mixture(statements))
}

/// Returns the reason for which the proxy does not serve one of several statements that do not run together, if there
/// is one.
pub fn refusal_of_any(statements: &[class::Statement]) -> Option<Refusal> {
    statements.iter().find_map(|s| refusal_of_kind(&s.kind))
}

/// Refuses statements after a COMMIT in the same message, because the proxy acknowledges a commit only once it is safe.
/// Refuses settings beside a ROLLBACK, because settings made after the rollback stay while those before it are undone.
fn refusal_of_transaction_end(statements: &[class::Statement]) -> Option<Refusal> {
    let commits = |s: &class::Statement| s.kind == class::Kind::Commit;
    let rolls_back = |s: &class::Statement| s.kind == class::Kind::Rollback;
    let commit = statements.iter().position(commits);
    let after = commit.map_or(&[][..], |commit| &statements[commit + 1..]);
    if after.iter().any(|s| s.kind != class::Kind::Empty) {
        return Some(Refusal {
            feature: "a COMMIT followed by other statements in one message",
            hint: "Send the COMMIT and what follows it one after the other.",
        });
    }
    let sets = |s: &class::Statement| {
        matches!(
            s.kind,
            class::Kind::Set { .. } | class::Kind::Reset { .. } | class::Kind::DiscardAll
        )
    };
    let sets_beside_rollback = statements.iter().any(rolls_back) && statements.iter().any(sets);
    sets_beside_rollback.then_some(Refusal {
        feature: "a setting beside a ROLLBACK in one message",
        hint: "Send them one after the other.",
    })
}

/// Refuses statements that the proxy answers itself beside other statements, because members do not know the proxy's
/// own settings.
fn refusal_of_mixture(statements: &[class::Statement]) -> Option<Refusal> {
    let executed = statements.iter().filter(|s| s.kind != class::Kind::Empty);
    let (answered_by_proxy, other): (Vec<_>, Vec<_>) =
        executed.partition(|s| proxy_answers::is_proxy_statement(s));
    (!answered_by_proxy.is_empty() && !other.is_empty()).then_some(Refusal {
        feature: "a statement that the proxy answers itself beside others in one message",
        hint: "Send them one after the other.",
    })
}

/// Returns whether statements that were sent to a member may have committed a write.
pub fn may_commit(statements: &[class::Statement], in_transaction: bool) -> bool {
    let mut open = in_transaction;
    for statement in statements {
        match &statement.kind {
            _ if !statement.parsed => return true,
            class::Kind::Commit => return true,
            class::Kind::Begin { .. } => open = true,
            class::Kind::Rollback => open = false,
            kind if !open && !is_read(kind) && *kind != class::Kind::Empty => return true,
            _ => {}
        }
    }
    false
}

/// Returns whether statements that may have run may run again: they are one write, to repeatable tables only.
pub fn is_repeatable(statements: &[class::Statement], repeatable: &[Box<str>]) -> bool {
    let [statement] = statements else {
        return false;
    };
    let mut tables = statement.tables.iter();
    statement.parsed
        && statement.kind == class::Kind::Write
        && !statement.tables.is_empty()
        && tables.all(|table| repeatable.contains(table))
}

/// Returns whether the statements ask for a read-only transaction.
pub fn begins_read_only(statements: &[class::Statement]) -> bool {
    statements.iter().any(|s| {
        matches!(
            s.kind,
            class::Kind::Begin { read_only: true }
                | class::Kind::SetTransaction {
                    read_only: Some(true)
                }
        )
    })
}

fn refusal_of_kind(kind: &class::Kind) -> Option<Refusal> {
    let (feature, hint) = match kind {
        class::Kind::Pin(reason) => (reason.feature(), reason.hint()),
        class::Kind::Prepare { .. } => ("PREPARE as a statement", PREPARE_HINT),
        class::Kind::ExecutePrepared { .. } => ("EXECUTE as a statement", PREPARE_HINT),
        _ => return None,
    };
    Some(Refusal { feature, hint })
}

fn is_setting(kind: &class::Kind) -> bool {
    matches!(
        kind,
        class::Kind::Set { .. }
            | class::Kind::Show { .. }
            | class::Kind::Reset { .. }
            | class::Kind::DiscardAll
    )
}

fn is_read(kind: &class::Kind) -> bool {
    is_setting(kind)
        || matches!(
            kind,
            class::Kind::Read | class::Kind::CopyOut | class::Kind::Begin { read_only: true }
        )
}

/// Classes of the statements of one text, shared between the uses of the text in a session.
pub type Classes = Arc<[class::Statement]>;
