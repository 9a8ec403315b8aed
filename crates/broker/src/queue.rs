//! The order of waiting requests, and when one is refused.
//!
//! Answers bursts and slow members: while more comes than the slots can serve, requests that can still meet their
//! objective go first, by rank and then by objective; a request whose turn cannot come before its deadline is refused
//! when it arrives rather than when the deadline has passed.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::request;

/// Least time after which a refused caller is told to come back: a few mean statements.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Range over which callers refused together are spread.
const RETRY_SPREAD_MS: u64 = 200;

/// Time over which the rate of departures is measured, and after which older ones count half.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Shortest time after which a measured rate says more than the estimate from answer times.
const RATE_MIN: Duration = Duration::from_millis(40);

/// Requests of one group that wait for a connection, in no particular order.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<request::Request>,
    busy_since: Option<Instant>,
    departed: f64,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, now: Instant, request: request::Request) {
        self.waiting.push(request);
        self.busy_since.get_or_insert(now);
    }

    /// Notes that a request has left for a member.
    pub fn departed(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        self.departed += 1.0;
        let since = self.busy_since.unwrap_or(now);
        if now.saturating_duration_since(since) > RATE_WINDOW {
            self.departed /= 2.0;
            self.busy_since = Some(now - now.saturating_duration_since(since) / 2);
        }
    }

    /// Estimates when the turn of a request comes that has `ahead` others before it, from the rate at which requests have
    /// left while others waited. `answer_ms` and `side_by_side` stand in until there is one.
    pub fn turn_in(
        &self,
        now: Instant,
        ahead: usize,
        answer_ms: f64,
        side_by_side: f64,
    ) -> Duration {
        let busy_for = self
            .busy_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        // Until something has left, connections may just be opening.
        let unknown = self.departed < 1.0 && busy_for < RATE_WINDOW;
        if unknown || busy_for < RATE_MIN {
            return turn_in(ahead, answer_ms, side_by_side);
        }
        busy_for.mul_f64((ahead as f64 + 1.0) / (self.departed + 1.0))
    }

    /// Removes a request.
    pub fn remove(&mut self, id: id::RequestId) -> Option<request::Request> {
        let index = self.waiting.iter().position(|request| request.id == id)?;
        let request = self.waiting.remove(index);
        self.forget_rate_if_empty();
        Some(request)
    }

    fn forget_rate_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.busy_since = None;
            self.departed = 0.0;
        }
    }

    /// Takes out the requests whose deadline passes before an answer could be there.
    pub fn take_expired(&mut self, answered_at: Instant) -> Vec<request::Request> {
        let (expired, kept) = self
            .waiting
            .drain(..)
            .partition(|request| request.deadline <= answered_at);
        self.waiting = kept;
        self.forget_rate_if_empty();
        expired
    }

    /// Sorts the requests by the order in which they are to be served and returns them. One that is sent now is answered
    /// at `answered_at`.
    pub fn ordered(&mut self, answered_at: Instant) -> &[request::Request] {
        self.waiting
            .sort_by_key(|request| (rank(answered_at, request), request.id));
        &self.waiting
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many waiting requests go before this one.
    pub fn ahead_of(&self, answered_at: Instant, request: &request::Request) -> usize {
        let before =
            |other: &&request::Request| rank(answered_at, other) <= rank(answered_at, request);
        self.waiting.iter().filter(before).count()
    }
}

/// Returns the order of a request: those that can still meet their objective first, by rank and then by objective. Without
/// the first, more load than can be served would make all just too late, one after the other.
fn rank(answered_at: Instant, request: &request::Request) -> (bool, u8, Instant) {
    let late = request.objective_at < answered_at;
    (late, request.priority, request.objective_at)
}

/// Estimates when a request's turn comes from the time of an answer and the number of statements that run side by side.
fn turn_in(ahead: usize, answer_ms: f64, side_by_side: f64) -> Duration {
    let turns = ahead as f64 / side_by_side.max(1.0);
    Duration::from_secs_f64(turns * answer_ms / 1_000.0)
}

/// Returns when a refused caller should come back: after `wait`, in which the cause should have gone, and spread by the
/// request's number, so that not all return at once.
pub fn retry_at(now: Instant, request: id::RequestId, wait: Duration) -> Instant {
    let offset_ms = id::rendezvous_weight(request, 0) % RETRY_SPREAD_MS;
    now + wait.max(RETRY_MIN) + Duration::from_millis(offset_ms)
}
