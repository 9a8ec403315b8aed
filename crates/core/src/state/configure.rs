//! Applies a new configuration.

use std::time::Instant;

use crate::effect;
use crate::group;
use crate::id;
use crate::peer;
use crate::request;
use crate::route;
use crate::state::State;
use crate::topology;

impl<P: route::Policy> State<P> {
    /// Puts a configuration in force if it is newer than the current one.
    pub(super) fn configure(
        &mut self,
        now: Instant,
        topology: topology::Topology,
        head: peer::Head,
        effects: &mut Vec<effect::Effect>,
    ) {
        if head.version <= self.head.version {
            return;
        }
        let to_route = self.empty_removed_pools(&topology, effects);
        self.groups.retain(|id, _| topology.groups.contains(id));
        for (id, config) in topology.groups.iter() {
            match self.groups.get_mut(id) {
                Some(group) => group.configure(id, config, now),
                None => {
                    self.groups.insert(id, group::Group::new(id, config, now));
                }
            }
        }
        self.topology = topology;
        self.head = head;
        self.update_shares(now);
        self.refuse_removed_services(now, effects);
        for id in to_route {
            self.route(now, id, effects);
        }
    }

    /// Closes the idle connections to members that are not in `topology`, and returns the requests that waited
    /// for a connection to them.
    fn empty_removed_pools(
        &mut self,
        topology: &topology::Topology,
        effects: &mut Vec<effect::Effect>,
    ) -> Vec<id::RequestId> {
        let mut to_route = Vec::new();
        for (id, group) in self.groups.iter_mut() {
            let config = topology.groups.get(id);
            let remains = |member| config.is_some_and(|config| config.members.contains(member));
            for (_, pool) in group
                .pools
                .iter_mut()
                .filter(|(member, _)| !remains(*member))
            {
                for conn in pool.take_idle() {
                    self.conn_members.remove(conn);
                    effects.push(effect::Effect::Close(conn));
                }
                to_route.extend(pool.take_queue());
            }
        }
        for id in &to_route {
            if let Some(active) = self.requests.get_mut(*id) {
                active.stage = request::Stage::Parked;
            }
        }
        to_route
    }

    /// Refuses waiting requests whose service was removed or now belongs to another group.
    fn refuse_removed_services(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let services = &self.topology.services;
        let is_served = |active: &request::Active| {
            let service = services.get(active.request.service);
            service.is_some_and(|service| service.group == active.group)
        };
        let unknown = self
            .requests
            .iter()
            .filter(|(_, active)| active.waits() && !is_served(active));
        let unknown: Vec<id::RequestId> = unknown.map(|(id, _)| id).collect();
        for id in unknown {
            self.refuse(now, id, effect::Reason::UnknownService, effects);
        }
    }
}
