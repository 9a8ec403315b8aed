//! What proxies know together of a group whose leader is replaced: members that are missing, and points of its log.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::event;
use crate::failover;
use crate::homes;
use crate::leader;
use crate::member_state;
use crate::state;
use crate::topology;

/// Time for which a member that was lost may come back with its log: a crash of 8 s, and its entry.
const MISSING_MEMBER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which no member is promoted while it is not known whether all of them lack acknowledged commits.
const UNCERTAIN_CHOICE_TIMEOUT: Duration = MISSING_MEMBER_TIMEOUT;
/// Most proxies that are asked what they know of a group.
const WITNESSES_MAX: usize = 32;

/// Answer of a proxy that was asked what it knows of a group.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Testimony {
    /// Instant at which the proxy was asked, or an earlier one.
    asked_at: Option<Instant>,
    /// Whether the proxy has known the group for long enough to have seen the last commits that it sent there.
    is_complete: bool,
}

impl state::GroupState {
    /// Returns whether a member may lead the newest term, as far as this proxy knows. What a leader has acknowledged, a replica has as
    /// well, so its log need not be awaited.
    fn may_lead_newest_term(&self, state: &member_state::MemberState) -> bool {
        let other_leads = self
            .leader
            .member
            .is_some_and(|leader| leader != state.entry.id);
        match state.led_term {
            0 => state.entry.listed_as_leader && !state.denies_leadership && !other_leads,
            led_term => led_term >= self.leader.term,
        }
    }

    /// Returns a member without an entry as missing; none if its log ends with it, or need not be awaited.
    fn as_missing(&self, state: &member_state::MemberState) -> Option<event::MissingMember> {
        let known_at = state.answered_at.max(state.unlisted_since)?;
        let is_awaited = !state.entry.leaving && !self.may_lead_newest_term(state);
        is_awaited.then(|| event::MissingMember {
            entry: state.entry.clone(),
            awaited_until: known_at + MISSING_MEMBER_TIMEOUT,
            is_silent: state.is_suspect(),
        })
    }
}

impl state::Broker {
    /// Returns what this proxy knows of a group.
    pub fn knowledge(&self, now: Instant, group: id::GroupId) -> event::GroupKnowledge {
        let Some(group) = self.groups.get(group) else {
            return event::GroupKnowledge::default();
        };
        let has_answered_lately = |state: &member_state::MemberState| {
            let is_recent = |at: Instant| now < at + MISSING_MEMBER_TIMEOUT;
            state.answered_at > state.unlisted_since && state.answered_at.is_some_and(is_recent)
        };
        let runs = |state: &&member_state::MemberState| {
            let is_listed = state.unlisted_since.is_none();
            !state.is_suspect() && (is_listed || has_answered_lately(state))
        };
        let running = group.members.values().filter(runs);
        let unlisted = group.members.values().filter(|state| {
            let is_unlisted = state.unlisted_since.is_some();
            is_unlisted && !runs(state)
        });
        let missing = unlisted
            .filter_map(|state| group.as_missing(state))
            .chain(group.missing.values().cloned());
        event::GroupKnowledge {
            running: running.map(|state| state.entry.clone()).collect(),
            missing: missing
                .filter(|missing| now < missing.awaited_until)
                .collect(),
            points: group.leader.points,
            known_since: self.configured_at,
        }
    }

    /// Records what another proxy has told.
    pub(super) fn record_told(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        proxy: id::ProxyId,
        asked_at: Instant,
        knowledge: event::GroupKnowledge,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        let testimony = group.testimonies.entry(proxy);
        testimony.asked_at = testimony.asked_at.max(Some(asked_at));
        testimony.is_complete = is_known_for_long(now, knowledge.known_since)
            || knowledge.points.sufficient().is_some();
        group.leader.points.merge(knowledge.points);
        let is_of_group = |member: &topology::Member| member.group == group_id;
        for member in knowledge.running.into_iter().filter(is_of_group) {
            self.add_known_member(now, member, effects);
        }
        for missing in knowledge.missing {
            if is_of_group(&missing.entry) {
                self.add_told_missing(now, missing, effects);
            }
        }
    }

