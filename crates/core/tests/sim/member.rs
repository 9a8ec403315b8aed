//! The fake of a database member, after docs/PROTOCOLS.md.

use std::time::Duration;

use fulmarlift_core::{event, floor, id};

/// An entry of a log; the one that starts a term has no key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    pub term: id::Term,
    pub key: Option<u64>,
    /// When it was appended at the primary, since the start of the run.
    pub at: Duration,
}

/// A held status question.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    pub proxy: usize,
    pub control_request: id::ControlRequestId,
    pub min_position: id::Position,
}

/// A member.
#[derive(Clone, Debug, Default)]
pub struct Member {
    pub term: id::Term,
    pub claimant: Option<id::ProxyId>,
    pub primary: bool,
    /// Term whose history it wrote as primary, while it follows no other.
    pub leads: id::Term,
    pub log: Vec<Entry>,
    pub held: Vec<Held>,
    /// Extra delay of replication to this member.
    pub lag: Duration,
    /// Time since a primary of its term last reached it.
    pub upstream_silence: Duration,
}

impl Member {
    /// Returns the status row.
    pub fn status(&self) -> event::Status {
        let start = self.log.iter().position(|entry| entry.term == self.term);
        event::Status {
            term: self.term,
            primary: self.primary,
            last: self.last(),
            term_start: match (self.primary, start) {
                (true, Some(index)) => index as u64 + 1,
                _ => 0,
            },
            connections_used: 0,
            upstream_silence: self.upstream_silence,
        }
    }

    /// Returns the last entry's point.
    pub fn last(&self) -> floor::Point {
        let term = self.log.last().map_or(0, |entry| entry.term);
        floor::Point::new(term, self.log.len() as u64)
    }

    /// Attempts a fence.
    pub fn fence(&mut self, term: id::Term, claimant: id::ProxyId) -> bool {
        if term > self.term {
            self.term = term;
            self.claimant = Some(claimant);
            self.primary = false;
            self.upstream_silence = Duration::ZERO;
        }
        self.term == term && self.claimant == Some(claimant)
    }

    /// Attempts a promotion.
    pub fn promote(&mut self, term: id::Term, claimant: id::ProxyId, at: Duration) -> bool {
        if self.term != term || self.claimant != Some(claimant) {
            return false;
        }
        if !self.primary {
            self.primary = true;
            self.leads = term;
            let key = None;
            self.log.push(Entry { term, key, at });
        }
        true
    }

    /// Commits a write, unless the member is no primary.
    pub fn write(&mut self, key: u64, at: Duration) -> Option<floor::Point> {
        if !self.primary {
            return None;
        }
        let (term, key) = (self.term, Some(key));
        self.log.push(Entry { term, key, at });
        Some(self.last())
    }

    /// Notes whether a primary of its term reached it in a step of time.
    pub fn hear(&mut self, source: Option<&Self>, step: Duration) {
        let heard = source.is_some_and(|source| source.leads > 0 && source.leads >= self.term);
        self.upstream_silence = match self.primary || heard {
            true => Duration::ZERO,
            false => self.upstream_silence + step,
        };
    }

    /// Follows a primary's history as far as it was written before `until`.
    pub fn follow(&mut self, source: &Self, until: Duration) {
        if source.leads == 0
            || source.leads < self.term
            || self.primary && source.leads == self.term
        {
            return;
        }
        if source.leads > self.term {
            self.term = source.leads;
            self.claimant = None;
            self.primary = false;
        }
        let pairs = self.log.iter().zip(&source.log);
        let common = pairs.take_while(|(own, other)| own == other).count();
        let arrived = source
            .log
            .iter()
            .take_while(|entry| entry.at <= until)
            .count();
        if common >= arrived {
            return;
        }
        self.leads = 0;
        self.log.truncate(common);
        self.log.extend_from_slice(&source.log[common..arrived]);
    }

    /// Removes and returns held questions that may be answered.
    pub fn take_due(&mut self) -> Vec<Held> {
        let position = self.log.len() as u64;
        let due = |held: &Held| held.min_position <= position;
        let taken = self.held.iter().copied().filter(due).collect();
        self.held.retain(|held| !due(held));
        taken
    }

    /// Returns the keys in the log, in order.
    pub fn keys(&self) -> Vec<u64> {
        self.log.iter().filter_map(|entry| entry.key).collect()
    }
}
