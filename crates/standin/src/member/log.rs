//! The replicated log of a member.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// The number of a term.
pub type Term = u64;
/// The position of an entry in the log, counted from 1.
pub type Position = u64;

/// A bound value of a logged statement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// No value.
    Null,
    /// An integer.
    Integer(i64),
    /// A floating point number.
    Real(f64),
    /// A text.
    Text(Box<str>),
    /// Bytes.
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

/// A statement of a committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedStatement {
    /// The statement in SQLite's dialect.
    pub sql: Box<str>,
    /// The values of its parameters.
    pub params: Vec<Value>,
}

/// A committed transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term whose primary wrote it.
    pub term: Term,
    /// Its position.
    pub position: Position,
    /// Its statements in order.
    pub statements: Vec<LoggedStatement>,
}

/// The name of a log's last entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Head {
    /// The entry's term; 0 when the log is empty.
    pub term: Term,
    /// The entry's position; 0 when the log is empty.
    pub position: Position,
}

/// The run of entries that one term's primary wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The term.
    pub term: Term,
    /// The position of its first entry.
    pub first: Position,
    /// The position of its last entry.
    pub last: Position,
}

/// An entry, and when this member appended it.
#[derive(Debug, Clone)]
pub struct Appended {
    /// The entry.
    pub entry: Entry,
    /// When it was appended.
    pub at: Instant,
}

/// The entries that a member holds.
#[derive(Debug, Default)]
pub struct Log {
    entries: Vec<Appended>,
    segments: Vec<Segment>,
}

impl Log {
    /// The last entry's name.
    pub fn head(&self) -> Head {
        self.segments
            .last()
            .map_or_else(Head::default, |last| Head {
                term: last.term,
                position: last.last,
            })
    }

    /// The position at which the last entry's term starts; 0 when the log is empty.
    pub fn term_start(&self) -> Position {
        self.segments.last().map_or(0, |last| last.first)
    }

    /// The log's segments in order.
    pub fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// The entries after a position, at most `limit`.
    pub fn after(&self, position: Position, limit: usize) -> &[Appended] {
        let start = (position as usize).min(self.entries.len());
        let end = (start + limit).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Appends an entry of a term and returns its name.
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
        let at = Instant::now();
        self.entries.push(Appended { entry, at });
        Head { term, position }
    }

    /// Drops all entries after a position.
    pub fn truncate(&mut self, position: Position) {
        self.entries.truncate(position as usize);
        self.segments.retain(|segment| segment.first <= position);
        if let Some(last) = self.segments.last_mut() {
            last.last = last.last.min(position);
        }
    }

    /// The last position up to which this log and another agree; 0 when they share nothing.
    ///
    /// A term has one primary, so an entry with the same term and position in both logs follows the same entries.
    pub fn common(&self, other: &[Segment]) -> Position {
        self.segments
            .iter()
            .rev()
            .find_map(|own| {
                let theirs = other.iter().find(|theirs| theirs.term == own.term)?;
                let last = own.last.min(theirs.last);
                (own.first == theirs.first).then_some(last)
            })
            .unwrap_or(0)
    }
}
