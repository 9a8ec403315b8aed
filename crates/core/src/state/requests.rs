//! The way of a request from arrival to its final answer.

use std::time::Instant;

use crate::effect;
use crate::event;
use crate::floor;
use crate::id;
use crate::pool;
use crate::request;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    pub(super) fn arrived(
        &mut self,
        now: Instant,
        request: request::Request,
        effects: &mut Vec<effect::Effect>,
    ) {
        let id = request.id;
        let active = match self.admit(now, request) {
            Ok(active) => active,
            Err(reason) => return self.push_refusal(now, id, reason, effects),
        };
        let group = active.group;
        self.touch(now, group);
        self.requests.insert(id, active);
        self.route(now, id, effects);
        self.ask(now, group, effects);
    }

    fn admit(
        &mut self,
        now: Instant,
        request: request::Request,
    ) -> Result<request::Active, effect::Reason> {
        if self.draining {
            return Err(effect::Reason::Draining);
        }
        let service = self.topology.services.get(request.service);
        let service = service.ok_or(effect::Reason::UnknownService)?;
        let group = service.group;
        if !self
            .admission
            .admit(request.service, service.limits.queue_requests)
        {
            return Err(effect::Reason::Overloaded);
        }
        let indexing = request.kind.is_read() && request.floor.is_none();
        if let (true, Some(group)) = (indexing, self.groups.get_mut(group)) {
            group.watch.indexes.add(request.id, now);
        }
        let stage = match indexing {
            true => request::Stage::Indexing,
            false => request::Stage::Parked,
        };
        Ok(request::Active {
            request,
            group,
            stage,
            arrived_at: now,
            avoid: Vec::new(),
        })
    }

    /// Decides where a request that waits for no read index goes.
    pub(super) fn route(
        &mut self,
        now: Instant,
        id: id::RequestId,
        effects: &mut Vec<effect::Effect>,
    ) {
        match self.choose(now, id) {
            Some(route::Choice::Member(member)) => self.lease(now, id, member, effects),
            Some(route::Choice::Await(member)) => self.await_member(id, member),
            Some(route::Choice::Wait) => self.park(id),
            Some(route::Choice::Refuse(reason)) => self.refuse(now, id, reason, effects),
            None => {}
        }
    }

    fn choose(&self, now: Instant, id: id::RequestId) -> Option<route::Choice> {
        let active = self.requests.get(id)?;
        if active.stage != request::Stage::Parked {
            return None;
        }
        let group = self.groups.get(active.group)?;
        let config = self.topology.groups.get(active.group)?;
        let floor = active.request.floor.as_ref();
        let floor = floor.and_then(|floor| floor.point(active.group));
        let candidates = group.candidates(
            now,
            config,
            &self.identity.place,
            active,
            floor.unwrap_or_default(),
        );
        Some(self.policy.choose(&route::Question {
            now,
            kind: active.request.kind,
            deadline: active.request.deadline,
            candidates: &candidates,
        }))
    }

    /// Lets a read wait until a member's log has reached its floor.
    fn await_member(&mut self, id: id::RequestId, member: id::MemberId) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        let floor = active.request.floor.as_ref();
        let point = floor.and_then(|floor| floor.point(active.group));
        if let (Some(group), Some(point)) = (self.groups.get_mut(active.group), point) {
            group.watch.awaits.set(id, member, point.position);
        }
        self.park(id);
    }

    pub(super) fn park(&mut self, id: id::RequestId) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(active.group) {
            group.parked.push(id);
        }
    }

    /// Decides again about the requests of a group that wait for a member.
    pub(super) fn unpark(
        &mut self,
        now: Instant,
        group: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(group) else {
            return;
        };
        for id in std::mem::take(&mut group.parked) {
            self.route(now, id, effects);
        }
    }

    fn lease(
        &mut self,
        now: Instant,
        id: id::RequestId,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get_mut(id) else {
            return;
        };
        let group = active.group;
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        state.watch.awaits.remove(id);
        let Some(pool) = state.pools.get_mut(member) else {
            return;
        };
        match pool.lease(now, id) {
            pool::Lease::Granted(conn) => self.dispatch(now, id, conn, member, effects),
            pool::Lease::Queued => {
                active.stage = request::Stage::Queued(member);
                self.grow(now, group, member, effects);
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        _now: Instant,
        id: id::RequestId,
        conn: id::ConnId,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get_mut(id) else {
            return;
        };
        active.stage = request::Stage::Running { conn, member };
        if let Some(group) = self.groups.get(active.group) {
            self.served.count(active.request.kind, group, member);
        }
        effects.push(effect::Effect::Dispatch(effect::Dispatch {
            request: id,
            conn,
            member,
            first_byte_by: active.request.deadline,
            deadline: active.request.deadline,
        }));
    }

    pub(super) fn returned(
        &mut self,
        now: Instant,
        returned: event::Returned,
        effects: &mut Vec<effect::Effect>,
    ) {
        let id = returned.request;
        let Some(active) = self.requests.get(id) else {
            return;
        };
        let request::Stage::Running { conn, member } = active.stage else {
            return;
        };
        if conn != returned.conn {
            return;
        }
        let group = active.group;
        match returned.outcome {
            event::Outcome::Answered | event::Outcome::Unknown => self.end(id),
            event::Outcome::Committed(point) => self.confirm(now, id, member, point, effects),
            event::Outcome::NotSent => self.retry(id, None),
            event::Outcome::NotPrimary => {
                self.demote(group, member);
                self.retry(id, None);
            }
            event::Outcome::ReadFailed => self.retry(id, Some(member)),
        }
        self.release(now, conn, returned.clean, effects);
        self.route(now, id, effects);
    }

    fn demote(&mut self, group: id::GroupId, member: id::MemberId) {
        let group = self.groups.get_mut(group);
        let member = group.and_then(|group| group.watch.members.get_mut(member));
        if let Some(status) = member.and_then(|member| member.status.as_mut()) {
            status.primary = false;
        }
    }

    fn retry(&mut self, id: id::RequestId, avoid: Option<id::MemberId>) {
        if let Some(active) = self.requests.get_mut(id) {
            active.stage = request::Stage::Parked;
            active.avoid.extend(avoid);
        }
    }

    fn confirm(
        &mut self,
        now: Instant,
        id: id::RequestId,
        member: id::MemberId,
        point: floor::Point,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get_mut(id) else {
            return;
        };
        active.stage = request::Stage::Confirming(point);
        let group = active.group;
        if let Some(state) = self.groups.get_mut(group) {
            state.watch.confirmations.add(id, point, member);
            state.committed(member, point);
        }
        self.ask(now, group, effects);
    }

    pub(super) fn confirmed(
        &mut self,
        id: id::RequestId,
        point: floor::Point,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        effects.push(effect::Effect::Acknowledge {
            request: id,
            group: active.group,
            point,
        });
        self.end(id);
    }

    /// Answers that the outcome of a commit whose term is over is unknown.
    pub(super) fn unconfirmed(&mut self, id: id::RequestId, effects: &mut Vec<effect::Effect>) {
        if self.requests.contains(id) {
            effects.push(effect::Effect::Unconfirmed(id));
            self.end(id);
        }
    }

    pub(super) fn indexed(
        &mut self,
        now: Instant,
        id: id::RequestId,
        point: floor::Point,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get_mut(id) else {
            return;
        };
        let group = active.group;
        let floor = active
            .request
            .floor
            .get_or_insert_with(floor::Floor::default);
        floor.raise(group, point);
        active.stage = request::Stage::Parked;
        self.route(now, id, effects);
    }

    /// Gives a transaction the deadline of its next statement.
    pub(super) fn extended(&mut self, id: id::RequestId, deadline: Instant) {
        if let Some(active) = self.requests.get_mut(id) {
            active.request.deadline = deadline;
        }
    }

    pub(super) fn abandoned(&mut self, _now: Instant, id: id::RequestId) {
        let running =
            |active: &request::Active| matches!(active.stage, request::Stage::Running { .. });
        if self.requests.get(id).is_some_and(|active| !running(active)) {
            self.end(id);
        }
    }

    /// Gives a request up whose deadline has passed.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        id: id::RequestId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        match active.stage {
            // The shell enforces the deadline that the dispatch carried and returns the request.
            request::Stage::Running { .. } => {}
            request::Stage::Confirming(_) => {
                effects.push(effect::Effect::Unconfirmed(id));
                self.end(id);
            }
            _ => self.refuse(now, id, effect::Reason::TimedOut, effects),
        }
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: id::RequestId,
        reason: effect::Reason,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.end(id);
        self.push_refusal(now, id, reason, effects);
    }

    fn push_refusal(
        &self,
        now: Instant,
        request: id::RequestId,
        reason: effect::Reason,
        effects: &mut Vec<effect::Effect>,
    ) {
        let retry_at = self.admission.retry_at(now, request);
        effects.push(effect::Effect::Refuse(effect::Refuse {
            request,
            reason,
            retry_at,
        }));
    }

    /// Forgets a request wherever it stands.
    fn end(&mut self, id: id::RequestId) {
        let Some(active) = self.requests.remove(id) else {
            return;
        };
        self.admission.ended(active.request.service);
        let Some(group) = self.groups.get_mut(active.group) else {
            return;
        };
        match active.stage {
            request::Stage::Indexing => group.watch.indexes.remove(id),
            request::Stage::Parked => {
                group.parked.retain(|parked| *parked != id);
                group.watch.awaits.remove(id);
            }
            request::Stage::Queued(member) => {
                if let Some(pool) = group.pools.get_mut(member) {
                    pool.abandon(id);
                }
            }
            request::Stage::Running { .. } => {}
            request::Stage::Confirming(_) => group.watch.confirmations.remove(id),
        }
    }
}
