//! One connection.

use std::time::Instant;

use crate::id;

/// A connection to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conn {
    /// What the connection is doing.
    pub state: State,
    /// When it entered that state.
    pub since: Instant,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Being opened.
    Opening,
    /// Open and clean.
    Idle,
    /// Held by a request.
    Busy(id::RequestId),
}
