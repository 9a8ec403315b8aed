//! State of one connection.

use std::time::Instant;

use crate::id;

/// A connection to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conn {
    /// Current state of the connection.
    pub state: State,
    /// When the connection entered this state.
    pub since: Instant,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The shell is opening the connection.
    Opening,
    /// The connection is open and clean, and no request uses it.
    Idle,
    /// This request uses the connection exclusively.
    Busy(id::RequestId),
}
