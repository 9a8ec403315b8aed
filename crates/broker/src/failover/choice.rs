//! Hold commands to the members, and the choice of the next leader among the held members.

use std::time::Instant;

use fulmarlift_core::floor;

use crate::claim;
use crate::effect;
use crate::failover;
use crate::leader;

impl failover::Attempt {
    /// Discards the status of members that are not held, or are held below the current hold term, so that
    /// [`Self::hold_members`] sends them a hold command again. A promotion in the meantime may have released them.
    pub(super) fn discard_outdated_holds(&mut self, now: Instant) {
        let (old_leader, hold_term) = (self.old_leader, self.hold_term);
        for (member, hold) in self.holds.iter_mut() {
            let released = hold
                .status
                .is_some_and(|status| status.held_term < hold_term);
            if Some(member) != old_leader && released {
                hold.status = None;
                hold.retry_at = Some(now);
            }
        }
    }

    /// Sends the hold commands that are due. Once all members but the old leader have answered, chooses the target.
    pub(super) fn hold_members(
        &mut self,
        now: Instant,
        participants: &[failover::Participant],
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let hold_term = self.hold_term;
        let mut unanswered = false;
        for participant in participants {
            if Some(participant.member) == self.old_leader {
                continue;
            }
            let hold = self.holds.entry(participant.member);
            if hold.status.is_some() {
                continue;
            }
            unanswered = true;
            let lost = hold.sent_at.is_some_and(|sent_at| {
                now.saturating_duration_since(sent_at) > failover::COMMAND_TIMEOUT
            });
            let due = hold.retry_at.is_none_or(|retry_at| now >= retry_at);
            if lost || (hold.sent_at.is_none() && due) {
                hold.sent_at = Some(now);
                out.push(effect::Effect::SendCommand {
                    group: self.group,
                    member: participant.member,
                    command: effect::MemberCommand::Hold(hold_term),
                    conn: None,
                });
            }
        }
        if unanswered || now < self.leases_end_at {
            return failover::Progress::Ongoing;
        }
        self.choose_target(now, participants, out)
    }

    /// Chooses an eligible member that has received most, and writes it to the claim row as the target. While an older order
    /// may still be executed, only the target of that order may be chosen.
    fn choose_target(
        &mut self,
        now: Instant,
        participants: &[failover::Participant],
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        // This proxy may have been suspended until its claim ended.
        if now >= self.claim_expires_at {
            return self.give_up(now, out);
        }
        let received = |participant: &failover::Participant| {
            let hold = self.holds.get(participant.member)?;
            hold.status.map(|status| status.received)
        };
        let held = participants
            .iter()
            .filter(|participant| Some(participant.member) != self.old_leader);
        // A member that has been dropped since its hold may have confirmed entries that the others lack.
        let furthest = self
            .holds
            .iter()
            .filter(|(member, _)| Some(*member) != self.old_leader)
            .filter_map(|(_, hold)| hold.status.map(|status| status.received))
            .max();
        if !furthest.is_some_and(|furthest| self.has_all_acknowledged(furthest)) {
            self.give_up(now, out);
            return failover::Progress::GivenUp {
                retry_at: now + failover::CATCH_UP_DELAY,
            };
        }
        let best = held
            .filter(|participant| participant.eligible && received(participant) == furthest)
            .find(|participant| {
                let pending = self.claim.pending_target();
                pending.is_none_or(|name| name == participant.name.as_ref())
            });
        let (Some(best), Some(_)) = (best, furthest) else {
            return self.end_older_order_or_give_up(now, participants, out);
        };
        self.target = Some(best.member);
        self.claim.target = Some(best.name.clone());
        self.claim.last_ordered = claim::LastOrdered::Member {
            name: best.name.clone(),
            replaced_term: self.newest_term,
        };
        self.claim.settled = false;
        self.claim.until_ms = self.store_now_ms(now) + failover::CLAIM_LEASE_MS;
        let order_timeout = match self.fenced {
            true => failover::FENCED_ORDER_TIMEOUT,
            false => failover::UNFENCED_ORDER_TIMEOUT,
        };
        self.orders_end_at = Some(now + order_timeout);
        if !self.fenced {
            let order_ends_in_ms =
                u64::try_from(failover::ORDER_AGE_MAX.as_millis()).unwrap_or(u64::MAX / 2);
            self.claim.order_ends_ms = self.store_now_ms(now) + order_ends_in_ms;
        }
        self.step = failover::Step::Recording;
        self.store_claim(out);
        failover::Progress::Ongoing
    }

    /// Returns whether a log that ends at `end` may contain every acknowledged entry.
    ///
    /// A member that is gone may have been the only one besides the old leader that received some of these entries. If the
    /// replicas of a stalled leader have received nothing of its term, they may lack such entries, so the leader must not be
    /// replaced yet.
    fn has_all_acknowledged(&self, end: floor::Point) -> bool {
        let of_this_term = self.reason != leader::ReplaceReason::Stalled || end.term >= self.term;
        of_this_term && Some(end) >= self.acknowledged
    }

    /// Handles the case that no eligible member has received as much as the furthest held member, or that the target of an
    /// older order has not.
    ///
    /// If the target of the older order is the old leader, it either leads already or does not run. Then another order for it
    /// changes nothing but ends the older order. Otherwise the attempt is given up.
    fn end_older_order_or_give_up(
        &mut self,
        now: Instant,
        participants: &[failover::Participant],
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let pending = self.claim.pending_target().and_then(|name| {
            let named = participants
                .iter()
                .find(|participant| participant.name.as_ref() == name);
            named.map(|participant| participant.member)
        });
        let targets_old_leader = pending.is_some() && pending == self.old_leader;
        if !targets_old_leader || !self.fenced {
            return self.give_up(now, out);
        }
        self.target = pending;
        self.step = failover::Step::EndingOlderOrder { retry_at: None };
        self.order_promotion(self.target, out);
        failover::Progress::Ongoing
    }
}
