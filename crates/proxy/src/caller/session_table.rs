//! Table of the proxy's sessions; it finds the session that a cancel request is for.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fulmarlift_core::{id, sorted};
use fulmarlift_wire::backend;
use tokio::sync::oneshot;

use crate::engine;
use crate::peers;

/// Timeout of a cancel request to a member.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// State of one session that cancel requests need.
#[derive(Debug, Default)]
struct Entry {
    /// The running statement, if there is one.
    target: Option<CancelTarget>,
    /// Whether a cancel request was sent for the target.
    cancelled: bool,
    /// Cancels the request that waits for a connection, if there is one.
    waiting: Option<oneshot::Sender<()>>,
}

impl Entry {
    /// Returns the statement that the cancel request must stop. Cancels a request that waits for a connection at once.
    fn cancel(&mut self) -> Option<CancelTarget> {
        if let Some(waiting) = self.waiting.take() {
            // The request may have ended meanwhile.
            let _ = waiting.send(());
        }
        self.cancelled |= self.target.is_some();
        self.target.clone()
    }
}

/// A running statement that a cancel request can stop.
#[derive(Clone, Debug)]
pub struct CancelTarget {
    /// Address of the member.
    pub address: SocketAddr,
    /// Cancel key of the connection to the member.
    pub key: backend::CancelKey,
}

/// Sessions by the secret in their cancel key.
#[derive(Debug)]
pub struct Sessions {
    pid: i32,
    entries: Mutex<sorted::Map<u32, Entry>>,
}

/// Registration of a session in the table; dropping it removes the session.
#[derive(Debug)]
pub struct Registration<'a> {
    sessions: &'a Sessions,
    secret: u32,
}

impl Sessions {
    /// Creates an empty table. The process ID in cancel keys identifies the proxy, so that another proxy can pass on a
    /// cancel request that it receives.
    pub fn new(proxy: id::ProxyId) -> Self {
        Self {
            pid: proxy as u32 as i32,
            entries: Mutex::default(),
        }
    }

    /// Returns the process ID in this proxy's cancel keys.
    pub fn pid(&self) -> i32 {
        self.pid
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.with_entries(|entries| entries.len())
    }

    /// Returns whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn with_entries<T>(&self, run: impl FnOnce(&mut sorted::Map<u32, Entry>) -> T) -> T {
        run(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a session under a random secret that no other session has.
    pub fn register(&self) -> Registration<'_> {
        loop {
            let secret = rand::random();
            let added = self.with_entries(|entries| {
                let free = !entries.contains(secret);
                if free {
                    entries.insert(secret, Entry::default());
                }
                free
            });
            if added {
                let sessions = self;
                return Registration { sessions, secret };
            }
        }
    }

    /// Cancels the request of the session with this key, if this proxy has the session.
    pub async fn cancel(&self, pid: i32, secret: &[u8]) {
        let Ok(secret) = <[u8; 4]>::try_from(secret) else {
            return;
        };
        if pid != self.pid {
            return;
        }
        let secret = u32::from_be_bytes(secret);
        let target = self.with_entries(|entries| entries.get_mut(secret)?.cancel());
        let Some(target) = target else {
            return;
        };
        let deadline = tokio::time::Instant::now() + CANCEL_TIMEOUT;
        if let Err(error) = backend::cancel(target.address, &target.key, deadline).await {
            log::warn!(
                "event=cancel_failed member={} error={error}",
                target.address
            );
        }
    }

    /// Cancels the request of the session with this key, at this proxy or at the proxy that the key identifies.
    pub async fn route_cancel(&self, engine: &engine::Engine, pid: i32, secret: Vec<u8>) {
        if pid == self.pid {
            return self.cancel(pid, &secret).await;
        }
        let question = peers::Question::Cancel { pid, secret };
        if let Some(address) = engine.peer_address(pid as u32) {
            peers::send_question(&address, &question).await;
            return;
        }
        // No heartbeat of that proxy has arrived yet, so the cancel request goes to all peers. Proxies ignore the keys
        // of other proxies.
        let addresses = engine.peer_addresses();
        let questions = addresses.iter().map(|a| peers::send_question(a, &question));
        futures::future::join_all(questions).await;
    }
}

impl Registration<'_> {
    /// Returns the secret of the cancel key.
    pub fn secret(&self) -> [u8; 4] {
        self.secret.to_be_bytes()
    }

    /// Records that a request waits for a connection; the receiver gets a message when the request is cancelled.
    pub fn set_waiting(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.update(|entry| entry.waiting = Some(sender));
        receiver
    }

    /// Sets the statement that a cancel request stops. The session's request no longer waits for a connection.
    pub fn set_target(&self, target: Option<CancelTarget>) {
        self.update(|entry| {
            *entry = Entry {
                target,
                ..Entry::default()
            };
        });
    }

    /// Clears the statement that a cancel request stops; returns whether a cancel request was sent for it.
    pub fn take_target(&self) -> bool {
        let mut cancelled = false;
        self.update(|entry| cancelled = std::mem::take(entry).cancelled);
        cancelled
    }

    fn update(&self, update: impl FnOnce(&mut Entry)) {
        self.sessions.with_entries(|entries| {
            if let Some(entry) = entries.get_mut(self.secret) {
                update(entry);
            }
        });
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.sessions
            .with_entries(|entries| entries.remove(self.secret));
    }
}
