//! Reads the configuration and the entries of members and proxies from the store by long polling: the store delays its
//! answer to a poll until there is a change, for the poll timeout at most.

use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::event;
use fulmarlift_broker::revision;

use crate::clock;
use crate::deployment;
use crate::deployment::{Announce, Deployment, Source};
use crate::shell;
use crate::transfer;
use tokio::sync::{MutexGuard, watch};

/// Time for which a poll asks the store to wait for changes of configuration and members. If the store never answers a
/// poll, the proxy notices it only a little after this time.
const POLL_TIMEOUT: Duration = Duration::from_secs(6);
/// Poll timeout for the entries of proxies, whose changes are rare and not urgent.
const PEERS_POLL_TIMEOUT: Duration = Duration::from_secs(25);
/// Poll timeout for the configuration while this proxy has listeners, which must learn often that the store still answers.
const LISTENED_POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay between an answer and the next poll. Further changes gather during it, so that a change of many rows takes few calls.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Batch delay for the entries of proxies, and for those of members during startup, since all proxies often start together.
const LONG_BATCH_DELAY: Duration = Duration::from_millis(1_000);
/// Time that counts as startup, from the moment when this proxy begins to read the store: at its start, or because it has
/// no reader any more.
const STARTUP_PERIOD: Duration = Duration::from_secs(8);
/// Backoff after the first failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest backoff after failed calls: the proxy must have read all entries within the platform's setting
/// `stability-window-ms` after the store answers again.
const BACKOFF_MAX: Duration = Duration::from_millis(1_000);
/// Shortest and longest backoff of a proxy with readers, from which it also learns that the store answers again.
const LISTENER_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(3_000));
/// Delay of a proxy with readers before it reads a part of the store in full. The readers have usually read the store by
/// then, and the proxy can listen to them instead.
const READER_PRECEDENCE: Duration = Duration::from_millis(500);
/// Shortest backoff of the announcement. When hundreds of proxies start together, their writes take seconds.
const ANNOUNCE_BACKOFF_MIN: Duration = Duration::from_millis(800);
/// Longest backoff of the announcement.
const ANNOUNCE_BACKOFF_MAX: Duration = Duration::from_millis(2_000);

/// Reads one part of the store, and keeps the state of the polling.
struct Follower<'a, D: Deployment, S: Source> {
    shell: &'a Rc<shell::Shell<D>>,
    source: &'a S,
    /// Progress of the current call.
    transfer: Rc<transfer::Transfer>,
    /// Revision up to which all changes are read; none before the first full read.
    revision: Option<revision::Revision>,
    /// Tells when another call finds the store in a newer era.
    store_era: watch::Receiver<Option<revision::Era>>,
    /// Era of the last full read; none before the first one.
    era: Option<revision::Era>,
    /// Names of the entries at that revision.
    listed_names: Vec<Box<str>>,
    /// Whether the store answered the last call.
    reached: bool,
    backoff: Duration,
    started_at: tokio::time::Instant,
}

/// Follows a part of the store, and applies its updates. Never returns.
pub(super) async fn follow<D: Deployment, S: Source>(shell: &Rc<shell::Shell<D>>, source: &S) {
    // What a reader has told need not be read again: a configuration may be large.
    let known = match source.contents() {
        deployment::Contents::Configuration => shell.configuration_revision(),
        deployment::Contents::Members | deployment::Contents::Peers => None,
    };
    let mut follower = Follower {
        shell,
        source,
        transfer: match source.contents() {
            deployment::Contents::Configuration => shell.configuration_transfer(),
            deployment::Contents::Members | deployment::Contents::Peers => Rc::default(),
        },
        revision: known,
        era: known.map(|revision| revision.era),
        store_era: shell.watch_store_era(),
        listed_names: Vec::new(),
        reached: false,
        backoff: BACKOFF_MIN,
        started_at: tokio::time::Instant::now(),
    };
    loop {
        follower.poll().await;
    }
}

