//! Waits that end in failure, so that nothing hangs.

use std::future::Future;
use std::time::Duration;

/// Time between two looks at something that takes a while to come true.
const POLL: Duration = Duration::from_millis(20);
/// Time after which a wait fails. Nothing is measured by it.
const LIMIT: Duration = Duration::from_secs(30);

/// Waits until the condition holds.
pub async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    let waited = tokio::time::timeout(LIMIT, waiting).await;
    assert!(waited.is_ok(), "never came true: {what}");
}

/// Waits for the end of something.
pub async fn ended<T>(what: &str, future: impl Future<Output = T>) -> T {
    let waited = tokio::time::timeout(LIMIT, future).await;
    waited.unwrap_or_else(|_| panic!("never ended: {what}"))
}