    /// Adds a member that another proxy misses, unless this one knows it or a later incarnation. One that nobody has asked is asked.
    fn add_told_missing(
        &mut self,
        now: Instant,
        missing: event::MissingMember,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(missing.entry.group) else {
            return;
        };
        let is_known = group.members.values().any(|state| {
            let is_newer = state.entry.revision >= missing.entry.revision;
            state.entry.name == missing.entry.name && is_newer
        });
        if is_known {
            return;
        }
        match group.missing.get_mut(missing.entry.id) {
            Some(known) => known.awaited_until = known.awaited_until.max(missing.awaited_until),
            None => {
                let unasked = (!missing.is_silent).then(|| missing.entry.clone());
                group.missing.insert(missing.entry.id, missing);
                if let Some(member) = unasked {
                    self.add_known_member(now, member, effects);
                }
            }
        }
    }

    /// Keeps a member that this proxy drops as missing.
    pub(super) fn record_missing(&mut self, member: id::MemberId) {
        let Some(group_id) = self.member_groups.get(member).copied() else {
            return;
        };
        let group = self.groups.entry(group_id);
        let state = group.members.get(member);
        if let Some(missing) = state.and_then(|state| group.as_missing(state))
            && !group.missing.contains(member)
        {
            group.missing.insert(member, missing);
        }
    }

    /// Forgets the missing members that are not awaited any more.
    pub(super) fn forget_lost_members(&mut self, now: Instant) {
        for (_, group) in self.groups.iter_mut() {
            group
                .missing
                .retain(|_, missing| now < missing.awaited_until);
        }
    }

    /// Forgets a missing member that has come back: under its name, or under another one at its address in the same group, with its log.
    pub(super) fn forget_missing(&mut self, listed: &topology::Member) {
        let is_back = |missing: &topology::Member| {
            let is_successor = missing.group == listed.group && missing.address == listed.address;
            missing.name == listed.name || is_successor
        };
        for (_, group) in self.groups.iter_mut() {
            group.missing.retain(|_, missing| !is_back(&missing.entry));
        }
    }

    /// Returns the proxies that are asked what they know of a group: its homes, also those in the failure domains of members that are
    /// missing, and then others that are likely to have been homes.
    pub fn witnesses(&self, group_id: id::GroupId) -> Vec<topology::Peer> {
        let homes = self.witness_homes(group_id);
        let mut peers: Vec<(id::ProxyId, &topology::Peer)> = self.peers.iter().collect();
        peers.sort_by_cached_key(|(proxy, _)| {
            let is_home = homes.binary_search(proxy).is_ok();
            let weight = id::rendezvous_weight(group_id, *proxy);
            std::cmp::Reverse((is_home, weight))
        });
        let peers = peers.into_iter().take(WITNESSES_MAX);
        peers.map(|(_, peer)| peer.clone()).collect()
    }

    /// Returns the other homes of a group among its witnesses, sorted.
    fn witness_homes(&self, group_id: id::GroupId) -> Vec<id::ProxyId> {
        let Some(group) = self.groups.get(group_id) else {
            return Vec::new();
        };
        let members = group.members.values().map(|state| &state.entry);
        let members = members.chain(group.missing.values().map(|missing| &missing.entry));
        let mut domains: Vec<&str> = members.map(|entry| entry.place.domain.as_ref()).collect();
        domains.sort_unstable();
        domains.dedup();
        let this_proxy = id::of(&self.settings.vm_name);
        let this_candidate = homes::Candidate {
            proxy: this_proxy,
            domain: &self.settings.place.domain,
        };
        let others = self.peers.iter().map(|(proxy, peer)| homes::Candidate {
            proxy,
            domain: &peer.place.domain,
        });
        let candidates: Vec<homes::Candidate<'_>> = others.chain([this_candidate]).collect();
        let mut homes = homes::choose(group_id, &domains, &candidates);
        homes.retain(|home| *home != this_proxy);
        homes.sort_by_cached_key(|home| std::cmp::Reverse(id::rendezvous_weight(group_id, *home)));
        homes.truncate(WITNESSES_MAX);
        homes.sort_unstable();
        homes
    }

