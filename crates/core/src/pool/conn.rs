//! State of one connection.

use std::time::Instant;

use crate::id;

/// A connection to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conn {
    /// What the connection is used for at the moment.
    pub state: State,
    /// When the connection entered this state.
    pub since: Instant,
}

/// What a connection is used for at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The shell is opening the connection.
    Opening,
    /// The connection is open and clean, and no request uses it.
    Idle,
    /// This request uses the connection exclusively.
    Busy(id::RequestId),
}
