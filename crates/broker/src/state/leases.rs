//! Leases of leaders at this proxy: reads of the claim row, and questions to members while it does not tell.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::claim;
use crate::effect;
use crate::event;
use crate::lease;
use crate::member_state;
use crate::place;
use crate::revision;
use crate::state;
use crate::state::confirmations;
use crate::trust;

/// Time after which a member that has not answered the question is passed over: several round trips between regions. The
/// question takes a slot, for which it may wait.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a member is passed over after an answer that granted no lease.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// The same once no lease could be had for [`REFUSAL_PATIENCE`], unless members consent to one.
const REFUSAL_PAUSE_MAX: Duration = Duration::from_millis(240);
/// Time without a lease after which members are asked less often: the time that a replacement of the leader takes.
const REFUSAL_PATIENCE: Duration = Duration::from_secs(2);
/// Remaining time from which a lease in use is renewed while only members can do so: time for a member that does not answer, and
/// for another one that does.
const RENEWAL_LEAD: Duration = Duration::from_millis(300);
/// Remaining time of the trust from which a write that is sent renews it: the usual time to the answer, which otherwise waits for the
/// claim row.
const TRUST_RENEWAL_LEAD: Duration = Duration::from_millis(100);
/// Delay before the claim row is read again after a read that started no lease.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The same while members renew a lease.
const CLAIM_RETRY_DELAY_WITH_LEASE: Duration = Duration::from_secs(1);
/// Interval of the reads that prove the trust in a leader, while there is reason to doubt after each of them.
const PROOF_INTERVAL: Duration = Duration::from_millis(50);
/// Time of a read of the claim row from which members are asked meanwhile.
const CLAIM_READ_PATIENCE: Duration = Duration::from_millis(100);
/// Longest time of a read of the claim row after which the row is relied on again: too little would be left of a lease.
const CLAIM_READ_TIME_MAX: Duration = Duration::from_millis(250);
/// Time after the last request without a lease from which a lease that has ended is not renewed.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a claim row that shows an attempt in which the members' consents prove nothing: longer than a claim lasts.
const DISPUTE_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a read of the claim row counts as lost.
const CLAIM_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The newest question that was asked for a lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Question {
    member: id::MemberId,
    /// Instant from which another member may be asked.
    retry_at: Instant,
}

/// State of the lease of a group's leader at this proxy.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseState {
    /// The lease, where promotions are not fenced.
    pub(super) lease: lease::LeaderLease,
    /// Trust in the leader, where they are fenced.
    pub(super) trust: trust::Trust,
    /// Whether the lease must be renewed.
    pub(super) renewal_due: bool,
    /// Instant since which requests have waited for a lease, or been refused without one.
    pub(super) demanded_since: Option<Instant>,
    /// Instant at which the last such request was decided on.
    demanded_at: Option<Instant>,
    question: Option<Question>,
    /// Instant at which the read of the claim row that is under way was sent.
    claim_read_sent_at: Option<Instant>,
    /// Instant at which the newest claim row that was read was asked for.
    claim_asked_at: Option<Instant>,
    /// Newest revision of the claim row that a read has returned.
    claim_revision: Option<revision::Revision>,
    /// Instant from which the claim row may be read again.
    claim_retry_at: Option<Instant>,
    /// What the newest read of the claim row has told about the leader.
    standing: Option<claim::Standing>,
    /// Member that the newest read of the claim row names as the last one that was ordered.
    last_ordered: Option<Box<str>>,
    consents: lease::Consents,
    /// Validity, term and member of the last [`effect::StateChange::Lease`].
    logged: Option<(bool, id::Term, id::MemberId)>,
    /// The newest question whether a member has received a commit.
    pub(super) receipt_question: Option<confirmations::ReceiptQuestion>,
    /// Instant at which the newest claim row was asked for that shows an attempt.
    disputed_at: Option<Instant>,
    /// Whether a success waits for evidence that no attempt was under way lately.
    pub(super) needs_proof: bool,
    /// Whether validity or term have changed since the last grant to a member.
    pub(super) validity_changed: bool,
}

impl LeaseState {
    /// Records that a member answered or failed to answer. After an answer that granted nothing, another one is asked.
    fn record_answer(&mut self, now: Instant, member: id::MemberId, granted: bool, consents: bool) {
        if self.question.is_some_and(|asked| asked.member == member) {
            let lasts = self
                .demanded_since
                .is_some_and(|since| now.saturating_duration_since(since) > REFUSAL_PATIENCE);
            let retry_at = match lasts && !consents {
                true => now + REFUSAL_PAUSE_MAX,
                false => now + REFUSAL_PAUSE,
            };
            self.question = (!granted).then_some(Question { member, retry_at });
            self.renewal_due |= !granted;
        }
    }

