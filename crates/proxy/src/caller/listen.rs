//! Accepts callers and checks their logins.

use std::sync::Arc;
use std::time::Duration;

use fulmarlift_core::id;
use fulmarlift_wire::{answer, handshake, scram, tls};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::caller::session;
use crate::caller::session_table::Sessions;
use crate::document;
use crate::engine;

/// Verifier of callers that need no password when they connect from a loopback address. Other verifiers check
/// passwords, see [`scram`].
const TRUST_VERIFIER: &str = "trust";
/// Delay before the proxy accepts connections again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What the accept loop and the sessions of callers need of the proxy.
#[derive(Clone)]
pub struct CallerContext {
    /// Engine that sessions submit requests to.
    pub engine: Arc<engine::Engine>,
    /// Table of the sessions of this proxy.
    pub sessions: Arc<Sessions>,
    /// TLS acceptor with the proxy's certificate; `None` if callers cannot use TLS.
    pub tls: Option<Arc<tls::Acceptor>>,
    /// Becomes `true` when the proxy stops.
    pub stopping: watch::Receiver<bool>,
}

/// Accepts callers until the proxy stops, and serves each in a task.
pub async fn accept_callers(context: CallerContext, listener: TcpListener) {
    let mut stopping = context.stopping.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(handle_connection(context.clone(), stream));
                }
                Err(error) => {
                    log::warn!("event=accept_failed error={error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = wait_until_stopping(&mut stopping) => return,
        }
    }
}

/// Waits until the proxy stops.
pub(super) async fn wait_until_stopping(stopping: &mut watch::Receiver<bool>) {
    // Fails only if the sender is dropped together with the proxy.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn handle_connection(context: CallerContext, stream: TcpStream) {
    let loopback = stream.peer_addr().is_ok_and(|peer| peer.ip().is_loopback());
    let timeout = Duration::from_millis(context.engine.settings.login_timeout_ms);
    let deadline = tokio::time::Instant::now() + timeout;
    let document = context.engine.document();
    let verify = |user: &str| login_method(&document, user, loopback);
    match handshake::accept(stream, context.tls.as_deref(), deadline, verify).await {
        Ok(handshake::Accepted::Session(accepted)) => serve_session(context, accepted).await,
        Ok(handshake::Accepted::Cancel(key)) => {
            let sessions = &context.sessions;
            let secret = key.secret.to_vec();
            sessions
                .route_cancel(&context.engine, key.pid, secret)
                .await;
        }
        Err(error) => log::debug!("event=login_failed error={error}"),
    }
}

fn login_method(
    document: &document::Accepted,
    user: &str,
    loopback: bool,
) -> handshake::LoginMethod {
    let caller = document.caller(user);
    match caller.map(|caller| caller.verifier.as_ref()) {
        Some(TRUST_VERIFIER) if loopback => handshake::LoginMethod::Trust,
        Some(verifier) => match verifier.parse::<scram::Verifier>() {
            Ok(verifier) => handshake::LoginMethod::Scram(verifier),
            Err(_) => refusing_method(document),
        },
        None => refusing_method(document),
    }
}

/// Returns the login method for a user that cannot log in: it does not exist, has no valid verifier, or may connect
/// from a loopback address only. Asks for a password all the same, to hide which users exist. All proxies with the same
/// configuration send the same salt, as they do for an existing user; it derives from the configuration's digest.
/// Callers cannot compute the digest, because it covers the verifiers.
fn refusing_method(document: &document::Accepted) -> handshake::LoginMethod {
    let secret = document.head.digest.as_bytes().into();
    handshake::LoginMethod::Unknown { secret }
}

async fn serve_session(context: CallerContext, accepted: handshake::Session) {
    let document = context.engine.document();
    let service = document.service(&accepted.database);
    let allowed = service.is_some_and(|service| service.callers.contains(&accepted.user));
    if !allowed {
        let code = answer::sqlstate::INVALID_CATALOG_NAME;
        let text = format!(
            "service \"{}\" does not exist or is not open to \"{}\"",
            accepted.database, accepted.user
        );
        let answer = answer::Answer::error(code, text);
        // The caller may be gone already.
        let _ = handshake::reject(accepted.framed, answer).await;
        return;
    }
    let identity = session::SessionIdentity {
        service: id::of(&accepted.database),
        caller: id::of(&accepted.user),
        service_name: accepted.database.clone(),
    };
    metrics::gauge!("fulmarlift_sessions").increment(1);
    if let Err(error) = session::run(context, accepted, identity).await {
        log::debug!("event=session_ended error={error}");
    }
    metrics::gauge!("fulmarlift_sessions").decrement(1);
}
