//! Outstanding status requests to one member. An *immediate* request is answered at once, a *delayed* one when the
//! member's log has reached a position. Other control requests, such as fences, are in [`crate::failover`].

use std::time::Instant;

use crate::id;

/// Maximum number of unanswered immediate requests to a member. More than one, so that a lost answer does not
/// delay the next request.
const IMMEDIATE_MAX: usize = 4;

/// A status request that the member has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlRequest {
    /// Identifier that the answer carries.
    pub id: id::ControlRequestId,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the proxy stops waiting for the answer.
    pub deadline: Instant,
    /// Log position that the member must reach before it answers; 0 for an immediate answer.
    pub min_position: id::Position,
}

/// Outstanding status requests to one member. Their number is bounded whatever the load.
#[derive(Clone, Debug, Default)]
pub struct ControlRequests {
    /// Requests that the member answers at once, oldest first.
    pub immediate: Vec<ControlRequest>,
    /// Request that the member answers when its log has reached a position.
    pub delayed: Option<ControlRequest>,
}

impl ControlRequests {
    /// Removes and returns the request with this identifier. Also removes immediate requests that were sent before
    /// it, since their answers are older.
    pub fn remove(&mut self, id: id::ControlRequestId) -> Option<ControlRequest> {
        if self.delayed.is_some_and(|request| request.id == id) {
            return self.delayed.take();
        }
        let index = self.immediate.iter().position(|request| request.id == id)?;
        self.immediate.drain(..=index).next_back()
    }

    /// Removes requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) {
        self.immediate.retain(|request| now < request.deadline);
        self.delayed = self.delayed.filter(|request| now < request.deadline);
    }

    /// Returns whether another immediate request may be sent.
    pub fn has_room(&self) -> bool {
        self.immediate.len() < IMMEDIATE_MAX
    }

    /// Returns when the oldest unanswered immediate request was sent.
    pub fn oldest_sent_at(&self) -> Option<Instant> {
        self.immediate.first().map(|request| request.sent_at)
    }

    /// Returns when the newest unanswered immediate request was sent.
    pub fn newest_sent_at(&self) -> Option<Instant> {
        self.immediate.last().map(|request| request.sent_at)
    }
}
