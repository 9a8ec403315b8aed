//! What callers have been promised, and whether it was kept.

use std::collections::BTreeMap;

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::simulation::clock::Micros;
use crate::simulation::log;

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
