//! Beliefs about leaders, and their replacement.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::event;
use crate::failover;
use crate::seat;
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
        if !group.seats.contains(report.member) {
            // A home's answer says nothing about who leads.
            return;
        }
        match report.answer {
            event::Answer::Led { asked_at, commit } => {
                if let Some(point) = report.point {
                    group.index.record(asked_at, point);
                }
                group.lead.witnessed(now, report.member, report.point);
                if commit {
                    group.lead.committed(now, asked_at, report.point);
                }
                if let Some(seat) = group.seats.get_mut(report.member) {
                    seat.denies_lead = false;
                }
            }
            event::Answer::Silent { commit: true } if group.lead.member == Some(report.member) => {
                let took = report.took.unwrap_or_default();
                group.lead.commit_lost(now.checked_sub(took).unwrap_or(now));
            }
            _ => {}
        }
        self.led_anew(now, group_id, effects);
    }

    /// Decides anew who leads a group, and notes a change.
    pub(super) fn led_anew(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.entry(group_id);
        group.lead.elect(&group.seats, now);
        if group.noted_leader != group.lead.member {
            group.noted_leader = group.lead.member;
            effects.push(effect::Effect::Note(effect::Note::Leader {
                group: group_id,
                member: group.lead.member,
                term: group.lead.term,
            }));
            self.pump(now, group_id, effects);
        }
    }

    pub(super) fn standing(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        member: id::MemberId,
        standing: Option<event::Standing>,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(standing) = standing {
            let group = self.groups.entry(group_id);
            if standing.leads && standing.term >= group.lead.term {
                group.lead.witnessed(now, member, Some(standing.received));
            }
            if let Some(seat) = group.seats.get_mut(member) {
                seat.denies_lead = !standing.leads;
                seat.answered(now, None);
            }
            self.led_anew(now, group_id, effects);
        }
        self.advance(now, group_id, effects, |attempt, voters, out| {
            attempt.answered(now, member, standing, voters, out)
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
                let attempt = failover::Attempt::new(group_id, &me, reason, &group.lead, begin_at);
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

    fn verdict(&self, now: Instant, group_id: id::GroupId) -> Option<crate::lead::Reason> {
        let group = self.groups.get(group_id)?;
        self.topology.groups.get(group_id)?;
        // A member that alone is left has nobody to hand over to.
        if group.seats.len() < 2 {
            return None;
        }
        let leader = group.lead.member.and_then(|member| group.seats.get(member));
        let listed = match leader {
            Some(leader) => self.is_gone(now, leader.missing_since),
            None => self.is_gone(now, group.lead.vacant_since),
        };
        group.lead.verdict(&group.seats, now, listed)
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
            .seats
            .values()
            .map(|seat| failover::Voter {
                member: seat.member.id,
                name: seat.member.name.clone(),
                eligible: !seat.member.leaving && seat.missing_since.is_none(),
            })
            .collect();
        let first = effects.len();
        let progress = act(attempt, &voters, effects);
        for effect in &mut effects[first..] {
            lend_connection(effect, &mut group.seats);
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
            effects.push(effect::Effect::Note(effect::Note::Failover {
                group: group_id,
                reason,
                step,
                token,
                target,
            }));
        }
        match progress {
            failover::Progress::Going => {}
            failover::Progress::Done { member, standing } => {
                group.attempt = None;
                group.attempt_after = Some(now + AFTER_DONE);
                if let Some(seat) = group.seats.get_mut(member) {
                    seat.denies_lead = false;
                }
                group.lead.witnessed(now, member, Some(standing.received));
                self.led_anew(now, group_id, effects);
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
fn lend_connection(effect: &mut effect::Effect, seats: &mut sorted::Map<id::MemberId, seat::Seat>) {
    if let effect::Effect::Ask { member, conn, .. } = effect
        && let Some(seat) = seats.get_mut(*member)
        && let Some(idle) = seat.idle.pop()
    {
        seat.leased += 1;
        *conn = Some(idle.conn);
    }
}
