//! Table of the peers of one proxy.

use std::time::{Duration, Instant};

use crate::id;
use crate::peer::{GroupReport, Message};
use crate::sorted;

/// Minimum interval of regular heartbeats.
const HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(250);
/// Minimum time between two heartbeats of which the second reports a change.
const CHANGE_HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Maximum rate of heartbeats sent and received, in bytes per second.
const HEARTBEAT_BYTES_PER_SECOND_MAX: u32 = 4_000;
/// Size of the headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Minimum duration of a loan of connections.
const LOAN_DURATION_MIN: Duration = Duration::from_secs(2);
/// Minimum duration of a loan, as a multiple of the heartbeat interval.
const LOAN_HEARTBEAT_INTERVALS: u32 = 3;
/// Time without a heartbeat after which a peer counts as gone, as a multiple of the heartbeat interval.
const SILENCE_TIMEOUT_HEARTBEAT_INTERVALS: u32 = 6;

/// Time after a peer counts as gone before the other proxies share its connections. A member that gets no notice of
/// the peer's end needs that long to detect it.
const SHARE_REDISTRIBUTION_DELAY: Duration = Duration::from_secs(6);
/// Time after a peer counts as gone before the proxy forgets the peer and its address.
const PEER_RETENTION: Duration = Duration::from_secs(120);
/// Time after the start in which an address counts as a live proxy although no heartbeat has come from it.
const START_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// What this proxy knows of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Newest heartbeat of the peer.
    pub message: Message,
    /// When the peer counts as gone unless another heartbeat arrives.
    pub alive_until: Instant,
}

/// The peers of one proxy.
#[derive(Clone, Debug)]
pub struct Table {
    /// Peers from which a heartbeat has arrived, by identifier.
    pub peers: sorted::Map<id::ProxyId, Peer>,
    /// Sorted addresses to which heartbeats go: from the settings and from peers' heartbeats.
    pub addresses: Vec<Box<str>>,
    /// When the next regular heartbeats are due.
    pub heartbeat_at: Instant,
    heartbeat_interval: Duration,
    last_sent: Option<Message>,
    last_sent_at: Instant,
    start_grace_until: Instant,
    settings_addresses: Vec<Box<str>>,
}

impl Table {
    /// Creates a table without peers, with the addresses of the settings.
    pub fn new(mut addresses: Vec<Box<str>>, now: Instant) -> Self {
        addresses.sort();
        addresses.dedup();
        Self {
            peers: sorted::Map::default(),
            settings_addresses: addresses.clone(),
            addresses,
            heartbeat_at: now,
            heartbeat_interval: HEARTBEAT_INTERVAL_MIN,
            last_sent: None,
            last_sent_at: now,
            start_grace_until: now + START_GRACE_PERIOD,
        }
    }

    /// Records a heartbeat unless a newer one of the same peer is known; returns whether it did.
    pub fn receive(&mut self, now: Instant, message: Message) -> bool {
        let known = self.peers.get(message.proxy);
        if known.is_some_and(|peer| peer.message.sequence >= message.sequence) {
            return false;
        }
        self.add_address(&message.address);
        let alive_until = now + self.heartbeat_interval * SILENCE_TIMEOUT_HEARTBEAT_INTERVALS;
        self.peers.insert(
            message.proxy,
            Peer {
                message,
                alive_until,
            },
        );
        true
    }

