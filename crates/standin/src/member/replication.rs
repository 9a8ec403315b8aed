//! Replication between members. Each member requests the entries that it lacks from each peer. A primary sends them,
//! and so does a fenced primary until it follows another one.

use std::io;
use std::net::SocketAddr;
use std::sync;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::member::{core, log, switches};

/// Request of a member for the entries that it lacks.
#[derive(Debug, Serialize, Deserialize)]
struct PullRequest {
    /// Term of the requester.
    term: log::Term,
    /// Positions of the requester's log, as ranges of entries of one term each.
    segments: Vec<log::Segment>,
}

/// Response of a peer to a request.
#[derive(Debug, Serialize, Deserialize)]
enum PullResponse {
    /// The peer has no entries that the requester lacks, or is a replica.
    NoEntries {
        /// Term of which the peer is the primary, or `None` if it is a replica.
        primary_term: Option<log::Term>,
    },
    /// Next entries of the primary's log.
    Entries {
        /// Term of which the peer is the primary, or was until a fence.
        term: log::Term,
        /// Last position that both logs share; the requester drops its entries after it.
        common: log::Position,
        /// Entries after the shared position.
        entries: Vec<SentEntry>,
    },
}

/// Entry on its way to a replica.
#[derive(Debug, Serialize, Deserialize)]
struct SentEntry {
    entry: log::Entry,
    /// Time since the primary appended the entry, in µs.
    age_us: u64,
}

/// Received entry that a replica applies once the configured lag has passed.
#[derive(Debug)]
struct DelayedEntry {
    entry: log::Entry,
    due: Instant,
}

/// Reason for which a replication connection ended.
#[derive(Debug, thiserror::Error)]
enum PullError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Codec(#[from] postcard::Error),
    #[error(transparent)]
    Apply(#[from] core::ApplyError),
    #[error("frame of {0} bytes is too large")]
    FrameTooLarge(usize),
    #[error("a switch cuts the connections between members")]
    Cut,
    #[error("the task that applies entries failed")]
    Join(#[from] tokio::task::JoinError),
}

/// State that the replication tasks of a member share.
#[derive(Clone)]
pub struct Shared {
    /// Role, term, log and database of the member.
    pub core: sync::Arc<core::Core>,
    /// Faults that tests switch on (cut connections, frozen processing) and delays such as the replication lag.
    pub switches: sync::Arc<switches::Switches>,
}

/// Accepts and serves replication connections of peers. Never returns.
pub async fn serve(listener: TcpListener, shared: Shared) {
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        if !shared.switches.cut().covers_peers() {
            tasks.spawn(serve_peer(stream, shared.clone()));
        }
    }
}

async fn serve_peer(mut stream: TcpStream, shared: Shared) {
    let mut cut = shared.switches.watch_cut();
    let result = tokio::select! {
        // The peer gets no response once the cut has started.
        biased;
        _ = cut.wait_for(|cut| cut.covers_peers()) => Err(PullError::Cut),
        result = answer_pulls(&mut stream, &shared) => result,
    };
    if let Err(cause) = result {
        ::log::debug!("replication connection of a peer ended: {cause}");
    }
}

async fn answer_pulls(stream: &mut TcpStream, shared: &Shared) -> Result<(), PullError> {
    stream.set_nodelay(true)?;
    loop {
        let request: PullRequest = read_frame(stream).await?;
        let response = next_response(&shared.core, &request).await;
        shared.switches.wait_while_frozen().await;
        write_frame(stream, &response).await?;
    }
}

/// Waits until the peer lacks entries, must drop entries or has an older term, for at most [`CONTACT_INTERVAL`], and
/// returns the response.
async fn next_response(core: &core::Core, request: &PullRequest) -> PullResponse {
    let mut heads = core.watch_heads();
    let deadline = Instant::now() + CONTACT_INTERVAL;
    let peer_position = request.segments.last().map_or(0, |last| last.last);
    loop {
        heads.borrow_and_update();
        if let Some((term, common, entries)) = core.entries_for(&request.segments, BATCH_ENTRIES) {
            let has_update = !entries.is_empty() || common < peer_position || term > request.term;
            if has_update {
                return PullResponse::Entries {
                    term,
                    common,
                    entries: entries.into_iter().map(to_sent_entry).collect(),
                };
            }
        }
        let changed = tokio::time::timeout_at(deadline.into(), heads.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return PullResponse::NoEntries {
                primary_term: core.primary_term(),
            };
        }
    }
}

/// Requests entries from one peer, and reconnects after each failure. Never returns.
pub async fn pull(address: SocketAddr, shared: Shared) {
    loop {
        let mut cut = shared.switches.watch_cut();
        let result = tokio::select! {
            biased;
            _ = cut.wait_for(|cut| cut.covers_peers()) => Err(PullError::Cut),
            result = pull_rounds(address, &shared) => result,
        };
        match result {
            Err(PullError::Apply(core::ApplyError::Database(cause))) => {
                ::log::error!("cannot apply an entry that peer {address} sent: {cause}");
            }
            Err(cause) => ::log::debug!("replication from peer {address} failed: {cause}"),
            Ok(()) => {}
        }
        tokio::time::sleep(RETRY_DELAY).await;
        wait_for_end_of_cut(&mut cut).await;
    }
}

async fn wait_for_end_of_cut(cut: &mut watch::Receiver<switches::Cut>) {
    // The switches outlive this task, so the channel does not close.
    let _ = cut.wait_for(|cut| !cut.covers_peers()).await;
}

async fn pull_rounds(address: SocketAddr, shared: &Shared) -> Result<(), PullError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    loop {
        let (term, segments) = shared.core.segments();
        let expected_head = segments
            .last()
            .map_or_else(log::Head::default, |last| log::Head {
                term: last.term,
                position: last.last,
            });
        write_frame(&mut stream, &PullRequest { term, segments }).await?;
        let response: PullResponse = read_frame(&mut stream).await?;
        shared.switches.wait_while_frozen().await;
        match response {
            PullResponse::NoEntries { primary_term } => {
                if let Some(term) = primary_term {
                    shared.core.record_upstream_contact(term);
                }
            }
            PullResponse::Entries {
                term,
                common,
                entries,
            } => {
                shared.core.record_upstream_contact(term);
                let lag = shared.switches.lag();
                let entries = entries
                    .into_iter()
                    .map(|sent| to_delayed_entry(sent, lag))
                    .collect();
                apply_entries(shared, term, expected_head, common, entries).await?;
            }
        }
    }
}

