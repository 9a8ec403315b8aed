//! What a caller's message asks for.

use std::sync::Arc;

use fulmarlift_wire::class;

use crate::caller::proxy_answers;

/// Why statements cannot be served, and what to do instead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What cannot be served.
    pub feature: &'static str,
    /// What to do instead.
    pub hint: &'static str,
}

/// What to do instead of preparing by statement.
const PREPARE_HINT: &str = "Prepare through the protocol, as drivers do.";

/// What is to be done with statements.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// Nothing is executed.
    Nothing,
    /// A replica may serve them.
    Read {
        /// Tables that are read.
        tables: Vec<Box<str>>,
    },
    /// The primary serves them.
    Write {
        /// Tables that are written.
        tables: Vec<Box<str>>,
    },
    /// Settings of the session, and nothing else.
    Settings,
    /// They cannot be served through a shared connection.
    Refused(Refusal),
}

impl Plan {
    /// Returns the plan for the same statements at the primary.
    pub fn into_write(self) -> Self {
        match self {
            Self::Read { tables } => Self::Write { tables },
            other => other,
        }
    }

    /// Decides on statements that run together.
    pub fn of(statements: &[class::Statement]) -> Self {
        if let Some(refusal) = refusal(statements) {
            return Self::Refused(refusal);
        }
        let working = statements.iter().filter(|s| s.kind != class::Kind::Empty);
        let working: Vec<&class::Statement> = working.collect();
        if working.is_empty() {
            return Self::Nothing;
        }
        if working.iter().all(|statement| is_setting(&statement.kind)) {
            return Self::Settings;
        }
        let mut tables: Vec<Box<str>> = working
            .iter()
            .flat_map(|statement| statement.tables.iter().cloned())
            .collect();
        tables.sort();
        tables.dedup();
        match working.iter().all(|statement| is_read(&statement.kind)) {
            true => Self::Read { tables },
            false => Self::Write { tables },
        }
    }
}

/// Returns why statements that run together cannot be served, if so.
pub fn refusal(statements: &[class::Statement]) -> Option<Refusal> {
    let refused = statements.iter().find_map(|s| refusal_of_kind(&s.kind));
    refused
        .or_else(|| refusal_after_end(statements))
        .or_else(|| refusal_of_mixture(statements))
}

/// Returns why one of several statements cannot be served, if so; they do not run together.
pub fn refusal_of_any(statements: &[class::Statement]) -> Option<Refusal> {
    statements.iter().find_map(|s| refusal_of_kind(&s.kind))
}

/// The end of a transaction must be the last of its message: a commit is acknowledged only once it is safe, and
/// settings made after a rollback stay while those before are undone.
fn refusal_after_end(statements: &[class::Statement]) -> Option<Refusal> {
    let ends = |s: &class::Statement| s.kind == class::Kind::Commit;
    let rolls_back = |s: &class::Statement| s.kind == class::Kind::Rollback;
    let end = statements.iter().position(ends);
    let after = end.map_or(&[][..], |end| &statements[end + 1..]);
    if after.iter().any(|s| s.kind != class::Kind::Empty) {
        return Some(Refusal {
            feature: "a COMMIT refusal_after_end by other statements in one message",
            hint: "Send the COMMIT and what follows it one after the other.",
        });
    }
    let sets = |s: &class::Statement| {
        matches!(
            s.kind,
            class::Kind::Set { .. } | class::Kind::Reset { .. } | class::Kind::DiscardAll
        )
    };
    let beside = statements.iter().any(rolls_back) && statements.iter().any(sets);
    beside.then_some(Refusal {
        feature: "a setting beside a ROLLBACK in one message",
        hint: "Send them one after the other.",
    })
}

/// The proxy's own settings are not known to members.
fn refusal_of_mixture(statements: &[class::Statement]) -> Option<Refusal> {
    let working = statements.iter().filter(|s| s.kind != class::Kind::Empty);
    let (own, other): (Vec<_>, Vec<_>) =
        working.partition(|s| proxy_answers::is_proxy_statement(s));
    (!own.is_empty() && !other.is_empty()).then_some(Refusal {
        feature: "a statement that the proxy answers itself beside others in one message",
        hint: "Send them one after the other.",
    })
}

/// Returns whether statements that were sent may have made a write last.
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

/// Returns whether statements may be sent again after they may have run: one write to these tables only.
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

/// Returns whether a transaction is started that must not write.
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
        class::Kind::Pin(reason) => (reason.what(), reason.hint()),
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

/// Classes shared between a session's uses of one text.
pub type Classes = Arc<[class::Statement]>;
