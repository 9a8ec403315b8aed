//! What happens by the passing of time.

use std::time::Instant;

use crate::effect;
use crate::id;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    pub(super) fn tick(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        for request in self.overdue(now) {
            self.expire(now, request, effects);
        }
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group in groups {
            self.tick_group(now, group, effects);
        }
        self.heartbeat(now, effects);
        self.share(now);
        self.retreat(now, effects);
        self.close_surplus(now, effects);
    }

    fn tick_group(&mut self, now: Instant, id: id::GroupId, effects: &mut Vec<effect::Effect>) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let outcome = group.watch.tick(now, &mut self.next_ask, effects);
        self.apply(now, id, outcome, effects);
        self.failover(now, id, effects, |failover, context| failover.tick(context));
        let pools = self.groups.get(id).map(|group| &group.pools);
        let members: Vec<id::MemberId> = pools.map(|p| p.keys().collect()).unwrap_or_default();
        for member in members {
            self.grow(now, id, member, effects);
        }
    }

    fn close_surplus(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let draining = self.draining;
        let pools = self.groups.iter_mut().flat_map(|(_, g)| g.pools.iter_mut());
        let closed = pools.flat_map(|(_, pool)| match draining {
            true => pool.take_idle(),
            false => pool.shrink(now),
        });
        for conn in closed {
            self.conns.remove(conn);
            effects.push(effect::Effect::Close(conn));
        }
    }
}
