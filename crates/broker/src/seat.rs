//! What this proxy knows of a member, and its connections there.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::topology;

/// Weight of a new measurement in the running mean of answer times: the last dozen answers decide.
const LATENCY_WEIGHT: f64 = 0.15;
/// Answer time assumed before any was measured, in ms: a mean statement of today's deployments.
const LATENCY_START_MS: f64 = 15.0;
/// Time for which a member is left alone after its first failure; doubles with each further one.
const SUSPEND_MIN: Duration = Duration::from_millis(100);
/// Longest time for which a member is left alone: a member that is back is found within it.
const SUSPEND_MAX: Duration = Duration::from_millis(800);
/// Time for which no connection is opened after the member said that it has none left: a mean statement or two, in which
/// another proxy may return one. Doubles while the answer stays the same.
const FULL_PAUSE_MIN: Duration = Duration::from_millis(30);
/// Longest such pause.
const FULL_PAUSE_MAX: Duration = Duration::from_millis(240);
/// Connections opened to a member at the same time: each takes one of its slots for a while.
const OPENING_MAX: u32 = 2;
/// Time for which a member that refused for want of slots is left alone: about a mean statement.
const BUSY_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a home that refused a request is left alone: about a mean statement's time at each of its slots.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);
/// Weight of a new answer in the running share of failures: the last ten answers decide.
const ERROR_WEIGHT: f64 = 0.1;
/// Time in which the share of failures halves without an answer, so that a member is tried again.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time for which a replica that lacked a point is not asked for it or a later one: a replica's usual delay.
const BEHIND_PAUSE: Duration = Duration::from_millis(100);
/// Part of the allowance that is left after the member had no slot.
const ALLOWANCE_CUT: f64 = 0.7;
/// Statements side by side that every home may grow to: one runs while the next is on its way.
const ALLOWANCE_HOME: f64 = 2.0;
/// Statements side by side that are always allowed.
const ALLOWANCE_MIN: f64 = 1.0;
/// Slots' worth of statements that are allowed at most, for all homes of the group together. Twice the slots keep them
/// filled across a round trip; more would only move the queue from the proxy, which can still refuse or place anew, to the
/// member, which cannot.
const ALLOWANCE_SLOTS: f64 = 2.0;

/// A member, its connections and its condition.
#[derive(Clone, Debug)]
pub struct Seat {
    /// The directory's entry.
    pub member: topology::Member,
    /// Since when the directory has no entry for it.
    pub missing_since: Option<Instant>,
    /// Since when its entry says that it leads.
    pub says_leads_since: Option<Instant>,
    /// Since when it is known to be leaving.
    pub leaving_since: Option<Instant>,
    /// Connections that nothing uses, the one used last at the end.
    pub idle: Vec<Idle>,
    /// Connections being opened.
    pub opening: u32,
    /// Connections held by requests and transactions.
    pub leased: u32,
    /// Statements that run there for this proxy.
    pub running: u32,
    /// Highest point of its log seen in an answer.
    pub applied: Option<floor::Point>,
    /// Running mean of the time of an answer, in ms.
    pub latency_ms: f64,
    /// Failures since the last success.
    pub failures: u32,
    /// Since when it has only failed.
    pub failing_since: Option<Instant>,
    /// Whether the last failure was a refused connection, which only a process that is gone gives at once.
    pub refused: bool,
    /// Last time at which it answered.
    pub answered_at: Option<Instant>,
    /// Until when no request is sent there.
    pub rest_until: Option<Instant>,
    /// Connections refused in a row because the member had none left.
    pub full_in_a_row: u32,
    /// Until when no connection is opened.
    pub full_until: Option<Instant>,
    /// A point that its log lacked, and until when that counts.
    pub lacks: Option<(floor::Point, Instant)>,
    /// Statements that may run there side by side for this proxy; fewer after the member had no slot, and more again
    /// with each answer.
    pub allowance: f64,
    /// Running share of statements that failed, and when the last one did.
    errors: (f64, Option<Instant>),
    /// Proxies that use its slots.
    pub sharers: u32,
    /// Whether it has refused to lead since its entry last said that it leads.
    pub denies_lead: bool,
}

/// A connection that nothing uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Idle {
    /// The connection.
    pub conn: id::ConnId,
    /// Since when.
    pub since: Instant,
}

impl Seat {
    /// Creates a seat without connections.
    pub fn new(member: topology::Member, now: Instant) -> Self {
        let slots = f64::from(member.slots.max(1));
        Self {
            says_leads_since: member.says_leads.then_some(now),
            leaving_since: member.leaving.then_some(now),
            member,
            missing_since: None,
            idle: Vec::new(),
            opening: 0,
            leased: 0,
            running: 0,
            applied: None,
            latency_ms: LATENCY_START_MS,
            failures: 0,
            failing_since: None,
            refused: false,
            answered_at: None,
            rest_until: None,
            full_in_a_row: 0,
            full_until: None,
            lacks: None,
            allowance: ALLOWANCE_SLOTS * slots,
            errors: (0.0, None),
            sharers: 1,
            denies_lead: false,
        }
    }

