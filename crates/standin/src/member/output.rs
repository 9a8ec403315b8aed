//! Messages of a session to its caller.

use std::sync;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use pgwire::messages::{Message, data, response, startup};
use tokio::sync::mpsc;

use crate::member::{error, signal, switches, types};

/// Encoded messages for the caller, with the time at which they are due.
#[derive(Debug)]
pub struct Chunk {
    /// Earliest time at which the bytes may be written to the socket.
    pub due: Instant,
    /// Encoded messages.
    pub bytes: Bytes,
}

/// Column of a result.
#[derive(Debug, Clone, PartialEq)]
pub struct Column {
    /// Name of the column.
    pub name: Box<str>,
    /// Type of the column; `None` when neither the statement's text nor a table declares it.
    pub kind: Option<types::PgType>,
}

/// Buffered messages to a caller.
pub struct Output {
    buffer: BytesMut,
    row: BytesMut,
    chunks: mpsc::Sender<Chunk>,
    switches: sync::Arc<switches::Switches>,
    signal: sync::Arc<signal::Signal>,
    closed: bool,
}

impl Output {
    /// Creates a buffer that sends its chunks to the channel.
    pub fn new(
        chunks: mpsc::Sender<Chunk>,
        switches: sync::Arc<switches::Switches>,
        signal: sync::Arc<signal::Signal>,
    ) -> Self {
        Self {
            buffer: BytesMut::new(),
            row: BytesMut::new(),
            chunks,
            switches,
            signal,
            closed: false,
        }
    }

    /// Returns whether the caller's connection is closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Drops the buffered messages and closes the connection.
    pub fn close(&mut self) {
        self.buffer.clear();
        self.closed = true;
    }

    /// Appends a message, and flushes the buffer once it holds [`CHUNK_BYTES`].
    pub fn put<M: Message>(&mut self, message: M) {
        if let Err(cause) = message.encode(&mut self.buffer) {
            ::log::error!("cannot encode a message to the caller: {cause}");
            self.closed = true;
        }
        if self.buffer.len() >= CHUNK_BYTES {
            self.flush();
        }
    }

    /// Sends the buffered messages.
    pub fn flush(&mut self) {
        if self.buffer.is_empty() || self.closed {
            return;
        }
        let chunk = Chunk {
            due: Instant::now() + self.switches.latency(),
            bytes: self.buffer.split().freeze(),
        };
        self.closed = !self.send_chunk(chunk);
    }

    /// Sends a chunk, waiting while the channel is full. Returns false if the connection has closed, or must close
    /// because a fence or a stop can't wait for the caller to read.
    fn send_chunk(&self, chunk: Chunk) -> bool {
        let mut chunk = chunk;
        loop {
            match self.chunks.try_send(chunk) {
                Ok(()) => return true,
                Err(mpsc::error::TrySendError::Closed(_)) => return false,
                Err(mpsc::error::TrySendError::Full(returned)) => chunk = returned,
            }
            if self.signal.should_drop_output() {
                return false;
            }
            std::thread::sleep(FULL_CHANNEL_CHECK_INTERVAL);
        }
    }

    /// Appends an error response.
    pub fn put_error(&mut self, error: &error::SqlError, severity: &str) {
        self.put(error_response(error, severity));
    }

    /// Appends the new value of a setting that is reported to the caller.
    pub fn put_parameter_status(&mut self, name: &str, value: &str) {
        self.put(startup::ParameterStatus::new(name.into(), value.into()));
    }

    /// Appends the completion of a command, with its command tag.
    pub fn put_command_complete(&mut self, tag: &str) {
        self.put(response::CommandComplete::new(tag.into()));
    }

    /// Appends the description of result rows.
    pub fn put_row_description(&mut self, columns: &[Column], formats: &Formats) {
        let fields = columns.iter().enumerate().map(|(index, column)| {
            let kind = column.kind.unwrap_or(types::PgType::Text);
            data::FieldDescription::new(
                column.name.to_string(),
                0,
                0,
                kind.oid(),
                kind.size_bytes(),
                NO_TYPE_MODIFIER,
                formats.code_at(index),
            )
        });
        self.put(data::RowDescription::new(fields.collect()));
    }

    /// Encodes a result row.
    pub fn encode_row(
        &mut self,
        columns: &[Column],
        formats: &Formats,
        row: &rusqlite::Row<'_>,
    ) -> rusqlite::Result<data::DataRow> {
        for (index, column) in columns.iter().enumerate() {
            let kind = column.kind.unwrap_or(types::PgType::Text);
            types::encode(
                row.get_ref(index)?,
                kind,
                formats.code_at(index),
                &mut self.row,
            );
        }
        Ok(data::DataRow::new(self.row.split(), columns.len() as i16))
    }

    /// Appends a row of text values.
    pub fn put_text_row(&mut self, fields: &[&str]) {
        for field in fields {
            let value = rusqlite::types::ValueRef::Text(field.as_bytes());
            types::encode(
                value,
                types::PgType::Text,
                types::TEXT_FORMAT,
                &mut self.row,
            );
        }
        let row = data::DataRow::new(self.row.split(), fields.len() as i16);
        self.put(row);
    }
}

/// Builds the response message for an error.
pub fn error_response(error: &error::SqlError, severity: &str) -> response::ErrorResponse {
    response::ErrorResponse::new(vec![
        (b'S', severity.into()),
        (b'V', severity.into()),
        (b'C', error.code.into()),
        (b'M', error.message.to_string()),
    ])
}

/// Format codes of columns or parameters, as in a Bind message.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Formats(Vec<i16>);

impl Formats {
    /// Creates format codes by column. One code applies to all columns; no codes stand for text.
    pub fn new(codes: Vec<i16>) -> Self {
        Self(codes)
    }

    /// Returns the format code of a column or parameter.
    pub fn code_at(&self, index: usize) -> i16 {
        match self.0.as_slice() {
            [all] => *all,
            codes => codes.get(index).copied().unwrap_or(types::TEXT_FORMAT),
        }
    }
}

/// Size from which the buffer is flushed without waiting for the end of an answer.
const CHUNK_BYTES: usize = 16 * 1024;
const FULL_CHANNEL_CHECK_INTERVAL: Duration = Duration::from_millis(1);
const NO_TYPE_MODIFIER: i32 = -1;
