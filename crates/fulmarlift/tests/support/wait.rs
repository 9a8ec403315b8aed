//! Waits with a timeout, so that a failing test does not hang.

use std::future::Future;
use std::time::Duration;

/// Interval at which [`until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a wait fails. It only keeps a failing test from hanging; no test checks that something happens
/// within it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until the condition is true.
pub async fn until<F: Future<Output = bool>>(description: &str, mut condition: impl FnMut() -> F) {
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, polling).await;
    assert!(result.is_ok(), "timed out waiting until {description}");
}

/// Waits until the future completes and returns its output.
pub async fn until_ended<T>(description: &str, future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(WAIT_TIMEOUT, future).await;
    result.unwrap_or_else(|_| panic!("timed out waiting for the end of {description}"))
}
