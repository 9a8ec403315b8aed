//! Listening to the proxy that reads the store.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use tokio::net::TcpStream;

use crate::clock;
use crate::link;
use crate::news::frame;
use crate::shell;
use crate::world;
use crate::world::World;

/// Age of the reader's knowledge above which one reads for oneself: a change has to be in force 3 s after its
/// acknowledgement, and the reading takes a while.
pub(super) const AGE_MAX: Duration = Duration::from_millis(2_000);
/// Time to reach the reader.
const CONNECT_FOR: Duration = Duration::from_millis(500);

/// Learns from a reader until it is lost or its knowledge is too old.
pub(super) async fn listen<W: World>(
    shell: &Rc<shell::Shell<W>>,
    reader: &topology::Peer,
) -> io::Result<()> {
    let late = || io::Error::from(io::ErrorKind::TimedOut);
    let connected =
        tokio::time::timeout(CONNECT_FOR, TcpStream::connect(reader.updates_address)).await;
    let mut stream = connected.map_err(|_| late())??;
    link::watch_silence(&stream)?;
    log::info!("event=listening reader={}", reader.name);
    let mut inbox = BytesMut::new();
    let mut fresh_until = clock::now() + AGE_MAX;
    loop {
        let received = frame::receive(&mut stream, &mut inbox);
        let message = tokio::time::timeout_at(clock::timer(fresh_until), received).await;
        match message.map_err(|_| late())?? {
            frame::Message::Snapshot {
                topology,
                members,
                revision,
                peers,
            } => take_snapshot(shell, topology, members, revision, peers),
            frame::Message::News(news) => shell.learn(news),
            frame::Message::Fresh { age_ms } => {
                if let Some(confirmed_at) = before(clock::now(), age_ms) {
                    shell.confirm(confirmed_at);
                    fresh_until = fresh_until.max(confirmed_at + AGE_MAX);
                    shell.handle(event::Event::DirectoryPolled { reached: true });
                }
            }
        }
    }
}

fn before(now: Instant, age_ms: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}

fn take_snapshot<W: World>(
    shell: &Rc<shell::Shell<W>>,
    topology: topology::Topology,
    members: Vec<topology::Member>,
    revision: u64,
    peers: Vec<topology::Peer>,
) {
    if topology.version > 0 {
        shell.learn(world::News::Configured(topology));
    }
    let (_, known, _) = shell.with_broker(fulmarlift_broker::Broker::snapshot);
    for gone in known {
        if members.iter().all(|member| member.name != gone.name) {
            let name = gone.name;
            shell.learn(world::News::Unlisted { name, revision });
        }
    }
    for member in members {
        shell.learn(world::News::Listed(member));
    }
    for peer in peers {
        shell.learn(world::News::PeerListed(peer));
    }
    shell.handle(event::Event::PeersRead);
}
