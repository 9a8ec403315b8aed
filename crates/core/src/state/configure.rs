//! Putting a configuration in force.

use std::time::Instant;

use crate::effect;
use crate::group;
use crate::peer;
use crate::route;
use crate::state::State;
use crate::topology;

impl<P: route::Policy> State<P> {
    /// Puts a configuration in force unless it is older than the one that is.
    pub(super) fn configure(
        &mut self,
        now: Instant,
        topology: topology::Topology,
        head: peer::Head,
        _effects: &mut Vec<effect::Effect>,
    ) {
        if head.version <= self.head.version {
            return;
        }
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
        self.share(now);
    }

    /// Divides each member's connections among the proxies alive.
    pub(super) fn share(&mut self, now: Instant) {
        let proxies = u32::try_from(self.peers.alive(now).count() + 1).unwrap_or(u32::MAX);
        for (id, config) in self.topology.groups.iter() {
            let Some(group) = self.groups.get_mut(id) else {
                continue;
            };
            for (member, settings) in config.members.iter() {
                if let Some(pool) = group.pools.get_mut(member) {
                    pool.share = (settings.connections / proxies).max(1);
                }
            }
        }
    }
}
