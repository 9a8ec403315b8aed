//! Runs statements on SQLite and streams their rows.

use std::collections::VecDeque;

use pgwire::messages::data;

use crate::member::{error, infer, log, output, statement, types};

/// The result columns of a statement, with the types that its text and the tables tell.
pub fn columns(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
) -> Result<Vec<output::Column>, error::SqlError> {
    let prepared = connection.prepare_cached(&sql.text)?;
    let found = prepared.columns();
    let item_types = if sql.item_types.len() == found.len() {
        sql.item_types.as_slice()
    } else {
        &[]
    };
    let columns = found.iter().enumerate().map(|(place, column)| {
        let kind = item_types
            .get(place)
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

/// The result columns of a statement; types that nothing else tells are those of the first row's values.
pub fn described_columns(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    params: &[log::Value],
) -> Result<Vec<output::Column>, error::SqlError> {
    let mut columns = columns(connection, sql)?;
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
        take_types(&mut columns, row)?;
    }
    Ok(columns)
}

/// The types of a statement's parameters: those given, else those of casts, else those of columns, else text.
pub fn param_types(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    given_oids: &[u32],
) -> Vec<types::PgType> {
    let count = sql.param_types.len().max(given_oids.len());
    let given = |index: usize| given_oids.get(index).copied().filter(|oid| *oid != 0);
    let cast = |index: usize| sql.param_types.get(index).copied().flatten();
    (0..count)
        .map(|index| match given(index) {
            Some(oid) => types::PgType::from_oid(oid).unwrap_or(types::PgType::Text),
            None => cast(index)
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
    match &hint.beside {
        infer::Beside::Name(name) => declared_type(connection, &sql.tables, name),
        infer::Beside::Place(place) => {
            let table = sql.tables.first()?;
            let query = "SELECT type FROM pragma_table_info(?1) WHERE cid = ?2";
            let kind = connection.query_row(query, (table, place), |row| row.get::<_, String>(0));
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

fn take_types(columns: &mut [output::Column], row: &rusqlite::Row<'_>) -> rusqlite::Result<()> {
    for (place, column) in columns.iter_mut().enumerate() {
        if column.kind.is_none() {
            column.kind = types::PgType::from_value(row.get_ref(place)?);
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

/// How a statement's rows are wanted.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The columns, when the caller has been told them; else they are described before the rows.
    pub columns: Option<Vec<output::Column>>,
    /// The forms of the columns.
    pub formats: output::Formats,
    /// The most rows to send now; the others are kept.
    pub limit: usize,
}

/// What a statement has done.
#[derive(Debug, Default)]
pub struct Ran {
    /// How many rows it sent.
    pub row_count: usize,
    /// Rows over the limit.
    pub kept: VecDeque<data::DataRow>,
    /// Whether it returns rows.
    pub has_columns: bool,
}

/// Runs a statement and sends its rows, without holding them all.
pub fn run(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    params: &[log::Value],
    wanted: &Wanted,
    out: &mut output::Output,
) -> Result<Ran, error::SqlError> {
    let mut columns = match &wanted.columns {
        Some(columns) => columns.clone(),
        None => columns(connection, sql)?,
    };
    let mut prepared = connection.prepare_cached(&sql.text)?;
    bind(&mut prepared, params)?;
    let mut ran = Ran {
        has_columns: !columns.is_empty(),
        ..Ran::default()
    };
    let mut described = wanted.columns.is_some() || columns.is_empty();
    let mut rows = prepared.raw_query();
    while let Some(row) = rows.next()? {
        take_types(&mut columns, row)?;
        if !std::mem::replace(&mut described, true) {
            out.describe(&columns, &wanted.formats);
        }
        let row = out.row(&columns, &wanted.formats, row)?;
        if ran.row_count < wanted.limit {
            out.put(row);
            ran.row_count += 1;
        } else {
            ran.kept.push_back(row);
        }
        if out.is_closed() {
            return Err(error::SqlError::canceled());
        }
    }
    if !described {
        out.describe(&columns, &wanted.formats);
    }
    Ok(ran)
}
