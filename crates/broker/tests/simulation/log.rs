//! The log of a member.

use fulmarlift_core::floor;
use fulmarlift_core::id;

/// A log: for each term with entries, the position of its last entry. Positions count on over all terms.
#[derive(Clone, Debug, Default)]
pub struct Log {
    runs: Vec<(id::Term, id::Position)>,
}

impl Log {
    /// Returns the point of the last entry.
    pub fn end(&self) -> floor::Point {
        let (term, position) = self.runs.last().copied().unwrap_or_default();
        floor::Point::new(term, position)
    }

    /// Appends entries of a term and returns the point of the last one.
    pub fn append(&mut self, term: id::Term, entries: u64) -> floor::Point {
        let position = self.end().position + entries;
        match self.runs.last_mut() {
            Some((last, end)) if *last == term => *end = position,
            _ => self.runs.push((term, position)),
        }
        self.end()
    }

    /// Returns whether the log contains the entry at a point.
    pub fn contains(&self, point: floor::Point) -> bool {
        let mut begin = 0;
        for (term, end) in &self.runs {
            if *term == point.term {
                return begin < point.position && point.position <= *end;
            }
            begin = *end;
        }
        false
    }
}
