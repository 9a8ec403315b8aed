//! What other threads tell a session: cancel, fence, stop.

use std::sync;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::member::{connection, error, log};

/// The identity of a session in a cancel request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelKey {
    /// The process id that the session reported.
    pub pid: i32,
    /// The secret that the session reported.
    pub secret: i32,
}

#[derive(Default)]
struct State {
    running: bool,
    canceled: bool,
    stopped: bool,
    hung_up: bool,
    writes_in: Option<log::Term>,
    fenced: bool,
    interrupt: Option<rusqlite::InterruptHandle>,
}

/// The signals of one session.
pub struct Signal {
    key: CancelKey,
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    inbox: mpsc::WeakSender<connection::Event>,
}

impl Signal {
    /// Signals for a session with a key and an inbox.
    pub fn new(key: CancelKey, inbox: mpsc::WeakSender<connection::Event>) -> Self {
        Self {
            key,
            state: sync::Mutex::default(),
            changed: sync::Condvar::new(),
            inbox,
        }
    }

    /// The session's identity.
    pub fn key(&self) -> CancelKey {
        self.key
    }

    /// Marks the start of a request, before which cancel requests have no effect.
    pub fn start_request(&self) {
        let mut state = self.state();
        state.running = true;
        state.canceled = false;
    }

    /// Marks the end of a request.
    pub fn end_request(&self) {
        self.state().running = false;
    }

    /// Keeps the handle that interrupts the session's statements.
    pub fn set_interrupt(&self, handle: rusqlite::InterruptHandle) {
        self.state().interrupt = Some(handle);
    }

    /// Cancels the request that runs, if one does.
    pub fn cancel(&self) {
        let mut state = self.state();
        if !state.running {
            return;
        }
        state.canceled = true;
        if let Some(interrupt) = &state.interrupt {
            interrupt.interrupt();
        }
        self.changed.notify_all();
    }

    /// Ends the session.
    pub fn stop(&self) {
        let mut state = self.state();
        state.stopped = true;
        if let Some(interrupt) = &state.interrupt {
            interrupt.interrupt();
        }
        self.changed.notify_all();
    }

    /// Ends a wait of the session, whose caller is gone; a statement that works goes on.
    pub fn hang_up(&self) {
        self.state().hung_up = true;
        self.changed.notify_all();
    }

    /// Whether what the session has to send can't matter any more: its writes were fenced, or the member stops.
    pub fn is_ended(&self) -> bool {
        let state = self.state();
        state.stopped || state.fenced
    }

    /// Whether the member stops.
    pub fn is_stopped(&self) -> bool {
        self.state().stopped
    }

    /// Marks the term in which the session writes; none when it does not.
    pub fn set_writes_in(&self, term: Option<log::Term>) {
        let mut state = self.state();
        state.writes_in = term;
        state.fenced = false;
    }

    /// Tells the session of a new term, so that it rolls back a write transaction of an older one.
    pub fn fence(&self, term: log::Term) {
        let mut state = self.state();
        if state.writes_in.is_none_or(|writes_in| writes_in >= term) {
            return;
        }
        state.fenced = true;
        if let Some(interrupt) = &state.interrupt {
            interrupt.interrupt();
        }
        drop(state);
        self.changed.notify_all();
        if let Some(inbox) = self.inbox.upgrade() {
            // A full inbox wakes the session as well.
            let _ = inbox.try_send(connection::Event::Fenced);
        }
    }

    /// An error when the request was cancelled or the member stops.
    pub fn check(&self) -> Result<(), error::SqlError> {
        self.state().check()
    }

    /// An error when the request was cancelled, its caller is gone or the member stops.
    pub fn check_wait(&self) -> Result<(), error::SqlError> {
        self.state().check_wait()
    }

    /// Waits until a deadline, unless a cancel request, a fence that ends the session's writes or a stop comes.
    pub fn sleep_until(&self, deadline: Instant) -> Result<(), error::SqlError> {
        let mut state = self.state();
        loop {
            state.check_wait()?;
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no holder of the signal panics").0;
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the signal panics")
    }
}

impl State {
    fn check_wait(&self) -> Result<(), error::SqlError> {
        if self.hung_up {
            return Err(error::SqlError::canceled());
        }
        self.check()
    }

    fn check(&self) -> Result<(), error::SqlError> {
        if self.stopped {
            return Err(error::SqlError::stopped());
        }
        if self.fenced {
            return Err(error::SqlError::read_only());
        }
        if self.canceled {
            return Err(error::SqlError::canceled());
        }
        Ok(())
    }
}
