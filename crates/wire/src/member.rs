//! The control functions of a database member, see the protocol notes.

use std::str::FromStr;
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::{self, Connection, Error, Table};

/// A term of a group's primary.
pub type Term = u64;

/// A position in a member's log.
pub type Position = u64;

/// What a member is in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// The status that a member reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Highest term that the member was fenced at or follows.
    pub term: Term,
    /// Claimant to which the member granted that term, empty when it learned the term by replication.
    pub claimant: Box<str>,
    /// What the member is in its group.
    pub role: Role,
    /// Term of the last entry of the member's log.
    pub last_term: Term,
    /// Position of the last entry of the member's log.
    pub position: Position,
    /// Position of the first entry of the last entry's term.
    pub term_start: Position,
    /// Connections in use that count against the limit.
    pub connections_used: u32,
    /// The member's connection limit.
    pub connections_max: u32,
    /// Time since a replica last heard from a primary of its term; zero for a primary, and for a member that
    /// doesn't report it.
    pub upstream_silence: Duration,
}

impl Status {
    /// Whether the member granted `term` to `claimant`.
    pub fn is_granted(&self, term: Term, claimant: &str) -> bool {
        self.term == term && &*self.claimant == claimant
    }
}

/// Asks for the status. The member holds its answer until its log reaches `min_position`, at most `wait_ms`.
pub async fn status(
    connection: &mut Connection,
    min_position: Position,
    wait_ms: u64,
    deadline: Instant,
) -> Result<Status, Error> {
    let sql = format!("SELECT * FROM group_status({min_position}, {wait_ms})");
    call(connection, &sql, deadline).await
}

/// Fences the member at `term` for `claimant`; whether it was granted is in the status.
pub async fn fence(
    connection: &mut Connection,
    term: Term,
    claimant: &str,
    deadline: Instant,
) -> Result<Status, Error> {
    let sql = format!("SELECT * FROM group_fence({term}, {})", quote(claimant));
    call(connection, &sql, deadline).await
}

/// Promotes the member to primary of `term`, which it must have granted to `claimant` before.
pub async fn promote(
    connection: &mut Connection,
    term: Term,
    claimant: &str,
    deadline: Instant,
) -> Result<Status, Error> {
    let sql = format!("SELECT * FROM group_promote({term}, {})", quote(claimant));
    call(connection, &sql, deadline).await
}

async fn call(connection: &mut Connection, sql: &str, deadline: Instant) -> Result<Status, Error> {
    let table = backend::query_table(connection, sql, deadline).await?;
    parse(&table)
}

/// An SQL literal that reads the same whatever `standard_conforming_strings` is.
fn quote(text: &str) -> String {
    let quoted = text.replace('\'', "''");
    if text.contains('\\') {
        return format!("E'{}'", quoted.replace('\\', "\\\\"));
    }
    format!("'{quoted}'")
}

fn parse(table: &Table) -> Result<Status, Error> {
    Ok(Status {
        term: number(table, "term")?,
        claimant: text(table, "claimant")?.into(),
        role: role(text(table, "role")?)?,
        last_term: number(table, "last_term")?,
        position: number(table, "position")?,
        term_start: number(table, "term_start")?,
        connections_used: number(table, "connections_used")?,
        connections_max: number(table, "connections_max")?,
        upstream_silence: Duration::from_millis(optional(table, "upstream_silence_ms")?),
    })
}

fn text<'a>(table: &'a Table, column: &str) -> Result<&'a str, Error> {
    table
        .first(column)
        .ok_or_else(|| Error::Answer(format!("the status has no {column}").into()))
}

fn number<T: FromStr>(table: &Table, column: &str) -> Result<T, Error> {
    let text = text(table, column)?;
    text.parse()
        .map_err(|_| Error::Answer(format!("the status has {column} {text:?}").into()))
}

/// Reads a column that older members don't report.
fn optional<T: FromStr + Default>(table: &Table, column: &str) -> Result<T, Error> {
    match table.first(column) {
        Some(_) => number(table, column),
        None => Ok(T::default()),
    }
}

fn role(text: &str) -> Result<Role, Error> {
    match text {
        "primary" => Ok(Role::Primary),
        "replica" => Ok(Role::Replica),
        _ => Err(Error::Answer(
            format!("the status has role {text:?}").into(),
        )),
    }
}
