//! Keeps the configuration up to date.
//!
//! The store and the heartbeats of peers announce heads, each the version and digest of a document. The proxy fetches
//! the document of the newest head from a peer or the store until that document or a newer one is in force.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarlift_core::peer;
use fulmarlift_store::platform::Platform;
use fulmarlift_store::publish::{self, read};
use fulmarlift_store::{client, platform};
use tokio::sync::watch;
use tokio::task;

use crate::document;
use crate::engine;
use crate::peers;

/// Interval between two reads of the head from the store.
const HEAD_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay before the proxy fetches a document again that neither a peer nor the store returned.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of peers that the proxy asks for a document at the same time.
const CONCURRENT_PEERS_MAX: usize = 4;
/// Delay after which the proxy reads the document from the store, in addition to asking the peers.
const STORE_DELAY: Duration = Duration::from_millis(200);
/// Interval between two warnings that no configuration is in force.
const WARN_INTERVAL: Duration = Duration::from_millis(5_000);

/// The newest head that the store or a peer has announced.
#[derive(Clone, Debug, Default)]
pub struct NewestHead {
    head: watch::Sender<peer::Head>,
}

impl NewestHead {
    /// Replaces the newest head if this head has a higher version.
    pub fn replace_if_newer(&self, head: peer::Head) {
        self.head.send_if_modified(|newest| {
            let newer = head.version > newest.version;
            if newer {
                *newest = head;
            }
            newer
        });
    }
}

/// Reads the head from the store until the process ends.
pub async fn poll_head(
    engine: Arc<engine::Engine>,
    client: client::Client,
    newest_head: NewestHead,
) {
    let read = metrics::counter!("fulmarlift_head_reads_total", "result" => "read");
    let failed = metrics::counter!("fulmarlift_head_reads_total", "result" => "failed");
    let mut warn_at = Instant::now() + WARN_INTERVAL;
    loop {
        match read_head(&client).await {
            Ok(head) => {
                read.increment(1);
                newest_head.replace_if_newer(head.unwrap_or_default());
            }
            Err(error) => {
                failed.increment(1);
                log::debug!("event=head_unavailable error={error:?}");
            }
        }
        let no_configuration = engine.document().head.version == 0;
        if no_configuration && Instant::now() >= warn_at {
            log::warn!(
                "event=not_ready reason=\"neither the platform nor a peer has given a configuration\""
            );
            warn_at = Instant::now() + WARN_INTERVAL;
        }
        tokio::time::sleep(HEAD_POLL_INTERVAL).await;
    }
}

async fn read_head(client: &client::Client) -> Result<Option<peer::Head>, platform::Error> {
    let head = read::head(client).await?;
    Ok(head.map(|head| peer::Head {
        version: head.version,
        digest: head.digest,
    }))
}

/// Fetches the document of each newest head from a peer or the store, and puts it in force.
pub async fn fetch_documents(
    engine: Arc<engine::Engine>,
    client: Option<client::Client>,
    newest_head: NewestHead,
) {
    let mut heads = newest_head.head.subscribe();
    loop {
        let in_force = engine.document().head.version;
        // Fails only after the sender is dropped, and this task owns a sender.
        let head = heads.wait_for(|head| head.version > in_force).await;
        let Ok(head) = head.map(|head| head.clone()) else {
            return;
        };
        match fetch_accepted(&engine, client.as_ref(), &head).await {
            Some(accepted) => engine.configure(accepted),
            None => {
                metrics::counter!("fulmarlift_configuration_fetches_failed_total").increment(1);
                log::warn!(
                    "event=configuration_unavailable version={} digest={}",
                    head.version,
                    head.digest
                );
                tokio::time::sleep(FETCH_RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches a document. Asks peers first: they are near and many, and asking them saves reads of the store.
async fn fetch_accepted(
    engine: &engine::Engine,
    client: Option<&client::Client>,
    head: &peer::Head,
) -> Option<Arc<document::Accepted>> {
    let peers = from_peers(engine.peer_addresses(), head);
    let store = async {
        tokio::time::sleep(STORE_DELAY).await;
        from_store(client, head).await
    };
    tokio::pin!(peers, store);
    tokio::select! {
        found = &mut peers => match found {
            Some(accepted) => Some(accepted),
            None => store.await,
        },
        found = &mut store => match found {
            Some(accepted) => Some(accepted),
            None => peers.await,
        },
    }
}

async fn from_peers(
    addresses: Vec<Box<str>>,
    head: &peer::Head,
) -> Option<Arc<document::Accepted>> {
    let mut addresses = addresses.into_iter();
    let mut requests = task::JoinSet::new();
    loop {
        let free = CONCURRENT_PEERS_MAX.saturating_sub(requests.len());
        for to in addresses.by_ref().take(free) {
            let head = head.clone();
            requests.spawn(async move { peers::fetch_document(&to, &head).await });
        }
        let text = requests.join_next().await?.ok().flatten();
        if let Some(accepted) = text.and_then(|text| accept(&text, head)) {
            return Some(accepted);
        }
    }
}

async fn from_store(
    client: Option<&client::Client>,
    head: &peer::Head,
) -> Option<Arc<document::Accepted>> {
    let name = publish::object_name(head.version, &head.digest);
    let bytes = client?.object(&name).await.ok().flatten()?;
    accept(&String::from_utf8(bytes).ok()?, head)
}

fn accept(text: &str, head: &peer::Head) -> Option<Arc<document::Accepted>> {
    match document::Accepted::parse(text, head.clone()) {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            log::warn!(
                "event=configuration_rejected version={} error={error:?}",
                head.version
            );
            None
        }
    }
}
