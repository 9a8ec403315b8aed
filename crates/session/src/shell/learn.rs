//! What the shell is told of configuration, members and other proxies, and what it hands on.

use std::rc::Rc;
use std::time::Instant;

use fulmarlift_broker::event;
use tokio::sync::{MutexGuard, broadcast};

use crate::shell;
use crate::world;
use crate::world::World;

impl<W: World> shell::Shell<W> {
    /// Takes news, and hands them on to listeners.
    pub fn learn(self: &Rc<Self>, news: world::News) {
        if !self.is_known(&news) {
            log_news(&news);
        }
        if self.listeners.get() > 0 {
            // Without a receiver there is nobody to be told.
            let _ = self.news.send(news.clone());
        }
        self.handle(match news {
            world::News::Configured(topology) => event::Event::Configured(topology),
            world::News::Listed(member) => {
                self.note_revision(member.revision);
                event::Event::Listed(member)
            }
            world::News::Unlisted { name, revision } => {
                self.note_revision(revision);
                event::Event::Unlisted { name, revision }
            }
            world::News::PeerListed(peer) => event::Event::PeerListed(peer),
            world::News::PeerUnlisted(name) => event::Event::PeerUnlisted(name),
        });
    }

    /// Returns whether news say what is believed already, as a snapshot mostly does.
    fn is_known(&self, news: &world::News) -> bool {
        self.with_broker(|broker| match news {
            world::News::Configured(topology) => broker.topology().version >= topology.version,
            world::News::Listed(member) => broker.member(member.id) == Some(member),
            world::News::PeerListed(peer) => broker.peer(&peer.name) == Some(peer),
            world::News::Unlisted { .. } | world::News::PeerUnlisted(_) => false,
        })
    }

    /// Returns what is learned from now on.
    pub fn news(&self) -> broadcast::Receiver<world::News> {
        self.news.subscribe()
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

fn log_news(news: &world::News) {
    match news {
        world::News::Configured(topology) => {
            let version = topology.version;
            let routes = topology.routes().len();
            log::info!("event=configured version={version} routes={routes}");
            metrics::gauge!("fulmarlift_config_version").set(version as f64);
        }
        world::News::Listed(member) => log::info!(
            "event=member_listed member={} group={:016x} address={} leaving={} says_leads={} revision={}",
            member.name,
            member.group,
            member.address,
            member.leaving,
            member.listed_as_leader,
            member.revision
        ),
        world::News::Unlisted { name, revision } => {
            log::info!("event=member_unlisted member={name} revision={revision}");
        }
        world::News::PeerListed(peer) => {
            log::info!(
                "event=peer_listed peer={} address={}",
                peer.name,
                peer.address
            );
        }
        world::News::PeerUnlisted(name) => log::info!("event=peer_unlisted peer={name}"),
    }
}
