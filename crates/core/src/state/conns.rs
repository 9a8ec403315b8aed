//! Opens, releases and forgets connections to members.

use std::time::{Duration, Instant};

use crate::effect;
use crate::id;
use crate::pool;
use crate::request;
use crate::route;
use crate::state::{MemberRef, State};

impl<P: route::Policy> State<P> {
    fn pool(&mut self, member_ref: MemberRef) -> Option<&mut pool::Pool> {
        let group = self.groups.get_mut(member_ref.group)?;
        group.pools.get_mut(member_ref.member)
    }

    /// Opens connections to a member for the requests that wait for one.
    pub(super) fn open_connections(
        &mut self,
        now: Instant,
        group: id::GroupId,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let first = self.last_conn + 1;
        let pools = self.groups.get_mut(group).map(|group| &mut group.pools);
        if let Some(pool) = pools.and_then(|pools| pools.get_mut(member)) {
            pool.grow(now, &mut self.last_conn, effects);
        }
        for conn in first..=self.last_conn {
            self.conn_members.insert(conn, MemberRef { group, member });
        }
    }

    pub(super) fn handle_opened(
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
        let Some(member_ref) = self.conn_members.get(conn).copied() else {
            // The proxy has already dropped the connection from its state.
            effects.push(effect::Effect::Close(conn));
            return;
        };
        if self.pool(member_ref).is_none() {
            // The member has left the configuration while the connection was in use.
            self.conn_members.remove(conn);
            effects.push(effect::Effect::Close(conn));
            return;
        }
        if !clean {
            effects.push(effect::Effect::Close(conn));
            return self.forget_connection(now, conn, effects);
        }
        if self
            .pool(member_ref)
            .is_some_and(|pool| pool.is_over_limit())
        {
            // This proxy's share of the member's connections has shrunk, or a loan has ended.
            effects.push(effect::Effect::Close(conn));
            return self.forget_connection(now, conn, effects);
        }
        let mut answer_time = Duration::ZERO;
        if let Some(pool) = self.pool(member_ref) {
            answer_time = pool.estimated_answer_time();
            pool.mark_idle(now, conn);
        }
        while let Some(request) = self
            .pool(member_ref)
            .and_then(|pool| pool.assign_next(now, conn))
        {
            let active = self.requests.get(request);
            if active.is_none_or(|active| now + answer_time <= active.request.deadline) {
                return self.dispatch(now, request, conn, member_ref.member, effects);
            }
            // The answer would miss the request's deadline: refuse it unsent and try the next request.
            self.refuse(now, request, effect::Reason::Overloaded, effects);
        }
    }

    /// Removes a connection that was closed from the state, and opens others if requests wait.
    pub(super) fn forget_connection(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(member_ref) = self.conn_members.remove(conn) else {
            return;
        };
        if let Some(pool) = self.pool(member_ref) {
            pool.remove(conn);
        }
        self.open_connections(now, member_ref.group, member_ref.member, effects);
    }

    pub(super) fn handle_open_failed(
        &mut self,
        now: Instant,
        conn: id::ConnId,
        full: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(member_ref) = self.conn_members.remove(conn) else {
            return;
        };
        let Some(pool) = self.pool(member_ref) else {
            return;
        };
        pool.record_open_failure(now, conn);
        // A full member serves its queue as soon as one of its connections is released. An unreachable member
        // may never serve it, so the requests are routed again.
        if !full && pool.open_count() == 0 {
            self.reroute_queue(now, member_ref, effects);
        }
    }

    /// Empties the queue of the member: routes its reads to other members and parks its writes.
    pub(super) fn reroute_queue(
        &mut self,
        now: Instant,
        member_ref: MemberRef,
        effects: &mut Vec<effect::Effect>,
    ) {
        let queue = self.pool(member_ref).map(pool::Pool::take_queue);
        for id in queue.unwrap_or_default() {
            let Some(active) = self.requests.get_mut(id) else {
                continue;
            };
            active.stage = request::Stage::Parked;
            if active.request.kind.is_read() {
                active.avoid.push(member_ref.member);
            }
            match active.request.kind.is_read() {
                true => self.route(now, id, effects),
                false => self.park(id),
            }
        }
    }
}
