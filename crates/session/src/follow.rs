//! The configuration and the directory, followed in the store.

use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::event::Event;

use crate::shell::Shell;
use crate::world::{Batch, CallError, News, Source, World};

/// Time for which the store is asked to wait for changes. A connection that is silent for good is noticed a little later.
const WAIT: Duration = Duration::from_secs(6);
/// Shortest pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls: within `stability-window-ms` after the store's return everything has to be known.
const BACKOFF_MAX: Duration = Duration::from_millis(1_000);

/// A part of the store as far as it is known.
struct Follower<W: World, S: Source> {
    shell: Rc<Shell<W>>,
    source: S,
    revision: Option<u64>,
    listed: Vec<Box<str>>,
    reached: bool,
    backoff: Duration,
}

/// Follows a part of the store for ever.
pub async fn follow<W: World, S: Source>(shell: Rc<Shell<W>>, source: S) {
    let mut follower = Follower {
        shell,
        source,
        revision: None,
        listed: Vec::new(),
        reached: false,
        backoff: BACKOFF_MIN,
    };
    loop {
        follower.advance().await;
    }
}

impl<W: World, S: Source> Follower<W, S> {
    async fn advance(&mut self) {
        let read = match self.revision {
            Some(revision) => self.source.changes(revision, WAIT).await,
            None => self.source.read().await,
        };
        match read {
            Ok(batch) => {
                self.note_reached(true, "");
                self.backoff = BACKOFF_MIN;
                self.apply(batch);
            }
            Err(CallError::Compacted) => {
                log::info!("event=history_gone source={}", self.source.name());
                self.revision = None;
            }
            Err(error) => {
                self.note_reached(false, &error.to_string());
                self.pause().await;
            }
        }
    }

    fn apply(&mut self, batch: Batch) {
        let whole = self.revision.is_none();
        self.revision = Some(batch.revision);
        let mut listed: Vec<Box<str>> = Vec::new();
        for news in batch.news {
            match news {
                News::Configured(topology) => {
                    let version = topology.version;
                    let routes = topology.routes().len();
                    log::info!("event=configured version={version} routes={routes}");
                    metrics::gauge!("fulmarlift_config_version").set(version as f64);
                    self.shell.handle(Event::Configured(topology));
                }
                News::Listed(member) => {
                    log::info!(
                        "event=member_listed member={} group={:016x} address={} leaving={} says_leads={} revision={}",
                        member.name,
                        member.group,
                        member.address,
                        member.leaving,
                        member.says_leads,
                        member.revision
                    );
                    listed.push(member.name.clone());
                    self.shell.handle(Event::Listed(member));
                }
                News::Unlisted(name) => {
                    log::info!("event=member_unlisted member={name}");
                    self.listed.retain(|other| *other != name);
                    self.shell.handle(Event::Unlisted(name));
                }
            }
        }
        if whole {
            for name in std::mem::take(&mut self.listed) {
                if !listed.contains(&name) {
                    log::info!("event=member_unlisted member={name}");
                    self.shell.handle(Event::Unlisted(name));
                }
            }
        }
        for name in listed {
            if !self.listed.contains(&name) {
                self.listed.push(name);
            }
        }
    }

    fn note_reached(&mut self, reached: bool, error: &str) {
        if reached != self.reached {
            self.reached = reached;
            let source = self.source.name();
            log::info!("event=store_reached source={source} reached={reached} error=\"{error}\"");
        }
        if self.source.lists_members() {
            self.shell.handle(Event::Directory { reached });
        }
    }

    /// Waits longer after each failure, and by chance, so that many proxies do not come back at once.
    async fn pause(&mut self) {
        let share = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.backoff.mul_f64(share)).await;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }
}
