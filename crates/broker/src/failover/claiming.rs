//! The claim row: its read, the conditional writes, and what follows from them.

use std::time::{Duration, Instant};

use crate::claim;
use crate::effect;
use crate::event;
use crate::failover;

impl failover::Attempt {
    /// Continues after a read of the claim row that was sent at `asked_at`.
    pub fn apply_claim(
        &mut self,
        now: Instant,
        asked_at: Instant,
        stored: Option<claim::ClaimRow>,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        match self.step {
            failover::Step::Loading => {}
            failover::Step::Verifying(verification) => {
                return self.apply_verification(now, asked_at, verification, stored, out);
            }
            _ => return failover::Progress::Ongoing,
        }
        let Some(stored) = stored else {
            self.wait_until(now + failover::STORE_RETRY_DELAY);
            return failover::Progress::Ongoing;
        };
        self.read_sent_at = asked_at;
        // The attempt also waits for an earlier claim of this proxy to expire: release commands of that claim may still be
        // under way to members that this attempt would hold.
        let claimed = stored.now_ms < stored.claim.until_ms;
        if claimed {
            let remaining_ms = stored.claim.until_ms - stored.now_ms;
            let remaining =
                Duration::from_millis(remaining_ms).min(failover::STORE_RETRY_DELAY * 2);
            return failover::Progress::GivenUp {
                retry_at: now + remaining,
            };
        }
        // Where a higher token does not end an order, only its age does.
        let ended_by_age = !self.fenced && stored.now_ms >= stored.claim.order_ends_ms;
        let pending = stored.claim.pending_target();
        // An order that has ended by its age may have been executed before.
        let last_ordered = match pending.is_some() && ended_by_age || stored.may_lack_newest_claim()
        {
            true => claim::LastOrdered::Unknown,
            false => stored.claim.last_ordered.clone(),
        };
        self.replaced_term = stored.claim.last_ordered.replaced_term();
        self.newest_term = self.newest_term.max(stored.promoted_term().unwrap_or(0));
        let pending: Option<Box<str>> = pending.filter(|_| !ended_by_age).map(Box::from);
        self.pending_before = pending.clone();
        self.hold_term = self.hold_term.max(self.hold_term_after(self.newest_term));
        self.unanswered_order = !self.fenced && pending.is_some();
        self.order_taken = self.unanswered_order;
        // The store read its clock after the read of the claim row was sent, so the estimate of its clock that starts at the
        // sending is never behind. This proxy ends its claim no later than the store does, and writes expiry times that are
        // no earlier than intended.
        self.claim_expires_at = self.read_sent_at + Duration::from_millis(self.claim_lease_ms());
        self.store_clock = (self.read_sent_at, stored.now_ms);
        self.revision = stored.revision;
        self.claim = claim::Claim {
            holder: self.proxy.clone(),
            token: stored.claim.next_token(stored.revision.era),
            settled: pending.is_none(),
            target: pending,
            until_ms: stored.now_ms.saturating_add(self.claim_lease_ms()),
            order_ends_ms: stored.claim.order_ends_ms,
            era: stored.revision.era,
            led_term: match last_ordered {
                claim::LastOrdered::Unknown => 0,
                _ => stored.claim.led_term,
            },
            last_ordered,
            choice: None,
        };
        self.ordered_before = self.claim.last_ordered.clone();
        self.led_before = self.claim.led_term;
        // With the term, the row would tell that its pending target leads undisputed.
        if self.fenced && self.pending_before.is_some() {
            self.claim.led_term = 0;
        }
        self.step = failover::Step::Claiming;
        self.store_claim(out);
        failover::Progress::Ongoing
    }

