//! Other proxies, and their use as homes of a group.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::homes;
use crate::member_state;
use crate::revision;
use crate::state;
use crate::topology;

/// Number of slots assumed for a home in the cost estimate and the allowance: more than any member has, since the home queues
/// statements itself.
const HOME_SLOTS: u32 = 16;
/// Time for which a home must have failed before another proxy takes its place: longer than the restart of a process.
const HOME_REPLACEMENT_DELAY: Duration = Duration::from_secs(3);

impl state::Broker {
    /// Returns the other proxies that are homes of a group, in no particular order.
    pub fn home_peers(&self, now: Instant, group: id::GroupId) -> Vec<topology::Peer> {
        let this_proxy = id::of(&self.settings.vm_name);
        let homes = self.homes_of(now, group, this_proxy).into_iter();
        homes
            .filter_map(|proxy| self.peers.get(proxy).cloned())
            .collect()
    }

    pub(super) fn apply_peer_entry(
        &mut self,
        now: Instant,
        peer: topology::Peer,
        effects: &mut Vec<effect::Effect>,
    ) {
        if peer.vm_name != self.settings.vm_name {
            let known = self.peers.insert(id::of(&peer.vm_name), peer.clone());
            if known.is_some_and(|known| known != peer) {
                // The proxy's entry has changed, so connections to it may lead to an old address.
                self.drop_proxy_as_home(now, &peer.vm_name, effects);
            }
            // All proxies often start together, so the homes are chosen once for many entries.
            self.homes_outdated = true;
        }
    }

    pub(super) fn remove_peer(
        &mut self,
        now: Instant,
        name: &str,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.peers.remove(id::of(name));
        self.drop_proxy_as_home(now, name, effects);
        self.homes_outdated = true;
    }

    pub(super) fn record_peers_read(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let is_first = !std::mem::replace(&mut self.peers_read, true);
        self.homes_outdated = true;
        self.choose_homes_if_outdated(now, effects);
        if is_first {
            self.serve_all_queues(now, effects);
        }
    }

    /// Records the failure of a proxy that is a home of one group also for the other groups whose home it is: its process and
    /// the network path to it are the same for all of them.
    pub(super) fn record_home_failure(
        &mut self,
        now: Instant,
        home: id::MemberId,
        process_gone: bool,
    ) {
        for state in self.same_proxy_in_other_groups(home) {
            state.record_failure(now, process_gone);
        }
    }

    /// After a proxy has answered as the home of one group, ends its back-off as the home of other groups.
    pub(super) fn record_home_recovery(
        &mut self,
        now: Instant,
        home: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut recovered = Vec::new();
        for state in self
            .same_proxy_in_other_groups(home)
            .filter(|state| state.is_suspect())
        {
            state.backoff_until = None;
            state.record_answer(now, None);
            recovered.push(state.entry.id);
        }
        for home in recovered {
            self.serve_queue_of_member(now, home, effects);
        }
    }

    /// Returns the states of the same proxy as a home of other groups; none if `home` is a member.
    fn same_proxy_in_other_groups(
        &mut self,
        home: id::MemberId,
    ) -> impl Iterator<Item = &mut member_state::MemberState> {
        let name = match self.is_home(home) {
            true => self
                .member_state(home)
                .map(|state| state.entry.name.clone()),
            false => None,
        };
        self.groups.iter_mut().filter_map(move |(group_id, group)| {
            let other = id::member(group_id, name.as_deref()?);
            group
                .homes
                .get_mut(other)
                .filter(|state| state.entry.id != home)
        })
    }

    fn drop_proxy_as_home(&mut self, now: Instant, name: &str, effects: &mut Vec<effect::Effect>) {
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group in groups {
            self.drop_member(now, id::member(group, name), effects);
        }
    }

    /// Returns whether a home fails, so that another proxy may have to take its place.
    pub(super) fn has_failing_home(&self) -> bool {
        let mut homes = self.groups.values().flat_map(|group| group.homes.values());
        homes.any(|home| home.failing_since.is_some())
    }

    /// Chooses the homes of all groups again if the choice is outdated.
    ///
    /// The choice takes time in proportion to the number of groups and of proxies, so it is not made at each event.
    pub(super) fn choose_homes_if_outdated(
        &mut self,
        now: Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        if std::mem::take(&mut self.homes_outdated) {
            self.choose_homes(now, effects);
        }
    }

