//! Progress of a call to the store whose answer arrives in pieces.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::clock;

/// Progress of the latest call for one part of the store. The adapter records each piece of the answer.
#[derive(Debug)]
pub struct Transfer {
    started_at: Cell<Instant>,
    first_piece_at: Cell<Option<Instant>>,
    received_bytes: Cell<usize>,
}

impl Default for Transfer {
    fn default() -> Self {
        Self {
            started_at: Cell::new(clock::now()),
            first_piece_at: Cell::default(),
            received_bytes: Cell::default(),
        }
    }
}

impl Transfer {
    /// Starts a call, which has received nothing yet.
    pub(crate) fn start(&self) {
        self.started_at.set(clock::now());
        self.first_piece_at.set(None);
        self.received_bytes.set(0);
    }

    /// Records that a piece of the answer of this size, in bytes, has arrived.
    pub fn record(&self, bytes: usize) {
        if self.first_piece_at.get().is_none() {
            self.first_piece_at.set(Some(clock::now()));
        }
        self.received_bytes.set(self.received_bytes.get() + bytes);
        metrics::counter!("fulmarlift_store_received_bytes_total").increment(bytes as u64);
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
