//! The order of waiting requests, and the estimate of their waiting time.
//!
//! While more requests arrive than the slots can serve (bursts, slow members), requests that can still meet their objective
//! go first, by priority and then by objective. The broker refuses a request that cannot be served before its deadline when
//! it arrives, rather than when the deadline has passed.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::fairness;
use crate::request;

/// Shortest delay before a refused caller should retry, in which a few statements end.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Range of the delay that is added per request, so that callers refused together do not retry together.
const RETRY_SPREAD_MS: u64 = 200;

/// Time over which the rate of departures (requests that get a connection) is measured. After it, the number of departures
/// and the measured time are halved, so that older departures count less.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Time of measuring after which the departure rate predicts better than the estimate from answer times.
const RATE_TIME_MIN: Duration = Duration::from_millis(40);

/// Requests of one group that wait for a connection, in no particular order, with their departure rate.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<request::Request>,
    /// Start of the measurement of the departure rate, moved forward when the measured time is halved; `None` while no
    /// request waits.
    measured_since: Option<Instant>,
    /// Number of departures since `measured_since`, halved with the measured time.
    departures: f64,
    order: fairness::FairOrder,
}

impl Queue {
    /// Adds a waiting request.
    pub fn push(&mut self, now: Instant, request: request::Request) {
        if let Some(workspace) = request.workspace {
            self.order.add(request.id, workspace);
        }
        self.waiting.push(request);
        self.measured_since.get_or_insert(now);
    }

    /// Records that a request has got a connection.
    pub fn record_departure(&mut self, now: Instant) {
        if self.waiting.is_empty() {
            return;
        }
        self.departures += 1.0;
        let since = self.measured_since.unwrap_or(now);
        if now.saturating_duration_since(since) > RATE_WINDOW {
            self.departures /= 2.0;
            self.measured_since = Some(now - now.saturating_duration_since(since) / 2);
        }
    }

    /// Estimates the waiting time of a request with `ahead` others before it, from the rate at which requests got
    /// connections while others waited.
    ///
    /// Until the rate is known, the estimate assumes answers after `answer_ms` to `concurrency` concurrent statements.
    pub fn estimated_wait(
        &self,
        now: Instant,
        ahead: usize,
        answer_ms: f64,
        concurrency: f64,
    ) -> Duration {
        let measured_for = self
            .measured_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        // Before the first departure, the first connections may still be opening.
        let unknown = self.departures < 1.0 && measured_for < RATE_WINDOW;
        if unknown || measured_for < RATE_TIME_MIN {
            return wait_from_answer_time(ahead, answer_ms, concurrency);
        }
        measured_for.mul_f64((ahead as f64 + 1.0) / (self.departures + 1.0))
    }

    /// Removes a request and returns it, if it waits. `is_served` tells whether it gets a connection.
    pub fn remove(&mut self, id: id::RequestId, is_served: bool) -> Option<request::Request> {
        self.order.remove(id, is_served);
        let index = self.waiting.iter().position(|request| request.id == id)?;
        let request = self.waiting.remove(index);
        self.reset_rate_if_empty();
        Some(request)
    }

    fn reset_rate_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.measured_since = None;
            self.departures = 0.0;
        }
    }

    /// Removes and returns the requests whose deadline is at or before `answer_expected_at`, the expected instant of an answer.
    pub fn take_expired(&mut self, answer_expected_at: Instant) -> Vec<request::Request> {
        let (expired, kept): (Vec<_>, Vec<_>) = self
            .waiting
            .drain(..)
            .partition(|request| request.deadline <= answer_expected_at);
        self.waiting = kept;
        for request in &expired {
            self.order.remove(request.id, false);
        }
        self.reset_rate_if_empty();
        expired
    }

    /// Sorts the requests by the order in which they are to be served and returns them. `answer_expected_at` is the expected
    /// instant of the answer to a request sent now.
    pub fn in_order(&mut self, answer_expected_at: Instant) -> &[request::Request] {
        let order = &self.order;
        self.waiting.sort_by_key(|request| {
            let tag = order.tag(request.id);
            (sort_key(answer_expected_at, request, tag), request.id)
        });
        &self.waiting
    }

    /// Returns the earliest deadline of the waiting requests.
    pub fn earliest_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|request| request.deadline).min()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests that are to be served before `request`.
    pub fn count_ahead(&self, answer_expected_at: Instant, request: &request::Request) -> usize {
        let tag = match request.workspace {
            Some(workspace) => self.order.next_tag(workspace),
            None => self.order.tag(request.id),
        };
        let key = sort_key(answer_expected_at, request, tag);
        let before = |other: &&request::Request| {
            sort_key(answer_expected_at, other, self.order.tag(other.id)) <= key
        };
        self.waiting.iter().filter(before).count()
    }
}

/// Returns the sort key of a request: requests that can still meet their objective first, by priority, fairness between workspaces, and
/// then by objective. Without workspaces all tags are equal.
///
/// If requests that miss their objective kept their place, under overload each request in turn would be served just too
/// misses_objective.
fn sort_key(
    answer_expected_at: Instant,
    request: &request::Request,
    tag: fairness::Tag,
) -> (bool, u8, fairness::Tag, Instant) {
    let misses_objective = request.objective_at < answer_expected_at;
    (
        misses_objective,
        request.priority,
        tag,
        request.objective_at,
    )
}

/// Estimates the waiting time of a request from the mean answer time and the number of statements that run concurrently.
fn wait_from_answer_time(ahead: usize, answer_ms: f64, concurrency: f64) -> Duration {
    let rounds = ahead as f64 / concurrency.max(1.0);
    Duration::from_secs_f64(rounds * answer_ms / 1_000.0)
}

/// Returns the instant at which a refused caller should retry: after `wait`, the expected duration of the cause, plus a
/// delay derived from the request's identifier, so that refused callers do not retry together.
pub fn retry_at(now: Instant, request: id::RequestId, wait: Duration) -> Instant {
    // The weight serves as a plain hash of the identifier.
    let offset_ms = id::rendezvous_weight(request, 0) % RETRY_SPREAD_MS;
    now + wait.max(RETRY_MIN) + Duration::from_millis(offset_ms)
}
