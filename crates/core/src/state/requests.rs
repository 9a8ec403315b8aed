//! Handles requests from their arrival to their final answer.

use std::time::{Duration, Instant};

use crate::effect;
use crate::id;
use crate::pool;
use crate::request;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    pub(super) fn handle_arrived(
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
        self.retry_budget.earn();
        self.record_activity(now, group);
        self.requests.insert(id, active);
        if let Some(route::Choice::Refuse(reason)) = self.choose(now, id) {
            // The wait for a connection alone exceeds the deadline, so the refusal need not wait for a read index.
            return self.refuse(now, id, reason, effects);
        }
        self.route(now, id, effects);
        self.send_control_requests(now, group, effects);
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
        if let Some(floor) = &request.floor
            && !floor.is_known(|group| self.groups.contains(group))
        {
            return Err(effect::Reason::FloorAhead);
        }
        let weight = service.limits.weight;
        if !self
            .admission
            .admit(request.service, service.limits.queue_requests)
        {
            return Err(effect::Reason::Overloaded);
        }
        let indexing = request.kind.is_read() && request.floor.is_none();
        if let Some(group_state) = self.groups.get_mut(group) {
            let point = request.floor.as_ref().and_then(|floor| floor.point(group));
            // A floor past the newest known point may be past everything written. A read index shows whether
            // it is.
            let ahead = point.is_some_and(|point| point > group_state.watch.newest_point());
            if indexing || ahead && request.kind.is_read() {
                group_state.watch.read_index_waits.add(request.id, now);
            }
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
            weight,
            may_have_run: false,
            first_byte_by: None,
            avoid: Vec::new(),
        })
    }

    /// Routes a parked request to a member; other requests stay as they are.
    pub(super) fn route(
        &mut self,
        now: Instant,
        id: id::RequestId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let parked = |active: &request::Active| active.stage == request::Stage::Parked;
        if !self.requests.get(id).is_some_and(parked) {
            return;
        }
        match self.choose(now, id) {
            Some(route::Choice::Member(member)) => self.lease(now, id, member, effects),
            Some(route::Choice::AwaitCatchUp(member)) => self.await_member(now, id, member),
            Some(route::Choice::Park) => self.park(id),
            Some(route::Choice::Refuse(reason)) => self.refuse(now, id, reason, effects),
            None => {}
        }
    }

    fn choose(&self, now: Instant, id: id::RequestId) -> Option<route::Choice> {
        let active = self.requests.get(id)?;
        let group = self.groups.get(active.group)?;
        let config = self.topology.groups.get(active.group)?;
        let floor_point = active.floor_point();
        let candidates = group.candidates(
            now,
            config,
            &self.identity.place,
            active,
            floor_point.unwrap_or_default(),
        );
        Some(self.policy.choose(&route::RoutingInput {
            now,
            kind: active.request.kind,
            deadline: active.request.deadline,
            candidates: &candidates,
        }))
    }

    /// Parks a read until the member's log has reached the read's floor.
    fn await_member(&mut self, now: Instant, id: id::RequestId, member: id::MemberId) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        let floor_point = active.floor_point();
        if let (Some(group), Some(floor_point)) = (self.groups.get_mut(active.group), floor_point) {
            group.record_missed_wait_elsewhere(now, id, member);
            group
                .watch
                .position_waits
                .set(now, id, member, floor_point.position);
        }
        self.park(id);
    }

    /// Adds a request, whose stage is already [`request::Stage::Parked`], to those that are routed again when the
    /// group changes.
    pub(super) fn park(&mut self, id: id::RequestId) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(active.group) {
            group.parked.push(id);
        }
    }

    /// Routes the parked requests of a group again.
    pub(super) fn reroute_parked(
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
        let Some(group_state) = self.groups.get_mut(group) else {
            return;
        };
        group_state.record_missed_wait_elsewhere(now, id, member);
        group_state.watch.position_waits.remove(id);
        let Some(pool) = group_state.pools.get_mut(member) else {
            return;
        };
        match pool.lease(now, active.ticket()) {
            pool::Lease::Granted(conn) => self.dispatch(now, id, conn, member, effects),
            pool::Lease::Queued => {
                active.stage = request::Stage::Queued(member);
                self.open_connections(now, group, member, effects);
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        id: id::RequestId,
        conn: id::ConnId,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get_mut(id) else {
            return;
        };
        active.stage = request::Stage::Running { conn, member };
        let pools = self.groups.get(active.group).map(|group| &group.pools);
        let pool = pools.and_then(|pools| pools.get(member));
        // The first run of a read may fail early, to be retried at another member. If a retry or a write is silent,
        // the member may just be slow, so the request keeps its full deadline.
        let pool_with_timeout =
            pool.filter(|_| active.request.kind.is_read() && !active.may_have_run);
        let first_byte_by = pool_with_timeout.map_or(active.request.deadline, |pool| {
            active.request.deadline.min(now + pool.silence_timeout())
        });
        active.first_byte_by = Some(first_byte_by);
        if let Some(group) = self.groups.get(active.group) {
            self.read_counts.count(active.request.kind, group, member);
        }
        effects.push(effect::Effect::Dispatch(effect::Dispatch {
            request: id,
            conn,
            member,
            first_byte_by,
            deadline: active.request.deadline,
        }));
    }

    /// Sets a transaction's deadline to that of its next statement.
    pub(super) fn handle_statement_arrived(&mut self, id: id::RequestId, deadline: Instant) {
        if let Some(active) = self.requests.get_mut(id) {
            active.request.deadline = deadline;
        }
    }

    /// Removes a request without an answer, unless it runs: then the shell returns it.
    pub(super) fn handle_abandoned(&mut self, _now: Instant, id: id::RequestId) {
        let running =
            |active: &request::Active| matches!(active.stage, request::Stage::Running { .. });
        if self.requests.get(id).is_some_and(|active| !running(active)) {
            self.remove_request(id);
        }
    }

    /// Ends a request whose deadline has passed, unless it runs on a connection.
    pub(super) fn expire_request(
        &mut self,
        now: Instant,
        id: id::RequestId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        match active.stage {
            // The shell enforces the deadline in the dispatch and returns the request.
            request::Stage::Running { .. } => {}
            request::Stage::Confirming(_) => {
                effects.push(effect::Effect::Unconfirmed(id));
                self.remove_request(id);
            }
            _ => self.refuse(now, id, effect::Reason::TimedOut, effects),
        }
    }

    /// Ends a request with a refusal, or with an unknown outcome if a member may have run it.
    pub(super) fn refuse(
        &mut self,
        now: Instant,
        id: id::RequestId,
        reason: effect::Reason,
        effects: &mut Vec<effect::Effect>,
    ) {
        let may_have_run = self
            .requests
            .get(id)
            .is_some_and(|active| active.may_have_run);
        self.remove_request(id);
        match may_have_run {
            // A member may have run the request, so the answer must not say that it did not run.
            true => effects.push(effect::Effect::Unconfirmed(id)),
            false => self.push_refusal(now, id, reason, effects),
        }
    }

    fn push_refusal(
        &self,
        now: Instant,
        request: id::RequestId,
        reason: effect::Reason,
        effects: &mut Vec<effect::Effect>,
    ) {
        let wait = self.shortest_queue_time();
        let retry_at = self.admission.retry_at(now, request, wait);
        effects.push(effect::Effect::Refuse(effect::Refuse {
            request,
            reason,
            retry_at,
        }));
    }

    /// Returns the time after which the first of all pools, of whatever group, has served its queue.
    fn shortest_queue_time(&self) -> Duration {
        let pools = self.groups.values().flat_map(|group| group.pools.values());
        pools
            .map(pool::Pool::estimated_queue_time)
            .min()
            .unwrap_or_default()
    }

    /// Removes a request from the state, whatever its stage.
    pub(super) fn remove_request(&mut self, id: id::RequestId) {
        let Some(active) = self.requests.remove(id) else {
            return;
        };
        self.admission.record_end(active.request.service);
        let Some(group) = self.groups.get_mut(active.group) else {
            return;
        };
        group.watch.read_index_waits.remove(id);
        match active.stage {
            request::Stage::Indexing => {}
            request::Stage::Parked => {
                group.parked.retain(|parked| *parked != id);
                group.watch.position_waits.remove(id);
            }
            request::Stage::Queued(member) => {
                if let Some(pool) = group.pools.get_mut(member) {
                    pool.remove_queued(id);
                }
            }
            request::Stage::Running { .. } => {}
            request::Stage::Confirming(_) => group.watch.confirmations.remove(id),
        }
    }
}
