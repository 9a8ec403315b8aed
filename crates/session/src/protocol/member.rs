//! Messages between the proxy and members.
//!
//! A proxy that forwards statements uses the same messages to a home of the group, see [`crate::peer`].

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use serde::{Deserialize, Serialize};

use crate::protocol;
use crate::protocol::caller;

/// A message to a member. The member sends one [`Answer`] to each, except to [`Command::Terminate`].
#[derive(Clone, Copy, Debug)]
pub enum Command<'a> {
    /// Opens the connection.
    Startup {
        /// Name of the group.
        group: &'a str,
        /// Expected name of the member, which refuses another one.
        member: &'a str,
        /// Name of the workspace that the connection serves; none for a connection to a home, and without workspaces.
        workspace: Option<&'a str>,
    },
    /// Runs a caller's statement, with its id and text unchanged.
    Run {
        /// Id that the caller gave the statement.
        id: &'a Bytes,
        /// Text of the statement.
        text: &'a Bytes,
        /// Meaning of the text.
        verb: Verb,
        /// Point that the member's log must have reached.
        floor: Option<floor::Point>,
        /// Options that a home needs; codecs of members ignore them.
        options: Option<caller::StatementOptions>,
    },
    /// Runs a prepared statement for a caller, under the statement's id on this connection.
    Execute {
        /// Id that the caller gave the statement.
        id: &'a Bytes,
        /// Definition of the prepared statement.
        prepared: &'a Prepared,
        /// Statement's id on this connection; none on connections to homes, which get the definition.
        prepared_id: Option<PreparedId>,
        /// Text after the name in the caller's statement.
        arguments: &'a Bytes,
        /// Point that the member's log must have reached.
        floor: Option<floor::Point>,
        /// Options that a home needs; codecs of members ignore them.
        options: Option<caller::StatementOptions>,
    },
    /// Begins a read-write transaction by which the proxy checks that the member leads; only a leader accepts it.
    Begin,
    /// Rolls back the transaction of the connection, for the proxy itself.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name of the session value.
        name: &'a str,
        /// New value.
        value: &'a Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// Statement's id on this connection.
        prepared_id: PreparedId,
        /// Definition of the statement.
        prepared: &'a Prepared,
    },
    /// Removes a prepared statement.
    Deallocate(PreparedId),
    /// Clears session values and prepared statements.
    Reset,
    /// Asks for the member's status.
    Status,
    /// Stops a replica from receiving log entries of leaders below this term.
    Hold(id::Term),
    /// Ends a hold.
    Release,
    /// Demotes a leader of a term below this one to a replica.
    Demote(id::Term),
    /// Closes the connection.
    Terminate,
}

/// Meaning of a statement that the proxy sends on as text.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Verb {
    /// Begins a transaction.
    Begin(protocol::Mode),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes data.
    Run(protocol::Mode),
}

/// Id of a prepared statement on one connection to a member, where its name is made of it alone: the name must not hold
/// bytes that a caller has chosen. A connection never uses an id twice, not even after a reset.
pub type PreparedId = u64;

/// Definition of a prepared statement. On a connection, sessions share equal ones.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub struct Prepared {
    /// Whether the statement may write.
    pub mode: protocol::Mode,
    /// Text that defines the statement, as the caller sent it; opaque to the proxy.
    pub shape: Box<str>,
}

