//! Simple queries of the proxy itself, such as the status of a member.

use bytes::Buf;
use pgwire::messages::simplequery::Query;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::time::{self, Instant};

use crate::backend::{Connection, DatabaseError, Error, script};
use crate::frame::{self, Frame, tag};
use crate::parameter;

/// The rows of an answer as text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Column names.
    pub columns: Vec<Box<str>>,
    /// One value a column, `None` for null.
    pub rows: Vec<Vec<Option<Box<str>>>>,
}

impl Table {
    /// The value of a named column in the first row.
    pub fn first(&self, column: &str) -> Option<&str> {
        let index = self.columns.iter().position(|name| &**name == column)?;
        self.rows.first()?.get(index)?.as_deref()
    }
}

/// Runs a simple query and gives its rows as text.
///
/// After an error that is not [recoverable](Error::is_recoverable) the connection must be dropped.
pub async fn query(
    connection: &mut Connection,
    sql: &str,
    deadline: Instant,
) -> Result<Vec<Vec<Option<Box<str>>>>, Error> {
    Ok(query_table(connection, sql, deadline).await?.rows)
}

/// Runs a simple query and gives its rows with their column names.
///
/// Of several statements the last one's column names stay. After an error that is not
/// [recoverable](Error::is_recoverable) the connection must be dropped.
pub async fn query_table(
    connection: &mut Connection,
    sql: &str,
    deadline: Instant,
) -> Result<Table, Error> {
    time::timeout_at(deadline, run(connection, sql))
        .await
        .map_err(|_| Error::Deadline)?
}

async fn run(connection: &mut Connection, sql: &str) -> Result<Table, Error> {
    let message = PgWireFrontendMessage::Query(Query::new(sql.into()));
    let frame = frame::try_frontend(&message)?;
    connection.framed.send(&frame).await?;
    let mut table = Table::default();
    let mut failure = None;
    let mut script = script::Script::simple();
    loop {
        let frame = connection.framed.read_frame().await?;
        let frame = frame.ok_or(Error::Closed)?;
        script.take(frame.tag)?;
        if frame.tag == tag::backend::READY_FOR_QUERY {
            finish(connection, &frame)?;
            break;
        }
        take(connection, &mut table, &mut failure, &frame)?;
    }
    match failure {
        Some(error) => Err(Error::Database(error)),
        None => Ok(table),
    }
}

fn finish(connection: &mut Connection, frame: &Frame) -> Result<(), Error> {
    if let PgWireBackendMessage::ReadyForQuery(ready) = frame.decode_backend()? {
        connection.status = ready.status;
    }
    Ok(())
}

fn take(
    connection: &mut Connection,
    table: &mut Table,
    failure: &mut Option<DatabaseError>,
    frame: &Frame,
) -> Result<(), Error> {
    match frame.decode_backend()? {
        PgWireBackendMessage::RowDescription(description) => {
            let fields = description.fields.into_iter();
            table.columns = fields.map(|field| field.name.into()).collect();
        }
        PgWireBackendMessage::DataRow(row) => table.rows.push(values(&row.data)?),
        PgWireBackendMessage::ParameterStatus(status) => {
            parameter::set(&mut connection.parameters, &status.name, &status.value);
        }
        PgWireBackendMessage::ErrorResponse(error) => *failure = Some(fatal_or_keep(error.into())?),
        PgWireBackendMessage::CommandComplete(_)
        | PgWireBackendMessage::EmptyQueryResponse(_)
        | PgWireBackendMessage::NoticeResponse(_)
        | PgWireBackendMessage::NotificationResponse(_) => {}
        _ => return Err(Error::Unexpected { tag: frame.tag }),
    }
    Ok(())
}

/// No ReadyForQuery follows a fatal error.
fn fatal_or_keep(error: DatabaseError) -> Result<DatabaseError, Error> {
    match &*error.severity {
        "FATAL" | "PANIC" => Err(Error::Database(error)),
        _ => Ok(error),
    }
}

/// The values of a row whose layout has been checked.
fn values(mut data: &[u8]) -> Result<Vec<Option<Box<str>>>, Error> {
    let mut values = Vec::new();
    while let Ok(length) = data.try_get_i32() {
        values.push(value(&mut data, length)?);
    }
    Ok(values)
}

fn value(data: &mut &[u8], length: i32) -> Result<Option<Box<str>>, Error> {
    let Ok(length) = usize::try_from(length) else {
        return Ok(None);
    };
    let (bytes, rest) = data
        .split_at_checked(length)
        .ok_or_else(|| Error::Answer("a row is cut".into()))?;
    *data = rest;
    let text =
        std::str::from_utf8(bytes).map_err(|_| Error::Answer("a value is no text".into()))?;
    Ok(Some(text.into()))
}
