//! Updates of the configuration and of the directory of members.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::member_state;
use crate::revision;
use crate::state;
use crate::topology;

/// Time after the directory is reached again in which it lists members again whose entries it lost during its outage: at most
/// 2 s, which the directory guarantees, and 300 ms for the updates to arrive.
pub(super) const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2_300);

impl state::Broker {
    pub(super) fn apply_configuration(
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
        self.configured_at.get_or_insert(now);
        self.homes_outdated = true;
        self.choose_homes_if_outdated(now, effects);
    }

    pub(super) fn apply_member_entry(
        &mut self,
        now: Instant,
        member: topology::Member,
        effects: &mut Vec<effect::Effect>,
    ) {
        if self.is_outdated(&member) {
            return;
        }
        self.drop_other_incarnations(now, &member, effects);
        self.forget_missing(&member);
        let (group_id, member_id) = (member.group, member.id);
        self.member_groups.insert(member.id, group_id);
        let group = self.groups.entry(group_id);
        match group.members.get_mut(member.id) {
            Some(state) => {
                if state.unlisted_since.is_some() {
                    group.lease.trust.doubt(now);
                }
                // The domains of members that count as gone have no homes.
                self.homes_outdated |= state.counts_as_gone;
                state.apply_entry(member, now);
            }
            None => {
                group.lease.trust.doubt(now);
                group
                    .members
                    .insert(member.id, member_state::MemberState::new(member, now));
                self.homes_outdated = true;
            }
        }
        self.begin_pace(now, member_id, effects);
        self.reelect(now, group_id, effect::LeaderEvidence::Directory, effects);
        self.choose_homes_if_outdated(now, effects);
    }

    /// Returns whether an entry is older than the known one of its name, or than the removal of that one. A proxy that is behind may
    /// pass it on, or a newer answer has overtaken it.
    fn is_outdated(&self, member: &topology::Member) -> bool {
        let groups = self.groups.values();
        let mut known = groups
            .flat_map(|group| group.members.values())
            .filter(|state| state.entry.name == member.name);
        known.any(|state| {
            Some(member.revision) < state.missing_at || member.revision < state.entry.revision
        })
    }

    /// Adds a member that another proxy knows, as one that the directory does not list: it is held like the others, and dropped if it
    /// does not run. A member that this proxy knows is left as it is, and so is a later incarnation or one that is listed.
    pub(super) fn add_known_member(
        &mut self,
        now: Instant,
        member: topology::Member,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group_id = member.group;
        let is_known = |state: &member_state::MemberState| {
            let entry = &state.entry;
            let is_newer = state.unlisted_since.is_none() || entry.revision >= member.revision;
            entry.id == member.id || entry.name == member.name && is_newer
        };
        let knows_it = self
            .groups
            .values()
            .any(|group| group.members.values().any(is_known));
        if knows_it || !self.groups.contains(group_id) {
            return;
        }
        self.drop_other_incarnations(now, &member, effects);
        self.member_groups.insert(member.id, group_id);
        let group = self.groups.entry(group_id);
        group.lease.trust.doubt(now);
        let mut state = member_state::MemberState::new(member, now);
        state.unlisted_since = Some(now);
        group.members.insert(state.entry.id, state);
        self.homes_outdated = true;
        self.choose_homes_if_outdated(now, effects);
    }

    /// Drops other members of the same name: an earlier incarnation, or one in another group, cannot exist any more.
    fn drop_other_incarnations(
        &mut self,
        now: Instant,
        member: &topology::Member,
        effects: &mut Vec<effect::Effect>,
    ) {
        let members = self
            .groups
            .values()
            .flat_map(|group| group.members.values());
        let others: Vec<id::MemberId> = members
            .filter(|state| state.entry.name == member.name && state.entry.id != member.id)
            .map(|state| state.entry.id)
            .collect();
        for id in others {
            self.drop_member(now, id, effects);
        }
    }

