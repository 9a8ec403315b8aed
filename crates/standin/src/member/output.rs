//! What a session sends to its caller.

use std::sync;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use pgwire::messages::{Message, data, response, startup};
use tokio::sync::mpsc;

use crate::member::{error, signal, switches, types};

/// Bytes for the caller, and when they are due.
#[derive(Debug)]
pub struct Chunk {
    /// When the bytes may be written.
    pub due: Instant,
    /// The bytes.
    pub bytes: Bytes,
}

/// A result column.
#[derive(Debug, Clone, PartialEq)]
pub struct Column {
    /// Its name.
    pub name: Box<str>,
    /// Its type; none when neither the statement's text nor a table tells.
    pub kind: Option<types::PgType>,
}

/// A buffer in front of a caller's connection.
pub struct Output {
    buffer: BytesMut,
    row: BytesMut,
    chunks: mpsc::Sender<Chunk>,
    switches: sync::Arc<switches::Switches>,
    signal: sync::Arc<signal::Signal>,
    closed: bool,
}

impl Output {
    /// A buffer whose chunks go to a channel.
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

    /// Whether the caller's connection is gone.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Drops what is buffered and ends the connection.
    pub fn close(&mut self) {
        self.buffer.clear();
        self.closed = true;
    }

    /// Adds a message; sends what is buffered once it is large.
    pub fn put<M: Message>(&mut self, message: M) {
        if let Err(cause) = message.encode(&mut self.buffer) {
            ::log::error!("message not encoded: {cause}");
            self.closed = true;
        }
        if self.buffer.len() >= CHUNK_BYTES {
            self.flush();
        }
    }

    /// Sends what is buffered.
    pub fn flush(&mut self) {
        if self.buffer.is_empty() || self.closed {
            return;
        }
        let chunk = Chunk {
            due: Instant::now() + self.switches.latency(),
            bytes: self.buffer.split().freeze(),
        };
        self.closed = !self.send(chunk);
    }

    /// Sends a chunk; false when the connection is gone, or has to go because a fence can't wait for its caller.
    fn send(&self, chunk: Chunk) -> bool {
        let mut chunk = chunk;
        loop {
            match self.chunks.try_send(chunk) {
                Ok(()) => return true,
                Err(mpsc::error::TrySendError::Closed(_)) => return false,
                Err(mpsc::error::TrySendError::Full(back)) => chunk = back,
            }
            if self.signal.is_ended() {
                return false;
            }
            std::thread::sleep(FULL_CHECK_INTERVAL);
        }
    }

    /// Adds an error.
    pub fn error(&mut self, error: &error::SqlError, severity: &str) {
        self.put(error_response(error, severity));
    }

    /// Adds a reported setting.
    pub fn parameter(&mut self, name: &str, value: &str) {
        self.put(startup::ParameterStatus::new(name.into(), value.into()));
    }

    /// Adds the end of a command.
    pub fn complete(&mut self, tag: &str) {
        self.put(response::CommandComplete::new(tag.into()));
    }

    /// Adds the description of rows.
    pub fn describe(&mut self, columns: &[Column], formats: &Formats) {
        let fields = columns.iter().enumerate().map(|(place, column)| {
            let kind = column.kind.unwrap_or(types::PgType::Text);
            data::FieldDescription::new(
                column.name.to_string(),
                0,
                0,
                kind.oid(),
                kind.size_bytes(),
                NO_TYPE_MODIFIER,
                formats.at(place),
            )
        });
        self.put(data::RowDescription::new(fields.collect()));
    }

    /// Makes a row of a result.
    pub fn row(
        &mut self,
        columns: &[Column],
        formats: &Formats,
        row: &rusqlite::Row<'_>,
    ) -> rusqlite::Result<data::DataRow> {
        for (place, column) in columns.iter().enumerate() {
            let kind = column.kind.unwrap_or(types::PgType::Text);
            types::encode(row.get_ref(place)?, kind, formats.at(place), &mut self.row);
        }
        Ok(data::DataRow::new(self.row.split(), columns.len() as i16))
    }

    /// Adds a row of texts.
    pub fn text_row(&mut self, fields: &[&str]) {
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

/// An error as a message.
pub fn error_response(error: &error::SqlError, severity: &str) -> response::ErrorResponse {
    response::ErrorResponse::new(vec![
        (b'S', severity.into()),
        (b'V', severity.into()),
        (b'C', error.code.into()),
        (b'M', error.message.to_string()),
    ])
}

/// The forms in which the caller wants the columns.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Formats(Vec<i16>);

impl Formats {
    /// Forms by column; one for all, or none for text.
    pub fn new(codes: Vec<i16>) -> Self {
        Self(codes)
    }

    /// The form of a column.
    pub fn at(&self, place: usize) -> i16 {
        match self.0.as_slice() {
            [all] => *all,
            codes => codes.get(place).copied().unwrap_or(types::TEXT_FORMAT),
        }
    }
}

const CHUNK_BYTES: usize = 16 * 1024;
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(1);
const NO_TYPE_MODIFIER: i32 = -1;
