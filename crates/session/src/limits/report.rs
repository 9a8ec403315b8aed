//! Counters and log lines of clients that were refused or closed.

use std::time::{Duration, Instant};

/// Time in which one line of each cause is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which events of one cause get a log line.
#[derive(Debug, Default)]
pub struct LineLimiter {
    next_line_at: Option<Instant>,
    /// Events since the last line that have none.
    unlogged: u64,
}

impl LineLimiter {
    /// Returns whether an event gets a line, and how many have had none since the last line.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        if self.next_line_at.is_some_and(|next| now < next) {
            self.unlogged += 1;
            return None;
        }
        self.next_line_at = Some(now + LOG_INTERVAL);
        Some(std::mem::take(&mut self.unlogged))
    }
}

/// Counts a client that was refused or closed, and logs it if its cause has had no line for some time. All fields are words of this program.
pub(super) fn record(
    limiter: &mut LineLimiter,
    now: Instant,
    client: &'static str,
    cause: &'static str,
    action: &'static str,
) {
    metrics::counter!("fulmarlift_clients_limited_total", "client" => client, "cause" => cause, "action" => action)
        .increment(1);
    if let Some(unlogged) = limiter.admit(now) {
        log::warn!(
            "event=client_limited client={client} cause={cause} action={action} unlogged={unlogged}"
        );
    }
}
