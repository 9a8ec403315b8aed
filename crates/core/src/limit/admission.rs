//! How many requests of each service wait at this proxy.

use std::time::{Duration, Instant};

use crate::id;
use crate::sorted;

/// Shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Range over which refused callers are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(200);

/// Requests admitted and not yet ended, by service.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    admitted: sorted::Map<id::ServiceId, u32>,
}

impl Admission {
    /// Admits a request if fewer than `limit` of its service are admitted.
    pub fn admit(&mut self, service: id::ServiceId, limit: u32) -> bool {
        let admitted = self.admitted.entry(service);
        let admits = *admitted < limit;
        *admitted += u32::from(admits);
        admits
    }

    /// Notes that an admitted request has ended.
    pub fn ended(&mut self, service: id::ServiceId) {
        let admitted = self.admitted.entry(service);
        *admitted = admitted.saturating_sub(1);
    }

    /// Returns when a refused caller should come back: after `wait`, which the queue takes, and spread
    /// over as long again, so that not all return at once.
    pub fn retry_at(&self, now: Instant, request: id::RequestId, wait: Duration) -> Instant {
        let spread = RETRY_SPREAD.max(wait);
        let spread_ms = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX);
        let offset_ms = id::weight(request, 0) % spread_ms;
        now + RETRY_AFTER_MIN.max(wait) + Duration::from_millis(offset_ms)
    }
}