impl<D: Deployment, S: Source> Follower<'_, D, S> {
    /// Reads the store once and applies the result, then waits until the next read is due.
    async fn poll(&mut self) {
        if self.revision.is_none() && self.has_reader() {
            tokio::time::sleep(READER_PRECEDENCE).await;
        }
        // While the store does not answer, only one part at a time retries.
        let shell = self.shell;
        let mut retry_permit = match self.reached {
            true => None,
            false => Some(shell.store_retry_permit().await),
        };
        // A retry asks for an immediate answer, so that the proxy notices a recovered store at once and passes the
        // permit on.
        let wait = match self.reached {
            true => poll_timeout(self.source.contents(), self.shell.listeners()),
            false => Duration::ZERO,
        };
        let Some(read) = self.call(wait, &mut retry_permit).await else {
            return;
        };
        self.transfer.end(read.is_ok());
        match read {
            // The call was answered before the store came back older.
            Ok(batch) if batch.revision.era < self.shell.store_era() => {
                log::info!("event=outdated_answer source={:?}", self.source.contents());
                self.back_off().await;
            }
            Ok(batch)
                if self
                    .revision
                    .is_some_and(|known| known.era < batch.revision.era) =>
            {
                self.shell
                    .record_store_era(batch.revision.era, Duration::ZERO);
                self.revision = None;
            }
            Ok(batch) => {
                self.shell
                    .record_store_era(batch.revision.era, Duration::ZERO);
                drop(retry_permit);
                self.record_reached(true, "");
                self.backoff = BACKOFF_MIN;
                self.log_configuration_read(&batch);
                let revision = batch.revision;
                self.apply(batch);
                self.record_configuration_answer(revision);
                // Changes that occur shortly after each other are read with one call.
                tokio::time::sleep(batch_delay(
                    self.source.contents(),
                    self.started_at.elapsed(),
                ))
                .await;
            }
            Err(deployment::CallError::Compacted) => {
                log::info!("event=history_gone source={:?}", self.source.contents());
                self.revision = None;
            }
            Err(error) => {
                self.log_partial_answer(&error);
                self.record_reached(false, &error.to_string());
                self.back_off().await;
            }
        }
    }

    /// Calls the store. Gives the permit back when the answer begins to arrive, since the store answers then. Returns nothing
    /// if the call is obsolete.
    async fn call(
        &mut self,
        wait: Duration,
        retry_permit: &mut Option<MutexGuard<'_, ()>>,
    ) -> Option<Result<deployment::Batch, deployment::CallError>> {
        let (source, shell, revision) = (self.source, self.shell, self.revision);
        let transfer = Rc::clone(&self.transfer);
        transfer.start();
        let call = async {
            match revision {
                Some(revision) => source.changes(revision, wait, &transfer).await,
                None => source.read(&transfer).await,
            }
        };
        tokio::pin!(call);
        loop {
            tokio::select! {
                read = &mut call => return Some(read),
                () = transfer.begins(), if retry_permit.is_some() => *retry_permit = None,
                _ = self.store_era.wait_for(|era| *era > revision.map(|known| known.era)),
                    if revision.is_some() =>
                {
                    self.revision = None;
                    return None;
                }
                // The first listener needs the shorter poll timeout, since it must know soon that the store answers.
                () = shell.first_listener(), if revision.is_some() => return None,
            }
        }
    }

    /// Applies the updates of a batch. After a full read, entries that are no longer in the store count as removed.
    fn apply(&mut self, batch: deployment::Batch) {
        let is_full_read = self.revision.is_none();
        let previous_era = self.era.replace(batch.revision.era);
        // Proxies whose entries were lost with the store's newest changes write them again; entries of proxies are not removed
        // otherwise. The broker waits for the members to do so itself.
        let peers_lost = self.source.contents() == deployment::Contents::Peers
            && previous_era.is_some_and(|era| era < batch.revision.era);
        self.revision = Some(batch.revision);
        let mut listed_in_batch: Vec<Box<str>> = Vec::new();
        for update in batch.updates {
            match &update {
                deployment::Update::Listed(member) => listed_in_batch.push(member.name.clone()),
                deployment::Update::PeerListed(peer) => listed_in_batch.push(peer.vm_name.clone()),
                deployment::Update::Unlisted { name, .. }
                | deployment::Update::PeerUnlisted(name) => {
                    self.listed_names.retain(|other| other != name);
                }
                deployment::Update::Configured(_) => {}
            }
            self.shell.apply_update(update);
        }
        if is_full_read && !peers_lost {
            for name in self.take_known_names() {
                if !listed_in_batch.contains(&name) {
                    self.apply_removal(name, batch.revision);
                }
            }
        }
        if self.source.contents() == deployment::Contents::Members {
            self.shell.record_members_revision(batch.revision);
        }
        if is_full_read && self.source.contents() == deployment::Contents::Peers {
            self.shell.record_peers_read();
        }
        for name in listed_in_batch {
            if !self.listed_names.contains(&name) {
                self.listed_names.push(name);
            }
        }
    }

    /// Takes the names whose entries this proxy knows. A reader may have told members that this follower has never read.
    fn take_known_names(&mut self) -> Vec<Box<str>> {
        let mut names = std::mem::take(&mut self.listed_names);
        if self.source.contents() == deployment::Contents::Members {
            let listed = self.shell.with_broker(|broker| broker.listed_members());
            names.extend(listed.into_iter().map(|member| member.name));
            names.sort_unstable();
            names.dedup();
        }
        names
    }

    fn apply_removal(&mut self, name: Box<str>, revision: revision::Revision) {
        match self.source.contents() {
            deployment::Contents::Peers => self
                .shell
                .apply_update(deployment::Update::PeerUnlisted(name)),
            deployment::Contents::Members => self
                .shell
                .apply_update(deployment::Update::Unlisted { name, revision }),
            deployment::Contents::Configuration => {}
        }
    }

    /// If this part is the configuration, records that the store answered now: an answer, even one without changes, shows
    /// that the configuration in force is the one at this revision.
    fn record_configuration_answer(&self, revision: revision::Revision) {
        if self.source.contents() == deployment::Contents::Configuration {
            self.shell.record_store_answer(clock::now());
            self.shell.record_configuration_revision(revision);
        }
    }

    /// Logs a read of the configuration, the largest part of the store.
    fn log_configuration_read(&self, batch: &deployment::Batch) {
        if self.source.contents() == deployment::Contents::Configuration
            && !batch.updates.is_empty()
        {
            log::info!(
                "event=configuration_read full={} bytes={} elapsed_ms={} receiving_ms={} revision={}",
                self.revision.is_none(),
                self.transfer.received_bytes(),
                self.transfer.elapsed().as_millis(),
                self.transfer.receiving_for().as_millis(),
                batch.revision
            );
        }
    }

    /// Logs a call that failed while its answer arrived: what had arrived has to be sent again.
    fn log_partial_answer(&self, error: &deployment::CallError) {
        if self.transfer.received_bytes() > 0 {
            metrics::counter!("fulmarlift_store_partial_answers_total").increment(1);
            log::warn!(
                "event=partial_answer source={:?} bytes={} elapsed_ms={} receiving_ms={} error=\"{error}\"",
                self.source.contents(),
                self.transfer.received_bytes(),
                self.transfer.elapsed().as_millis(),
                self.transfer.receiving_for().as_millis()
            );
        }
    }

    fn record_reached(&mut self, reached: bool, error: &str) {
        let source = self.source.contents();
        if reached != self.reached {
            self.reached = reached;
            log::info!("event=store_reached source={source:?} reached={reached} error=\"{error}\"");
        }
        if source == deployment::Contents::Members {
            let answered_at = reached.then(clock::now);
            self.shell
                .handle(event::Event::DirectoryRead { answered_at });
        }
    }

    /// Waits with exponential backoff and jitter, so that many proxies do not retry at the same time.
    async fn back_off(&mut self) {
        let jitter = rand::random_range(0.5..1.0);
        tokio::time::sleep(self.backoff.mul_f64(jitter)).await;
        let (min, max) = match self.has_reader() {
            true => LISTENER_BACKOFF,
            false => (BACKOFF_MIN, BACKOFF_MAX),
        };
        self.backoff = (self.backoff * 2).clamp(min, max);
    }

    fn has_reader(&self) -> bool {
        self.shell
            .with_broker(|broker| !broker.readers().is_empty())
    }
}

