//! The state that a proxy keeps for one database group.

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

/// The state of one database group at one proxy.
#[derive(Clone, Debug)]
pub struct Group {
    /// Status of the members and the control requests to them.
    pub watch: status::Watch,
    /// Failover of the group, as far as this proxy runs it.
    pub failover: failover::Failover,
    /// Connections to each member.
    pub pools: sorted::Map<id::MemberId, pool::Pool>,
    /// Requests in [`request::Stage::Parked`], which are routed again when the group's state changes.
    pub parked: Vec<id::RequestId>,
    /// Members whose VM is leaving.
    pub leaving: Vec<id::MemberId>,
    /// Term and primary of the last recorded [`crate::effect::StateChange::Primary`].
    pub recorded_primary: Option<(id::Term, id::MemberId)>,
}

impl Group {
    /// Creates the state of a group before any member has reported its status. The pools' shares are then set by
    /// `State::update_shares`.
    pub fn new(id: id::GroupId, config: &topology::Group, now: Instant) -> Self {
        let pools = config.members.iter().map(|(member, member_config)| {
            let pool = pool::Pool::new(id, member, member_config.connections, now);
            (member, pool)
        });
        Self {
            watch: status::Watch::new(id, config.members.keys(), now),
            failover: failover::Failover::default(),
            pools: pools.collect(),
            parked: Vec::new(),
            leaving: Vec::new(),
            recorded_primary: None,
        }
    }

    /// Adds the members that are new in the configuration and removes those that are no longer in it. The shares of
    /// new pools are then set by `State::update_shares`.
    pub fn configure(&mut self, id: id::GroupId, config: &topology::Group, now: Instant) {
        self.watch.configure(config.members.keys(), now);
        self.pools
            .retain(|member, _| config.members.contains(member));
        for (member, member_config) in config.members.iter() {
            if !self.pools.contains(member) {
                let pool = pool::Pool::new(id, member, member_config.connections, now);
                self.pools.insert(member, pool);
            }
        }
    }

    /// Returns the group's members as candidates for a request, the input of a routing policy.
    pub fn candidates(
        &self,
        now: Instant,
        config: &topology::Group,
        place: &topology::Place,
        active: &request::Active,
        floor_point: floor::Point,
    ) -> Vec<route::Candidate> {
        let primary = self.watch.writable_primary().map(|member| member.id);
        let candidates = config.members.iter().filter_map(|(id, member_config)| {
            let member = self.watch.members.get(id)?;
            let pool = self.pools.get(id)?;
            Some(route::Candidate {
                member: id,
                primary: primary == Some(id),
                reachable: member.reachable,
                leaving: self.leaving.contains(&id),
                fresh: self.is_fresh(member, active, floor_point),
                estimated_catch_up: self.estimated_catch_up(now, member, active, floor_point),
                estimated_wait: pool.estimated_wait(member_config.connect_time, active.ticket()),
                estimated_answer_time: pool.estimated_answer_time().max(member.round_trip),
                distance: distance(place, &member_config.place),
                round_trip: member.round_trip,
                idle: pool.idle_count(),
                waiting: pool.waiting_count(),
                avoided: active.avoid.contains(&id),
            })
        });
        candidates.collect()
    }

    /// Estimates the time until a member's log has reached the floor; `None` before its first status.
    fn estimated_catch_up(
        &self,
        now: Instant,
        member: &status::Member,
        active: &request::Active,
        floor_point: floor::Point,
    ) -> Option<Duration> {
        let status = member.status?;
        if status.last >= floor_point {
            return Some(Duration::ZERO);
        }
        let waited = self.watch.position_waits.waited(now, active.request.id);
        let waited = waited.filter(|(waits_for, _)| *waits_for == member.id);
        // The estimate is at least the time that this read has waited for the member already.
        let waited = waited.map_or(Duration::ZERO, |(_, waited)| waited);
        if status.primary && status.term == floor_point.term {
            // The primary's log has every entry of its term: the proxy only lacks a newer report of the primary.
            return Some(waited);
        }
        Some(
            member
                .estimated_catch_up(now, floor_point.position)
                .max(waited),
        )
    }

    /// If a request that is now routed to `to` waited for another member, raises that member's catch-up estimate to
    /// the time waited in vain.
    pub fn record_missed_wait_elsewhere(
        &mut self,
        now: Instant,
        request: id::RequestId,
        to: id::MemberId,
    ) {
        let waited = self.watch.position_waits.waited(now, request);
        if let Some((member, waited)) = waited.filter(|(member, _)| *member != to)
            && let Some(member) = self.watch.members.get_mut(member)
        {
            member.record_missed_wait(waited);
        }
    }

    /// Records that the member has committed this point, so that reads with this floor need not wait for the member's
    /// next report.
    pub fn record_commit(&mut self, member: id::MemberId, point: floor::Point) {
        let member = self.watch.members.get_mut(member);
        let status = member.and_then(|member| member.status.as_mut());
        if let Some(status) = status.filter(|s| s.primary && s.term == point.term) {
            status.last = status.last.max(point);
        }
    }

    /// Returns whether the member's log is known to satisfy a read's floor and freshness. Always true for a write,
    /// which the primary serves whatever its floor.
    fn is_fresh(
        &self,
        member: &status::Member,
        active: &request::Active,
        floor_point: floor::Point,
    ) -> bool {
        let request::Kind::Read { fresh_since } = active.request.kind else {
            return true;
        };
        let recent_enough = fresh_since.is_none_or(|since| {
            let fresh_at = self.watch.freshness.fresh_at(member.last_point());
            fresh_at.is_some_and(|at| at >= since)
        });
        recent_enough && member.last_point() >= floor_point
    }
}

fn distance(from: &topology::Place, to: &topology::Place) -> u8 {
    if from.domain == to.domain {
        0
    } else if from.region == to.region {
        1
    } else {
        2
    }
}