    /// Records that a request waits for a lease, or is refused without one.
    pub(super) fn record_demand(&mut self, now: Instant) {
        self.renewal_due = true;
        self.demanded_since.get_or_insert(now);
        self.demanded_at = Some(now);
    }

    /// Ends the renewal of a lease that no request has needed lately.
    fn expire_demand(&mut self, now: Instant, valid: bool) {
        let demanded = self
            .demanded_at
            .is_some_and(|at| now.saturating_duration_since(at) < DEMAND_TIMEOUT);
        self.renewal_due &= valid || demanded;
        if valid || !demanded {
            self.demanded_since = None;
        }
    }

    /// Returns whether members are asked: the claim row starts no lease, or is not read in time.
    fn needs_members(&self, now: Instant) -> bool {
        let slow = self
            .claim_read_sent_at
            .is_some_and(|sent_at| now.saturating_duration_since(sent_at) > CLAIM_READ_PATIENCE);
        self.is_unconfirmed() || slow
    }

    /// Returns whether the newest read of the claim row has started no lease.
    fn is_unconfirmed(&self) -> bool {
        self.standing
            .is_some_and(|standing| standing != claim::Standing::Undisputed)
    }

    /// Logs the evidence if the lease has lapsed or become valid, its term has changed, or another member was asked.
    pub(super) fn log_evidence(
        &mut self,
        valid: bool,
        term: id::Term,
        group: id::GroupId,
        evidence: effect::LeaseEvidence,
        effects: &mut Vec<effect::Effect>,
    ) {
        let member = match evidence {
            // Claim rows and questions alternate, which is no news.
            effect::LeaseEvidence::Claim { member, .. } => {
                self.logged.map_or(member, |(_, _, logged)| logged)
            }
            effect::LeaseEvidence::Status { member, .. } => member,
        };
        let before = self.logged.replace((valid, term, member));
        self.validity_changed |=
            before.is_none_or(|(was_valid, was_term, _)| (was_valid, was_term) != (valid, term));
        if before != Some((valid, term, member)) {
            effects.push(effect::Effect::RecordChange(effect::StateChange::Lease {
                group,
                term,
                valid,
                evidence,
            }));
        }
    }
}

impl state::GroupState {
    /// Returns the newest term that the believed leader is known to follow or to lead; 0 without a leader.
    pub(super) fn leader_term(&self) -> id::Term {
        let leader = self.leader.member;
        let leader = leader.and_then(|member| self.members.get(member));
        leader.map_or(0, |leader| leader.term)
    }

    /// Returns whether writes may be sent to the leader: it has a lease or, where promotions are fenced, there is no reason to doubt it.
    /// There, the successes of these writes may still wait for evidence.
    pub(super) fn may_write(&self, now: Instant, fenced: bool) -> bool {
        match fenced {
            true => self.lease.trust.is_undoubted(now),
            false => self.lease.lease.covers(self.leader_term(), now),
        }
    }

    /// Returns whether the claim row or a member can be expected to grant the leader a lease. `knows_members` tells whether this
    /// proxy knows all members that may have been promoted by now.
    pub(super) fn may_renew_lease(&self, knows_members: bool, fenced: bool) -> bool {
        let leader = self.leader.member;
        let mut others = self
            .members
            .values()
            .filter(|state| Some(state.entry.id) != leader);
        let reachable = |state: &member_state::MemberState| state.failures < 2;
        match self.lease.standing {
            None | Some(claim::Standing::Undisputed) => true,
            Some(claim::Standing::Unknown) if !fenced => knows_members && others.all(reachable),
            Some(_) => others.any(|state| state.is_present() && reachable(state)),
        }
    }

    /// Returns whether the leader has shown that it leads a term not older than that of the last lease.
    fn is_leader_shown(&self) -> bool {
        let leader = self.leader.member;
        let leader = leader.and_then(|leader| self.members.get(leader));
        leader.is_some_and(|leader| self.has_shown_term(leader))
    }

    fn has_shown_term(&self, leader: &member_state::MemberState) -> bool {
        leader.led_term > 0 && leader.led_term >= self.lease.lease.term().max(self.leader.term)
    }

