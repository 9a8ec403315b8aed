//! Eras of the store: what may be lost when the store comes back older than it was.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::claim;
use crate::effect;
use crate::failover;
use crate::revision;
use crate::state;

/// The newest known era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreEra {
    era: revision::Era,
    /// Instant since which the store has been in this era at least; `None` if it does not tell its era.
    since: Option<Instant>,
}

impl state::Broker {
    /// Records the era of the store. In a newer one, claims and entries may be missing that were written in an older one.
    pub(super) fn record_store_era(
        &mut self,
        now: Instant,
        era: revision::Era,
        known_for: Duration,
        effects: &mut Vec<effect::Effect>,
    ) {
        if era < self.eras.era {
            return;
        }
        let since = now.checked_sub(known_for).unwrap_or(now);
        let is_newer = era > self.eras.era;
        let earlier = self.eras.since.filter(|_| !is_newer);
        self.eras = StoreEra {
            era,
            since: Some(earlier.map_or(since, |earlier| earlier.min(since))),
        };
        if is_newer {
            // The members write their entries again, as after an outage of the directory.
            self.record_directory_lost(now);
            let groups: Vec<id::GroupId> = self.groups.keys().collect();
            for group_id in groups {
                self.advance_failover(now, group_id, effects, |attempt, _, out| {
                    attempt.end_era(now, out)
                });
            }
        }
    }

    /// Extends the claim of a row that may lack the newest claim, until that claim and its orders have ended: its holder, or an
    /// order without an answer, may still act.
    pub(super) fn protect_lost_claim(
        &self,
        now: Instant,
        mut row: claim::ClaimRow,
    ) -> claim::ClaimRow {
        if row.may_lack_newest_claim() {
            // An era that this proxy has not been told yet has begun just now.
            let known = self
                .eras
                .since
                .filter(|_| self.eras.era == row.revision.era);
            let age = known.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
            row.extend_claim(failover::LOST_CLAIM_TIMEOUT.saturating_sub(age));
        }
        row
    }
}
