//! The table of peers.

use std::time::{Duration, Instant};

use crate::id;
use crate::peer::{GroupReport, Message};
use crate::sorted;

/// Shortest time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Shortest time between a heartbeat and one that reports a change.
const URGENT: Duration = Duration::from_millis(100);
/// Heartbeats sent and received may take this much, in bytes a second.
const BYTES_PER_SECOND: u32 = 4_000;
/// Size of a datagram's headers, in bytes.
const HEADER_BYTES: usize = 28;
/// Shortest time for which connections are lent.
const LOAN: Duration = Duration::from_secs(2);
/// Heartbeats for which connections are lent.
const LOAN_HEARTBEATS: u32 = 3;
/// Heartbeats that may be missing before a peer counts as gone.
const SILENCE_HEARTBEATS: u32 = 6;

/// Time after a peer's silence before its connections are shared out again. A member that is not told
/// of the peer's end needs that long to notice.
const SHARE_RETURN: Duration = Duration::from_secs(6);
/// Time after a peer's silence before it and its address are forgotten.
const FORGET: Duration = Duration::from_secs(120);
/// Time after the start in which addresses that have not been heard count as live.
const START_GRACE: Duration = Duration::from_secs(2);

/// What is known of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its newest heartbeat.
    pub message: Message,
    /// It counts as gone past this instant.
    pub alive_until: Instant,
}

/// The peers of one proxy.
#[derive(Clone, Debug)]
pub struct Table {
    /// Peers that have been heard, by identifier.
    pub peers: sorted::Map<id::ProxyId, Peer>,
    /// Addresses to which heartbeats go: those from the settings, the platform's list and peers.
    pub addresses: Vec<Box<str>>,
    /// When the next heartbeats are due.
    pub heartbeat_at: Instant,
    interval: Duration,
    last: Option<Message>,
    last_sent_at: Instant,
    heard_all_by: Instant,
    settings: Vec<Box<str>>,
}

impl Table {
    /// Creates a table that knows the addresses of the settings.
    pub fn new(mut addresses: Vec<Box<str>>, now: Instant) -> Self {
        addresses.sort();
        addresses.dedup();
        Self {
            peers: sorted::Map::default(),
            settings: addresses.clone(),
            addresses,
            heartbeat_at: now,
            interval: HEARTBEAT,
            last: None,
            last_sent_at: now,
            heard_all_by: now + START_GRACE,
        }
    }

    /// Takes in a heartbeat; an older one than the newest known is ignored.
    pub fn receive(&mut self, now: Instant, message: Message) -> bool {
        let known = self.peers.get(message.proxy);
        if known.is_some_and(|peer| peer.message.sequence >= message.sequence) {
            return false;
        }
        self.add_address(&message.address);
        let alive_until = now + self.interval * SILENCE_HEARTBEATS;
        self.peers.insert(
            message.proxy,
            Peer {
                message,
                alive_until,
            },
        );
        true
    }

    /// Forgets peers that have long been silent, and their addresses unless the settings name them.
    pub fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, peer| now < peer.alive_until + FORGET);
        let (settings, peers) = (&self.settings, &self.peers);
        self.addresses.retain(|address| {
            let heard = peers.values().any(|p| p.message.address == *address);
            heard || settings.binary_search(address).is_ok()
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

    /// Iterates over the peers that are alive and not stopping.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = (id::ProxyId, &Peer)> + '_ {
        self.peers
            .iter()
            .filter(move |(_, peer)| now < peer.alive_until && !peer.message.leaving)
    }

    /// Iterates over the peers that may hold connections: those alive, those silent for a short time
    /// and those that stop and have some left.
    pub fn sharing(&self, now: Instant) -> impl Iterator<Item = id::ProxyId> + '_ {
        let sharing = self.peers.iter().filter(move |(_, peer)| {
            let stopped = peer.message.leaving && peer.message.shares.is_empty();
            now < peer.alive_until + SHARE_RETURN && !stopped
        });
        sharing.map(|(proxy, _)| proxy)
    }

    /// Returns how many known addresses besides `own` have not been heard and may still be.
    pub fn unheard(&self, now: Instant, own: &str) -> usize {
        if now >= self.heard_all_by {
            return 0;
        }
        let heard = |address: &str| {
            let mut peers = self.peers.values();
            peers.any(|peer| peer.message.address.as_ref() == address)
        };
        let addresses = self.addresses.iter().map(AsRef::as_ref);
        addresses.filter(|to| *to != own && !heard(to)).count()
    }

    /// Returns the share that the proxy `own` has of `total` connections to a member. What does not
    /// divide goes to the proxies that rank first for the member.
    pub fn share(
        &self,
        now: Instant,
        own: id::ProxyId,
        unheard: usize,
        member: id::MemberId,
        total: u32,
    ) -> u32 {
        let weight = id::rendezvous_weight(member, own);
        let others = self.sharing(now).count() + unheard;
        let ahead = self
            .sharing(now)
            .filter(|p| id::rendezvous_weight(member, *p) > weight);
        let proxies = u32::try_from(others + 1).unwrap_or(u32::MAX);
        let rank = u32::try_from(ahead.count() + unheard).unwrap_or(u32::MAX);
        total / proxies + u32::from(rank < total % proxies)
    }

    /// Returns whether heartbeats are due: the next regular ones, or ones that report a change.
    pub fn due(&self, now: Instant, message: &Message) -> bool {
        let changed = self.last.as_ref().is_none_or(|last| differs(last, message));
        now >= self.heartbeat_at || changed && now >= self.last_sent_at + URGENT
    }

    /// Returns the end of a loan that starts now; it spans some heartbeats, so that it can be renewed.
    pub fn loan_until(&self, now: Instant) -> Instant {
        now + LOAN.max(self.interval * LOAN_HEARTBEATS)
    }

    /// Notes that heartbeats were sent, and sets when the next ones are due. The time between them grows
    /// with the number of peers, so that their bytes stay within the budget.
    pub fn sent(&mut self, now: Instant, message: &Message) {
        let size = u32::try_from(message.encoded_len() + HEADER_BYTES).unwrap_or(u32::MAX);
        let peers = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        // Each peer sends as many as it receives.
        let bytes = size.saturating_mul(peers).saturating_mul(2);
        let spread = Duration::from_secs(1) * bytes / BYTES_PER_SECOND;
        self.interval = HEARTBEAT.max(spread);
        self.heartbeat_at = now + self.interval;
        self.last = Some(message.clone());
        self.last_sent_at = now;
    }

    /// Returns this proxy's rank for a subject among the proxies alive; 0 is the first.
    pub fn rank(&self, now: Instant, own: id::ProxyId, subject: u64) -> u32 {
        let weight = id::rendezvous_weight(subject, own);
        let ahead = self
            .alive(now)
            .filter(|(proxy, _)| id::rendezvous_weight(subject, *proxy) > weight);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }
}

/// Returns whether a message says something that peers act upon and that the last one did not say.
fn differs(last: &Message, message: &Message) -> bool {
    let waits = |message: &Message| message.shares.iter().any(|share| share.waiting > 0);
    last.head != message.head
        || last.leaving != message.leaving
        || message.groups.iter().any(|report| is_news(last, report))
        || waits(message) && !waits(last)
}

/// Returns whether a report contradicts the last one on its group, or is the first and bad.
fn is_news(last: &Message, report: &GroupReport) -> bool {
    let known = last.groups.iter().find(|known| known.group == report.group);
    known.map_or(!report.primary_answers, |known| known != report)
}
