//! The callers' side.

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::topology;
use fulmarlift_core::floor;
use serde::{Deserialize, Serialize};

use crate::protocol;
use crate::protocol::member;

/// A caller's message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Begins a session with a database.
    Startup {
        /// Name of the database.
        database: Box<str>,
    },
    /// A statement.
    Query(Query),
    /// Ends the session.
    Terminate,
}

/// A statement as the caller sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// The caller's id of it.
    pub id: Bytes,
    /// Its text.
    pub text: Bytes,
    /// What the text means.
    pub statement: Statement,
    /// What another proxy says of it that has forwarded it; none from a caller.
    pub forwarded: Option<Forwarded>,
}

/// What a forwarding proxy knows of a statement.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Forwarded {
    /// How it is to be served, with the time that is left.
    pub route: Terms,
    /// The session's newest commit.
    pub own: Option<floor::Point>,
}

/// How a statement is to be served, apart from where.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// What its reads demand.
    pub consistency: topology::Consistency,
    /// Time that it may take from now on.
    pub timeout_ms: u32,
    /// Time within which it should be answered.
    pub objective_ms: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
}

/// The meaning of a statement's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Begins a transaction.
    Begin(protocol::Mode),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes.
    Run(protocol::Mode),
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Box<str>,
        /// The value.
        value: Bytes,
    },
    /// Names a statement for later use.
    Prepare {
        /// The name.
        name: Box<str>,
        /// Whether it writes.
        mode: protocol::Mode,
        /// What it does.
        shape: Box<str>,
    },
    /// Runs a statement that was prepared.
    Execute {
        /// Its name.
        name: Box<str>,
        /// What follows the name in the text.
        arguments: Bytes,
    },
    /// Runs a statement that another proxy's caller has prepared.
    ExecutePrepared {
        /// The statement.
        prepared: member::Prepared,
        /// Its arguments.
        arguments: Bytes,
    },
    /// Clears values and names.
    Reset,
    /// Forgets the name of a prepared statement.
    Deallocate {
        /// The name.
        name: Box<str>,
    },
    /// The text means nothing.
    Invalid,
}

/// A message to a caller.
#[derive(Clone, Copy, Debug)]
pub enum Reply<'a> {
    /// The session waits for the next statement.
    Ready(protocol::State, Option<floor::Point>),
    /// A row.
    Row(&'a Bytes),
    /// The statement succeeded at a member, which signed for it.
    Complete(&'a Bytes),
    /// The statement succeeded without a member.
    Done,
    /// The statement or the connection failed.
    Error(&'a protocol::Code, &'a str),
}

/// Reads callers' messages and writes replies.
pub trait Codec: Default + 'static {
    /// Takes the next whole message out of the buffer; none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`protocol::WireError`] when the session cannot go on.
    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Message>, protocol::WireError>;

    /// Writes a reply.
    fn encode(&mut self, reply: Reply<'_>, outbox: &mut BytesMut);
}
