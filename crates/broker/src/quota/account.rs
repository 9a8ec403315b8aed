//! Tokens and waiting operations of a workspace at a proxy.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::client::{Effect, Operation, QUESTION_INTERVAL, RETRY_AFTER, Token};
use super::message::Returned;
use super::{QuestionId, Term};

/// Time after which a caller may retry where no coordinator is known.
const NO_COORDINATOR_RETRY: Duration = Duration::from_millis(1_000);
/// Weight of the newest measurement in the averages of use and answer time.
pub(super) const AVERAGE_WEIGHT: f64 = 0.25;
/// Time after which expired tokens are no longer reported; the coordinator has forgotten their grant.
pub(super) const REPORT_FOR: Duration = Duration::from_millis(1_500);

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Batch {
    pub(super) term: Term,
    pub(super) question: QuestionId,
    pub(super) expires_at: Instant,
    pub(super) tokens: u64,
}

/// Tokens and waiting operations of a workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    /// Not empty, in the order of expiry. Those that have expired are to be reported.
    pub(super) batches: Vec<Batch>,
    /// In the order of their deadlines.
    pub(super) waiting: VecDeque<Operation>,
    /// Instant before which no token is expected.
    pub(super) no_token_before: Option<Instant>,
    /// Instant before which the proxy does not ask for the workspace.
    pub(super) ask_at: Option<Instant>,
    /// Answers in a row that did not meet the demand.
    pub(super) unmet: u32,
    /// Operations since the last question.
    pub(super) arrived: u64,
    pub(super) counted_since: Option<Instant>,
    pub(super) use_per_s: f64,
}

impl Account {
    /// Adds tokens.
    pub(super) fn add(&mut self, batch: Batch) {
        let same =
            |known: &&mut Batch| known.question == batch.question && known.term == batch.term;
        match self.batches.iter_mut().find(same) {
            Some(known) => known.tokens = known.tokens.saturating_add(batch.tokens),
            None => {
                let is_before = |known: &Batch| known.expires_at <= batch.expires_at;
                let index = self.batches.partition_point(is_before);
                self.batches.insert(index, batch);
            }
        }
    }

    /// Adds an operation that waits.
    pub(super) fn wait(&mut self, operation: Operation) {
        let is_before = |known: &Operation| known.deadline <= operation.deadline;
        let index = self.waiting.partition_point(is_before);
        self.waiting.insert(index, operation);
    }

    /// Returns whether the proxy should ask for the workspace.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.waiting.is_empty() && self.ask_at.is_none_or(|at| at <= now)
    }

    /// Returns the instant from which the proxy should ask for the workspace, if an operation waits.
    pub(super) fn due_at(&self, now: Instant) -> Option<Instant> {
        (!self.waiting.is_empty()).then(|| self.ask_at.unwrap_or(now))
    }

    /// Returns whether the state matters for later operations.
    pub(super) fn is_used(&self, now: Instant) -> bool {
        let newest = self.batches.last();
        let is_reported = |batch: &Batch| now < batch.expires_at + REPORT_FOR;
        let is_counted = |since: Instant| now < since + REPORT_FOR;
        !self.waiting.is_empty()
            || newest.is_some_and(is_reported)
            || self.counted_since.is_some_and(is_counted)
    }

    /// Refuses operations whose deadline has passed, admits others with the tokens that expire first, and refuses those that no
    /// token reaches in time.
    pub(super) fn advance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.refuse(|operation| operation.deadline <= now, RETRY_AFTER, effects);
        self.admit(now, effects);
        // An older answer than that to the last question does not tell.
        let is_fresh = self.ask_at.is_some_and(|at| now < at);
        if let Some(at) = self.no_token_before.filter(|at| is_fresh && now < *at) {
            self.refuse(|operation| operation.deadline < at, at - now, effects);
        }
    }

    fn admit(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let valid_from = self
            .batches
            .partition_point(|batch| batch.expires_at <= now);
        for batch in &mut self.batches[valid_from..] {
            while batch.tokens > 0 {
                let Some(operation) = self.waiting.pop_front() else {
                    break;
                };
                batch.tokens -= 1;
                let token = Token {
                    workspace: operation.workspace,
                    expires_at: batch.expires_at,
                    term: batch.term,
                    question: batch.question,
                };
                effects.push(Effect::Admit {
                    request: operation.request,
                    token,
                });
            }
        }
        self.batches.retain(|batch| batch.tokens > 0);
    }

    /// Refuses the first operations that are too early.
    fn refuse(
        &mut self,
        is_too_early: impl Fn(&Operation) -> bool,
        retry_after: Duration,
        effects: &mut Vec<Effect>,
    ) {
        while let Some(operation) = self.waiting.front()
            && is_too_early(operation)
        {
            effects.push(Effect::Refuse {
                request: operation.request,
                retry_after,
            });
            self.waiting.pop_front();
        }
    }

    /// Refuses all operations, because there is no coordinator.
    pub(super) fn refuse_all(&mut self, effects: &mut Vec<Effect>) {
        effects.extend(self.waiting.drain(..).map(|operation| Effect::Refuse {
            request: operation.request,
            retry_after: NO_COORDINATOR_RETRY,
        }));
    }

    /// Returns the tokens of the term that have expired without use, and forgets all that have expired.
    pub(super) fn report(&mut self, now: Instant, term: Term) -> Vec<Returned> {
        let mut returned = Vec::new();
        self.batches.retain(|batch| {
            let has_expired = batch.expires_at <= now;
            let is_reported =
                has_expired && batch.term == term && now < batch.expires_at + REPORT_FOR;
            if is_reported {
                returned.push(Returned {
                    question: batch.question,
                    tokens: batch.tokens,
                });
            }
            !has_expired
        });
        returned
    }

    /// Returns the number of tokens to ask for: for the waiting operations and the expected use in this time.
    pub(super) fn wanted(&mut self, now: Instant, expected_for: Duration) -> u64 {
        if let Some(since) = self.counted_since {
            let elapsed = now.saturating_duration_since(since).max(QUESTION_INTERVAL);
            let measured = self.arrived as f64 / elapsed.as_secs_f64();
            self.use_per_s += AVERAGE_WEIGHT * (measured - self.use_per_s);
        }
        self.counted_since = Some(now);
        self.arrived = 0;
        // While tokens are short, those for an expected use would expire at one proxy and be missing at another.
        if self.no_token_before.is_some() {
            return self.waiting.len() as u64;
        }
        let expected = (self.use_per_s * expected_for.as_secs_f64()).round() as u64;
        self.waiting.len() as u64 + expected
    }
}
