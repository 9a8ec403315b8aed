//! Lock that admits one write transaction at a time.

use std::sync;
use std::time::{Duration, Instant};

use crate::member::{error, signal};

const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Lock of a member's single writer.
#[derive(Debug, Default)]
pub struct WriteLock {
    locked: sync::Mutex<bool>,
    released: sync::Condvar,
}

/// Guard of the lock. Dropping the guard releases the lock.
#[derive(Debug)]
pub struct WriteGuard {
    lock: sync::Arc<WriteLock>,
}

impl WriteLock {
    /// Waits for the lock. Returns an error at the deadline, or earlier in the cases of [`signal::Signal::check`].
    pub fn acquire(
        self: &sync::Arc<Self>,
        deadline: Instant,
        signal: &signal::Signal,
    ) -> Result<WriteGuard, error::SqlError> {
        let mut locked = self.lock_state();
        while *locked {
            signal.check()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let message = "canceling statement due to lock timeout";
                return Err(error::SqlError::new(error::LOCK_NOT_AVAILABLE, message));
            }
            locked = self.wait(locked, remaining.min(CHECK_INTERVAL));
        }
        *locked = true;
        Ok(self.guard())
    }

    /// Waits for the lock without a limit.
    pub fn acquire_unbounded(self: &sync::Arc<Self>) -> WriteGuard {
        let mut locked = self.lock_state();
        while *locked {
            locked = self.wait(locked, CHECK_INTERVAL);
        }
        *locked = true;
        self.guard()
    }

    fn guard(self: &sync::Arc<Self>) -> WriteGuard {
        WriteGuard {
            lock: sync::Arc::clone(self),
        }
    }

    fn lock_state(&self) -> sync::MutexGuard<'_, bool> {
        self.locked.lock().expect("no holder of the lock panics")
    }

    fn wait<'a>(
        &self,
        locked: sync::MutexGuard<'a, bool>,
        limit: Duration,
    ) -> sync::MutexGuard<'a, bool> {
        let wait_result = self.released.wait_timeout(locked, limit);
        wait_result.expect("no holder of the lock panics").0
    }
}

impl Drop for WriteGuard {
    fn drop(&mut self) {
        *self.lock.lock_state() = false;
        self.lock.released.notify_all();
    }
}
