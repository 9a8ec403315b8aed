//! The life of connections to members: opening, release and loss.

use std::time::{Duration, Instant};

use crate::effect;
use crate::id;
use crate::pool;
use crate::request;
use crate::route;
use crate::state::{Owner, State};

impl<P: route::Policy> State<P> {
    fn pool(&mut self, owner: Owner) -> Option<&mut pool::Pool> {
        let group = self.groups.get_mut(owner.group)?;
        group.pools.get_mut(owner.member)
    }

    /// Opens connections to a member for the requests that wait for one.
    pub(super) fn grow(
        &mut self,
        now: Instant,
        group: id::GroupId,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let first = self.next_conn + 1;
        let pools = self.groups.get_mut(group).map(|group| &mut group.pools);
        if let Some(pool) = pools.and_then(|pools| pools.get_mut(member)) {
            pool.grow(now, &mut self.next_conn, effects);
        }
        for conn in first..=self.next_conn {
            self.conns.insert(conn, Owner { group, member });
        }
    }

    pub(super) fn opened(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.release(now, conn, true, effects);
    }

    /// Takes back a connection and gives it to the next waiting request. Closes it instead if it is not clean
    /// or the proxy holds too many connections to the member.
    pub(super) fn release(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        clean: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(owner) = self.conns.get(conn).copied() else {
            // The proxy has already dropped the connection from its state.
            effects.push(effect::Effect::Close(conn));
            return;
        };
        if self.pool(owner).is_none() {
            // The member has left the configuration while the connection was in use.
            self.conns.remove(conn);
            effects.push(effect::Effect::Close(conn));
            return;
        }
        if !clean {
            effects.push(effect::Effect::Close(conn));
            return self.lost(now, conn, effects);
        }
        if self.pool(owner).is_some_and(|pool| pool.is_over_limit()) {
            // This proxy's share of the member's connections has shrunk, or a loan has ended.
            effects.push(effect::Effect::Close(conn));
            return self.lost(now, conn, effects);
        }
        let mut answer = Duration::ZERO;
        if let Some(pool) = self.pool(owner) {
            answer = pool.estimated_answer_time();
            pool.mark_idle(now, conn);
        }
        while let Some(request) = self
            .pool(owner)
            .and_then(|pool| pool.assign_next(now, conn))
        {
            let active = self.requests.get(request);
            if active.is_none_or(|active| now + answer <= active.request.deadline) {
                return self.dispatch(now, request, conn, owner.member, effects);
            }
            // The answer would miss the request's deadline: refuse it unsent and try the next request.
            self.refuse(now, request, effect::Reason::Overloaded, effects);
        }
    }

    pub(super) fn lost(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(owner) = self.conns.remove(conn) else {
            return;
        };
        if let Some(pool) = self.pool(owner) {
            pool.remove(conn);
        }
        self.grow(now, owner.group, owner.member, effects);
    }

    pub(super) fn open_failed(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        full: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(owner) = self.conns.remove(conn) else {
            return;
        };
        let Some(pool) = self.pool(owner) else {
            return;
        };
        pool.open_failed(now, conn);
        // A full member serves the queue again as soon as a connection is released. An unreachable member
        // may not, so its queue moves on.
        if !full && pool.open() == 0 {
            self.requeue(now, owner, effects);
        }
    }

    /// Empties the queue of the member: routes its reads to other members and parks its writes.
    pub(super) fn requeue(
        &mut self,
        now: Instant,
        owner: Owner,
        effects: &mut Vec<effect::Effect>,
    ) {
        let queue = self.pool(owner).map(pool::Pool::take_queue);
        for id in queue.unwrap_or_default() {
            let Some(active) = self.requests.get_mut(id) else {
                continue;
            };
            active.stage = request::Stage::Parked;
            if active.request.kind.is_read() {
                active.avoid.push(owner.member);
            }
            match active.request.kind.is_read() {
                true => self.route(now, id, effects),
                false => self.park(id),
            }
        }
    }
}
