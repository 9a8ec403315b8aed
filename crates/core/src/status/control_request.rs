//! Outstanding control requests to one member: status queries that it has not answered.

use std::time::Instant;

use crate::id;

/// Maximum number of unanswered immediate requests to a member. More than one, so that a lost answer does not
/// delay the next request.
const IMMEDIATE_MAX: usize = 4;

/// A status query that the member has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ControlRequest {
    /// Identifier that the answer carries.
    pub id: id::ControlRequestId,
    /// When the request was sent.
    pub started_at: Instant,
    /// When the proxy stops waiting for the answer.
    pub deadline: Instant,
    /// Log position that the member must reach before it answers; 0 for an immediate answer.
    pub min_position: id::Position,
}

/// Outstanding control requests to one member. Their number is bounded whatever the load.
#[derive(Clone, Debug, Default)]
pub struct ControlRequests {
    /// Requests that the member answers at once, oldest first.
    pub immediate: Vec<ControlRequest>,
    /// Request that the member answers when its log has reached a position.
    pub held: Option<ControlRequest>,
}

impl ControlRequests {
    /// Removes and returns the request with this identifier. Also removes immediate requests that were sent before
    /// it, since their answers are older.
    pub fn take(&mut self, id: id::ControlRequestId) -> Option<ControlRequest> {
        if self
            .held
            .is_some_and(|control_request| control_request.id == id)
        {
            return self.held.take();
        }
        let index = self
            .immediate
            .iter()
            .position(|control_request| control_request.id == id)?;
        self.immediate.drain(..=index).next_back()
    }

    /// Removes requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        self.immediate
            .retain(|control_request| now < control_request.deadline);
        self.held = self
            .held
            .filter(|control_request| now < control_request.deadline);
    }

    /// Returns whether another immediate request may be sent.
    pub fn has_room(&self) -> bool {
        self.immediate.len() < IMMEDIATE_MAX
    }

    /// Returns when the oldest unanswered immediate request was sent.
    pub fn oldest(&self) -> Option<Instant> {
        self.immediate
            .first()
            .map(|control_request| control_request.started_at)
    }

    /// Returns when the newest unanswered immediate request was sent.
    pub fn newest(&self) -> Option<Instant> {
        self.immediate
            .last()
            .map(|control_request| control_request.started_at)
    }
}