    fn choose_homes(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        self.home_choices += 1;
        let this_proxy = id::of(&self.settings.vm_name);
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group_id in groups {
            let chosen = self.homes_of(now, group_id, this_proxy);
            // Before the other proxies are known, every proxy would choose itself, and together they would use up the
            // members' connections.
            let this_proxy_is_home = self.peers_read && chosen.contains(&this_proxy);
            let homes: Vec<topology::Member> = chosen
                .iter()
                .filter_map(|proxy| self.peers.get(*proxy))
                .map(|peer| as_member(group_id, peer))
                .collect();
            let config = self.topology.groups.get(group_id);
            let connections_max = config.map_or(u32::MAX, |config| config.connections_max);
            let serves_workspaces = self.topology.workspaces.is_some();
            let group = self.groups.entry(group_id);
            group.this_proxy_is_home = this_proxy_is_home;
            for (_, state) in group.members.iter_mut() {
                state.set_sharers(chosen.len(), connections_max, serves_workspaces);
            }
            if this_proxy_is_home {
                // A home does not forward requests.
                continue;
            }
            let replaced: Vec<id::MemberId> = group
                .homes
                .keys()
                .filter(|home| homes.iter().all(|member| member.id != *home))
                .collect();
            for home in homes {
                if !group.homes.contains(home.id) {
                    self.member_groups.insert(home.id, group_id);
                    group
                        .homes
                        .insert(home.id, member_state::MemberState::new(home, now));
                }
            }
            for home in replaced {
                // A failing home is kept and tried again, since its proxy may come back.
                let group = self.groups.entry(group_id);
                let failing = group
                    .homes
                    .get(home)
                    .is_some_and(|state| state.failures > 0);
                if !failing {
                    self.drop_member(now, home, effects);
                }
            }
        }
    }

    /// Returns the homes of a group. Proxies that have failed as homes for too long are left out.
    pub(super) fn homes_of(
        &self,
        now: Instant,
        group_id: id::GroupId,
        this_proxy: id::ProxyId,
    ) -> Vec<id::ProxyId> {
        let Some(group) = self.groups.get(group_id) else {
            return Vec::new();
        };
        // Proxies keep members that count as gone for different times, and must choose the same homes. Without any domain, all
        // proxies would be homes.
        let all_gone = group.members.values().all(|state| state.counts_as_gone);
        let mut domains: Vec<&str> = group
            .members
            .values()
            .filter(|state| !state.counts_as_gone || all_gone)
            .map(|state| state.entry.place.domain.as_ref())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let this_candidate = homes::Candidate {
            proxy: this_proxy,
            domain: &self.settings.place.domain,
        };
        let others = self
            .peers
            .iter()
            .filter(|(_, peer)| !is_lost(group.homes.get(id::member(group_id, &peer.vm_name)), now))
            .map(|(proxy, peer)| homes::Candidate {
                proxy,
                domain: &peer.place.domain,
            });
        let candidates: Vec<homes::Candidate<'_>> = others.chain([this_candidate]).collect();
        homes::choose(group_id, &domains, &candidates)
    }
}

impl state::GroupState {
    /// Returns the homes to which this proxy forwards requests; `None` if it sends them to members itself.
    pub(super) fn forwards_to(
        &self,
    ) -> Option<&sorted::Map<id::MemberId, member_state::MemberState>> {
        (!self.this_proxy_is_home && !self.homes.is_empty()).then_some(&self.homes)
    }
}

/// Returns whether a home has failed for so long that another proxy takes its place.
fn is_lost(home: Option<&member_state::MemberState>, now: Instant) -> bool {
    let failing_since = home.and_then(|state| state.failing_since);
    failing_since.is_some_and(|since| now.saturating_duration_since(since) > HOME_REPLACEMENT_DELAY)
}

/// Returns a member entry for a proxy as a home of a group.
fn as_member(group: id::GroupId, peer: &topology::Peer) -> topology::Member {
    topology::Member {
        id: id::member(group, &peer.vm_name),
        name: peer.vm_name.clone(),
        group,
        address: peer.address,
        place: peer.place.clone(),
        slots: HOME_SLOTS,
        leaving: false,
        listed_as_leader: false,
        cold_remaining_ms: 0,
        revision: revision::Revision::default(),
    }
}
