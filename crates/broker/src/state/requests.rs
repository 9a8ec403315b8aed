//! Requests from arrival to a connection or a refusal.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::member_state;
use crate::place;
use crate::queue;
use crate::request;
use crate::state;

/// Time that a group usually goes without a leader: detection, questions and a promotion.
const GAP_USUAL: Duration = Duration::from_millis(1_500);
/// Time for which a request still waits for a leader when the usual gap is over.
const GAP_OVERDUE: Duration = Duration::from_millis(300);
/// Cost of opening a connection, in ms: less than it takes, since the requests after it find it open.
const OPEN_MS: f64 = 6.0;

/// Cost of a home that has never answered, in ms: more than the way to another one that has. It is tried beside the
/// requests.
const UNPROVEN_MS: f64 = 100.0;

/// What can be done for a waiting request now.
enum Choice {
    Grant {
        member: id::MemberId,
        floor: Option<floor::Point>,
    },
    Open(id::MemberId),
    Index,
    Wait,
    Refuse(effect::Reason, Duration),
}

impl state::Group {
    /// Returns the mean time of an answer of the quickest member, or home if requests are forwarded.
    fn quickest_answer(&self) -> Duration {
        let members = self.forwards_to().unwrap_or(&self.members).values();
        let quickest_ms = members.map(|state| state.latency_ms).reduce(f64::min);
        Duration::from_secs_f64(quickest_ms.unwrap_or_default() / 1_000.0)
    }

    /// Estimates when the turn of a request comes that has `ahead` others before it.
    fn turn_in(&self, now: Instant, forwards: bool, ahead: usize) -> Duration {
        let members = if forwards { &self.homes } else { &self.members };
        let usable = members.values().filter(|state| state.usable(now));
        let side_by_side: f64 = usable.map(|state| state.allowance).sum();
        let latencies = members.values().map(|state| state.latency_ms);
        let latency_ms = latencies.fold(0.0, f64::max);
        self.queue.turn_in(now, ahead, latency_ms, side_by_side)
    }
}

impl state::Broker {
    pub(super) fn arrived(
        &mut self,
        now: Instant,
        request: request::Request,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group_id = request.group;
        let group = self.groups.entry(group_id);
        let forwards = !request.forwarded && group.forwards_to().is_some();
        if !forwards {
            group.served_at = Some(now);
        }
        let answered_at = now + group.quickest_answer();
        let ahead = group.queue.ahead_of(answered_at, &request);
        let turn = group.turn_in(now, forwards, ahead);
        // A missed objective is no reason to refuse what can still be answered.
        let latest = match request.objective_at > now {
            true => request.deadline.min(request.objective_at),
            false => request.deadline,
        };
        if ahead > 0 && answered_at + turn > latest {
            effects.push(refuse(now, &request, effect::Reason::Overload, turn));
            return;
        }
        self.requests.insert(request.id, group_id);
        group.queue.push(now, request);
        self.pump(now, group_id, effects);
    }

    pub(super) fn abandoned(&mut self, request: id::RequestId) {
        if let Some(group_id) = self.requests.remove(request) {
            self.groups.entry(group_id).queue.remove(request);
        }
    }

    pub(super) fn pump_of(
        &mut self,
        now: Instant,
        member: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(group_id) = self.members.get(member).copied() {
            self.pump(now, group_id, effects);
        }
    }

    /// Serves, refuses or goes on to hold each waiting request of a group.
    pub(super) fn pump(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        if group.queue.is_empty() {
            return;
        }
        // What would be given up before its answer is refused while that is still true to say.
        let answered_at = now + group.quickest_answer();
        for request in group.queue.take_expired(answered_at) {
            self.requests.remove(request.id);
            effects.push(refuse(now, &request, effect::Reason::Late, Duration::ZERO));
        }
        let waiting = group.queue.ordered(answered_at).to_vec();
        let mut wanted: Vec<id::MemberId> = Vec::new();
        for (ahead, request) in waiting.into_iter().enumerate() {
            match self.choose(now, &request) {
                Choice::Grant { member, floor } => {
                    self.grant(now, &request, member, floor, effects);
                }
                Choice::Open(member) => wanted.push(member),
                Choice::Index => self.groups.entry(group_id).wants_index = true,
                Choice::Wait => {
                    // Who is in time is not weighed again: most are, and each estimate goes over all members.
                    if request.objective_at < answered_at && ahead > 0 {
                        self.refuse_if_hopeless(now, &request, ahead, effects);
                    }
                }
                Choice::Refuse(reason, wait) => {
                    self.requests.remove(request.id);
                    self.groups.entry(group_id).queue.remove(request.id);
                    effects.push(refuse(now, &request, reason, wait));
                }
            }
        }
        self.open_wanted(now, &wanted, effects);
        self.try_doubtful(now, group_id, effects);
        self.probe_if_wanted(now, group_id, effects);
    }

