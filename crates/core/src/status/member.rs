//! What is known of one member.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::event;
use crate::floor;
use crate::id;
use crate::status::ask;

/// Round trips after which a member that owes an answer counts as unreachable.
const DETECT_ROUND_TRIPS: u32 = 8;
/// Shortest time after which a member that owes an answer counts as unreachable.
const DETECT_MIN: Duration = Duration::from_millis(300);
/// Round trips after which an answer is overdue.
const OVERDUE_ROUND_TRIPS: u32 = 2;
/// Shortest time after which an answer is overdue.
const OVERDUE_MIN: Duration = Duration::from_millis(60);
/// Time that a replica is taken to need for an entry before any was measured.
const CATCH_UP_GUESS: Duration = Duration::from_millis(5);
/// Longest time that a replica is taken to need for an entry.
const CATCH_UP_MAX: Duration = Duration::from_secs(2);
/// Samples kept of the group's newest point over time.
const FRESHNESS_SAMPLES: usize = 64;
/// Shortest time between two samples.
const FRESHNESS_STEP: Duration = Duration::from_millis(50);

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member.
    pub id: id::MemberId,
    /// Its newest report.
    pub status: Option<event::Status>,
    /// Start of the newest question that was answered.
    pub answered_at: Option<Instant>,
    /// When the newest report was received.
    pub learned_at: Option<Instant>,
    /// Smoothed round trip time of immediate questions.
    pub round_trip: Duration,
    /// Silence past this instant makes the member unreachable; none while it owes no answer.
    pub suspect_at: Option<Instant>,
    /// Whether the member answers.
    pub reachable: bool,
    /// Questions under way.
    pub asks: ask::Asks,
    /// When the next heartbeat is due.
    pub heartbeat_at: Instant,
    /// No question is sent before this instant, after one that failed.
    pub backoff_until: Instant,
    /// Log entries applied a second, smoothed.
    pub entries_per_second: f64,
    /// Time that held questions waited for their position, smoothed.
    pub catch_up: Duration,
}

impl Member {
    /// Creates a member of which nothing is known.
    pub fn new(id: id::MemberId, now: Instant) -> Self {
        Self {
            id,
            status: None,
            answered_at: None,
            learned_at: None,
            round_trip: Duration::ZERO,
            suspect_at: None,
            reachable: false,
            asks: ask::Asks::default(),
            heartbeat_at: now,
            backoff_until: now,
            entries_per_second: 0.0,
            catch_up: CATCH_UP_GUESS,
        }
    }

    /// Returns the last entry of the member's log, as far as known.
    pub fn last(&self) -> floor::Point {
        self.status.map(|status| status.last).unwrap_or_default()
    }

    /// Takes in a report; returns whether the member became reachable by it.
    pub fn report(&mut self, now: Instant, ask: ask::Ask, status: event::Status) -> bool {
        if ask.min_position == 0 {
            self.learn_round_trip(now - ask.started_at);
        }
        if ask.min_position > 0 {
            let waited = (now - ask.started_at).saturating_sub(self.round_trip);
            self.learn_catch_up(waited, status.last.position >= ask.min_position);
        }
        self.learn_rate(now, status);
        self.learn(now, Some(ask.started_at), status);
        self.answered_at = self.answered_at.max(Some(ask.started_at));
        let owed = self.asks.oldest();
        self.suspect_at = owed.map(|sent_at| sent_at + self.detect_timeout());
        !std::mem::replace(&mut self.reachable, true)
    }

    /// Takes in a report that may have been overtaken by others.
    ///
    /// One that was asked for after the known report had arrived is newer, whatever it says: a member
    /// that lost its log reports less than before. Of two that crossed, the further one is kept, since a
    /// member's term and its log within one term only grow.
    pub fn learn(&mut self, now: Instant, asked_at: Option<Instant>, status: event::Status) {
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

    /// Returns whether the member may still answer in time, although it has not yet.
    pub fn pending(&self, now: Instant) -> bool {
        !self.reachable && self.suspect_at.is_none_or(|at| now < at)
    }

    /// Returns whether no immediate question is under way whose answer may still be expected. One at a
    /// time serves all that wait, whatever the load; one that is overdue holds up nothing.
    pub fn may_ask(&self, now: Instant) -> bool {
        self.asks.immediate.is_empty() || self.is_overdue(now)
    }

    /// Returns whether the newest question should have been answered and another may be sent.
    pub fn is_overdue(&self, now: Instant) -> bool {
        let overdue = self.round_trip * OVERDUE_ROUND_TRIPS + OVERDUE_MIN;
        let newest = self.asks.newest();
        self.asks.has_room() && newest.is_some_and(|sent_at| now >= sent_at + overdue)
    }

    /// Notes that a question was sent.
    pub fn asked(&mut self, now: Instant) {
        let suspect_at = now + self.detect_timeout();
        self.suspect_at.get_or_insert(suspect_at);
    }

    /// Gives the member its full time to answer from now on.
    pub fn grant_time(&mut self, now: Instant) {
        self.suspect_at = self.suspect_at.map(|_| now + self.detect_timeout());
        self.heartbeat_at = self.heartbeat_at.min(now);
    }

    /// Marks the member unreachable once it has been silent for too long; returns whether it just became so.
    pub fn expire(&mut self, now: Instant) -> bool {
        let silent = self.suspect_at.is_some_and(|at| now >= at);
        silent && std::mem::replace(&mut self.reachable, false)
    }

    fn detect_timeout(&self) -> Duration {
        DETECT_MIN.max(self.round_trip * DETECT_ROUND_TRIPS)
    }

    /// Estimates when the member's log will reach a position, from now on.
    pub fn catch_up(&self, now: Instant, position: id::Position) -> Duration {
        let asked = self.asks.held.filter(|ask| ask.min_position <= position);
        // What has taken long already is expected to take as long again.
        let waited = asked.map(|ask| now.saturating_duration_since(ask.started_at));
        let waited = waited.unwrap_or_default().saturating_sub(self.round_trip);
        self.catch_up.max(waited)
    }

    /// Notes that the member was seen with all that the group is known to have written.
    pub fn caught_up(&mut self) {
        self.catch_up = self
            .catch_up
            .min(self.catch_up * 3 / 4 + CATCH_UP_GUESS / 4);
    }

    /// Notes that a position of the member was waited for and not reached.
    pub fn waited_in_vain(&mut self, waited: Duration) {
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
        let Some((known, at)) = self.status.zip(self.answered_at) else {
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

/// Orders reports of one member that crossed on their way.
fn rank(status: event::Status) -> (id::Term, bool, floor::Point) {
    (status.term, status.primary, status.last)
}

/// The group's newest known point over time, from which a member's age follows.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    samples: VecDeque<(Instant, floor::Point)>,
}

impl Freshness {
    /// Notes that the group's newest point was `newest` when a question started at `at`.
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

    /// Returns the latest instant at which a log ending at `point` was the group's newest.
    pub fn fresh_at(&self, point: floor::Point) -> Option<Instant> {
        let index = self.samples.partition_point(|(_, newest)| *newest <= point);
        let (at, _) = self.samples.get(index.checked_sub(1)?)?;
        Some(*at)
    }
}
