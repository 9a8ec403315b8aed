//! The end of an attempt that has not replaced the leader, and the release of the members that it held.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::failover;

impl failover::Attempt {
    /// Returns the instant at which the attempt is given up if it still holds members.
    pub(super) fn gives_up_at(&self) -> Instant {
        self.claim_expires_at - failover::RELEASE_TIMEOUT
    }

    pub(super) fn give_up(
        &mut self,
        now: Instant,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if !self.order_taken {
            self.restore_pending();
        }
        self.give_up_with_lease(now, Duration::ZERO, out)
    }

    /// Gives up the attempt. The claim lasts for at least `lease` from now on.
    pub(super) fn give_up_with_lease(
        &mut self,
        now: Instant,
        lease: Duration,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        // Members stay held while an older order may still be executed. Otherwise entries could be acknowledged that the
        // target of that order lacks.
        if self.claim.pending_target().is_none() {
            self.release(now, lease, out);
        } else if self.fenced && !self.order_taken && self.led_before > 0 {
            // The pending target leads undisputed again, also under another name.
            self.store_claim(out);
        }
        failover::Progress::GivenUp {
            retry_at: now + failover::STORE_RETRY_DELAY * 2,
        }
    }

    /// Ends the attempt because the store may have lost the claim. Until [`LOST_CLAIM_TIMEOUT`] has passed, no other proxy
    /// claims, so members can still be released, and an order that was given can still be confirmed.
    pub fn end_era(&mut self, now: Instant, out: &mut Vec<effect::Effect>) -> failover::Progress {
        match self.step {
            failover::Step::Waiting { .. } | failover::Step::Loading | failover::Step::Claiming => {
                failover::Progress::GivenUp {
                    retry_at: now + failover::STORE_RETRY_DELAY,
                }
            }
            failover::Step::Verifying(verification) => {
                self.give_up_write(now, verification.write, out)
            }
            failover::Step::Written(write) => self.give_up_write(now, write, out),
            failover::Step::Surveying { .. }
            | failover::Step::Stopping { .. }
            | failover::Step::Holding
            | failover::Step::ReadingDirectory { .. }
            | failover::Step::EndingOlderOrder { .. }
            | failover::Step::Recording => self.give_up(now, out),
            failover::Step::Ordering { .. } | failover::Step::Confirming { .. } => {
                self.orders_end_at = Some(now);
                failover::Progress::Ongoing
            }
        }
    }

    /// Releases the members that another claimant has held at a term above that of the new leader: the promotion did not.
    pub(super) fn release_held_above(
        &self,
        now: Instant,
        leader: id::MemberId,
        term: id::Term,
        out: &mut Vec<effect::Effect>,
    ) {
        let claim_left_ms = self.claim.until_ms.saturating_sub(self.store_now_ms(now));
        let claim_left = Duration::from_millis(claim_left_ms);
        let send_timeout = claim_left.saturating_sub(failover::RELEASE_ARRIVAL_TIMEOUT);
        let until = now + failover::RELEASE_SEND_TIMEOUT.min(send_timeout);
        for (member, hold) in self.holds.iter() {
            let is_held_above = hold.status.is_some_and(|status| status.held_term > term);
            if is_held_above && member != leader {
                self.send_command(Some(member), effect::MemberCommand::Release { until }, out);
            }
        }
    }

    /// Releases the members that got a hold command, and sets the claim to expire when the release commands can no longer
    /// arrive, but not before `lease` has passed.
    pub(super) fn release(&mut self, now: Instant, lease: Duration, out: &mut Vec<effect::Effect>) {
        let until = (now + failover::RELEASE_SEND_TIMEOUT)
            .min(self.claim_expires_at - failover::RELEASE_ARRIVAL_TIMEOUT);
        let held = self
            .holds
            .keys()
            .filter(|member| Some(*member) != self.old_leader);
        for member in held {
            self.send_command(Some(member), effect::MemberCommand::Release { until }, out);
        }
        let remaining = failover::RELEASE_TIMEOUT.max(lease);
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        self.claim.until_ms = self.store_now_ms(now).saturating_add(remaining_ms);
        self.store_claim(out);
    }
}
