//! What happens as time passes.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::state;

/// Time after the last request during which a group's index is kept fresh and its leader is watched.
const ACTIVE_FOR: Duration = Duration::from_secs(3);
/// Longest age of the newest sample of an active group, as long as its routes allow it.
const SAMPLE_AGE_MAX: Duration = Duration::from_millis(600);
/// Time after which an idle group's leader is asked, so that its death does not wait for the next caller.
const IDLE_SAMPLE_AGE: Duration = Duration::from_millis(2_500);

impl state::Broker {
    pub(super) fn tick(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        self.forget_gone(now, effects);
        self.choose_homes(now, effects);
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group_id in groups {
            self.reelect(now, group_id, effects);
            let watches = self.watches(now, group_id);
            let group = self.groups.entry(group_id);
            group.wants_index |= watches && sample_due(group, now);
            self.pump(now, group_id, effects);
            self.probe_if_wanted(now, group_id, effects);
            self.govern(now, group_id, effects);
        }
        self.trim(now, effects);
    }

    fn forget_gone(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let members = self
            .groups
            .values()
            .flat_map(|group| group.members.values());
        let gone: Vec<id::MemberId> = members
            .filter(|state| self.is_gone(now, state.missing_since) && !self.leads(state.entry.id))
            .map(|state| state.entry.id)
            .collect();
        for member in gone {
            self.forget(now, member, effects);
        }
    }

    fn leads(&self, member: id::MemberId) -> bool {
        let group = self.members.get(member);
        group.and_then(|group| self.leader(*group)) == Some(member)
    }

    /// Ends the probe of a group; its answer arrives as any statement's.
    pub(super) fn probed(
        &mut self,
        now: Instant,
        report: event::Report,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(group_id) = self.members.get(report.member).copied() {
            let group = self.groups.entry(group_id);
            group.probing = false;
            group.wants_index |= !matches!(report.answer, event::Answer::Led { .. });
        }
        self.answered(now, report, effects);
    }
}

fn sample_due(group: &state::Group, now: Instant) -> bool {
    let age = |then: Option<Instant>| then.map(|then| now.saturating_duration_since(then));
    let active = age(group.served_at).is_some_and(|age| age < ACTIVE_FOR);
    let oldest = if active {
        SAMPLE_AGE_MAX
    } else {
        IDLE_SAMPLE_AGE
    };
    let newest = group.index.newest_at().max(group.probe_at);
    age(newest).is_none_or(|age| age > oldest)
}
