//! The periodic tick: members that are gone, timeouts, probes and idle connections.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::state;
use crate::state::conns;
use crate::state::directory;

/// Time after the last request that this proxy did not forward from which a group counts as idle.
const ACTIVITY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time since the newest sample or the last probe after which the leader of an active group is probed. Reads of a route that
/// allows less staleness than this cause probes of their own.
const ACTIVE_SAMPLE_AGE_MAX: Duration = Duration::from_millis(600);
/// Time since the newest sample or the last probe after which the leader of an idle group is probed, so that its failure is
/// detected before the next caller needs it.
const IDLE_SAMPLE_AGE_MAX: Duration = Duration::from_millis(2_500);

/// Interval at which a connection is opened to a member that the directory no longer lists, to see whether it still runs.
const UNLISTED_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a member that the directory no longer lists must have been asked without an answer before it is dropped: its
/// entry would be back by then, and the slowest member has accepted a connection.
const UNANSWERED_TIME: Duration =
    directory::RELIST_GRACE_PERIOD.saturating_add(effect::MEMBER_CONNECT_TIMEOUT);
/// Time for which a member that the directory no longer lists is kept in a group that this proxy does not watch, in which it is not
/// asked. Bounds the number of members that are kept.
const UNWATCHED_RETENTION: Duration = Duration::from_secs(60);

impl state::Broker {
    pub(super) fn tick(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        self.drop_gone_members(now, effects);
        self.forget_lost_members(now);
        self.homes_outdated |= self.has_failing_home();
        self.choose_homes_if_outdated(now, effects);
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group_id in groups {
            self.reelect(now, group_id, effect::LeaderEvidence::Tick, effects);
            let watches_leader = self.watches_leader(now, group_id);
            let group = self.groups.entry(group_id);
            group.needs_sample |= watches_leader && sample_due(group, now);
            self.serve_queue(now, group_id, effects);
            self.probe_if_needed(now, group_id, effects);
            self.renew_lease_if_due(now, group_id, effects);
            self.supervise_leader(now, group_id, effects);
            self.search_leader(now, group_id, effects);
            self.follow_choices(now, group_id, effects);
        }
        self.close_timed_out(now, effects);
        self.end_avoidances(now, effects);
    }

    fn end_avoidances(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        for (_, group) in self.groups.iter_mut() {
            let members = group.members.iter_mut().chain(group.homes.iter_mut());
            for (_, state) in members {
                if state.end_avoidance(now) {
                    effects.push(conns::avoidance(state, false));
                }
            }
        }
    }

    /// Drops the members that count as gone and have not answered. A member that is only cut off from the directory goes on
    /// receiving from its leader, so a failover must hold it as well; so must the failover of a proxy that comes to watch the group
    /// later.
    fn drop_gone_members(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let mut gone = Vec::new();
        let mut unchecked = Vec::new();
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group_id in groups {
            let watched = self.watches_leader(now, group_id);
            let reached_since = self.directory_reached_since;
            let group = self.groups.entry(group_id);
            let is_asked = watched || group.attempt.is_some();
            for (member, state) in group.members.iter_mut() {
                let Some(unlisted_since) = state.unlisted_since else {
                    continue;
                };
                let was_gone = state.counts_as_gone;
                let is_leader = group.leader.member == Some(member);
                let is_gone = directory::is_relist_over(now, reached_since, unlisted_since);
                state.counts_as_gone = !is_leader && (was_gone || is_gone);
                self.homes_outdated |= state.counts_as_gone != was_gone;
                if is_leader {
                    continue;
                }
                if !is_asked {
                    state.unanswered_since = None;
                    if is_gone
                        && now.saturating_duration_since(unlisted_since) >= UNWATCHED_RETENTION
                    {
                        gone.push(member);
                    }
                } else if is_gone && state.has_not_answered_for(now, UNANSWERED_TIME) {
                    gone.push(member);
                } else if state.is_check_due(now, UNLISTED_CHECK_INTERVAL) {
                    state.unanswered_since.get_or_insert(now);
                    unchecked.push(member);
                }
            }
        }
        for member in unchecked {
            self.open_connection(member, None, effects);
        }
        for member in gone {
            self.record_missing(member);
            self.drop_member(now, member, effects);
        }
    }

    /// Records the end of a group's probe, and handles its answer like that of any statement.
    pub(super) fn record_probe_end(
        &mut self,
        now: Instant,
        report: event::StatementReport,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(group_id) = self.member_groups.get(report.member).copied() {
            let group = self.groups.entry(group_id);
            group.probing = false;
            group.needs_sample |= !matches!(report.answer, event::Answer::Led { .. });
        }
        self.record_statement_end(now, report, effects);
    }
}

/// Returns whether the read index of a watched group needs a newer sample.
fn sample_due(group: &state::GroupState, now: Instant) -> bool {
    let age = |then: Option<Instant>| then.map(|then| now.saturating_duration_since(then));
    let active = age(group.last_direct_request_at).is_some_and(|age| age < ACTIVITY_TIMEOUT);
    let age_max = if active {
        ACTIVE_SAMPLE_AGE_MAX
    } else {
        IDLE_SAMPLE_AGE_MAX
    };
    let sampled_or_probed_at = group.index.newest_at().max(group.last_probe_at);
    age(sampled_or_probed_at).is_none_or(|age| age > age_max)
}