    /// Starts or extends the lease if all other members consent that joined before the instant `members_known_at`. Returns whether
    /// the lease is valid.
    ///
    /// A member that joined later is held at `members_known_at` at the earliest, and ordered [`lease::LEASE_DURATION`] after that. Where
    /// promotions are fenced, no such member leads while the leader answers, so the leader is trusted by the consents of all members that
    /// answer: an attempt holds them.
    fn start_lease_by_consent(
        &mut self,
        now: Instant,
        members_known_at: Option<Instant>,
        fenced: bool,
    ) -> bool {
        let last_ordered = self.lease.last_ordered.as_deref();
        // Where promotions are fenced, the answers of the leader tell that no member unknown to this proxy has been promoted.
        let knows_last_ordered = last_ordered.is_none_or(|name| {
            let mut members = self.members.values();
            fenced || members.any(|state| state.entry.name.as_ref() == name)
        });
        if !knows_last_ordered {
            return self.covers_writes(now, fenced);
        }
        let leader = self.leader.member;
        let others = self
            .members
            .values()
            .filter(|state| Some(state.entry.id) != leader)
            .filter(|state| !fenced || !state.is_suspect())
            .map(|state| state.entry.id);
        let term = self.leader_term();
        let given_at = self.lease.consents.given_at(term, others);
        // Of an attempt that is under way, only some members may have been held.
        let is_disputed = self
            .lease
            .disputed_at
            .is_some_and(|disputed_at| now < disputed_at + DISPUTE_PERIOD);
        if let Some(given_at) = given_at.filter(|_| !is_disputed) {
            self.lease.trust.prove(given_at);
        }
        if !fenced && let Some(known_at) = given_at.min(members_known_at) {
            self.lease.lease.start(term, known_at);
        }
        self.covers_writes(now, fenced)
    }

    /// Returns whether the successes of writes that are answered now need no further evidence about the leader.
    fn covers_writes(&self, now: Instant, fenced: bool) -> bool {
        match fenced {
            true => self.lease.trust.holds(now),
            false => self.may_write(now, fenced),
        }
    }

    /// Returns whether there is a lease of any term or, where promotions are fenced, the leader is trusted.
    pub(super) fn has_evidence(&self, now: Instant, fenced: bool) -> bool {
        match fenced {
            true => self.lease.trust.holds(now),
            false => self.lease.lease.is_valid(now),
        }
    }

    /// Logs evidence for or against the lease or the trust of the leader.
    fn log_lease(
        &mut self,
        now: Instant,
        fenced: bool,
        group: id::GroupId,
        evidence: effect::LeaseEvidence,
        effects: &mut Vec<effect::Effect>,
    ) {
        let valid = self.has_evidence(now, fenced);
        let term = match fenced {
            true => self.leader_term(),
            false => self.lease.lease.term(),
        };
        self.lease
            .log_evidence(valid, term, group, evidence, effects);
    }

    /// Requests the renewal of trust that would end before the answer to a write that is sent now.
    pub(super) fn renew_trust_early(&mut self, now: Instant) {
        if !self.lease.trust.covers(now + TRUST_RENEWAL_LEAD) {
            self.lease.record_demand(now);
        }
    }

    /// Requests the renewal of a lease that is in use and ends soon, if the claim row could not start another one after its end.
    pub(super) fn renew_lease_early(&mut self, now: Instant) {
        let lease = &mut self.lease;
        let ends_soon = !lease.lease.covers(lease.lease.term(), now + RENEWAL_LEAD);
        lease.renewal_due |= ends_soon && lease.is_unconfirmed();
    }

