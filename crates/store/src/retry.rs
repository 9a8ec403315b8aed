//! Retries of idempotent platform calls with exponential backoff.

use std::{future::Future, time};

use crate::platform;

/// Longest delay between two attempts, in ms.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Number and spacing of the attempts of an idempotent call, which is repeated while its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retry {
    /// Maximum number of attempts. The first attempt is always made, also if this is 0.
    pub attempts: u32,
    /// Delay after the first attempt, in ms. The delay doubles after each further attempt, up to 2 seconds.
    pub initial_backoff_ms: u64,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: 6,
            initial_backoff_ms: 100,
        }
    }
}

impl Retry {
    /// Repeats a call until it succeeds, fails with a known outcome, or the attempts are used up.
    ///
    /// # Errors
    ///
    /// The error of the last attempt.
    pub async fn run<T, F, R>(&self, mut call: F) -> Result<T, platform::Error>
    where
        F: FnMut() -> R,
        R: Future<Output = Result<T, platform::Error>>,
    {
        let mut attempt = 1;
        loop {
            match call().await {
                Err(error) if error.is_outcome_unknown() && attempt < self.attempts => {
                    log::warn!("platform call failed attempt={attempt} error=\"{error}\"");
                    self.back_off(attempt).await;
                    attempt += 1;
                }
                result => return result,
            }
        }
    }

    /// Sleeps for the delay that follows attempt number `attempt`, counted from 1.
    pub async fn back_off(&self, attempt: u32) {
        let doubled_ms = self
            .initial_backoff_ms
            .saturating_mul(1 << attempt.saturating_sub(1).min(16));
        let backoff_ms = doubled_ms.min(MAX_BACKOFF_MS);
        if backoff_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(backoff_ms)).await;
        }
    }
}
