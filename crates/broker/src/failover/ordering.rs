//! The promotion order, and how it ends.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::claim;
use crate::effect;
use crate::event;
use crate::failover;
use crate::leader;

impl failover::Attempt {
    /// Gives the order for the recorded target.
    pub(super) fn give_order(&mut self, out: &mut Vec<effect::Effect>) {
        self.step = failover::Step::Ordering { retry_at: None };
        self.order_promotion(self.target, out);
    }

    pub(super) fn order_promotion(
        &self,
        member: Option<id::MemberId>,
        out: &mut Vec<effect::Effect>,
    ) {
        if let Some(member) = member {
            out.push(effect::Effect::OrderPromotion {
                group: self.group,
                member,
                token: self.claim.token,
                until: self.orders_end_at,
            });
        }
    }

    /// Repeats the promotion order, or gives the attempt up if orders are not sent any more.
    pub(super) fn repeat_order(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if self.orders_end_at.is_some_and(|end_at| now >= end_at) {
            return self.give_up(now, out);
        }
        if !self.order_taken && !self.is_choice_current(roster) {
            return self.give_up(now, out);
        }
        self.give_order(out);
        failover::Progress::Ongoing
    }

    /// Continues after a promotion order.
    pub fn apply_order_outcome(
        &mut self,
        now: Instant,
        outcome: event::OrderOutcome,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        match (self.step, outcome) {
            (
                failover::Step::EndingOlderOrder { .. },
                event::OrderOutcome::Accepted | event::OrderOutcome::Refused,
            ) => {
                self.claim.settled = true;
                self.give_up_with_lease(now, failover::ORDER_LEASE, out)
            }
            (failover::Step::EndingOlderOrder { .. }, _) => {
                let retry_at = Some(now + failover::ORDER_RETRY_DELAY);
                self.step = failover::Step::EndingOlderOrder { retry_at };
                failover::Progress::Ongoing
            }
            (failover::Step::Ordering { .. }, event::OrderOutcome::Accepted) => {
                self.order_taken = true;
                self.step = failover::Step::Confirming {
                    until: now + failover::CONFIRM_TIMEOUT,
                    poll_at: now,
                };
                let may_lead_on = self.log_end.is_none() && self.target != self.old_leader;
                if may_lead_on && self.reason != leader::ReplaceReason::Unreachable {
                    // The demoted leader refuses commits at once. Otherwise they would wait for confirmations that the
                    // held replicas no longer send.
                    self.send_command(
                        self.old_leader,
                        effect::MemberCommand::Demote(self.hold_term),
                        out,
                    );
                }
                failover::Progress::Ongoing
            }
            (failover::Step::Ordering { .. }, event::OrderOutcome::Refused) => {
                // Either a higher token was used, or the member does not run. The next read of the claim row shows which.
                if !self.unanswered_order {
                    self.withdraw_target();
                    self.claim.until_ms = self.store_now_ms(now + failover::ORDER_LEASE);
                    self.store_claim(out);
                }
                failover::Progress::GivenUp {
                    retry_at: now + failover::STORE_RETRY_DELAY,
                }
            }
            (failover::Step::Ordering { .. }, event::OrderOutcome::Unknown) => {
                self.unanswered_order = true;
                self.order_taken = true;
                self.step = failover::Step::Confirming {
                    until: now + failover::CONFIRM_UNKNOWN_TIMEOUT,
                    poll_at: now,
                };
                failover::Progress::Ongoing
            }
            (failover::Step::Ordering { .. }, event::OrderOutcome::Deferred) => {
                self.step = failover::Step::Ordering {
                    retry_at: Some(now + failover::ORDER_RETRY_DELAY),
                };
                failover::Progress::Ongoing
            }
            _ => failover::Progress::Ongoing,
        }
    }

    /// Returns whether a member that leads `term` may have been replaced: a newer term has a leader or, where a replaced leader may
    /// lead on, the last order has been given for another member since, or the member leads no newer term than the one that was
    /// known when another member became the believed leader. That belief counts for nothing against the member that was ordered last: an
    /// entry may come back that says that a replaced leader leads.
    pub(super) fn may_be_replaced(
        &self,
        member: id::MemberId,
        term: id::Term,
        roster: &failover::roster::Roster,
    ) -> bool {
        let last_ordered = self.ordered_before.member();
        let is_last_ordered =
            last_ordered.is_some() && last_ordered == roster.name(member).as_deref();
        let other_leads = self.old_leader.is_some_and(|leader| leader != member);
        let ended_term = match other_leads && !is_last_ordered {
            true => self.replaced_term.max(self.term),
            false => self.replaced_term,
        };
        term < self.newest_term || !self.fenced && term <= ended_term
    }

    /// Ends the attempt because another member has been promoted meanwhile. That promotion released the members that were held before
    /// it; those that were held after it, at a later term, still are.
    pub(super) fn end_beside_other_leader(
        &mut self,
        now: Instant,
        member: id::MemberId,
        status: event::MemberStatus,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if !self.order_taken {
            self.restore_pending();
        }
        let leader = roster.name(member);
        let pending = self.claim.pending_target();
        let settles = pending.is_none();
        if settles || pending == leader.as_deref() {
            if let Some(name) = leader.filter(|_| settles) {
                self.record_leader(name, status.term);
            }
            self.release(now, Duration::ZERO, out);
        }
        failover::Progress::Done { member, status }
    }

    /// Records in the claim that a member has been promoted by an earlier order and leads `term`.
    pub(super) fn record_leader(&mut self, name: Box<str>, term: id::Term) {
        self.claim.target = Some(name.clone());
        self.claim.last_ordered = claim::LastOrdered::Member {
            name,
            replaced_term: term.saturating_sub(1),
        };
        self.claim.led_term = term;
    }

    /// Records in the claim that the order for the target has not been executed and will not be. An older order for another member may
    /// still be.
    pub(super) fn withdraw_target(&mut self) {
        let ends_older_order = self.claim.target == self.pending_before;
        self.restore_pending();
        if ends_older_order {
            self.claim.target = None;
            self.claim.settled = true;
        }
    }

    /// Records in the claim that no order has been given for the target. An older order may still be executed, for the same member
    /// as well.
    pub(super) fn restore_pending(&mut self) {
        self.claim.target = self.pending_before.clone();
        self.claim.settled = self.claim.target.is_none();
        self.claim.last_ordered = self.ordered_before.clone();
        self.claim.led_term = self.led_before;
    }

    /// Ends the attempt after the target has confirmed that it leads. The claim lasts for [`ORDER_LEASE`] from now on.
    pub(super) fn finish(
        &mut self,
        now: Instant,
        member: id::MemberId,
        status: event::MemberStatus,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        self.release_held_above(now, member, status.term, out);
        self.claim.settled = !self.unanswered_order;
        self.claim.led_term = status.term;
        self.claim.until_ms = self.store_now_ms(now + failover::ORDER_LEASE);
        self.store_claim(out);
        failover::Progress::Done { member, status }
    }
}
