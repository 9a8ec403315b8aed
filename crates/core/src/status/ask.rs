//! Outstanding questions to one member.

use std::time::Instant;

use crate::id;

/// A question that has not been answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Identifier that the answer carries.
    pub id: id::AskId,
    /// When the question was sent.
    pub started_at: Instant,
    /// Position that the member was asked to wait for; 0 for none.
    pub min_position: id::Position,
}

/// At most one immediate and one held question are under way for a member, whatever the load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asks {
    /// Answered at once.
    pub immediate: Option<Ask>,
    /// Answered when the log has reached a position.
    pub held: Option<Ask>,
}

impl Asks {
    /// Removes and returns the question with this identifier.
    pub fn take(&mut self, id: id::AskId) -> Option<Ask> {
        for slot in [&mut self.immediate, &mut self.held] {
            if slot.is_some_and(|ask| ask.id == id) {
                return slot.take();
            }
        }
        None
    }
}
