//! State of a member or a home as this proxy sees it, and the connections to it.
//!
//! In this module, a member fails if it does not answer: the connection cannot be opened, or an answer does not come in time.
//! A statement that is answered with an error is a statement error.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::pace;
use crate::revision;
use crate::topology;

/// Weight of a new measurement in the moving average of answer times: about the last dozen answers count.
const LATENCY_WEIGHT: f64 = 0.15;
/// Answer time assumed before the first measurement, in ms.
const LATENCY_START_MS: f64 = 15.0;
/// Back-off of a member after its first failure. Each further failure doubles the back-off.
const FAILURE_BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest back-off of a member, which bounds the time until the proxy notices that the member is back.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Time for which no connection is opened after the member has reported that it allows no further connection: one or two
/// statements may end in it, after which another proxy may close its connection. Each further such report doubles the time.
const FULL_BACKOFF_MIN: Duration = Duration::from_millis(30);
/// Longest time for which no connection is opened after such a report.
const FULL_BACKOFF_MAX: Duration = Duration::from_millis(240);
/// Number of connections to a member that may be opening at the same time. Each takes one of the member's slots while it is
/// set up.
const OPENING_MAX: u32 = 2;
/// Back-off of a member that refused a statement because its slots and its queue were full, in which a statement ends.
const BUSY_BACKOFF: Duration = Duration::from_millis(20);
/// Back-off of a home that refused a request, in which the home can answer the statements that it runs.
const HOME_BUSY_BACKOFF: Duration = Duration::from_millis(100);
/// Weight of a new answer in the moving error rate: about the last ten answers count.
const ERROR_WEIGHT: f64 = 0.1;
/// Time in which the error rate halves without an answer, so that the member gets requests again.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time for which a replica gets no read whose floor is at or above a point that its log lacked. A replica has usually
/// received the point by then.
const MISSING_POINT_TIMEOUT: Duration = Duration::from_millis(100);
/// Factor by which the allowance (see [`MemberState::allowance`]) shrinks when the member reports that it is busy.
const ALLOWANCE_CUT: f64 = 0.7;
/// Number of statements up to which the allowance may always grow, even if the proxy's share of the slots is smaller: while
/// one statement runs, the next is on its way to the member.
const ALLOWANCE_MAX_MIN: f64 = 2.0;
/// Smallest allowance.
const ALLOWANCE_MIN: f64 = 1.0;
/// Concurrent statements that are allowed per slot, for all homes of the group together, except that each home may have
/// [`ALLOWANCE_MAX_MIN`]. Two per slot keep the slots filled across a round trip. More would only move the queue from the
/// proxy, which can still refuse a request or choose another member, to the member, which cannot.
const ALLOWANCE_PER_SLOT: f64 = 2.0;
/// Processes of each proxy whose connections must fit beside each other within the member's limit: a member keeps the
/// connections of a VM that lost power for seconds, while the restarted proxy needs new ones.
const GENERATIONS: u32 = 2;
/// Smallest share of a member's connections: with a single one, a transaction that waits for its caller would block all
/// other requests.
const CONNECTION_SHARE_MIN: u32 = 2;

/// Number of malformed answers, without a usable one in between, from which a member is avoided: fewer may be due to single rows.
const MALFORMED_ANSWERS_MIN: u32 = 3;
/// Time for which a member is first avoided. Each further malformed answer doubles the time.
const AVOIDANCE_MIN: Duration = Duration::from_millis(500);
/// Longest time for which a member is avoided, which bounds the time until it is used again after it has recovered.
const AVOIDANCE_MAX: Duration = Duration::from_secs(8);

