//! Sends control requests to a group's members and evaluates their answers.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::floor;
use crate::id;
use crate::sorted;
use crate::status::{
    Confirmations, ControlRequest, Freshness, HeartbeatIntervals, Member, PositionWaits,
    ReadIndexWaits, Role,
};

/// Time after a failed control request in which the member gets no other.
const CONTROL_REQUEST_BACKOFF: Duration = Duration::from_millis(100);
/// Time without a tick after which this proxy counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time that a member has to answer a control request.
const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which a replica that has not heard from its primary counts as cut off from it. Primary and replica
/// contact each other at least every 500 ms even if there are no new entries; this is three times that.
const UPSTREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which the group counts as busy after a caller's request, or after a peer reported a different view of it.
const BUSY_PERIOD: Duration = Duration::from_secs(2);

/// View of one group's members, and the callers' requests that wait for the members' answers.
#[derive(Clone, Debug)]
pub struct Watch {
    group: id::GroupId,
    /// State of each configured member.
    pub members: sorted::Map<id::MemberId, Member>,
    /// Reads that wait for their read index.
    pub read_index_waits: ReadIndexWaits,
    /// Commits that wait for a majority.
    pub confirmations: Confirmations,
    /// Reads that wait for a member to reach a position.
    pub position_waits: PositionWaits,
    /// Samples of the group's newest point over time.
    pub freshness: Freshness,
    ticked_at: Instant,
    role: Role,
    heartbeat_intervals: HeartbeatIntervals,
    busy_until: Instant,
    frequent_heartbeats_since: Option<Instant>,
}

/// What follows from a status answer, or from the lack of one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// Reads whose read index is now known, with the index.
    pub read_indexes: Vec<(id::RequestId, floor::Point)>,
    /// Commits that a majority of members holds.
    pub confirmed: Vec<(id::RequestId, floor::Point)>,
    /// Commits that a majority can no longer confirm.
    pub unconfirmed: Vec<id::RequestId>,
    /// Members whose reachability changed, and whether each is reachable now.
    pub reachability_changes: Vec<(id::MemberId, bool)>,
}

impl Watch {
    /// Creates the view of a group whose members have not reported yet.
    pub fn new(
        group: id::GroupId,
        members: impl Iterator<Item = id::MemberId>,
        now: Instant,
    ) -> Self {
        Self {
            group,
            members: members.map(|id| (id, Member::new(id, now))).collect(),
            read_index_waits: ReadIndexWaits::default(),
            confirmations: Confirmations::default(),
            position_waits: PositionWaits::default(),
            freshness: Freshness::default(),
            ticked_at: now,
            role: Role::Passive,
            heartbeat_intervals: HeartbeatIntervals::new(Role::Passive, true),
            busy_until: now + BUSY_PERIOD,
            frequent_heartbeats_since: Some(now),
        }
    }

    /// Adds members that a new configuration contains and removes the others.
    pub fn configure(&mut self, members: impl Iterator<Item = id::MemberId>, now: Instant) {
        let wanted: sorted::Map<id::MemberId, ()> = members.map(|id| (id, ())).collect();
        self.members.retain(|id, _| wanted.contains(id));
        for id in wanted.keys() {
            if !self.members.contains(id) {
                self.members.insert(id, Member::new(id, now));
            }
        }
    }

    /// Returns how many members form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the member that reports itself as the primary of the highest term, reachable or not.
    pub fn primary(&self) -> Option<&Member> {
        let top_term = self.top_term();
        self.members.values().find(|member| {
            member
                .status
                .is_some_and(|status| status.primary && status.term == top_term)
        })
    }

    /// Returns the primary if a majority of members answers this proxy, so that a write can be acknowledged. Without
    /// a majority a write would run and end in an unknown outcome.
    pub fn writable_primary(&self) -> Option<&Member> {
        let confirmable = self.reachable_count() >= self.majority();
        self.primary().filter(|_| confirmable)
    }

    /// Returns whether the primary answers, but a majority of members reports that it no longer hears from the primary.
    /// Then no commit can be confirmed, and these members suffice to replace the primary. A replica that only lags
    /// still hears from its primary.
    pub fn primary_has_lost_majority(&self) -> bool {
        if !self.primary().is_some_and(|primary| primary.reachable) {
            return false;
        }
        let top_term = self.top_term();
        let cut_off = self.members.values().filter(|member| {
            let report = member.status.filter(|status| status.term == top_term);
            let is_cut_off =
                |status: event::Status| status.upstream_silence >= UPSTREAM_SILENCE_TIMEOUT;
            member.reachable && report.is_some_and(|status| !status.primary && is_cut_off(status))
        });
        let cut_off = cut_off.count();
        let others = self.members.len() - cut_off;
        others < self.majority() && cut_off >= self.majority()
    }

