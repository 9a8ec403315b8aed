//! Following the configuration: heads come from the store and from peers, documents too.

use std::sync::Arc;
use std::time::Duration;

use fulmarlift_core::peer;
use fulmarlift_platform::client;
use fulmarlift_platform::platform::Platform;
use serde::Deserialize;
use tokio::sync::mpsc;

use crate::document;
use crate::engine;
use crate::peers;

/// Time between two reads of the head.
const INTERVAL: Duration = Duration::from_millis(1_000);
/// Table and key of the head.
const HEAD: (&str, &str) = ("config", "head");

/// The part of the head row that a proxy needs.
#[derive(Clone, Debug, Deserialize)]
struct HeadRow {
    version: u64,
    digest: Box<str>,
}

/// Reads the head from the store for as long as the process runs.
pub async fn poll(
    engine: Arc<engine::Engine>,
    client: client::Client,
    fetches: mpsc::UnboundedSender<peer::Head>,
) {
    loop {
        match client.row::<HeadRow>(HEAD.0, HEAD.1).await {
            Ok(Some(row)) if row.value.version > engine.document().head.version => {
                let head = peer::Head {
                    version: row.value.version,
                    digest: row.value.digest,
                };
                // The receiver only ends with the process.
                let _ = fetches.send(head);
            }
            Ok(_) => {}
            Err(error) => log::debug!("event=head_unavailable error={error}"),
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Fetches the documents that heads name, from the store or from a peer, and puts them in force.
pub async fn fetch(
    engine: Arc<engine::Engine>,
    client: Option<client::Client>,
    mut fetches: mpsc::UnboundedReceiver<peer::Head>,
) {
    while let Some(head) = fetches.recv().await {
        if head.version <= engine.document().head.version {
            continue;
        }
        match fetch_one(&engine, client.as_ref(), &head).await {
            Some(accepted) => engine.configure(accepted),
            None => log::warn!(
                "event=configuration_unavailable version={} digest={}",
                head.version,
                head.digest
            ),
        }
    }
}

async fn fetch_one(
    engine: &engine::Engine,
    client: Option<&client::Client>,
    head: &peer::Head,
) -> Option<Arc<document::Accepted>> {
    // Peers come first: they are near, many, and do not use up the store's reads.
    for address in engine.peer_addresses() {
        let text = peers::fetch_document(&address, head).await;
        if let Some(accepted) = text.and_then(|text| accept(&text, head)) {
            return Some(accepted);
        }
    }
    let name = format!("config-{}-{}", head.version, head.digest);
    let bytes = client?.object(&name).await.ok().flatten()?;
    accept(&String::from_utf8(bytes).ok()?, head)
}

fn accept(text: &str, head: &peer::Head) -> Option<Arc<document::Accepted>> {
    match document::Accepted::parse(text, head.clone()) {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            log::warn!(
                "event=configuration_rejected version={} error={error}",
                head.version
            );
            None
        }
    }
}
