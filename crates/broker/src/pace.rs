//! Adaptive concurrency limit of a member.
//!
//! A member in full use is limited only by its allowance, see [`crate::member_state::MemberState::allowance`]. The limit of this
//! module begins when the member starts, stops answering, or fails, refuses or delays far more statements than usual. It grows with
//! each fast answer and ends when it has reached full use.
//!
//! A limit below 1 is the share of time in which one statement runs: a pause follows each answer. Several homes share a member, so
//! one statement at a time for each of them may already be more than its slots.

use std::time::{Duration, Instant};

/// Factor by which the limit grows with a fast answer. From the lowest limit of one of six homes it reaches full use with 18 fast
/// answers, from the first limit with 12.
const GROWTH: f64 = 1.25;
/// Factor by which the limit shrinks with a slow or busy answer.
const CUT: f64 = 0.5;
/// Lowest limit, as a part of the first one.
const LOWEST_PART: f64 = 0.25;
/// Answer time, as a multiple of the usual one, up to which an answer is fast. A queue of one statement per slot doubles the time.
const FAST_RATIO: f64 = 2.0;
/// Answer time, as a multiple of the usual one, from which an answer is slow. Homes whose allowances are all in use cause up to 2.4
/// times the usual time at a healthy member with 5 slots, which must not begin a limit.
const SLOW_RATIO: f64 = 4.0;
/// Smallest usual answer time in ratios, in ms. Below it, a few ms of the scheduler or the network would make an answer slow.
const USUAL_MIN_MS: f64 = 5.0;
/// Weight of an answer in the usual answer time: about the last 50 answers count.
const USUAL_WEIGHT: f64 = 0.02;
/// Weight while the member is limited. Statements that have become slower for good are usual after some 40 answers.
const USUAL_WEIGHT_LIMITED: f64 = 0.005;
/// Number of answers from which the usual answer time is known.
const USUAL_ANSWERS_MIN: u32 = 20;
/// Weight of an answer in the recent answer time: about the last three answers count. Two answers in a row of 7 times the usual time
/// begin the limit.
const RECENT_WEIGHT: f64 = 0.3;
/// Longest answer time, as a multiple of the usual one, that counts in the recent one, so that a single answer does not begin the limit.
const RECENT_RATIO_MAX: f64 = 8.0;
/// Weight of an answer in the shares of failed and of busy answers: about the last 20 answers count.
const SHARE_WEIGHT: f64 = 0.05;
/// Weight of a broken connection, which says more than a failed statement. A single one stays below [`FAILED_SHARE_MAX`].
const BROKEN_WEIGHT: f64 = 0.06;
/// Share of failed statements above which the limit begins: of the last 20 answers, about three failed.
const FAILED_SHARE_MAX: f64 = 0.1;
/// Share of busy answers above which the limit begins. Members that many homes use rejected 11.5% of the arrivals on a busy day while
/// they were healthy.
const BUSY_SHARE_MAX: f64 = 0.3;
/// Longest pause, which bounds the time until a home notices that the member is well.
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// Longest pause of a leader, for which writes wait.
const LEADER_PAUSE_MAX: Duration = Duration::from_millis(100);
/// Part of a leader's slots that its limit leaves to all homes together, since no other member takes writes.
const LEADER_SLOTS_PART: f64 = 0.5;
/// Time after a bad answer until the member is preferred for a single read, which shows whether it is well. Doubles with each further
/// bad answer.
const TRIAL_DELAY_MIN: Duration = Duration::from_millis(250);
/// Longest such time.
const TRIAL_DELAY_MAX: Duration = Duration::from_secs(1);
/// Longest time for which an entry can announce that its member is slow.
const COLD_MAX: Duration = Duration::from_secs(30);

/// Reason why a limit began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The member has started.
    Start,
    /// The member did not answer.
    Silence,
    /// Statements failed, or connections broke.
    Failures,
    /// The member's slots and queue were full.
    Busy,
    /// Answers took far longer than usual.
    Slow,
}

impl Cause {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Silence => "silence",
            Self::Failures => "failures",
            Self::Busy => "busy",
            Self::Slow => "slow",
        }
    }
}

/// How a statement ended, as far as the limit depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The member answered.
    Answered {
        /// Time to the answer; `None` if it depends on other members, as that of a commit does.
        took: Option<Duration>,
    },
    /// The statement failed.
    Failed,
    /// The connection broke, or the answer was malformed.
    Broken,
    /// The member's slots and queue were full.
    Busy,
}

