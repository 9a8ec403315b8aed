//! Runs statements on SQLite and streams their rows.

use std::collections::VecDeque;

use pgwire::messages::data;

use crate::member::{error, infer, log, output, statement, types};

/// Returns the result columns of a statement, with the types that its text or the tables declare.
pub fn result_columns(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
) -> Result<Vec<output::Column>, error::SqlError> {
    let prepared = connection.prepare_cached(&sql.text)?;
    let sqlite_columns = prepared.columns();
    let item_types = if sql.item_types.len() == sqlite_columns.len() {
        sql.item_types.as_slice()
    } else {
        &[]
    };
    let columns = sqlite_columns
        .iter()
        .enumerate()
        .map(|(column_index, column)| {
            let kind = item_types
                .get(column_index)
                .copied()
                .flatten()
                .or_else(|| column.decl_type().map(types::PgType::from_declared))
                .or_else(|| declared_type(connection, &sql.tables, column.name()));
            output::Column {
                name: column.name().into(),
                kind,
            }
        });
    Ok(columns.collect())
}

/// Returns the result columns of a statement. If a type is declared nowhere and the statement only reads, runs it and
/// uses the type of the value in the first row.
pub fn described_columns(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    params: &[log::Value],
) -> Result<Vec<output::Column>, error::SqlError> {
    let mut columns = result_columns(connection, sql)?;
    if columns.iter().all(|column| column.kind.is_some()) {
        return Ok(columns);
    }
    let mut prepared = connection.prepare_cached(&sql.text)?;
    if !prepared.readonly() {
        return Ok(columns);
    }
    bind(&mut prepared, params)?;
    let mut rows = prepared.raw_query();
    if let Some(row) = rows.next()? {
        fill_missing_types(&mut columns, row)?;
    }
    Ok(columns)
}

/// Returns the types of a statement's parameters: the caller's type, else that of a cast, else that of the column that
/// the parameter's hint names, else text.
pub fn param_types(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    given_oids: &[u32],
) -> Vec<types::PgType> {
    let count = sql.param_types.len().max(given_oids.len());
    let given = |index: usize| given_oids.get(index).copied().filter(|oid| *oid != 0);
    let type_in_text = |index: usize| sql.param_types.get(index).copied().flatten();
    (0..count)
        .map(|index| match given(index) {
            Some(oid) => types::PgType::from_oid(oid).unwrap_or(types::PgType::Text),
            None => type_in_text(index)
                .or_else(|| hinted_type(connection, sql, index))
                .unwrap_or(types::PgType::Text),
        })
        .collect()
}

fn hinted_type(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    index: usize,
) -> Option<types::PgType> {
    let hint = sql.param_hints.iter().find(|hint| hint.index == index)?;
    match &hint.column {
        infer::ColumnRef::Name(name) => declared_type(connection, &sql.tables, name),
        infer::ColumnRef::Index(column_index) => {
            let table = sql.tables.first()?;
            let query = "SELECT type FROM pragma_table_info(?1) WHERE cid = ?2";
            let kind =
                connection.query_row(query, (table, column_index), |row| row.get::<_, String>(0));
            kind.ok().map(|kind| types::PgType::from_declared(&kind))
        }
    }
}

fn declared_type(
    connection: &rusqlite::Connection,
    tables: &[Box<str>],
    column: &str,
) -> Option<types::PgType> {
    let query = "SELECT type FROM pragma_table_info(?1) WHERE name = ?2";
    tables.iter().find_map(|table| {
        let mut prepared = connection.prepare_cached(query).ok()?;
        let kind: String = prepared.query_row((table, column), |row| row.get(0)).ok()?;
        Some(types::PgType::from_declared(&kind))
    })
}

fn fill_missing_types(
    columns: &mut [output::Column],
    row: &rusqlite::Row<'_>,
) -> rusqlite::Result<()> {
    for (column_index, column) in columns.iter_mut().enumerate() {
        if column.kind.is_none() {
            column.kind = types::PgType::from_value(row.get_ref(column_index)?);
        }
    }
    Ok(())
}

fn bind(prepared: &mut rusqlite::Statement<'_>, params: &[log::Value]) -> rusqlite::Result<()> {
    for index in 1..=prepared.parameter_count() {
        match params.get(index - 1) {
            Some(value) => prepared.raw_bind_parameter(index, value)?,
            None => prepared.raw_bind_parameter(index, rusqlite::types::Null)?,
        }
    }
    Ok(())
}

/// How the caller requests the rows of a statement.
#[derive(Debug, Clone)]
pub struct RowRequest {
    /// Result columns, if no description of them is to be sent before the rows: in the extended protocol, only Describe
    /// messages request it. `None` to determine the columns and send their description.
    pub columns: Option<Vec<output::Column>>,
    /// Format codes of the columns.
    pub formats: output::Formats,
    /// Maximum number of rows to send now; the others are returned as unsent rows.
    pub limit: usize,
}

/// Result of running a statement.
#[derive(Debug, Default)]
pub struct RunResult {
    /// Number of rows sent.
    pub row_count: usize,
    /// Rows beyond the limit.
    pub unsent_rows: VecDeque<data::DataRow>,
    /// Whether the statement returns rows.
    pub has_columns: bool,
}

/// Runs a statement and sends each row up to the limit as SQLite produces it; only rows beyond the limit are collected.
pub fn run(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    params: &[log::Value],
    row_request: &RowRequest,
    out: &mut output::Output,
) -> Result<RunResult, error::SqlError> {
    let mut columns = match &row_request.columns {
        Some(columns) => columns.clone(),
        None => result_columns(connection, sql)?,
    };
    let mut prepared = connection.prepare_cached(&sql.text)?;
    bind(&mut prepared, params)?;
    let mut run_result = RunResult {
        has_columns: !columns.is_empty(),
        ..RunResult::default()
    };
    let mut is_described = row_request.columns.is_some() || columns.is_empty();
    let mut rows = prepared.raw_query();
    while let Some(row) = rows.next()? {
        fill_missing_types(&mut columns, row)?;
        if !std::mem::replace(&mut is_described, true) {
            out.put_row_description(&columns, &row_request.formats);
        }
        let row = out.encode_row(&columns, &row_request.formats, row)?;
        if run_result.row_count < row_request.limit {
            out.put(row);
            run_result.row_count += 1;
        } else {
            run_result.unsent_rows.push_back(row);
        }
        if out.is_closed() {
            return Err(error::SqlError::canceled());
        }
    }
    if !is_described {
        out.put_row_description(&columns, &row_request.formats);
    }
    Ok(run_result)
}
