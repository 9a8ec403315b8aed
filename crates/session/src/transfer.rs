//! Progress of a call to the store whose answer arrives in pieces.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::clock;

/// Time from the first piece of an answer for which further pieces count as a sign that the store answers. A proxy whose
/// answer takes longer has a slow path to the store, and its listeners are better served by another one.
const PROGRESS_PERIOD: Duration = Duration::from_millis(1_500);

/// Progress of the latest call for one part of the store. The adapter records each piece of the answer.
#[derive(Debug)]
pub struct Transfer {
    started_at: Cell<Instant>,
    first_piece_at: Cell<Option<Instant>>,
    last_piece_at: Cell<Option<Instant>>,
    received_bytes: Cell<usize>,
    first_piece: Notify,
    /// Whether the call before the current one failed.
    failed: Cell<bool>,
}

impl Default for Transfer {
    fn default() -> Self {
        Self {
            started_at: Cell::new(clock::now()),
            first_piece_at: Cell::default(),
            last_piece_at: Cell::default(),
            received_bytes: Cell::default(),
            first_piece: Notify::new(),
            failed: Cell::default(),
        }
    }
}

impl Transfer {
    /// Starts a call, which has received nothing yet.
    pub(crate) fn start(&self) {
        self.started_at.set(clock::now());
        self.first_piece_at.set(None);
        self.last_piece_at.set(None);
        self.received_bytes.set(0);
    }

    /// Records that a piece of the answer of this size, in bytes, has arrived.
    pub fn record(&self, bytes: usize) {
        let now = Some(clock::now());
        if self.first_piece_at.get().is_none() {
            self.first_piece_at.set(now);
            self.first_piece.notify_waiters();
        }
        self.last_piece_at.set(now);
        self.received_bytes.set(self.received_bytes.get() + bytes);
        metrics::counter!("fulmarlift_store_received_bytes_total").increment(bytes as u64);
    }

    /// Ends the call.
    pub(crate) fn end(&self, succeeded: bool) {
        self.failed.set(!succeeded);
    }

    /// Waits until the answer of the current call begins to arrive.
    pub(crate) fn begins(&self) -> Notified<'_> {
        self.first_piece.notified()
    }

    /// Returns the latest time at which the store showed that it answers the call; none before the first piece, and after a
    /// call that failed, since the answer may be cut again.
    pub fn progress_at(&self) -> Option<Instant> {
        if self.failed.get() {
            return None;
        }
        let period_end = self.first_piece_at.get()? + PROGRESS_PERIOD;
        self.last_piece_at.get().map(|at| at.min(period_end))
    }

    /// Returns the number of bytes received.
    pub fn received_bytes(&self) -> usize {
        self.received_bytes.get()
    }

    /// Returns the time since the call started; the wait of a long poll is part of it.
    pub fn elapsed(&self) -> Duration {
        clock::now().saturating_duration_since(self.started_at.get())
    }

    /// Returns the time since the first piece of the answer arrived; zero before it.
    pub fn receiving_for(&self) -> Duration {
        let since = self.first_piece_at.get();
        since.map_or(Duration::ZERO, |since| {
            clock::now().saturating_duration_since(since)
        })
    }
}
