//! A member of a database group as docs/PROTOCOLS.md has it, without anything that can be left out.

use std::time::Duration;

use fulmarlift_core::{event, floor};

/// Members of the group.
pub const MEMBERS: usize = 3;

/// Entries that a log has room for.
const LOG_MAX: usize = 8;

/// An entry of a log; write 0 is the entry that starts a term.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Entry {
    pub term: u8,
    pub write: u8,
}

/// A log; the entry at index 0 has position 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Log {
    len: u8,
    entries: [Entry; LOG_MAX],
}

impl Log {
    /// Returns the entries.
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

/// A member.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Member {
    /// Highest term that it was fenced at or follows.
    pub term: u8,
    /// Claimant to which it granted the term; 0 for none.
    pub claimant: u8,
    /// Whether it is the primary of its term.
    pub primary: bool,
    /// Term whose primary it is or was while its log has not changed since; 0 for none.
    pub leads: u8,
    /// Its log.
    pub log: Log,
}

/// Rules of members that a mutation may break.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Broken {
    /// A term is granted to every claimant.
    pub shared_grants: bool,
    /// Entries of primaries of older terms are applied.
    pub follows_older: bool,
}

impl Member {
    /// Returns the status row.
    pub fn status(&self) -> event::Status {
        let last = self.log.entries().last();
        let start = self
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
            term_start: match (self.primary, start) {
                (true, Some(index)) => index as u64 + 1,
                _ => 0,
            },
            connections_used: 0,
            upstream_silence: Duration::ZERO,
        }
    }

    /// Attempts a fence; returns whether it was granted.
    pub fn fence(&mut self, term: u8, claimant: u8, broken: Broken) -> bool {
        let again = self.term == term && (self.claimant == claimant || broken.shared_grants);
        if term > self.term {
            self.term = term;
            self.claimant = claimant;
            self.primary = false;
            return true;
        }
        again
    }

    /// Attempts a promotion; returns whether it was granted.
    pub fn promote(&mut self, term: u8, claimant: u8, broken: Broken) -> bool {
        if self.term != term || (self.claimant != claimant && !broken.shared_grants) {
            return false;
        }
        if !self.primary {
            self.primary = true;
            self.leads = term;
            self.log.push(Entry { term, write: 0 });
        }
        true
    }

    /// Commits a write.
    pub fn write(&mut self, write: u8) -> floor::Point {
        let term = self.term;
        self.log.push(Entry { term, write });
        floor::Point::new(u64::from(term), self.log.entries().len() as u64)
    }

    /// Takes one step in following the history of a primary, fenced meanwhile or not: drops what is in
    /// conflict or applies one entry. Returns whether anything changed.
    pub fn follow(&mut self, source: &Self, broken: Broken) -> bool {
        let older = source.leads < self.term && !broken.follows_older;
        if source.leads == 0 || older || (self.primary && source.leads == self.term) {
            return false;
        }
        if source.leads > self.term {
            self.term = source.leads;
            self.claimant = 0;
            self.primary = false;
        }
        let (own, other) = (self.log.entries(), source.log.entries());
        let pairs = own.iter().zip(other);
        let common = pairs.take_while(|(own, other)| own == other).count();
        if common < own.len() && common < other.len() {
            self.log.truncate(common);
            self.leads = 0;
            return true;
        }
        let Some(entry) = other.get(own.len()) else {
            return false;
        };
        self.log.push(*entry);
        self.leads = 0;
        true
    }

    /// Returns whether the log holds the write.
    pub fn holds(&self, write: u8) -> bool {
        self.log.entries().iter().any(|entry| entry.write == write)
    }
}
