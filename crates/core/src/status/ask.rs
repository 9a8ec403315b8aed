//! Outstanding questions to one member.

use std::time::Instant;

use crate::id;

/// Immediate questions that may be under way to a member, so that one lost answer delays nothing.
const IMMEDIATE_MAX: usize = 4;

/// A question that has not been answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Identifier that the answer carries.
    pub id: id::AskId,
    /// When the question was sent.
    pub started_at: Instant,
    /// When its answer is no longer waited for.
    pub deadline: Instant,
    /// Position that the member was asked to wait for; 0 for none.
    pub min_position: id::Position,
}

/// Questions under way to one member, bounded whatever the load.
#[derive(Clone, Debug, Default)]
pub struct Asks {
    /// Answered at once, oldest first.
    pub immediate: Vec<Ask>,
    /// Answered when the log has reached a position.
    pub held: Option<Ask>,
}

impl Asks {
    /// Removes and returns the question with this identifier. Immediate questions that were sent before it
    /// are forgotten: their answers say nothing more.
    pub fn take(&mut self, id: id::AskId) -> Option<Ask> {
        if self.held.is_some_and(|ask| ask.id == id) {
            return self.held.take();
        }
        let index = self.immediate.iter().position(|ask| ask.id == id)?;
        self.immediate.drain(..=index).next_back()
    }

    /// Forgets questions whose answer is overdue.
    pub fn expire(&mut self, now: Instant) {
        self.immediate.retain(|ask| now < ask.deadline);
        self.held = self.held.filter(|ask| now < ask.deadline);
    }

    /// Returns whether another immediate question may be sent.
    pub fn has_room(&self) -> bool {
        self.immediate.len() < IMMEDIATE_MAX
    }

    /// Returns when the oldest immediate question under way was sent.
    pub fn oldest(&self) -> Option<Instant> {
        self.immediate.first().map(|ask| ask.started_at)
    }

    /// Returns when the newest immediate question under way was sent.
    pub fn newest(&self) -> Option<Instant> {
        self.immediate.last().map(|ask| ask.started_at)
    }
}
