//! What callers have been promised, and whether it was kept.

use std::collections::BTreeMap;

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::simulation::clock::Micros;
use crate::simulation::log;
use crate::simulation::member;

/// What a read must show.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// All commits that were acknowledged before this time.
    pub acknowledged_before: Micros,
    /// A commit of the same session.
    pub own: Option<floor::Point>,
    /// Whether the read asks for the newest data.
    pub newest: bool,
}

/// A read that lacked a commit.
#[derive(Clone, Copy, Debug)]
pub struct Stale {
    /// Whether the read asked for the newest data.
    pub newest: bool,
    /// Whether its proxy knows the member that leads the newest term.
    pub knows_leader: bool,
    /// Whether the store serves its proxy.
    pub reaches_store: bool,
}

/// Acknowledged commits, by term: the time of each acknowledgement, and the furthest point acknowledged until then.
#[derive(Default)]
pub struct Acknowledged {
    by_term: BTreeMap<id::Term, Vec<(Micros, id::Position)>>,
}

impl Acknowledged {
    /// Records that a caller has been told of a commit.
    pub fn record(&mut self, now: Micros, point: floor::Point) {
        let times = self.by_term.entry(point.term).or_default();
        let furthest = times.last().map_or(0, |(_, position)| *position);
        times.push((now, furthest.max(point.position)));
    }

    /// Returns a commit that was acknowledged before a time and is not in a log, though it is in the newest leader's.
    pub fn missing(
        &self,
        before: Micros,
        log: &log::Log,
        newest: &log::Log,
    ) -> Option<floor::Point> {
        self.furthest(before)
            .find(|point| newest.contains(*point) && !log.contains(*point))
    }

    /// Returns the furthest commit of each term that was acknowledged before a time.
    pub fn furthest(&self, before: Micros) -> impl Iterator<Item = floor::Point> + '_ {
        self.by_term.iter().rev().filter_map(move |(term, times)| {
            let earlier = times.partition_point(|(at, _)| *at < before);
            let (_, position) = times[..earlier].last()?;
            Some(floor::Point::new(*term, *position))
        })
    }
}

/// A commit that a leader has acknowledged to a proxy, whether or not a caller was told.
#[derive(Clone, Copy, Debug)]
pub struct Receipt {
    pub acknowledged_at: Micros,
    pub point: floor::Point,
    /// Index of the leader.
    pub leader: usize,
    /// Whether another member had been promoted before.
    pub is_replaced: bool,
}

/// Numbers of commits that a promoted member lacked although a leader had acknowledged them and another replica had them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BehindReplica {
    /// Acknowledged by the leader that the promotion replaced.
    pub of_leader: u64,
    /// Acknowledged by a leader after another member's promotion.
    pub of_replaced: u64,
    /// Had only by replicas that have ended, of which one that the directory had listed starts again with its log.
    pub at_returning: u64,
    /// Had only by running replicas that the directory had not listed yet when the commits were acknowledged; not among the other numbers.
    pub at_unlisted: u64,
}

impl BehindReplica {
    /// Returns whether a replica that the directory had listed had a commit, and runs or starts again with its log.
    pub fn is_broken(&self) -> bool {
        self.of_leader + self.of_replaced + self.at_returning > 0
    }

    /// Adds the numbers of another promotion.
    pub fn add(&mut self, other: Self) {
        self.of_leader += other.of_leader;
        self.of_replaced += other.of_replaced;
        self.at_returning += other.at_returning;
        self.at_unlisted += other.at_unlisted;
    }
}

/// Compares the log of a promoted member with what leaders have acknowledged, and forgets what it lacks. Returns the numbers, and the last
/// commit that it lacks and a replica has. `returning` tells whether a member that has ended starts again.
pub fn compare_promoted(
    receipts: &mut Vec<Receipt>,
    members: &[member::Member],
    first_listed: &BTreeMap<usize, Micros>,
    returning: impl Fn(usize) -> bool,
    promoted: usize,
) -> (BehindReplica, Option<Receipt>) {
    let mut behind = BehindReplica::default();
    let mut last = None;
    receipts.retain(|receipt| {
        if members[promoted].log.contains(receipt.point) {
            return true;
        }
        let owners = members.iter().enumerate().filter(|(index, member)| {
            *index != promoted
                && *index != receipt.leader
                && !member.leads
                && member.log.contains(receipt.point)
        });
        let was_listed = |index: usize| {
            let listed_at = first_listed.get(&index);
            listed_at.is_some_and(|at| *at <= receipt.acknowledged_at)
        };
        let (running, ended): (Vec<_>, Vec<_>) =
            owners.partition(|(_, member)| member.is_running());
        let returns = ended
            .iter()
            .any(|(index, _)| was_listed(*index) && returning(*index));
        match running.iter().any(|(index, _)| was_listed(*index)) {
            true if receipt.is_replaced => behind.of_replaced += 1,
            true => behind.of_leader += 1,
            false if returns => behind.at_returning += 1,
            false if !running.is_empty() => behind.at_unlisted += 1,
            false => return false,
        }
        last = Some(*receipt);
        false
    });
    (behind, last)
}
