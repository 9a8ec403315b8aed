//! Retries of idempotent calls.

use std::{future::Future, time};

use crate::platform;

/// The longest pause between two attempts, in ms.
const MAX_PAUSE_MS: u64 = 2_000;

/// How often an idempotent call is tried while its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The number of attempts; the first is always made.
    pub attempts: u32,
    /// The pause after the first attempt, in ms. It doubles after each further one.
    pub pause_ms: u64,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: 6,
            pause_ms: 100,
        }
    }
}

impl Retry {
    /// Makes a call until it succeeds, fails with a known outcome, or the attempts are used up.
    ///
    /// # Errors
    ///
    /// The last attempt's error.
    pub async fn run<T, F, R>(&self, mut call: F) -> Result<T, platform::Error>
    where
        F: FnMut() -> R,
        R: Future<Output = Result<T, platform::Error>>,
    {
        let mut attempt = 1;
        loop {
            match call().await {
                Err(error) if error.outcome_unknown() && attempt < self.attempts => {
                    log::warn!("platform call failed attempt={attempt} error=\"{error}\"");
                    self.pause_after(attempt).await;
                    attempt += 1;
                }
                result => return result,
            }
        }
    }

    /// Waits as long as is due after that attempt, counted from 1.
    pub async fn pause_after(&self, attempt: u32) {
        let doubled = self
            .pause_ms
            .saturating_mul(1 << attempt.saturating_sub(1).min(16));
        let pause_ms = doubled.min(MAX_PAUSE_MS);
        if pause_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        }
    }
}
