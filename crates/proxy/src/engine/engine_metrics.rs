//! Metrics of the engine. The handles are registered once, so that counting a request costs one atomic addition.

use std::time::Instant;

use fulmarlift_core::{group, id, sorted, topology};
use metrics::{Counter, Histogram};

use crate::engine::Inner;

/// Distance of a member: in this proxy's failure domain, in its region, or in another region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Distance {
    Domain,
    Region,
    Remote,
}

/// Group of a member and its distance from this proxy.
#[derive(Clone, Copy, Debug)]
struct MemberLocation {
    group: id::GroupId,
    distance: Distance,
}

/// Counters of reads by the member's distance.
#[derive(Debug)]
struct ReadCounters {
    domain: Counter,
    region: Counter,
    remote: Counter,
}

/// Metrics of one proxy.
#[derive(Debug)]
pub(super) struct EngineMetrics {
    pub(super) refusals: Counter,
    pub(super) connects: Counter,
    pub(super) confirmed: Counter,
    pub(super) wait_seconds: Histogram,
    pub(super) confirmation_seconds: Histogram,
    primary_reads: ReadCounters,
    replica_reads: ReadCounters,
    members: sorted::Map<id::MemberId, MemberLocation>,
    /// Each group that has been writable; the value is the time at which a group stopped being writable, `None` for a
    /// group that is writable.
    unwritable_since: sorted::Map<id::GroupId, Option<Instant>>,
}

impl ReadCounters {
    fn new(role: &'static str) -> Self {
        let counter = |distance: &'static str| metrics::counter!("fulmarlift_reads_total", "role" => role, "distance" => distance);
        Self {
            domain: counter("domain"),
            region: counter("region"),
            remote: counter("remote"),
        }
    }

    fn for_distance(&self, distance: Distance) -> &Counter {
        match distance {
            Distance::Domain => &self.domain,
            Distance::Region => &self.region,
            Distance::Remote => &self.remote,
        }
    }
}

impl EngineMetrics {
    /// Registers the counters and histograms.
    pub(super) fn new() -> Self {
        Self {
            refusals: metrics::counter!("fulmarlift_refusals_total"),
            connects: metrics::counter!("fulmarlift_connects_total"),
            confirmed: metrics::counter!("fulmarlift_commits_confirmed_total"),
            wait_seconds: metrics::histogram!("fulmarlift_wait_seconds"),
            confirmation_seconds: metrics::histogram!("fulmarlift_confirmation_seconds"),
            primary_reads: ReadCounters::new("primary"),
            replica_reads: ReadCounters::new("replica"),
            members: sorted::Map::default(),
            unwritable_since: sorted::Map::default(),
        }
    }

    /// Applies a configuration: computes the distances of its members and drops groups that are gone.
    pub(super) fn configure(
        &mut self,
        proxy_place: &topology::Place,
        topology: &topology::Topology,
    ) {
        let groups = topology.groups.iter();
        let members = groups.flat_map(|(group, config)| {
            config.members.iter().map(move |(member, settings)| {
                let distance = distance(proxy_place, &settings.place);
                (member, MemberLocation { group, distance })
            })
        });
        self.members = members.collect();
        self.unwritable_since
            .retain(|group, _| topology.groups.contains(group));
    }
}

fn distance(proxy_place: &topology::Place, other: &topology::Place) -> Distance {
    if proxy_place.domain == other.domain {
        Distance::Domain
    } else if proxy_place.region == other.region {
        Distance::Region
    } else {
        Distance::Remote
    }
}

fn is_writable(group: &group::Group) -> bool {
    let primary = group.watch.writable_primary();
    primary.is_some_and(|primary| primary.reachable)
}

impl Inner {
    /// Counts a read dispatched to this member.
    pub(super) fn count_read(&self, member: id::MemberId) {
        let Some(location) = self.metrics.members.get(member) else {
            return;
        };
        let group = self.state.groups().get(location.group);
        let primary = group.and_then(|group| group.watch.primary());
        let reads = match primary.is_some_and(|primary| primary.id == member) {
            true => &self.metrics.primary_reads,
            false => &self.metrics.replica_reads,
        };
        reads.for_distance(location.distance).increment(1);
    }

    /// Records which groups are writable and, for a group that is writable again, for how long it was not.
    pub(super) fn record_writable(&mut self, now: Instant) {
        for (id, group) in self.state.groups().iter() {
            let writable = is_writable(group);
            match (self.metrics.unwritable_since.get(id).copied(), writable) {
                (None, true) => {
                    self.metrics.unwritable_since.insert(id, None);
                }
                (Some(None), false) => {
                    // The gap includes the silence that revealed the failure, so it starts when the last status
                    // question that the primary answered was sent.
                    let primary = group.watch.primary();
                    let since = primary.and_then(|primary| primary.answered_request_sent_at);
                    self.metrics
                        .unwritable_since
                        .insert(id, Some(since.unwrap_or(now)));
                }
                (Some(Some(since)), true) => {
                    self.metrics.unwritable_since.insert(id, None);
                    let gap = now.saturating_duration_since(since);
                    let name = self.state.topology().groups.get(id);
                    let name = name.map(|config| config.name.clone()).unwrap_or_default();
                    log::info!("event=writable group={name} gap_ms={}", gap.as_millis());
                    metrics::histogram!("fulmarlift_failover_gap_seconds", "group" => name.into_string())
                        .record(gap);
                }
                (None, false) | (Some(None), true) | (Some(Some(_)), false) => {}
            }
        }
    }

    /// Sets the gauges from the state of the reducer.
    pub(super) fn set_gauges(&self) {
        metrics::gauge!("fulmarlift_config_version").set(self.state.head().version as f64);
        metrics::gauge!("fulmarlift_requests").set(self.state.in_flight() as f64);
        for (id, group) in self.state.groups().iter() {
            let Some(config) = self.state.topology().groups.get(id) else {
                continue;
            };
            let name = config.name.to_string();
            let writable = f64::from(u8::from(is_writable(group)));
            metrics::gauge!("fulmarlift_group_writable", "group" => name.clone()).set(writable);
            for (member, pool) in group.pools.iter() {
                let member = config.members.get(member);
                let member = member.map(|member| member.name.to_string());
                let member = member.unwrap_or_default();
                let set = |state: &'static str, count: u32| {
                    metrics::gauge!(
                        "fulmarlift_connections",
                        "group" => name.clone(), "member" => member.clone(), "state" => state
                    )
                    .set(f64::from(count));
                };
                set("open", pool.open_count());
                set("busy", pool.busy_count());
                set("waited_for", pool.waiting_count());
            }
        }
    }
}