/// State of a member or of another proxy that is a home, with the connections to it.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Newest entry of the member in the directory.
    pub entry: topology::Member,
    /// Instant of the member's first entry.
    pub first_listed_at: Instant,
    /// Instant since which the directory has no entry of the member.
    pub unlisted_since: Option<Instant>,
    /// Newest revision of the directory at which the entry was missing.
    pub missing_at: Option<revision::Revision>,
    /// Whether the entry has been missing for so long that the member counts as gone. It is kept until it has been asked.
    pub counts_as_gone: bool,
    /// Instant from which this proxy has asked the member without an answer while the entry was missing.
    pub unanswered_since: Option<Instant>,
    /// Instant since which the member's entry says that it leads.
    pub listed_as_leader_since: Option<Instant>,
    /// Instant since which the member is known to be leaving.
    pub leaving_since: Option<Instant>,
    /// Idle connections, the one used last at the end.
    pub idle: Vec<IdleConnection>,
    /// Number of connections that are being opened.
    pub opening: u32,
    /// Number of connections that are in use by requests, transactions, probes and commands.
    pub leased: u32,
    /// Workspaces of the connections that are being opened for one.
    opening_workspaces: Vec<id::WorkspaceId>,
    /// Number of connections of each workspace that are in use.
    leased_by_workspace: sorted::Map<id::WorkspaceId, u32>,
    /// Number of this proxy's statements that run at the member.
    pub running: u32,
    /// Highest point of the member's log seen in an answer.
    pub reached: Option<floor::Point>,
    /// What the member is known to have received.
    pub receipt: Option<Receipt>,
    /// Instant since which every attempt that begins to replace the leader knows this member and its log: it was listed, or answered
    /// again after a failure that a restart may explain.
    pub known_since: Instant,
    /// Newest term that the member is known to follow or to lead; 0 before its first answer.
    pub term: id::Term,
    /// Newest term that the member is known to have led.
    pub led_term: id::Term,
    /// Instant at which that term became known.
    pub led_term_known_at: Option<Instant>,
    /// Instant at which the member was asked for its newest status, and the term in that status.
    pub newest_status: Option<(Instant, id::Term)>,
    /// Instant at which the member was last asked for its status to renew a lease.
    pub lease_asked_at: Option<Instant>,
    /// Moving average of the answer time, in ms.
    pub latency_ms: f64,
    /// Number of failures to answer since the last answer.
    pub failures: u32,
    /// Instant of the first failure to answer since the last answer.
    pub failing_since: Option<Instant>,
    /// Whether the last failure shows that the member's process is gone: the address refused the connection, or another
    /// process answered there.
    pub process_gone: bool,
    /// Instant of the last answer.
    pub answered_at: Option<Instant>,
    /// Instant until which the member gets no requests.
    pub backoff_until: Option<Instant>,
    /// Number of consecutive attempts to connect that failed because the member allowed no further connection.
    pub rejected_connects: u32,
    /// Instant until which no connection is opened because the member allowed no further connection.
    pub opening_backoff_until: Option<Instant>,
    /// Lowest point that the member's log lacked, and the instant until which the log counts as lacking that point.
    pub missing_point: Option<(floor::Point, Instant)>,
    /// Number of this proxy's statements that may run at the member concurrently. It shrinks when the member reports that
    /// it is busy, and grows with each answered statement up to a maximum.
    pub allowance: f64,
    /// Adaptive concurrency limit; `None` at a home, and at a member that was never listed.
    pub pace: Option<pace::Pace>,
    /// Number of malformed answers since the last usable answer to a statement.
    pub malformed_answers: u32,
    /// Instant until which the member gets only reads that no other member can serve, since its answers are malformed.
    pub avoided_until: Option<Instant>,
    /// Moving rate of statement errors, and the instant of the last one.
    error_rate: (f64, Option<Instant>),
    /// Number of proxies that use the member's slots and connections.
    pub sharers: u32,
    /// Number of connections up to which this proxy opens further ones for requests.
    pub connection_share: u32,
    /// Whether the member has denied that it leads, and neither an answer nor a change of its entry has said otherwise since.
    pub denies_leadership: bool,
}

