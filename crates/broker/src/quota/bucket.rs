//! Token bucket of a workspace.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::id;

use super::QuestionId;
use super::message;
use crate::workspace;

/// Fractions of a token in which the level is kept. A rate of one thousandth per second adds one of them per nanosecond.
const FRACTIONS_PER_TOKEN: u128 = 1_000_000_000_000;
/// Fractions in a thousandth of a token.
const FRACTIONS_PER_MILLITOKEN: u128 = FRACTIONS_PER_TOKEN / 1_000;
/// Time whose tokens a bucket holds at least, in milliseconds: a proxy in another region asks again within it. A smaller bucket overflows between two questions, so that a single proxy would not
/// get the whole rate. Within a window of 5 s, these 40 ms and the lifetime of tokens are less than the overshoot of a tenth.
const DEPTH_MIN_MS: u128 = 40;
/// Milliseconds in a second.
const MS_PER_S: u128 = 1_000;
/// Nanoseconds in a millisecond.
const NANOS_PER_MS: u128 = 1_000_000;
/// Longest time that [`Bucket::time_until`] tells.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Time in which tokens of a grant can come back: their lifetime, and some time until the proxy's next question.
const RETURNABLE_FOR: Duration = Duration::from_millis(2_000);
/// Number of grants of a workspace whose tokens can come back, a bound of memory.
const RETURNABLE_GRANTS_MAX: usize = 1_024;

/// Tokens of one grant that may come back.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    asker: id::ProxyId,
    question: QuestionId,
    granted_at: Instant,
    tokens: u64,
}

/// A token bucket. The level and the outstanding tokens that can still come back never exceed the burst together.
///
/// The coordinator does not learn which tokens were used. So tokens that flow in have precedence over outstanding ones: once the
/// bucket would be full with the outstanding tokens, the oldest of these count as used and cannot come back. Otherwise a burst
/// that is smaller than the tokens of 400 ms would lower the rate.
#[derive(Clone, Debug)]
pub struct Bucket {
    limit: workspace::RateLimit,
    level: u128,
    filled_at: Instant,
    outstanding: VecDeque<Outstanding>,
}

impl Bucket {
    /// Returns a bucket that holds no tokens at `now`.
    pub fn new(now: Instant, limit: workspace::RateLimit) -> Self {
        Self {
            limit,
            level: 0,
            filled_at: now,
            outstanding: VecDeque::new(),
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> workspace::RateLimit {
        self.limit
    }

    /// Changes the limit. Tokens above a lower burst are lost.
    pub fn set_limit(&mut self, now: Instant, limit: workspace::RateLimit) {
        self.fill(now);
        self.limit = limit;
        self.bound();
    }

    /// Returns the number of whole tokens.
    pub fn level(&mut self, now: Instant) -> u64 {
        self.fill(now);
        u64::try_from(self.level / FRACTIONS_PER_TOKEN).unwrap_or(u64::MAX)
    }

    /// Returns the number of tokens that can still come back.
    pub fn outstanding(&self) -> u64 {
        self.outstanding.iter().map(|grant| grant.tokens).sum()
    }

    /// Takes at most `tokens` for the question of a proxy and returns how many were taken.
    pub fn grant(
        &mut self,
        now: Instant,
        asker: id::ProxyId,
        question: QuestionId,
        tokens: u64,
    ) -> u64 {
        let tokens = tokens.min(self.level(now));
        if tokens > 0 {
            self.level -= u128::from(tokens) * FRACTIONS_PER_TOKEN;
            self.outstanding.push_back(Outstanding {
                asker,
                question,
                granted_at: now,
                tokens,
            });
            self.bound();
        }
        tokens
    }

    /// Puts back tokens that a proxy did not use. Those that can no longer come back are ignored.
    pub fn put_back(&mut self, now: Instant, asker: id::ProxyId, returned: message::Returned) {
        self.fill(now);
        let same =
            |grant: &&mut Outstanding| grant.asker == asker && grant.question == returned.question;
        if let Some(grant) = self.outstanding.iter_mut().find(same) {
            let tokens = grant.tokens.min(returned.tokens);
            // A grant is reported once: what is not returned was used or is lost.
            grant.tokens = 0;
            self.level += u128::from(tokens) * FRACTIONS_PER_TOKEN;
            self.bound();
        }
    }

    /// Returns the time until the bucket holds this number of tokens, if none is taken.
    pub fn time_until(&mut self, now: Instant, tokens: u64) -> Duration {
        self.fill(now);
        let missing = (u128::from(tokens) * FRACTIONS_PER_TOKEN).saturating_sub(self.level);
        let rate = u128::from(self.limit.rate_milliops_per_s);
        let wait_max_ns = WAIT_MAX.as_nanos();
        let nanos = match rate {
            0 if missing > 0 => wait_max_ns,
            0 => 0,
            _ => missing.div_ceil(rate).min(wait_max_ns),
        };
        Duration::from_millis(u64::try_from(nanos.div_ceil(NANOS_PER_MS)).unwrap_or(u64::MAX))
    }

    /// Returns the most tokens in the bucket. One token at least, since less would admit nothing.
    fn depth(&self) -> u128 {
        let rate = u128::from(self.limit.rate_milliops_per_s);
        let millitokens = u128::from(self.limit.burst_milliops).max(rate * DEPTH_MIN_MS / MS_PER_S);
        (millitokens * FRACTIONS_PER_MILLITOKEN).max(FRACTIONS_PER_TOKEN)
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let rate = u128::from(self.limit.rate_milliops_per_s);
        self.level = self
            .level
            .saturating_add(elapsed.as_nanos().saturating_mul(rate));
        let is_old = |grant: &Outstanding| {
            grant.tokens == 0 || now.saturating_duration_since(grant.granted_at) > RETURNABLE_FOR
        };
        while self.outstanding.front().is_some_and(is_old) {
            self.outstanding.pop_front();
        }
        self.bound();
    }

    /// Keeps the level and the outstanding tokens within the burst.
    fn bound(&mut self) {
        self.level = self.level.min(self.depth());
        let room = (self.depth() - self.level) / FRACTIONS_PER_TOKEN;
        let room = u64::try_from(room).unwrap_or(u64::MAX);
        let mut excess = self.outstanding().saturating_sub(room);
        while excess > 0 || self.outstanding.len() > RETURNABLE_GRANTS_MAX {
            let Some(oldest) = self.outstanding.front_mut() else {
                return;
            };
            let lost = excess.min(oldest.tokens);
            oldest.tokens -= lost;
            excess -= lost;
            if oldest.tokens == 0 || self.outstanding.len() > RETURNABLE_GRANTS_MAX {
                self.outstanding.pop_front();
            }
        }
    }
}
