//! Registry of a member's open sessions.

use std::sync;

use crate::member::{log, signal};

struct Entry {
    signal: sync::Arc<signal::Signal>,
    counted: bool,
}

/// Open sessions and their limits. Callers' sessions are the counted ones: the status reports their number, and the
/// configuration limits it. Control sessions have a fixed limit of their own.
pub struct Registry {
    connections_max: usize,
    entries: sync::Mutex<Vec<Entry>>,
}

impl Registry {
    /// Creates a registry with the limit of counted sessions.
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections_max,
            entries: sync::Mutex::default(),
        }
    }

    /// Returns the limit of counted sessions.
    pub fn connections_max(&self) -> usize {
        self.connections_max
    }

    /// Returns the number of open counted sessions.
    pub fn connections_used(&self) -> usize {
        count(&self.entries(), true)
    }

    /// Adds a session, counted or not. Returns `None` if the limit of its kind is reached.
    pub fn register(
        self: &sync::Arc<Self>,
        signal: sync::Arc<signal::Signal>,
        counted: bool,
    ) -> Option<Registration> {
        let mut entries = self.entries();
        let limit = if counted {
            self.connections_max
        } else {
            CONTROL_CONNECTIONS_MAX
        };
        if count(&entries, counted) >= limit {
            return None;
        }
        let key = signal.key();
        entries.push(Entry { signal, counted });
        Some(Registration {
            registry: sync::Arc::clone(self),
            key,
        })
    }

    /// Cancels the running request of the session with the key.
    pub fn cancel(&self, key: signal::CancelKey) {
        let signals = self.signals();
        if let Some(signal) = signals.iter().find(|signal| signal.key() == key) {
            signal.cancel();
        }
    }

    /// Tells all sessions of a new term.
    pub fn fence(&self, term: log::Term) {
        for signal in self.signals() {
            signal.fence(term);
        }
    }

    /// Ends all sessions.
    pub fn stop(&self) {
        for signal in self.signals() {
            signal.stop();
        }
    }

    fn signals(&self) -> Vec<sync::Arc<signal::Signal>> {
        let entries = self.entries();
        let signals = entries.iter().map(|entry| sync::Arc::clone(&entry.signal));
        signals.collect()
    }

    fn entries(&self) -> sync::MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().expect("no holder of the lock panics")
    }
}

fn count(entries: &[Entry], counted: bool) -> usize {
    let entries = entries.iter();
    entries.filter(|entry| entry.counted == counted).count()
}

/// Entry of a session in the registry. Dropping it removes the session.
pub struct Registration {
    registry: sync::Arc<Registry>,
    key: signal::CancelKey,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut entries = self.registry.entries();
        entries.retain(|entry| entry.signal.key() != self.key);
    }
}

const CONTROL_CONNECTIONS_MAX: usize = 64;
