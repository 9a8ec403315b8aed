//! Admission of operations at a proxy, for the workspaces of one shard.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use super::account::{AVERAGE_WEIGHT, Account, Batch};
use super::message::{Demand, Grant, QuotaAnswer, QuotaQuestion};
use super::{QuestionId, ShardId, TOKEN_LIFETIME, Term};

/// Time without an answer after which a question counts as lost.
pub const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two questions for the same workspace, which bounds the messages of a workspace with a high rate.
pub(super) const QUESTION_INTERVAL: Duration = Duration::from_millis(20);
/// Number of doublings of [`QUESTION_INTERVAL`] for a workspace whose demand is not met again and again. All proxies ask for a workspace
/// beyond its limit, and the coordinator may be a VM with an eighth of a core.
const UNMET_DOUBLINGS_MAX: u32 = 3;
/// Longest time between two questions for a workspace with waiting operations, so that the coordinator knows that the proxy waits.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time until a token that an answer can tell.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Time until the next question after the first one that reached no coordinator; it doubles with each further one.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Number of doublings of [`RETRY_AFTER`].
const RETRY_DOUBLINGS_MAX: u32 = 4;
/// Number of questions in a row without a grant after which waiting operations are refused.
const FAILURES_MAX: u32 = 6;
/// Number of candidates that are asked while the coordinator is not known.
const CANDIDATES_ASKED: usize = super::lease::WATCHERS;
/// Longest time for whose expected use a proxy asks. Tokens of a longer time would often expire without use.
const EXPECTED_USE_MAX: Duration = Duration::from_millis(250);
/// Time for whose expected use a proxy asks, in addition to that until the next answer, so that it asks less often.
const EXPECTED_USE_MIN: Duration = Duration::from_millis(150);

/// Permission to run one operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Token {
    /// Workspace of the operation.
    pub workspace: id::WorkspaceId,
    /// Instant from which the token admits nothing. An operation that has not been sent to a member until then needs another one.
    pub expires_at: Instant,
    pub(super) term: Term,
    pub(super) question: QuestionId,
}

impl Token {
    /// Returns whether an operation may be sent to a member with the token.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// Operation that needs a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Operation {
    /// Identifier of the request.
    pub request: id::RequestId,
    /// Workspace of the request.
    pub workspace: id::WorkspaceId,
    /// Instant until which the operation may wait for a token.
    pub deadline: Instant,
}

