//! A member of a database group as docs/PROTOCOLS.md describes it, reduced to what the search needs.

use std::time::Duration;

use fulmarlift_core::{event, floor};

/// Number of members of the group.
pub const MEMBERS: usize = 3;

/// Maximum number of entries in a log.
const LOG_MAX: usize = 8;

/// An entry of a log. Write 0 is the entry that starts a term.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Entry {
    pub term: u8,
    pub write: u8,
}

/// A log. The entry at index 0 has position 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Log {
    len: u8,
    entries: [Entry; LOG_MAX],
}

impl Log {
    /// Returns the entries in order of position.
    pub fn entries(&self) -> &[Entry] {
        &self.entries[..usize::from(self.len)]
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry) {
        self.entries[usize::from(self.len)] = entry;
        self.len += 1;
    }

    fn truncate(&mut self, len: usize) {
        self.entries[len..].fill(Entry::default());
        self.len = len as u8;
    }
}

/// State of a member.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Member {
    /// Highest term that the member was fenced at or follows.
    pub term: u8,
    /// Claimant to which the member granted the term; 0 for none.
    pub claimant: u8,
    /// Whether the member is the primary of its term.
    pub primary: bool,
    /// Term whose primary the member is or was, if its log has not changed since; 0 for none.
    pub primary_of_term: u8,
    /// Log of the member.
    pub log: Log,
}

/// Rules of members that a mutation breaks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrokenRules {
    /// A member grants a term to every claimant.
    pub shared_grants: bool,
    /// A member applies entries of primaries of older terms.
    pub follows_older: bool,
}

impl Member {
    /// Returns the member's report.
    pub fn status(&self) -> event::Status {
        let last = self.log.entries().last();
        let term_start_index = self
            .log
            .entries()
            .iter()
            .position(|entry| entry.term == self.term);
        event::Status {
            term: u64::from(self.term),
            primary: self.primary,
            last: floor::Point::new(
                last.map_or(0, |entry| u64::from(entry.term)),
                self.log.entries().len() as u64,
            ),
            term_start: match (self.primary, term_start_index) {
                (true, Some(index)) => index as u64 + 1,
                _ => 0,
            },
            connections_used: 0,
            upstream_silence: Duration::ZERO,
        }
    }

    /// Fences the member; returns whether it grants the term.
    pub fn fence(&mut self, term: u8, claimant: u8, broken: BrokenRules) -> bool {
        let is_repeated = self.term == term && (self.claimant == claimant || broken.shared_grants);
        if term > self.term {
            self.term = term;
            self.claimant = claimant;
            self.primary = false;
            return true;
        }
        is_repeated
    }

    /// Promotes the member; returns whether it becomes or is the primary of the term.
    pub fn promote(&mut self, term: u8, claimant: u8, broken: BrokenRules) -> bool {
        if self.term != term || (self.claimant != claimant && !broken.shared_grants) {
            return false;
        }
        if !self.primary {
            self.primary = true;
            self.primary_of_term = term;
            self.log.push(Entry { term, write: 0 });
        }
        true
    }

    /// Commits a write as the primary; returns its point.
    pub fn write(&mut self, write: u8) -> floor::Point {
        let term = self.term;
        self.log.push(Entry { term, write });
        floor::Point::new(u64::from(term), self.log.entries().len() as u64)
    }

    /// Takes one step in replicating the log of a primary, which may have been fenced since: drops conflicting entries
    /// or applies one entry. Returns whether anything changed.
    pub fn follow(&mut self, source: &Self, broken: BrokenRules) -> bool {
        let is_older = source.primary_of_term < self.term && !broken.follows_older;
        if source.primary_of_term == 0
            || is_older
            || (self.primary && source.primary_of_term == self.term)
        {
            return false;
        }
        if source.primary_of_term > self.term {
            self.term = source.primary_of_term;
            self.claimant = 0;
            self.primary = false;
        }
        let (own, other) = (self.log.entries(), source.log.entries());
        let pairs = own.iter().zip(other);
        let common = pairs.take_while(|(own, other)| own == other).count();
        if common < own.len() && common < other.len() {
            self.log.truncate(common);
            self.primary_of_term = 0;
            return true;
        }
        let Some(entry) = other.get(own.len()) else {
            return false;
        };
        self.log.push(*entry);
        self.primary_of_term = 0;
        true
    }

    /// Returns whether the log contains the write.
    pub fn has_write(&self, write: u8) -> bool {
        self.log.entries().iter().any(|entry| entry.write == write)
    }
}