    /// Returns the member to ask next. A member that is listed as leader is asked itself if it is not known to lead the
    /// newest term. Otherwise the replicas are asked in turn.
    fn choose_witness(
        &self,
        now: Instant,
        origin: &fulmarlift_core::topology::Place,
    ) -> Option<id::MemberId> {
        let passed_over = self.lease.question.map(|asked| asked.member);
        let listed = |state: &&member_state::MemberState| state.listed_as_leader_since.is_some();
        let leader = match self.leader.member {
            Some(member) => self.members.get(member),
            None => self.members.values().rfind(listed),
        };
        let unproven = leader.filter(|state| {
            !self.has_shown_term(state)
                && !state.is_backing_off(now)
                && passed_over != Some(state.entry.id)
        });
        if let Some(state) = unproven {
            return Some(state.entry.id);
        }
        let cost = |state: &&member_state::MemberState| {
            let distance_ms = place::distance_ms(origin, &state.entry.place);
            let queue_ms = state.latency_ms * f64::from(state.running);
            distance_ms + queue_ms
        };
        let candidates = self
            .members
            .values()
            .filter(|state| Some(state.entry.id) != self.leader.member)
            .filter(|state| state.unlisted_since.is_none() && !state.is_backing_off(now));
        if self.lease.needs_members(now) {
            let asked = candidates.min_by_key(|state| state.lease_asked_at);
            return asked.map(|state| state.entry.id);
        }
        candidates
            .min_by(|a, b| {
                let passed_over =
                    |state: &member_state::MemberState| passed_over == Some(state.entry.id);
                passed_over(a)
                    .cmp(&passed_over(b))
                    .then(cost(a).total_cmp(&cost(b)))
            })
            .map(|state| state.entry.id)
    }
}

impl state::Broker {
    /// Returns whether this proxy knows all members that may have been promoted by now.
    pub(super) fn knows_members(&self, now: Instant) -> bool {
        self.directory_answered_at
            .is_some_and(|answered_at| now < answered_at + lease::LEASE_DURATION)
    }

    /// Renews the lease if that is due: reads the claim row if the lease has ended, and asks a member for its status if the answer
    /// can count.
    pub(super) fn renew_lease_if_due(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let fenced = self.settings.fenced;
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        let valid = group.has_evidence(now, fenced);
        group.lease.expire_demand(now, valid);
        if !group.lease.renewal_due {
            return;
        }
        let is_shown = group.is_leader_shown();
        let lease = &mut group.lease;
        let may_read = lease.claim_retry_at.is_none_or(|retry_at| now >= retry_at);
        let ends_soon = fenced && !lease.trust.covers(now + TRUST_RENEWAL_LEAD);
        let needs_claim = !valid || ends_soon || lease.is_unconfirmed() || lease.needs_proof;
        if is_shown && needs_claim && may_read {
            lease.claim_read_sent_at = Some(now);
            lease.claim_retry_at = Some(now + CLAIM_READ_TIMEOUT);
            effects.push(effect::Effect::LoadClaim(group_id));
        }
        if !is_shown || lease.needs_members(now) {
            self.ask_witness(now, group_id, effects);
        }
    }