fn to_sent_entry(appended: log::AppendedEntry) -> SentEntry {
    let age_us = appended.appended_at.elapsed().as_micros();
    SentEntry {
        entry: appended.entry,
        age_us: u64::try_from(age_us).unwrap_or(u64::MAX),
    }
}

fn to_delayed_entry(sent: SentEntry, lag: Duration) -> DelayedEntry {
    let remaining = lag.saturating_sub(Duration::from_micros(sent.age_us));
    DelayedEntry {
        entry: sent.entry,
        due: Instant::now() + remaining,
    }
}

/// Drops the entries that the primary's log does not contain, and applies the received ones as they fall due.
///
/// `expected_head` is the end of this member's log when it requested the entries. Fails if the log has changed since.
async fn apply_entries(
    shared: &Shared,
    term: log::Term,
    expected_head: log::Head,
    common: log::Position,
    entries: Vec<DelayedEntry>,
) -> Result<(), PullError> {
    let core = sync::Arc::clone(&shared.core);
    run_blocking(move || core.follow_primary(term, expected_head, common)).await?;
    let mut expected_head = shared.core.require_head_at(common)?;
    let mut entries = entries.into_iter().peekable();
    while let Some(first) = entries.next() {
        wait_until_due(shared, term, first.due).await;
        shared.switches.wait_while_frozen().await;
        let mut due = vec![first.entry];
        while let Some(next) = entries.next_if(|next| next.due <= Instant::now()) {
            due.push(next.entry);
        }
        let core = sync::Arc::clone(&shared.core);
        expected_head = run_blocking(move || apply_all(&core, term, expected_head, due)).await?;
    }
    Ok(())
}

/// Waits until an entry is due. Meanwhile the replication connection is open, which counts as contact with the primary.
async fn wait_until_due(shared: &Shared, term: log::Term, due: Instant) {
    let mut sleep = std::pin::pin!(shared.switches.sleep_until(due));
    while tokio::time::timeout(CONTACT_INTERVAL, &mut sleep)
        .await
        .is_err()
    {
        shared.core.record_upstream_contact(term);
    }
}

fn apply_all(
    core: &core::Core,
    term: log::Term,
    expected_head: log::Head,
    entries: Vec<log::Entry>,
) -> Result<log::Head, core::ApplyError> {
    entries
        .into_iter()
        .try_fold(expected_head, |expected_head, entry| {
            core.apply(term, expected_head, entry)
        })
}

async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, core::ApplyError> + Send + 'static,
) -> Result<T, PullError> {
    Ok(tokio::task::spawn_blocking(work).await??)
}

async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T, PullError> {
    let length = stream.read_u32().await? as usize;
    if length > FRAME_MAX_BYTES {
        return Err(PullError::FrameTooLarge(length));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(postcard::from_bytes(&frame)?)
}

async fn write_frame<T: Serialize>(stream: &mut TcpStream, value: &T) -> Result<(), PullError> {
    let frame = postcard::to_stdvec(value)?;
    let length = u32::try_from(frame.len()).map_err(|_| PullError::FrameTooLarge(frame.len()))?;
    stream.write_u32(length).await?;
    stream.write_all(&frame).await?;
    Ok(())
}

/// Maximum number of entries in one response.
const BATCH_ENTRIES: usize = 256;
const FRAME_MAX_BYTES: usize = 256 * 1024 * 1024;
/// Longest time between two contacts on a replication connection: a peer without new entries responds after this time.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(20);
