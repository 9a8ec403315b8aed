//! State of one member, as known from its reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::event;
use crate::floor;
use crate::id;
use crate::status::control_request;

/// Time without an answer after which a member counts as unreachable, as a multiple of its round trip time.
const DETECT_ROUND_TRIPS: u32 = 8;
/// Minimum time without an answer after which a member counts as unreachable.
const DETECT_MIN: Duration = Duration::from_millis(300);
/// Time after which an answer is overdue, as a multiple of the member's round trip time.
const OVERDUE_ROUND_TRIPS: u32 = 2;
/// Time added to the round trips after which an answer is overdue.
const OVERDUE_MIN: Duration = Duration::from_millis(60);
/// Estimate of the time that a replica needs to apply an entry, before any measurement.
const CATCH_UP_GUESS: Duration = Duration::from_millis(5);
/// Maximum estimate of the time that a replica needs to apply an entry.
const CATCH_UP_MAX: Duration = Duration::from_secs(2);
/// Maximum number of samples of the group's newest point.
const FRESHNESS_SAMPLES: usize = 64;
/// Minimum time between two samples.
const FRESHNESS_STEP: Duration = Duration::from_millis(50);

/// State of one member, as known from its reports.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identifier of the member.
    pub id: id::MemberId,
    /// Newest report of the member.
    pub status: Option<event::Status>,
    /// When the newest control request that the member has answered was sent.
    pub answered_request_sent_at: Option<Instant>,
    /// When the proxy received the newest report.
    pub learned_at: Option<Instant>,
    /// Smoothed round trip time of immediate control requests.
    pub round_trip: Duration,
    /// When the member becomes unreachable unless it answers; none while no request is unanswered.
    pub suspect_at: Option<Instant>,
    /// Whether the member has answered and not been silent for too long since.
    pub reachable: bool,
    /// Control requests that the member has not answered.
    pub control_requests: control_request::ControlRequests,
    /// When the next heartbeat to the member is due.
    pub heartbeat_at: Instant,
    /// Earliest time of the next control request, after one that failed.
    pub backoff_until: Instant,
    /// Smoothed number of log entries that the member applies per second.
    pub entries_per_second: f64,
    /// Smoothed time that the member needs to reach the position of a delayed control request.
    pub catch_up: Duration,
}

impl Member {
    /// Creates the state of a member that has not reported yet.
    pub fn new(id: id::MemberId, now: Instant) -> Self {
        Self {
            id,
            status: None,
            answered_request_sent_at: None,
            learned_at: None,
            round_trip: Duration::ZERO,
            suspect_at: None,
            reachable: false,
            control_requests: control_request::ControlRequests::default(),
            heartbeat_at: now,
            backoff_until: now,
            entries_per_second: 0.0,
            catch_up: CATCH_UP_GUESS,
        }
    }

    /// Returns the last known entry of the member's log.
    pub fn last(&self) -> floor::Point {
        self.status.map(|status| status.last).unwrap_or_default()
    }

    /// Records the member's answer to a control request; returns whether it makes the member reachable.
    pub fn report(
        &mut self,
        now: Instant,
        control_request: control_request::ControlRequest,
        status: event::Status,
    ) -> bool {
        if control_request.min_position == 0 {
            self.learn_round_trip(now - control_request.started_at);
        }
        if control_request.min_position > 0 {
            let waited = (now - control_request.started_at).saturating_sub(self.round_trip);
            self.learn_catch_up(waited, status.last.position >= control_request.min_position);
        }
        self.learn_rate(now, status);
        self.record_status(now, Some(control_request.started_at), status);
        self.answered_request_sent_at = self
            .answered_request_sent_at
            .max(Some(control_request.started_at));
        let owed = self.control_requests.oldest();
        self.suspect_at = owed.map(|sent_at| sent_at + self.detect_timeout());
        !std::mem::replace(&mut self.reachable, true)
    }

    /// Records a report unless a newer one is known. Reports may arrive out of order.
    ///
    /// A report that was requested after the known report arrived is newer, whatever its content: a member that
    /// lost its log reports an earlier point than before. Of two reports that crossed on their way, the more
    /// advanced one is kept, since a member's term, and its log within one term, only grow.
    pub fn record_status(
        &mut self,
        now: Instant,
        asked_at: Option<Instant>,
        status: event::Status,
    ) {
        let later = match (asked_at, self.learned_at) {
            (Some(asked_at), Some(learned_at)) => asked_at > learned_at,
            (_, learned_at) => learned_at.is_none(),
        };
        let further = self.status.is_none_or(|known| rank(known) <= rank(status));
        if later || further {
            self.status = Some(status);
            self.learned_at = Some(now);
        }
    }

    /// Returns whether the member has not answered yet and its time to answer has not run out.
    pub fn pending(&self, now: Instant) -> bool {
        !self.reachable && self.suspect_at.is_none_or(|at| now < at)
    }

