//! Applies updates of configuration, members and other proxies to the broker, and sends them on to listeners.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmarlift_broker::event;
use fulmarlift_broker::revision;
use fulmarlift_broker::topology_change;
use tokio::sync::{MutexGuard, broadcast, watch};

use crate::deployment;
use crate::deployment::Deployment;
use crate::shell;
use crate::transfer;
use crate::updates::frame;

impl<D: Deployment> shell::Shell<D> {
    /// Applies an update to the broker and sends it on to the listeners.
    pub fn apply_update(self: &Rc<Self>, update: deployment::Update) {
        if !self.is_known(&update) {
            log_update(&update);
        }
        if self.listeners.get() > 0
            && let Some(message) = self.message_to_listeners(&update)
        {
            // Fails only without a receiver, when no listener needs the update.
            let _ = self.updates.send(message.encode());
        }
        self.handle(match update {
            deployment::Update::Configured(topology) => event::Event::Configured(topology),
            deployment::Update::Listed(member) => {
                self.record_members_revision(member.revision);
                event::Event::Listed(member)
            }
            deployment::Update::Unlisted { name, revision } => {
                self.record_members_revision(revision);
                event::Event::Unlisted { name, revision }
            }
            deployment::Update::PeerListed(peer) => event::Event::PeerListed(peer),
            deployment::Update::PeerUnlisted(name) => event::Event::PeerUnlisted(name),
        });
    }

    /// Returns the message that tells listeners of an update, which is not applied yet; none if they know as much as this proxy.
    fn message_to_listeners(&self, update: &deployment::Update) -> Option<frame::Message> {
        let deployment::Update::Configured(topology) = update else {
            return Some(frame::Message::Update(update.clone()));
        };
        self.with_broker(|broker| {
            let known = broker.topology();
            (known.version < topology.version).then(|| {
                let change = topology_change::TopologyChange::between(known, topology);
                frame::Message::ConfigurationChanged(change)
            })
        })
    }

    /// Returns whether the broker knows the content of an update already, as it mostly does that of a snapshot.
    fn is_known(&self, update: &deployment::Update) -> bool {
        self.with_broker(|broker| match update {
            deployment::Update::Configured(topology) => {
                broker.topology().version >= topology.version
            }
            deployment::Update::Listed(member) => broker.member(member.id) == Some(member),
            deployment::Update::PeerListed(peer) => broker.peer(&peer.vm_name) == Some(peer),
            deployment::Update::Unlisted { .. } | deployment::Update::PeerUnlisted(_) => false,
        })
    }

    /// Returns a receiver of all updates from now on, encoded for listeners.
    pub(crate) fn subscribe_updates(&self) -> broadcast::Receiver<Bytes> {
        self.updates.subscribe()
    }

    /// Returns the number of proxies that listen to this one.
    pub fn listeners(&self) -> usize {
        self.listeners.get()
    }

    /// Counts a listener that has connected, or one that has disconnected.
    pub(crate) fn count_listener(&self, connected: bool) {
        let before = self.listeners.get();
        let now = if connected { before + 1 } else { before - 1 };
        self.listeners.set(now);
        if before == 0 {
            self.first_listener.notify_waiters();
        }
    }

    /// Waits until a listener connects while there is none.
    pub(crate) async fn first_listener(&self) {
        self.first_listener.notified().await;
    }

    /// Records that the entries of the other proxies have been read.
    pub(crate) fn record_peers_read(self: &Rc<Self>) {
        self.handle(event::Event::PeersRead);
        self.peers_read.send_replace(true);
    }

    /// Waits until the entries of the other proxies have been read once.
    pub(crate) async fn peers_read(&self) {
        let mut peers_read = self.peers_read.subscribe();
        // Fails only without a sender, and the shell has one.
        let _ = peers_read.wait_for(|read| *read).await;
    }

    /// Returns the revision of the store up to which the members are complete.
    pub fn members_revision(&self) -> revision::Revision {
        self.members_revision.get()
    }

    /// Records a revision of the store up to which the members are complete.
    pub(crate) fn record_members_revision(self: &Rc<Self>, revision: revision::Revision) {
        self.record_store_era(revision.era, Duration::ZERO);
        self.members_revision
            .set(self.members_revision.get().max(revision));
    }

