//! The store: the claim row, the members' entries, and who is refused.

use std::collections::BTreeMap;

use fulmarlift_broker::claim;
use fulmarlift_broker::event;
use fulmarlift_broker::revision;
use fulmarlift_broker::topology;

use crate::simulation::clock::{MS, Micros};

/// The store.
#[derive(Default)]
pub struct Store {
    version: u64,
    row: claim::ClaimRow,
    /// The members' entries.
    pub entries: BTreeMap<Box<str>, topology::Member>,
    /// For each proxy that is refused, until when.
    pub refused_until: BTreeMap<usize, Micros>,
    /// For each proxy, until when the store is away.
    pub away_until: BTreeMap<usize, Micros>,
    /// Time until which answers are lost, and writes done late.
    pub lossy_until: Micros,
    /// Time until which calls are slow.
    pub slow_until: Micros,
}

impl Store {
    /// Returns whether a proxy is refused.
    pub fn refuses(&self, proxy: usize, now: Micros) -> bool {
        self.serves_from(proxy).is_some_and(|from| now < from)
    }

    /// Returns the time from which a proxy is served; `None` if it always was.
    pub fn serves_from(&self, proxy: usize) -> Option<Micros> {
        let refused_until = self.refused_until.get(&proxy).copied();
        refused_until.max(self.away_until.get(&proxy).copied())
    }

    /// Returns the current revision.
    pub fn revision(&self) -> revision::Revision {
        revision::Revision {
            era: 0,
            version: self.version,
        }
    }

    fn next_revision(&mut self) -> revision::Revision {
        self.version += 1;
        self.revision()
    }

    /// Reads the claim row.
    pub fn load(&self, now: Micros) -> claim::ClaimRow {
        claim::ClaimRow {
            now_ms: now / MS,
            ..self.row.clone()
        }
    }

    /// Writes the claim row if it has the expected revision.
    pub fn store(
        &mut self,
        claim: &claim::Claim,
        expected: revision::Revision,
    ) -> event::StoreOutcome {
        if self.row.revision != expected {
            return event::StoreOutcome::Conflict;
        }
        let revision = self.next_revision();
        self.row.claim = claim.clone();
        self.row.revision = revision;
        event::StoreOutcome::Written(revision)
    }

    /// Writes an entry of a member and returns it with its revision.
    pub fn list(&mut self, mut entry: topology::Member) -> topology::Member {
        entry.revision = self.next_revision();
        self.entries.insert(entry.name.clone(), entry.clone());
        entry
    }

    /// Removes the entry of a member. Returns the revision at which it is missing.
    pub fn unlist(&mut self, member: &str) -> Option<revision::Revision> {
        self.entries.remove(member)?;
        Some(self.next_revision())
    }
}
