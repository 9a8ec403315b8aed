//! The sessions of this proxy, for cancel requests.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fulmarlift_core::{id, sorted};
use fulmarlift_wire::backend;
use tokio::sync::oneshot;

use crate::engine;
use crate::peers;

/// Time that a member is given to take a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a caller's cancel key stands for.
#[derive(Debug, Default)]
struct Entry {
    target: Option<CancelTarget>,
    /// Whether a cancel request was sent for the target.
    cancelled: bool,
    /// Is told when a request that waits for a connection is to be given up.
    waiting: Option<oneshot::Sender<()>>,
}

impl Entry {
    /// Returns the target of a cancel request; a request that waits is given up on the spot.
    fn cancel(&mut self) -> Option<CancelTarget> {
        if let Some(waiting) = self.waiting.take() {
            // The request may have ended meanwhile.
            let _ = waiting.send(());
        }
        self.cancelled |= self.target.is_some();
        self.target.clone()
    }
}

/// The statement that a cancel request would stop.
#[derive(Clone, Debug)]
pub struct CancelTarget {
    /// The member.
    pub address: SocketAddr,
    /// The key of the connection.
    pub key: backend::Key,
}

/// Sessions by the secret of their cancel key.
#[derive(Debug)]
pub struct Sessions {
    pid: i32,
    entries: Mutex<sorted::Map<u32, Entry>>,
}

/// A session's place in the table; leaving scope removes it.
#[derive(Debug)]
pub struct Registration<'a> {
    sessions: &'a Sessions,
    secret: u32,
}

impl Sessions {
    /// Creates an empty table. The process number in cancel keys names the proxy, so that a request
    /// that reaches another proxy can be passed on.
    pub fn new(proxy: id::ProxyId) -> Self {
        Self {
            pid: proxy as u32 as i32,
            entries: Mutex::default(),
        }
    }

    /// Returns the process number in this proxy's cancel keys.
    pub fn pid(&self) -> i32 {
        self.pid
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.with(|entries| entries.len())
    }

    /// Returns whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn with<T>(&self, run: impl FnOnce(&mut sorted::Map<u32, Entry>) -> T) -> T {
        run(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a session under a secret that no other session has.
    pub fn register(&self) -> Registration<'_> {
        loop {
            let secret = rand::random();
            let added = self.with(|entries| {
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

    /// Cancels what the session with this key is running, if it is one of this proxy's.
    pub async fn cancel(&self, pid: i32, secret: &[u8]) {
        let Ok(secret) = <[u8; 4]>::try_from(secret) else {
            return;
        };
        if pid != self.pid {
            return;
        }
        let secret = u32::from_be_bytes(secret);
        let target = self.with(|entries| entries.get_mut(secret)?.cancel());
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

    /// Cancels what a session is running, here or at the proxy that the key names.
    pub async fn route_cancel(&self, engine: &engine::Engine, pid: i32, secret: Vec<u8>) {
        if pid == self.pid {
            return self.cancel(pid, &secret).await;
        }
        let question = peers::Question::Cancel { pid, secret };
        if let Some(address) = engine.peer_address(pid as u32) {
            peers::send_question(&address, &question).await;
            return;
        }
        // No heartbeat of that proxy has come yet. Others pay no attention to its keys.
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

    /// Notes that a request waits for a connection; the receiver is told when it is cancelled.
    pub fn set_waiting(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.update(|entry| entry.waiting = Some(sender));
        receiver
    }

    /// Sets what a cancel request would stop.
    pub fn set_target(&self, target: Option<CancelTarget>) {
        self.update(|entry| {
            *entry = Entry {
                target,
                ..Entry::default()
            };
        });
    }

    /// Clears what a cancel request would stop; returns whether one was sent for it.
    pub fn take_target(&self) -> bool {
        let mut cancelled = false;
        self.update(|entry| cancelled = std::mem::take(entry).cancelled);
        cancelled
    }

    fn update(&self, update: impl FnOnce(&mut Entry)) {
        self.sessions.with(|entries| {
            if let Some(entry) = entries.get_mut(self.secret) {
                update(entry);
            }
        });
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.sessions.with(|entries| entries.remove(self.secret));
    }
}
