//! What a proxy keeps for one database group.

use std::time::{Duration, Instant};

use crate::failover;
use crate::floor;
use crate::id;
use crate::pool;
use crate::request;
use crate::route;
use crate::sorted;
use crate::status;
use crate::topology;

/// One database group at one proxy.
#[derive(Clone, Debug)]
pub struct Group {
    /// What is known of the members.
    pub watch: status::Watch,
    /// Replacement of the primary.
    pub failover: failover::Failover,
    /// Connections, by member.
    pub pools: sorted::Map<id::MemberId, pool::Pool>,
    /// Requests that wait for a member that may serve them.
    pub parked: Vec<id::RequestId>,
    /// Members whose VM is leaving.
    pub leaving: Vec<id::MemberId>,
    /// Term and primary that were last recorded.
    pub primary: Option<(id::Term, id::MemberId)>,
}

impl Group {
    /// Creates the state of a group of which nothing is known.
    pub fn new(id: id::GroupId, config: &topology::Group, now: Instant) -> Self {
        let pools = config.members.iter().map(|(member, settings)| {
            let pool = pool::Pool::new(id, member, settings.connections, now);
            (member, pool)
        });
        Self {
            watch: status::Watch::new(id, config.members.keys(), now),
            failover: failover::Failover::default(),
            pools: pools.collect(),
            parked: Vec::new(),
            leaving: Vec::new(),
            primary: None,
        }
    }

    /// Keeps the state in step with the configured members.
    pub fn configure(&mut self, id: id::GroupId, config: &topology::Group, now: Instant) {
        self.watch.configure(config.members.keys(), now);
        self.pools
            .retain(|member, _| config.members.contains(member));
        for (member, settings) in config.members.iter() {
            if !self.pools.contains(member) {
                let pool = pool::Pool::new(id, member, settings.connections, now);
                self.pools.insert(member, pool);
            }
        }
    }

    /// Returns the members as a routing policy sees them for this request.
    pub fn candidates(
        &self,
        now: Instant,
        config: &topology::Group,
        place: &topology::Place,
        active: &request::Active,
        floor: floor::Point,
    ) -> Vec<route::Candidate> {
        let primary = self.watch.writable().map(|member| member.id);
        let candidates = config.members.iter().filter_map(|(id, settings)| {
            let member = self.watch.members.get(id)?;
            let pool = self.pools.get(id)?;
            Some(route::Candidate {
                member: id,
                primary: primary == Some(id),
                reachable: member.reachable,
                leaving: self.leaving.contains(&id),
                fresh: self.fresh(member, active, floor),
                catch_up: self.catch_up(now, member, active, floor),
                wait: pool.estimated_wait(settings.connect_time, active.ticket()),
                answer: pool.estimated_answer_time().max(member.round_trip),
                distance: distance(place, &settings.place),
                round_trip: member.round_trip,
                idle: pool.idle(),
                waiting: pool.waiting(),
                avoided: active.avoid.contains(&id),
            })
        });
        candidates.collect()
    }

    /// Estimates the time until a member's log has reached the floor.
    fn catch_up(
        &self,
        now: Instant,
        member: &status::Member,
        active: &request::Active,
        floor: floor::Point,
    ) -> Option<Duration> {
        let status = member.status?;
        if status.last >= floor {
            return Some(Duration::ZERO);
        }
        let waited = self.watch.position_waits.waited(now, active.request.id);
        let waited = waited.filter(|(waits_for, _)| *waits_for == member.id);
        // As long again as this read has waited for the member already.
        let waited = waited.map_or(Duration::ZERO, |(_, waited)| waited);
        if status.primary && status.term == floor.term {
            // Its log holds what it wrote; a question confirms it.
            return Some(waited);
        }
        Some(member.catch_up(now, floor.position).max(waited))
    }

    /// Notes that a read turns to a member; one that it waited for in vain is expected to need longer.
    pub fn turn(&mut self, now: Instant, request: id::RequestId, to: id::MemberId) {
        let waited = self.watch.position_waits.waited(now, request);
        if let Some((member, waited)) = waited.filter(|(member, _)| *member != to)
            && let Some(member) = self.watch.members.get_mut(member)
        {
            member.record_missed_wait(waited);
        }
    }

    /// Notes that the member has committed this point: reads of it need not ask first.
    pub fn committed(&mut self, member: id::MemberId, point: floor::Point) {
        let member = self.watch.members.get_mut(member);
        let status = member.and_then(|member| member.status.as_mut());
        if let Some(status) = status.filter(|s| s.primary && s.term == point.term) {
            status.last = status.last.max(point);
        }
    }

    fn fresh(
        &self,
        member: &status::Member,
        active: &request::Active,
        floor: floor::Point,
    ) -> bool {
        let request::Kind::Read { fresh_since } = active.request.kind else {
            return true;
        };
        let young = fresh_since.is_none_or(|since| {
            let fresh_at = self.watch.freshness.fresh_at(member.last());
            fresh_at.is_some_and(|at| at >= since)
        });
        young && member.last() >= floor
    }
}

fn distance(own: &topology::Place, other: &topology::Place) -> u8 {
    if own.domain == other.domain {
        0
    } else if own.region == other.region {
        1
    } else {
        2
    }
}
