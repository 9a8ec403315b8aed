//! Simulated time, and the queue of what happens later.

use std::collections::BTreeMap;

/// A time in microseconds since the begin of the simulation, or a duration.
pub type Micros = u64;

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000 * MS;

/// What happens later, in order of time; at one time, in the order in which it was added.
pub struct Queue<E> {
    entries: BTreeMap<(Micros, u64), E>,
    next: u64,
}

impl<E> Queue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            next: 0,
        }
    }

    /// Adds what happens at a time.
    pub fn push(&mut self, at: Micros, entry: E) {
        self.next += 1;
        self.entries.insert((at, self.next), entry);
    }

    /// Removes what happens next.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        let ((at, _), entry) = self.entries.pop_first()?;
        Some((at, entry))
    }
}
