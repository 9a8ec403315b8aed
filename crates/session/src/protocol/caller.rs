//! Messages between callers and the proxy.

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::topology;
use fulmarlift_core::floor;
use fulmarlift_core::id;
use serde::{Deserialize, Serialize};

use crate::protocol;
use crate::protocol::member;

/// A message of a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Opens a session with a database.
    Startup {
        /// Name of the database.
        database: Box<str>,
        /// Key by which the caller identifies itself; empty for a peer.
        key: Bytes,
    },
    /// Runs a statement.
    Query(Query),
    /// Ends the session.
    Terminate,
}

/// A statement as the caller sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Id that the caller gave the statement.
    pub id: Bytes,
    /// Text of the statement.
    pub text: Bytes,
    /// Meaning of the text.
    pub statement: Statement,
    /// Data that a forwarding proxy adds; none if a caller sent the statement, and for the forwarding proxy's own commands to
    /// set a session value, to reset, and to roll back.
    pub forwarded: Option<Forwarded>,
}

/// Data that a forwarding proxy sends with a statement.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Forwarded {
    /// Options of the statement, with the remaining time.
    pub options: StatementOptions,
    /// Newest commit of the session in the group; none before the first one, and for statements that need not read it.
    pub session_commit: Option<floor::Point>,
}

/// Consistency, time limits and priority of a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatementOptions {
    /// Consistency of its reads.
    pub consistency: topology::Consistency,
    /// Time from now on after which the statement fails.
    pub timeout_ms: u32,
    /// Time from now on within which the statement should be answered.
    pub objective_ms: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Workspace on whose behalf the statement runs, whose key the forwarding proxy has checked.
    pub workspace: Option<id::WorkspaceId>,
}

/// Meaning of a statement's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Begins a transaction.
    Begin(protocol::Mode),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes data.
    Run(protocol::Mode),
    /// Sets a session value.
    Set {
        /// Name of the session value.
        name: Box<str>,
        /// New value.
        value: Bytes,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// Name of the prepared statement in this session.
        name: Box<str>,
        /// Whether the statement may write.
        mode: protocol::Mode,
        /// Text that defines the statement, opaque to the proxy.
        shape: Box<str>,
    },
    /// Runs a prepared statement of this session.
    Execute {
        /// Name of the prepared statement.
        name: Box<str>,
        /// Text after the name.
        arguments: Bytes,
    },
    /// Runs a statement that a caller of the forwarding proxy has prepared there.
    ExecutePrepared {
        /// Definition of the prepared statement.
        prepared: member::Prepared,
        /// Text after the name.
        arguments: Bytes,
    },
    /// Clears session values and prepared statements.
    Reset,
    /// Removes a prepared statement.
    Deallocate {
        /// Name of the prepared statement.
        name: Box<str>,
    },
    /// The text is no valid statement.
    Invalid,
}

impl From<member::Verb> for Statement {
    fn from(verb: member::Verb) -> Self {
        match verb {
            member::Verb::Begin(mode) => Self::Begin(mode),
            member::Verb::Commit => Self::Commit,
            member::Verb::Rollback => Self::Rollback,
            member::Verb::Run(mode) => Self::Run(mode),
        }
    }
}

/// A message to a caller.
#[derive(Clone, Copy, Debug)]
pub enum Reply<'a> {
    /// The session is ready for the next statement; carries its transaction state, and the newest point of a member's log in
    /// the answers of the session.
    Ready(protocol::TransactionState, Option<floor::Point>),
    /// One row of the result.
    Row(&'a Bytes),
    /// A member ran the statement; carries the member's signature.
    Complete(&'a Bytes),
    /// The proxy executed the statement without a member.
    Done,
    /// The statement or the session failed; carries a text for the caller.
    Error(&'a protocol::Code, &'a str),
    /// The proxy stops, and nothing more must be sent on this connection. Only peers get it.
    Closing,
}

/// Decodes callers' messages and encodes replies.
pub trait Codec: Default + 'static {
    /// Removes the next complete message from the buffer; returns none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`protocol::WireError`] for a malformed or too long message; the session must end.
    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Message>, protocol::WireError>;

    /// Returns whether a reply can be encoded as a single message. Rows and signatures are another process's bytes.
    fn can_encode(&self, reply: Reply<'_>) -> bool;

    /// Appends a reply to the buffer.
    fn encode(&mut self, reply: Reply<'_>, outbox: &mut BytesMut);
}
