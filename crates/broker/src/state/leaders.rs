//! Beliefs about leaders, and their replacement.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::event;
use crate::failover;
use crate::leader;
use crate::member_state;
use crate::state;

/// Range over which proxies spread the begin of a replacement, so that mostly one claim is written.
const BEGIN_SPREAD_MS: u64 = 150;
/// Pause after a replacement before the next one of the same group: the news of the new leader has to arrive.
const AFTER_DONE: Duration = Duration::from_millis(1_500);

/// Time after the last request served here for which a proxy that is no home watches the leader.
const WATCH_FOR: Duration = Duration::from_secs(3);

impl state::Broker {
    /// Takes what a statement's end says about who leads.
    pub(super) fn learn_lead(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        report: &event::Report,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.entry(group_id);
        if !group.members.contains(report.member) {
            // A home's answer says nothing about who leads.
            return;
        }
        match report.answer {
            event::Answer::Led { asked_at, commit } => {
                if let Some(point) = report.point {
                    group.index.record(asked_at, point);
                }
                group.leader.confirmed(now, report.member, report.point);
                if commit {
                    group.leader.committed(now, asked_at, report.point);
                }
                if let Some(state) = group.members.get_mut(report.member) {
                    state.denies_lead = false;
                }
            }
            event::Answer::Silent { commit: true }
                if group.leader.member == Some(report.member) =>
            {
                let took = report.took.unwrap_or_default();
                group
                    .leader
                    .commit_lost(now.checked_sub(took).unwrap_or(now));
            }
            _ => {}
        }
        self.reelect(now, group_id, effects);
    }

    /// Decides anew who leads a group, and notes a change.
    pub(super) fn reelect(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.entry(group_id);
        group.leader.elect(&group.members, now);
        if group.noted_leader != group.leader.member {
            group.noted_leader = group.leader.member;
            effects.push(effect::Effect::RecordChange(effect::StateChange::Leader {
                group: group_id,
                member: group.leader.member,
                term: group.leader.term,
            }));
            self.pump(now, group_id, effects);
        }
    }

    pub(super) fn status(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        member: id::MemberId,
        status: Option<event::MemberStatus>,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(status) = status {
            let group = self.groups.entry(group_id);
            if status.leads && status.term >= group.leader.term {
                group.leader.confirmed(now, member, Some(status.received));
            }
            if let Some(state) = group.members.get_mut(member) {
                state.denies_lead = !status.leads;
                state.answered(now, None);
            }
            self.reelect(now, group_id, effects);
        }
        self.advance(now, group_id, effects, |attempt, voters, out| {
            attempt.answered(now, member, status, voters, out)
        });
    }

    /// Begins a replacement where one is due, or goes on with the present one.
    pub(super) fn govern(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let reason = self
            .watches(now, group_id)
            .then(|| self.verdict(now, group_id))
            .flatten();
        let me = self.settings.name.clone();
        let group = self.groups.entry(group_id);
        let droppable = group
            .attempt
            .as_ref()
            .is_some_and(failover::Attempt::may_be_dropped);
        match reason {
            None if droppable => group.attempt = None,
            Some(reason) if group.attempt.is_none() => {
                if group.attempt_after.is_some_and(|after| now < after) {
                    return;
                }
                let spread_ms = id::rendezvous_weight(id::of(&me), group_id) % BEGIN_SPREAD_MS;
                let begin_at = now + Duration::from_millis(spread_ms);
                let attempt =
                    failover::Attempt::new(group_id, &me, reason, &group.leader, begin_at);
                group.attempt = Some(attempt);
            }
            _ => {}
        }
        self.advance(now, group_id, effects, |attempt, voters, out| {
            attempt.tick(now, voters, out)
        });
    }

    /// Returns whether this proxy looks after the group's leader: as a home, or while it serves requests itself.
    pub(super) fn watches(&self, now: Instant, group_id: id::GroupId) -> bool {
        self.groups.get(group_id).is_some_and(|group| {
            group.is_home
                || group
                    .served_at
                    .is_some_and(|at| now.saturating_duration_since(at) < WATCH_FOR)
        })
    }

    fn verdict(&self, now: Instant, group_id: id::GroupId) -> Option<leader::ReplaceReason> {
        let group = self.groups.get(group_id)?;
        self.topology.groups.get(group_id)?;
        // A member that alone is left has nobody to hand over to.
        if group.members.len() < 2 {
            return None;
        }
        let leader = group
            .leader
            .member
            .and_then(|member| group.members.get(member));
        let listed = match leader {
            Some(leader) => self.is_gone(now, leader.missing_since),
            None => self.is_gone(now, group.leader.vacant_since),
        };
        group.leader.verdict(&group.members, now, listed)
    }

    /// Hands something to the replacement under way, and takes what becomes of it.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
        act: impl FnOnce(
            &mut failover::Attempt,
            &[failover::Voter],
            &mut Vec<effect::Effect>,
        ) -> failover::Progress,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        let Some(attempt) = group.attempt.as_mut() else {
            return;
        };
        let voters: Vec<failover::Voter> = group
            .members
            .values()
            .map(|state| failover::Voter {
                member: state.entry.id,
                name: state.entry.name.clone(),
                eligible: !state.entry.leaving && state.missing_since.is_none(),
            })
            .collect();
        let first = effects.len();
        let progress = act(attempt, &voters, effects);
        for effect in &mut effects[first..] {
            lend_connection(effect, &mut group.members);
        }
        let (step, token, target) = attempt.describe();
        let reason = attempt.reason;
        let step = match progress {
            failover::Progress::Going => step,
            failover::Progress::Done { .. } => "done",
            failover::Progress::Failed { .. } => "given_up",
        };
        if group.noted_step != step && !(step == "waiting" && group.noted_step.is_empty()) {
            group.noted_step = step;
            effects.push(effect::Effect::RecordChange(
                effect::StateChange::Failover {
                    group: group_id,
                    reason,
                    step,
                    token,
                    target,
                },
            ));
        }
        match progress {
            failover::Progress::Going => {}
            failover::Progress::Done { member, status } => {
                group.attempt = None;
                group.attempt_after = Some(now + AFTER_DONE);
                if let Some(state) = group.members.get_mut(member) {
                    state.denies_lead = false;
                }
                group.leader.confirmed(now, member, Some(status.received));
                self.reelect(now, group_id, effects);
                self.pump(now, group_id, effects);
            }
            failover::Progress::Failed { retry_at } => {
                group.attempt = None;
                group.attempt_after = Some(retry_at);
            }
        }
    }
}

/// Lends an idle connection to a question, so that it does not depend on the member having a connection left.
fn lend_connection(
    effect: &mut effect::Effect,
    members: &mut sorted::Map<id::MemberId, member_state::MemberState>,
) {
    if let effect::Effect::SendCommand { member, conn, .. } = effect
        && let Some(state) = members.get_mut(*member)
        && let Some(idle) = state.idle.pop()
    {
        state.leased += 1;
        *conn = Some(idle.conn);
    }
}
