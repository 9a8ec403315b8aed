//! The configuration and the directory, followed in the store.

use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::event;

use crate::clock;
use crate::shell;
use crate::world;
use crate::world::{Announce, Source, World};

/// Time for which the store is asked to wait for changes of configuration and members. A question that is left unanswered
/// for good is noticed a little later.
const WAIT: Duration = Duration::from_secs(6);
/// The same for proxies, whose changes are rare and not urgent.
const PEERS_WAIT: Duration = Duration::from_secs(25);
/// The same for the configuration while others listen, who have to know that the store still answers.
const LISTENERS_WAIT: Duration = Duration::from_millis(900);
/// Pause after changes, in which further ones gather, so that a change of many rows takes few calls.
const GATHER: Duration = Duration::from_millis(200);
/// The same for proxies, and for everything while the process starts and all others do so too.
const LONG_GATHER: Duration = Duration::from_millis(1_000);
/// Time after the start that counts as such.
const START: Duration = Duration::from_secs(8);
/// Shortest pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls: within `stability-window-ms` after the store's return everything has to be known.
const BACKOFF_MAX: Duration = Duration::from_millis(1_000);

/// A part of the store as far as it is known.
struct Follower<'a, W: World, S: Source> {
    shell: &'a Rc<shell::Shell<W>>,
    source: &'a S,
    revision: Option<u64>,
    listed: Vec<Box<str>>,
    reached: bool,
    backoff: Duration,
    began_at: tokio::time::Instant,
}

/// Follows a part of the store for ever.
pub(super) async fn follow<W: World, S: Source>(shell: &Rc<shell::Shell<W>>, source: &S) {
    let mut follower = Follower {
        shell,
        source,
        revision: None,
        listed: Vec::new(),
        reached: false,
        backoff: BACKOFF_MIN,
        began_at: tokio::time::Instant::now(),
    };
    loop {
        follower.advance().await;
    }
}

impl<W: World, S: Source> Follower<'_, W, S> {
    async fn advance(&mut self) {
        // While the store does not answer, one part of it is asked for at a time.
        let shell = self.shell;
        let turn = match self.reached {
            true => None,
            false => Some(shell.store_turn().await),
        };
        // Whether it answers again is to be known at once, and the turn is others' then.
        let wait = match self.reached {
            true => wait_for(self.source.contents(), self.shell.listeners()),
            false => Duration::ZERO,
        };
        let read = match self.revision {
            Some(revision) => tokio::select! {
                changes = self.source.changes(revision, wait) => changes,
                // Who listens has to hear soon that the store answers.
                () = shell.listener_came() => return,
            },
            None => self.source.read().await,
        };
        match read {
            Ok(batch) => {
                drop(turn);
                self.note_reached(true, "");
                self.confirm();
                self.backoff = BACKOFF_MIN;
                self.apply(batch);
                // Changes that come together are read together.
                tokio::time::sleep(gather_for(self.source.contents(), self.began_at.elapsed()))
                    .await;
            }
            Err(world::CallError::Compacted) => {
                log::info!("event=history_gone source={:?}", self.source.contents());
                self.revision = None;
            }
            Err(error) => {
                self.note_reached(false, &error.to_string());
                self.pause().await;
            }
        }
    }

    fn apply(&mut self, batch: world::Batch) {
        let whole = self.revision.is_none();
        self.revision = Some(batch.revision);
        let mut listed: Vec<Box<str>> = Vec::new();
        for news in batch.news {
            match &news {
                world::News::Listed(member) => listed.push(member.name.clone()),
                world::News::PeerListed(peer) => listed.push(peer.name.clone()),
                world::News::Unlisted { name, .. } | world::News::PeerUnlisted(name) => {
                    self.listed.retain(|other| other != name);
                }
                world::News::Configured(_) => {}
            }
            self.shell.learn(news);
        }
        if whole {
            for name in std::mem::take(&mut self.listed) {
                if !listed.contains(&name) {
                    self.unlist(name, batch.revision);
                }
            }
        }
        if self.source.contents() == world::Contents::Members {
            self.shell.note_revision(batch.revision);
        }
        if whole && self.source.contents() == world::Contents::Peers {
            self.shell.handle(event::Event::PeersRead);
        }
        for name in listed {
            if !self.listed.contains(&name) {
                self.listed.push(name);
            }
        }
    }

    fn unlist(&mut self, name: Box<str>, revision: u64) {
        match self.source.contents() {
            world::Contents::Peers => self.shell.learn(world::News::PeerUnlisted(name)),
            world::Contents::Members => self.shell.learn(world::News::Unlisted { name, revision }),
            world::Contents::Configuration => {}
        }
    }

    /// Notes when the store answered last. An answer without changes that was waited for tells how things are now.
    fn confirm(&self) {
        if self.source.contents() == world::Contents::Configuration {
            self.shell.confirm(clock::now());
        }
    }

    fn note_reached(&mut self, reached: bool, error: &str) {
        let source = self.source.contents();
        if reached != self.reached {
            self.reached = reached;
            log::info!("event=store_reached source={source:?} reached={reached} error=\"{error}\"");
        }
        if source == world::Contents::Members {
            self.shell.handle(event::Event::DirectoryPolled { reached });
        }
    }

    /// Waits longer after each failure, and by chance, so that many proxies do not come back at once.
    async fn pause(&mut self) {
        let share = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.backoff.mul_f64(share)).await;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }
}

fn wait_for(contents: world::Contents, listeners: usize) -> Duration {
    match contents {
        world::Contents::Configuration if listeners > 0 => LISTENERS_WAIT,
        world::Contents::Configuration | world::Contents::Members => WAIT,
        world::Contents::Peers => PEERS_WAIT,
    }
}

fn gather_for(contents: world::Contents, age: Duration) -> Duration {
    match contents {
        world::Contents::Configuration | world::Contents::Members if age > START => GATHER,
        _ => LONG_GATHER,
    }
}

/// Announces this proxy to the others, until that has succeeded.
pub async fn announce<A: Announce>(own: A) {
    let mut backoff = BACKOFF_MIN;
    while let Err(error) = own.announce().await {
        log::warn!("event=announce_failed error=\"{error}\"");
        let share = rand::random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(share)).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
    log::info!("event=announced");
}
