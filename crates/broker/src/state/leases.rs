//! Renewal of the leases of leaders, by questions to replicas.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::lease;
use crate::member_state;
use crate::place;
use crate::state;

/// Time after which a member that has not answered the question is passed over: several round trips between regions. The
/// question takes a slot, for which it may wait.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a member is passed over after an answer that granted no lease.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
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
    /// The lease.
    pub(super) lease: lease::LeaderLease,
    /// Whether the lease must be renewed.
    pub(super) renewal_due: bool,
    question: Option<Question>,
    /// Validity, term and member of the last [`effect::StateChange::Lease`].
    logged: Option<(bool, id::Term, id::MemberId)>,
}

impl LeaseState {
    /// Records that a member answered or failed to answer. After an answer that granted nothing, another one is asked.
    fn record_answer(&mut self, now: Instant, member: id::MemberId, granted: bool) {
        if self.question.is_some_and(|asked| asked.member == member) {
            let retry_at = now + REFUSAL_PAUSE;
            self.question = (!granted).then_some(Question { member, retry_at });
            self.renewal_due |= !granted;
        }
    }

    /// Logs the evidence if the lease has lapsed or become valid, its term has changed, or another member was asked.
    pub(super) fn log_evidence(
        &mut self,
        now: Instant,
        group: id::GroupId,
        evidence: effect::LeaseEvidence,
        effects: &mut Vec<effect::Effect>,
    ) {
        let valid = self
            .lease
            .expires_at()
            .is_some_and(|expires_at| now < expires_at);
        let term = self.lease.term();
        let member = match evidence {
            // Commits and questions alternate, which is no news.
            effect::LeaseEvidence::Commit { member } => {
                self.logged.map_or(member, |(_, _, logged)| logged)
            }
            effect::LeaseEvidence::Status { member, .. } => member,
        };
        if self.logged.replace((valid, term, member)) != Some((valid, term, member)) {
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

    /// Returns whether a member can be expected to grant the leader a lease.
    pub(super) fn may_renew_lease(&self) -> bool {
        let leader = self.leader.member;
        self.members.values().any(|state| {
            Some(state.entry.id) != leader && state.unlisted_since.is_none() && state.failures < 2
        })
    }

    /// Returns the member to ask next. A member that is listed as leader is asked itself if it is not known to lead the
    /// newest term, and a replica otherwise.
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
            (state.term == 0 || state.term < self.lease.lease.term())
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
        self.members
            .values()
            .filter(|state| Some(state.entry.id) != self.leader.member)
            .filter(|state| state.unlisted_since.is_none() && !state.is_backing_off(now))
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
    /// Asks a member for its status if the lease must be renewed and no question is under way. Without an idle connection,
    /// opens one.
    pub(super) fn renew_lease_if_due(
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
        if self.settings.fenced || !group.lease.renewal_due || waits {
            return;
        }
        let Some(member) = group.choose_witness(now, &self.settings.place) else {
            return;
        };
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        let Some(idle) = state.idle.pop() else {
            if state.opening == 0 && state.may_open(now) {
                self.open_connection(member, effects);
            }
            return;
        };
        state.leased += 1;
        let lease = &mut self.groups.entry(group_id).lease;
        lease.renewal_due = false;
        let retry_at = now + QUESTION_TIMEOUT;
        lease.question = Some(Question { member, retry_at });
        effects.push(effect::Effect::AskStatus {
            group: group_id,
            conn: idle.conn,
            member,
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
            self.record_status(now, group_id, member, status);
        }
        self.apply_lease_evidence(now, group_id, member, asked_at, status, effects);
        self.reelect(now, group_id, effects);
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
        let group = self.groups.entry(group_id);
        // The leader of a term is not held, so its own answers prove nothing about that term, also once it has stepped down.
        let led_term = group.members.get(member).map_or(0, |state| state.led_term);
        let grants = status
            .filter(|status| !status.leads && status.held_term == 0 && status.term > led_term);
        let leads = status.is_some_and(|status| status.leads);
        group
            .lease
            .record_answer(now, member, grants.is_some() || leads);
        if let Some(status) = grants {
            group.lease.lease.grant(status.term, asked_at);
        }
        let newest = status.map_or(0, |status| status.term);
        if newest > group.leader.term {
            group.leader.term = newest;
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
        group.lease.log_evidence(now, group_id, evidence, effects);
    }
}
