//! Calls the control functions of a database member.
//!
//! Members provide these SQL functions in addition to PostgreSQL's:
//!
//! - `group_status` returns the [`Status`] of the member.
//! - `group_fence` asks the member to grant a term to a proxy, the *claimant*. A member that grants a term refuses the
//!   writes of earlier terms from then on.
//! - `group_promote` makes the member the primary of a term that it has granted.

use std::str::FromStr;
use std::time::Duration;

use tokio::time::Instant;

use crate::backend::{self, Connection, Error, Table};
use crate::quote;

/// Term of a group's primary. Each promotion starts a higher term.
pub type Term = u64;

/// Position of an entry in a member's log.
pub type Position = u64;

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The member accepts writes.
    Primary,
    /// The member replicates the log of a primary.
    Replica,
}

/// Status that a member reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Highest term that the member has been fenced at or replicates.
    pub term: Term,
    /// Proxy to which the member granted `term`; empty if the member received the term by replication.
    pub claimant: Box<str>,
    /// Role of the member in its group.
    pub role: Role,
    /// Term of the last entry of the member's log.
    pub last_term: Term,
    /// Position of the last entry of the member's log.
    pub position: Position,
    /// Position of the first entry of `last_term`.
    pub term_start: Position,
    /// Number of connections in use that count against `connections_max`.
    pub connections_used: u32,
    /// Maximum number of connections that the member accepts.
    pub connections_max: u32,
    /// Time since the replica last received anything from a primary of its term. Zero for a primary and for a
    /// member that does not report this time.
    pub upstream_silence: Duration,
}

impl Status {
    /// Returns whether the member granted `term` to `claimant`.
    pub fn is_granted(&self, term: Term, claimant: &str) -> bool {
        self.term == term && &*self.claimant == claimant
    }
}

/// Queries the member's status. The member delays its answer until its log reaches `min_position`, but no longer
/// than `wait_ms` milliseconds.
pub async fn status(
    connection: &mut Connection,
    min_position: Position,
    wait_ms: u64,
    deadline: Instant,
) -> Result<Status, Error> {
    let sql = format!("SELECT * FROM group_status({min_position}, {wait_ms})");
    call_function(connection, &sql, deadline).await
}

/// Fences the member at `term` for `claimant`. [`Status::is_granted`] tells whether the member granted the term.
pub async fn fence(
    connection: &mut Connection,
    term: Term,
    claimant: &str,
    deadline: Instant,
) -> Result<Status, Error> {
    let sql = format!(
        "SELECT * FROM group_fence({term}, {})",
        quote::literal(claimant)
    );
    call_function(connection, &sql, deadline).await
}

/// Promotes the member to primary of `term`, which it must have granted to `claimant` before.
pub async fn promote(
    connection: &mut Connection,
    term: Term,
    claimant: &str,
    deadline: Instant,
) -> Result<Status, Error> {
    let sql = format!(
        "SELECT * FROM group_promote({term}, {})",
        quote::literal(claimant)
    );
    call_function(connection, &sql, deadline).await
}

async fn call_function(
    connection: &mut Connection,
    sql: &str,
    deadline: Instant,
) -> Result<Status, Error> {
    let table = backend::query_table(connection, sql, deadline).await?;
    parse_status(&table)
}

fn parse_status(table: &Table) -> Result<Status, Error> {
    Ok(Status {
        term: required_number(table, "term")?,
        claimant: required_text(table, "claimant")?.into(),
        role: parse_role(required_text(table, "role")?)?,
        last_term: required_number(table, "last_term")?,
        position: required_number(table, "position")?,
        term_start: required_number(table, "term_start")?,
        connections_used: required_number(table, "connections_used")?,
        connections_max: required_number(table, "connections_max")?,
        upstream_silence: Duration::from_millis(optional_number(table, "upstream_silence_ms")?),
    })
}

fn required_text<'a>(table: &'a Table, column: &str) -> Result<&'a str, Error> {
    table
        .first(column)
        .ok_or_else(|| Error::Answer(format!("the status has no value for {column}").into()))
}

fn required_number<T: FromStr>(table: &Table, column: &str) -> Result<T, Error> {
    let text = required_text(table, column)?;
    text.parse().map_err(|_| {
        Error::Answer(format!("the status has {column} {text:?}, not a number in range").into())
    })
}

/// Returns the number in a column, or zero if the member is too old to report the column.
fn optional_number<T: FromStr + Default>(table: &Table, column: &str) -> Result<T, Error> {
    match table.first(column) {
        Some(_) => required_number(table, column),
        None => Ok(T::default()),
    }
}

fn parse_role(text: &str) -> Result<Role, Error> {
    match text {
        "primary" => Ok(Role::Primary),
        "replica" => Ok(Role::Replica),
        _ => Err(Error::Answer(
            format!("the status has role {text:?}, neither primary nor replica").into(),
        )),
    }
}
