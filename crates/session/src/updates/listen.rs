//! Receives updates from the proxy that reads the store.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use fulmarlift_broker::event;
use fulmarlift_broker::revision;
use fulmarlift_broker::topology;
use fulmarlift_broker::topology_change;
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
/// Time from the connection to a reader to the first bytes of its snapshot. A reader that has many listeners sends many
/// snapshots at once.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from one piece of the reader's messages to the next, while its information would be too old otherwise. Messages
/// about its age wait behind a large one.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout to connect to the reader.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connection to a reader that has sent its snapshot, and has had an answer of the store lately.
pub(super) struct Listener {
    /// Name of the reader.
    pub(super) reader: Box<str>,
    stream: TcpStream,
    inbox: BytesMut,
    /// Time at which the reader's information becomes too old.
    fresh_until: Instant,
    /// Time at which the last bytes arrived.
    last_piece_at: Instant,
}

impl Listener {
    /// Connects to a reader, and applies its snapshot.
    ///
    /// # Errors
    ///
    /// The reader cannot be reached, or its last answer of the store is too old.
    pub(super) async fn connect<D: Deployment>(
        shell: &Rc<shell::Shell<D>>,
        reader: &topology::Peer,
    ) -> io::Result<Self> {
        let connecting = TcpStream::connect(reader.updates_address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let mut stream = connected.map_err(|_| timed_out())??;
        link::set_liveness_timeouts(&stream)?;
        let connected_at = clock::now();
        let hello = frame::Message::Hello {
            configuration_version: shell.with_broker(|broker| broker.topology().version),
        };
        let opening = frame::greet(shell, reader, &hello.encode());
        frame::send(&mut stream, &opening).await?;
        let mut inbox = BytesMut::new();
        let snapshot_by = clock::tokio_deadline(connected_at + SNAPSHOT_TIMEOUT);
        let greeted = frame::receive_greeting(shell, reader, &mut stream, &mut inbox);
        let greeted = tokio::time::timeout_at(snapshot_by, greeted).await;
        greeted.map_err(|_| timed_out())??;
        let mut listener = Self {
            reader: reader.vm_name.clone(),
            stream,
            inbox,
            fresh_until: connected_at + SNAPSHOT_TIMEOUT,
            last_piece_at: connected_at,
        };
        while !listener.receive(shell).await? {}
        Ok(listener)
    }

    /// Applies the reader's updates until the connection fails or the reader's information is too old.
    pub(super) async fn run<D: Deployment>(mut self, shell: &Rc<shell::Shell<D>>) {
        let error = loop {
            if let Err(error) = self.receive(shell).await {
                break error;
            }
        };
        let age = shell
            .store_answered_at()
            .map(|at| clock::now().saturating_duration_since(at).as_millis());
        log::info!(
            "event=reader_lost reader={} age_ms={} partial_bytes={} error=\"{error}\"",
            self.reader,
            age.unwrap_or_default(),
            self.inbox.len()
        );
        metrics::counter!("fulmarlift_readers_lost_total").increment(1);
    }

    /// Receives the next message. Fails if nothing arrives until the reader's information is too old.
    async fn next_message(&mut self) -> io::Result<frame::Message> {
        loop {
            if let Some(message) = frame::take(&mut self.inbox)? {
                return Ok(message);
            }
            let deadline = self.fresh_until.max(self.last_piece_at + PIECE_TIMEOUT);
            let filled = frame::fill(&mut self.stream, &mut self.inbox);
            let filled = tokio::time::timeout_at(clock::tokio_deadline(deadline), filled).await;
            filled.map_err(|_| timed_out())??;
            self.last_piece_at = clock::now();
        }
    }

    /// Receives and applies one message. Returns whether it told how old the reader's information is; fails if that is too
    /// old.
    async fn receive<D: Deployment>(&mut self, shell: &Rc<shell::Shell<D>>) -> io::Result<bool> {
        match self.next_message().await? {
            frame::Message::Snapshot {
                topology,
                members,
                revision,
                peers,
            } => apply_snapshot(shell, topology, members, revision, peers),
            frame::Message::Update(update) => shell.apply_update(update),
            frame::Message::ConfigurationChanged(change) => apply_change(shell, change)?,
            frame::Message::Hello { .. }
            | frame::Message::ClaimQuestion { .. }
            | frame::Message::ClaimAnswer { .. }
            | frame::Message::CommandQuestion { .. }
            | frame::Message::CommandAnswer { .. }
            | frame::Message::GroupQuestion { .. }
            | frame::Message::GroupAnswer(_)
            | frame::Message::QuotaQuestion(_)
            | frame::Message::QuotaAnswer(_) => {
                return Err(io::Error::from(io::ErrorKind::InvalidData));
            }
            frame::Message::Freshness {
                age_ms,
                configuration,
                directory,
            } => {
                let store_answered_at = instant_before(clock::now(), age_ms);
                let fresh_until = store_answered_at.map(|answered_at| answered_at + READER_AGE_MAX);
                let (Some(answered_at), Some(fresh_until)) = (store_answered_at, fresh_until)
                else {
                    return Err(timed_out());
                };
                if fresh_until <= clock::now() {
                    return Err(timed_out());
                }
                self.fresh_until = fresh_until;
                shell.record_store_answer(answered_at);
                if let Some(revision) = configuration {
                    shell.record_configuration_revision(revision);
                }
                let contact = directory.and_then(|ages| ages.contact(clock::now()));
                shell.handle(event::Event::DirectoryTold(contact));
                return Ok(true);
            }
        }
        Ok(false)
    }
}

fn timed_out() -> io::Error {
    io::Error::from(io::ErrorKind::TimedOut)
}

fn instant_before(now: Instant, age_ms: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(age_ms))
}

/// Applies a change of the configuration. Fails if the change is made in another version than this proxy has; the reader sends
/// a snapshot on the next connection.
fn apply_change<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    change: topology_change::TopologyChange,
) -> io::Result<()> {
    let known_version = shell.with_broker(|broker| broker.topology().version);
    if change.version <= known_version {
        return Ok(());
    }
    let base_version = change.base_version;
    let changed = shell.with_broker(|broker| change.apply(broker.topology()));
    let topology = changed.ok_or_else(|| {
        io::Error::other(format!(
            "change of version {base_version}, this proxy has {known_version}"
        ))
    })?;
    shell.apply_update(deployment::Update::Configured(topology));
    Ok(())
}

/// Applies a reader's snapshot. Removes the members that are not in it, but no proxies.
fn apply_snapshot<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    topology: topology::Topology,
    members: Vec<topology::Member>,
    revision: revision::Revision,
    peers: Vec<topology::Peer>,
) {
    if topology.version > 0 {
        shell.apply_update(deployment::Update::Configured(topology));
    }
    let known_members = shell.with_broker(fulmarlift_broker::Broker::listed_members);
    for known_member in known_members {
        if members
            .iter()
            .all(|member| member.name != known_member.name)
        {
            let name = known_member.name;
            shell.apply_update(deployment::Update::Unlisted { name, revision });
        }
    }
    // A reader that is behind this proxy also lists members whose removal this proxy has applied.
    let outdated = revision < shell.members_revision();
    let removed = |member: &topology::Member| {
        outdated && shell.with_broker(|broker| broker.member(member.id).is_none())
    };
    for member in members.into_iter().filter(|member| !removed(member)) {
        shell.apply_update(deployment::Update::Listed(member));
    }
    for peer in peers {
        shell.apply_update(deployment::Update::PeerListed(peer));
    }
    shell.record_peers_read();
}
