//! The broker's state and its single step.

mod conns;
mod directory;
mod leaders;
mod requests;
mod tick;

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;
use fulmarlift_core::topology::Place;

use crate::effect::Effect;
use crate::event::Event;
use crate::failover;
use crate::index;
use crate::lead;
use crate::queue;
use crate::seat::Seat;
use crate::topology;

/// Who this proxy is, and the bounds that it is given.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the proxy with its incarnation; differs between any two processes.
    pub name: Box<str>,
    /// Where it runs.
    pub place: Place,
    /// Time after which a member that leaves must get no new work.
    pub drain_timeout: Duration,
}

/// Decisions of one proxy.
#[derive(Clone, Debug)]
pub struct Broker {
    settings: Settings,
    topology: topology::Topology,
    groups: sorted::Map<id::GroupId, Group>,
    conns: sorted::Map<id::ConnId, id::MemberId>,
    members: sorted::Map<id::MemberId, id::GroupId>,
    requests: sorted::Map<id::RequestId, id::GroupId>,
    next_conn: id::ConnId,
    directory_ok_since: Option<Instant>,
}

/// One group as this proxy sees it.
#[derive(Clone, Debug, Default)]
struct Group {
    seats: sorted::Map<id::MemberId, Seat>,
    queue: queue::Queue,
    index: index::Index,
    lead: lead::Lead,
    probe_at: Option<Instant>,
    probing: bool,
    asked_at: Option<Instant>,
    wants_index: bool,
    attempt: Option<failover::Attempt>,
    attempt_after: Option<Instant>,
    noted_leader: Option<id::MemberId>,
    noted_step: &'static str,
}

impl Broker {
    /// Creates a broker that knows no configuration and no member.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            topology: topology::Topology::default(),
            groups: sorted::Map::default(),
            conns: sorted::Map::default(),
            members: sorted::Map::default(),
            requests: sorted::Map::default(),
            next_conn: 1,
            directory_ok_since: None,
        }
    }

    /// Takes an event at an instant, and adds what is to be done to `effects`.
    pub fn step(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Configured(topology) => self.configured(topology),
            Event::Listed(member) => self.listed(now, member, effects),
            Event::Unlisted(name) => self.unlisted(now, &name),
            Event::Directory { reached } => self.directory(now, reached),
            Event::Arrived(request) => self.arrived(now, request, effects),
            Event::Abandoned(request) => self.abandoned(request),
            Event::Started(member) => self.started(member),
            Event::Answered(report) => self.answered(now, report, effects),
            Event::Probed(report) => self.probed(now, report, effects),
            Event::Returned { conn, reusable } => self.returned(now, conn, reusable, effects),
            Event::Opened(conn) => self.opened(now, conn, effects),
            Event::OpenFailed { conn, failure } => self.open_failed(now, conn, failure, effects),
            Event::Lost(conn) => self.lost(now, conn, effects),
            Event::Standing {
                group,
                member,
                standing,
            } => self.standing(now, group, member, standing, effects),
            Event::ClaimLoaded { group, stored } => {
                self.advance(now, group, effects, |attempt, _, out| {
                    attempt.loaded(now, stored, out)
                });
            }
            Event::ClaimStored { group, outcome } => {
                self.advance(now, group, effects, |attempt, _, out| {
                    attempt.stored(now, outcome, out)
                });
            }
            Event::Ordered { group, outcome } => {
                self.advance(now, group, effects, |attempt, _, out| {
                    attempt.ordered(now, outcome, out)
                });
            }
            Event::Tick => self.tick(now, effects),
        }
    }

    /// Returns the configuration in force.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns a member that the directory lists or has listed until lately.
    pub fn member(&self, member: id::MemberId) -> Option<&topology::Member> {
        self.seat(member).map(|seat| &seat.member)
    }

    /// Returns the member believed to lead the group.
    pub fn leader(&self, group: id::GroupId) -> Option<id::MemberId> {
        self.groups.get(group)?.lead.member
    }

    /// Returns whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.topology.version > 0
    }

    /// Returns whether requests can be served: a configuration is in force, and a member is known.
    pub fn is_ready(&self) -> bool {
        self.is_configured() && !self.members.is_empty()
    }

    /// Returns the number of connections to members, those being opened included, and of waiting requests.
    pub fn load(&self) -> (u32, usize) {
        let seats = self.groups.values().flat_map(|group| group.seats.values());
        let connections = seats.map(Seat::connections).sum();
        (connections, self.requests.len())
    }

    fn seat(&self, member: id::MemberId) -> Option<&Seat> {
        let group = *self.members.get(member)?;
        self.groups.get(group)?.seats.get(member)
    }

    fn seat_mut(&mut self, member: id::MemberId) -> Option<&mut Seat> {
        let group = *self.members.get(member)?;
        self.groups.get_mut(group)?.seats.get_mut(member)
    }
}
