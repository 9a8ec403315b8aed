//! Sends and receives heartbeats over UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarlift_core::{event, peer};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::engine;

/// Maximum length of an encoded heartbeat.
const DATAGRAM_BYTES_MAX: usize = 16 << 10;
/// Delay before the proxy reads the socket again after an error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Sends the heartbeats that the engine queues, until the engine is dropped.
pub async fn send_heartbeats(
    socket: Arc<UdpSocket>,
    mut heartbeats: mpsc::UnboundedReceiver<(Box<str>, peer::Message)>,
) {
    let sent = metrics::counter!("fulmarlift_peer_bytes_total", "direction" => "sent");
    while let Some((to, message)) = heartbeats.recv().await {
        let Ok(address) = to.parse::<SocketAddr>() else {
            continue;
        };
        let Some(bytes) = encode(message) else {
            continue;
        };
        sent.increment(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!("event=heartbeat_failed to={to} error={error}");
        }
    }
}

/// Encodes a heartbeat. If it is too long, drops reports from it until it fits: first those about the use of members'
/// connections (`connection_reports`), then those about groups. A peer can do without them, but not without the sign
/// of life and the configuration's version.
fn encode(mut message: peer::Message) -> Option<Vec<u8>> {
    loop {
        let bytes = postcard::to_stdvec(&message).ok()?;
        if bytes.len() <= DATAGRAM_BYTES_MAX {
            return Some(bytes);
        }
        if !message.connection_reports.is_empty() {
            message
                .connection_reports
                .truncate(message.connection_reports.len() / 2);
        } else if !message.groups.is_empty() {
            message.groups.truncate(message.groups.len() / 2);
        } else {
            log::warn!("event=heartbeat_too_large bytes={}", bytes.len());
            return None;
        }
    }
}

/// Receives heartbeats and passes them to the reducer until the process ends.
pub async fn receive_heartbeats(engine: Arc<engine::Engine>, socket: Arc<UdpSocket>) {
    let received = metrics::counter!("fulmarlift_peer_bytes_total", "direction" => "received");
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((len, from)) => {
                received.increment(len as u64);
                match postcard::from_bytes(&buffer[..len]) {
                    Ok(message) => engine.step(event::Event::HeartbeatArrived(message)),
                    Err(error) => {
                        log::debug!("event=heartbeat_malformed from={from} error={error}");
                    }
                }
            }
            Err(error) => {
                log::debug!("event=heartbeat_unreadable error={error}");
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}