    /// Returns the members of a group, and what this proxy and those that it has asked know of its log. `began_at` is the instant at which
    /// the attempt to replace the leader began.
    pub(super) fn roster(
        &self,
        now: Instant,
        group_id: id::GroupId,
        began_at: Instant,
    ) -> failover::roster::Roster {
        let Some(group) = self.groups.get(group_id) else {
            return failover::roster::Roster::default();
        };
        let members = group
            .members
            .values()
            .map(|state| failover::roster::Participant {
                member: state.entry.id,
                name: state.entry.name.clone(),
                listed: state.unlisted_since.is_none(),
                leaving: state.entry.leaving,
                may_run: leader::may_run(state, now),
                answered_at: state.answered_at,
            });
        let roster = failover::roster::Roster {
            members: members.collect(),
            is_complete: self.is_directory_complete(now),
            ..failover::roster::Roster::default()
        };
        if !self.is_replicated(group_id) {
            return roster;
        }
        let told = group.testimonies.iter();
        let told = told.filter(|(_, testimony)| testimony.asked_at >= Some(began_at));
        let told_by = told.filter_map(|(proxy, _)| Some(self.peers.get(proxy)?.vm_name.clone()));
        let is_patient = group
            .withheld_since
            .is_none_or(|since| now < since + UNCERTAIN_CHOICE_TIMEOUT);
        let mut missing = group.missing.iter().filter(|(member, missing)| {
            now < missing.awaited_until && !group.members.contains(*member)
        });
        failover::roster::Roster {
            points: group.leader.points,
            awaits_missing: is_patient && missing.next().is_some(),
            is_uninformed: is_patient && !self.is_informed(now, group_id, began_at),
            homes_told: self.have_homes_told(group_id, began_at),
            told_by: told_by.collect(),
            ..roster
        }
    }

    /// Returns whether the last commits of a group are known: a proxy has told of some, or this proxy and all homes have run for so long
    /// that there were none.
    fn is_informed(&self, now: Instant, group_id: id::GroupId, began_at: Instant) -> bool {
        let Some(group) = self.groups.get(group_id) else {
            return true;
        };
        let has_told = |home: &id::ProxyId| {
            let testimony = group.testimonies.get(*home);
            testimony.is_some_and(|told| told.is_complete && told.asked_at >= Some(began_at))
        };
        group.leader.points.required().is_some()
            || is_known_for_long(now, self.configured_at)
                && self.witness_homes(group_id).iter().all(has_told)
    }

    /// Returns whether all other homes of a group have told what they know, when they were asked after the end of the leases, and no proxy has
    /// told that may have forgotten commits: one that has just started.
    fn have_homes_told(&self, group_id: id::GroupId, began_at: Instant) -> bool {
        let Some(group) = self.groups.get(group_id) else {
            return false;
        };
        let asked_since = group.asked_after_leases_at.filter(|at| *at >= began_at);
        let has_told = |home: &id::ProxyId| {
            let testimony = group.testimonies.get(*home);
            testimony.is_some_and(|told| told.is_complete && told.asked_at >= asked_since)
        };
        let mut told = group.testimonies.values();
        let may_have_forgotten = told.any(|told| !told.is_complete && told.asked_at >= asked_since);
        let homes = self.witness_homes(group_id);
        self.peers_read
            && asked_since.is_some()
            && !may_have_forgotten
            && homes.iter().all(has_told)
    }
}

/// Returns whether a proxy that has known a group since an instant has seen its last commits, if it sends any there.
fn is_known_for_long(now: Instant, since: Option<Instant>) -> bool {
    since.is_some_and(|since| now.saturating_duration_since(since) >= MISSING_MEMBER_TIMEOUT)
}