    /// Continues after a conditional write of the claim row.
    pub fn apply_store_outcome(
        &mut self,
        now: Instant,
        outcome: event::StoreOutcome,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        // An outcome of a write before the last one, by an earlier attempt.
        if matches!(outcome, event::StoreOutcome::Written(revision) if revision <= self.revision) {
            return failover::Progress::Ongoing;
        }
        // What was written in another era than the claim was read in may have replaced a row that this proxy has not read.
        let outcome = match outcome {
            event::StoreOutcome::Written(revision) if revision.era != self.revision.era => {
                event::StoreOutcome::Unknown
            }
            outcome => outcome,
        };
        let may_be_written = outcome == event::StoreOutcome::Unknown
            || outcome == event::StoreOutcome::Conflict && self.repeats_write;
        match (self.step, outcome) {
            (failover::Step::Claiming, event::StoreOutcome::Written(revision)) => {
                self.revision = revision;
                self.repeats_write = false;
                self.start_replacement(now, roster, out)
            }
            (failover::Step::Recording, event::StoreOutcome::Written(revision)) => {
                self.revision = revision;
                // The logs may have been read before the members were released, or before others joined.
                let is_outdated = !self.hands_over
                    && !self.holds_again
                    && now > self.chosen_at + failover::HOLD_AGE_MAX;
                self.holds_again |= is_outdated;
                let is_late = std::mem::take(&mut self.repeats_write)
                    || is_outdated
                    || now >= self.claim_expires_at;
                match is_late {
                    true => {
                        let write = failover::verification::Write::Choice;
                        self.continue_after_write(now, write, roster, out)
                    }
                    false => self.continue_with_choice(now, roster, out),
                }
            }
            (failover::Step::Claiming, _) if may_be_written => {
                self.start_verification(now, failover::verification::Write::Claim, out)
            }
            (failover::Step::Recording, _) if may_be_written => {
                self.start_verification(now, failover::verification::Write::Choice, out)
            }
            (failover::Step::Claiming, _) => failover::Progress::GivenUp {
                retry_at: now + failover::STORE_RETRY_DELAY,
            },
            // Another proxy has claimed and holds the members itself, so this attempt does not release them.
            (failover::Step::Recording, event::StoreOutcome::Conflict) => {
                failover::Progress::GivenUp {
                    retry_at: now + failover::STORE_RETRY_DELAY,
                }
            }
            // The choice is not recorded, so no order is given.
            (failover::Step::Recording, event::StoreOutcome::Refused) => self.give_up(now, out),
            _ => failover::Progress::Ongoing,
        }
    }

    /// Begins to replace the leader under the claim.
    pub(super) fn start_replacement(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        match self.may_hand_over(roster) {
            true => self.start_survey(now, roster, out),
            false => self.take_over(now, roster, out),
        }
    }

    /// Stops a leader that hands over, or gives the order for the recorded target.
    pub(super) fn continue_with_choice(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if self.hands_over && self.log_end.is_none() {
            return self.start_stop(now, roster, out);
        }
        if self.handover_held_at.is_some() && self.target != self.old_leader {
            // Members may have answered their hold commands meanwhile.
            let until = now + failover::STOP_TIMEOUT;
            self.step = failover::Step::Stopping { until };
            return self.stop_leader(now, roster, out);
        }
        let is_fit =
            self.hands_over || self.are_all_held(roster) && self.find_furthest(roster).is_ok();
        if !is_fit {
            // A member has joined meanwhile, or a proxy has told of commits that all of them lack.
            return self.start_second_round(now, roster, out);
        }
        self.give_order(out);
        failover::Progress::Ongoing
    }

    pub(super) fn wait_until(&mut self, until: Instant) {
        self.step = failover::Step::Waiting { until };
    }

    /// Returns for how many milliseconds a claim excludes other proxies.
    pub(super) fn claim_lease_ms(&self) -> u64 {
        match self.fenced {
            true => failover::FENCED_CLAIM_LEASE_MS,
            false => failover::UNFENCED_CLAIM_LEASE_MS,
        }
    }

    pub(super) fn store_claim(&self, out: &mut Vec<effect::Effect>) {
        out.push(effect::Effect::StoreClaim {
            group: self.group,
            claim: self.claim.clone(),
            revision: self.revision,
        });
    }

    /// Returns the time on the store's clock, in milliseconds, estimated from its answer when the claim row was read.
    pub(super) fn store_now_ms(&self, now: Instant) -> u64 {
        let (read_at, read_ms) = self.store_clock;
        let elapsed = now.saturating_duration_since(read_at).as_millis();
        read_ms.saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}