/// Answer that shows what a member has received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Receipt {
    /// Highest point of the member's log.
    pub point: floor::Point,
    /// Instant at which the answer arrived.
    pub known_at: Instant,
    /// Instant at which the connection was opened. A member that has restarted since may have forgotten a hold.
    pub connected_at: Instant,
}

/// An idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdleConnection {
    /// Identifier of the connection.
    pub conn: id::ConnId,
    /// Instant since which the connection is idle.
    pub since: Instant,
    /// Workspace that the connection serves; `None` for connections to homes, which serve all.
    pub workspace: Option<id::WorkspaceId>,
}

impl MemberState {
    /// Creates the state of a member without connections.
    pub fn new(entry: topology::Member, now: Instant) -> Self {
        let slots = f64::from(entry.slots.max(1));
        Self {
            listed_as_leader_since: entry.listed_as_leader.then_some(now),
            leaving_since: entry.leaving.then_some(now),
            entry,
            first_listed_at: now,
            unlisted_since: None,
            missing_at: None,
            counts_as_gone: false,
            unanswered_since: None,
            idle: Vec::new(),
            opening: 0,
            leased: 0,
            opening_workspaces: Vec::new(),
            leased_by_workspace: sorted::Map::default(),
            running: 0,
            reached: None,
            receipt: None,
            known_since: now,
            term: 0,
            led_term: 0,
            led_term_known_at: None,
            newest_status: None,
            lease_asked_at: None,
            latency_ms: LATENCY_START_MS,
            failures: 0,
            failing_since: None,
            process_gone: false,
            answered_at: None,
            backoff_until: None,
            rejected_connects: 0,
            opening_backoff_until: None,
            missing_point: None,
            allowance: ALLOWANCE_PER_SLOT * slots,
            pace: None,
            malformed_answers: 0,
            avoided_until: None,
            error_rate: (0.0, None),
            sharers: 1,
            connection_share: u32::MAX,
            denies_leadership: false,
        }
    }

    /// Sets the number of proxies that use the member, which allows `connections_max` connections for all of them together.
    /// Lowers the allowance to the new maximum.
    ///
    /// A connection serves one workspace. Where there are several, a proxy keeps more connections than statements may run, so that
    /// fewer have to be replaced.
    pub fn set_sharers(&mut self, sharers: usize, connections_max: u32, serves_workspaces: bool) {
        self.sharers = u32::try_from(sharers.max(1)).unwrap_or(u32::MAX);
        self.allowance = self.allowance.min(self.allowance_max());
        let share = connections_max / self.sharers.saturating_mul(GENERATIONS);
        // More connections than statements that may run would only let more transactions stand open side by side.
        let usable = match serves_workspaces {
            true => u32::MAX,
            false => self.allowance_max().ceil() as u32,
        };
        self.connection_share = share
            .min(usable)
            .max(CONNECTION_SHARE_MIN)
            .min(connections_max);
    }

