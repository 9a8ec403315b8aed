//! Moves the primary role from a member whose VM is leaving to a replica, while the member still serves.
//!
//! The proxy fences only the primary first: its log stops growing, but replicas of older terms still follow it.
//! Once a replica has reached the primary's last entry, the grants of the primary and this replica form a
//! majority (with three members), and the replica's log is as advanced as the primary's. The member to promote
//! is chosen by the same rule as after a failure, so a move may fail but cannot lose a write.

use std::time::{Duration, Instant};

use crate::failover::attempt::{Attempt, Step};
use crate::failover::{Context, Failover, Fencing, Stage};
use crate::floor;
use crate::id;
use crate::status;

/// Time that a replica has to reach the last entry of the fenced primary.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum time between two attempts to move a primary.
const MOVE_BACKOFF: Duration = Duration::from_secs(5);
/// Delay per rank of the proxy before it moves a primary; the first-ranked proxy starts at once.
const MOVE_RANK_DELAY: Duration = Duration::from_secs(2);
/// Maximum lag of the replica that a move may start with.
const CATCH_UP_START: Duration = Duration::from_millis(500);

impl Failover {
    /// Starts a move once the delay for this proxy's rank has passed and a replica lags little enough.
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

    /// Fences only the primary.
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

    /// Turns a move that took too long into an ordinary failover: the proxy fences the other members too and
    /// promotes the most advanced member, which may be the old primary.
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
    /// Returns whether a replica whose VM stays lags little enough to start a move.
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

    /// Returns the nearest reachable replica whose VM stays and whose log has reached the point.
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
