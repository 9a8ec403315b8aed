//! Waiting requests, from their arrival to a granted connection or a refusal.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::effect;
use crate::member_state;
use crate::queue;
use crate::request;
use crate::share;
use crate::state;
use crate::state::choices;

/// Factor of the estimated wait that an arriving request must have time for. The estimate varies while the request waits, and
/// without a margin many would be refused only shortly before their turn.
const ARRIVAL_MARGIN: f64 = 1.1;

/// Mean answer time and number of concurrent statements of the members that serve a group's requests.
#[derive(Clone, Copy)]
pub(super) struct AnswerRate {
    latency_ms: f64,
    concurrency: f64,
}

impl state::GroupState {
    /// Returns whether a member is known that does not count as gone.
    pub(super) fn has_member(&self) -> bool {
        let mut members = self.members.values();
        members.any(member_state::MemberState::is_present)
    }

    /// Returns the shortest mean answer time of all members, or of all homes if requests are forwarded.
    fn shortest_answer_time(&self) -> Duration {
        let members = self.forwards_to().unwrap_or(&self.members).values();
        let present = members.filter(|state| state.is_present());
        let shortest_ms = present.map(|state| state.latency_ms).reduce(f64::min);
        Duration::from_secs_f64(shortest_ms.unwrap_or_default() / 1_000.0)
    }

    /// Returns how fast the members, or the homes if requests are forwarded, answer.
    pub(super) fn answer_rate(&self, now: Instant, forwards: bool) -> AnswerRate {
        let members = if forwards { &self.homes } else { &self.members };
        let usable = members.values().filter(|state| state.is_usable(now));
        let present = members.values().filter(|state| state.is_present());
        let latencies = present.map(|state| state.latency_ms);
        AnswerRate {
            latency_ms: latencies.fold(0.0, f64::max),
            concurrency: usable.map(|state| state.allowance).sum(),
        }
    }

    /// Returns what is believed about the leader if that has changed since the last call.
    fn take_new_belief(&mut self) -> Option<effect::Belief> {
        let leader_changed = std::mem::take(&mut self.belief_changed);
        let lease_changed = std::mem::take(&mut self.lease.validity_changed);
        (leader_changed || lease_changed).then(|| effect::Belief {
            leader: self.leader.member,
            leader_term: self.leader_term(),
            lease_term: self.lease.lease.term(),
            lease_expires_at: self.lease.lease.expires_at(),
        })
    }

    /// Estimates the waiting time of a request with `ahead` others before it.
    pub(super) fn estimated_wait(&self, now: Instant, rate: AnswerRate, ahead: usize) -> Duration {
        self.queue
            .estimated_wait(now, ahead, rate.latency_ms, rate.concurrency)
    }
}

impl state::Broker {
    /// Queues a request, or refuses it if it cannot be answered in time.
    pub(super) fn add_request(
        &mut self,
        now: Instant,
        request: request::Request,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.choose_homes_if_outdated(now, effects);
        let group_id = request.group;
        let group = self.groups.entry(group_id);
        let forwards = !request.forwarded && group.forwards_to().is_some();
        if !forwards {
            group.last_direct_request_at = Some(now);
        }
        let answer_expected_at = now + group.shortest_answer_time();
        let ahead = group.queue.count_ahead(answer_expected_at, &request);
        let wait = group.estimated_wait(now, group.answer_rate(now, forwards), ahead);
        let latest = latest_answer(now, &request);
        let is_too_late = ahead > 0 && answer_expected_at + wait.mul_f64(ARRIVAL_MARGIN) > latest;
        // Requests of other workspaces may wait for connections that this one does not need.
        if is_too_late && !(request.workspace.is_some() && self.may_proceed(now, &request)) {
            let reason = self.reason_for_wait(now, group_id);
            effects.push(refusal(now, &request, reason, wait));
            return;
        }
        self.request_groups.insert(request.id, group_id);
        self.groups.entry(group_id).queue.push(now, request);
        self.serve_queue(now, group_id, effects);
    }

    /// Returns whether a request would get a connection now, or one would be opened for it.
    fn may_proceed(&self, now: Instant, request: &request::Request) -> bool {
        matches!(
            self.decide(now, request),
            choices::Decision::Grant { .. } | choices::Decision::Open(_)
        )
    }

    pub(super) fn remove_request(&mut self, request: id::RequestId) {
        if let Some(group_id) = self.request_groups.remove(request) {
            self.groups.entry(group_id).queue.remove(request, false);
        }
    }

    /// Calls [`Self::serve_queue`] for the group of a member or a home.
    pub(super) fn serve_queue_of_member(
        &mut self,
        now: Instant,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(group_id) = self.member_groups.get(member).copied() {
            self.serve_queue(now, group_id, effects);
        }
    }

