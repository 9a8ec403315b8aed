//! Hands the primary role over from a member whose VM is leaving to a replica, while that member still answers.
//!
//! The proxy fences only the primary first: its log stops growing, but replicas of older terms still follow it. Once
//! a replica has reached the primary's last entry, the grants of the primary and this replica form a majority (with
//! three members), and the replica's log is as advanced as the primary's. The member to promote is chosen by the same
//! rule as after a failure, so a handover may fail but cannot lose a write.

use std::time::{Duration, Instant};

use crate::failover::term_requests::{Action, TermRequests};
use crate::failover::{Context, Failover, Stage, TermAnswers};
use crate::floor;
use crate::id;
use crate::status;

/// Time that a replica has to reach the last entry of the fenced primary.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum time between two handovers.
const HANDOVER_BACKOFF: Duration = Duration::from_secs(5);
/// Delay per rank of the proxy before it starts a handover; the first-ranked proxy starts at once.
const HANDOVER_RANK_DELAY: Duration = Duration::from_secs(2);
/// A handover starts only if some replica lags the primary by at most this time.
const HANDOVER_START_LAG_MAX: Duration = Duration::from_millis(500);

impl Failover {
    /// Starts a handover once the delay for this proxy's rank has passed and a replica lags little enough.
    pub(super) fn start_handover_if_due(&mut self, context: &mut Context<'_>) {
        let leaving_since = *self.primary_leaving_since.get_or_insert(context.now);
        let start_at = leaving_since + HANDOVER_RANK_DELAY * context.rank;
        let is_backing_off = self
            .answering_primary_backoff_until
            .is_some_and(|at| context.now < at);
        if is_backing_off || context.now < start_at || !context.has_near_successor() {
            return;
        }
        self.answering_primary_backoff_until = Some(context.now + HANDOVER_BACKOFF);
        self.claim(context);
    }

    /// Fences the primary alone, so that its log stops growing, and gives a replica time to catch up.
    pub(super) fn fence_primary(
        &mut self,
        context: &mut Context<'_>,
        term: id::Term,
        primary: id::MemberId,
    ) {
        let mut requests = TermRequests::new(context, Action::Fence, term);
        requests.deadline = catch_up_deadline(context);
        requests.send(context, primary);
        let fenced = None;
        self.enter_stage(context, Stage::HandingOver { requests, fenced }, term);
    }

    /// Fences a replica that has reached the fenced primary's last entry. If the two form no majority, fences every
    /// other member.
    pub(super) fn fence_successor(&mut self, context: &mut Context<'_>) {
        let Stage::HandingOver { requests, fenced } = &self.stage else {
            return;
        };
        let (term, Some((primary, status))) = (requests.term, *fenced) else {
            return;
        };
        let Some(successor) = context.successor(status.last) else {
            return;
        };
        let mut answers = TermAnswers::default();
        answers.record_grant(primary, status);
        let pair_is_majority = context.watch.majority() <= 2;
        let members = match pair_is_majority {
            true => vec![successor],
            false => context.members_except(primary),
        };
        self.fence(context, term, answers, &members);
    }

    /// Ends a handover that took too long and continues in [`Stage::Fencing`], as without a handover: the proxy
    /// fences the other members too and promotes the most advanced member, which may be the old primary. Gives up if
    /// the old primary has not granted the term.
    pub(super) fn fall_back_to_fencing(&mut self, context: &mut Context<'_>) {
        let Stage::HandingOver { requests, fenced } = &self.stage else {
            return;
        };
        let (term, Some((primary, status))) = (requests.term, *fenced) else {
            return self.give_up(context);
        };
        let mut answers = TermAnswers::default();
        answers.record_grant(primary, status);
        let others = context.members_except(primary);
        self.fence(context, term, answers, &others);
    }
}

impl Context<'_> {
    /// Returns whether a replica whose VM stays lags little enough to start a handover.
    fn has_near_successor(&self) -> bool {
        let Some(primary_point) = self.watch.primary().map(status::Member::last_point) else {
            return false;
        };
        self.possible_successors().any(|member| {
            let fresh_at = self.watch.freshness.fresh_at(member.last_point());
            let lags_little = fresh_at.is_some_and(|at| at + HANDOVER_START_LAG_MAX >= self.now);
            member.last_point() >= primary_point || lags_little
        })
    }

    /// Returns the nearest reachable replica whose VM stays and whose log has reached the point.
    fn successor(&self, point: floor::Point) -> Option<id::MemberId> {
        let caught_up = self
            .possible_successors()
            .filter(|member| member.last_point() >= point);
        let nearest = caught_up.min_by_key(|member| member.round_trip);
        nearest.map(|member| member.id)
    }

    /// Iterates over the reachable replicas whose VM stays.
    fn possible_successors(&self) -> impl Iterator<Item = &status::Member> {
        let primary = self.watch.primary().map(|member| member.id);
        let members = self.watch.members.values();
        members.filter(move |member| {
            let stays = !self.leaving.contains(&member.id);
            stays && member.reachable && Some(member.id) != primary
        })
    }

    /// Returns all members but one.
    pub(super) fn members_except(&self, member: id::MemberId) -> Vec<id::MemberId> {
        let members = self.watch.members.keys();
        members.filter(|other| *other != member).collect()
    }
}

fn catch_up_deadline(context: &Context<'_>) -> Instant {
    context.now + CATCH_UP_TIMEOUT
}
