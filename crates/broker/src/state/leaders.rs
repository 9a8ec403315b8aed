//! Observation of the leaders of groups, and their replacement.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::event;
use crate::failover;
use crate::leader;
use crate::member_state;
use crate::state;

/// Range in ms over which proxies spread the start of an attempt, so that usually only one proxy writes a claim.
const START_SPREAD_MS: u64 = 150;
/// Delay between a finished failover and the next attempt in the same group. The directory's update about the new leader
/// must arrive meanwhile.
const NEXT_FAILOVER_DELAY: Duration = Duration::from_millis(1_500);

/// Steps of an attempt in which members are asked for the ends of their logs.
const ASKING_STEPS: [&str; 3] = ["surveying", "stopping", "holding"];
/// Answer time of a commit above which it may have waited for a confirmation, because replicas were held.
const COMMIT_WAIT_USUAL: Duration = Duration::from_millis(500);
/// Time for which a proxy that is no home watches the leader after the last request that it did not forward.
const WATCH_GRACE_PERIOD: Duration = Duration::from_secs(3);

impl state::Broker {
    /// Records what the end of a statement shows about the group's leader.
    pub(super) fn record_leader_evidence(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        report: &event::StatementReport,
        effects: &mut Vec<effect::Effect>,
    ) {
        let fenced = self.settings.fenced;
        let group = self.groups.entry(group_id);
        let is_outdated = group.leader.is_outdated(&group.members);
        let Some(state) = group.members.get_mut(report.member) else {
            // The answer of a home is no evidence about the leader.
            return;
        };
        match report.answer {
            event::Answer::Led { sent_at, commit } => {
                let waited = commit && report.took.is_some_and(|took| took > COMMIT_WAIT_USUAL);
                if waited {
                    group.lease.trust.doubt(now);
                }
                let logged_term = report.point.map_or(0, |point| point.term);
                let known_term = match fenced {
                    // Only the leader of the newest term answers so.
                    true => group.leader.term_known_by(sent_at),
                    // A replaced leader that leads on answers so, too.
                    false => state.led_term_known_by(sent_at),
                };
                let term = logged_term.max(known_term);
                state.record_led_term(now, term);
                let confirmed = group.leader.record_confirmation(
                    now,
                    sent_at,
                    report.member,
                    term,
                    fenced,
                    is_outdated,
                );
                if confirmed {
                    group.lease.trust.record_contact(sent_at);
                    state.denies_leadership = false;
                    if let Some(point) = report.point {
                        group.index.record(sent_at, term, point);
                        group.leader.points.record_leader_end(term, point);
                    }
                    if commit {
                        group.leader.record_commit(now, sent_at, report.point);
                    }
                }
            }
            event::Answer::Silent { commit: true }
                if group.leader.member == Some(report.member) =>
            {
                let took = report.took.unwrap_or_default();
                group
                    .leader
                    .record_lost_commit(now.checked_sub(took).unwrap_or(now));
            }
            _ => {}
        }
        let evidence = effect::LeaderEvidence::Statement(*report);
        self.reelect(now, group_id, evidence, effects);
    }

    /// Determines the leader of a group again after an observation, and logs a change.
    pub(super) fn reelect(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        evidence: effect::LeaderEvidence,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.entry(group_id);
        group.leader.elect(&group.members, now);
        if group.logged_leader != group.leader.member {
            group.logged_leader = group.leader.member;
            group.lease.trust.doubt(now);
            group.belief_changed = true;
            if let Some(leader) = group.leader.member {
                let proxy = id::of(&self.settings.name);
                group.choice_log.record_leader(now, proxy, group_id, leader);
            }
            effects.push(effect::Effect::RecordChange(effect::StateChange::Leader {
                group: group_id,
                member: group.leader.member,
                term: group.leader.term,
                evidence,
            }));
            self.serve_queue(now, group_id, effects);
        }
    }

    /// Applies a member's answer to a command, and continues the attempt that sent the command.
    pub(super) fn record_command_end(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        member: id::MemberId,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(status) = status {
            self.watch_stopped_leader(group_id, member, status.received, effects);
            if let Some(group) = self.groups.get_mut(group_id)
                && let Some(state) = group.members.get(member)
            {
                let log = &mut group.failover_log;
                log.record_answer(now, state, asked_at, status);
            }
            self.record_status(now, group_id, member, asked_at, status);
            let status = Some(status);
            let evidence = effect::LeaderEvidence::Status { member, status };
            self.reelect(now, group_id, evidence, effects);
        }
        self.advance_failover(now, group_id, effects, |attempt, roster, out| {
            // An earlier attempt, which has released its members since, may have asked.
            match asked_at < attempt.began_at() {
                true => failover::Progress::Ongoing,
                false => attempt.apply_status(now, member, asked_at, status, roster, out),
            }
        });
    }

