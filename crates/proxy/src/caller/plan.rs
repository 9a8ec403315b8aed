//! What a caller's message asks for.

use std::sync::Arc;

use fulmarlift_wire::class;

/// Why statements cannot be served, and what to do instead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What cannot be served.
    pub what: &'static str,
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
    /// Decides on statements that run together.
    pub fn of(statements: &[class::Statement]) -> Self {
        if let Some(what) = statements.iter().find_map(|s| refused(&s.kind)) {
            return Self::Refused(what);
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

fn refused(kind: &class::Kind) -> Option<Refusal> {
    let (what, hint) = match kind {
        class::Kind::Pin(reason) => (reason.what(), reason.hint()),
        class::Kind::Prepare { .. } => ("PREPARE as a statement", PREPARE_HINT),
        class::Kind::ExecutePrepared { .. } => ("EXECUTE as a statement", PREPARE_HINT),
        _ => return None,
    };
    Some(Refusal { what, hint })
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