    /// Refuses a request that has missed its objective, and gives way to others until its deadline has passed as well.
    fn refuse_if_hopeless(
        &mut self,
        now: Instant,
        request: &request::Request,
        ahead: usize,
        effects: &mut Vec<effect::Effect>,
    ) {
        let group = self.groups.entry(request.group);
        let forwards = !request.forwarded && group.forwards_to().is_some();
        let turn = group.turn_in(now, forwards, ahead);
        if now + turn > request.deadline {
            self.requests.remove(request.id);
            group.queue.remove(request.id);
            let reason = effect::Reason::Overload;
            effects.push(refuse(now, request, reason, turn));
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
        let forwarded = self.is_peer(member);
        let Some(state) = self.member_state_mut(member) else {
            return;
        };
        let Some(idle) = state.idle.pop() else {
            return;
        };
        state.leased += 1;
        state.running += 1;
        self.requests.remove(request.id);
        let queue = &mut self.groups.entry(request.group).queue;
        queue.remove(request.id);
        queue.departed(now);
        effects.push(effect::Effect::Grant(effect::Grant {
            request: request.id,
            conn: idle.conn,
            member,
            floor,
            verify: request.requirement == request::Requirement::VerifiedLeader && !forwarded,
        }));
    }

    /// Opens as many connections as requests wait for beyond those being opened.
    fn open_wanted(
        &mut self,
        now: Instant,
        wanted: &[id::MemberId],
        effects: &mut Vec<effect::Effect>,
    ) {
        for (nth, &member) in wanted.iter().enumerate() {
            let before = wanted[..nth].iter().filter(|&&other| other == member);
            let nth_there = u32::try_from(before.count()).unwrap_or(u32::MAX);
            let due = self
                .member_state(member)
                .is_some_and(|state| state.may_open(now) && nth_there >= state.opening);
            if due {
                self.open(member, effects);
            }
        }
    }

    fn choose(&self, now: Instant, request: &request::Request) -> Choice {
        let Some(group) = self.groups.get(request.group) else {
            return Choice::Refuse(effect::Reason::NoMember, GAP_USUAL);
        };
        if let Some(homes) = group.forwards_to()
            && !request.forwarded
            && let Some(choice) = self.choose_home(now, group, homes, request)
        {
            return choice;
        }
        match request.requirement {
            request::Requirement::Leader | request::Requirement::VerifiedLeader => {
                self.choose_leader(now, group, request)
            }
            request::Requirement::Recent {
                since,
                session_commit,
            } => match group.index.floor(since, session_commit) {
                Some(floor) => self.choose_any(now, group, request, floor),
                None if self.usable_leader(now, group).is_some() => Choice::Index,
                None => vacant(now, group, request),
            },
        }
    }

    /// Chooses the home that a request is forwarded to; none if no home can be reached, so that it has to be served here.
    fn choose_home(
        &self,
        now: Instant,
        group: &state::Group,
        homes: &sorted::Map<id::MemberId, member_state::MemberState>,
        request: &request::Request,
    ) -> Option<Choice> {
        // What needs the leader goes on from the home to it.
        let leader = match request.requirement {
            request::Requirement::Leader | request::Requirement::VerifiedLeader => {
                group.leader.member
            }
            request::Requirement::Recent { .. } => None,
        };
        let leader = leader.and_then(|leader| group.members.get(leader));
        let onward_ms = |home: &member_state::MemberState| {
            leader.map_or(0.0, |leader| {
                place::distance_ms(&home.entry.place, &leader.entry.place)
            })
        };
        let cost = |state: &member_state::MemberState| {
            let input = place::PlacementInput {
                now,
                origin: &self.settings.place,
                floor: None,
                leads: false,
                avoided: request.avoid == Some(state.entry.id),
            };
            let open = if state.idle.is_empty() { OPEN_MS } else { 0.0 };
            let unproven = if state.is_unproven() {
                UNPROVEN_MS
            } else {
                0.0
            };
            place::cost_ms(state, &input) + onward_ms(state) + open + unproven
        };
        let reached = homes.values().filter(|state| state.usable(now));
        let state = reached.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let session_commit = match request.requirement {
            request::Requirement::Recent { session_commit, .. } => session_commit,
            request::Requirement::Leader | request::Requirement::VerifiedLeader => None,
        };
        Some(if !state.idle.is_empty() {
            let member = state.entry.id;
            Choice::Grant {
                member,
                floor: session_commit,
            }
        } else if state.may_open(now) {
            Choice::Open(state.entry.id)
        } else {
            Choice::Wait
        })
    }

    /// Returns the leader if it may be sent new work: one that leaves serves until it is replaced, within the bound.
    fn usable_leader<'a>(
        &self,
        now: Instant,
        group: &'a state::Group,
    ) -> Option<&'a member_state::MemberState> {
        let state = group.members.get(group.leader.member?)?;
        let leaving_since = state.leaving_since.or(state.missing_since);
        let drained = leaving_since.is_some_and(|since| {
            now.saturating_duration_since(since) * 4 > self.settings.drain_timeout * 3
        });
        (!drained && state.failures < 2).then_some(state)
    }

    fn choose_leader(
        &self,
        now: Instant,
        group: &state::Group,
        request: &request::Request,
    ) -> Choice {
        let Some(state) = self.usable_leader(now, group) else {
            return vacant(now, group, request);
        };
        if state.is_backing_off(now) || !state.has_room() {
            return Choice::Wait;
        }
        match state.idle.is_empty() {
            false => Choice::Grant {
                member: state.entry.id,
                floor: None,
            },
            true => self.open_or_wait(now, request, state),
        }
    }

    fn choose_any(
        &self,
        now: Instant,
        group: &state::Group,
        request: &request::Request,
        floor: floor::Point,
    ) -> Choice {
        let cost = |state: &member_state::MemberState| {
            let input = place::PlacementInput {
                now,
                origin: &self.settings.place,
                floor: Some(floor),
                leads: group.leader.member == Some(state.entry.id),
                avoided: request.avoid == Some(state.entry.id),
            };
            let open = if state.idle.is_empty() { OPEN_MS } else { 0.0 };
            place::cost_ms(state, &input) + open
        };
        let leader = self.usable_leader(now, group).map(|state| state.entry.id);
        let can = |state: &&member_state::MemberState| {
            let listed =
                state.usable(now) || leader == Some(state.entry.id) && !state.is_backing_off(now);
            let conn = !state.idle.is_empty() || state.may_open(now);
            let elsewhere = request.hedge && request.avoid == Some(state.entry.id);
            let fresh = !state.is_behind(now, Some(floor));
            listed && state.has_room() && conn && fresh && !elsewhere
        };
        let best = group
            .members
            .values()
            .filter(can)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        match best {
            Some(state) if !state.idle.is_empty() => Choice::Grant {
                member: state.entry.id,
                floor: Some(floor),
            },
            Some(state) => self.open_or_wait(now, request, state),
            None if request.hedge => Choice::Refuse(effect::Reason::Overload, Duration::ZERO),
            None if group.members.is_empty() => Choice::Refuse(effect::Reason::NoMember, GAP_USUAL),
            None => Choice::Wait,
        }
    }

    fn open_or_wait(
        &self,
        now: Instant,
        request: &request::Request,
        state: &member_state::MemberState,
    ) -> Choice {
        let limit = self
            .topology
            .groups
            .get(request.group)
            .map_or(u32::MAX, |config| config.connections_max);
        if state.may_open(now) && state.connections() < limit {
            Choice::Open(state.entry.id)
        } else {
            Choice::Wait
        }
    }

    /// Lends an idle connection of the leader to a probe, where the index is wanted and no probe is under way.
    pub(super) fn probe_if_wanted(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get(group_id) else {
            return;
        };
        if !group.wants_index || group.probing {
            return;
        }
        let Some(state) = self.usable_leader(now, group) else {
            return;
        };
        let (member, free) = (state.entry.id, !state.idle.is_empty());
        let opens =
            !free && state.opening == 0 && state.may_open(now) && !state.is_backing_off(now);
        if opens {
            self.open(member, effects);
            return;
        }
        let Some(idle) = self
            .member_state_mut(member)
            .and_then(|state| state.idle.pop())
        else {
            return;
        };
        if let Some(state) = self.member_state_mut(member) {
            state.leased += 1;
            state.running += 1;
        }
        let group = self.groups.entry(group_id);
        group.wants_index = false;
        group.probing = true;
        group.probe_at = Some(now);
        effects.push(effect::Effect::Probe {
            conn: idle.conn,
            member,
        });
    }
}

/// Decides on a request that needs a leader while there is none: it waits if the leader's return can be expected
/// before its deadline, and is refused at once otherwise.
fn vacant(now: Instant, group: &state::Group, request: &request::Request) -> Choice {
    let leader = group
        .leader
        .member
        .and_then(|member| group.members.get(member));
    let since = group
        .leader
        .vacant_since
        .or(leader.and_then(|state| state.failing_since))
        .unwrap_or(now);
    let back_at = (since + GAP_USUAL).max(now + GAP_OVERDUE);
    if back_at > request.deadline {
        Choice::Refuse(
            effect::Reason::NoLeader,
            back_at.saturating_duration_since(now),
        )
    } else {
        Choice::Wait
    }
}

fn refuse(
    now: Instant,
    request: &request::Request,
    reason: effect::Reason,
    wait: Duration,
) -> effect::Effect {
    effect::Effect::Refuse(effect::Refusal {
        request: request.id,
        reason,
        retry_at: queue::retry_at(now, request.id, wait),
    })
}
