//! State of one member, as known from its reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::event;
use crate::floor;
use crate::id;
use crate::status::control_request;

/// Time without an answer after which a member counts as unreachable, as a multiple of its round trip time.
const UNREACHABLE_TIMEOUT_ROUND_TRIPS: u32 = 8;
/// Minimum time without an answer after which a member counts as unreachable.
const UNREACHABLE_TIMEOUT_MIN: Duration = Duration::from_millis(300);
/// Time after which an answer is overdue, as a multiple of the member's round trip time.
const OVERDUE_ROUND_TRIPS: u32 = 2;
/// Time added to the round trips after which an answer is overdue.
const OVERDUE_MARGIN: Duration = Duration::from_millis(60);
/// Value of [`Member::catch_up_estimate`] before any measurement.
const CATCH_UP_ESTIMATE_INITIAL: Duration = Duration::from_millis(5);
/// Maximum of [`Member::catch_up_estimate`] after a wait in vain.
const CATCH_UP_ESTIMATE_MAX: Duration = Duration::from_secs(2);
/// Maximum number of samples of the group's newest point.
const FRESHNESS_SAMPLES_MAX: usize = 64;
/// Minimum time between two samples of the group's newest point.
const FRESHNESS_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

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
    pub status_received_at: Option<Instant>,
    /// Smoothed round trip time of immediate control requests.
    pub round_trip: Duration,
    /// When the member becomes unreachable unless it answers; `None` while all immediate requests are answered.
    pub unreachable_at: Option<Instant>,
    /// Whether the member has answered and not been silent for too long since.
    pub reachable: bool,
    /// Control requests that the member has not answered.
    pub control_requests: control_request::ControlRequests,
    /// When the next heartbeat to the member is due.
    pub heartbeat_at: Instant,
    /// Earliest time of the next control request, after one that failed.
    pub backoff_until: Instant,
    /// Smoothed growth of the member's log, in entries per second.
    pub entries_per_second: f64,
    /// Smoothed time that the member needs to reach the position of a delayed control request.
    pub catch_up_estimate: Duration,
}

impl Member {
    /// Creates the state of a member that has not reported yet.
    pub fn new(id: id::MemberId, now: Instant) -> Self {
        Self {
            id,
            status: None,
            answered_request_sent_at: None,
            status_received_at: None,
            round_trip: Duration::ZERO,
            unreachable_at: None,
            reachable: false,
            control_requests: control_request::ControlRequests::default(),
            heartbeat_at: now,
            backoff_until: now,
            entries_per_second: 0.0,
            catch_up_estimate: CATCH_UP_ESTIMATE_INITIAL,
        }
    }

    /// Returns the point of the last entry in the member's newest report; the zero point before its first report.
    pub fn last_point(&self) -> floor::Point {
        self.status.map(|status| status.last).unwrap_or_default()
    }

    /// Records the member's answer to a control request; returns whether it makes the member reachable.
    pub fn record_answer(
        &mut self,
        now: Instant,
        control_request: control_request::ControlRequest,
        status: event::Status,
    ) -> bool {
        if control_request.min_position == 0 {
            self.update_round_trip(now - control_request.sent_at);
        }
        if control_request.min_position > 0 {
            let waited = (now - control_request.sent_at).saturating_sub(self.round_trip);
            self.update_catch_up_estimate(
                waited,
                status.last.position >= control_request.min_position,
            );
        }
        self.update_log_growth(now, status);
        self.record_status(now, Some(control_request.sent_at), status);
        self.answered_request_sent_at = self
            .answered_request_sent_at
            .max(Some(control_request.sent_at));
        let oldest_sent_at = self.control_requests.oldest_sent_at();
        self.unreachable_at = oldest_sent_at.map(|sent_at| sent_at + self.unreachable_timeout());
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
        request_sent_at: Option<Instant>,
        status: event::Status,
    ) {
        let is_newer = match (request_sent_at, self.status_received_at) {
            (Some(sent_at), Some(received_at)) => sent_at > received_at,
            (_, received_at) => received_at.is_none(),
        };
        let is_more_advanced = self
            .status
            .is_none_or(|known| report_order(known) <= report_order(status));
        if is_newer || is_more_advanced {
            self.status = Some(status);
            self.status_received_at = Some(now);
        }
    }

    /// Returns whether the member has not answered yet and its time to answer has not run out.
    pub fn is_pending(&self, now: Instant) -> bool {
        !self.reachable && self.unreachable_at.is_none_or(|at| now < at)
    }

    /// Returns whether no immediate request is unanswered, or the newest is overdue. One request at a time serves all
    /// waiting reads, whatever the load; an overdue request does not block the next.
    pub fn may_send_immediate(&self, now: Instant) -> bool {
        self.control_requests.immediate.is_empty() || self.may_repeat_overdue(now)
    }

