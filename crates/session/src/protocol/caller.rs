//! The callers' side.

use bytes::{Bytes, BytesMut};
use fulmarlift_core::floor::Point;

use crate::protocol::{Code, Mode, State, WireError};

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
}

/// The meaning of a statement's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Begins a transaction.
    Begin(Mode),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes.
    Run(Mode),
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
        mode: Mode,
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
    Ready(State, Option<Point>),
    /// A row.
    Row(&'a Bytes),
    /// The statement succeeded at a member, which signed for it.
    Complete(&'a Bytes),
    /// The statement succeeded without a member.
    Done,
    /// The statement or the connection failed.
    Error(&'a Code, &'a str),
}

/// Reads callers' messages and writes replies.
pub trait Codec: Default + 'static {
    /// Takes the next whole message out of the buffer; none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`WireError`] when the session cannot go on.
    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Message>, WireError>;

    /// Writes a reply.
    fn encode(&mut self, reply: Reply<'_>, outbox: &mut BytesMut);
}
