//! Waiting requests, from their arrival to a granted connection or a refusal.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::member_state;
use crate::place;
use crate::queue;
use crate::request;
use crate::share;
use crate::state;

/// Usual time that a group has no leader: detection, hold commands and promotion.
const LEADER_GAP_USUAL: Duration = Duration::from_millis(1_500);
/// Shortest expected remaining time without a leader once the usual time has passed.
const LEADER_GAP_EXTENSION_MIN: Duration = Duration::from_millis(300);
/// Part of the time without a leader so far that is expected to follow once the usual time has passed: a long gap has another
/// cause than a replacement, for example a partition, and will last.
const LEADER_GAP_GROWTH: f64 = 0.5;
/// Time after the first configuration in which requests wait for the first read of the members and of the other proxies.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Factor of the estimated wait that an arriving request must have time for. The estimate varies while the request waits, and
/// without a margin many would be refused only shortly before their turn.
const ARRIVAL_MARGIN: f64 = 1.1;
/// Time after which a caller may retry whose workspace has been removed meanwhile, or is not known yet.
const UNKNOWN_WORKSPACE_RETRY: Duration = Duration::from_millis(500);
/// Cost of opening a connection, in ms. It is less than the opening takes, because later requests use the connection, too.
const OPEN_COST_MS: f64 = 6.0;

/// Added to the cost of a home that has never answered, in ms: more than the distance to another home that has answered. The
/// broker connects to such a home independently of requests.
const UNANSWERED_HOME_COST_MS: f64 = 100.0;

/// Mean answer time and number of concurrent statements of the members that serve a group's requests.
#[derive(Clone, Copy)]
pub(super) struct AnswerRate {
    latency_ms: f64,
    concurrency: f64,
}

/// A connection that a request waits for.
#[derive(Clone, Copy, Eq, PartialEq)]
struct Wanted {
    member: id::MemberId,
    /// Workspace of the request; `None` for a home.
    workspace: Option<id::WorkspaceId>,
    /// Whether other members may serve the request, too.
    any_member: bool,
}

impl Wanted {
    /// Returns whether a connection that is opened for the other request would serve this one, too.
    fn is_alike(&self, other: &Self) -> bool {
        match self.any_member {
            true => other.any_member && other.workspace == self.workspace,
            false => other == self,
        }
    }
}