    /// Notes how many proxies use its slots.
    pub fn share(&mut self, sharers: usize) {
        self.sharers = u32::try_from(sharers.max(1)).unwrap_or(u32::MAX);
        self.allowance = self.allowance.min(self.allowance_max());
    }

    fn allowance_max(&self) -> f64 {
        let slots = f64::from(self.member.slots.max(1));
        let share = ALLOWANCE_SLOTS * slots / f64::from(self.sharers);
        share.max(ALLOWANCE_HOME.min(ALLOWANCE_SLOTS * slots))
    }

    /// Takes a newer entry of the same incarnation.
    pub fn update(&mut self, member: topology::Member, now: Instant) {
        if member.says_leads && !self.member.says_leads {
            self.denies_lead = false;
            self.says_leads_since = Some(now);
        }
        if !member.says_leads {
            self.says_leads_since = None;
        }
        if member.leaving && !self.member.leaving {
            self.leaving_since = Some(now);
        }
        self.missing_since = None;
        self.member = member;
    }

    /// Returns whether new work may be sent: it is listed, stays, and is not left alone after a failure.
    pub fn usable(&self, now: Instant) -> bool {
        self.missing_since.is_none() && !self.member.leaving && !self.rests(now)
    }

    /// Returns whether it is left alone after a failure.
    pub fn rests(&self, now: Instant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Returns whether it has failed and not answered since.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether it has never answered.
    pub fn is_unproven(&self) -> bool {
        self.answered_at.is_none()
    }

    /// Returns whether a connection may be opened. While the member has few left, one at a time is tried.
    pub fn may_open(&self, now: Instant) -> bool {
        let at_once = if self.full_in_a_row > 0 {
            1
        } else {
            OPENING_MAX
        };
        self.opening < at_once && self.full_until.is_none_or(|until| now >= until)
    }

    /// Notes an answer, and how long it took if it was to a statement that ran.
    pub fn answered(&mut self, now: Instant, took: Option<Duration>) {
        self.answered_at = Some(now);
        self.failures = 0;
        self.failing_since = None;
        self.refused = false;
        if let Some(took) = took {
            self.errors.0 *= 1.0 - ERROR_WEIGHT;
            self.allowance = (self.allowance + 1.0 / self.allowance).min(self.allowance_max());
            let took_ms = took.as_secs_f64() * 1_000.0;
            self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms);
        }
    }

    /// Notes a point of its log.
    pub fn reached(&mut self, point: Option<floor::Point>) {
        self.applied = self.applied.max(point);
    }

    /// Notes that it did not answer, and leaves it alone for a while.
    pub fn failed(&mut self, now: Instant, refused: bool) {
        self.failures += 1;
        self.refused = refused;
        self.failing_since.get_or_insert(now);
        let doubled = SUSPEND_MIN * (1 << (self.failures - 1).min(4));
        self.rest(now + doubled.min(SUSPEND_MAX));
    }

    /// Notes that a statement failed there, or broke its connection, while the member answers.
    pub fn erred(&mut self, now: Instant) {
        let share = self.error_share(now);
        self.errors = (share + ERROR_WEIGHT * (1.0 - share), Some(now));
    }

    /// Returns the share of statements that are expected to fail.
    pub fn error_share(&self, now: Instant) -> f64 {
        let (share, Some(at)) = self.errors else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        share * 0.5_f64.powf(age / ERROR_HALF_LIFE.as_secs_f64())
    }

    /// Notes that, as a home, it refused a request.
    pub fn turned_away(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.rest(now + REFUSED_PAUSE);
    }

    /// Notes that all its slots and its queue were full.
    pub fn busy(&mut self, now: Instant) {
        self.allowance = (self.allowance * ALLOWANCE_CUT).max(ALLOWANCE_MIN);
        self.rest(now + BUSY_PAUSE);
    }

    /// Notes that its log lacked a point.
    pub fn behind(&mut self, now: Instant, point: Option<floor::Point>) {
        if let Some(point) = point {
            let known = self.lacks.filter(|(_, until)| now < *until);
            let least = known.map_or(point, |(known, _)| known.min(point));
            self.lacks = Some((least, now + BEHIND_PAUSE));
        }
    }

    /// Returns whether its log is known to lack a point.
    pub fn is_behind(&self, now: Instant, point: Option<floor::Point>) -> bool {
        let lacks = self.lacks.filter(|(_, until)| now < *until);
        lacks.is_some_and(|(lacked, _)| point >= Some(lacked) && point > self.applied)
    }

    /// Returns whether it may be sent another statement.
    pub fn has_room(&self) -> bool {
        f64::from(self.running) + 1.0 <= self.allowance
    }

    /// Notes that it has no connection left.
    pub fn full(&mut self, now: Instant) {
        let doubled = FULL_PAUSE_MIN * (1 << self.full_in_a_row.min(4));
        self.full_in_a_row += 1;
        self.full_until = Some(now + doubled.min(FULL_PAUSE_MAX));
    }

    fn rest(&mut self, until: Instant) {
        self.rest_until = self.rest_until.max(Some(until));
    }

    /// Returns the number of connections, those being opened included.
    pub fn connections(&self) -> u32 {
        self.opening + self.leased + u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }
}
