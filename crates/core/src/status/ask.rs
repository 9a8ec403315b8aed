//! Outstanding control requests to one member: status queries that it has not answered.

use std::time::Instant;

use crate::id;

/// Maximum number of unanswered immediate requests to a member. More than one, so that a lost answer does not
/// delay the next request.
const IMMEDIATE_MAX: usize = 4;

/// A status query that the member has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Identifier that the answer carries.
    pub id: id::AskId,
    /// When the request was sent.
    pub started_at: Instant,
    /// When the proxy stops waiting for the answer.
    pub deadline: Instant,
    /// Log position that the member must reach before it answers; 0 for an immediate answer.
    pub min_position: id::Position,
}

/// Outstanding control requests to one member. Their number is bounded whatever the load.
#[derive(Clone, Debug, Default)]
pub struct Asks {
    /// Requests that the member answers at once, oldest first.
    pub immediate: Vec<Ask>,
    /// Request that the member answers when its log has reached a position.
    pub held: Option<Ask>,
}

impl Asks {
    /// Removes and returns the request with this identifier. Also removes immediate requests that were sent before
    /// it, since their answers are older.
    pub fn take(&mut self, id: id::AskId) -> Option<Ask> {
        if self.held.is_some_and(|ask| ask.id == id) {
            return self.held.take();
        }
        let index = self.immediate.iter().position(|ask| ask.id == id)?;
        self.immediate.drain(..=index).next_back()
    }

    /// Removes requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        self.immediate.retain(|ask| now < ask.deadline);
        self.held = self.held.filter(|ask| now < ask.deadline);
    }

    /// Returns whether another immediate request may be sent.
    pub fn has_room(&self) -> bool {
        self.immediate.len() < IMMEDIATE_MAX
    }

    /// Returns when the oldest unanswered immediate request was sent.
    pub fn oldest(&self) -> Option<Instant> {
        self.immediate.first().map(|ask| ask.started_at)
    }

    /// Returns when the newest unanswered immediate request was sent.
    pub fn newest(&self) -> Option<Instant> {
        self.immediate.last().map(|ask| ask.started_at)
    }
}