    /// Removes peers that have long been gone, and their addresses unless the settings name them.
    pub fn forget(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now < peer.alive_until + PEER_RETENTION);
        let (settings_addresses, peers) = (&self.settings_addresses, &self.peers);
        self.addresses.retain(|address| {
            let heard = peers.values().any(|p| p.message.address == *address);
            heard || settings_addresses.binary_search(address).is_ok()
        });
    }

    /// Adds an address to which heartbeats go.
    pub fn add_address(&mut self, address: &str) {
        if let Err(index) = self
            .addresses
            .binary_search_by(|known| known.as_ref().cmp(address))
        {
            self.addresses.insert(index, address.into());
        }
    }

    /// Iterates over the peers that are alive and not draining.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (id::ProxyId, &Peer)> + '_ {
        self.peers
            .iter()
            .filter(move |(_, peer)| now < peer.alive_until && !peer.message.draining)
    }

    /// Iterates over the peers that may hold connections: those alive, those gone for a short time and those that are
    /// draining and have connections left.
    pub fn connection_holders(&self, now: Instant) -> impl Iterator<Item = id::ProxyId> + '_ {
        let holders = self.peers.iter().filter(move |(_, peer)| {
            let has_drained = peer.message.draining && peer.message.connection_reports.is_empty();
            now < peer.alive_until + SHARE_REDISTRIBUTION_DELAY && !has_drained
        });
        holders.map(|(proxy, _)| proxy)
    }

    /// Returns how many addresses other than `own_address` have sent no heartbeat yet but count as live during the
    /// start.
    pub fn unheard_count(&self, now: Instant, own_address: &str) -> usize {
        if now >= self.start_grace_until {
            return 0;
        }
        let heard = |address: &str| {
            let mut peers = self.peers.values();
            peers.any(|peer| peer.message.address.as_ref() == address)
        };
        let addresses = self.addresses.iter().map(AsRef::as_ref);
        addresses
            .filter(|to| *to != own_address && !heard(to))
            .count()
    }

    /// Returns the share of `this_proxy` in `total` connections to a member. `unheard_count` other proxies may be alive
    /// without having sent a heartbeat. The remainder of the division goes to the proxies that rank first for the
    /// member.
    pub fn share(
        &self,
        now: Instant,
        this_proxy: id::ProxyId,
        unheard_count: usize,
        member: id::MemberId,
        total: u32,
    ) -> u32 {
        let weight = id::rendezvous_weight(member, this_proxy);
        let others = self.connection_holders(now).count() + unheard_count;
        let ahead = self
            .connection_holders(now)
            .filter(|p| id::rendezvous_weight(member, *p) > weight);
        let proxies = u32::try_from(others + 1).unwrap_or(u32::MAX);
        let rank = u32::try_from(ahead.count() + unheard_count).unwrap_or(u32::MAX);
        total / proxies + u32::from(rank < total % proxies)
    }

    /// Returns whether heartbeats are due: the next regular ones, or early ones because `message` reports a change.
    pub fn is_due(&self, now: Instant, message: &Message) -> bool {
        let message_changed = self
            .last_sent
            .as_ref()
            .is_none_or(|last| has_changes(last, message));
        now >= self.heartbeat_at
            || message_changed && now >= self.last_sent_at + CHANGE_HEARTBEAT_INTERVAL_MIN
    }

    /// Returns the end of a loan that starts now. The loan spans several heartbeats, so that it can be renewed.
    pub fn loan_until(&self, now: Instant) -> Instant {
        now + LOAN_DURATION_MIN.max(self.heartbeat_interval * LOAN_HEARTBEAT_INTERVALS)
    }

    /// Records that heartbeats were sent, and schedules the next ones. The interval grows with the number of peers, so
    /// that the heartbeats stay within the byte budget.
    pub fn record_sent(&mut self, now: Instant, message: &Message) {
        let size = u32::try_from(message.encoded_len() + DATAGRAM_HEADER_BYTES).unwrap_or(u32::MAX);
        let peers = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        // This proxy receives as many heartbeats as it sends.
        let bytes = size.saturating_mul(peers).saturating_mul(2);
        let budget_interval = Duration::from_secs(1) * bytes / HEARTBEAT_BYTES_PER_SECOND_MAX;
        self.heartbeat_interval = HEARTBEAT_INTERVAL_MIN.max(budget_interval);
        self.heartbeat_at = now + self.heartbeat_interval;
        self.last_sent = Some(message.clone());
        self.last_sent_at = now;
    }

    /// Returns the rank of `this_proxy` for a subject among the live proxies; 0 is the first.
    pub fn rank(&self, now: Instant, this_proxy: id::ProxyId, subject: u64) -> u32 {
        let weight = id::rendezvous_weight(subject, this_proxy);
        let ahead = self
            .alive(now)
            .filter(|(proxy, _)| id::rendezvous_weight(subject, *proxy) > weight);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }
}

/// Returns whether a message differs from the last one sent in a way that peers act upon.
fn has_changes(last: &Message, message: &Message) -> bool {
    let has_waiting = |message: &Message| {
        message
            .connection_reports
            .iter()
            .any(|report| report.waiting > 0)
    };
    last.head != message.head
        || last.draining != message.draining
        || message.groups.iter().any(|report| is_changed(last, report))
        || has_waiting(message) && !has_waiting(last)
}

/// Returns whether a report differs from the last one on its group, or is the first one and reports a silent primary.
fn is_changed(last: &Message, report: &GroupReport) -> bool {
    let known = last.groups.iter().find(|known| known.group == report.group);
    known.map_or(!report.primary_answers, |known| known != report)
}