    /// Applies a member's status, which was asked for at `asked_at`, to the beliefs about the member and the leader.
    pub(super) fn record_status(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        member: id::MemberId,
        asked_at: Instant,
        status: event::MemberStatus,
    ) {
        let fenced = self.settings.fenced;
        let group = self.groups.entry(group_id);
        let is_outdated = group.leader.is_outdated(&group.members);
        let Some(state) = group.members.get_mut(member) else {
            return;
        };
        state.term = state.term.max(status.term);
        if state.is_suspect() {
            // It may have restarted and forgotten a hold.
            group.lease.trust.doubt(now);
        }
        state.record_answer(now, None);
        if status.leads {
            state.record_led_term(now, status.term);
        }
        // Of answers in the same term that overtook each other, the one to the last question counts.
        let overtaken = state.newest_status.is_some_and(|(newest_asked_at, term)| {
            newest_asked_at > asked_at && term >= status.term
        });
        if overtaken {
            return;
        }
        state.newest_status = Some((asked_at, status.term));
        let leads = status.leads && status.term >= group.leader.term;
        state.denies_leadership = !leads && state.listed_as_leader_since <= Some(asked_at);
        if leads {
            let term = status.term;
            let confirmed =
                group
                    .leader
                    .record_confirmation(now, asked_at, member, term, fenced, is_outdated);
            if confirmed {
                group.lease.trust.record_contact(asked_at);
                group.leader.points.record_leader_end(term, status.received);
            }
        }
    }

    /// Starts an attempt to replace the leader if there is a reason, or continues the current attempt.
    pub(super) fn supervise_leader(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let reason = self
            .watches_leader(now, group_id)
            .then(|| self.reason_to_replace(now, group_id))
            .flatten();
        // A leader that answers can hand over to a member that has its whole log, whichever members are listed.
        let is_complete = self.is_directory_complete(now);
        let is_answering = reason.is_none() && self.leader(group_id).is_some();
        let reason =
            reason.filter(|reason| is_complete || *reason == leader::ReplaceReason::Leaving);
        let (proxy_name, fenced) = (self.settings.name.clone(), self.settings.fenced);
        let group = self.groups.entry(group_id);
        let droppable = group
            .attempt
            .as_ref()
            .is_some_and(failover::Attempt::may_be_dropped);
        if is_answering {
            group.withheld_since = None;
        }
        match reason {
            None if droppable => group.attempt = None,
            Some(reason) if group.attempt.is_none() => {
                if group.next_attempt_at.is_some_and(|next_at| now < next_at) {
                    return;
                }
                let spread_ms =
                    id::rendezvous_weight(id::of(&proxy_name), group_id) % START_SPREAD_MS;
                let start_at = now + Duration::from_millis(spread_ms);
                group.attempt = Some(failover::Attempt::new(
                    group_id,
                    &proxy_name,
                    fenced,
                    reason,
                    &group.leader,
                    start_at,
                ));
            }
            _ => {}
        }
        self.advance_failover(now, group_id, effects, |attempt, roster, out| {
            attempt.tick(now, roster, out)
        });
    }

    /// Returns whether this proxy watches the leader of the group and replaces it if need be: a home always does, any other
    /// proxy while it sends requests to members itself.
    pub(super) fn watches_leader(&self, now: Instant, group_id: id::GroupId) -> bool {
        self.groups.get(group_id).is_some_and(|group| {
            group.this_proxy_is_home
                || group
                    .last_direct_request_at
                    .is_some_and(|at| now.saturating_duration_since(at) < WATCH_GRACE_PERIOD)
        })
    }

    /// Returns the reason to replace the leader of a group, if there is one.
    fn reason_to_replace(
        &self,
        now: Instant,
        group_id: id::GroupId,
    ) -> Option<leader::ReplaceReason> {
        let group = self.groups.get(group_id)?;
        self.topology.groups.get(group_id)?;
        // The only member of a group cannot be replaced.
        let leader = group.leader.member;
        let counted = group
            .members
            .values()
            .filter(|state| Some(state.entry.id) == leader || state.is_present());
        if counted.count() < 2 {
            return None;
        }
        let leader = group
            .leader
            .member
            .and_then(|member| group.members.get(member));
        let grace_period_over = match leader {
            Some(leader) => self.is_gone(now, leader.unlisted_since),
            None => self.is_gone(now, group.leader.no_leader_since),
        };
        group
            .leader
            .reason_to_replace(&group.members, now, grace_period_over)
    }

