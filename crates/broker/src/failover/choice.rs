//! Hold commands to the members, and the choice of the next leader among them.

use std::time::Instant;

use fulmarlift_core::floor;

use crate::effect;
use crate::failover;
use crate::leader;

impl failover::Attempt {
    /// Discards the status of members that are held below the current hold term, and holds them again: a promotion in the
    /// meantime has released them.
    pub(super) fn ask_unheld_again(&mut self, now: Instant) {
        let (old, hold_term) = (self.old, self.hold_term);
        for (member, asked) in self.asked.iter_mut() {
            let unheld = asked
                .status
                .is_some_and(|status| status.held_term < hold_term);
            if Some(member) != old && unheld {
                asked.status = None;
                asked.again_at = Some(now);
            }
        }
    }

    pub(super) fn hold(
        &mut self,
        now: Instant,
        voters: &[failover::Voter],
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let hold_term = self.hold_term;
        let mut missing = false;
        for voter in voters {
            if Some(voter.member) == self.old {
                continue;
            }
            let asked = self.asked.entry(voter.member);
            if asked.status.is_some() {
                continue;
            }
            missing = true;
            let lost = asked.sent_at.is_some_and(|sent| {
                now.saturating_duration_since(sent) > failover::COMMAND_TIMEOUT
            });
            let due = asked.again_at.is_none_or(|again_at| now >= again_at);
            if lost || (asked.sent_at.is_none() && due) {
                asked.sent_at = Some(now);
                out.push(effect::Effect::SendCommand {
                    group: self.group,
                    member: voter.member,
                    command: effect::MemberCommand::Hold(hold_term),
                    conn: None,
                });
            }
        }
        if missing {
            return failover::Progress::Going;
        }
        self.choose(now, voters, out)
    }

    fn choose(
        &mut self,
        now: Instant,
        voters: &[failover::Voter],
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let received = |voter: &failover::Voter| {
            let asked = self.asked.get(voter.member)?;
            asked.status.map(|status| status.received)
        };
        let held = voters.iter().filter(|voter| Some(voter.member) != self.old);
        let furthest = held.clone().filter_map(received).max();
        if !furthest.is_some_and(|furthest| self.has_everything(furthest)) {
            self.give_up(now, out);
            return failover::Progress::Failed {
                retry_at: now + failover::CATCH_UP_DELAY,
            };
        }
        let best = held
            .filter(|voter| voter.eligible && received(voter) == furthest)
            .find(|voter| {
                let pending = self.claim.pending_target();
                pending.is_none_or(|name| name == voter.name.as_ref())
            });
        let (Some(best), Some(_)) = (best, furthest) else {
            return self.flush_or_give_up(now, voters, out);
        };
        self.target = Some(best.member);
        self.claim.target = Some(best.name.clone());
        self.claim.settled = false;
        self.claim.until_ms = self.store_now_ms(now) + failover::CLAIM_LEASE_MS;
        self.step = failover::Step::Recording;
        self.store(out);
        failover::Progress::Going
    }

    /// Returns whether a log that ends at `end` may contain every acknowledged entry.
    ///
    /// A member that is gone may have been the only one besides the old leader that received some of these entries. If a
    /// stalled leader's replicas have received nothing of its term, this may be the case, so it must not be replaced yet.
    fn has_everything(&self, end: floor::Point) -> bool {
        let of_this_term = self.reason != leader::ReplaceReason::Stalled || end.term >= self.term;
        of_this_term && Some(end) >= self.acknowledged
    }

    /// Handles the case that no eligible member has all acknowledged entries, or that the target of an older order lacks
    /// some.
    ///
    /// If the target of the older order is the old leader, another order for it promotes no other member and ends the older
    /// order. Otherwise the attempt is given up.
    fn flush_or_give_up(
        &mut self,
        now: Instant,
        voters: &[failover::Voter],
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let pending = self.claim.pending_target().and_then(|name| {
            let named = voters.iter().find(|voter| voter.name.as_ref() == name);
            named.map(|voter| voter.member)
        });
        let harmless = pending.is_some() && pending == self.old;
        if !harmless {
            return self.give_up(now, out);
        }
        self.target = pending;
        self.step = failover::Step::Flushing { again_at: None };
        self.order(self.target, out);
        failover::Progress::Going
    }
}