/// The member as this proxy uses it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Number of statements that the member runs concurrently.
    pub slots: u32,
    /// Number of proxies that use the member.
    pub sharers: u32,
    /// Highest allowance of this proxy, at which the limit ends.
    pub allowance_max: f64,
    /// Whether the member leads its group.
    pub leads: bool,
    /// Whether the statement has no better place: the member leads, or answers sooner than the requests that wait get to others.
    pub is_last_resort: bool,
    /// Usual answer time in its group, in ms, if known.
    pub group_usual_ms: Option<f64>,
}

/// Begin or end of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The limit begins.
    Limited {
        /// The limit, in concurrent statements.
        limit: f64,
        /// Why it begins.
        cause: Cause,
    },
    /// The member is in full use.
    Full,
}

/// Limit that is in force.
#[derive(Clone, Copy, Debug)]
struct Limit {
    statements: f64,
    cause: Cause,
    /// Whether the member has answered that it is busy since the limit began.
    is_busy: bool,
    /// End of the pause after the last answer.
    resumes_at: Option<Instant>,
    /// The same for statements that have no better place.
    resumes_as_last_resort_at: Option<Instant>,
    /// Instant from which the member is preferred for a read.
    trial_at: Instant,
    /// Number of bad answers since the last fast one.
    bad_answers: u32,
    last_bad_answer_at: Option<Instant>,
}

/// Concurrency limit of one member, with the measures on which it depends.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    limit: Option<Limit>,
    /// End of the time for which the member has announced to be slow.
    cold_until: Option<Instant>,
    answers: u32,
    usual_ms: f64,
    recent_ms: f64,
    failed_share: f64,
    busy_share: f64,
    /// Instant of the last answer if it was slow and began no limit.
    slow_at: Option<Instant>,
}

impl Usage {
    /// Returns the limit with which a member begins: one statement at a time for all homes together.
    fn first_limit(&self) -> f64 {
        1.0 / f64::from(self.sharers.max(1))
    }

    fn lowest_limit(&self) -> f64 {
        LOWEST_PART * self.first_limit()
    }

    /// Returns the limit that a busy leader keeps: half its slots and at least one statement, for all homes together.
    fn busy_leader_limit(&self) -> f64 {
        (LEADER_SLOTS_PART * self.slots_limit()).max(self.first_limit())
    }

    /// Returns the limit at which none of the member's statements waits for a slot.
    fn slots_limit(&self) -> f64 {
        f64::from(self.slots.max(1)) * self.first_limit()
    }
}

impl Limit {
    /// Returns the number of statements that may run.
    fn applied(&self, usage: &Usage) -> f64 {
        match self.cause {
            _ if !usage.is_last_resort => self.statements,
            // Statements that fail at any load fail no less under a limit.
            Cause::Failures => usage.allowance_max,
            _ if self.is_busy && usage.leads => self.statements.max(usage.busy_leader_limit()),
            _ if self.is_busy => self.statements,
            // Idle slots of a slow member serve nobody.
            _ => self.statements.max(usage.slots_limit()),
        }
    }

    /// Begins the pause after a statement that took this time.
    fn pause(&mut self, now: Instant, took: Duration, usage: &Usage) {
        let longest = match usage.leads {
            true => LEADER_PAUSE_MAX,
            false => PAUSE_MAX,
        };
        let end = |applied: f64| {
            let pause = took.mul_f64((1.0 / applied - 1.0).max(0.0)).min(longest);
            (!pause.is_zero()).then(|| now + pause)
        };
        let as_last_resort = Usage {
            is_last_resort: true,
            ..*usage
        };
        self.resumes_at = end(self.statements);
        self.resumes_as_last_resort_at = end(self.applied(&as_last_resort));
    }

    fn record_bad_answer(&mut self, now: Instant, statements: f64, usage: &Usage) {
        self.statements = statements.max(usage.lowest_limit());
        let delay = TRIAL_DELAY_MIN * (1 << self.bad_answers.min(8));
        self.trial_at = now + delay.min(TRIAL_DELAY_MAX);
        self.bad_answers = self.bad_answers.saturating_add(1);
        self.last_bad_answer_at = Some(now);
    }
}

