//! Moving a primary whose VM is leaving, while it still serves.
//!
//! The primary is fenced alone first: from then on its log does not grow, but replicas of older terms still
//! follow it. Once one has reached its last entry the two together are a majority of grants (with three
//! members), and the replica is as advanced as the primary. Each promotion is chosen by the same rule as after
//! a failure, so a move can fail to happen but can't lose a write.

use std::time::{Duration, Instant};

use crate::failover::attempt::{Attempt, Step};
use crate::failover::{Context, Failover, Fencing, Stage};
use crate::floor;
use crate::id;
use crate::status;

/// Time that a replica is given to reach the fenced primary's last entry.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between attempts to move a primary.
const MOVE_BACKOFF: Duration = Duration::from_secs(5);
/// Delay before the second-ranked proxy moves a primary, and each further rank after it.
const MOVE_RANK_DELAY: Duration = Duration::from_secs(2);
/// Time that a replica may be behind when a move starts.
const CATCH_UP_START: Duration = Duration::from_millis(500);

impl Failover {
    /// Starts a move once it is this proxy's turn and a replica is nearly as advanced as the primary.
    pub(super) fn consider_move(&mut self, context: &mut Context<'_>) {
        let since = *self.leaving_since.get_or_insert(context.now);
        let turn = since + MOVE_RANK_DELAY * context.rank;
        let waits = self.spared_until.is_some_and(|at| context.now < at);
        if waits || context.now < turn || !context.has_successor() {
            return;
        }
        self.spared_until = Some(context.now + MOVE_BACKOFF);
        self.claim(context);
    }

    /// Fences the primary alone.
    pub(super) fn hand_over(
        &mut self,
        context: &mut Context<'_>,
        term: id::Term,
        primary: id::MemberId,
    ) {
        let mut attempt = Attempt::new(context, Step::Fence, term);
        attempt.deadline = catch_up_by(context);
        attempt.send(context, primary);
        let fenced = None;
        self.enter(context, Stage::HandingOver { attempt, fenced }, term);
    }

    /// Fences the replica that has reached the fenced primary's last entry.
    pub(super) fn follow_up(&mut self, context: &mut Context<'_>) {
        let Stage::HandingOver { attempt, fenced } = &self.stage else {
            return;
        };
        let (term, Some((primary, status))) = (attempt.term, *fenced) else {
            return;
        };
        let Some(successor) = context.successor(status.last) else {
            return;
        };
        let mut fencing = Fencing::default();
        fencing.grant(primary, status);
        let enough = context.watch.majority() <= 2;
        let members = match enough {
            true => vec![successor],
            false => context.others(primary),
        };
        self.fence(context, term, fencing, &members);
    }

    /// Ends a move that took too long by the ordinary way: the most advanced member is promoted, which
    /// may be the old primary.
    pub(super) fn fall_back(&mut self, context: &mut Context<'_>) {
        let Stage::HandingOver { attempt, fenced } = &self.stage else {
            return;
        };
        let (term, Some((primary, status))) = (attempt.term, *fenced) else {
            return self.give_up(context);
        };
        let mut fencing = Fencing::default();
        fencing.grant(primary, status);
        let others = context.others(primary);
        self.fence(context, term, fencing, &others);
    }
}

impl Context<'_> {
    /// Returns whether a member that stays is nearly as advanced as the primary.
    fn has_successor(&self) -> bool {
        let Some(primary) = self.watch.primary().map(status::Member::last) else {
            return false;
        };
        self.candidates().any(|member| {
            let fresh_at = self.watch.freshness.fresh_at(member.last());
            let near = fresh_at.is_some_and(|at| at + CATCH_UP_START >= self.now);
            member.last() >= primary || near
        })
    }

    /// Returns the nearest member that stays, answers and has reached the point.
    fn successor(&self, point: floor::Point) -> Option<id::MemberId> {
        let fit = self.candidates().filter(|member| member.last() >= point);
        let nearest = fit.min_by_key(|member| member.round_trip);
        nearest.map(|member| member.id)
    }

    fn candidates(&self) -> impl Iterator<Item = &status::Member> {
        let primary = self.watch.primary().map(|member| member.id);
        let members = self.watch.members.values();
        members.filter(move |member| {
            let stays = !self.leaving.contains(&member.id);
            stays && member.reachable && Some(member.id) != primary
        })
    }

    pub(super) fn others(&self, member: id::MemberId) -> Vec<id::MemberId> {
        let members = self.watch.members.keys();
        members.filter(|other| *other != member).collect()
    }
}

fn catch_up_by(context: &Context<'_>) -> Instant {
    context.now + CATCH_UP_TIMEOUT
}
