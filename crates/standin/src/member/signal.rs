//! Signals from other threads to a session: cancel, fence, disconnect, stop.

use std::sync;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::member::{connection, error, log};

/// Identity of a session in a cancel request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelKey {
    /// Process ID that the session reported at startup.
    pub pid: i32,
    /// Secret that the session reported at startup.
    pub secret: i32,
}

#[derive(Default)]
struct State {
    running: bool,
    canceled: bool,
    stopped: bool,
    caller_disconnected: bool,
    write_term: Option<log::Term>,
    fenced: bool,
    interrupt: Option<rusqlite::InterruptHandle>,
}

/// Signals of one session.
pub struct Signal {
    key: CancelKey,
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    inbox: mpsc::WeakSender<connection::Event>,
}

impl Signal {
    /// Creates the signals of the session that has the given key and inbox.
    pub fn new(key: CancelKey, inbox: mpsc::WeakSender<connection::Event>) -> Self {
        Self {
            key,
            state: sync::Mutex::default(),
            changed: sync::Condvar::new(),
            inbox,
        }
    }

    /// Returns the key that cancel requests for the session must present.
    pub fn key(&self) -> CancelKey {
        self.key
    }

    /// Marks the start of a request. Cancel requests that arrive while no request runs have no effect.
    pub fn start_request(&self) {
        let mut state = self.state();
        state.running = true;
        state.canceled = false;
    }

    /// Marks the end of a request.
    pub fn end_request(&self) {
        self.state().running = false;
    }

    /// Stores the handle that interrupts the session's SQLite statements.
    pub fn set_interrupt(&self, handle: rusqlite::InterruptHandle) {
        self.state().interrupt = Some(handle);
    }

    /// Cancels the running request, if there is one.
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

    /// Ends the session, because the member stops.
    pub fn stop(&self) {
        let mut state = self.state();
        state.stopped = true;
        if let Some(interrupt) = &state.interrupt {
            interrupt.interrupt();
        }
        self.changed.notify_all();
    }

    /// Ends waits of the session, because its caller has disconnected. A statement that SQLite executes continues.
    pub fn disconnect(&self) {
        self.state().caller_disconnected = true;
        self.changed.notify_all();
    }

    /// Returns whether the session may drop unsent output: a fence has ended its write transaction, or the member
    /// stops.
    pub fn should_drop_output(&self) -> bool {
        let state = self.state();
        state.stopped || state.fenced
    }

    /// Returns whether the member stops.
    pub fn is_stopped(&self) -> bool {
        self.state().stopped
    }

    /// Records the term of the session's write transaction, or `None` when the session has none.
    pub fn set_write_term(&self, term: Option<log::Term>) {
        let mut state = self.state();
        state.write_term = term;
        state.fenced = false;
    }

    /// Tells the session of a new term. A write transaction of an older term can no longer commit.
    pub fn fence(&self, term: log::Term) {
        let mut state = self.state();
        if state.write_term.is_none_or(|write_term| write_term >= term) {
            return;
        }
        state.fenced = true;
        if let Some(interrupt) = &state.interrupt {
            interrupt.interrupt();
        }
        drop(state);
        self.changed.notify_all();
        if let Some(inbox) = self.inbox.upgrade() {
            // If the inbox is full, the session processes other events, and checks for a fence before each.
            let _ = inbox.try_send(connection::Event::Fenced);
        }
    }

    /// Returns an error if the request was cancelled, a fence has ended the session's write transaction, or the member
    /// stops.
    pub fn check(&self) -> Result<(), error::SqlError> {
        self.state().check()
    }

    /// Returns an error in the cases of [`Self::check`], and if the caller has disconnected.
    pub fn check_while_waiting(&self) -> Result<(), error::SqlError> {
        self.state().check_while_waiting()
    }

    /// Sleeps until the deadline. Returns an error early in the cases of [`Self::check_while_waiting`].
    pub fn sleep_until(&self, deadline: Instant) -> Result<(), error::SqlError> {
        let mut state = self.state();
        loop {
            state.check_while_waiting()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            let wait_result = self.changed.wait_timeout(state, remaining);
            state = wait_result.expect("no holder of the signal panics").0;
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the signal panics")
    }
}

impl State {
    fn check_while_waiting(&self) -> Result<(), error::SqlError> {
        if self.caller_disconnected {
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
