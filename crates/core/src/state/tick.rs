//! Handles ticks: expiry of requests, this proxy's roles for idle groups, heartbeats and surplus connections.

use std::cmp::Reverse;
use std::time::Instant;

use crate::effect;
use crate::id;
use crate::route;
use crate::state::State;
use crate::status;

impl<P: route::Policy> State<P> {
    pub(super) fn tick(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        for request in self.overdue(now) {
            self.expire_request(now, request, effects);
        }
        self.assign_roles(now);
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group in groups {
            self.tick_group(now, group, effects);
        }
        self.send_heartbeats(now, effects);
        self.update_shares(now);
        self.move_off_leaving_replicas(now, effects);
        self.close_surplus(now, effects);
    }

    /// Sets this proxy's role in each group: watchers send the members of idle groups more frequent status requests.
    fn assign_roles(&mut self, now: Instant) {
        let groups = self.groups.keys();
        let chosen_groups: Vec<_> = groups
            .filter(|group| self.is_chosen_watcher(now, *group))
            .collect();
        let count = self.groups.len();
        for (id, group) in self.groups.iter_mut() {
            let is_chosen_watcher = chosen_groups.binary_search(&id).is_ok();
            let role = status::Role::new(is_chosen_watcher, chosen_groups.len(), count);
            group.watch.set_role(now, role);
        }
    }

    /// Returns whether this proxy is one of the group's two chosen watchers. These are the proxy that ranks first by
    /// rendezvous hashing, and the highest-ranking proxy outside the failure domain of the first.
    fn is_chosen_watcher(&self, now: Instant, group: id::GroupId) -> bool {
        let this_proxy = (self.identity.proxy, &self.identity.place);
        let peers = self.peers.alive(now);
        let peers = peers.map(|(proxy, peer)| (proxy, &peer.message.place));
        let mut ranked: Vec<_> = peers.chain([this_proxy]).collect();
        ranked.sort_unstable_by_key(|(proxy, _)| Reverse(id::rendezvous_weight(group, *proxy)));
        let (first, place) = ranked[0];
        let second = ranked
            .iter()
            .find(|(_, other)| other.domain != place.domain);
        first == this_proxy.0 || second.is_some_and(|(proxy, _)| *proxy == this_proxy.0)
    }

    fn tick_group(&mut self, now: Instant, id: id::GroupId, effects: &mut Vec<effect::Effect>) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let results = group
            .watch
            .tick(now, &mut self.last_control_request, effects);
        self.apply_status_results(now, id, results, effects);
        self.run_failover(now, id, effects, |failover, context| failover.tick(context));
        let pools = self.groups.get(id).map(|group| &group.pools);
        let members: Vec<id::MemberId> = pools.map(|p| p.keys().collect()).unwrap_or_default();
        for member in members {
            self.open_connections(now, id, member, effects);
        }
    }

    fn close_surplus(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let draining = self.draining;
        let pools = self.groups.iter_mut().flat_map(|(_, g)| g.pools.iter_mut());
        let closed = pools.flat_map(|(_, pool)| match draining {
            true => pool.take_idle(),
            false => pool.remove_surplus(now),
        });
        for conn in closed {
            self.conn_members.remove(conn);
            effects.push(effect::Effect::Close(conn));
        }
    }
}
