//! Confirmations of commits: the evidence on which the success of a commit is passed on.
//!
//! A leader answers a commit once any other member has received it. The choice of the next leader may not count that member: it has
//! joined while an attempt was under way, or it leaves, and its log ends with it. So a success is passed on only once a member has
//! received the commit that every later choice counts: it is listed, does not leave, and has been known since before the newest
//! evidence that no attempt was under way. Whether it is listed and stays is told by the directory as this proxy knows it, and a claimant
//! that cannot reach a member whose entry has lapsed drops it.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::member_state;
use crate::place;
use crate::state;

/// Time that a success waits for answers of replicas to other statements, which show what they have received, before one is asked.
const RECEIPT_PATIENCE: Duration = Duration::from_millis(100);
/// Time from the arrival of a success in which a receipt counts without another answer of the leader: the question for it and its answer.
const PROMPT_RECEIPT_TIME: Duration = Duration::from_millis(150);
/// Time after a change of a group's members in which a replica is asked at once.
const MEMBERSHIP_CHANGE_PERIOD: Duration = Duration::from_secs(10);
/// Time after which another member is asked instead of one that has not answered.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before the next question after an answer.
const RECEIPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The newest question whether a member has received a commit.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceiptQuestion {
    member: id::MemberId,
    /// Instant from which a member may be asked again.
    retry_at: Instant,
}

impl state::GroupState {
    /// Returns the members whose logs the choice of the next leader counts, as far as the directory tells.
    fn staying_replicas(&self) -> impl Iterator<Item = &member_state::MemberState> {
        let leader = self.leader.member;
        let members = self.members.values();
        members
            .filter(move |state| Some(state.entry.id) != leader)
            .filter(|state| state.unlisted_since.is_none() && !state.entry.leaving)
    }

    /// Returns whether every choice counts the log that a receipt shows: no attempt was under way after the member had become known,
    /// or had last restarted.
    fn counts(&self, state: &member_state::MemberState, receipt: member_state::Receipt) -> bool {
        let since = state.known_since.max(receipt.connected_at);
        self.lease.trust.is_proven_since(since)
    }

    /// Returns the instant from which a member that every later choice counts is known to have received an entry.
    fn received_at(&self, entry: floor::Point) -> Option<Instant> {
        let receipts = self.staying_replicas().filter_map(|state| {
            let receipt = state.receipt_of(entry)?;
            self.counts(state, receipt).then_some(receipt.known_at)
        });
        receipts.min()
    }

    /// Returns whether a replica has received an entry that does not count before further evidence that no attempt is under way.
    fn has_uncounted_receipt(&self, entry: floor::Point) -> bool {
        self.staying_replicas()
            .any(|state| state.receipt_of(entry).is_some())
    }

    /// Returns whether members leave, or have joined or been away lately. Confirmations are then likely to come from members that do not
    /// count.
    fn is_membership_changing(&self, now: Instant) -> bool {
        let mut present = self.members.values().filter(|state| state.is_present());
        present.any(|state| {
            let known_for = now.saturating_duration_since(state.known_since);
            state.entry.leaving
                || state.unlisted_since.is_some()
                || known_for < MEMBERSHIP_CHANGE_PERIOD
        })
    }