    /// Passes an input to the current attempt, logs its step and applies its outcome. Does nothing without an attempt.
    pub(super) fn advance_failover(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
        apply_input: impl FnOnce(
            &mut failover::Attempt,
            &failover::roster::Roster,
            &mut Vec<effect::Effect>,
        ) -> failover::Progress,
    ) {
        let attempt = self
            .groups
            .get(group_id)
            .and_then(|group| group.attempt.as_ref());
        let Some(began_at) = attempt.map(failover::Attempt::began_at) else {
            return;
        };
        let roster = self.roster(now, group_id, began_at);
        let group = self.groups.entry(group_id);
        let Some(attempt) = group.attempt.as_mut() else {
            return;
        };
        let first_new_effect = effects.len();
        let progress = apply_input(attempt, &roster, effects);
        for effect in &mut effects[first_new_effect..] {
            assign_connection(effect, &mut group.members);
        }
        let new_effects = &effects[first_new_effect..];
        let reads = |effect: &effect::Effect| matches!(effect, effect::Effect::ReadDirectory(_));
        let asked_at = group.asked_after_leases_at;
        if asked_at.is_none_or(|at| at < began_at) && new_effects.iter().any(reads) {
            group.asked_after_leases_at = Some(now);
        }
        if new_effects.iter().any(withholds_choice) {
            group.withheld_since.get_or_insert(now);
        }
        let choice = group.failover_log.tell_choice(
            now,
            &self.settings.name,
            attempt,
            &roster,
            &group.members,
            &mut effects[first_new_effect..],
        );
        effects.extend(choice.map(effect::Effect::RecordChange));
        let stopped = group
            .failover_log
            .stopped_leader(group_id, attempt, &roster);
        effects.extend(stopped.map(effect::Effect::RecordChange));
        let (step, token, target) = attempt.step_token_and_target();
        let reason = attempt.reason;
        let step = match progress {
            failover::Progress::Ongoing => step,
            failover::Progress::Done { .. } => "done",
            failover::Progress::GivenUp { .. } => "given_up",
        };
        if group.logged_step != step && ASKING_STEPS.contains(&group.logged_step) {
            let ends = attempt.answered().filter_map(|(member, status)| {
                let state = group.members.get(member)?;
                Some(effect::StateChange::LogEnd {
                    group: group_id,
                    token,
                    member,
                    status,
                    leaving: state.entry.leaving,
                    first_listed_at: state.first_listed_at,
                })
            });
            effects.extend(ends.map(effect::Effect::RecordChange));
        }
        // Waiting is not logged before any other step: nothing has happened yet.
        if group.logged_step != step && !(step == "waiting" && group.logged_step.is_empty()) {
            group.logged_step = step;
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
        if let failover::Progress::Done { member, status } = progress
            && attempt.has_confirmed(member)
        {
            if let Some(log_end) = attempt.target_log_end() {
                group.leader.points.record_leader_end(status.term, log_end);
            }
            let log = &mut group.failover_log;
            log.start_comparison(now, attempt, &roster, member, status.term);
            let others = roster.members.iter().map(|other| other.member);
            for other in others.filter(|other| *other != member) {
                let asked = ask_for_comparison(group_id, other, &mut group.members);
                let asked = asked.or_else(|| {
                    let compared = group.failover_log.compare(group_id, other, None)?;
                    Some(effect::Effect::RecordChange(compared))
                });
                effects.extend(asked);
            }
        }
        match progress {
            failover::Progress::Ongoing => {}
            failover::Progress::Done { .. } => {
                group.attempt = None;
                group.withheld_since = None;
                group.failover_log.end_attempt();
                group.next_attempt_at = Some(now + NEXT_FAILOVER_DELAY);
                let evidence = effect::LeaderEvidence::Failover;
                self.reelect(now, group_id, evidence, effects);
                self.serve_queue(now, group_id, effects);
            }
            failover::Progress::GivenUp { retry_at } => {
                group.attempt = None;
                group.failover_log.end_attempt();
                group.next_attempt_at = Some(retry_at);
            }
        }
    }
}

/// Returns whether an effect tells that no member is promoted, because all of them may lack acknowledged commits.
fn withholds_choice(effect: &effect::Effect) -> bool {
    let effect::Effect::RecordChange(change) = effect else {
        return false;
    };
    matches!(change, effect::StateChange::ChoiceWithheld { .. })
}

/// Assigns an idle connection to a command, so that the command can be sent even if the member allows no further connection.
fn assign_connection(
    effect: &mut effect::Effect,
    members: &mut sorted::Map<id::MemberId, member_state::MemberState>,
) {
    if let effect::Effect::SendCommand { member, conn, .. } = effect
        && let Some(state) = members.get_mut(*member)
        && let Some(idle) = state.lease_any()
    {
        *conn = Some(idle.conn);
    }
}

/// Asks a member for its status on an idle connection, to compare it with a new leader. Without one, it is not asked.
fn ask_for_comparison(
    group: id::GroupId,
    member: id::MemberId,
    members: &mut sorted::Map<id::MemberId, member_state::MemberState>,
) -> Option<effect::Effect> {
    let state = members.get_mut(member)?;
    let idle = state.lease_any()?;
    Some(effect::Effect::AskStatus {
        group,
        conn: idle.conn,
        member,
        purpose: effect::StatusPurpose::Comparison,
    })
}