    /// Returns the revision of the store up to which the configuration is known; none before the first read.
    pub fn configuration_revision(&self) -> Option<revision::Revision> {
        self.configuration_revision.get()
    }

    /// Records a revision of the store up to which the configuration is known.
    pub(crate) fn record_configuration_revision(&self, revision: revision::Revision) {
        self.configuration_revision
            .set(self.configuration_revision.get().max(Some(revision)));
    }

    /// Returns the newest known era of the store; 0 before its first answer.
    pub fn store_era(&self) -> revision::Era {
        self.store_era.borrow().unwrap_or_default()
    }

    /// Returns a receiver of the store's era.
    pub(crate) fn watch_store_era(&self) -> watch::Receiver<Option<revision::Era>> {
        self.store_era.subscribe()
    }

    /// Records the era in an answer of the store, and that the store has been in it for at least `known_for`. An era older than
    /// the known one is ignored.
    pub(crate) fn record_store_era(self: &Rc<Self>, era: revision::Era, known_for: Duration) {
        let known = *self.store_era.borrow();
        if known < Some(era) {
            if let Some(known) = known {
                log::warn!("event=store_went_back era={era} previous={known}");
                metrics::counter!("fulmarlift_store_era_changes_total").increment(1);
            } else {
                log::info!("event=store_era era={era}");
            }
            self.store_era.send_replace(Some(era));
        }
        let tells_more = known < Some(era) || known == Some(era) && known_for > Duration::ZERO;
        if tells_more && era > 0 {
            self.handle(event::Event::StoreEra { era, known_for });
            self.record_quota_era(era, known_for);
        }
    }

    /// Returns the time of the store's last answer to a poll of the configuration by this proxy or its reader.
    pub fn store_answered_at(&self) -> Option<Instant> {
        self.store_answered_at.get()
    }

    /// Returns the latest time at which the store was seen to answer such a poll: its last answer, or a later one that is
    /// still arriving.
    pub fn store_heard_at(&self) -> Option<Instant> {
        self.store_answered_at
            .get()
            .max(self.configuration_transfer.progress_at())
    }

    /// Returns the name of the VM whose proxy answered the last question for a claim row.
    pub(crate) fn claim_relay(&self) -> Option<Box<str>> {
        self.claim_relay.borrow().clone()
    }

    /// Records which proxy answered the last question for a claim row, if one did.
    pub(crate) fn set_claim_relay(&self, vm_name: Option<Box<str>>) {
        *self.claim_relay.borrow_mut() = vm_name;
    }

    /// Returns the progress of this proxy's polls of the configuration.
    pub(crate) fn configuration_transfer(&self) -> Rc<transfer::Transfer> {
        Rc::clone(&self.configuration_transfer)
    }

    /// Records the time of an answer of the store to a poll of the configuration.
    pub(crate) fn record_store_answer(&self, at: Instant) {
        self.store_answered_at
            .set(self.store_answered_at.get().max(Some(at)));
    }

    /// Waits for the permit to retry a store that does not answer. Only one part of the store is retried at a time.
    pub(crate) async fn store_retry_permit(&self) -> MutexGuard<'_, ()> {
        self.store_retry_permit.lock().await
    }
}

fn log_update(update: &deployment::Update) {
    match update {
        deployment::Update::Configured(topology) => {
            let version = topology.version;
            let routes = topology.routes().len();
            log::info!("event=configured version={version} routes={routes}");
            metrics::gauge!("fulmarlift_config_version").set(version as f64);
        }
        deployment::Update::Listed(member) => log::info!(
            "event=member_listed member={} group={:016x} address={} leaving={} says_leads={} revision={}",
            member.name,
            member.group,
            member.address,
            member.leaving,
            member.listed_as_leader,
            member.revision
        ),
        deployment::Update::Unlisted { name, revision } => {
            log::info!("event=member_unlisted member={name} revision={revision}");
        }
        // A proxy that starts learns of all others at once; `event=peers` tells their number.
        deployment::Update::PeerListed(peer) => {
            log::debug!(
                "event=peer_listed peer={} address={}",
                peer.vm_name,
                peer.address
            );
        }
        deployment::Update::PeerUnlisted(name) => log::info!("event=peer_unlisted peer={name}"),
    }
}
