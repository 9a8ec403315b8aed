//! Receives updates from the proxy that reads the store.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use tokio::net::TcpStream;

use crate::clock;
use crate::deployment;
use crate::deployment::Deployment;
use crate::link;
use crate::shell;
use crate::updates::frame;

/// Age of the store's last answer to the reader above which a listener reads the store itself: a change must be in force
/// 3 s after the store acknowledged it, and reading the store takes part of that time.
pub(super) const READER_AGE_MAX: Duration = Duration::from_millis(2_000);
/// Timeout to connect to the reader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Applies a reader's updates until the connection fails or the reader's information is too old.
pub(super) async fn listen<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    reader: &topology::Peer,
) -> io::Result<()> {
    let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
    let connected =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(reader.updates_address)).await;
    let mut stream = connected.map_err(|_| timed_out())??;
    link::set_liveness_timeouts(&stream)?;
    log::info!("event=listening reader={}", reader.vm_name);
    let mut inbox = BytesMut::new();
    let mut fresh_until = clock::now() + READER_AGE_MAX;
    loop {
        let received = frame::receive(&mut stream, &mut inbox);
        let message = tokio::time::timeout_at(clock::tokio_deadline(fresh_until), received).await;
        match message.map_err(|_| timed_out())?? {
            frame::Message::Snapshot {
                topology,
                members,
                revision,
                peers,
            } => apply_snapshot(shell, topology, members, revision, peers),
            frame::Message::Update(update) => shell.apply_update(update),
            frame::Message::Freshness { age_ms } => {
                if let Some(store_answered_at) = instant_before(clock::now(), age_ms) {
                    shell.record_store_answer(store_answered_at);
                    fresh_until = fresh_until.max(store_answered_at + READER_AGE_MAX);
                    shell.handle(event::Event::DirectoryRead { reached: true });
                }
            }
        }
    }
}

fn instant_before(now: Instant, age_ms: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}

/// Applies a reader's snapshot. Removes the members that are not in it, but no proxies. A version of 0 means that the reader
/// has no configuration yet.
fn apply_snapshot<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    topology: topology::Topology,
    members: Vec<topology::Member>,
    revision: u64,
    peers: Vec<topology::Peer>,
) {
    if topology.version > 0 {
        shell.apply_update(deployment::Update::Configured(topology));
    }
    let (_, known_members, _) = shell.with_broker(fulmarlift_broker::Broker::snapshot);
    for known_member in known_members {
        if members
            .iter()
            .all(|member| member.name != known_member.name)
        {
            let name = known_member.name;
            shell.apply_update(deployment::Update::Unlisted { name, revision });
        }
    }
    for member in members {
        shell.apply_update(deployment::Update::Listed(member));
    }
    for peer in peers {
        shell.apply_update(deployment::Update::PeerListed(peer));
    }
    shell.handle(event::Event::PeersRead);
}
