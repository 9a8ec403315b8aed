//! State of the command to one member.

use std::time::Instant;

use crate::event;
use crate::failover;

/// State of the command to one member.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct CommandState {
    /// Instant at which the unanswered command was sent; `None` if no command is under way.
    pub(super) sent_at: Option<Instant>,
    /// Earliest instant of the next command.
    pub(super) retry_at: Option<Instant>,
    /// Status in the answer that counts.
    pub(super) status: Option<event::MemberStatus>,
    /// Instant of the last answer.
    pub(super) answered_at: Option<Instant>,
}

impl CommandState {
    /// Records that the command is sent if it is due and neither answered nor under way. Returns whether to send it.
    pub(super) fn send_if_due(&mut self, now: Instant) -> bool {
        let is_lost = self.sent_at.is_some_and(|sent_at| {
            now.saturating_duration_since(sent_at) > failover::COMMAND_TIMEOUT
        });
        let is_due = self.retry_at.is_none_or(|retry_at| now >= retry_at);
        let sends = self.status.is_none() && (is_lost || self.sent_at.is_none() && is_due);
        if sends {
            self.sent_at = Some(now);
        }
        sends
    }

    /// Records the answer to the command, or its absence.
    pub(super) fn record_answer(&mut self, now: Instant, status: Option<event::MemberStatus>) {
        self.sent_at = None;
        self.retry_at = Some(now + failover::COMMAND_RETRY_DELAY);
        self.status = status;
        if status.is_some() {
            self.answered_at = Some(now);
        }
    }

    /// Discards the answer, so that the command is sent again at `retry_at`.
    pub(super) fn discard_answer(&mut self, retry_at: Instant) {
        self.status = None;
        self.retry_at = Some(retry_at);
    }
}