    /// Returns whether no immediate request is unanswered, or the newest is overdue. One request at a time serves all
    /// waiting reads, whatever the load; an overdue request does not block the next.
    pub fn may_ask(&self, now: Instant) -> bool {
        self.control_requests.immediate.is_empty() || self.is_overdue(now)
    }

    /// Returns whether the answer to the newest immediate request is overdue and another request may be sent.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let overdue = self.round_trip * OVERDUE_ROUND_TRIPS + OVERDUE_MIN;
        let newest = self.control_requests.newest();
        self.control_requests.has_room() && newest.is_some_and(|sent_at| now >= sent_at + overdue)
    }

    /// Starts the member's time to answer, unless it is running.
    pub fn asked(&mut self, now: Instant) {
        let suspect_at = now + self.detect_timeout();
        self.suspect_at.get_or_insert(suspect_at);
    }

    /// Restarts the member's time to answer, and makes its next heartbeat due now.
    pub fn grant_time(&mut self, now: Instant) {
        self.suspect_at = self.suspect_at.map(|_| now + self.detect_timeout());
        self.heartbeat_at = self.heartbeat_at.min(now);
    }

    /// Marks the member unreachable if its time to answer has run out; returns whether it was reachable until now.
    pub fn expire(&mut self, now: Instant) -> bool {
        let silent = self.suspect_at.is_some_and(|at| now >= at);
        silent && std::mem::replace(&mut self.reachable, false)
    }

    fn detect_timeout(&self) -> Duration {
        DETECT_MIN.max(self.round_trip * DETECT_ROUND_TRIPS)
    }

    /// Estimates the time until the member's log reaches a position.
    pub fn catch_up(&self, now: Instant, position: id::Position) -> Duration {
        let asked = self
            .control_requests
            .held
            .filter(|control_request| control_request.min_position <= position);
        // A wait that has lasted for some time is expected to last as long again.
        let waited =
            asked.map(|control_request| now.saturating_duration_since(control_request.started_at));
        let waited = waited.unwrap_or_default().saturating_sub(self.round_trip);
        self.catch_up.max(waited)
    }

    /// Lowers the estimate of the catch-up time: the member has every entry that the group is known to have.
    pub fn caught_up(&mut self) {
        self.catch_up = self
            .catch_up
            .min(self.catch_up * 3 / 4 + CATCH_UP_GUESS / 4);
    }

    /// Raises the estimate of the catch-up time: a read waited this long and the member did not reach its position.
    pub fn record_missed_wait(&mut self, waited: Duration) {
        self.catch_up = self.catch_up.max(waited).min(CATCH_UP_MAX);
    }

    fn learn_catch_up(&mut self, waited: Duration, reached: bool) {
        self.catch_up = match reached {
            true => self.catch_up * 3 / 4 + waited / 4,
            false => (self.catch_up.max(waited) * 2).min(CATCH_UP_MAX),
        };
    }

    fn learn_round_trip(&mut self, sample: Duration) {
        self.round_trip = match self.round_trip {
            Duration::ZERO => sample,
            known => known * 7 / 8 + sample / 8,
        };
    }

    fn learn_rate(&mut self, now: Instant, status: event::Status) {
        let Some((known, at)) = self.status.zip(self.answered_request_sent_at) else {
            return;
        };
        let seconds = now.saturating_duration_since(at).as_secs_f64();
        if seconds <= 0.0 || status.last < known.last {
            return;
        }
        let entries = status.last.position.saturating_sub(known.last.position) as f64;
        self.entries_per_second = self.entries_per_second * 0.75 + entries / seconds * 0.25;
    }
}

/// Returns a sort key for reports of one member that crossed on their way: the newer report has the higher key.
fn rank(status: event::Status) -> (id::Term, bool, floor::Point) {
    (status.term, status.primary, status.last)
}

/// Samples of the group's newest known point over time. They tell how old a member's log is.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    samples: VecDeque<(Instant, floor::Point)>,
}

impl Freshness {
    /// Records that the group's newest point was `newest` at time `at`.
    pub fn note(&mut self, at: Instant, newest: floor::Point) {
        if let Some((last_at, last)) = self.samples.back_mut()
            && at < *last_at + FRESHNESS_STEP
        {
            *last = newest.max(*last);
            return;
        }
        let newest = self
            .samples
            .back()
            .map_or(newest, |(_, last)| newest.max(*last));
        self.samples.push_back((at, newest));
        if self.samples.len() > FRESHNESS_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the latest sampled instant at which the group's newest known point was at or before `point`.
    pub fn fresh_at(&self, point: floor::Point) -> Option<Instant> {
        let index = self.samples.partition_point(|(_, newest)| *newest <= point);
        let (at, _) = self.samples.get(index.checked_sub(1)?)?;
        Some(*at)
    }
}