    /// Returns the highest allowance: this proxy's share of twice the slots, but at least [`ALLOWANCE_MAX_MIN`].
    pub(crate) fn allowance_max(&self) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let share = ALLOWANCE_PER_SLOT * slots / f64::from(self.sharers);
        share.max(ALLOWANCE_MAX_MIN.min(ALLOWANCE_PER_SLOT * slots))
    }

    /// Applies a newer directory entry of the same incarnation.
    ///
    /// The first entry of a newer era may be older than the known one, because the store has lost changes. So a member that
    /// was leaving is still leaving, and a member that begins to be listed as leader may have led before the leader that has
    /// answered since.
    pub fn apply_entry(&mut self, mut entry: topology::Member, now: Instant) {
        let may_be_older = entry.revision.era > self.entry.revision.era;
        entry.leaving |= self.entry.leaving;
        if entry.listed_as_leader && !self.entry.listed_as_leader {
            self.denies_leadership &= may_be_older;
            self.listed_as_leader_since = Some(if may_be_older {
                self.first_listed_at
            } else {
                now
            });
        }
        if !entry.listed_as_leader {
            self.listed_as_leader_since = None;
        }
        if entry.leaving && !self.entry.leaving {
            self.leaving_since = Some(now);
        }
        if self.unlisted_since.take().is_some() {
            self.known_since = now;
        }
        self.counts_as_gone = false;
        self.unanswered_since = None;
        self.entry = entry;
    }

    /// Returns whether the member counts in decisions other than the roster of an attempt and the consents to a lease: it does not
    /// count as gone, or answers although its entry is missing.
    pub fn is_present(&self) -> bool {
        let answers = self.answered_at > self.unlisted_since && !self.is_suspect();
        !self.counts_as_gone || answers
    }

    /// Returns whether a connection should be opened to see whether the member runs: it has not answered for `interval`.
    pub fn is_check_due(&self, now: Instant, interval: Duration) -> bool {
        let answered_lately = self
            .answered_at
            .is_some_and(|at| now.saturating_duration_since(at) < interval);
        let unanswered = !answered_lately || self.is_suspect();
        unanswered && self.opening == 0 && self.may_open(now) && !self.is_backing_off(now)
    }

    /// Returns whether the member, whose entry is missing, has been asked for at least this time and has failed to answer.
    pub fn has_not_answered_for(&self, now: Instant, time: Duration) -> bool {
        let asked_for_long = self
            .unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= time);
        asked_for_long && self.is_suspect() && self.opening == 0
    }

    /// Returns whether the member may get new work: the directory lists it, it is not leaving, and it is not backing off.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.unlisted_since.is_none() && !self.entry.leaving && !self.is_backing_off(now)
    }

    /// Returns whether the member gets no requests for now, after a failure or a refusal.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns whether the member has failed to answer and not answered since. When a member becomes suspect, the log calls
    /// it unreachable.
    pub fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the member has never answered.
    pub fn never_answered(&self) -> bool {
        self.answered_at.is_none()
    }

    /// Returns whether a connection may be opened. After the member has allowed no further connection, only one is opened at
    /// a time until one succeeds.
    pub fn may_open(&self, now: Instant) -> bool {
        let opening_max = if self.rejected_connects > 0 {
            1
        } else {
            OPENING_MAX
        };
        self.opening < opening_max && self.opening_backoff_until.is_none_or(|until| now >= until)
    }

    /// Returns whether a connection may be opened for a request: as [`Self::may_open`], while this proxy has less than its
    /// share of the member's connections.
    pub fn may_open_for_request(&self, now: Instant) -> bool {
        self.may_open(now) && self.connections() < self.connection_share
    }

    /// Records an answer of the member, and the answer time if it answered a statement that took a slot.
    pub fn record_answer(&mut self, now: Instant, took: Option<Duration>) {
        if self.is_suspect() {
            self.known_since = now;
            self.receipt = None;
        }
        self.answered_at = Some(now);
        self.unanswered_since = None;
        self.failures = 0;
        self.failing_since = None;
        self.process_gone = false;
        if let Some(took) = took {
            self.error_rate.0 *= 1.0 - ERROR_WEIGHT;
            self.allowance = (self.allowance + 1.0 / self.allowance).min(self.allowance_max());
            let took_ms = took.as_secs_f64() * 1_000.0;
            self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms);
        }
    }

    /// Records a point that the member's log has reached.
    pub fn record_point(&mut self, point: Option<floor::Point>) {
        self.reached = self.reached.max(point);
        self.term = self.term.max(point.map_or(0, |point| point.term));
    }

    /// Records an answer that shows what the member has received, unless the known one tells as much over an older connection.
    pub fn record_receipt(&mut self, receipt: Receipt) {
        let tells_more = self.receipt.is_none_or(|known| {
            known.point < receipt.point
                || known.point == receipt.point && known.connected_at > receipt.connected_at
        });
        if tells_more {
            self.receipt = Some(receipt);
        }
    }

    /// Returns the receipt of an entry of another member's log.
    pub fn receipt_of(&self, entry: floor::Point) -> Option<Receipt> {
        let receipt = self.receipt?;
        let has_entry = receipt.point.term == entry.term && receipt.point >= entry;
        (has_entry && self.led_term < entry.term).then_some(receipt)
    }

    /// Records that the member leads a term.
    pub fn record_led_term(&mut self, now: Instant, term: id::Term) {
        if term > self.led_term {
            self.led_term = term;
            self.led_term_known_at = Some(now);
        }
    }

    /// Returns a term that the member was known to have led at an instant; 0 if its newest one was not known yet.
    pub fn led_term_known_by(&self, instant: Instant) -> id::Term {
        match self.led_term_known_at <= Some(instant) {
            true => self.led_term,
            false => 0,
        }
    }

    /// Records that the member did not answer, and backs off.
    pub fn record_failure(&mut self, now: Instant, process_gone: bool) {
        self.failures += 1;
        self.process_gone = process_gone;
        self.failing_since.get_or_insert(now);
        let backoff = FAILURE_BACKOFF_MIN * (1 << (self.failures - 1).min(4));
        self.back_off(now + backoff.min(FAILURE_BACKOFF_MAX));
    }

    /// Records that a statement was answered with an error or broke its connection, while the member itself may be healthy.
    pub fn record_statement_error(&mut self, now: Instant) {
        let rate = self.expected_error_rate(now);
        self.error_rate = (rate + ERROR_WEIGHT * (1.0 - rate), Some(now));
    }

    /// Records that an answer was malformed, and avoids the member after several. Returns whether that begins now.
    pub fn record_malformed_answer(&mut self, now: Instant) -> bool {
        self.record_statement_error(now);
        self.malformed_answers = self.malformed_answers.saturating_add(1);
        let Some(doublings) = self.malformed_answers.checked_sub(MALFORMED_ANSWERS_MIN) else {
            return false;
        };
        let avoidance = AVOIDANCE_MIN * (1 << doublings.min(4));
        let until = Some(now + avoidance.min(AVOIDANCE_MAX));
        let begins = self.avoided_until.is_none();
        self.avoided_until = self.avoided_until.max(until);
        begins
    }

    /// Records a usable answer to a statement. Returns whether the member was avoided until now.
    pub fn record_usable_answer(&mut self) -> bool {
        self.malformed_answers = 0;
        self.avoided_until.take().is_some()
    }

    /// Ends the time for which the member is avoided if it is over, and returns whether it is. The next malformed answer begins a longer one.
    pub fn end_avoidance(&mut self, now: Instant) -> bool {
        let is_over = self.avoided_until.is_some_and(|until| until <= now);
        if is_over {
            self.avoided_until = None;
        }
        is_over
    }

    /// Returns the share of statements that are expected to fail at the member.
    pub fn expected_error_rate(&self, now: Instant) -> f64 {
        let (rate, Some(at)) = self.error_rate else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        rate * 0.5_f64.powf(age / ERROR_HALF_LIFE.as_secs_f64())
    }

    /// Records that a home refused a request because it is busy.
    pub fn record_home_refusal(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.back_off(now + HOME_BUSY_BACKOFF);
    }

    /// Records that the member's slots and queue were full.
    pub fn record_busy(&mut self, now: Instant) {
        self.unanswered_since = None;
        self.allowance = (self.allowance * ALLOWANCE_CUT).max(ALLOWANCE_MIN);
        self.back_off(now + BUSY_BACKOFF);
    }

    /// Records that the member's log lacked a point.
    pub fn record_missing_point(&mut self, now: Instant, point: Option<floor::Point>) {
        if let Some(point) = point {
            let known = self.missing_point.filter(|(_, until)| now < *until);
            let lowest = known.map_or(point, |(known, _)| known.min(point));
            self.missing_point = Some((lowest, now + MISSING_POINT_TIMEOUT));
        }
    }

    /// Returns whether the member's log is known to lack a point.
    pub fn is_behind(&self, now: Instant, point: Option<floor::Point>) -> bool {
        let missing = self.missing_point.filter(|(_, until)| now < *until);
        missing.is_some_and(|(lowest, _)| point >= Some(lowest) && point > self.reached)
    }

    /// Returns whether the allowance permits another statement.
    pub fn allows_statement(&self) -> bool {
        f64::from(self.running) + 1.0 <= self.allowance
    }

    /// Records that the member allows no further connection.
    pub fn record_no_connection_left(&mut self, now: Instant) {
        self.unanswered_since = None;
        let backoff = FULL_BACKOFF_MIN * (1 << self.rejected_connects.min(4));
        self.rejected_connects += 1;
        self.opening_backoff_until = Some(now + backoff.min(FULL_BACKOFF_MAX));
    }

    /// Extends the back-off to an instant, unless it already lasts longer.
    fn back_off(&mut self, until: Instant) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// Returns whether there is an idle connection that a request of a workspace may use.
    pub fn has_idle(&self, workspace: Option<id::WorkspaceId>) -> bool {
        self.idle.iter().any(|idle| idle.workspace == workspace)
    }

    /// Begins to use the idle connection of a workspace that was used last.
    pub fn lease(&mut self, workspace: Option<id::WorkspaceId>) -> Option<IdleConnection> {
        let mut idle = self.idle.iter();
        let index = idle.rposition(|idle| idle.workspace == workspace)?;
        let idle = self.idle.remove(index);
        self.leased += 1;
        if let Some(workspace) = workspace {
            *self.leased_by_workspace.entry(workspace) += 1;
        }
        Some(idle)
    }

    /// Begins to use the idle connection that was used last, of any workspace, for a command of the proxy itself.
    pub fn lease_any(&mut self) -> Option<IdleConnection> {
        let workspace = self.idle.last()?.workspace;
        self.lease(workspace)
    }

    /// Counts the connection of a workspace that is no longer in use.
    pub fn end_lease(&mut self, workspace: Option<id::WorkspaceId>) {
        self.leased = self.leased.saturating_sub(1);
        let Some(workspace) = workspace else {
            return;
        };
        let leased = self.leased_by_workspace.entry(workspace);
        *leased = leased.saturating_sub(1);
        if *leased == 0 {
            self.leased_by_workspace.remove(workspace);
        }
    }

    /// Counts a connection that begins to open for a workspace.
    pub fn start_opening(&mut self, workspace: Option<id::WorkspaceId>) {
        self.opening += 1;
        self.opening_workspaces.extend(workspace);
    }

    /// Counts a connection that has been opened for a workspace, or could not be opened.
    pub fn end_opening(&mut self, workspace: Option<id::WorkspaceId>) {
        self.opening = self.opening.saturating_sub(1);
        let mut opening = self.opening_workspaces.iter();
        if let Some(index) = opening.position(|opening| Some(*opening) == workspace) {
            self.opening_workspaces.swap_remove(index);
        }
    }

    /// Returns the number of connections that are being opened for a workspace; without one, for none.
    pub fn opening_for(&self, workspace: Option<id::WorkspaceId>) -> usize {
        match workspace {
            Some(workspace) => {
                let opening = self.opening_workspaces.iter();
                opening.filter(|opening| **opening == workspace).count()
            }
            None => usize::try_from(self.opening)
                .unwrap_or(usize::MAX)
                .saturating_sub(self.opening_workspaces.len()),
        }
    }

    /// Returns the number of connections of a workspace that are opening or in use.
    pub fn held_by(&self, workspace: id::WorkspaceId) -> u32 {
        let leased = self.leased_by_workspace.get(workspace).copied();
        let opening = u32::try_from(self.opening_for(Some(workspace))).unwrap_or(u32::MAX);
        leased.unwrap_or_default().saturating_add(opening)
    }

    /// Returns the number of connections, including those being opened.
    pub fn connections(&self) -> u32 {
        self.opening + self.leased + u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }
}
