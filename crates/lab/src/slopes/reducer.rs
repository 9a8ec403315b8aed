//! What the reducer of one proxy costs, by groups, peers and requests.

use std::time::{Duration, Instant};

use fulmarlift_core::{id, peer, topology};
use serde::Serialize;

use crate::slopes::driver;

/// Time before measuring, in which connections open and peers are learned.
const WARM_UP: Duration = Duration::from_secs(3);

/// What a proxy has to do.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Setup {
    /// Database groups, of three members each, all watched by this proxy.
    pub groups: u32,
    /// Other proxies.
    pub peers: u32,
    /// Requests a second, at the first group.
    pub requests_per_second: u32,
    /// Every n-th request writes; 0 for none.
    pub write_every: u32,
    /// Time that a statement takes at its member.
    pub statement_ms: u64,
    /// Virtual time measured.
    pub seconds: u32,
}

/// What one second of virtual time costs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cost {
    /// Time spent in the reducer, in microseconds.
    pub step_us: f64,
    /// Status questions asked.
    pub questions: f64,
    /// Heartbeats sent to peers.
    pub heartbeats_sent: f64,
    /// Size of one heartbeat as it travels, without headers.
    pub heartbeat_bytes: f64,
    /// Bytes of heartbeats sent and received, without headers.
    pub peer_bytes: f64,
    /// Requests answered.
    pub answered: f64,
    /// Requests refused.
    pub refused: f64,
    /// Requests in flight, on average over the ticks.
    pub in_flight: f64,
}

/// Runs one proxy's reducer and returns what a second costs.
pub fn cost(setup: &Setup) -> Cost {
    let mut driver = driver::Driver::new(setup, Instant::now());
    driver.run(WARM_UP);
    driver.forget();
    let length = Duration::from_secs(setup.seconds.into());
    driver.run(length);
    driver.counts().per_second(length)
}

/// Runs one proxy's reducer for a while and returns it, for measuring what it holds.
pub fn run(setup: &Setup) -> driver::Driver {
    let mut driver = driver::Driver::new(setup, Instant::now());
    driver.run(Duration::from_secs(setup.seconds.into()));
    driver
}

/// Returns the topology of `groups` groups of three members with one service each.
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

/// Connections of a member: enough, so that none is waited for.
const CONNECTIONS: u32 = 2_000;

fn member(group: id::GroupId, number: usize, index: usize) -> (id::MemberId, topology::Member) {
    let name = format!("m{index}");
    let member = topology::Member {
        name: name.as_str().into(),
        address: format!("10.{index}.{}.{}:5432", number / 250, number % 250).into(),
        place: place(index),
        connections: CONNECTIONS,
        connect_time: Duration::from_millis(20),
    };
    (id::member(group, &name), member)
}

pub(super) fn place(index: usize) -> topology::Place {
    topology::Place {
        region: "region-1".into(),
        domain: format!("region-1-{index}").into(),
    }
}

/// Returns a heartbeat of the peer with this number that sees the primary of every group.
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
        leaving: false,
        groups: topology.groups.keys().map(report).collect(),
        shares: Vec::new(),
    }
}