    /// Returns the highest term that any member has reported.
    pub fn top_term(&self) -> id::Term {
        let terms = self.members.values().filter_map(|member| member.status);
        terms.map(|status| status.term).max().unwrap_or(0)
    }

    /// Returns the newest point that any member has reported.
    pub fn newest_point(&self) -> floor::Point {
        let points = self.members.values().map(Member::last_point);
        points.max().unwrap_or_default()
    }

    /// Returns how many members are reachable.
    pub fn reachable_count(&self) -> usize {
        let reachable = self.members.values().filter(|member| member.reachable);
        reachable.count()
    }

    /// Applies a member's answer to a control request.
    pub fn apply_status_answer(&mut self, now: Instant, answer: event::StatusAnswer) -> Results {
        let mut results = Results::default();
        let majority = self.majority();
        let Some(member) = self.members.get_mut(answer.member) else {
            return results;
        };
        let Some(control_request) = member.control_requests.remove(answer.control_request) else {
            return results;
        };
        let Some(status) = answer.status else {
            member.backoff_until = now + CONTROL_REQUEST_BACKOFF;
            return results;
        };
        if member.record_answer(now, control_request, status) {
            results.reachability_changes.push((answer.member, true));
        }
        self.sample_freshness();
        self.record_if_caught_up(answer.member);
        results.read_indexes = self.read_index_waits.record_report(
            answer.member,
            control_request.sent_at,
            status.last,
            majority,
        );
        self.record_report(answer.member, status, &mut results);
        results
    }

    /// Lowers the estimate of the time that the member takes to catch up, if the member has every entry that
    /// the group is known to have.
    fn record_if_caught_up(&mut self, member: id::MemberId) {
        let newest = self.newest_point();
        let member = self.members.get_mut(member);
        if let Some(member) = member.filter(|member| member.last_point() >= newest) {
            member.record_caught_up();
        }
    }

    /// Samples the group's newest point.
    ///
    /// The reports of a majority cover every write acknowledged before the answered requests were sent. Fewer reports
    /// may all come from replicas that are cut off from the primary.
    fn sample_freshness(&mut self) {
        let sent_at = self
            .members
            .values()
            .filter_map(|m| m.answered_request_sent_at);
        let mut newest_first: Vec<Instant> = sent_at.collect();
        newest_first.sort_unstable_by(|one, other| other.cmp(one));
        if let Some(at) = newest_first.get(self.majority() - 1) {
            self.freshness.record(*at, self.newest_point());
        }
    }

    /// Records the status that a member reported with its answer to a fence or promotion.
    pub fn record_status(
        &mut self,
        now: Instant,
        member: id::MemberId,
        status: event::Status,
    ) -> Results {
        let mut results = Results::default();
        if let Some(known) = self.members.get_mut(member) {
            // The status answers no status request, so there is no time at which one was sent.
            known.record_status(now, None, status);
            self.record_report(member, status, &mut results);
        }
        results
    }

    /// Applies a member's report to the commits that wait for a majority.
    fn record_report(
        &mut self,
        member: id::MemberId,
        status: event::Status,
        results: &mut Results,
    ) {
        let members = self.members.len();
        let decided = self.confirmations.record_report(member, status, members);
        results.confirmed = decided.confirmed;
        results.unconfirmed = decided.unconfirmed;
    }

    /// Returns how many members have not answered yet and still have time to do so.
    pub fn pending_count(&self, now: Instant) -> usize {
        let pending = self
            .members
            .values()
            .filter(|member| member.is_pending(now));
        pending.count()
    }

    /// Returns whether every reachable member has answered a control request sent at `since` or later.
    pub fn all_answered_since(&self, since: Instant) -> bool {
        let mut reachable = self.members.values().filter(|member| member.reachable);
        reachable.all(|member| {
            member
                .answered_request_sent_at
                .is_some_and(|at| at >= since)
        })
    }

    /// Makes the next heartbeat to every member due now.
    pub fn expedite_member_heartbeats(&mut self, now: Instant) {
        for (_, member) in self.members.iter_mut() {
            member.heartbeat_at = member.heartbeat_at.min(now);
        }
    }

    /// Records that a caller's request arrived: the group counts as busy for a while.
    pub fn record_activity(&mut self, now: Instant) {
        let was_busy = now < self.busy_until;
        self.busy_until = now + BUSY_PERIOD;
        if !was_busy {
            self.set_role(now, self.role);
            self.expedite_member_heartbeats(now);
        }
    }

    /// Makes the group count as busy for a while, because a peer's view of it differs. Members also get heartbeats at
    /// once.
    pub fn mark_uncertain(&mut self, now: Instant) {
        self.record_activity(now);
        self.expedite_member_heartbeats(now);
    }

