//! Handing on what is learned.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;

use crate::clock;
use crate::link;
use crate::news::frame;
use crate::shell;
use crate::world::World;

/// Pause between two messages that tell how fresh the knowledge is: several within the time that listeners tolerate.
const FRESH_EACH: Duration = Duration::from_millis(500);
/// Pause before the listening socket is tried again after it failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Serves listeners for ever.
pub async fn publish<W: World>(shell: Rc<shell::Shell<W>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shell = Rc::clone(&shell);
                tokio::task::spawn_local(async move {
                    shell.count_listener(true);
                    if let Err(error) = serve(&shell, stream).await {
                        log::debug!("event=listener_ended error=\"{error}\"");
                    }
                    shell.count_listener(false);
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve<W: World>(shell: &Rc<shell::Shell<W>>, mut stream: TcpStream) -> io::Result<()> {
    link::watch_silence(&stream)?;
    let mut news = shell.news();
    let (topology, members, peers) = shell.with_broker(fulmarlift_broker::Broker::snapshot);
    let snapshot = frame::Message::Snapshot {
        topology,
        members,
        revision: shell.revision(),
        peers,
    };
    frame::send(&mut stream, &snapshot).await?;
    let mut fresh = tokio::time::interval(FRESH_EACH);
    loop {
        tokio::select! {
            change = news.recv() => match change {
                Ok(change) => frame::send(&mut stream, &frame::Message::News(change)).await?,
                // The listener comes back for a snapshot.
                Err(broadcast::error::RecvError::Lagged(_)) => {
                    return Err(io::Error::other("listener too slow"));
                }
                Err(broadcast::error::RecvError::Closed) => return Ok(()),
            },
            _ = fresh.tick() => {
                if let Some(confirmed_at) = shell.confirmed_at() {
                    let age = clock::now().saturating_duration_since(confirmed_at);
                    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
                    frame::send(&mut stream, &frame::Message::Fresh { age_ms }).await?;
                }
            }
        }
    }
}