    /// Returns the instant at which the next waiting request can no longer be answered before its deadline. A refusal is
    /// then due: a proxy that forwarded the request would take a later one for the silence of this proxy. Returns the end of a
    /// member's pause if that is earlier.
    pub fn next_expiry(&self) -> Option<Instant> {
        let expiries = self.groups.values().filter_map(|group| {
            let deadline = group.queue.earliest_deadline()?;
            let expiry = deadline.checked_sub(group.shortest_answer_time())?;
            Some(group.next_pause_end().map_or(expiry, |end| end.min(expiry)))
        });
        expiries.min()
    }

    /// Calls [`Self::serve_queue`] for all groups.
    pub(super) fn serve_all_queues(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let groups: Vec<id::GroupId> = self.groups.keys().collect();
        for group_id in groups {
            self.serve_queue(now, group_id, effects);
        }
    }

    /// Decides on each waiting request of a group whether it is served, is refused or waits on.
    pub(super) fn serve_queue(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        group.end_pauses(now);
        if group.queue.is_empty() {
            return;
        }
        // A request whose deadline would pass before its answer is refused now, while it has not been sent and its outcome is
        // known.
        let answer_expected_at = now + group.shortest_answer_time();
        for request in group.queue.take_expired(answer_expected_at) {
            self.request_groups.remove(request.id);
            effects.push(refusal(
                now,
                &request,
                effect::RefusalReason::Late,
                Duration::ZERO,
            ));
        }
        let waiting = group.queue.in_order(answer_expected_at).to_vec();
        let forwards = group.forwards_to().is_some();
        let (direct, forwarding) = (group.answer_rate(now, false), group.answer_rate(now, true));
        let mut wanted: Vec<choices::Wanted> = Vec::new();
        let mut undecided = 0;
        for (position, request) in waiting.into_iter().enumerate() {
            let decision = self.decide(now, &request);
            // Requests of workspaces wait for connections of their own, so those that have got one do not count as ahead.
            let ahead = match request.workspace {
                Some(_) => undecided,
                None => position,
            };
            if !matches!(
                decision,
                choices::Decision::Grant { .. } | choices::Decision::Refuse(..)
            ) {
                undecided += 1;
            }
            let without_leader = matches!(
                decision,
                choices::Decision::Wait
                    | choices::Decision::Refuse(effect::RefusalReason::NoLeader, _)
            );
            let is_direct = !forwards || request.forwarded;
            if without_leader && is_direct && self.lacks_lease(now, &request) {
                self.groups.entry(group_id).lease.record_demand(now);
            }
            match decision {
                choices::Decision::Grant { member, floor } => {
                    let (fenced, is_home) = (self.settings.fenced, self.is_home(member));
                    let writes = request.requirement == request::Requirement::Leader;
                    let group = self.groups.entry(group_id);
                    match fenced {
                        _ if is_home => {}
                        true if writes => group.renew_trust_early(now),
                        true => {}
                        false => group.renew_lease_early(now),
                    }
                    self.grant(now, &request, member, floor, effects);
                }
                choices::Decision::Open(opening) => wanted.push(opening),
                choices::Decision::Sample => self.groups.entry(group_id).needs_sample = true,
                choices::Decision::Lease => self.groups.entry(group_id).lease.record_demand(now),
                choices::Decision::Wait if ahead > 0 => {
                    let rate = match forwards && !request.forwarded {
                        true => forwarding,
                        false => direct,
                    };
                    self.refuse_if_too_late(now, &request, rate, ahead, effects);
                }
                choices::Decision::Wait => {}
                choices::Decision::Refuse(reason, wait) => {
                    self.request_groups.remove(request.id);
                    let queue = &mut self.groups.entry(group_id).queue;
                    queue.remove(request.id, false);
                    effects.push(refusal(now, &request, reason, wait));
                }
            }
        }
        self.open_wanted(now, &wanted, effects);
        self.reconnect_suspects(now, group_id, effects);
        self.probe_if_needed(now, group_id, effects);
        self.renew_lease_if_due(now, group_id, effects);
    }

    /// Refuses a request whose turn comes too late by the estimated waiting time behind the `ahead` requests that go first: the
    /// queue has slowed down, or others have arrived that go first. Its caller can try elsewhere while there is time.
    fn refuse_if_too_late(
        &mut self,
        now: Instant,
        request: &request::Request,
        rate: AnswerRate,
        ahead: usize,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.entry(request.group);
        let wait = group.estimated_wait(now, rate, ahead);
        if now + wait > latest_answer(now, request) {
            self.request_groups.remove(request.id);
            group.queue.remove(request.id, false);
            let reason = self.reason_for_wait(now, request.group);
            effects.push(refusal(now, request, reason, wait));
        }
    }

