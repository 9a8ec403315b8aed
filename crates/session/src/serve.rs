//! Accepts callers and other proxies, and drains their sessions on a graceful stop.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::deployment::Deployment;
use crate::peer;
use crate::protocol::caller::Codec;
use crate::session;
use crate::shell;

/// Delay after a failed `accept`, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// Interval at which [`drain`] checks whether all sessions have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts and serves callers. Never returns.
pub async fn accept_callers<D: Deployment>(
    shell: Rc<shell::Shell<D>>,
    listener: TcpListener,
    grace: session::ShutdownGrace,
) {
    accept::<D, D::Caller>(shell, listener, session::ClientKind::Caller, grace).await;
}

/// Accepts and serves proxies that forward statements to this one, until the graceful stop starts: a proxy that cannot
/// connect chooses another home at once.
pub async fn accept_peers<D: Deployment>(
    shell: Rc<shell::Shell<D>>,
    listener: TcpListener,
    grace: session::ShutdownGrace,
) {
    let mut stopping = shell.stopping();
    let stopped = async {
        // Fails only without a sender, which the shell holds.
        let _ = stopping.wait_for(Option::is_some).await;
    };
    let accepting = accept::<D, peer::Serving>(shell, listener, session::ClientKind::Peer, grace);
    tokio::select! {
        () = stopped => {}
        () = accepting => {}
    }
}

async fn accept<D: Deployment, C: Codec>(
    shell: Rc<shell::Shell<D>>,
    listener: TcpListener,
    client_kind: session::ClientKind,
    grace: session::ShutdownGrace,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shell = Rc::clone(&shell);
                tokio::task::spawn_local(async move {
                    if let Err(ended) =
                        session::run::<D, C>(shell, stream, client_kind, grace).await
                    {
                        log::debug!("event=session_ended reason=\"{ended}\"");
                    }
                });
                // Lets the session begin, and one that is closed for it end, before more descriptors are taken.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Starts the graceful stop and waits until all sessions have ended, for `min` at least and `max` at most.
pub async fn drain<D: Deployment>(shell: &shell::Shell<D>, min: Duration, max: Duration) {
    shell.stop();
    let min_until = tokio::time::Instant::now() + min;
    let max_until = tokio::time::Instant::now() + max;
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let now = tokio::time::Instant::now();
        if now >= max_until || (now >= min_until && shell.sessions() == 0) {
            return;
        }
    }
}