impl Pace {
    /// Begins the limit of a member that has started, and that expects to be slow for `cold_remaining`.
    pub fn start(&mut self, now: Instant, cold_remaining: Duration, usage: &Usage) -> Change {
        self.cold_until = Some(now + cold_remaining.min(COLD_MAX));
        self.begin(now, Cause::Start, usage)
    }

    /// Records that the member did not answer. A limit that is in force falls to the lowest one.
    pub fn record_silence(&mut self, now: Instant, usage: &Usage) -> Option<Change> {
        match &mut self.limit {
            Some(limit) => {
                limit.record_bad_answer(now, 0.0, usage);
                limit.resumes_at = None;
                limit.resumes_as_last_resort_at = None;
                None
            }
            None => Some(self.begin(now, Cause::Silence, usage)),
        }
    }

    /// Records the end of a statement, `took` after it was sent.
    pub fn record(
        &mut self,
        now: Instant,
        took: Duration,
        outcome: Outcome,
        usage: &Usage,
    ) -> Option<Change> {
        self.measure_shares(outcome);
        let ratio = self.ratio(outcome, usage);
        self.measure_time(outcome, usage);
        if self.limit.is_some() {
            return self.adapt(now, took, outcome, ratio, usage);
        }
        if let Outcome::Answered { took: Some(_) } = outcome {
            self.slow_at = (ratio >= SLOW_RATIO).then_some(now);
        }
        let cause = match outcome {
            Outcome::Failed | Outcome::Broken if self.failed_share > FAILED_SHARE_MAX => {
                Cause::Failures
            }
            Outcome::Busy if self.busy_share > BUSY_SHARE_MAX => Cause::Busy,
            Outcome::Answered { .. } if ratio >= SLOW_RATIO && self.is_slow(usage) => Cause::Slow,
            _ => return None,
        };
        let change = self.begin(now, cause, usage);
        if let Some(limit) = &mut self.limit {
            limit.record_bad_answer(now, limit.statements, usage);
            limit.pause(now, took, usage);
        }
        Some(change)
    }

    /// Returns whether another statement may be sent while `occupied` statements run or connections are being opened.
    pub fn allows(&self, now: Instant, occupied: u32, usage: &Usage) -> bool {
        let Some(limit) = &self.limit else {
            return true;
        };
        let statements = limit.applied(usage).max(1.0);
        let resumes_at = match usage.is_last_resort {
            true => limit.resumes_as_last_resort_at,
            false => limit.resumes_at,
        };
        let pauses = resumes_at.is_some_and(|at| now < at);
        !pauses && f64::from(occupied) + 1.0 <= statements
    }

    /// Returns whether a read should go to a member next that is limited or answered slowly, to show whether it is well.
    pub fn is_trial_due(&self, now: Instant) -> bool {
        let is_warm = self.cold_until.is_some_and(|until| now >= until);
        let is_due = |limit: Limit| {
            now >= limit.trial_at || is_warm && self.cold_until > limit.last_bad_answer_at
        };
        match self.limit {
            Some(limit) => is_due(limit),
            None => self.slow_at.is_some_and(|at| now >= at + TRIAL_DELAY_MIN),
        }
    }