    /// Returns the replica to ask whether it has received an entry: the nearest one that is not known to have and was not asked last.
    fn choose_receipt_witness(
        &self,
        now: Instant,
        entry: floor::Point,
        origin: &fulmarlift_core::topology::Place,
    ) -> Option<id::MemberId> {
        let asked_last = self.lease.receipt_question.map(|asked| asked.member);
        let rank = |state: &&member_state::MemberState| {
            let has_told = state.receipt_of(entry).is_some();
            let was_asked = asked_last == Some(state.entry.id);
            let passed_over = [state.is_suspect(), has_told, was_asked];
            (passed_over, place::distance_ms(origin, &state.entry.place))
        };
        let candidates = self.staying_replicas();
        let nearest = candidates
            .filter(|state| !state.is_backing_off(now))
            .min_by(|a, b| {
                let (a, b) = (rank(a), rank(b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
        nearest.map(|state| state.entry.id)
    }
}

impl state::Broker {
    /// Returns whether the success of a commit may be passed on that a leader has acknowledged before the instant `arrived_at`, when
    /// its log ended at `point`: no other member had been promoted by then, and every later choice counts a log that contains the
    /// commit. `None` if that is not known yet, and may be known after [`event::Event::ConfirmationNeeded`].
    pub fn confirms_commit(
        &self,
        group_id: id::GroupId,
        point: Option<floor::Point>,
        arrived_at: Instant,
    ) -> Option<bool> {
        let group = self.groups.get(group_id)?;
        let term = point.map_or(0, |point| point.term);
        let newest_term = group.leader.term.max(group.lease.lease.term());
        let is_older = newest_term > term;
        if self.settings.fenced && term > 0 && is_older {
            return Some(false);
        }
        let received_at = match self.is_replicated(group_id) {
            true => point.and_then(|point| group.received_at(point)),
            false => Some(arrived_at),
        };
        let is_confirmed = received_at.is_some_and(|received_at| match self.settings.fenced {
            // A promotion ends holds, and a member may receive the commit after it from the old leader.
            true => {
                let led_since = group.leader.confirmed_at >= Some(received_at);
                let is_prompt = received_at <= arrived_at + PROMPT_RECEIPT_TIME;
                let trust = &group.lease.trust;
                // A claimant may read the logs from the end of the trust on.
                trust.holds(arrived_at) && trust.covers(received_at) && (led_since || is_prompt)
            }
            // A member that receives the commit after the choice of another leader does not count.
            false => group.lease.lease.covers(term, arrived_at.max(received_at)),
        });
        match is_confirmed {
            true => Some(true),
            false => (!self.settings.fenced && is_older).then_some(false),
        }
    }

    /// Returns whether the commits of a group wait for other members.
    pub(super) fn is_replicated(&self, group: id::GroupId) -> bool {
        let config = self.topology.groups.get(group);
        config.is_none_or(|config| config.sync_replicas > 0)
    }

    /// Looks for the evidence that [`Self::confirms_commit`] lacks for a success that waits.
    pub(super) fn seek_confirmation(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        point: Option<floor::Point>,
        arrived_at: Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let (fenced, is_replicated) = (self.settings.fenced, self.is_replicated(group_id));
        let group = self.groups.entry(group_id);
        let lacks_receipt = point.is_some_and(|point| group.received_at(point).is_none());
        let lacks_proof = point.is_some_and(|point| group.has_uncounted_receipt(point));
        group.lease.needs_proof = lacks_receipt && lacks_proof;
        if group.lease.needs_proof || !group.has_evidence(now, fenced) {
            group.lease.record_demand(now);
            self.renew_lease_if_due(now, group_id, effects);
        }
        let group = self.groups.entry(group_id);
        let is_due = now >= arrived_at + RECEIPT_PATIENCE || group.is_membership_changing(now);
        if let Some(point) = point.filter(|_| is_replicated && lacks_receipt && is_due) {
            self.ask_for_receipt(now, group_id, point, effects);
        }
    }

    /// Asks a replica for its status if no such question is under way. Without an idle connection, opens one.
    fn ask_for_receipt(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        entry: floor::Point,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get(group_id) else {
            return;
        };
        let asked = group.lease.receipt_question;
        if asked.is_some_and(|asked| now < asked.retry_at) {
            return;
        }
        let Some(member) = group.choose_receipt_witness(now, entry, &self.settings.place) else {
            return;
        };
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        let Some(idle) = state.lease_any() else {
            if state.opening == 0 && state.may_open(now) {
                self.open_connection(member, None, effects);
            }
            return;
        };
        let retry_at = now + RECEIPT_TIMEOUT;
        self.groups.entry(group_id).lease.receipt_question =
            Some(ReceiptQuestion { member, retry_at });
        effects.push(effect::Effect::AskStatus {
            group: group_id,
            conn: idle.conn,
            member,
            purpose: effect::StatusPurpose::Receipt,
        });
    }

    /// Records an answer that shows what a member has received.
    pub(super) fn record_receipt(
        &mut self,
        now: Instant,
        member: id::MemberId,
        point: floor::Point,
        connected_at: Instant,
    ) {
        let group = self.member_groups.get(member).copied();
        let Some(group) = group.and_then(|group| self.groups.get_mut(group)) else {
            return;
        };
        if let Some(state) = group.members.get_mut(member) {
            state.record_receipt(member_state::Receipt {
                point,
                known_at: now,
                connected_at,
            });
        }
    }

    /// Applies a member's answer to the question whether it has received a commit, or the lack of one.
    pub(super) fn record_receipt_answer(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let question = &mut self.groups.entry(group_id).lease.receipt_question;
        if let Some(asked) = question.as_mut().filter(|asked| asked.member == member) {
            asked.retry_at = now + RECEIPT_RETRY_DELAY;
        }
        if let Some(status) = status {
            if status.held_term > 0 {
                self.groups.entry(group_id).lease.trust.doubt(now);
            }
            self.record_status(now, group_id, member, asked_at, status);
            let status = Some(status);
            let evidence = effect::LeaderEvidence::Status { member, status };
            self.reelect(now, group_id, evidence, effects);
            self.serve_queue(now, group_id, effects);
        }
    }

    /// Ends the trust in the leader of a member's group: the member may have restarted and forgotten a hold.
    pub(super) fn doubt_leader_of(&mut self, now: Instant, member: id::MemberId) {
        if let Some(group) = self.member_groups.get(member).copied()
            && !self.is_home(member)
        {
            self.groups.entry(group).lease.trust.doubt(now);
        }
    }
}