fn poll_timeout(contents: deployment::Contents, listeners: usize) -> Duration {
    match contents {
        deployment::Contents::Configuration if listeners > 0 => LISTENED_POLL_TIMEOUT,
        deployment::Contents::Configuration | deployment::Contents::Members => POLL_TIMEOUT,
        deployment::Contents::Peers => PEERS_POLL_TIMEOUT,
    }
}

fn batch_delay(contents: deployment::Contents, age: Duration) -> Duration {
    match contents {
        // Listeners must learn often that the store answers.
        deployment::Contents::Configuration => BATCH_DELAY,
        deployment::Contents::Members if age > STARTUP_PERIOD => BATCH_DELAY,
        deployment::Contents::Members | deployment::Contents::Peers => LONG_BATCH_DELAY,
    }
}

/// Announces this proxy to the others, and again in each new era of the store, which may have lost the entry. Never returns.
pub async fn announce<D: Deployment, A: Announce>(shell: Rc<shell::Shell<D>>, announcement: A) {
    let mut store_era = shell.watch_store_era();
    loop {
        let announced = announce_once(&announcement).await;
        log::info!("event=announced era={}", announced.era);
        shell.record_store_era(announced.era, announced.known_for);
        let newer = store_era.wait_for(|era| *era > Some(announced.era));
        if newer.await.is_err() {
            return;
        }
        let jitter = rand::random_range(0.0..1.0);
        tokio::time::sleep(ANNOUNCE_BACKOFF_MIN.mul_f64(jitter)).await;
    }
}

/// Announces this proxy; retries until the store has accepted the entry.
async fn announce_once<A: Announce>(announcement: &A) -> deployment::Announced {
    let mut backoff = ANNOUNCE_BACKOFF_MIN;
    loop {
        match announcement.announce().await {
            Ok(announced) => return announced,
            Err(error) => log::warn!("event=announce_failed error=\"{error}\""),
        }
        let jitter = rand::random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(ANNOUNCE_BACKOFF_MAX);
    }
}
