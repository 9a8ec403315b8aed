//! Listening for callers, and the graceful stop.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::deployment::Deployment;
use crate::peer;
use crate::protocol::caller::Codec;
use crate::session;
use crate::shell;

/// Pause before the listener is tried again after it failed, such as for want of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Pause between two looks whether all sessions have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Accepts callers for ever.
pub async fn accept_callers<D: Deployment>(
    shell: Rc<shell::Shell<D>>,
    listener: TcpListener,
    grace: session::Grace,
) {
    accept::<D, D::Caller>(shell, listener, session::Origin::Caller, grace).await;
}

/// Accepts other proxies for ever.
pub async fn accept_peers<D: Deployment>(
    shell: Rc<shell::Shell<D>>,
    listener: TcpListener,
    grace: session::Grace,
) {
    // Other proxies come back at once, to another home.
    let grace = session::Grace {
        idle_from: Duration::ZERO,
        idle_spread: Duration::ZERO,
        ..grace
    };
    accept::<D, peer::Serving>(shell, listener, session::Origin::Peer, grace).await;
}

async fn accept<D: Deployment, C: Codec>(
    shell: Rc<shell::Shell<D>>,
    listener: TcpListener,
    origin: session::Origin,
    grace: session::Grace,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shell = Rc::clone(&shell);
                tokio::task::spawn_local(async move {
                    if let Err(ended) = session::run::<D, C>(shell, stream, origin, grace).await {
                        log::debug!("event=session_ended reason=\"{ended}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Begins the graceful stop and waits until all sessions have ended, at least for `least` and at most for `most`.
pub async fn drain<D: Deployment>(shell: &shell::Shell<D>, least: Duration, most: Duration) {
    shell.stop();
    let least = tokio::time::Instant::now() + least;
    let most = tokio::time::Instant::now() + most;
    loop {
        tokio::time::sleep(DRAIN_POLL).await;
        let now = tokio::time::Instant::now();
        if now >= most || (now >= least && shell.sessions() == 0) {
            return;
        }
    }
}
