//! Hold commands to the members, and the choice of the next leader among the held members.

use std::time::Instant;

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::claim;
use crate::effect;
use crate::event;
use crate::failover;
use crate::leader;

/// Why no held member can be chosen.
pub(super) enum Unfit {
    /// All of them lack acknowledged entries.
    Behind,
    /// All of them may lack acknowledged entries that a missing member has.
    Uncertain,
    /// None of those that have received most is listed.
    NotEligible,
}

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
                hold.discard_answer(now);
            }
        }
    }

    /// Holds the members, because the old leader does not hand over.
    pub(super) fn take_over(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        // A member that the directory does not list yet may have confirmed entries that the others lack.
        if !roster.is_complete {
            return self.give_up(now, out);
        }
        self.hands_over = false;
        out.push(effect::Effect::AskProxies(self.group));
        self.step = failover::Step::Holding;
        self.hold_members(now, roster, out)
    }

    /// Sends the hold commands that are due. Continues once all members but the old leader have answered, and no proxy trusts the old
    /// leader any more.
    pub(super) fn hold_members(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let mut unanswered = false;
        for participant in &roster.members {
            if Some(participant.member) == self.old_leader {
                continue;
            }
            let hold = self.holds.entry(participant.member);
            unanswered |= hold.status.is_none();
            if hold.send_if_due(now) {
                let command = effect::MemberCommand::Hold(self.hold_term);
                self.send_command(Some(participant.member), command, out);
            }
        }
        if unanswered || now < self.leases_end_at {
            return failover::Progress::Ongoing;
        }
        if self.second_round_at.is_some() {
            return self.choose_target(now, roster, out);
        }
        if self.reason == leader::ReplaceReason::Stalled {
            // Its commits wait for replicas that an earlier claimant has held: once they are released, it goes on.
            if self.are_held_above() {
                return self.give_up(now, out);
            }
            // A leader that stops without a successor would leave the group without one.
            return match self.find_furthest(roster) {
                Ok(_) => self.start_stop(now, roster, out),
                Err(unfit) => self.give_up_without_choice(now, unfit, roster, out),
            };
        }
        self.read_directory(out);
        failover::Progress::Ongoing
    }

    /// Returns whether all members that may be held have answered the last hold command.
    pub(super) fn are_all_held(&self, roster: &failover::roster::Roster) -> bool {
        let members = roster.members.iter().map(|participant| participant.member);
        let mut others = members.filter(|member| Some(*member) != self.old_leader);
        others.all(|member| {
            let hold = self.holds.get(member);
            hold.is_some_and(|hold| hold.status.is_some())
        })
    }

    /// Returns whether members are held at a term above the one at which this attempt holds them.
    fn are_held_above(&self) -> bool {
        let mut held = self.holds.values().filter_map(|hold| hold.status);
        held.any(|status| status.held_term > self.hold_term)
    }

    /// Records the answer to a hold command that was sent at `asked_at`.
    pub(super) fn apply_hold(
        &mut self,
        now: Instant,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if Some(member) == self.old_leader {
            self.record_stop(now, status);
            return self.hold_members(now, roster, out);
        }
        let leads_on = status.is_some_and(|status| {
            status.leads && self.may_be_replaced(member, status.term, roster)
        });
        let is_of_this_round = self.second_round_at.is_none_or(|since| asked_at >= since);
        let held = status.filter(|_| !leads_on && is_of_this_round);
        self.holds.entry(member).record_answer(now, held);
        if leads_on {
            // A replaced leader that leads on cannot be held before it is demoted.
            let command = effect::MemberCommand::Demote(self.hold_term);
            self.send_command(Some(member), command, out);
            return failover::Progress::Ongoing;
        }
        if let Some(status) = status {
            if status.leads {
                self.newest_term = self.newest_term.max(status.term);
                return self.end_beside_other_leader(now, member, status, roster, out);
            }
            self.raise_hold_term(status);
            if self.second_round_at.is_none() {
                // If the member is held, it has been held since some time before now.
                self.leases_end_at = now + self.lease_duration();
            }
            self.discard_outdated_holds(now);
        }
        self.hold_members(now, roster, out)
    }

    /// Holds all members once more, those included that have joined, for the logs on which the choice rests. The hold term stays the
    /// same: a hold at a term above that of the next leader would outlast the promotion.
    pub(super) fn start_second_round(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if !roster.is_complete {
            return self.give_up(now, out);
        }
        // A leader that is stopped without a successor would leave the group without one.
        let retry_at = now + failover::STORE_RETRY_DELAY;
        match self.find_furthest(roster) {
            Err(Unfit::Uncertain) if !roster.homes_told && retry_at < self.gives_up_at() => {
                let retry_at = Some(retry_at);
                self.step = failover::Step::ReadingDirectory { retry_at };
                return failover::Progress::Ongoing;
            }
            Err(unfit @ (Unfit::Behind | Unfit::Uncertain)) => {
                return self.give_up_without_choice(now, unfit, roster, out);
            }
            _ => {}
        }
        // Nothing but the holds keeps a replaced leader that leads on from committing. Where promotions are fenced, an older order for
        // the leader, which changes nothing while it leads, would make it lead again once it has been demoted.
        if !self.fenced && now < self.gives_up_at() && self.demotion.send_if_due(now) {
            let command = effect::MemberCommand::Demote(self.hold_term);
            self.send_command(self.old_leader, command, out);
        }
        self.second_round_at = Some(now);
        self.step = failover::Step::Holding;
        for (_, hold) in self.holds.iter_mut() {
            *hold = failover::command::CommandState::default();
        }
        self.hold_members(now, roster, out)
    }

    /// Writes the member that has received most to the claim row as the target.
    fn choose_target(
        &mut self,
        now: Instant,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        // This proxy may have been suspended until its claim ended.
        if now >= self.claim_expires_at {
            return self.give_up(now, out);
        }
        if !self.holds_again && self.discard_old_holds(now) {
            self.holds_again = true;
            return self.hold_members(now, roster, out);
        }
        self.chosen_at = now;
        match self.find_furthest(roster) {
            // The record was made before the logs were read once more.
            Ok(best) if self.is_recorded(now, best.member) => {
                self.give_order(out);
                failover::Progress::Ongoing
            }
            Ok(best) => {
                let (member, name) = (best.member, best.name.clone());
                self.record_choice(now, member, &name, out);
                failover::Progress::Ongoing
            }
            Err(unfit) => self.give_up_without_choice(now, unfit, roster, out),
        }
    }

    /// Discards the answers that are too old for a choice. Returns whether there were any.
    fn discard_old_holds(&mut self, now: Instant) -> bool {
        let mut discards = false;
        for (_, hold) in self.holds.iter_mut() {
            let is_old = hold
                .answered_at
                .is_some_and(|at| now > at + failover::HOLD_AGE_MAX);
            if hold.status.is_some() && is_old {
                hold.discard_answer(now);
                discards = true;
            }
        }
        discards
    }

    /// Returns a listed member that has received most: one that stays if there is one, and among these the target of an older order that
    /// may still be executed. Where no token ends that order, only its target may be chosen.
    pub(super) fn find_furthest<'a>(
        &self,
        roster: &'a failover::roster::Roster,
    ) -> Result<&'a failover::roster::Participant, Unfit> {
        let received = |participant: &failover::roster::Participant| {
            let hold = self.holds.get(participant.member)?;
            hold.status.map(|status| status.received)
        };
        let furthest = self.furthest();
        let Some(end) = furthest.filter(|end| self.has_all_acknowledged(*end, roster)) else {
            return Err(Unfit::Behind);
        };
        let needs_proof = roster.awaits_missing || roster.is_uninformed;
        if !self.hands_over && needs_proof && !roster.is_proven_whole(end) {
            return Err(Unfit::Uncertain);
        }
        let pending = self.pending_before.as_deref();
        let is_pending = |participant: &failover::roster::Participant| {
            pending.is_none_or(|name| name == participant.name.as_ref())
        };
        roster
            .members
            .iter()
            .filter(|participant| Some(participant.member) != self.old_leader)
            .filter(|participant| participant.listed && received(participant) == furthest)
            .filter(|participant| self.fenced || is_pending(participant))
            .min_by_key(|participant| (!participant.stays(), !is_pending(participant)))
            .ok_or(Unfit::NotEligible)
    }

    /// Returns the highest point up to which a held member has received. One that has been dropped since its hold may have confirmed
    /// entries that the others lack.
    fn furthest(&self) -> Option<floor::Point> {
        let others = self.holds.iter();
        let others = others.filter(|(member, _)| Some(*member) != self.old_leader);
        others
            .filter_map(|(_, hold)| hold.status.map(|status| status.received))
            .max()
    }

    /// Returns whether the row names a member as the target, and an order that is given now agrees with the row.
    pub(super) fn is_recorded(&self, now: Instant, member: id::MemberId) -> bool {
        self.target == Some(member)
            && self.claim.last_ordered.replaced_term() == self.newest_term
            && self.orders_end_at.is_some_and(|end_at| now < end_at)
    }

    /// Gives up because no member can be chosen.
    fn give_up_without_choice(
        &mut self,
        now: Instant,
        unfit: Unfit,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        match unfit {
            Unfit::Behind | Unfit::Uncertain => {
                out.push(effect::Effect::RecordChange(
                    effect::StateChange::ChoiceWithheld {
                        group: self.group,
                        token: self.claim.token,
                        furthest: self.furthest(),
                        acknowledged: roster.points.required(),
                        answered_end: roster.points.sufficient(),
                        awaits_missing: roster.awaits_missing,
                        homes_told: roster.homes_told,
                    },
                ));
                self.give_up(now, out);
                failover::Progress::GivenUp {
                    retry_at: now + failover::CATCH_UP_DELAY,
                }
            }
            Unfit::NotEligible => self.end_older_order_or_give_up(now, &roster.members, out),
        }
    }

    /// Writes a member to the claim row as the target.
    pub(super) fn record_choice(
        &mut self,
        now: Instant,
        member: id::MemberId,
        name: &str,
        out: &mut Vec<effect::Effect>,
    ) {
        self.target = Some(member);
        self.claim.target = Some(name.into());
        self.claim.last_ordered = claim::LastOrdered::Member {
            name: name.into(),
            replaced_term: self.newest_term,
        };
        self.claim.led_term = 0;
        self.claim.settled = false;
        self.claim.until_ms = self.store_now_ms(now).saturating_add(self.claim_lease_ms());
        let order_timeout = match self.fenced {
            true => failover::FENCED_ORDER_TIMEOUT,
            false => failover::UNFENCED_ORDER_TIMEOUT,
        };
        self.orders_end_at = Some(now + order_timeout);
        if !self.fenced {
            let order_ends_in_ms =
                u64::try_from(failover::ORDER_AGE_MAX.as_millis()).unwrap_or(u64::MAX / 2);
            self.claim.order_ends_ms = self.store_now_ms(now).saturating_add(order_ends_in_ms);
        }
        self.step = failover::Step::Recording;
        self.store_claim(out);
    }

    /// Returns whether a log that ends at `end` may contain every acknowledged entry.
    ///
    /// A member that is gone may have been the only one besides the old leader that received some of these entries. If the
    /// replicas of a stalled leader have received nothing of its term, they may lack such entries, so the leader must not be
    /// replaced yet.
    pub(super) fn has_all_acknowledged(
        &self,
        end: floor::Point,
        roster: &failover::roster::Roster,
    ) -> bool {
        let of_this_term = self.reason != leader::ReplaceReason::Stalled || end.term >= self.term;
        of_this_term && Some(end) >= roster.points.required()
    }

    /// Handles the case that no listed member has received as much as the furthest held member, or that the target of an
    /// older order has not.
    ///
    /// If the target of the older order is the old leader, it either leads already or does not run. Then another order for it
    /// changes nothing but ends the older order. Otherwise the attempt is given up.
    fn end_older_order_or_give_up(
        &mut self,
        now: Instant,
        participants: &[failover::roster::Participant],
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let pending = self.pending_before.as_deref().and_then(|name| {
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