    /// Returns why requests of a group wait too long: the group has no usable leader, or its slots are busy.
    fn reason_for_wait(&self, now: Instant, group_id: id::GroupId) -> effect::RefusalReason {
        let led = self.groups.get(group_id).is_some_and(|group| {
            group.forwards_to().is_some()
                || self.usable_leader(now, group).is_some()
                    && self.is_covered(group, group.leader_term(), now)
        });
        match led {
            true => effect::RefusalReason::Overload,
            false => effect::RefusalReason::NoLeader,
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        request: &request::Request,
        member: id::MemberId,
        floor: Option<floor::Point>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let to_home = self.is_home(member);
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        let workspace = request.workspace.filter(|_| !to_home);
        let Some(idle) = state.lease(workspace) else {
            return;
        };
        state.running += 1;
        self.request_groups.remove(request.id);
        let queue = &mut self.groups.entry(request.group).queue;
        queue.remove(request.id, true);
        queue.record_departure(now);
        let new_belief = match to_home {
            true => None,
            false => self.groups.entry(request.group).take_new_belief(),
        };
        effects.push(effect::Effect::Grant(effect::Grant {
            request: request.id,
            conn: idle.conn,
            member,
            floor,
            verify: matches!(
                request.requirement,
                request::Requirement::VerifiedLeader { .. }
            ) && !to_home,
            new_belief,
        }));
    }

    /// Opens the connections in `wanted`, which has one entry per waiting request, until as many connections to each member are being
    /// opened as requests wait for it, or no more may be opened now.
    fn open_wanted(
        &mut self,
        now: Instant,
        wanted: &[choices::Wanted],
        effects: &mut Vec<effect::Effect>,
    ) {
        for (nth, wants) in wanted.iter().enumerate() {
            let before = wanted[..nth].iter().filter(|other| wants.is_alike(other));
            let (before, opening) = (before.count(), self.opening_for(wants));
            let Some(state) = self.member_state(wants.member) else {
                continue;
            };
            if before < opening {
                continue;
            }
            // Requests before this one may have taken the room, or the connection to be replaced.
            match share::choose(state, wants.workspace, now) {
                share::Choice::Open => {}
                share::Choice::Replace(conn) => self.replace_connection(wants, conn, effects),
                share::Choice::Use | share::Choice::Wait => continue,
            }
            self.open_connection(wants.member, wants.workspace, effects);
        }
    }

    /// Returns the number of connections that are being opened for requests that are alike.
    fn opening_for(&self, wants: &choices::Wanted) -> usize {
        let group = self.member_groups.get(wants.member);
        let group = group.and_then(|group| self.groups.get(*group));
        match group {
            Some(group) if wants.any_member => {
                let members = group.members.values();
                let opening = members.map(|state| state.opening_for(wants.workspace));
                opening.sum()
            }
            _ => self
                .member_state(wants.member)
                .map_or(0, |state| state.opening_for(wants.workspace)),
        }
    }

    /// Closes an idle connection of another workspace than the one that needs its place.
    fn replace_connection(
        &mut self,
        wants: &choices::Wanted,
        conn: id::ConnId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(state) = self.member_state_mut(wants.member) else {
            return;
        };
        state.idle.retain(|idle| idle.conn != conn);
        let from = self
            .connections
            .remove(conn)
            .and_then(|closed| closed.workspace);
        effects.push(effect::Effect::Close(conn));
        effects.push(effect::Effect::RecordChange(
            effect::StateChange::ConnectionMoved {
                member: wants.member,
                from,
                to: wants.workspace,
            },
        ));
    }

    /// Probes the leader on an idle connection if the read index needs a sample and no probe is under way. Without an idle
    /// connection, opens one.
    pub(super) fn probe_if_needed(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get(group_id) else {
            return;
        };
        if !group.needs_sample || group.probing {
            return;
        }
        let Some(state) = self.usable_leader(now, group) else {
            return;
        };
        let (member, has_idle) = (state.entry.id, !state.idle.is_empty());
        let must_open =
            !has_idle && state.opening == 0 && state.may_open(now) && !state.is_backing_off(now);
        if must_open {
            self.open_connection(member, None, effects);
            return;
        }
        let Some(idle) = self
            .member_state_mut(member)
            .and_then(member_state::MemberState::lease_any)
        else {
            return;
        };
        if let Some(state) = self.member_state_mut(member) {
            state.running += 1;
        }
        let group = self.groups.entry(group_id);
        group.needs_sample = false;
        group.probing = true;
        group.last_probe_at = Some(now);
        effects.push(effect::Effect::Probe {
            conn: idle.conn,
            member,
        });
    }
}

/// Returns the latest instant at which the answer to a request is worth waiting for: its objective, and its deadline once it
/// has missed the objective.
fn latest_answer(now: Instant, request: &request::Request) -> Instant {
    match request.objective_at > now {
        true => request.deadline.min(request.objective_at),
        false => request.deadline,
    }
}

fn refusal(
    now: Instant,
    request: &request::Request,
    reason: effect::RefusalReason,
    wait: Duration,
) -> effect::Effect {
    effect::Effect::Refuse(effect::Refusal {
        request: request.id,
        reason,
        retry_at: queue::retry_at(now, request.id, wait),
    })
}
