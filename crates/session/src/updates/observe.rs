//! Reading for oneself, or listening to another.

use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::topology;

use crate::deployment::{Deployment, Source};
use crate::shell;
use crate::updates::{follow, listen};

/// Time for which one reads for oneself after a reader was lost, before it is tried again.
const ALONE_FOR: Duration = Duration::from_secs(5);
/// Pause between two looks whether there is a reader.
const LOOK_EACH: Duration = Duration::from_millis(500);

/// The parts of the store.
#[derive(Debug)]
pub struct Sources<C, M, P> {
    /// The operator's configuration.
    pub configurations: C,
    /// The members' entries.
    pub members: M,
    /// The proxies' entries.
    pub proxies: P,
}

/// Learns for ever, from a reader where there is one and from the store else.
pub async fn observe<D: Deployment, C: Source, M: Source, P: Source>(
    shell: Rc<shell::Shell<D>>,
    sources: Sources<C, M, P>,
) {
    let mut alone_for = Duration::ZERO;
    loop {
        tokio::select! {
            () = read(&shell, &sources) => {}
            () = reader_appears(&shell, alone_for) => {}
        }
        for reader in shell.with_broker(fulmarlift_broker::Broker::readers) {
            learn_from(&shell, &reader).await;
        }
        alone_for = ALONE_FOR;
    }
}

async fn read<D: Deployment, C: Source, M: Source, P: Source>(
    shell: &Rc<shell::Shell<D>>,
    sources: &Sources<C, M, P>,
) {
    tokio::join!(
        follow::follow(shell, &sources.configurations),
        follow::follow(shell, &sources.members),
        follow::follow(shell, &sources.proxies),
    );
}

async fn reader_appears<D: Deployment>(shell: &Rc<shell::Shell<D>>, not_before: Duration) {
    tokio::time::sleep(not_before).await;
    while shell.with_broker(|broker| broker.readers().is_empty()) {
        tokio::time::sleep(LOOK_EACH).await;
    }
}

async fn learn_from<D: Deployment>(shell: &Rc<shell::Shell<D>>, reader: &topology::Peer) {
    if let Err(error) = listen::listen(shell, reader).await {
        log::info!("event=reader_lost reader={} error=\"{error}\"", reader.name);
    }
}