/// Effect of an input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send a question to a proxy, which may be this one.
    Ask {
        /// Proxy that is asked.
        to: id::ProxyId,
        /// Question.
        question: QuotaQuestion,
    },
    /// Start an operation.
    Admit {
        /// Identifier of the request.
        request: id::RequestId,
        /// Token of the operation.
        token: Token,
    },
    /// Refuse an operation.
    Refuse {
        /// Identifier of the request.
        request: id::RequestId,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Question that has not been answered.
#[derive(Clone, Copy, Debug)]
struct UnderWay {
    question: QuestionId,
    to: id::ProxyId,
    sent_at: Instant,
}

/// Admission of the operations of one shard.
#[derive(Clone, Debug)]
pub struct Client {
    me: id::ProxyId,
    shard: ShardId,
    /// In the order of their rank.
    candidates: Vec<id::ProxyId>,
    /// Proxy that granted tokens last, or that another one named.
    coordinator: Option<id::ProxyId>,
    term: Term,
    accounts: sorted::Map<id::WorkspaceId, Account>,
    under_way: Option<UnderWay>,
    last_question: QuestionId,
    /// Questions in a row without a grant.
    failures: u32,
    /// Instant before which no question is sent, after one without a grant.
    retry_at: Option<Instant>,
    answer_time: Duration,
}

impl Client {
    /// Returns the admission of a shard's operations at the proxy `me`.
    pub fn new(me: id::ProxyId, shard: ShardId) -> Self {
        Self {
            me,
            shard,
            candidates: Vec::new(),
            coordinator: None,
            term: 0,
            accounts: sorted::Map::default(),
            under_way: None,
            last_question: 0,
            failures: 0,
            retry_at: None,
            answer_time: QUESTION_INTERVAL,
        }
    }

    /// Sets the candidates for the coordinator, in the order of their rank.
    pub fn set_candidates(&mut self, candidates: Vec<id::ProxyId>) {
        let is_gone = |proxy: id::ProxyId| !candidates.contains(&proxy);
        if self.coordinator.is_some_and(is_gone) {
            self.coordinator = None;
        }
        self.candidates = candidates;
    }

    /// Takes a coordinator that the lease row names, which may be this proxy itself.
    pub fn set_coordinator(&mut self, coordinator: id::ProxyId) {
        if self.coordinator != Some(coordinator) {
            self.coordinator = Some(coordinator);
            self.retry_at = None;
            self.failures = 0;
        }
    }

    /// Admits an operation, lets it wait for a token, or refuses it.
    pub fn request(&mut self, now: Instant, operation: Operation) -> Vec<Effect> {
        let mut effects = Vec::new();
        let account = self.accounts.entry(operation.workspace);
        account.arrived += 1;
        account.counted_since.get_or_insert(now);
        account.wait(operation);
        account.advance(now, &mut effects);
        if account.is_due(now) {
            self.ask(now, &mut effects);
        }
        self.refuse_without_coordinator(&mut effects);
        effects
    }

    /// Forgets a waiting operation, whose caller has gone.
    pub fn cancel(&mut self, workspace: id::WorkspaceId, request: id::RequestId) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.waiting.retain(|waiting| waiting.request != request);
        }
    }

    /// Takes back the token of an operation that has not run. It expires when it would have.
    pub fn put_back(&mut self, now: Instant, token: Token) -> Vec<Effect> {
        let mut effects = Vec::new();
        let account = self.accounts.entry(token.workspace);
        let batch = Batch {
            term: token.term,
            question: token.question,
            expires_at: token.expires_at,
            tokens: 1,
        };
        account.add(batch);
        account.advance(now, &mut effects);
        effects
    }

    /// Takes the answer to a question. Answers that come too late are ignored; their tokens count as spent.
    pub fn answer(
        &mut self,
        now: Instant,
        question: QuestionId,
        answer: &QuotaAnswer,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(asked) = self.under_way.filter(|asked| asked.question == question) else {
            return effects;
        };
        if asked.sent_at + QUESTION_TIMEOUT <= now {
            self.advance(now, &mut effects);
            return effects;
        }
        self.under_way = None;
        match answer {
            QuotaAnswer::Granted { term, grants } => self.granted(now, &asked, *term, grants),
            QuotaAnswer::NotCoordinator { holder } => self.redirected(now, &asked, *holder),
        }
        self.advance(now, &mut effects);
        effects
    }

    /// Takes the end of the connection on which a question was sent, before an answer.
    pub fn lost(&mut self, now: Instant, question: QuestionId) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self
            .under_way
            .is_some_and(|asked| asked.question == question)
        {
            self.failed(now);
        }
        self.advance(now, &mut effects);
        effects
    }

    /// Takes the passing of time.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.advance(now, &mut effects);
        effects
    }

    /// Returns the instant of the next [`Client::tick`] that may have an effect.
    pub fn next_tick(&self, now: Instant) -> Option<Instant> {
        let accounts = || self.accounts.values();
        let first_deadline = |account: &Account| Some(account.waiting.front()?.deadline);
        let deadline = accounts().filter_map(first_deadline).min();
        let call = match &self.under_way {
            Some(asked) => Some(asked.sent_at + QUESTION_TIMEOUT),
            None => {
                let due_at = accounts().filter_map(|account| account.due_at(now)).min();
                due_at.map(|at| self.retry_at.map_or(at, |retry_at| retry_at.max(at)))
            }
        };
        [deadline, call].into_iter().flatten().min()
    }

    fn granted(&mut self, now: Instant, asked: &UnderWay, term: Term, grants: &[Grant]) {
        self.coordinator = Some(asked.to);
        self.term = term;
        self.failures = 0;
        self.retry_at = None;
        let answer_time = now.saturating_duration_since(asked.sent_at);
        self.answer_time =
            self.answer_time.mul_f64(1.0 - AVERAGE_WEIGHT) + answer_time.mul_f64(AVERAGE_WEIGHT);
        for grant in grants {
            let Some(account) = self.accounts.get_mut(grant.workspace) else {
                continue;
            };
            if grant.tokens > 0 {
                account.add(Batch {
                    term,
                    question: asked.question,
                    expires_at: asked.sent_at + TOKEN_LIFETIME,
                    tokens: grant.tokens,
                });
            }
            let wait = Duration::from_millis(grant.wait_ms).min(WAIT_MAX);
            account.no_token_before = (grant.wait_ms > 0).then_some(now + wait);
            account.unmet = match grant.wait_ms {
                0 => 0,
                _ => account.unmet.saturating_add(1),
            };
            let doublings = account.unmet.saturating_sub(1).min(UNMET_DOUBLINGS_MAX);
            let pause = wait.clamp(QUESTION_INTERVAL * (1 << doublings), POLL_INTERVAL);
            account.ask_at = Some(now + pause);
        }
    }

    fn redirected(&mut self, now: Instant, asked: &UnderWay, holder: Option<id::ProxyId>) {
        let is_new = |holder: &id::ProxyId| {
            *holder != asked.to
                && self.coordinator != Some(*holder)
                && self.candidates.contains(holder)
        };
        match holder.filter(is_new) {
            Some(holder) => {
                let was_redirected = self.coordinator == Some(asked.to);
                self.failed(now);
                self.coordinator = Some(holder);
                // Two proxies that name each other must not be asked in a loop.
                if !was_redirected {
                    self.retry_at = None;
                }
            }
            None => self.failed(now),
        }
    }

    fn failed(&mut self, now: Instant) {
        self.under_way = None;
        self.coordinator = None;
        let doublings = self.failures.min(RETRY_DOUBLINGS_MAX);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + RETRY_AFTER * (1 << doublings));
        for account in self.accounts.iter_mut().map(|(_, account)| account) {
            account.no_token_before = None;
            account.ask_at = None;
        }
    }

    fn advance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self
            .under_way
            .is_some_and(|asked| asked.sent_at + QUESTION_TIMEOUT <= now)
        {
            self.failed(now);
        }
        for account in self.accounts.iter_mut().map(|(_, account)| account) {
            account.advance(now, effects);
        }
        self.ask(now, effects);
        self.refuse_without_coordinator(effects);
        self.accounts.retain(|_, account| account.is_used(now));
    }

    /// Refuses waiting operations if there seems to be no coordinator. The question sent before finds out whether there is one again.
    fn refuse_without_coordinator(&mut self, effects: &mut Vec<Effect>) {
        if self.failures >= FAILURES_MAX {
            for account in self.accounts.iter_mut().map(|(_, account)| account) {
                account.refuse_all(effects);
            }
        }
    }

    fn ask(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.under_way.is_some() || self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        if !self.accounts.values().any(|account| account.is_due(now)) {
            return;
        }
        let candidates = self.candidates.len().min(CANDIDATES_ASKED);
        let next_candidate = || {
            let index = usize::try_from(self.failures).unwrap_or(0) % candidates.max(1);
            self.candidates.get(index).copied()
        };
        let Some(to) = self.coordinator.or_else(next_candidate) else {
            return;
        };
        // The tokens of a question are used until the answer to the next one.
        let expected_for = (self.answer_time * 2 + EXPECTED_USE_MIN).min(EXPECTED_USE_MAX);
        let mut demands = Vec::new();
        for (workspace, account) in self.accounts.iter_mut() {
            let returned = account.report(now, self.term);
            let wanted = match account.is_due(now) {
                true => account.wanted(now, expected_for),
                false => 0,
            };
            if wanted > 0 || !returned.is_empty() {
                demands.push(Demand {
                    workspace,
                    wanted,
                    returned,
                });
            }
        }
        self.last_question += 1;
        self.under_way = Some(UnderWay {
            question: self.last_question,
            to,
            sent_at: now,
        });
        let question = QuotaQuestion {
            asker: self.me,
            question: self.last_question,
            shard: self.shard,
            term: self.term,
            demands,
        };
        effects.push(Effect::Ask { to, question });
    }
}
