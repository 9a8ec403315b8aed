//! The virtual clock and its event queue.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

/// A queue of scheduled items, and the virtual time, which moves to the time of each item that is taken out.
///
/// Items come out in the order of their times; items of the same time in the order in which they were scheduled.
#[derive(Debug)]
pub struct Clock<T> {
    now: Instant,
    scheduled_count: u64,
    heap: BinaryHeap<Reverse<Entry<T>>>,
}

#[derive(Debug)]
struct Entry<T> {
    at: Instant,
    sequence: u64,
    item: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<T> Clock<T> {
    /// Creates a clock with an empty queue whose current time is `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            now,
            scheduled_count: 0,
            heap: BinaryHeap::new(),
        }
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Schedules an item; a time in the past counts as the current time.
    pub fn schedule(&mut self, at: Instant, item: T) {
        self.scheduled_count += 1;
        let sequence = self.scheduled_count;
        let at = at.max(self.now);
        self.heap.push(Reverse(Entry { at, sequence, item }));
    }

    /// Takes out the earliest item and moves the clock to its time. Returns `None` if the queue is empty or the
    /// item is scheduled after `end`.
    pub fn next(&mut self, end: Instant) -> Option<T> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.item)
    }
}
