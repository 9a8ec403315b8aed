//! What a session counts for the bounds over all clients, see [`crate::limits`].

use std::io;

use crate::deployment::Deployment;
use crate::limits;
use crate::limits::ledger::{Cause, Resource};
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::session::{Session, SessionEnd};

impl<D: Deployment, C: Codec> Session<D, C> {
    /// Handles a query, or refuses it if it is large and too many large ones run. Nothing of a refused one has run.
    pub(super) async fn handle_within_limits(
        &mut self,
        query: caller::Query,
    ) -> Result<(), SessionEnd> {
        let handled = match self.slot.start_statement(query_bytes(&query)) {
            Ok(()) => self.handle_query_until_stop(query).await,
            Err(cause) => {
                self.answer_busy(cause);
                Ok(())
            }
        };
        self.slot.end_statement();
        handled
    }

    /// Counts the message that is unfinished while the session waits for more of it. Ends the session if it is chosen.
    pub(super) async fn count_unfinished_message(&mut self) -> Result<(), SessionEnd> {
        limits::free_if_idle(&mut self.inbox);
        let counted_bytes = limits::counted_bytes(&self.inbox);
        match self.slot.set(Resource::Messages, counted_bytes) {
            Ok(()) if counted_bytes == 0 => Ok(()),
            Ok(()) => {
                // Sessions that were closed free their memory before this one reads on. A buffer at most doubles in between.
                tokio::task::yield_now().await;
                Ok(())
            }
            Err(cause) => {
                let ended = SessionEnd::Limited(cause);
                self.end_with_error(&protocol::Code::Busy, ended).await
            }
        }
    }

    /// Sends as much of the replies as the socket takes at once, which is all of them for a client that reads.
    pub(super) fn send_without_waiting(&mut self) -> Result<(), SessionEnd> {
        while !self.outbox.is_empty() {
            match self.stream.try_write(&self.outbox) {
                Ok(written_bytes) => bytes::Buf::advance(&mut self.outbox, written_bytes),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Counts the answer whose rest must wait for the client. All of it stays in memory until it is sent.
    pub(super) fn count_unread_answer(&self) -> Result<(), SessionEnd> {
        let counted_bytes = limits::counted_bytes(&self.outbox);
        let counted = self.slot.set(Resource::Answers, counted_bytes);
        counted.map_err(SessionEnd::Limited)
    }

    /// Records that all replies are sent.
    pub(super) fn end_answer(&mut self) {
        limits::free_if_idle(&mut self.outbox);
        // Fewer bytes are never refused.
        let _ = self.slot.set(Resource::Answers, 0);
    }

    /// Counts a session value that is about to be set. Answers the statement if there is no room.
    pub(super) fn count_value(&mut self, name: &str, value_bytes: usize) -> bool {
        let state_bytes = self.session_state.bytes_with_value(name, value_bytes);
        self.count_state_bytes(state_bytes)
    }

    /// Counts a statement that is about to be prepared. Answers the statement if there is no room.
    pub(super) fn count_prepared(&mut self, name: &str, shape_bytes: usize) -> bool {
        let state_bytes = self.session_state.bytes_with_prepared(name, shape_bytes);
        self.count_state_bytes(state_bytes)
    }

    /// Counts session values and prepared statements after some were removed.
    pub(super) fn count_state(&self) {
        // Fewer bytes are never refused.
        let _ = self
            .slot
            .set(Resource::State, self.session_state.size_bytes());
    }

    fn count_state_bytes(&mut self, state_bytes: usize) -> bool {
        match self.slot.set(Resource::State, state_bytes) {
            Ok(()) => true,
            Err(cause) => {
                self.answer_busy(cause);
                false
            }
        }
    }

    fn answer_busy(&mut self, cause: Cause) {
        let text = SessionEnd::Limited(cause).to_string();
        self.answer_error(&protocol::Code::Busy, &text);
    }
}

/// Returns the bytes of a query that stay in memory while it runs.
fn query_bytes(query: &caller::Query) -> usize {
    let definition_bytes = match &query.statement {
        caller::Statement::ExecutePrepared {
            prepared,
            arguments,
        } => prepared.shape.len() + arguments.len(),
        _ => 0,
    };
    query.text.len() + definition_bytes
}