/// A command as a member reads it from the encoded bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadBack<'a> {
    /// A caller's statement other than the execution of a prepared one; carries the meaning that its text has.
    Run(ReadStatement<'a>, Verb),
    /// The execution of a prepared statement.
    Execute {
        /// Name of the prepared statement on this connection.
        name: &'a [u8],
        /// The statement, with the arguments as its text.
        statement: ReadStatement<'a>,
    },
    /// Sets a session value; carries its name and the new value.
    Set(&'a [u8], &'a [u8]),
    /// Prepares a statement.
    Prepare {
        /// Name of the prepared statement on this connection.
        name: &'a [u8],
        /// Whether the statement may write.
        mode: protocol::Mode,
        /// Text that defines the statement.
        shape: &'a [u8],
    },
    /// Opens the connection.
    Startup {
        /// Name of the group.
        group: &'a [u8],
        /// Name of the workspace, or of the proxies where there is none.
        client: &'a [u8],
        /// Name of the member.
        member: &'a [u8],
    },
    /// Begins a read-write transaction for the proxy itself.
    Begin,
    /// Rolls the transaction back for the proxy itself.
    Rollback,
    /// Removes a prepared statement; carries its name on this connection.
    Deallocate(&'a [u8]),
    /// Clears session values and prepared statements.
    Reset,
    /// Asks for the member's status.
    Status,
    /// Stops a replica from receiving log entries of leaders below this term.
    Hold(id::Term),
    /// Ends a hold.
    Release,
    /// Demotes a leader of a term below this one to a replica.
    Demote(id::Term),
    /// Closes the connection.
    Terminate,
    /// The bytes are no single command.
    Malformed,
    /// The codec does not send commands as text.
    Opaque,
}

/// A caller's statement as a member reads it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadStatement<'a> {
    /// Id that the caller gave the statement.
    pub id: &'a [u8],
    /// Point that the member's log must have reached.
    pub floor: Option<floor::Point>,
    /// Text of the statement.
    pub text: &'a [u8],
}

/// A message of a member; several make up an [`Answer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// One row of the result.
    Row(Bytes),
    /// The statement succeeded; carries the member's signature.
    Complete(Bytes),
    /// The statement failed; carries the member's text.
    Error(protocol::Code, Box<str>),
    /// The answer ends; carries the connection's state and the last point of the member's log.
    Ready(protocol::TransactionState, Option<floor::Point>),
    /// The home stops. It still answers what was sent, but nothing more must be sent on this connection.
    Closing,
}

/// Signature of an answer that no member has signed.
pub const UNSIGNED: &[u8] = b"-";

/// Returns whether the bytes are a member's signature.
pub fn is_signature(bytes: &[u8]) -> bool {
    let trimmed = bytes.trim_ascii();
    !trimmed.is_empty() && trimmed != UNSIGNED
}

/// Result of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The statement succeeded; carries the member's signature.
    Complete(Bytes),
    /// The statement failed; carries the member's text.
    Error(protocol::Code, Box<str>),
    /// The member sent only a ready message, as it does after [`Command::Startup`].
    Ready,
}

/// Complete answer of a member to a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Rows of the result.
    pub rows: Vec<Bytes>,
    /// Result of the command.
    pub end: End,
    /// State of the connection after the command. [`protocol::TransactionState::Failed`] if the member has closed the
    /// connection with an error.
    pub state: protocol::TransactionState,
    /// Last point of the member's log.
    pub point: Option<floor::Point>,
}

impl Answer {
    /// Returns the bytes of the rows, with room for the words around them.
    pub(crate) fn size_bytes(&self) -> usize {
        const ROW_OVERHEAD_BYTES: usize = 16;
        let rows = self.rows.iter();
        rows.map(|row| row.len() + ROW_OVERHEAD_BYTES).sum()
    }

    /// Returns the error code, if the command failed.
    pub fn error(&self) -> Option<&protocol::Code> {
        match &self.end {
            End::Error(code, _) => Some(code),
            End::Complete(_) | End::Ready => None,
        }
    }
}

/// Encodes commands and decodes members' messages.
pub trait Codec: Default + 'static {
    /// Appends a command to the buffer.
    ///
    /// # Errors
    ///
    /// [`protocol::Withheld`] if the command must not be sent; the buffer may then end with a part of it.
    fn encode(
        &mut self,
        command: Command<'_>,
        outbox: &mut BytesMut,
    ) -> Result<(), protocol::Withheld>;

    /// Reads an encoded command as the member does, whatever was to be encoded.
    fn read_back<'a>(&self, message: &'a [u8]) -> ReadBack<'a>;

    /// Removes the next complete message from the buffer; returns none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`protocol::WireError`] for a malformed or too long message; the connection is unusable after it.
    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, protocol::WireError>;

    /// Decodes the row of an answer to [`Command::Status`]; returns none for any other row.
    fn member_status(&self, row: &Bytes) -> Option<event::MemberStatus>;
}
