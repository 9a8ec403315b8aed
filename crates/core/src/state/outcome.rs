//! Handles the end of dispatched requests, the confirmation of commits, and read indexes.

use std::time::Instant;

use crate::effect;
use crate::event;
use crate::floor;
use crate::id;
use crate::request;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    pub(super) fn handle_returned(
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
        let silent = active.first_byte_by.is_some_and(|by| now >= by) && !returned.clean;
        if silent {
            self.close_idle_connections(group, member, effects);
        }
        match returned.outcome {
            event::Outcome::Answered | event::Outcome::Unknown => self.remove_request(id),
            event::Outcome::Committed(point) => {
                self.await_confirmation(now, id, member, point, effects)
            }
            event::Outcome::NotSent => self.prepare_retry(now, id, None, effects),
            event::Outcome::NotPrimary => {
                self.mark_not_primary(group, member);
                self.prepare_retry(now, id, None, effects);
            }
            event::Outcome::ReadFailed => {
                self.mark_may_have_run(id);
                self.prepare_retry(now, id, Some(member), effects);
            }
        }
        self.release(now, conn, returned.clean, effects);
        self.route(now, id, effects);
    }

    fn mark_not_primary(&mut self, group: id::GroupId, member: id::MemberId) {
        let group = self.groups.get_mut(group);
        let member = group.and_then(|group| group.watch.members.get_mut(member));
        if let Some(status) = member.and_then(|member| member.status.as_mut()) {
            status.primary = false;
        }
    }

    /// Closes the idle connections to a member after one of its connections was silent: a fault on the way, such as a
    /// firewall that lost its table of connections, affects the others too.
    fn close_idle_connections(
        &mut self,
        group: id::GroupId,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.get_mut(group);
        let Some(pool) = group.and_then(|group| group.pools.get_mut(member)) else {
            return;
        };
        for conn in pool.take_idle() {
            self.conn_members.remove(conn);
            effects.push(effect::Effect::Close(conn));
        }
    }

    fn mark_may_have_run(&mut self, id: id::RequestId) {
        if let Some(active) = self.requests.get_mut(id) {
            active.may_have_run = true;
        }
    }

    /// Parks the request to be routed again, or refuses it if the retry budget is spent.
    fn prepare_retry(
        &mut self,
        now: Instant,
        id: id::RequestId,
        avoid: Option<id::MemberId>,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.retry_budget.spend() {
            return self.refuse(now, id, effect::Reason::Overloaded, effects);
        }
        if let Some(active) = self.requests.get_mut(id) {
            active.stage = request::Stage::Parked;
            active.avoid.extend(avoid);
        }
    }

    fn await_confirmation(
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
        if let Some(group_state) = self.groups.get_mut(group) {
            group_state.watch.confirmations.add(id, point, member);
            group_state.record_commit(member, point);
        }
        self.send_control_requests(now, group, effects);
    }

    pub(super) fn acknowledge(
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
        self.remove_request(id);
    }

    /// Answers that the outcome of a commit is unknown, because a majority can no longer confirm it.
    pub(super) fn end_unconfirmed(&mut self, id: id::RequestId, effects: &mut Vec<effect::Effect>) {
        if self.requests.contains(id) {
            effects.push(effect::Effect::Unconfirmed(id));
            self.remove_request(id);
        }
    }

    pub(super) fn apply_read_index(
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
        if active.stage != request::Stage::Indexing {
            // The read has a floor: the index only shows whether the floor is past everything written.
            if active.waits()
                && active
                    .floor_point()
                    .is_some_and(|floor_point| floor_point > point)
            {
                self.refuse(now, id, effect::Reason::FloorAhead, effects);
            }
            return;
        }
        let floor = active
            .request
            .floor
            .get_or_insert_with(floor::Floor::default);
        floor.raise(group, point);
        active.stage = request::Stage::Parked;
        self.route(now, id, effects);
    }
}
