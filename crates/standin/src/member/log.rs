//! Replicated log of a member.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Number of a term: a period between changes of the primary. Each term has at most one primary.
pub type Term = u64;
/// Position of an entry in the log, counted from 1; 0 is the end of an empty log.
pub type Position = u64;

/// Bound parameter value of a logged statement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// SQL NULL.
    Null,
    /// An integer; also booleans, as 0 or 1.
    Integer(i64),
    /// A floating-point number.
    Real(f64),
    /// A text.
    Text(Box<str>),
    /// A byte string.
    Blob(Vec<u8>),
}

impl rusqlite::ToSql for Value {
    fn to_sql(&self) -> rusqlite::Result<rusqlite::types::ToSqlOutput<'_>> {
        use rusqlite::types;
        let value = match self {
            Value::Null => types::ValueRef::Null,
            Value::Integer(value) => types::ValueRef::Integer(*value),
            Value::Real(value) => types::ValueRef::Real(*value),
            Value::Text(value) => types::ValueRef::Text(value.as_bytes()),
            Value::Blob(value) => types::ValueRef::Blob(value),
        };
        Ok(types::ToSqlOutput::Borrowed(value))
    }
}

/// Statement of a committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedStatement {
    /// SQL text in SQLite's dialect.
    pub sql: Box<str>,
    /// Values of the statement's parameters, in order.
    pub params: Vec<Value>,
}

/// Log entry: one committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the primary that committed the transaction.
    pub term: Term,
    /// Position of the entry in the log.
    pub position: Position,
    /// Statements of the transaction, in order of execution. A promotion appends an entry without statements.
    pub statements: Vec<LoggedStatement>,
}

/// Point at which a log ends: the term and position of its last entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    /// Term of the last entry; 0 when the log is empty.
    pub term: Term,
    /// Position of the last entry; 0 when the log is empty.
    pub position: Position,
}

/// Consecutive entries that the primary of one term wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Term of the entries.
    pub term: Term,
    /// Position of the first entry.
    pub first: Position,
    /// Position of the last entry.
    pub last: Position,
}

/// Entry with the time at which this member appended it.
#[derive(Debug, Clone)]
pub struct AppendedEntry {
    /// The entry.
    pub entry: Entry,
    /// Time at which this member appended the entry.
    pub appended_at: Instant,
}

/// Log of a member.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<AppendedEntry>,
    segments: Vec<Segment>,
}

impl Log {
    /// Returns the term and position of the last entry.
    pub fn head(&self) -> Head {
        self.segments
            .last()
            .map_or_else(Head::default, |last| Head {
                term: last.term,
                position: last.last,
            })
    }

    /// Returns the position at which the last entry's term starts; 0 when the log is empty.
    pub fn term_start(&self) -> Position {
        self.segments.last().map_or(0, |last| last.first)
    }

    /// Returns the segments of the log, in order of their terms.
    pub fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Returns at most `limit` entries after the position.
    pub fn entries_after(&self, position: Position, limit: usize) -> &[AppendedEntry] {
        let start = (position as usize).min(self.entries.len());
        let end = (start + limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Appends an entry and returns its term and position.
    pub fn append(&mut self, term: Term, statements: Vec<LoggedStatement>) -> Head {
        let position = self.head().position + 1;
        match self.segments.last_mut() {
            Some(last) if last.term == term => last.last = position,
            _ => self.segments.push(Segment {
                term,
                first: position,
                last: position,
            }),
        }
        let entry = Entry {
            term,
            position,
            statements,
        };
        let appended_at = Instant::now();
        self.entries.push(AppendedEntry { entry, appended_at });
        Head { term, position }
    }

    /// Drops all entries after the position.
    pub fn truncate(&mut self, position: Position) {
        self.entries.truncate(position as usize);
        self.segments.retain(|segment| segment.first <= position);
        if let Some(last) = self.segments.last_mut() {
            last.last = last.last.min(position);
        }
    }

    /// Returns the last position up to which this log and another, given by its segments, are equal; 0 when they share
    /// no entry.
    ///
    /// A term has one primary, so if both logs have an entry with the same term and position, their earlier entries are
    /// equal too.
    pub fn last_common_position(&self, other: &[Segment]) -> Position {
        self.segments
            .iter()
            .rev()
            .find_map(|segment| {
                let other_segment = other
                    .iter()
                    .find(|other_segment| other_segment.term == segment.term)?;
                let last = segment.last.min(other_segment.last);
                (segment.first == other_segment.first).then_some(last)
            })
            .unwrap_or(0)
    }
}
