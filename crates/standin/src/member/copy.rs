//! COPY in text format.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::copy;

use crate::member::{error, log, output, query, statement, transaction, types};

/// COPY FROM STDIN in progress: rows that the caller sends.
#[derive(Debug)]
pub struct CopyIn {
    /// INSERT statement that is run for each row.
    insert: Box<str>,
    /// Types of the columns.
    kinds: Vec<types::PgType>,
    received: BytesMut,
    row_count: usize,
}

impl CopyIn {
    /// Starts to receive rows for a table.
    pub fn start(
        connection: &rusqlite::Connection,
        table: &str,
        columns: &[Box<str>],
    ) -> Result<Self, error::SqlError> {
        let list = if columns.is_empty() {
            "*".to_string()
        } else {
            columns.join(", ")
        };
        let prepared = connection.prepare(&format!("SELECT {list} FROM {table}"))?;
        let sqlite_columns = prepared.columns();
        let names: Vec<&str> = sqlite_columns.iter().map(|column| column.name()).collect();
        let placeholders: Vec<String> =
            (1..=names.len()).map(|index| format!("?{index}")).collect();
        let kinds = sqlite_columns.iter().map(|column| {
            column
                .decl_type()
                .map_or(types::PgType::Text, types::PgType::from_declared)
        });
        let insert = format!(
            "INSERT INTO {table} ({}) VALUES ({})",
            names.join(", "),
            placeholders.join(", ")
        );
        Ok(Self {
            insert: insert.into(),
            kinds: kinds.collect(),
            received: BytesMut::new(),
            row_count: 0,
        })
    }

    /// Returns the message that asks the caller to send rows.
    pub fn response(&self) -> copy::CopyInResponse {
        let count = self.kinds.len();
        copy::CopyInResponse::new(0, count as i16, vec![types::TEXT_FORMAT; count])
    }

    /// Receives data from the caller and inserts a row for each complete line.
    pub fn receive(
        &mut self,
        data: &[u8],
        transaction: &mut transaction::Transaction,
    ) -> Result<(), error::SqlError> {
        self.received.put_slice(data);
        while let Some(end) = self.received.iter().position(|byte| *byte == b'\n') {
            let line = self.received.split_to(end + 1).freeze();
            self.insert_line(&line[..end], transaction)?;
        }
        Ok(())
    }

    /// Inserts the last line, if it has no line break, and returns the number of inserted rows.
    pub fn finish(
        mut self,
        transaction: &mut transaction::Transaction,
    ) -> Result<usize, error::SqlError> {
        let line = self.received.split().freeze();
        if !line.is_empty() {
            self.insert_line(&line, transaction)?;
        }
        Ok(self.row_count)
    }

    fn insert_line(
        &mut self,
        line: &[u8],
        transaction: &mut transaction::Transaction,
    ) -> Result<(), error::SqlError> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line == END_MARK {
            return Ok(());
        }
        let params = self.decode_line(line)?;
        transaction.check_can_commit()?;
        let connection = transaction.connection()?;
        let mut prepared = connection.prepare_cached(&self.insert)?;
        prepared.execute(rusqlite::params_from_iter(&params))?;
        drop(prepared);
        self.row_count += 1;
        transaction.log_statement(log::LoggedStatement {
            sql: self.insert.clone(),
            params,
        });
        Ok(())
    }

    fn decode_line(&self, line: &[u8]) -> Result<Vec<log::Value>, error::SqlError> {
        let fields: Vec<&[u8]> = line.split(|byte| *byte == b'\t').collect();
        if fields.len() != self.kinds.len() {
            let message = format!("{} fields for {} columns", fields.len(), self.kinds.len());
            return Err(error::SqlError::new(error::BAD_COPY_FORMAT, message));
        }
        let kinds = self.kinds.iter().copied();
        fields
            .into_iter()
            .zip(kinds)
            .map(|(field, kind)| {
                let bytes = (field != NULL_MARK).then(|| unescape(field));
                types::decode(bytes.as_deref(), kind, types::TEXT_FORMAT)
            })
            .collect()
    }
}

/// Sends the rows of a query to the caller and returns their number.
pub fn send_rows(
    connection: &rusqlite::Connection,
    sql: &statement::Sql,
    out: &mut output::Output,
) -> Result<usize, error::SqlError> {
    let columns = query::result_columns(connection, sql)?;
    let count = columns.len();
    let mut prepared = connection.prepare_cached(&sql.text)?;
    let mut rows = prepared.query(())?;
    out.put(copy::CopyOutResponse::new(
        0,
        count as i16,
        vec![types::TEXT_FORMAT; count],
    ));
    let mut row_count = 0;
    while let Some(row) = rows.next()? {
        out.put(copy::CopyData::new(encode_line(&columns, row)?));
        row_count += 1;
        if out.is_closed() {
            return Err(error::SqlError::canceled());
        }
    }
    out.put(copy::CopyDone::new());
    Ok(row_count)
}

fn encode_line(columns: &[output::Column], row: &rusqlite::Row<'_>) -> rusqlite::Result<Bytes> {
    let mut line = BytesMut::new();
    let mut field = BytesMut::new();
    for (index, column) in columns.iter().enumerate() {
        if index > 0 {
            line.put_u8(b'\t');
        }
        match row.get_ref(index)? {
            rusqlite::types::ValueRef::Null => line.put_slice(NULL_MARK),
            value => {
                let kind = column.kind.unwrap_or(types::PgType::Text);
                types::encode_text(value, kind, &mut field);
                escape(&field.split(), &mut line);
            }
        }
    }
    line.put_u8(b'\n');
    Ok(line.freeze())
}

fn escape(field: &[u8], line: &mut BytesMut) {
    for byte in field {
        match ESCAPES.iter().find(|(plain, _)| plain == byte) {
            Some((_, letter)) => line.put_slice(&[b'\\', *letter]),
            None => line.put_u8(*byte),
        }
    }
}

fn unescape(field: &[u8]) -> Vec<u8> {
    let mut bytes = field.iter().copied();
    let mut out = Vec::with_capacity(field.len());
    while let Some(byte) = bytes.next() {
        if byte != b'\\' {
            out.push(byte);
            continue;
        }
        let Some(letter) = bytes.next() else {
            out.push(byte);
            break;
        };
        let plain = ESCAPES.iter().find(|(_, escape)| *escape == letter);
        out.push(plain.map_or(letter, |(plain, _)| *plain));
    }
    out
}

const END_MARK: &[u8] = b"\\.";
const NULL_MARK: &[u8] = b"\\N";
const ESCAPES: [(u8, u8); 7] = [
    (b'\\', b'\\'),
    (b'\n', b'n'),
    (b'\t', b't'),
    (b'\r', b'r'),
    (0x08, b'b'),
    (0x0b, b'v'),
    (0x0c, b'f'),
];