    pub(super) fn record_unlisted(
        &mut self,
        now: Instant,
        name: &str,
        revision: revision::Revision,
    ) {
        for (_, group) in self.groups.iter_mut() {
            for (_, state) in group.members.iter_mut() {
                if state.entry.name.as_ref() == name && state.entry.revision <= revision {
                    state.unlisted_since.get_or_insert(now);
                    state.missing_at = state.missing_at.max(Some(revision));
                }
            }
        }
    }

    pub(super) fn record_directory_read(
        &mut self,
        now: Instant,
        answered_at: Option<Instant>,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.directory_answered_at = self.directory_answered_at.max(answered_at);
        match answered_at {
            Some(_) => {
                self.directory_reached_since.get_or_insert(now);
                self.record_members_known(now, effects);
            }
            None => self.record_directory_lost(now),
        }
    }

    /// Records the contact of this proxy's reader with the directory: this proxy knows what the reader knows.
    pub(super) fn record_directory_told(
        &mut self,
        now: Instant,
        contact: Option<event::DirectoryContact>,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.directory_reached_since = contact.map(|contact| {
            // The reader may not have noticed yet what this proxy has seen itself.
            let lost_at = self.directory_lost_at.unwrap_or(contact.reached_since);
            contact.reached_since.max(lost_at)
        });
        if let Some(contact) = contact {
            self.directory_answered_at = self.directory_answered_at.max(Some(contact.answered_at));
            self.record_members_known(now, effects);
        }
    }

    fn record_members_known(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let is_first = !std::mem::replace(&mut self.directory_read, true);
        if is_first {
            self.serve_all_queues(now, effects);
        }
    }

    /// Returns the contact with the directory; `None` if the last read failed, or there has been none.
    pub fn directory_contact(&self) -> Option<event::DirectoryContact> {
        Some(event::DirectoryContact {
            answered_at: self.directory_answered_at?,
            reached_since: self.directory_reached_since?,
        })
    }

    /// Records that the directory may lack entries of members that run, until they have had the time to write them again.
    pub(super) fn record_directory_lost(&mut self, now: Instant) {
        self.directory_reached_since = None;
        self.directory_lost_at = Some(now);
    }

    /// Returns whether the directory lists all members that run, as far as this proxy can know: it answers, and after its last
    /// outage, which may have ended just before the first read, the members have had the time to write their entries.
    pub(super) fn is_directory_complete(&self, now: Instant) -> bool {
        self.directory_reached_since
            .is_some_and(|since| now.saturating_duration_since(since) >= RELIST_GRACE_PERIOD)
    }

    /// Returns whether a member without an entry since `unlisted_since` counts as gone: its entry has had the time to come
    /// back after an outage of the directory.
    pub(super) fn is_gone(&self, now: Instant, unlisted_since: Option<Instant>) -> bool {
        let reached_since = self.directory_reached_since;
        unlisted_since.is_some_and(|since| is_relist_over(now, reached_since, since))
    }

    /// Drops a member or a home, and closes the idle connections to it.
    pub(super) fn drop_member(
        &mut self,
        now: Instant,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group_id) = self.member_groups.remove(member) else {
            return;
        };
        let group = self.groups.entry(group_id);
        let state = group.members.remove(member);
        if let Some(state) = &state {
            group.failover_log.record_dropped(now, state);
            self.homes_outdated = true;
            effects.push(effect::Effect::RecordChange(effect::StateChange::Gone(
                member,
            )));
        }
        if let Some(state) = state.or_else(|| group.homes.remove(member)) {
            for idle in state.idle {
                self.connections.remove(idle.conn);
                effects.push(effect::Effect::Close(idle.conn));
            }
        }
        self.reelect(now, group_id, effect::LeaderEvidence::Directory, effects);
    }
}

/// Returns whether an entry that has been missing since `unlisted_since` has had the time to come back, also after an outage of the
/// directory that ended at `reached_since`.
pub(super) fn is_relist_over(
    now: Instant,
    reached_since: Option<Instant>,
    unlisted_since: Instant,
) -> bool {
    let lasts = |since: Instant| now.saturating_duration_since(since) >= RELIST_GRACE_PERIOD;
    lasts(unlisted_since) && reached_since.is_some_and(lasts)
}
