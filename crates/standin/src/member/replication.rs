//! Replication between members: each asks each peer for the entries that it lacks; a primary answers.

use std::io;
use std::net::SocketAddr;
use std::sync;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::member::{core, log, switches};

/// What a member asks of a peer.
#[derive(Debug, Serialize, Deserialize)]
struct Pull {
    term: log::Term,
    segments: Vec<log::Segment>,
}

/// What a peer answers.
#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    /// It has nothing new.
    Nothing {
        /// The term that it writes, if it is a primary.
        leads: Option<log::Term>,
    },
    /// The primary's next entries.
    Entries {
        /// The primary's term.
        term: log::Term,
        /// The last position that both logs share.
        common: log::Position,
        /// The entries after it.
        entries: Vec<Aged>,
    },
}

/// An entry on its way to a replica.
#[derive(Debug, Serialize, Deserialize)]
struct Aged {
    entry: log::Entry,
    /// How long ago the primary appended it, in µs.
    age_us: u64,
}

/// An entry that a replica holds back for its lag.
#[derive(Debug)]
struct Held {
    entry: log::Entry,
    due: Instant,
}

/// Why a round with a peer failed.
#[derive(Debug, thiserror::Error)]
enum PullError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Codec(#[from] postcard::Error),
    #[error(transparent)]
    Apply(#[from] core::ApplyError),
    #[error("frame of {0} bytes")]
    FrameTooLarge(usize),
    #[error("the connections between members are cut")]
    Cut,
    #[error("the task that applies entries failed")]
    Join(#[from] tokio::task::JoinError),
}

/// What replication works with.
#[derive(Clone)]
pub struct Shared {
    /// The member.
    pub core: sync::Arc<core::Core>,
    /// The switches.
    pub switches: sync::Arc<switches::Switches>,
}

/// Answers the peers that connect, to the end of the task.
pub async fn serve(listener: TcpListener, shared: Shared) {
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_INTERVAL).await;
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
    let served = tokio::select! {
        // No answer goes out once the cut is made.
        biased;
        _ = cut.wait_for(|cut| cut.covers_peers()) => Err(PullError::Cut),
        served = answer_peer(&mut stream, &shared) => served,
    };
    if let Err(cause) = served {
        ::log::debug!("peer left: {cause}");
    }
}

async fn answer_peer(stream: &mut TcpStream, shared: &Shared) -> Result<(), PullError> {
    stream.set_nodelay(true)?;
    loop {
        let pull: Pull = read_frame(stream).await?;
        let answer = next_answer(&shared.core, &pull).await;
        shared.switches.wait_thaw().await;
        write_frame(stream, &answer).await?;
    }
}

/// Waits a while for entries that the peer lacks.
async fn next_answer(core: &core::Core, pull: &Pull) -> Answer {
    let mut heads = core.watch();
    let deadline = Instant::now() + HOLD_TIME;
    let held = pull.segments.last().map_or(0, |last| last.last);
    loop {
        heads.borrow_and_update();
        if let Some((term, common, entries)) = core.entries_for(&pull.segments, BATCH_ENTRIES) {
            let is_news = !entries.is_empty() || common < held || term > pull.term;
            if is_news {
                return Answer::Entries {
                    term,
                    common,
                    entries: entries.into_iter().map(aged).collect(),
                };
            }
        }
        let changed = tokio::time::timeout_at(deadline.into(), heads.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return Answer::Nothing {
                leads: core.leads(),
            };
        }
    }
}

/// Asks one peer for entries, to the end of the task.
pub async fn pull(address: SocketAddr, shared: Shared) {
    loop {
        let mut cut = shared.switches.watch_cut();
        let pulled = tokio::select! {
            biased;
            _ = cut.wait_for(|cut| cut.covers_peers()) => Err(PullError::Cut),
            pulled = pull_rounds(address, &shared) => pulled,
        };
        match pulled {
            Err(PullError::Apply(core::ApplyError::Database(cause))) => {
                ::log::error!("entry of {address} not applied: {cause}");
            }
            Err(cause) => ::log::debug!("peer {address}: {cause}"),
            Ok(()) => {}
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        wait_uncut(&mut cut).await;
    }
}

async fn wait_uncut(cut: &mut watch::Receiver<switches::Cut>) {
    // The switches outlive the task.
    let _ = cut.wait_for(|cut| !cut.covers_peers()).await;
}

async fn pull_rounds(address: SocketAddr, shared: &Shared) -> Result<(), PullError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    loop {
        let (term, segments) = shared.core.segments();
        let expected = segments
            .last()
            .map_or_else(log::Head::default, |last| log::Head {
                term: last.term,
                position: last.last,
            });
        write_frame(&mut stream, &Pull { term, segments }).await?;
        let answer: Answer = read_frame(&mut stream).await?;
        shared.switches.wait_thaw().await;
        match answer {
            Answer::Nothing { leads } => {
                if let Some(term) = leads {
                    shared.core.hear(term);
                }
            }
            Answer::Entries {
                term,
                common,
                entries,
            } => {
                shared.core.hear(term);
                let lag = shared.switches.lag();
                let entries = entries.into_iter().map(|aged| held(aged, lag)).collect();
                take(shared, term, expected, common, entries).await?;
            }
        }
    }
}

fn aged(appended: log::Appended) -> Aged {
    let age_us = appended.at.elapsed().as_micros();
    Aged {
        entry: appended.entry,
        age_us: u64::try_from(age_us).unwrap_or(u64::MAX),
    }
}

fn held(aged: Aged, lag: Duration) -> Held {
    let left = lag.saturating_sub(Duration::from_micros(aged.age_us));
    Held {
        entry: aged.entry,
        due: Instant::now() + left,
    }
}

/// Drops what the primary's log does not share, and applies its entries as they fall due.
async fn take(
    shared: &Shared,
    term: log::Term,
    expected: log::Head,
    common: log::Position,
    entries: Vec<Held>,
) -> Result<(), PullError> {
    let core = sync::Arc::clone(&shared.core);
    blocking(move || core.follow(term, expected, common)).await?;
    let mut expected = shared.core.head_at(common)?;
    let mut entries = entries.into_iter().peekable();
    while let Some(first) = entries.next() {
        hold(shared, term, first.due).await;
        shared.switches.wait_thaw().await;
        let mut due = vec![first.entry];
        while let Some(next) = entries.next_if(|next| next.due <= Instant::now()) {
            due.push(next.entry);
        }
        let core = sync::Arc::clone(&shared.core);
        expected = blocking(move || apply_all(&core, term, expected, due)).await?;
    }
    Ok(())
}

/// Holds an entry back for the member's lag; the connection that it came by is open all the while.
async fn hold(shared: &Shared, term: log::Term, due: Instant) {
    let mut slept = std::pin::pin!(shared.switches.sleep_until(due));
    while tokio::time::timeout(HOLD_TIME, &mut slept).await.is_err() {
        shared.core.hear(term);
    }
}

fn apply_all(
    core: &core::Core,
    term: log::Term,
    expected: log::Head,
    entries: Vec<log::Entry>,
) -> Result<log::Head, core::ApplyError> {
    entries.into_iter().try_fold(expected, |expected, entry| {
        core.apply(term, expected, entry)
    })
}

async fn blocking<T: Send + 'static>(
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

const BATCH_ENTRIES: usize = 256;
const FRAME_MAX_BYTES: usize = 256 * 1024 * 1024;
const HOLD_TIME: Duration = Duration::from_millis(500);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
