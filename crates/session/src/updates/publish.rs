//! Sends updates to the proxies that listen to this one.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::revision;
use fulmarlift_broker::topology;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;

use crate::clock;
use crate::deployment::Deployment;
use crate::limits;
use crate::link;
use crate::peer::greeting;
use crate::quota;
use crate::shell;
use crate::updates::{frame, listen, relay};

/// Interval of the freshness messages: several within the age that listeners tolerate, `READER_AGE_MAX`.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the connection of another proxy to its message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Size from which a message is logged, in bytes.
const LOGGED_BYTES_MIN: usize = 16 << 10;
/// Delay after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts and serves listeners. Never returns.
pub async fn publish<D: Deployment>(shell: Rc<shell::Shell<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shell = Rc::clone(&shell);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_within_limits(&shell, stream).await {
                        log::debug!("event=listener_ended error=\"{error}\"");
                    }
                });
                // Lets a connection that is closed for this one end before more descriptors are taken.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_within_limits<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    stream: TcpStream,
) -> io::Result<()> {
    let opened = shell.limits().open(limits::Pool::Updates);
    let slot = opened.ok_or_else(|| io::Error::other("too many connections"))?;
    serve(shell, stream, &slot).await
}

/// Runs a future, unless the connection is closed in favour of others.
async fn run_until_closed<T>(
    slot: &limits::Slot,
    run: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    tokio::select! {
        biased;
        cause = slot.closed() => Err(io::Error::other(format!("too many {}", cause.name()))),
        ran = run => ran,
    }
}

async fn serve<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    mut stream: TcpStream,
    slot: &limits::Slot,
) -> io::Result<()> {
    link::set_liveness_timeouts(&stream)?;
    let mut accepted = BytesMut::new();
    let first = receive_first(shell, &mut stream, &mut accepted);
    let first = run_until_closed(slot, first);
    let first = tokio::time::timeout(HELLO_TIMEOUT, first).await??;
    if !matches!(first, frame::Message::Hello { .. }) {
        // A question is answered soon, and is not interrupted.
        slot.activity().start_statement();
    }
    match first {
        frame::Message::Hello {
            configuration_version,
        } => {
            shell.count_listener(true);
            let updates = send_updates(shell, stream, accepted, configuration_version);
            let served = run_until_closed(slot, updates).await;
            shell.count_listener(false);
            served
        }
        frame::Message::ClaimQuestion { group } => {
            relay::answer(shell, stream, accepted, &group).await
        }
        frame::Message::CommandQuestion {
            asker,
            member,
            command,
        } => {
            let command = command.command();
            relay::answer_command(shell, stream, accepted, &asker, &member, command).await
        }
        frame::Message::GroupQuestion { group } => {
            relay::answer_group(shell, stream, accepted, group).await
        }
        frame::Message::QuotaQuestion(question) => {
            quota::answer_questions(shell, stream, accepted, question).await
        }
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Checks the greeting of another proxy, and receives its first message. Appends the answer to the greeting to `accepted`; it is
/// sent with that to the message, and a refusal at once.
async fn receive_first<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    stream: &mut TcpStream,
    accepted: &mut BytesMut,
) -> io::Result<frame::Message> {
    let mut inbox = BytesMut::new();
    let service = greeting::Service::Updates;
    match greeting::accept(shell, service, stream, &mut inbox, accepted).await {
        Ok(()) => frame::receive_first(stream, &mut inbox).await,
        Err(error) => {
            frame::send(stream, accepted).await?;
            Err(io::Error::other(error))
        }
    }
}

/// Sends a listener the snapshot and all updates after it.
async fn send_updates<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    mut stream: TcpStream,
    accepted: BytesMut,
    configuration_version: u64,
) -> io::Result<()> {
    if age_ms(shell).is_none_or(|age_ms| u128::from(age_ms) >= listen::READER_AGE_MAX.as_millis()) {
        // Snapshots are long, and a listener could not use this one.
        return frame::send_first(&mut stream, accepted, &freshness(shell, u64::MAX)).await;
    }
    let mut updates = shell.subscribe_updates();
    let snapshot = snapshot(shell, configuration_version);
    send_update(&mut stream, accepted, &snapshot).await?;
    let mut freshness_interval = tokio::time::interval(FRESHNESS_INTERVAL);
    loop {
        tokio::select! {
            // A freshness message follows the updates up to its revision.
            biased;
            update = updates.recv() => match update {
                Ok(update) => send_update(&mut stream, BytesMut::new(), &update).await?,
                // The listener reconnects and gets a new snapshot.
                Err(broadcast::error::RecvError::Lagged(_)) => {
                    return Err(io::Error::other("listener too far behind the updates"));
                }
                Err(broadcast::error::RecvError::Closed) => return Ok(()),
            },
            _ = freshness_interval.tick() => {
                if let Some(age_ms) = age_ms(shell) {
                    frame::send(&mut stream, &freshness(shell, age_ms)).await?;
                }
            }
        }
    }
}

/// Sends an encoded message, the first one after the answer to the greeting, and logs how long the connection took for it if it is larger than entries of members and proxies
/// are.
async fn send_update(stream: &mut TcpStream, accepted: BytesMut, frame: &[u8]) -> io::Result<()> {
    let started_at = clock::now();
    frame::send_first(stream, accepted, frame).await?;
    if frame.len() > LOGGED_BYTES_MIN {
        let took = clock::now().saturating_duration_since(started_at);
        log::info!(
            "event=update_sent bytes={} took_ms={}",
            frame.len(),
            took.as_millis()
        );
    }
    Ok(())
}

/// Returns the snapshot for a listener that has this version of the configuration.
fn snapshot<D: Deployment>(shell: &Rc<shell::Shell<D>>, configuration_version: u64) -> Bytes {
    let snapshot = shell.with_broker(|broker| frame::Message::Snapshot {
        topology: match broker.topology().version > configuration_version {
            true => broker.topology().clone(),
            false => topology::Topology::default(),
        },
        members: broker.listed_members(),
        revision: shell.members_revision(),
        peers: broker.listed_peers(),
    });
    snapshot.encode()
}

fn freshness<D: Deployment>(shell: &Rc<shell::Shell<D>>, age_ms: u64) -> Bytes {
    let contact = shell.with_broker(fulmarlift_broker::Broker::directory_contact);
    let message = frame::Message::Freshness {
        age_ms,
        configuration: shell.configuration_revision(),
        directory: contact.map(|contact| frame::DirectoryAges::of(contact, clock::now())),
    };
    message.encode()
}

/// Returns the time since the store was last seen to answer, in milliseconds; none if it has not answered yet, or the members
/// have not been read.
fn age_ms<D: Deployment>(shell: &shell::Shell<D>) -> Option<u64> {
    let store_heard_at = shell.store_heard_at()?;
    if shell.members_revision() == revision::Revision::default() {
        return None;
    }
    let age = clock::now().saturating_duration_since(store_heard_at);
    Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
