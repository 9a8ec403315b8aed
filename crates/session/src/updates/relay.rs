//! Reads of claim rows through other proxies, for a proxy that the store does not answer.

use std::cmp::Reverse;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use fulmarlift_broker::claim;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::link;
use crate::shell;
use crate::updates::frame;

/// Time for one proxy to answer: two round trips between regions, and a read of the store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Most proxies that are asked, one after the other, within the duration of a lease.
const PROXIES_MAX: usize = 3;

/// Reads the claim row of a group through another proxy. Asks the one that answered last first, and then those of other failure
/// domains, since the store often refuses a domain as a whole. Returns nothing if none of them can read it.
pub(crate) async fn load_claim<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    group: &str,
) -> Option<claim::ClaimRow> {
    for peer in choose_peers(shell, group) {
        let asking = ask(&peer, group);
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, asking).await;
        match answered.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut))) {
            Ok(Some(row)) => {
                shell.set_claim_relay(Some(peer.vm_name));
                return Some(row);
            }
            Ok(None) => {}
            Err(error) => log::debug!(
                "event=claim_relay_failed proxy={} error=\"{error}\"",
                peer.vm_name
            ),
        }
    }
    shell.set_claim_relay(None);
    None
}

fn choose_peers<D: Deployment>(shell: &Rc<shell::Shell<D>>, group: &str) -> Vec<topology::Peer> {
    let last_relay = shell.claim_relay();
    let domain = shell.with_broker(|broker| broker.place().domain.clone());
    let mut peers = shell.with_broker(fulmarlift_broker::Broker::listed_peers);
    peers.sort_by_cached_key(|peer| {
        let answered_last = last_relay.as_ref() == Some(&peer.vm_name);
        let is_remote = peer.place.domain != domain;
        let weight = id::rendezvous_weight(id::of(&peer.vm_name), id::of(group));
        Reverse((answered_last, is_remote, weight))
    });
    peers.truncate(PROXIES_MAX);
    peers
}

async fn ask(peer: &topology::Peer, group: &str) -> io::Result<Option<claim::ClaimRow>> {
    let mut stream = TcpStream::connect(peer.updates_address).await?;
    link::set_liveness_timeouts(&stream)?;
    let question = frame::Message::ClaimQuestion {
        group: group.into(),
    };
    frame::send(&mut stream, &question.encode()).await?;
    let mut inbox = BytesMut::new();
    match frame::receive(&mut stream, &mut inbox).await? {
        frame::Message::ClaimAnswer { row } => row.map(frame::EncodedClaimRow::decode).transpose(),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Answers the question of another proxy for a claim row.
pub(super) async fn answer<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    mut stream: TcpStream,
    group: &str,
) -> io::Result<()> {
    let row = shell.read_claim(group).await;
    let row = row.as_ref().map(frame::EncodedClaimRow::new);
    let answer = frame::Message::ClaimAnswer { row };
    frame::send(&mut stream, &answer.encode()).await
}
