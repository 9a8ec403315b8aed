//! Chooses between reading the store and listening to the domain's reader.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::deployment::{Deployment, Source};
use crate::shell;
use crate::updates::{follow, listen};

/// Delay after the readers of the domain could not be listened to, before they are tried again.
const READER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time for which a proxy that starts reads only the entries of the other proxies.
const PEERS_PRECEDENCE: Duration = Duration::from_millis(200);
/// Interval at which a proxy that reads the store checks for a reader to listen to.
const READER_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds of proxies that read the store after the loss of a reader: the next reader has begun to receive
/// the store's answer by then, and can be listened to.
const SUCCESSION_ROUND: Duration = Duration::from_millis(500);
/// Interval at which the readers are tried until then, and while the store does not answer.
const SUCCESSION_INTERVAL: Duration = Duration::from_millis(200);

/// The parts of the store that a proxy follows.
#[derive(Debug)]
pub struct Sources<C, M, P> {
    /// Source of the operator's configuration.
    pub configurations: C,
    /// Source of the members' entries.
    pub members: M,
    /// Source of the proxies' entries.
    pub proxies: P,
}

/// Keeps configuration, members and proxies up to date: from a reader of the domain if one can be reached and its
/// information is recent, otherwise from the store. Reads the store until a reader has shown that its information is recent,
/// because proxies that listen to this one depend on its reading. Never returns.
pub async fn observe<D: Deployment, C: Source, M: Source, P: Source>(
    shell: Rc<shell::Shell<D>>,
    sources: Sources<C, M, P>,
) {
    let mut succession = Duration::ZERO;
    let mut lost_reader = None;
    loop {
        let reading = async {
            tokio::time::sleep(succession).await;
            read_store(&shell, &sources).await;
        };
        let listener = tokio::select! {
            () = reading => continue,
            listener = find_reader(&shell, succession, lost_reader.as_deref()) => listener,
        };
        log::info!("event=listening reader={}", listener.reader);
        lost_reader = Some(listener.reader.clone());
        listener.run(&shell).await;
        let round = shell.with_broker(fulmarlift_broker::Broker::succession_round);
        succession = SUCCESSION_ROUND * round;
    }
}

/// Follows all parts of the store. The entries of proxies come first, since a proxy with a reader need not read the others.
/// Never returns.
async fn read_store<D: Deployment, C: Source, M: Source, P: Source>(
    shell: &Rc<shell::Shell<D>>,
    sources: &Sources<C, M, P>,
) {
    let others = async {
        // Fails if the store does not answer yet.
        let _ = tokio::time::timeout(PEERS_PRECEDENCE, shell.peers_read()).await;
        tokio::join!(
            follow::follow(shell, &sources.configurations),
            follow::follow(shell, &sources.members),
        );
    };
    tokio::join!(follow::follow(shell, &sources.proxies), others);
}

/// Tries the readers of the domain until one can be listened to, more often for the first `succession`. The reader that was
/// lost is tried last, since it may be silent.
async fn find_reader<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    succession: Duration,
    lost_reader: Option<&str>,
) -> listen::Listener {
    let started_at = tokio::time::Instant::now();
    let mut peers_read = false;
    loop {
        let mut readers = shell.with_broker(fulmarlift_broker::Broker::readers);
        readers.sort_by_key(|reader| lost_reader == Some(reader.vm_name.as_ref()));
        for reader in &readers {
            match listen::Listener::connect(shell, reader).await {
                Ok(listener) => return listener,
                Err(error) => log::debug!(
                    "event=reader_unavailable reader={} error=\"{error}\"",
                    reader.vm_name
                ),
            }
        }
        let delay = match readers.is_empty() {
            true => READER_POLL_INTERVAL,
            false if started_at.elapsed() < succession => SUCCESSION_INTERVAL,
            false if !store_answers(shell) => SUCCESSION_INTERVAL,
            false => READER_RETRY_DELAY,
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = shell.peers_read(), if !peers_read => peers_read = true,
        }
    }
}

/// Returns whether the store has answered this proxy lately.
fn store_answers<D: Deployment>(shell: &shell::Shell<D>) -> bool {
    let heard_at = shell.store_heard_at();
    heard_at
        .is_some_and(|at| clock::now().saturating_duration_since(at) < listen::READER_AGE_MAX * 4)
}
