//! What a client does at the moment. The session updates it with each statement, so it has no lock and takes no memory of its own.

use std::cell::{Cell, RefCell};
use std::future;
use std::task::{Poll, Waker};
use std::time::Instant;

use crate::limits::ledger::Cause;

/// Activity of a client.
#[derive(Debug)]
pub struct Activity {
    is_running: Cell<bool>,
    quiet_since: Cell<Instant>,
    closed: Cell<Option<Cause>>,
    /// Wakes the task of the session, which waits in [`Self::closed`].
    waker: RefCell<Option<Waker>>,
}

impl Activity {
    /// Returns the activity of a client that has just connected.
    pub fn new(now: Instant) -> Self {
        Self {
            is_running: Cell::new(false),
            quiet_since: Cell::new(now),
            closed: Cell::new(None),
            waker: RefCell::new(None),
        }
    }

    /// Records that a statement of the client runs. Its connection is not closed meanwhile.
    pub fn start_statement(&self) {
        self.is_running.set(true);
    }

    /// Records that the statement has ended. Its answer may still have to be sent.
    pub fn end_statement(&self, now: Instant) {
        self.is_running.set(false);
        self.quiet_since.set(now);
    }

    /// Returns whether a statement of the client runs.
    pub fn is_running(&self) -> bool {
        self.is_running.get()
    }

    /// Returns the instant at which the client connected or its newest statement ended.
    pub fn quiet_since(&self) -> Instant {
        self.quiet_since.get()
    }

    /// Makes [`Self::closed`] return.
    pub fn close(&self, cause: Cause) {
        self.closed.set(Some(cause));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the connection must be closed. Cancel-safe; only one task may wait.
    pub async fn closed(&self) -> Cause {
        future::poll_fn(|context| {
            if let Some(cause) = self.closed.get() {
                return Poll::Ready(cause);
            }
            let mut waker = self.waker.borrow_mut();
            // The same task waits before each statement.
            if !waker
                .as_ref()
                .is_some_and(|waker| waker.will_wake(context.waker()))
            {
                *waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}
