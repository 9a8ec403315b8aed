//! The lock that lets one transaction write at a time.

use std::sync;
use std::time::{Duration, Instant};

use crate::member::{error, signal};

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The lock of a member's single writer.
#[derive(Debug, Default)]
pub struct WriteLock {
    held: sync::Mutex<bool>,
    freed: sync::Condvar,
}

/// The right to write, until dropped.
#[derive(Debug)]
pub struct WriteGuard {
    lock: sync::Arc<WriteLock>,
}

impl WriteLock {
    /// Waits for the lock until a deadline, a cancel request or the member's stop.
    pub fn acquire(
        self: &sync::Arc<Self>,
        deadline: Instant,
        signal: &signal::Signal,
    ) -> Result<WriteGuard, error::SqlError> {
        let mut held = self.held();
        while *held {
            signal.check()?;
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                let message = "canceling statement due to lock timeout";
                return Err(error::SqlError::new(error::LOCK_NOT_AVAILABLE, message));
            }
            held = self.wait(held, left.min(CHECK_INTERVAL));
        }
        *held = true;
        Ok(self.guard())
    }

    /// Waits for the lock as long as it takes.
    pub fn acquire_unbounded(self: &sync::Arc<Self>) -> WriteGuard {
        let mut held = self.held();
        while *held {
            held = self.wait(held, CHECK_INTERVAL);
        }
        *held = true;
        self.guard()
    }

    fn guard(self: &sync::Arc<Self>) -> WriteGuard {
        WriteGuard {
            lock: sync::Arc::clone(self),
        }
    }

    fn held(&self) -> sync::MutexGuard<'_, bool> {
        self.held.lock().expect("no holder of the lock panics")
    }

    fn wait<'a>(
        &self,
        held: sync::MutexGuard<'a, bool>,
        limit: Duration,
    ) -> sync::MutexGuard<'a, bool> {
        let waited = self.freed.wait_timeout(held, limit);
        waited.expect("no holder of the lock panics").0
    }
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        *self.lock.held() = false;
        self.lock.freed.notify_all();
    }
}
