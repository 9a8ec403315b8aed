//! Chooses between reading the store and listening to the domain's reader.

use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::topology;

use crate::deployment::{Deployment, Source};
use crate::shell;
use crate::updates::{follow, listen};

/// Time for which a proxy reads the store itself after it lost its reader, before it tries to listen again.
const READER_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Interval at which a proxy that reads the store checks for a reader to listen to.
const READER_POLL_INTERVAL: Duration = Duration::from_millis(500);

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
/// information is recent, otherwise from the store. Never returns.
pub async fn observe<D: Deployment, C: Source, M: Source, P: Source>(
    shell: Rc<shell::Shell<D>>,
    sources: Sources<C, M, P>,
) {
    let mut reader_retry_delay = Duration::ZERO;
    loop {
        tokio::select! {
            () = read_store(&shell, &sources) => {}
            () = wait_for_reader(&shell, reader_retry_delay) => {}
        }
        for reader in shell.with_broker(fulmarlift_broker::Broker::readers) {
            listen_to(&shell, &reader).await;
        }
        reader_retry_delay = READER_RETRY_DELAY;
    }
}

/// Follows all parts of the store. Never returns.
async fn read_store<D: Deployment, C: Source, M: Source, P: Source>(
    shell: &Rc<shell::Shell<D>>,
    sources: &Sources<C, M, P>,
) {
    tokio::join!(
        follow::follow(shell, &sources.configurations),
        follow::follow(shell, &sources.members),
        follow::follow(shell, &sources.proxies),
    );
}

/// Waits until a delay has passed and there is a reader to listen to.
async fn wait_for_reader<D: Deployment>(shell: &Rc<shell::Shell<D>>, delay: Duration) {
    tokio::time::sleep(delay).await;
    while shell.with_broker(|broker| broker.readers().is_empty()) {
        tokio::time::sleep(READER_POLL_INTERVAL).await;
    }
}

async fn listen_to<D: Deployment>(shell: &Rc<shell::Shell<D>>, reader: &topology::Peer) {
    if let Err(error) = listen::listen(shell, reader).await {
        log::info!(
            "event=reader_lost reader={} error=\"{error}\"",
            reader.vm_name
        );
    }
}