    /// Returns whether the answer to the newest immediate request is overdue and there is room for another request.
    pub fn may_repeat_overdue(&self, now: Instant) -> bool {
        let overdue_after = self.round_trip * OVERDUE_ROUND_TRIPS + OVERDUE_MARGIN;
        let newest_sent_at = self.control_requests.newest_sent_at();
        self.control_requests.has_room()
            && newest_sent_at.is_some_and(|sent_at| now >= sent_at + overdue_after)
    }

    /// Starts the member's time to answer, unless it is running.
    pub fn start_unreachable_timeout(&mut self, now: Instant) {
        let unreachable_at = now + self.unreachable_timeout();
        self.unreachable_at.get_or_insert(unreachable_at);
    }

    /// Restarts the member's time to answer, and makes its next heartbeat due now.
    pub fn restart_unreachable_timeout(&mut self, now: Instant) {
        self.unreachable_at = self
            .unreachable_at
            .map(|_| now + self.unreachable_timeout());
        self.heartbeat_at = self.heartbeat_at.min(now);
    }

    /// Marks the member unreachable if its time to answer has run out; returns whether it was reachable until now.
    pub fn mark_unreachable_if_silent(&mut self, now: Instant) -> bool {
        let silent = self.unreachable_at.is_some_and(|at| now >= at);
        silent && std::mem::replace(&mut self.reachable, false)
    }

    fn unreachable_timeout(&self) -> Duration {
        UNREACHABLE_TIMEOUT_MIN.max(self.round_trip * UNREACHABLE_TIMEOUT_ROUND_TRIPS)
    }

    /// Estimates the time until the member's log reaches a position.
    pub fn estimated_catch_up(&self, now: Instant, position: id::Position) -> Duration {
        let request = self
            .control_requests
            .delayed
            .filter(|request| request.min_position <= position);
        // A wait that has lasted for some time is expected to last as long again.
        let waited = request.map(|request| now.saturating_duration_since(request.sent_at));
        let waited = waited.unwrap_or_default().saturating_sub(self.round_trip);
        self.catch_up_estimate.max(waited)
    }

    /// Lowers the estimate of the catch-up time: the member has every entry that the group is known to have.
    pub fn record_caught_up(&mut self) {
        self.catch_up_estimate = self
            .catch_up_estimate
            .min(self.catch_up_estimate * 3 / 4 + CATCH_UP_ESTIMATE_INITIAL / 4);
    }

    /// Raises the estimate of the catch-up time: a read waited this long and the member did not reach its position.
    pub fn record_missed_wait(&mut self, waited: Duration) {
        self.catch_up_estimate = self
            .catch_up_estimate
            .max(waited)
            .min(CATCH_UP_ESTIMATE_MAX);
    }

    fn update_catch_up_estimate(&mut self, waited: Duration, reached: bool) {
        self.catch_up_estimate = match reached {
            true => self.catch_up_estimate * 3 / 4 + waited / 4,
            false => (self.catch_up_estimate.max(waited) * 2).min(CATCH_UP_ESTIMATE_MAX),
        };
    }

    fn update_round_trip(&mut self, sample: Duration) {
        self.round_trip = match self.round_trip {
            Duration::ZERO => sample,
            known => known * 7 / 8 + sample / 8,
        };
    }

    fn update_log_growth(&mut self, now: Instant, status: event::Status) {
        let Some((known, since)) = self.status.zip(self.answered_request_sent_at) else {
            return;
        };
        let seconds = now.saturating_duration_since(since).as_secs_f64();
        if seconds <= 0.0 || status.last < known.last {
            return;
        }
        let entries = status.last.position.saturating_sub(known.last.position) as f64;
        self.entries_per_second = self.entries_per_second * 0.75 + entries / seconds * 0.25;
    }
}

/// Returns a sort key for reports of one member that crossed on their way: the more advanced report has the higher
/// key.
fn report_order(status: event::Status) -> (id::Term, bool, floor::Point) {
    (status.term, status.primary, status.last)
}

/// Samples of the group's newest known point over time. They tell how old a member's log is.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    samples: VecDeque<(Instant, floor::Point)>,
}

impl Freshness {
    /// Records that the group's newest point was `newest` at time `at`.
    pub fn record(&mut self, at: Instant, newest: floor::Point) {
        if let Some((last_at, last)) = self.samples.back_mut()
            && at < *last_at + FRESHNESS_SAMPLE_INTERVAL
        {
            *last = newest.max(*last);
            return;
        }
        let newest = self
            .samples
            .back()
            .map_or(newest, |(_, last)| newest.max(*last));
        self.samples.push_back((at, newest));
        if self.samples.len() > FRESHNESS_SAMPLES_MAX {
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