    /// Returns the limit, in concurrent statements; `None` in full use.
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.statements)
    }

    /// Returns the next end of a pause.
    pub fn resumes_at(&self) -> Option<Instant> {
        let limit = self.limit.as_ref()?;
        let ends = [limit.resumes_at, limit.resumes_as_last_resort_at];
        ends.into_iter().flatten().min()
    }

    /// Ends the pauses that are over.
    pub fn end_pauses(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.resumes_at.take_if(|at| *at <= now);
            limit.resumes_as_last_resort_at.take_if(|at| *at <= now);
        }
    }

    /// Returns the recent answer time in ms; `None` before enough answers.
    pub fn recent_ms(&self) -> Option<f64> {
        (self.answers >= USUAL_ANSWERS_MIN).then_some(self.recent_ms)
    }

    fn begin(&mut self, now: Instant, cause: Cause, usage: &Usage) -> Change {
        let statements = usage.first_limit();
        self.limit = Some(Limit {
            statements,
            cause,
            is_busy: cause == Cause::Busy,
            resumes_at: None,
            resumes_as_last_resort_at: None,
            trial_at: now,
            bad_answers: 0,
            last_bad_answer_at: None,
        });
        let limit = statements;
        Change::Limited { limit, cause }
    }

    /// Adapts a limit that is in force.
    fn adapt(
        &mut self,
        now: Instant,
        took: Duration,
        outcome: Outcome,
        ratio: f64,
        usage: &Usage,
    ) -> Option<Change> {
        let is_cold = self.cold_until.is_some_and(|until| now < until);
        let limit = self.limit.as_mut()?;
        match outcome {
            Outcome::Failed | Outcome::Broken => limit.record_bad_answer(now, 0.0, usage),
            Outcome::Busy => {
                limit.is_busy = true;
                limit.record_bad_answer(now, CUT * limit.statements, usage);
            }
            Outcome::Answered { .. } if ratio >= SLOW_RATIO => {
                limit.record_bad_answer(now, CUT * limit.statements, usage);
            }
            Outcome::Answered { .. } if ratio <= FAST_RATIO => {
                let grown = limit.statements * GROWTH;
                // Full use of a member that has announced to be slow would only build a queue there.
                limit.statements = match is_cold {
                    true => grown.min(usage.slots_limit()).max(limit.statements),
                    false => grown,
                };
                limit.trial_at = now;
                limit.bad_answers = 0;
            }
            Outcome::Answered { .. } => {}
        }
        if limit.statements >= usage.allowance_max {
            self.limit = None;
            self.recent_ms = self.usual_ms;
            self.slow_at = None;
            return Some(Change::Full);
        }
        limit.pause(now, took, usage);
        None
    }

    fn measure_shares(&mut self, outcome: Outcome) {
        let failed_weight = match outcome {
            Outcome::Broken => BROKEN_WEIGHT,
            _ => SHARE_WEIGHT,
        };
        let failed = matches!(outcome, Outcome::Failed | Outcome::Broken);
        self.failed_share += failed_weight * (f64::from(failed) - self.failed_share);
        let busy = outcome == Outcome::Busy;
        self.busy_share += SHARE_WEIGHT * (f64::from(busy) - self.busy_share);
    }

    fn measure_time(&mut self, outcome: Outcome, usage: &Usage) {
        let Outcome::Answered { took: Some(took) } = outcome else {
            return;
        };
        // The answers of a member that has just started do not show what it usually takes.
        if self.limit.is_some() && !self.is_usual_known() && usage.group_usual_ms.is_some() {
            return;
        }
        let took_ms = took.as_secs_f64() * 1_000.0;
        if self.answers == 0 {
            (self.usual_ms, self.recent_ms) = (took_ms, took_ms);
        }
        self.answers = self.answers.saturating_add(1);
        let weight = match self.limit {
            Some(_) if self.is_usual_known() => USUAL_WEIGHT_LIMITED,
            _ => USUAL_WEIGHT,
        };
        self.usual_ms += weight * (took_ms - self.usual_ms);
        let longest_ms = match self.is_usual_known() {
            true => RECENT_RATIO_MAX * self.usual_ms.max(USUAL_MIN_MS),
            false => took_ms,
        };
        self.recent_ms += RECENT_WEIGHT * (took_ms.min(longest_ms) - self.recent_ms);
    }

    fn is_usual_known(&self) -> bool {
        self.answers >= USUAL_ANSWERS_MIN
    }

    /// Returns the usual answer time, in ms: the member's own or that of its group, whichever is longer, since statements that become
    /// slower at all members do not show a fault. A leader runs other statements than the replicas, so its own counts once it is known.
    fn reference_ms(&self, usage: &Usage) -> Option<f64> {
        let own = self.is_usual_known().then_some(self.usual_ms);
        let reference = match (own, usage.group_usual_ms) {
            (Some(own), Some(group)) if !usage.leads => own.max(group),
            (own, group) => own.or(group)?,
        };
        Some(reference.max(USUAL_MIN_MS))
    }

    /// Returns an answer time as a multiple of the usual one; 0 if it tells nothing.
    fn ratio(&self, outcome: Outcome, usage: &Usage) -> f64 {
        match (outcome, self.reference_ms(usage)) {
            (Outcome::Answered { took: Some(took) }, Some(reference_ms)) => {
                took.as_secs_f64() * 1_000.0 / reference_ms
            }
            _ => 0.0,
        }
    }

    /// Returns whether the recent answers were slow compared with the usual ones.
    fn is_slow(&self, usage: &Usage) -> bool {
        let reference_ms = self.reference_ms(usage);
        reference_ms.is_some_and(|reference| self.recent_ms >= SLOW_RATIO * reference)
    }
}
