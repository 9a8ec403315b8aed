//! The virtual clock.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Instant;

/// Things that will happen, earliest first; those of one instant happen in the order of their planning.
#[derive(Debug)]
pub struct Clock<T> {
    now: Instant,
    planned: u64,
    heap: BinaryHeap<Reverse<Entry<T>>>,
}

#[derive(Debug)]
struct Entry<T> {
    at: Instant,
    number: u64,
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<T> Clock<T> {
    /// Creates a clock that shows `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            now,
            planned: 0,
            heap: BinaryHeap::new(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Plans an item; one in the past happens next.
    pub fn plan(&mut self, at: Instant, item: T) {
        self.planned += 1;
        let number = self.planned;
        let at = at.max(self.now);
        self.heap.push(Reverse(Entry { at, number, item }));
    }

    /// Moves to the next item and returns it, unless it lies past `end`.
    pub fn next(&mut self, end: Instant) -> Option<T> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.item)
    }
}
