//! Moves requests away from members whose VM is leaving.

use std::time::Instant;

use crate::effect;
use crate::group;
use crate::id;
use crate::request;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    /// Closes the idle connections to leaving replicas and routes the requests in their queues again.
    ///
    /// A leaving primary keeps its connections and its queue until it is replaced, since no other member takes
    /// writes.
    pub(super) fn move_off_leaving_replicas(
        &mut self,
        now: Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut to_route = Vec::new();
        for (_, group) in self.groups.iter_mut() {
            for member in leaving_replicas(group) {
                let Some(pool) = group.pools.get_mut(member) else {
                    continue;
                };
                to_route.extend(pool.take_queue());
                for conn in pool.take_idle() {
                    self.conn_members.remove(conn);
                    effects.push(effect::Effect::Close(conn));
                }
            }
        }
        for id in to_route {
            if let Some(active) = self.requests.get_mut(id) {
                active.stage = request::Stage::Parked;
            }
            self.route(now, id, effects);
        }
    }
}

fn leaving_replicas(group: &group::Group) -> Vec<id::MemberId> {
    let primary = group.watch.primary().map(|member| member.id);
    let leaving = group.leaving.iter().copied();
    leaving.filter(|member| Some(*member) != primary).collect()
}
