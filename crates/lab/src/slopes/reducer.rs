//! Cost of the reducer of one proxy, for given numbers of groups, peers and requests.

use std::time::{Duration, Instant};

use fulmarlift_core::{id, peer, topology};
use serde::Serialize;

use crate::slopes::driver;

/// Time before the measurement, in which the proxy opens connections and gets to know its peers.
const WARM_UP: Duration = Duration::from_secs(3);

/// Size of a system, and load on it, for which the cost of one proxy is measured.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Setup {
    /// Number of database groups, of three members each; with peers, the proxy watches only a part of them.
    pub groups: u32,
    /// Number of other proxies.
    pub peers: u32,
    /// Requests per second, all to the first group; 0 for none.
    pub requests_per_second: u32,
    /// Every n-th request writes, with this n; 0 for no writes.
    pub write_every: u32,
    /// Time that a member takes to run a statement, in milliseconds.
    pub statement_ms: u64,
    /// Virtual time that is measured, in seconds.
    pub seconds: u32,
}

/// Cost of one proxy, on average per second of virtual time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Time spent in the reducer, in microseconds.
    pub step_us: f64,
    /// Number of status questions, the requests for the status of a member, that were sent.
    pub questions: f64,
    /// Number of heartbeats sent to peers.
    pub heartbeats_sent: f64,
    /// Mean size of a sent heartbeat in bytes, encoded and without headers.
    pub heartbeat_bytes: f64,
    /// Bytes of heartbeats sent and received, without headers.
    pub peer_bytes: f64,
    /// Number of answered requests.
    pub answered: f64,
    /// Number of refused requests.
    pub refused: f64,
    /// Mean number of requests in flight, sampled at each tick.
    pub in_flight: f64,
}

/// Runs the reducer of one proxy and returns its mean cost per second of virtual time.
pub fn measure_cost(setup: &Setup) -> Cost {
    let mut driver = driver::Driver::new(setup, Instant::now());
    driver.run(WARM_UP);
    driver.reset_counts();
    let length = Duration::from_secs(setup.seconds.into());
    driver.run(length);
    driver.counts().cost_per_second(length)
}

/// Runs the reducer of one proxy for the setup's length and returns its driver, which keeps the reducer's state alive
/// so that its memory can be measured.
pub fn run_driver(setup: &Setup) -> driver::Driver {
    let mut driver = driver::Driver::new(setup, Instant::now());
    driver.run(Duration::from_secs(setup.seconds.into()));
    driver
}

/// Returns a topology with this number of groups, of three members and one service each.
pub(super) fn topology(groups: u32) -> topology::Topology {
    let names = (0..groups).map(|number| format!("library-{number}"));
    let mut topology = topology::Topology {
        version: 1,
        ..topology::Topology::default()
    };
    for (number, name) in names.enumerate() {
        let group = id::of(&name);
        let members = (0..3).map(|index| member(group, number, index)).collect();
        let config = topology::Group {
            name: name.as_str().into(),
            slots: 3,
            members,
        };
        topology.groups.insert(group, config);
        let service = topology::Service {
            name: name.as_str().into(),
            group,
            limits: topology::Limits::default(),
        };
        topology.services.insert(group, service);
    }
    topology
}

/// Number of connections that a member accepts: so many that no request waits for one.
const MEMBER_CONNECTIONS: u32 = 2_000;

fn member(group: id::GroupId, number: usize, index: usize) -> (id::MemberId, topology::Member) {
    let name = format!("m{index}");
    let member = topology::Member {
        name: name.as_str().into(),
        address: format!("10.{index}.{}.{}:5432", number / 250, number % 250).into(),
        place: place(index),
        connections: MEMBER_CONNECTIONS,
        connect_time: Duration::from_millis(20),
    };
    (id::member(group, &name), member)
}

/// Returns the place of a process in one of the failure domains of the only region.
pub(super) fn place(index: usize) -> topology::Place {
    topology::Place {
        region: "region-1".into(),
        domain: format!("region-1-{index}").into(),
    }
}

/// Returns a heartbeat of the peer with this number, which reports that the primary of every group answers it.
pub(super) fn heartbeat(
    number: u32,
    head: &peer::Head,
    topology: &topology::Topology,
) -> peer::Message {
    let report = |group: id::GroupId| peer::GroupReport {
        group,
        term: 1,
        primary_answers: true,
    };
    peer::Message {
        proxy: id::of(&format!("proxy-{number}")),
        sequence: 0,
        address: format!("10.9.{}.{}:7000", number / 250, number % 250).into(),
        place: place(number as usize % 3),
        head: head.clone(),
        draining: false,
        groups: topology.groups.keys().map(report).collect(),
        connection_reports: Vec::new(),
    }
}