/// Decision on a waiting request.
enum Decision {
    /// The request gets an idle connection to the member.
    Grant {
        member: id::MemberId,
        floor: Option<floor::Point>,
    },
    /// The request waits for a connection that has to be opened.
    Open(Wanted),
    /// The request waits for a sample of the read index.
    Sample,
    /// The request waits for the lease of the leader.
    Lease,
    /// The request waits on: for a connection, for the end of a back-off, for an answer that leaves room in the allowance, or
    /// for a leader.
    Wait,
    /// The request is refused, with the time until it may succeed.
    Refuse(effect::RefusalReason, Duration),
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
            Decision::Grant { .. } | Decision::Open(_)
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
        let mut wanted: Vec<Wanted> = Vec::new();
        let mut undecided = 0;
        for (position, request) in waiting.into_iter().enumerate() {
            let decision = self.decide(now, &request);
            // Requests of workspaces wait for connections of their own, so those that have got one do not count as ahead.
            let ahead = match request.workspace {
                Some(_) => undecided,
                None => position,
            };
            if !matches!(decision, Decision::Grant { .. } | Decision::Refuse(..)) {
                undecided += 1;
            }
            let without_leader = matches!(
                decision,
                Decision::Wait | Decision::Refuse(effect::RefusalReason::NoLeader, _)
            );
            let is_direct = !forwards || request.forwarded;
            if without_leader && is_direct && self.lacks_lease(now, &request) {
                self.groups.entry(group_id).lease.record_demand(now);
            }
            match decision {
                Decision::Grant { member, floor } => {
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
                Decision::Open(opening) => wanted.push(opening),
                Decision::Sample => self.groups.entry(group_id).needs_sample = true,
                Decision::Lease => self.groups.entry(group_id).lease.record_demand(now),
                Decision::Wait if ahead > 0 => {
                    let rate = match forwards && !request.forwarded {
                        true => forwarding,
                        false => direct,
                    };
                    self.refuse_if_too_late(now, &request, rate, ahead, effects);
                }
                Decision::Wait => {}
                Decision::Refuse(reason, wait) => {
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
    fn open_wanted(&mut self, now: Instant, wanted: &[Wanted], effects: &mut Vec<effect::Effect>) {
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
    fn opening_for(&self, wants: &Wanted) -> usize {
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
        wants: &Wanted,
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

    /// Decides on a waiting request.
    fn decide(&self, now: Instant, request: &request::Request) -> Decision {
        let Some(group) = self.groups.get(request.group) else {
            return Decision::Refuse(effect::RefusalReason::NoMember, LEADER_GAP_USUAL);
        };
        if self.is_starting(now) {
            return Decision::Wait;
        }
        let is_known = |workspace| self.topology.workspace(workspace).is_some();
        if request
            .workspace
            .is_some_and(|workspace| !is_known(workspace))
        {
            return Decision::Refuse(effect::RefusalReason::NoWorkspace, UNKNOWN_WORKSPACE_RETRY);
        }
        if let Some(homes) = group.forwards_to()
            && !request.forwarded
            && let Some(decision) = self.choose_home(now, group, homes, request)
        {
            return decision;
        }
        match request.requirement {
            request::Requirement::Leader => match group.may_write(now, self.settings.fenced) {
                true => self.choose_leader(now, group, request),
                false => self.wait_for_lease(now, group, request),
            },
            request::Requirement::LeaderForReads { .. }
                if self.settings.fenced && self.lacks_lease(now, request) =>
            {
                self.wait_for_lease(now, group, request)
            }
            request::Requirement::LeaderForReads {
                acknowledged_before,
            }
            | request::Requirement::VerifiedLeader {
                acknowledged_before,
            } => match self.is_covered(group, group.leader_term(), acknowledged_before) {
                true => self.choose_leader(now, group, request),
                false => self.wait_for_lease(now, group, request),
            },
            request::Requirement::Recent {
                acknowledged_before,
                session_commit,
            } => match group.index.floor(acknowledged_before, session_commit) {
                Some(floor) if self.is_covered(group, group.index.term(), acknowledged_before) => {
                    self.choose_member(now, group, request, floor)
                }
                Some(_) if group.index.term() >= group.lease.lease.term() => {
                    self.wait_for_lease(now, group, request)
                }
                _ if self.usable_leader(now, group).is_some() => Decision::Sample,
                _ => decide_without_leader(now, group, request),
            },
        }
    }

    /// Returns whether the first read of the members or of the other proxies may still be under way. Before it, a request would
    /// be refused although a leader is known shortly after, or would open connections that belong to the homes.
    fn is_starting(&self, now: Instant) -> bool {
        let since = self.configured_at.unwrap_or(now);
        let waits = now.saturating_duration_since(since) < STARTUP_READ_TIMEOUT;
        waits && !(self.directory_read && self.peers_read)
    }

    /// Returns whether no member has been promoted unnoticed to a term newer than `term` before an instant, so that the log of
    /// the leader of `term` has all commits that were acknowledged before the instant.
    fn is_covered(&self, group: &state::GroupState, term: id::Term, instant: Instant) -> bool {
        self.settings.fenced || group.lease.lease.covers(term, instant)
    }

    /// Returns whether a request needs a lease of the leader, or trust in it, and there is none.
    fn lacks_lease(&self, now: Instant, request: &request::Request) -> bool {
        let fenced = self.settings.fenced;
        let group = self.groups.get(request.group);
        let needs = match request.requirement {
            request::Requirement::Leader | request::Requirement::LeaderForReads { .. } => true,
            request::Requirement::VerifiedLeader { .. } | request::Requirement::Recent { .. } => {
                !fenced
            }
        };
        let has_lease = |group: &state::GroupState| match fenced {
            true => group.may_write(now, fenced),
            false => group.has_evidence(now, fenced),
        };
        needs && !group.is_some_and(has_lease)
    }

    /// Decides on a request that the lease of the leader does not cover yet.
    fn wait_for_lease(
        &self,
        now: Instant,
        group: &state::GroupState,
        request: &request::Request,
    ) -> Decision {
        let led = self.usable_leader(now, group).is_some();
        let knows_members = self.knows_members(now);
        if led && group.may_renew_lease(knows_members, self.settings.fenced) {
            return Decision::Lease;
        }
        let waited = group
            .lease
            .demanded_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        if led && waited > LEADER_GAP_USUAL {
            // Another proxy may reach the claim row or the members that this one does not reach.
            let wait = waited.mul_f64(LEADER_GAP_GROWTH);
            return Decision::Refuse(effect::RefusalReason::NoLeader, wait);
        }
        decide_without_leader(now, group, request)
    }

    /// Chooses the home to which a request is forwarded. Returns `None` if no home can be reached, so that this proxy must
    /// serve the request itself.
    fn choose_home(
        &self,
        now: Instant,
        group: &state::GroupState,
        homes: &sorted::Map<id::MemberId, member_state::MemberState>,
        request: &request::Request,
    ) -> Option<Decision> {
        // The home sends a request that requires the leader to the leader, so the distance between the two counts.
        let leader = match request.requirement {
            request::Requirement::Recent { .. } => None,
            _ => group.leader.member,
        };
        let leader = leader.and_then(|leader| group.members.get(leader));
        let leader_distance_ms = |home: &member_state::MemberState| {
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
            let open_ms = if !state.has_idle(None) {
                OPEN_COST_MS
            } else {
                0.0
            };
            let unanswered_home_ms = if state.never_answered() {
                UNANSWERED_HOME_COST_MS
            } else {
                0.0
            };
            place::cost_ms(state, &input) + leader_distance_ms(state) + open_ms + unanswered_home_ms
        };
        let usable = homes.values().filter(|state| state.is_usable(now));
        let state = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let session_commit = match request.requirement {
            request::Requirement::Recent { session_commit, .. } => session_commit,
            _ => None,
        };
        Some(grant_or_open(now, state, None, session_commit))
    }

    /// Returns the leader if it may get new work. A leader that leaves or is no longer listed gets work until it is replaced,
    /// but only for three quarters of the drain timeout, so that the last quarter is left for transactions that run.
    pub(super) fn usable_leader<'a>(
        &self,
        now: Instant,
        group: &'a state::GroupState,
    ) -> Option<&'a member_state::MemberState> {
        let state = group.members.get(group.leader.member?)?;
        let leaving_since = state.leaving_since.or(state.unlisted_since);
        let drained = leaving_since.is_some_and(|since| {
            now.saturating_duration_since(since) * 4 > self.settings.drain_timeout * 3
        });
        (!drained && state.failures < 2).then_some(state)
    }

    /// Decides on a request that only the leader may serve.
    fn choose_leader(
        &self,
        now: Instant,
        group: &state::GroupState,
        request: &request::Request,
    ) -> Decision {
        let Some(state) = self.usable_leader(now, group) else {
            return decide_without_leader(now, group, request);
        };
        if state.is_backing_off(now)
            || !state.allows_statement()
            || !group.pace_allows(now, state, true)
        {
            return Decision::Wait;
        }
        grant_or_open(now, state, request.workspace, None)
    }

    /// Decides on a request that may be served by any member whose log has reached `floor`.
    fn choose_member(
        &self,
        now: Instant,
        group: &state::GroupState,
        request: &request::Request,
        floor: floor::Point,
    ) -> Decision {
        let cost = |state: &member_state::MemberState| {
            let input = place::PlacementInput {
                now,
                origin: &self.settings.place,
                floor: Some(floor),
                leads: group.leader.member == Some(state.entry.id),
                avoided: request.avoid == Some(state.entry.id),
            };
            let open_ms = if !state.has_idle(request.workspace) {
                OPEN_COST_MS
            } else {
                0.0
            };
            place::cost_ms(state, &input) + open_ms
        };
        let leader = self.usable_leader(now, group).map(|state| state.entry.id);
        let can_serve = |state: &&member_state::MemberState| {
            let usable = state.is_usable(now)
                || leader == Some(state.entry.id) && !state.is_backing_off(now);
            let connectable = share::choose(state, request.workspace, now) != share::Choice::Wait;
            let runs_first_attempt = request.hedge && request.avoid == Some(state.entry.id);
            let fresh = !state.is_behind(now, Some(floor));
            usable && state.allows_statement() && connectable && fresh && !runs_first_attempt
        };
        let candidates = || group.members.values().filter(can_serve);
        let best = candidates()
            .filter(|state| group.pace_allows(now, state, false))
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .or_else(|| group.last_resort(now, candidates()));
        match best {
            Some(state) => grant_or_open(now, state, request.workspace, Some(floor)),
            None if request.hedge => {
                Decision::Refuse(effect::RefusalReason::Overload, Duration::ZERO)
            }
            None if !group.has_member() => {
                Decision::Refuse(effect::RefusalReason::NoMember, LEADER_GAP_USUAL)
            }
            None => Decision::Wait,
        }
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

/// Decides on a request that a member or a home is to serve: it gets an idle connection, or waits for one.
fn grant_or_open(
    now: Instant,
    state: &member_state::MemberState,
    workspace: Option<id::WorkspaceId>,
    floor: Option<floor::Point>,
) -> Decision {
    let member = state.entry.id;
    match share::choose(state, workspace, now) {
        share::Choice::Use => Decision::Grant { member, floor },
        share::Choice::Open | share::Choice::Replace(_) => Decision::Open(Wanted {
            member,
            workspace,
            any_member: workspace.is_some() && floor.is_some(),
        }),
        share::Choice::Wait => Decision::Wait,
    }
}

/// Decides on a request that needs a leader while the group has none: it waits if a leader can be expected before its
/// deadline, and is refused at once otherwise.
fn decide_without_leader(
    now: Instant,
    group: &state::GroupState,
    request: &request::Request,
) -> Decision {
    let leader = group
        .leader
        .member
        .and_then(|member| group.members.get(member));
    let lease_ended_at = group.lease.lease.expires_at().filter(|at| *at < now);
    let gap_since = group
        .leader
        .no_leader_since
        .or(leader.and_then(|state| state.failing_since))
        .or(lease_ended_at)
        .unwrap_or(now);
    let lasted = now.saturating_duration_since(gap_since);
    let extension = LEADER_GAP_EXTENSION_MIN.max(lasted.mul_f64(LEADER_GAP_GROWTH));
    let expected_at = (gap_since + LEADER_GAP_USUAL).max(now + extension);
    if expected_at > request.deadline {
        Decision::Refuse(
            effect::RefusalReason::NoLeader,
            expected_at.saturating_duration_since(now),
        )
    } else {
        Decision::Wait
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
