//! The choice of a member or home for a waiting request.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::effect;
use crate::member_state;
use crate::place;
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
/// Time after which a caller may retry whose workspace has been removed meanwhile, or is not known yet.
const UNKNOWN_WORKSPACE_RETRY: Duration = Duration::from_millis(500);
/// Cost of opening a connection, in ms. It is less than the opening takes, because later requests use the connection, too.
const OPEN_COST_MS: f64 = 6.0;
/// Added to the cost of a home that has never answered, in ms: more than the distance to another home that has answered. The
/// broker connects to such a home independently of requests.
const UNANSWERED_HOME_COST_MS: f64 = 100.0;

/// A connection that a request waits for.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(super) struct Wanted {
    pub(super) member: id::MemberId,
    /// Workspace of the request; `None` for a home.
    pub(super) workspace: Option<id::WorkspaceId>,
    /// Whether other members may serve the request, too.
    pub(super) any_member: bool,
}

impl Wanted {
    /// Returns whether a connection that is opened for the other request would serve this one, too.
    pub(super) fn is_alike(&self, other: &Self) -> bool {
        match self.any_member {
            true => other.any_member && other.workspace == self.workspace,
            false => other == self,
        }
    }
}

/// Decision on a waiting request.
pub(super) enum Decision {
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

impl state::Broker {
    /// Decides on a waiting request.
    pub(super) fn decide(&self, now: Instant, request: &request::Request) -> Decision {
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
    pub(super) fn is_covered(
        &self,
        group: &state::GroupState,
        term: id::Term,
        instant: Instant,
    ) -> bool {
        self.settings.fenced || group.lease.lease.covers(term, instant)
    }

    /// Returns whether a request needs a lease of the leader, or trust in it, and there is none.
    pub(super) fn lacks_lease(&self, now: Instant, request: &request::Request) -> bool {
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
