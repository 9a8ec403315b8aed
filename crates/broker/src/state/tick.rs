//! The periodic tick: members that are gone, timeouts, probes and idle connections.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::state;

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

impl state::Broker {
    pub(super) fn tick(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        self.drop_gone_members(now, effects);
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
        }
        self.close_timed_out(now, effects);
    }

    /// Drops the members that count as gone and do not answer. A member that is only cut off from the directory goes on receiving
    /// from its leader, so a failover must hold it as well.
    fn drop_gone_members(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let mut gone = Vec::new();
        let mut unchecked = Vec::new();
        for (group_id, group) in self.groups.iter() {
            let watched = self.watches_leader(now, group_id);
            for state in group.members.values() {
                let member = state.entry.id;
                if state.unlisted_since.is_none() || self.is_leader(member) {
                    continue;
                }
                let answered = state
                    .answered_at
                    .is_some_and(|at| now.saturating_duration_since(at) < UNLISTED_CHECK_INTERVAL);
                if watched && !state.is_suspect() {
                    if !answered && state.opening == 0 {
                        unchecked.push(member);
                    }
                } else if self.is_gone(now, state.unlisted_since) {
                    gone.push(member);
                }
            }
        }
        for member in unchecked {
            self.open_connection(member, effects);
        }
        for member in gone {
            self.drop_member(now, member, effects);
        }
    }

    fn is_leader(&self, member: id::MemberId) -> bool {
        let group = self.member_groups.get(member);
        group.and_then(|group| self.leader(*group)) == Some(member)
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
