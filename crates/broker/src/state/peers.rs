//! Other proxies, and which of them are homes of a group.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::homes;
use crate::member_state;
use crate::state;
use crate::topology;

/// Statements that are forwarded to one home at the same time, as slots: more than any member has, since the home queues.
const HOME_SLOTS: u32 = 16;
/// Time for which a home has to fail before another proxy takes its place: longer than the restart of a process.
const HOME_LOST: Duration = Duration::from_secs(3);

impl state::Broker {
    pub(super) fn peer_listed(
        &mut self,
        now: Instant,
        peer: topology::Peer,
        effects: &mut Vec<effect::Effect>,
    ) {
        if peer.name != self.settings.vm_name {
            let known = self.peers.insert(id::of(&peer.name), peer.clone());
            if known.is_some_and(|known| known != peer) {
                // It has moved; connections to the old place are of no use.
                self.forget_homes_of(now, &peer.name, effects);
            }
            self.choose_homes(now, effects);
        }
    }

    pub(super) fn peer_unlisted(
        &mut self,
        now: Instant,
        name: &str,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.peers.remove(id::of(name));
        self.forget_homes_of(now, name, effects);
        self.choose_homes(now, effects);
    }

    pub(super) fn peers_read(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        self.peers_read = true;
        self.choose_homes(now, effects);
    }

    /// Leaves a proxy alone as a home of every group, once it has failed as one: it is the same process on the same way.
    pub(super) fn home_has_failed(&mut self, now: Instant, home: id::MemberId, refused: bool) {
        for state in self.other_seats_of(home) {
            state.failed(now, refused);
        }
    }

    /// Uses a proxy again as a home of every group, once it has answered as one.
    pub(super) fn home_is_back(
        &mut self,
        now: Instant,
        home: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut back = Vec::new();
        for state in self.other_seats_of(home).filter(|state| state.is_suspect()) {
            state.backoff_until = None;
            state.answered(now, None);
            back.push(state.entry.id);
        }
        for state in back {
            self.pump_of(now, state, effects);
        }
    }

    /// Returns the members of the same proxy as a home of other groups; none for a member.
    fn other_seats_of(
        &mut self,
        home: id::MemberId,
    ) -> impl Iterator<Item = &mut member_state::MemberState> {
        let name = match self.is_peer(home) {
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

    fn forget_homes_of(&mut self, now: Instant, name: &str, effects: &mut Vec<effect::Effect>) {
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group in groups {
            self.forget(now, id::member(group, name), effects);
        }
    }

    /// Chooses the homes of all groups anew.
    pub(super) fn choose_homes(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let me = id::of(&self.settings.vm_name);
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group_id in groups {
            let chosen = self.homes_of(now, group_id, me);
            // Before the others are known, everyone would be a home and fill up the members' connections.
            let is_home = self.peers_read && chosen.contains(&me);
            let homes: Vec<topology::Member> = chosen
                .iter()
                .filter_map(|proxy| self.peers.get(*proxy))
                .map(|peer| as_member(group_id, peer))
                .collect();
            let group = self.groups.entry(group_id);
            group.is_home = is_home;
            for (_, state) in group.members.iter_mut() {
                state.share(chosen.len());
            }
            if is_home {
                // A home forwards nothing.
                continue;
            }
            let dropped: Vec<id::MemberId> = group
                .homes
                .keys()
                .filter(|home| homes.iter().all(|member| member.id != *home))
                .collect();
            for home in homes {
                if !group.homes.contains(home.id) {
                    self.members.insert(home.id, group_id);
                    group
                        .homes
                        .insert(home.id, member_state::MemberState::new(home, now));
                }
            }
            for home in dropped {
                // It may still come back; one that fails is kept to be tried again.
                let group = self.groups.entry(group_id);
                let failing = group
                    .homes
                    .get(home)
                    .is_some_and(|state| state.failures > 0);
                if !failing {
                    self.forget(now, home, effects);
                }
            }
        }
    }

    fn homes_of(&self, now: Instant, group_id: id::GroupId, me: id::ProxyId) -> Vec<id::ProxyId> {
        let Some(group) = self.groups.get(group_id) else {
            return Vec::new();
        };
        let mut domains: Vec<&str> = group
            .members
            .values()
            .map(|state| state.entry.place.domain.as_ref())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let own = homes::Candidate {
            proxy: me,
            domain: &self.settings.place.domain,
        };
        let others = self
            .peers
            .iter()
            .filter(|(_, peer)| !is_lost(group.homes.get(id::member(group_id, &peer.name)), now))
            .map(|(proxy, peer)| homes::Candidate {
                proxy,
                domain: &peer.place.domain,
            });
        let candidates: Vec<homes::Candidate<'_>> = others.chain([own]).collect();
        homes::choose(group_id, &domains, &candidates)
    }
}

impl state::Group {
    /// Returns the members to which requests are forwarded; none if this proxy serves them itself.
    pub(super) fn forwards_to(
        &self,
    ) -> Option<&sorted::Map<id::MemberId, member_state::MemberState>> {
        (!self.is_home && !self.homes.is_empty()).then_some(&self.homes)
    }
}

fn is_lost(home: Option<&member_state::MemberState>, now: Instant) -> bool {
    let failing_since = home.and_then(|state| state.failing_since);
    failing_since.is_some_and(|since| now.saturating_duration_since(since) > HOME_LOST)
}

fn as_member(group: id::GroupId, peer: &topology::Peer) -> topology::Member {
    topology::Member {
        id: id::member(group, &peer.name),
        name: peer.name.clone(),
        group,
        address: peer.address,
        place: peer.place.clone(),
        slots: HOME_SLOTS,
        leaving: false,
        listed_as_leader: false,
        revision: 0,
    }
}
