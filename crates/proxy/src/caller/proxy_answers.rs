//! Settings and statements that the proxy answers itself, and the messages of these answers.

use std::time::Duration;

use fulmarlift_core::floor;
use fulmarlift_wire::{answer, class, frame};
use pgwire::messages::{PgWireBackendMessage, data, response, startup};

/// Setting that carries the session's floor as a token.
pub const TOKEN: &str = "fulmarlift.token";
/// Setting that names the read class of the session's reads.
pub const READ_CLASS: &str = "fulmarlift.read_class";
/// Setting that would identify a request; the proxy refuses it.
pub const REQUEST_ID: &str = "fulmarlift.request_id";
/// Prefix of the names of the proxy's own settings.
const PREFIX: &str = "fulmarlift.";
/// Type OID of text columns.
const TEXT_OID: u32 = 25;

/// Values of the proxy's own settings in one session.
#[derive(Clone, Debug, Default)]
pub struct ProxySettings {
    /// Floor of the session, from the tokens that the caller has set and the session's confirmed writes.
    pub floor: floor::Floor,
    /// Whether the caller has set a token, and so carries its floor from proxy to proxy.
    pub carries_token: bool,
    /// Read class for the session's reads, if the caller has named one.
    pub read_class: Option<Box<str>>,
}

impl ProxySettings {
    /// Returns whether a setting with this name is one of the proxy's own.
    pub fn is_proxy_setting(name: &str) -> bool {
        name.starts_with(PREFIX)
    }

    /// Sets a setting; `is_known_group` returns whether a group is configured. A token adds to the floor.
    ///
    /// # Errors
    ///
    /// Returns the answer to the caller when the value cannot be used.
    pub fn set(
        &mut self,
        name: &str,
        value: &str,
        is_known_group: impl Fn(fulmarlift_core::id::GroupId) -> bool,
    ) -> Result<(), answer::Answer> {
        check_name(name)?;
        if name == READ_CLASS {
            self.read_class = (!value.is_empty()).then(|| value.into());
            return Ok(());
        }
        let refuse = |reason: &str| answer::Answer::invalid_value(TOKEN, reason);
        let floor = floor::Floor::from_token(value);
        let floor = floor.map_err(|error| refuse(&error.to_string()))?;
        if floor.iter().any(|(group, _)| !is_known_group(group)) {
            return Err(refuse("the session token names an unknown database group"));
        }
        self.floor.join(&floor);
        self.carries_token = true;
        Ok(())
    }

    /// Resets a setting. The floor stays, because it covers the writes that the session has made.
    pub fn reset(&mut self, name: &str) {
        if name == READ_CLASS {
            self.read_class = None;
        } else {
            self.carries_token = false;
        }
    }

    /// Returns the value of a setting as text.
    ///
    /// # Errors
    ///
    /// Returns the answer to the caller when there is no such setting.
    pub fn show(&self, name: &str) -> Result<Box<str>, answer::Answer> {
        check_name(name)?;
        Ok(match name {
            TOKEN => self.floor.token(),
            _ => self.read_class.clone().unwrap_or_default(),
        })
    }
}

fn check_name(name: &str) -> Result<(), answer::Answer> {
    match name {
        TOKEN | READ_CLASS => Ok(()),
        REQUEST_ID => Err(answer::Answer::unsupported(
            REQUEST_ID,
            "Let the statement itself make its repetition harmless: write the id into a unique column with \
             INSERT ... ON CONFLICT DO NOTHING, in the transaction that it names.",
        )),
        _ => Err(answer::Answer::error(
            answer::sqlstate::UNDEFINED_OBJECT,
            format!("unrecognized configuration parameter \"{name}\""),
        )),
    }
}

/// Returns whether the proxy answers this statement itself.
pub fn is_proxy_statement(statement: &class::Statement) -> bool {
    match &statement.kind {
        class::Kind::Set { name, .. }
        | class::Kind::Show { name }
        | class::Kind::Reset { name, .. } => ProxySettings::is_proxy_setting(name),
        class::Kind::Deallocate { .. } => true,
        _ => false,
    }
}

/// Returns whether the proxy answers all these statements itself.
pub fn are_proxy_statements(statements: &[class::Statement]) -> bool {
    statements.iter().all(is_proxy_statement)
}

/// Returns the ParameterStatus message that carries the token.
pub fn token_status(floor: &floor::Floor) -> frame::Frame {
    let status = startup::ParameterStatus::new(TOKEN.to_owned(), floor.token().into());
    frame::encode_backend(&PgWireBackendMessage::ParameterStatus(status))
}

/// Returns the RowDescription of a SHOW.
pub fn columns(name: &str) -> frame::Frame {
    let field = data::FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    let description = data::RowDescription::new(vec![field]);
    frame::encode_backend(&PgWireBackendMessage::RowDescription(description))
}

/// Returns the DataRow and the CommandComplete of a SHOW.
pub fn row(value: &str) -> [frame::Frame; 2] {
    let mut row = bytes::BytesMut::new();
    row.extend_from_slice(&i32::try_from(value.len()).unwrap_or(0).to_be_bytes());
    row.extend_from_slice(value.as_bytes());
    let row = PgWireBackendMessage::DataRow(data::DataRow::new(row, 1));
    [frame::encode_backend(&row), complete("SHOW")]
}

/// Returns a CommandComplete message with this command tag.
pub fn complete(tag: &str) -> frame::Frame {
    let complete = response::CommandComplete::new(tag.to_owned());
    frame::encode_backend(&PgWireBackendMessage::CommandComplete(complete))
}

/// Returns a ReadyForQuery message outside a transaction.
pub fn idle_ready_for_query() -> frame::Frame {
    ready_for_query(b'I')
}

/// Returns a ReadyForQuery message with this transaction status.
pub fn ready_for_query(status: u8) -> frame::Frame {
    let status = match status {
        b'T' => response::TransactionStatus::Transaction,
        b'E' => response::TransactionStatus::Error,
        _ => response::TransactionStatus::Idle,
    };
    frame::encode_backend(&PgWireBackendMessage::ReadyForQuery(
        response::ReadyForQuery::new(status),
    ))
}

/// Returns a duration in whole milliseconds, at least one.
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .max(1)
}
