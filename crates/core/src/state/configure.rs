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
}
