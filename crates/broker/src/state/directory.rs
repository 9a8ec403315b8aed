//! The configuration and the directory of members.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::member_state;
use crate::state;
use crate::topology;

/// Time after the directory is reached again in which entries that lapsed meanwhile come back: 2 s by its contract, and
/// room for the news to arrive.
pub(super) const RELIST_FOR: Duration = Duration::from_millis(2_300);

impl state::Broker {
    pub(super) fn configured(
        &mut self,
        now: Instant,
        topology: topology::Topology,
        effects: &mut Vec<effect::Effect>,
    ) {
        if topology.version <= self.topology.version {
            return;
        }
        for group in topology.groups.keys() {
            self.groups.entry(group);
        }
        self.topology = topology;
        self.choose_homes(now, effects);
    }

    pub(super) fn listed(
        &mut self,
        now: Instant,
        member: topology::Member,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.forget_others_named(now, &member, effects);
        let group_id = member.group;
        self.members.insert(member.id, group_id);
        let group = self.groups.entry(group_id);
        match group.members.get_mut(member.id) {
            Some(state) if state.entry.revision > member.revision => return,
            Some(state) => state.update(member, now),
            None => {
                group
                    .members
                    .insert(member.id, member_state::MemberState::new(member, now));
            }
        }
        self.reelect(now, group_id, effects);
        self.choose_homes(now, effects);
    }

    /// An earlier incarnation, or one of another group, under the same name is gone for sure.
    fn forget_others_named(
        &mut self,
        now: Instant,
        member: &topology::Member,
        effects: &mut Vec<effect::Effect>,
    ) {
        let members = self
            .groups
            .values()
            .flat_map(|group| group.members.values());
        let older: Vec<id::MemberId> = members
            .filter(|state| state.entry.name == member.name && state.entry.id != member.id)
            .map(|state| state.entry.id)
            .collect();
        for id in older {
            self.forget(now, id, effects);
        }
    }

    pub(super) fn unlisted(&mut self, now: Instant, name: &str, revision: u64) {
        for (_, group) in self.groups.iter_mut() {
            for (_, state) in group.members.iter_mut() {
                if state.entry.name.as_ref() == name && state.entry.revision <= revision {
                    state.missing_since.get_or_insert(now);
                }
            }
        }
    }

    pub(super) fn directory(&mut self, now: Instant, reached: bool) {
        match reached {
            true => {
                self.directory_ok_since.get_or_insert(now);
            }
            false => self.directory_ok_since = None,
        }
    }

    /// Returns whether a member without an entry since then is gone: lapsed entries have had the time to come back.
    pub(super) fn is_gone(&self, now: Instant, missing_since: Option<Instant>) -> bool {
        let passed = |since: Option<Instant>| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= RELIST_FOR)
        };
        passed(missing_since) && passed(self.directory_ok_since)
    }

    pub(super) fn forget(
        &mut self,
        now: Instant,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group_id) = self.members.remove(member) else {
            return;
        };
        let group = self.groups.entry(group_id);
        let state = group.members.remove(member);
        if state.is_some() {
            effects.push(effect::Effect::RecordChange(effect::StateChange::Gone(
                member,
            )));
        }
        if let Some(state) = state.or_else(|| group.homes.remove(member)) {
            for idle in state.idle {
                self.conns.remove(idle.conn);
                effects.push(effect::Effect::Close(idle.conn));
            }
        }
        self.reelect(now, group_id, effects);
    }
}
