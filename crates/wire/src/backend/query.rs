//! Runs the proxy's own simple queries, such as for the status of a member.

use bytes::Buf;
use pgwire::messages::simplequery::Query;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::time::{self, Instant};

use crate::backend::{Connection, DatabaseError, Error, expected};
use crate::frame::{self, Frame, tag};
use crate::parameter;

/// Result rows in text format.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// Column names.
    pub columns: Vec<Box<str>>,
    /// Rows with one value for each column; `None` stands for null.
    pub rows: Vec<Vec<Option<Box<str>>>>,
}

impl Table {
    /// Returns the value of a column in the first row. Returns `None` if it is null, or if there is no such column or
    /// no row.
    pub fn first(&self, column: &str) -> Option<&str> {
        let index = self.columns.iter().position(|name| &**name == column)?;
        self.rows.first()?.get(index)?.as_deref()
    }
}

/// Runs a simple query and returns its rows in text format.
///
/// After an error that is not [recoverable](Error::is_recoverable) the connection must be dropped.
pub async fn query(
    connection: &mut Connection,
    sql: &str,
    deadline: Instant,
) -> Result<Vec<Vec<Option<Box<str>>>>, Error> {
    Ok(query_table(connection, sql, deadline).await?.rows)
}

/// Runs a simple query and returns its rows with the column names.
///
/// If the query contains several statements, the table holds the rows of all of them and the column names of the last
/// one. After an error that is not [recoverable](Error::is_recoverable) the connection must be dropped.
pub async fn query_table(
    connection: &mut Connection,
    sql: &str,
    deadline: Instant,
) -> Result<Table, Error> {
    time::timeout_at(deadline, query_untimed(connection, sql))
        .await
        .map_err(|_| Error::Deadline)?
}

async fn query_untimed(connection: &mut Connection, sql: &str) -> Result<Table, Error> {
    let message = PgWireFrontendMessage::Query(Query::new(sql.into()));
    let frame = frame::try_encode_frontend(&message)?;
    connection.framed.send(&frame).await?;
    let mut table = Table::default();
    let mut failure = None;
    let mut expected = expected::ExpectedResponses::simple_query();
    loop {
        let frame = connection.framed.read_frame().await?;
        let frame = frame.ok_or(Error::Closed)?;
        expected.check(frame.tag)?;
        if frame.tag == tag::backend::READY_FOR_QUERY {
            record_transaction_status(connection, &frame)?;
            break;
        }
        apply_message(connection, &mut table, &mut failure, &frame)?;
    }
    match failure {
        Some(error) => Err(Error::Database(error)),
        None => Ok(table),
    }
}

fn record_transaction_status(connection: &mut Connection, frame: &Frame) -> Result<(), Error> {
    if let PgWireBackendMessage::ReadyForQuery(ready) = frame.decode_backend()? {
        connection.status = ready.status;
    }
    Ok(())
}

fn apply_message(
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
        PgWireBackendMessage::DataRow(row) => table.rows.push(decode_values(&row.data)?),
        PgWireBackendMessage::ParameterStatus(status) => {
            parameter::set(&mut connection.parameters, &status.name, &status.value);
        }
        PgWireBackendMessage::ErrorResponse(error) => *failure = Some(non_fatal(error.into())?),
        PgWireBackendMessage::CommandComplete(_)
        | PgWireBackendMessage::EmptyQueryResponse(_)
        | PgWireBackendMessage::NoticeResponse(_)
        | PgWireBackendMessage::NotificationResponse(_) => {}
        _ => return Err(Error::Unexpected { tag: frame.tag }),
    }
    Ok(())
}

/// Returns a fatal error as `Err`, because no ReadyForQuery follows it, and any other error as `Ok`.
fn non_fatal(error: DatabaseError) -> Result<DatabaseError, Error> {
    match &*error.severity {
        "FATAL" | "PANIC" => Err(Error::Database(error)),
        _ => Ok(error),
    }
}

/// Decodes the values of a row whose layout has been checked.
fn decode_values(mut data: &[u8]) -> Result<Vec<Option<Box<str>>>, Error> {
    let mut values = Vec::new();
    while let Ok(length) = data.try_get_i32() {
        values.push(decode_value(&mut data, length)?);
    }
    Ok(values)
}

/// Removes a value of `length` bytes from the start of `data` and decodes it. A negative length means null.
fn decode_value(data: &mut &[u8], length: i32) -> Result<Option<Box<str>>, Error> {
    let Ok(length) = usize::try_from(length) else {
        return Ok(None);
    };
    let (bytes, rest) = data
        .split_at_checked(length)
        .ok_or_else(|| Error::Answer("a row is truncated".into()))?;
    *data = rest;
    let text = std::str::from_utf8(bytes)
        .map_err(|_| Error::Answer("a value is not valid UTF-8".into()))?;
    Ok(Some(text.into()))
}
