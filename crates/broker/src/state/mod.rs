//! The broker: the state of one proxy's decisions, and the step that applies an event to it.

mod choice_log;
mod choices;
mod confirmations;
mod conns;
mod directory;
mod eras;
mod failover_log;
mod leaders;
mod leases;
mod missing;
mod pacing;
mod peers;
mod requests;
mod search;
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

/// Identity and limits of this proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the proxy, including its incarnation. No two processes have the same name.
    pub name: Box<str>,
    /// Name of the VM that runs the proxy, by which other proxies refer to it.
    pub vm_name: Box<str>,
    /// Region and failure domain of the proxy.
    pub place: Place,
    /// Time from a member's announcement that it will stop to its end. A leader gets new work for the first three quarters of
    /// it, so that the last quarter is left for transactions that run; any other member gets no new work.
    pub drain_timeout: Duration,
    /// Whether promotions are fenced: the old leader stops leading at the moment of a promotion, and the platform refuses
    /// orders with an outdated token. Otherwise the old leader may lead on, see [`crate::lease`], and the platform may execute
    /// an outdated order.
    pub fenced: bool,
}

/// Decisions of one proxy about requests, connections and leaders.
#[derive(Clone, Debug)]
pub struct Broker {
    settings: Settings,
    topology: topology::Topology,
    groups: sorted::Map<id::GroupId, GroupState>,
    /// Connections to members and homes that are open or being opened.
    connections: sorted::Map<id::ConnId, conns::Connection>,
    /// Group of each member and home.
    member_groups: sorted::Map<id::MemberId, id::GroupId>,
    /// Group of each waiting request.
    request_groups: sorted::Map<id::RequestId, id::GroupId>,
    peers: sorted::Map<id::ProxyId, topology::Peer>,
    /// Whether `peers` has contained all proxies that the store lists.
    peers_read: bool,
    /// Whether the groups have contained all members that the directory lists.
    directory_read: bool,
    /// Instant at which the first configuration came into force.
    configured_at: Option<Instant>,
    /// Whether the homes must be chosen again: the proxies, or the domains of the members, have changed.
    homes_outdated: bool,
    /// Number of times that the homes were chosen.
    home_choices: u64,
    next_conn: id::ConnId,
    /// Instant since which every read of the directory has succeeded.
    directory_reached_since: Option<Instant>,
    /// Instant of the last read of this proxy that failed, or at which the store was found in a newer era.
    directory_lost_at: Option<Instant>,
    /// Instant of the newest answer of the directory: this proxy knows all members that joined before it.
    directory_answered_at: Option<Instant>,
    eras: eras::StoreEra,
    /// Whether members have no adaptive concurrency limits.
    adapts_concurrency: bool,
}

/// State of one group at this proxy.
#[derive(Clone, Debug, Default)]
struct GroupState {
    /// Members that the directory lists, and those that it no longer lists but that have not been asked in vain for long enough.
    members: sorted::Map<id::MemberId, member_state::MemberState>,
    /// Other proxies that are homes of the group. Each has one identifier per group, see [`id::member`].
    homes: sorted::Map<id::MemberId, member_state::MemberState>,
    /// Whether this proxy is a home of the group.
    this_proxy_is_home: bool,
    /// Instant at which the last request arrived that this proxy did not forward to a home, refused ones included.
    last_direct_request_at: Option<Instant>,
    queue: queue::Queue,
    index: index::ReadIndex,
    leader: leader::LeaderBelief,
    lease: leases::LeaseState,
    leader_question: Option<search::LeaderQuestion>,
    last_probe_at: Option<Instant>,
    /// Whether a probe is under way.
    probing: bool,
    /// Whether the read index needs a newer sample, which a probe gets.
    needs_sample: bool,
    /// Members that have been dropped and may come back with their logs.
    missing: sorted::Map<id::MemberId, event::MissingMember>,
    /// Newest answer of each proxy that was asked what it knows.
    testimonies: sorted::Map<id::ProxyId, missing::Testimony>,
    /// Instant at which proxies were first asked in an attempt after the end of the leases.
    asked_after_leases_at: Option<Instant>,
    /// Instant since which no member is promoted, because all of them may lack acknowledged commits.
    withheld_since: Option<Instant>,
    /// Current attempt to replace the leader.
    attempt: Option<failover::Attempt>,
    /// Earliest instant of the next attempt.
    next_attempt_at: Option<Instant>,
    /// Leader in the last [`effect::StateChange::Leader`].
    logged_leader: Option<id::MemberId>,
    /// Whether the leader has changed since the last grant to a member.
    belief_changed: bool,
    /// Step in the last [`effect::StateChange::Failover`]; empty before the first one.
    logged_step: &'static str,
    failover_log: failover_log::FailoverLog,
    choice_log: choice_log::ChoiceLog,
}

