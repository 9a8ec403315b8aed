//! The members' side.

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use serde::{Deserialize, Serialize};

use crate::protocol;
use crate::protocol::caller;

/// What is sent to a member. Each but [`Command::Terminate`] gets one [`Answer`].
#[derive(Clone, Copy, Debug)]
pub enum Command<'a> {
    /// Begins a connection.
    Startup {
        /// Name of the group.
        group: &'a str,
        /// Name that the member is expected to have.
        member: &'a str,
    },
    /// A caller's statement, its id and text unchanged.
    Run {
        /// The caller's id.
        id: &'a Bytes,
        /// The caller's text.
        text: &'a Bytes,
        /// What the text means.
        verb: Verb,
        /// Point that the member's log has to have reached.
        floor: Option<floor::Point>,
        /// How the statement is to be served; members need not know.
        terms: Option<caller::Terms>,
    },
    /// A caller's use of a prepared statement, under the name that it has on this connection.
    Execute {
        /// The caller's id.
        id: &'a Bytes,
        /// The statement.
        prepared: &'a Prepared,
        /// What follows the name in the caller's text.
        arguments: &'a Bytes,
        /// Point that the member's log has to have reached.
        floor: Option<floor::Point>,
        /// How the statement is to be served; members need not know.
        terms: Option<caller::Terms>,
    },
    /// Begins a transaction of the proxy's own that may write, which only a leader allows.
    Begin,
    /// Ends the proxy's own transaction without a trace.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: &'a str,
        /// The value.
        value: &'a Bytes,
    },
    /// Names a statement.
    Prepare(&'a Prepared),
    /// Clears values and names.
    Reset,
    /// Asks for the member's standing.
    Status,
    /// Stops a replica from receiving below this term.
    Hold(id::Term),
    /// Ends a hold.
    Release,
    /// Makes a leader of a lower term a replica.
    Demote(id::Term),
    /// Ends the connection.
    Terminate,
}

/// The meaning of a statement that is passed on as text.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Verb {
    /// Begins a transaction.
    Begin(protocol::Mode),
    /// Commits it.
    Commit,
    /// Rolls it back.
    Rollback,
    /// Reads or writes.
    Run(protocol::Mode),
}

/// What a prepared statement does; its name on members' connections is derived from it.
#[derive(Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub struct Prepared {
    /// Whether it writes.
    pub mode: protocol::Mode,
    /// Its shape.
    pub shape: Box<str>,
}

/// One message of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Frame {
    /// A row.
    Row(Bytes),
    /// Success, with the member's signature.
    Complete(Bytes),
    /// Failure.
    Error(protocol::Code, Box<str>),
    /// The end of an answer: where the connection stands, and the last entry of the member's log.
    Ready(protocol::State, Option<floor::Point>),
}

/// How a statement ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// Success, with the member's signature.
    Complete(Bytes),
    /// Failure.
    Error(protocol::Code, Box<str>),
    /// The member was only asked to be ready.
    Ready,
}

/// A whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Rows.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub end: End,
    /// Where the connection stands.
    pub state: protocol::State,
    /// Last entry of the member's log.
    pub point: Option<floor::Point>,
}

impl Answer {
    /// Returns the code of a failure.
    pub fn error(&self) -> Option<&protocol::Code> {
        match &self.end {
            End::Error(code, _) => Some(code),
            End::Complete(_) | End::Ready => None,
        }
    }
}

/// Writes commands and reads members' messages.
pub trait Codec: Default + 'static {
    /// Writes a command.
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut);

    /// Takes the next whole message out of the buffer; none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`protocol::WireError`] when the connection cannot go on.
    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, protocol::WireError>;

    /// Reads the row by which a member tells its standing; none if it is no such row.
    fn standing(&self, row: &Bytes) -> Option<event::MemberStatus>;
}
