//! Heartbeats by UDP.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmarlift_core::{event, peer};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::engine;

/// Largest heartbeat that is read.
const DATAGRAM_BYTES: usize = 60 << 10;

/// Sends heartbeats for as long as the engine gives them.
pub async fn send(
    socket: Arc<UdpSocket>,
    mut heartbeats: mpsc::UnboundedReceiver<(Box<str>, peer::Message)>,
) {
    while let Some((to, message)) = heartbeats.recv().await {
        let Ok(address) = to.parse::<SocketAddr>() else {
            continue;
        };
        let Ok(bytes) = postcard::to_stdvec(&message) else {
            continue;
        };
        metrics::counter!("fulmarlift_peer_bytes_total").increment(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!("event=heartbeat_failed to={to} error={error}");
        }
    }
}

/// Receives heartbeats for as long as the process runs.
pub async fn receive(engine: Arc<engine::Engine>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((len, from)) => match postcard::from_bytes(&buffer[..len]) {
                Ok(message) => engine.step(event::Event::Peer(message)),
                Err(error) => log::debug!("event=heartbeat_malformed from={from} error={error}"),
            },
            Err(error) => log::debug!("event=heartbeat_unreadable error={error}"),
        }
    }
}
