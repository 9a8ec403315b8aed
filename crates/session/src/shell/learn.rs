//! What the shell is told of configuration, members and other proxies, and what it hands on.

use std::rc::Rc;
use std::time::Instant;

use fulmarlift_broker::event;
use tokio::sync::{MutexGuard, broadcast};

use crate::deployment;
use crate::deployment::Deployment;
use crate::shell;

impl<D: Deployment> shell::Shell<D> {
    /// Applies an update and hands it on to the listeners.
    pub fn learn(self: &Rc<Self>, update: deployment::Update) {
        if !self.is_known(&update) {
            log_update(&update);
        }
        if self.listeners.get() > 0 {
            // Without a receiver there is nobody to be told.
            let _ = self.updates.send(update.clone());
        }
        self.handle(match update {
            deployment::Update::Configured(topology) => event::Event::Configured(topology),
            deployment::Update::Listed(member) => {
                self.note_revision(member.revision);
                event::Event::Listed(member)
            }
            deployment::Update::Unlisted { name, revision } => {
                self.note_revision(revision);
                event::Event::Unlisted { name, revision }
            }
            deployment::Update::PeerListed(peer) => event::Event::PeerListed(peer),
            deployment::Update::PeerUnlisted(name) => event::Event::PeerUnlisted(name),
        });
    }

    /// Returns whether the broker knows the content of an update already, as it mostly does that of a snapshot.
    fn is_known(&self, update: &deployment::Update) -> bool {
        self.with_broker(|broker| match update {
            deployment::Update::Configured(topology) => {
                broker.topology().version >= topology.version
            }
            deployment::Update::Listed(member) => broker.member(member.id) == Some(member),
            deployment::Update::PeerListed(peer) => broker.peer(&peer.name) == Some(peer),
            deployment::Update::Unlisted { .. } | deployment::Update::PeerUnlisted(_) => false,
        })
    }

    /// Returns what is learned from now on.
    pub fn subscribe_updates(&self) -> broadcast::Receiver<deployment::Update> {
        self.updates.subscribe()
    }

    /// Returns the number of proxies that listen to this one.
    pub fn listeners(&self) -> usize {
        self.listeners.get()
    }

    /// Counts a listener that comes or goes.
    pub(crate) fn count_listener(&self, comes: bool) {
        let before = self.listeners.get();
        let now = if comes { before + 1 } else { before - 1 };
        self.listeners.set(now);
        if before == 0 {
            self.listener_came.notify_waiters();
        }
    }

    /// Waits until the first listener comes.
    pub(crate) async fn listener_came(&self) {
        self.listener_came.notified().await;
    }

    /// Returns the revision up to which members are known.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Notes a revision up to which members are known.
    pub(crate) fn note_revision(&self, revision: u64) {
        self.revision.set(self.revision.get().max(revision));
    }

    /// Returns when the store last answered, here or at the proxy that reads it.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Notes when the store answered.
    pub(crate) fn confirm(&self, at: Instant) {
        self.confirmed_at.set(self.confirmed_at.get().max(Some(at)));
    }

    /// Waits for the turn to ask a store that does not answer.
    pub(crate) async fn store_turn(&self) -> MutexGuard<'_, ()> {
        self.store_turn.lock().await
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
            member.says_leads,
            member.revision
        ),
        deployment::Update::Unlisted { name, revision } => {
            log::info!("event=member_unlisted member={name} revision={revision}");
        }
        deployment::Update::PeerListed(peer) => {
            log::info!(
                "event=peer_listed peer={} address={}",
                peer.name,
                peer.address
            );
        }
        deployment::Update::PeerUnlisted(name) => log::info!("event=peer_unlisted peer={name}"),
    }
}
