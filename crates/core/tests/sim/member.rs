//! A fake of a database member, as docs/PROTOCOLS.md describes it.

use std::time::Duration;

use fulmarlift_core::{event, floor, id};

/// An entry of a log. The first entry of a term has no key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    pub term: id::Term,
    pub key: Option<u64>,
    /// When the primary appended the entry, since the start of the run.
    pub at: Duration,
}

/// A status request that the member answers once its log has reached a position.
#[derive(Clone, Copy, Debug)]
pub struct HeldStatusRequest {
    pub proxy: usize,
    pub control_request: id::ControlRequestId,
    pub min_position: id::Position,
}

/// The state of a member.
#[derive(Clone, Debug, Default)]
pub struct Member {
    pub term: id::Term,
    pub claimant: Option<id::ProxyId>,
    pub primary: bool,
    /// Term whose entries the member has written as primary; 0 once it replicates from another primary.
    pub history_term: id::Term,
    pub log: Vec<Entry>,
    pub held: Vec<HeldStatusRequest>,
    /// Extra delay of replication to this member.
    pub lag: Duration,
    /// Time since the member last received anything from a primary of its term.
    pub upstream_silence: Duration,
}

impl Member {
    /// Returns the status that the member reports.
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

    /// Returns the point of the last entry.
    pub fn last(&self) -> floor::Point {
        let term = self.log.last().map_or(0, |entry| entry.term);
        floor::Point::new(term, self.log.len() as u64)
    }

    /// Fences the member at a term; returns whether this claimant has the member's grant for it.
    pub fn fence(&mut self, term: id::Term, claimant: id::ProxyId) -> bool {
        if term > self.term {
            self.term = term;
            self.claimant = Some(claimant);
            self.primary = false;
            self.upstream_silence = Duration::ZERO;
        }
        self.term == term && self.claimant == Some(claimant)
    }

    /// Promotes the member to primary of a term that it was fenced at; returns whether it is primary now.
    pub fn promote(&mut self, term: id::Term, claimant: id::ProxyId, at: Duration) -> bool {
        if self.term != term || self.claimant != Some(claimant) {
            return false;
        }
        if !self.primary {
            self.primary = true;
            self.history_term = term;
            let key = None;
            self.log.push(Entry { term, key, at });
        }
        true
    }

    /// Commits a write and returns its point; `None` if the member is not primary.
    pub fn write(&mut self, key: u64, at: Duration) -> Option<floor::Point> {
        if !self.primary {
            return None;
        }
        let (term, key) = (self.term, Some(key));
        self.log.push(Entry { term, key, at });
        Some(self.last())
    }

    /// Updates the upstream silence after a time step in which the member could reach `source` or no member.
    pub fn record_upstream(&mut self, source: Option<&Self>, step: Duration) {
        let reached_by_primary = source
            .is_some_and(|source| source.history_term > 0 && source.history_term >= self.term);
        self.upstream_silence = match self.primary || reached_by_primary {
            true => Duration::ZERO,
            false => self.upstream_silence + step,
        };
    }

    /// Replicates the entries that the primary `source` has appended up to `until`, and drops others.
    pub fn replicate_from(&mut self, source: &Self, until: Duration) {
        if source.history_term == 0
            || source.history_term < self.term
            || self.primary && source.history_term == self.term
        {
            return;
        }
        if source.history_term > self.term {
            self.term = source.history_term;
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
        self.history_term = 0;
        self.log.truncate(common);
        self.log.extend_from_slice(&source.log[common..arrived]);
    }

    /// Removes and returns the held status requests whose position the log has reached.
    pub fn take_answerable(&mut self) -> Vec<HeldStatusRequest> {
        let position = self.log.len() as u64;
        let due = |held: &HeldStatusRequest| held.min_position <= position;
        let taken = self.held.iter().copied().filter(due).collect();
        self.held.retain(|held| !due(held));
        taken
    }

    /// Returns the keys in the log, in order.
    pub fn keys(&self) -> Vec<u64> {
        self.log.iter().filter_map(|entry| entry.key).collect()
    }
}
