//! The broker's state and its single step.

mod conns;
mod directory;
mod leaders;
mod peers;
mod requests;
mod tick;

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;
use fulmarlift_core::topology::Place;

use crate::effect;
use crate::event;
use crate::failover;
use crate::homes;
use crate::index;
use crate::leader;
use crate::member_state;
use crate::queue;
use crate::readers;
use crate::topology;

/// Who this proxy is, and the bounds that it is given.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the proxy with its incarnation; differs between any two processes.
    pub name: Box<str>,
    /// Name of its VM, by which other proxies know it.
    pub vm_name: Box<str>,
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
    peers: sorted::Map<id::ProxyId, topology::Peer>,
    peers_read: bool,
    next_conn: id::ConnId,
    directory_ok_since: Option<Instant>,
}

/// One group as this proxy sees it.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Members.
    members: sorted::Map<id::MemberId, member_state::MemberState>,
    /// Other proxies that are homes, each under an identifier of its own for the group.
    homes: sorted::Map<id::MemberId, member_state::MemberState>,
    /// Whether this proxy is a home.
    is_home: bool,
    /// When a request was last served by this proxy itself.
    served_at: Option<Instant>,
    queue: queue::Queue,
    index: index::Index,
    leader: leader::LeaderBelief,
    probe_at: Option<Instant>,
    probing: bool,
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
            peers: sorted::Map::default(),
            peers_read: false,
            next_conn: 1,
            directory_ok_since: None,
        }
    }

    /// Takes an event at an instant, and adds what is to be done to `effects`.
    pub fn step(&mut self, now: Instant, event: event::Event, effects: &mut Vec<effect::Effect>) {
        match event {
            event::Event::Configured(topology) => self.configured(now, topology, effects),
            event::Event::Listed(member) => self.listed(now, member, effects),
            event::Event::Unlisted { name, revision } => self.unlisted(now, &name, revision),
            event::Event::PeerListed(peer) => self.peer_listed(now, peer, effects),
            event::Event::PeerUnlisted(name) => self.peer_unlisted(now, &name, effects),
            event::Event::PeersRead => self.peers_read(now, effects),
            event::Event::DirectoryPolled { reached } => self.directory(now, reached),
            event::Event::Arrived(request) => self.arrived(now, request, effects),
            event::Event::Abandoned(request) => self.abandoned(request),
            event::Event::StatementStarted(member) => self.started(member),
            event::Event::StatementEnded(report) => self.answered(now, report, effects),
            event::Event::ProbeEnded(report) => self.probed(now, report, effects),
            event::Event::Returned { conn, reusable } => {
                self.returned(now, conn, reusable, effects)
            }
            event::Event::Opened(conn) => self.opened(now, conn, effects),
            event::Event::OpenFailed { conn, failure } => {
                self.open_failed(now, conn, failure, effects)
            }
            event::Event::IdleConnectionLost(conn) => self.lost(now, conn, effects),
            event::Event::StatusAnswered {
                group,
                member,
                status,
            } => self.status(now, group, member, status, effects),
            event::Event::ClaimLoaded { group, stored } => {
                self.advance(now, group, effects, |attempt, _, out| {
                    attempt.loaded(now, stored, out)
                });
            }
            event::Event::ClaimStored { group, outcome } => {
                self.advance(now, group, effects, |attempt, _, out| {
                    attempt.stored(now, outcome, out)
                });
            }
            event::Event::PromotionOrdered { group, outcome } => {
                self.advance(now, group, effects, |attempt, _, out| {
                    attempt.ordered(now, outcome, out)
                });
            }
            event::Event::Tick => self.tick(now, effects),
        }
    }

    /// Returns the configuration in force.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns a member that the directory lists or has listed until lately.
    pub fn member(&self, member: id::MemberId) -> Option<&topology::Member> {
        self.member_state(member).map(|state| &state.entry)
    }

    /// Returns the member believed to lead the group.
    pub fn leader(&self, group: id::GroupId) -> Option<id::MemberId> {
        self.groups.get(group)?.leader.member
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
    pub fn usage(&self) -> (u32, usize) {
        let groups = self.groups.values();
        let members = groups.flat_map(|group| group.members.values().chain(group.homes.values()));
        let connections = members.map(member_state::MemberState::connections).sum();
        (connections, self.requests.len())
    }

    /// Returns another proxy.
    pub fn peer(&self, name: &str) -> Option<&topology::Peer> {
        self.peers.get(id::of(name))
    }

    /// Returns the configuration, the members that are listed, and the other proxies.
    pub fn snapshot(
        &self,
    ) -> (
        topology::Topology,
        Vec<topology::Member>,
        Vec<topology::Peer>,
    ) {
        let members = self
            .groups
            .values()
            .flat_map(|group| group.members.values());
        let listed = members.filter(|state| state.missing_since.is_none());
        let members = listed.map(|state| state.entry.clone()).collect();
        let peers = self.peers.values().cloned().collect();
        (self.topology.clone(), members, peers)
    }

    /// Returns the proxies that may read the store for this one, the first choice first; none if it reads itself.
    pub fn readers(&self) -> Vec<topology::Peer> {
        let candidates: Vec<homes::Candidate<'_>> = self
            .peers
            .iter()
            .map(|(proxy, peer)| homes::Candidate {
                proxy,
                domain: &peer.place.domain,
            })
            .collect();
        let me = id::of(&self.settings.vm_name);
        let above = readers::above(me, &self.settings.place.domain, &candidates);
        let peers = above.iter().filter_map(|proxy| self.peers.get(*proxy));
        peers.cloned().collect()
    }

    /// Returns whether requests for the group are forwarded to homes.
    pub fn forwards_requests(&self, group: id::GroupId) -> bool {
        let group = self.groups.get(group);
        group.is_some_and(|group| group.forwards_to().is_some())
    }

    /// Returns whether this is another proxy, as a home of a group, rather than a member.
    pub fn is_peer(&self, member: id::MemberId) -> bool {
        let group = self.members.get(member);
        let group = group.and_then(|group| self.groups.get(*group));
        group.is_some_and(|group| group.homes.contains(member))
    }

    /// Returns whether a member, or a home, has failed and not answered since.
    pub fn is_suspect(&self, member: id::MemberId) -> bool {
        self.member_state(member)
            .is_some_and(member_state::MemberState::is_suspect)
    }

    fn member_state(&self, member: id::MemberId) -> Option<&member_state::MemberState> {
        let group = self.groups.get(*self.members.get(member)?)?;
        group
            .members
            .get(member)
            .or_else(|| group.homes.get(member))
    }

    fn member_state_mut(&mut self, member: id::MemberId) -> Option<&mut member_state::MemberState> {
        let group = self.groups.get_mut(*self.members.get(member)?)?;
        match group.members.contains(member) {
            true => group.members.get_mut(member),
            false => group.homes.get_mut(member),
        }
    }
}