    /// Asks a member for its status if no question is under way. Without an idle connection, opens one.
    fn ask_witness(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get(group_id) else {
            return;
        };
        let waits = group
            .lease
            .question
            .is_some_and(|asked| now < asked.retry_at);
        if waits {
            return;
        }
        let Some(member) = group.choose_witness(now, &self.settings.place) else {
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
        state.lease_asked_at = Some(now);
        let lease = &mut self.groups.entry(group_id).lease;
        lease.renewal_due = false;
        let retry_at = now + QUESTION_TIMEOUT;
        lease.question = Some(Question { member, retry_at });
        effects.push(effect::Effect::AskStatus {
            group: group_id,
            conn: idle.conn,
            member,
            purpose: effect::StatusPurpose::Lease,
        });
    }

    /// Applies a member's answer to the question for its status, or the lack of one.
    pub(super) fn record_lease_answer(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(status) = status {
            self.record_status(now, group_id, member, asked_at, status);
        }
        self.apply_lease_evidence(now, group_id, member, asked_at, status, effects);
        let evidence = effect::LeaderEvidence::Status { member, status };
        self.reelect(now, group_id, evidence, effects);
        self.serve_queue(now, group_id, effects);
    }

    /// Applies a read of the claim row to the lease of the group's leader.
    pub(super) fn record_claim_row(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        asked_at: Instant,
        stored: Option<&claim::ClaimRow>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let fenced = self.settings.fenced;
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        // Another proxy has read the row meanwhile.
        if stored.is_none() && group.lease.claim_asked_at >= Some(asked_at) {
            return;
        }
        if stored.is_some() {
            group.lease.claim_asked_at = group.lease.claim_asked_at.max(Some(asked_at));
        }
        group.lease.claim_read_sent_at = None;
        let retry_delay = match group.has_evidence(now, fenced) && !group.lease.needs_proof {
            true => CLAIM_RETRY_DELAY_WITH_LEASE,
            false => CLAIM_RETRY_DELAY,
        };
        group.lease.claim_retry_at = Some(now + retry_delay);
        let revision = stored.map(|row| row.revision);
        // A later read has overtaken this one and found a newer row.
        if revision.is_some() && revision < group.lease.claim_revision {
            return;
        }
        group.lease.claim_revision = group.lease.claim_revision.max(revision);
        if let Some(row) = stored {
            group.lease.last_ordered = row.claim.last_ordered.member().map(Box::from);
        }
        let promoted_term = stored.and_then(claim::ClaimRow::promoted_term);
        group.leader.record_term(now, promoted_term.unwrap_or(0));
        let leader = group.leader.member;
        let Some(leader) = leader.and_then(|leader| group.members.get_mut(leader)) else {
            return;
        };
        let standing = stored.map_or(claim::Standing::Unknown, |row| {
            row.standing(&leader.entry.name, leader.led_term)
        });
        group.lease.standing = Some(standing);
        if standing == claim::Standing::Disputed {
            group.lease.disputed_at = Some(asked_at);
        }
        if standing == claim::Standing::Undisputed {
            group.lease.disputed_at = None;
            group.lease.trust.prove(asked_at);
            group.lease.claim_retry_at = Some(now + PROOF_INTERVAL);
        }
        match standing {
            claim::Standing::Undisputed if fenced => {
                group.lease.renewal_due = false;
            }
            // The answers of the leader tell whether it leads.
            _ if fenced => {}
            claim::Standing::Undisputed if leader.led_term > 0 => {
                group.lease.lease.start(leader.led_term, asked_at);
                group.lease.renewal_due = false;
                if now.saturating_duration_since(asked_at) > CLAIM_READ_TIME_MAX {
                    group.lease.standing = Some(claim::Standing::Unknown);
                }
            }
            // The member may have been promoted after the row was read.
            claim::Standing::Replaced if leader.listed_as_leader_since > Some(asked_at) => {}
            claim::Standing::Replaced => {
                leader.denies_leadership = true;
                // Without the successor's term, the row names the term that its claimant knew, which may be older than the one that
                // has been replaced.
                if stored.is_some_and(|row| row.claim.led_term == 0) {
                    let replaced_term = leader.led_term_known_by(asked_at);
                    group
                        .leader
                        .record_term(now, replaced_term.saturating_add(1));
                }
            }
            _ => {}
        }
        let evidence = effect::LeaseEvidence::Claim {
            member: leader.entry.id,
            standing,
        };
        group.log_lease(now, fenced, group_id, evidence, effects);
        let evidence = effect::LeaderEvidence::Claim(standing);
        self.reelect(now, group_id, evidence, effects);
        self.serve_queue(now, group_id, effects);
    }

    /// Applies a status to the lease of the group's leader.
    ///
    /// A status of a newer term than the believed leader's means that the leader has been replaced, or has not shown its
    /// newest term yet. It counts as replaced until it shows that term.
    fn apply_lease_evidence(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let members_known_at = self.directory_answered_at;
        let fenced = self.settings.fenced;
        let group = self.groups.entry(group_id);
        let term = group.leader_term();
        let newest = status.map_or(0, |status| status.term);
        let lease = &mut group.lease;
        let mut granted = lease.lease.follow(now, newest, asked_at);
        let known_term = group.leader.term.max(lease.lease.term());
        let leads_newest = status.is_some_and(|status| status.leads && status.term >= known_term);
        let consents = status.is_some_and(|status| {
            // A replaced leader that leads on is not held and cannot be the target of a promotion.
            let leads_older_term = status.leads && status.term < term;
            let is_released = status.held_term == 0 && (leads_older_term || !status.leads);
            is_released && status.term <= term
        });
        match status {
            Some(_) if consents => lease.consents.record(now, member, term, asked_at),
            Some(_) => lease.consents.withdraw(member),
            None => {}
        }
        granted |= group.start_lease_by_consent(now, members_known_at, fenced);
        group
            .lease
            .record_answer(now, member, granted || leads_newest, consents);
        if newest > group.leader.term {
            group.leader.record_term(now, newest);
            group.lease.renewal_due = true;
            let leader = group.leader.member;
            let leader = leader.and_then(|leader| group.members.get_mut(leader));
            if let Some(leader) = leader.filter(|leader| leader.term < newest) {
                leader.denies_leadership = true;
            }
        }
        let evidence = effect::LeaseEvidence::Status {
            member,
            took: now.saturating_duration_since(asked_at),
            status,
        };
        group.log_lease(now, fenced, group_id, evidence, effects);
    }
}