impl Broker {
    /// Creates a broker without a configuration and without members.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            topology: topology::Topology::default(),
            groups: sorted::Map::default(),
            connections: sorted::Map::default(),
            member_groups: sorted::Map::default(),
            request_groups: sorted::Map::default(),
            peers: sorted::Map::default(),
            peers_read: false,
            directory_read: false,
            configured_at: None,
            homes_outdated: false,
            home_choices: 0,
            next_conn: 1,
            directory_reached_since: None,
            directory_lost_at: None,
            directory_answered_at: None,
            eras: eras::StoreEra::default(),
            adapts_concurrency: false,
        }
    }

    /// Applies an event that occurred at `now`, and appends the actions that follow from it to `effects`.
    pub fn step(&mut self, now: Instant, event: event::Event, effects: &mut Vec<effect::Effect>) {
        match event {
            event::Event::Configured(topology) => self.apply_configuration(now, topology, effects),
            event::Event::Listed(member) => self.apply_member_entry(now, member, effects),
            event::Event::Unlisted { name, revision } => self.record_unlisted(now, &name, revision),
            event::Event::ProxyTold {
                group,
                proxy,
                asked_at,
                knowledge,
            } => self.record_told(now, group, proxy, asked_at, knowledge, effects),
            event::Event::PeerListed(peer) => self.apply_peer_entry(now, peer, effects),
            event::Event::PeerUnlisted(name) => self.remove_peer(now, &name, effects),
            event::Event::PeersRead => self.record_peers_read(now, effects),
            event::Event::DirectoryRead { answered_at } => {
                self.record_directory_read(now, answered_at, effects);
            }
            event::Event::DirectoryTold(contact) => {
                self.record_directory_told(now, contact, effects);
            }
            event::Event::Arrived(request) => self.add_request(now, request, effects),
            event::Event::Abandoned(request) => self.remove_request(request),
            event::Event::NextStatementStarted(member) => self.record_statement_start(member),
            event::Event::StatementEnded(report) => self.record_statement_end(now, report, effects),
            event::Event::ProbeEnded(report) => self.record_probe_end(now, report, effects),
            event::Event::Returned { conn, reusable } => {
                self.record_returned(now, conn, reusable, effects)
            }
            event::Event::Opened(conn) => self.record_opened(now, conn, effects),
            event::Event::OpenFailed { conn, failure } => {
                self.record_open_failure(now, conn, failure, effects)
            }
            event::Event::IdleConnectionLost(conn) => {
                self.remove_lost_connection(now, conn, effects)
            }
            event::Event::CommandAnswered {
                group,
                member,
                connected_at,
            } => self.record_command_connection(group, member, connected_at),
            event::Event::StatusAnswered {
                group,
                member,
                asked_at,
                status,
            } => self.record_command_end(now, group, member, asked_at, status, effects),
            event::Event::ConfirmationNeeded {
                group,
                point,
                arrived_at,
            } => self.seek_confirmation(now, group, point, arrived_at, effects),
            event::Event::ReceiptAnswered {
                group,
                member,
                asked_at,
                connected_at,
                status,
            } => {
                self.record_receipt_answer(now, group, member, asked_at, status, effects);
                if let Some(status) = status {
                    self.watch_stopped_leader(group, member, status.received, effects);
                    self.record_receipt(now, member, status.received, connected_at);
                }
            }
            event::Event::LeaseAnswered {
                group,
                member,
                asked_at,
                status,
            } => {
                if let Some(status) = status {
                    self.watch_stopped_leader(group, member, status.received, effects);
                }
                self.record_lease_answer(now, group, member, asked_at, status, effects);
            }
            event::Event::ComparisonAnswered {
                group,
                member,
                asked_at,
                answer,
            } => self.record_comparison(group, member, asked_at, answer, effects),
            event::Event::StoreEra { era, known_for } => {
                self.record_store_era(now, era, known_for, effects);
            }
            event::Event::ClaimLoaded {
                group,
                asked_at,
                stored,
            } => {
                let stored = stored.map(|row| self.protect_lost_claim(now, row));
                self.learn_choice(group, asked_at, stored.as_ref());
                self.record_claim_row(now, group, asked_at, stored.as_ref(), effects);
                self.advance_failover(now, group, effects, |attempt, _, out| {
                    attempt.apply_claim(now, asked_at, stored, out)
                });
            }
            event::Event::ClaimRelayed {
                group,
                asked_at,
                row,
            } => {
                let row = self.protect_lost_claim(now, row);
                self.learn_choice(group, asked_at, Some(&row));
                self.record_claim_row(now, group, asked_at, Some(&row), effects);
            }
            event::Event::CommitTold { group, commit } => {
                self.record_told_commit(now, group, commit);
            }
            event::Event::ChoiceLoaded {
                group,
                asked_at,
                row,
            } => self.learn_choice(group, asked_at, Some(&row)),
            event::Event::DirectoryLoaded { group, is_read } => {
                self.advance_failover(now, group, effects, |attempt, roster, out| {
                    attempt.apply_directory(now, is_read, roster, out)
                });
            }
            event::Event::ClaimStored { group, outcome } => {
                self.advance_failover(now, group, effects, |attempt, roster, out| {
                    attempt.apply_store_outcome(now, outcome, roster, out)
                });
            }
            event::Event::PromotionOrdered { group, outcome } => {
                self.advance_failover(now, group, effects, |attempt, _, out| {
                    attempt.apply_order_outcome(now, outcome, out)
                });
            }
            event::Event::RequestsExpired => self.serve_all_queues(now, effects),
            event::Event::Tick => self.tick(now, effects),
        }
    }

    /// Returns the region and the failure domain of this proxy.
    pub fn place(&self) -> &Place {
        &self.settings.place
    }

    /// Returns the configuration in force.
    pub fn topology(&self) -> &topology::Topology {
        &self.topology
    }

    /// Returns the directory entry of a member, or an entry made up for a home. A member that is no longer listed keeps its
    /// last entry until it is dropped.
    pub fn member(&self, member: id::MemberId) -> Option<&topology::Member> {
        self.member_state(member).map(|state| &state.entry)
    }

    /// Returns the member that is believed to lead the group.
    pub fn leader(&self, group: id::GroupId) -> Option<id::MemberId> {
        self.groups.get(group)?.leader.member
    }

    /// Returns whether a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.topology.version > 0
    }

    /// Returns whether requests can be served: a configuration is in force, and at least one member or home is known.
    pub fn is_ready(&self) -> bool {
        let mut groups = self.groups.values();
        self.is_configured() && groups.any(|group| !group.homes.is_empty() || group.has_member())
    }

    /// Returns the number of connections to members and homes, including those being opened, and of waiting requests.
    pub fn connection_and_request_counts(&self) -> (u32, usize) {
        let groups = self.groups.values();
        let members = groups.flat_map(|group| group.members.values().chain(group.homes.values()));
        let connections = members.map(member_state::MemberState::connections).sum();
        (connections, self.request_groups.len())
    }

    /// Returns the number of other proxies that the store lists.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of times that this proxy has chosen the homes of all groups.
    pub fn home_choices(&self) -> u64 {
        self.home_choices
    }

    /// Returns the proxy on the VM of this name.
    pub fn peer(&self, name: &str) -> Option<&topology::Peer> {
        self.peers.get(id::of(name))
    }

    /// Returns the entries of the members that the directory lists.
    pub fn listed_members(&self) -> Vec<topology::Member> {
        let members = self
            .groups
            .values()
            .flat_map(|group| group.members.values());
        let listed = members.filter(|state| state.unlisted_since.is_none());
        listed.map(|state| state.entry.clone()).collect()
    }

    /// Returns the entries of the other proxies.
    pub fn listed_peers(&self) -> Vec<topology::Peer> {
        self.peers.values().cloned().collect()
    }

    /// Returns whether the entries of the other proxies have been read.
    pub fn knows_peers(&self) -> bool {
        self.peers_read
    }

    /// Returns another proxy that the store lists.
    pub fn listed_peer(&self, proxy: id::ProxyId) -> Option<topology::Peer> {
        self.peers.get(proxy).cloned()
    }

    /// Returns the proxies that may read the store for this one, the preferred one first; none if this proxy reads the store
    /// itself.
    pub fn readers(&self) -> Vec<topology::Peer> {
        let this_proxy = id::of(&self.settings.vm_name);
        let domain = &self.settings.place.domain;
        let readers = readers::reader_candidates(this_proxy, domain, &self.peer_candidates());
        let peers = readers.iter().filter_map(|proxy| self.peers.get(*proxy));
        peers.cloned().collect()
    }

    /// Returns the round after the loss of its reader in which this proxy reads the store itself.
    pub fn succession_round(&self) -> u32 {
        let this_proxy = id::of(&self.settings.vm_name);
        let domain = &self.settings.place.domain;
        let rank = readers::rank(this_proxy, domain, &self.peer_candidates());
        readers::succession_round(rank)
    }

    fn peer_candidates(&self) -> Vec<homes::Candidate<'_>> {
        let peers = self.peers.iter();
        peers
            .map(|(proxy, peer)| homes::Candidate {
                proxy,
                domain: &peer.place.domain,
            })
            .collect()
    }

    /// Returns whether this proxy forwards the group's requests to homes.
    pub fn forwards_requests(&self, group: id::GroupId) -> bool {
        let group = self.groups.get(group);
        group.is_some_and(|group| group.forwards_to().is_some())
    }

    /// Returns whether the identifier belongs to a home of a group, which is another proxy, rather than to a member.
    pub fn is_home(&self, member: id::MemberId) -> bool {
        let group = self.member_groups.get(member);
        let group = group.and_then(|group| self.groups.get(*group));
        group.is_some_and(|group| group.homes.contains(member))
    }

    /// Returns whether a member or a home has failed and not answered since.
    pub fn is_suspect(&self, member: id::MemberId) -> bool {
        self.member_state(member)
            .is_some_and(member_state::MemberState::is_suspect)
    }

    fn member_state(&self, member: id::MemberId) -> Option<&member_state::MemberState> {
        let group = self.groups.get(*self.member_groups.get(member)?)?;
        group
            .members
            .get(member)
            .or_else(|| group.homes.get(member))
    }

    fn member_state_mut(&mut self, member: id::MemberId) -> Option<&mut member_state::MemberState> {
        let group = self.groups.get_mut(*self.member_groups.get(member)?)?;
        match group.members.contains(member) {
            true => group.members.get_mut(member),
            false => group.homes.get_mut(member),
        }
    }
}
