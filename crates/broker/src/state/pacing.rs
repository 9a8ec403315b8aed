//! The adaptive concurrency limits of members: what they learn, and what is logged of them.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::member_state;
use crate::pace;
use crate::place;
use crate::state;

/// Time for which another member of a group must have been known for a new entry to mean that its member has started. All entries
/// are new to a proxy that has just started itself.
const GROUP_KNOWN_MIN: Duration = Duration::from_secs(5);

impl state::Broker {
    /// Switches the adaptive concurrency limits on. Deployments that do not ask for them are served without.
    pub fn adapt_concurrency(&mut self) {
        self.adapts_concurrency = true;
        for (_, group) in self.groups.iter_mut() {
            for (_, state) in group.members.iter_mut() {
                state.pace.get_or_insert_default();
            }
        }
    }

    /// Returns the adaptive concurrency limit of a member; `None` in full use.
    pub fn pace_limit(&self, member: id::MemberId) -> Option<f64> {
        self.member_state(member)?.pace.as_ref()?.limit()
    }

    /// Begins to measure a listed member. One that has started since this proxy knows the group gets a limit.
    pub(super) fn begin_pace(
        &mut self,
        now: Instant,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group_id) = self.member_groups.get(member).copied() else {
            return;
        };
        let group = self.groups.entry(group_id);
        let was_known = |state: &member_state::MemberState| {
            now.saturating_duration_since(state.first_listed_at) >= GROUP_KNOWN_MIN
        };
        let knows_group = group.members.values().any(was_known);
        let leads = group.leader.member == Some(member);
        let Some(state) = group.members.get_mut(member) else {
            return;
        };
        if state.pace.is_some() || !self.adapts_concurrency {
            return;
        }
        let mut pace = pace::Pace::default();
        let cold_remaining = Duration::from_millis(state.entry.cold_remaining_ms.into());
        let has_started = knows_group && state.first_listed_at == now;
        if has_started || !cold_remaining.is_zero() {
            let usage = usage(state, leads, None);
            let change = pace.start(now, cold_remaining, &usage);
            effects.push(state_change(member, change));
        }
        state.pace = Some(pace);
    }

    /// Records the end of a statement at a member.
    pub(super) fn record_pace(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        report: &event::StatementReport,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(took) = report.took else {
            return;
        };
        let outcome = match report.answer {
            event::Answer::Served => pace::Outcome::Answered { took: Some(took) },
            event::Answer::Led { commit, .. } => pace::Outcome::Answered {
                took: (!commit).then_some(took),
            },
            event::Answer::Failed => pace::Outcome::Failed,
            event::Answer::Busy => pace::Outcome::Busy,
            event::Answer::Broken | event::Answer::Malformed => pace::Outcome::Broken,
            event::Answer::NotLeading
            | event::Answer::Behind
            | event::Answer::Unfinished
            | event::Answer::Silent { .. } => return,
        };
        let group = self.groups.entry(group_id);
        let leads = group.leader.member == Some(report.member);
        let others = group.members.iter();
        let others_ms = others
            .filter(|(other, state)| *other != report.member && !state.is_suspect())
            .filter_map(|(_, state)| state.pace.as_ref()?.recent_ms());
        let group_usual_ms = others_ms.reduce(f64::min);
        let Some(state) = group.members.get_mut(report.member) else {
            return;
        };
        let usage = usage(state, leads, group_usual_ms);
        let change = state
            .pace
            .as_mut()
            .and_then(|pace| pace.record(now, took, outcome, &usage));
        effects.extend(change.map(|change| state_change(report.member, change)));
    }
}

impl state::GroupState {
    /// Returns whether the limit of a member permits another statement.
    pub(super) fn pace_allows(
        &self,
        now: Instant,
        state: &member_state::MemberState,
        is_last_resort: bool,
    ) -> bool {
        let Some(pace) = &state.pace else {
            return true;
        };
        let leads = self.leader.member == Some(state.entry.id);
        let usage = pace::Usage {
            is_last_resort: leads || is_last_resort,
            ..usage(state, leads, None)
        };
        pace.allows(now, state.running + state.opening, &usage)
    }

    /// Returns the limited member that is expected to answer first, if that is sooner than the waiting requests get to others.
    pub(super) fn last_resort<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = &'a member_state::MemberState>,
    ) -> Option<&'a member_state::MemberState> {
        let wait_ms = || {
            let rate = self.answer_rate(now, false);
            let wait = self.estimated_wait(now, rate, self.queue.len());
            wait.as_secs_f64() * 1_000.0
        };
        let allowed = candidates.filter(|state| self.pace_allows(now, state, true));
        let answers = allowed.map(|state| (place::answer_ms(state, now), state));
        let (answer_ms, first) = answers.min_by(|a, b| a.0.total_cmp(&b.0))?;
        (wait_ms() > answer_ms).then_some(first)
    }

    /// Ends the pauses that are over.
    pub(super) fn end_pauses(&mut self, now: Instant) {
        for (_, state) in self.members.iter_mut() {
            if let Some(pace) = &mut state.pace {
                pace.end_pauses(now);
            }
        }
    }

    /// Returns the next end of a pause.
    pub(super) fn next_pause_end(&self) -> Option<Instant> {
        let members = self.members.values();
        let ends = members.filter_map(|state| state.pace.as_ref()?.resumes_at());
        ends.min()
    }
}

/// Records that a member did not answer.
pub(super) fn record_silence(
    state: &mut member_state::MemberState,
    now: Instant,
    effects: &mut Vec<effect::Effect>,
) {
    let usage = usage(state, false, None);
    let change = state
        .pace
        .as_mut()
        .and_then(|pace| pace.record_silence(now, &usage));
    effects.extend(change.map(|change| state_change(state.entry.id, change)));
}

fn usage(
    state: &member_state::MemberState,
    leads: bool,
    group_usual_ms: Option<f64>,
) -> pace::Usage {
    pace::Usage {
        slots: state.entry.slots,
        sharers: state.sharers,
        allowance_max: state.allowance_max(),
        leads,
        is_last_resort: leads,
        group_usual_ms,
    }
}

fn state_change(member: id::MemberId, change: pace::Change) -> effect::Effect {
    effect::Effect::RecordChange(effect::StateChange::Pace { member, change })
}