    /// Sets this proxy's role for the group, and with it the heartbeat intervals.
    pub fn set_role(&mut self, now: Instant, role: Role) {
        let busy = now < self.busy_until;
        self.role = role;
        self.heartbeat_intervals = HeartbeatIntervals::new(role, busy);
        let has_frequent_heartbeats = busy || matches!(role, Role::Watcher { .. });
        self.frequent_heartbeats_since =
            match (has_frequent_heartbeats, self.frequent_heartbeats_since) {
                (true, None) => Some(now),
                (true, since) => since,
                (false, _) => None,
            };
        let primary = self.primary().map(|member| member.id);
        for (id, member) in self.members.iter_mut() {
            let due_by = now + self.heartbeat_intervals.for_member(primary, id);
            member.heartbeat_at = member.heartbeat_at.min(due_by);
        }
    }

    /// Returns whether the primary answers; `Some(false)` if no primary is known. Returns `None` if peers could not
    /// rely on the result: this proxy's heartbeats are rare, or a reachable primary has not answered since they
    /// became frequent.
    pub fn primary_answers(&self) -> Option<bool> {
        let since = self.frequent_heartbeats_since?;
        let Some(primary) = self.primary() else {
            return Some(false);
        };
        let current = !primary.reachable
            || primary
                .answered_request_sent_at
                .is_some_and(|at| at >= since);
        current.then_some(primary.reachable)
    }

    /// Marks silent members unreachable and sends the control requests that are due.
    pub fn tick(
        &mut self,
        now: Instant,
        last_control_request: &mut id::ControlRequestId,
        effects: &mut Vec<effect::Effect>,
    ) -> Results {
        let mut results = Results::default();
        // If this proxy was paused, members had no chance to answer: they get their full time again.
        let paused = now.saturating_duration_since(self.ticked_at) >= PAUSE_THRESHOLD;
        self.ticked_at = now;
        for (id, member) in self.members.iter_mut() {
            member.control_requests.remove_expired(now);
            if paused {
                member.restart_unreachable_timeout(now);
            }
            if member.mark_unreachable_if_silent(now) {
                results.reachability_changes.push((id, false));
            }
        }
        self.send_control_requests(now, last_control_request, effects);
        results
    }

    /// Sends every member the control requests that are due: an immediate one, which the member answers at once, for a
    /// heartbeat or a read index; and a delayed one, which it answers when its log has reached the position, for the
    /// lowest position that a read or a commit waits for.
    pub fn send_control_requests(
        &mut self,
        now: Instant,
        last_control_request: &mut id::ControlRequestId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let may_ask = |member: &Member| now >= member.backoff_until;
        let primary = self.primary().map(|member| member.id);
        for (id, member) in self.members.iter_mut().filter(|(_, m)| may_ask(m)) {
            let heartbeat_is_due = now >= member.heartbeat_at && member.control_requests.has_room();
            // An overdue answer is requested again at once, however rare heartbeats are.
            let heartbeat_is_due = heartbeat_is_due || member.may_repeat_overdue(now);
            let read_needs_answer = self
                .read_index_waits
                .needs_answer(id, member.answered_request_sent_at);
            if heartbeat_is_due || read_needs_answer && member.may_send_immediate(now) {
                let control_request = new_control_request(now, last_control_request, 0);
                member.control_requests.immediate.push(control_request);
                member.start_unreachable_timeout(now);
                member.heartbeat_at = now + self.heartbeat_intervals.for_member(primary, id);
                effects.push(ask_status(self.group, id, control_request));
            }
            let read_position = self
                .position_waits
                .lowest_after(id, member.last_point().position);
            let positions = read_position
                .into_iter()
                .chain(self.confirmations.lowest_undecided(id));
            let lowest = positions.min();
            if let (Some(position), None) = (lowest, member.control_requests.delayed) {
                let control_request = new_control_request(now, last_control_request, position);
                member.control_requests.delayed = Some(control_request);
                effects.push(ask_status(self.group, id, control_request));
            }
        }
    }
}

fn new_control_request(
    now: Instant,
    last_control_request: &mut id::ControlRequestId,
    min_position: id::Position,
) -> ControlRequest {
    *last_control_request += 1;
    ControlRequest {
        id: *last_control_request,
        sent_at: now,
        deadline: now + CONTROL_REQUEST_TIMEOUT,
        min_position,
    }
}

fn ask_status(
    group: id::GroupId,
    member: id::MemberId,
    control_request: ControlRequest,
) -> effect::Effect {
    effect::Effect::AskStatus {
        control_request: control_request.id,
        group,
        member,
        min_position: control_request.min_position,
        deadline: control_request.deadline,
    }
}
