//! Limits on the number of requests in flight for each service.

use std::time::{Duration, Instant};

use crate::id;
use crate::sorted;

/// Shortest delay that a refused caller is given before its retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Shortest range over which the retries of refused callers are spread.
const RETRY_SPREAD_MIN: Duration = Duration::from_millis(200);

/// Counts the requests of each service that were admitted and have not ended.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    admitted: sorted::Map<id::ServiceId, u32>,
}

impl Admission {
    /// Admits a request and returns true if fewer than `limit` requests of its service are in flight.
    pub fn admit(&mut self, service: id::ServiceId, limit: u32) -> bool {
        let admitted = self.admitted.entry(service);
        let has_room = *admitted < limit;
        *admitted += u32::from(has_room);
        has_room
    }

    /// Records that an admitted request has ended.
    pub fn record_end(&mut self, service: id::ServiceId) {
        let admitted = self.admitted.entry(service);
        *admitted = admitted.saturating_sub(1);
    }

    /// Returns when a refused caller should retry.
    ///
    /// The delay is `wait`, the time that the queue takes, plus an offset within a range as long as `wait`, so that
    /// callers that were refused together do not retry together. The delay and the range have minima.
    pub fn retry_at(&self, now: Instant, request: id::RequestId, wait: Duration) -> Instant {
        let spread = RETRY_SPREAD_MIN.max(wait);
        let spread_ms = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX);
        // A hash of the request stands in for a random number.
        let offset_ms = id::rendezvous_weight(request, 0) % spread_ms;
        now + RETRY_AFTER_MIN.max(wait) + Duration::from_millis(offset_ms)
    }
}
