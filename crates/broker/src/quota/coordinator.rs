//! Answers of the coordinator of a shard.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use super::bucket::Bucket;
use super::message::{Demand, Grant, QuotaAnswer, QuotaQuestion};
use super::{ShardId, Term, shard_of};
use crate::workspace;

/// Time for which a proxy counts as waiting for tokens after its last question. A waiting proxy asks more often.
const WAITING_FOR: Duration = Duration::from_millis(500);
/// Time after which a proxy may ask for a workspace that the coordinator's configuration does not have, in milliseconds.
const UNKNOWN_WORKSPACE_WAIT_MS: u64 = 500;
/// Added to the time since a proxy's last token when tokens are shared, in milliseconds: a proxy that has just begun to wait has
/// a share, too.
const SHARE_BASE_MS: u64 = 10;
/// Most demands of a question that are answered, a bound of work.
const DEMANDS_MAX: usize = 4_096;

/// A proxy whose last demand was not met.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    proxy: id::ProxyId,
    /// Instant since which the proxy has received no token.
    since: Instant,
    asked_at: Instant,
}

impl Waiter {
    /// Returns the proxy's weight when tokens are shared.
    fn weight_ms(&self, now: Instant) -> u64 {
        let waited = now.saturating_duration_since(self.since).as_millis();
        u64::try_from(waited)
            .unwrap_or(u64::MAX / 2)
            .saturating_add(SHARE_BASE_MS)
    }
}

/// Bucket of a workspace and the proxies that wait for its tokens.
#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    /// In the order of `since`.
    waiters: Vec<Waiter>,
}

/// Coordinator of a shard, for one term. A proxy that loses the lease drops it; with a new lease it creates another one.
#[derive(Clone, Debug)]
pub struct Coordinator {
    shard: ShardId,
    term: Term,
    until: Instant,
    accounts: sorted::Map<id::WorkspaceId, Account>,
}

impl Coordinator {
    /// Returns a coordinator whose lease was acquired at `now` and is valid before `until`. All buckets are empty, because the
    /// predecessor may have granted all of its tokens just before.
    pub fn new(
        now: Instant,
        shard: ShardId,
        term: Term,
        until: Instant,
        limits: &[(id::WorkspaceId, workspace::RateLimit)],
    ) -> Self {
        let mut coordinator = Self {
            shard,
            term,
            until,
            accounts: sorted::Map::default(),
        };
        coordinator.apply(now, limits);
        coordinator
    }

    /// Applies the limits of a configuration. Those of other shards are ignored. A workspace that is not listed has no limit.
    pub fn apply(&mut self, now: Instant, limits: &[(id::WorkspaceId, workspace::RateLimit)]) {
        let own = limits
            .iter()
            .filter(|(workspace, _)| shard_of(*workspace) == self.shard);
        let own: sorted::Map<id::WorkspaceId, workspace::RateLimit> = own.copied().collect();
        self.accounts.retain(|workspace, _| own.contains(workspace));
        for (workspace, limit) in own.iter() {
            match self.accounts.get_mut(workspace) {
                Some(account) => account.bucket.set_limit(now, *limit),
                None => {
                    let account = Account {
                        bucket: Bucket::new(now, *limit),
                        waiters: Vec::new(),
                    };
                    self.accounts.insert(workspace, account);
                }
            }
        }
    }

    /// Returns the term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Extends the lease.
    pub fn renew(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Answers a question. A coordinator whose lease has ended grants nothing, also if it was suspended and has not noticed the end.
    pub fn answer(&mut self, now: Instant, question: &QuotaQuestion) -> QuotaAnswer {
        if !self.is_valid(now) || question.shard != self.shard {
            return QuotaAnswer::NotCoordinator { holder: None };
        }
        let demands = question.demands.iter().take(DEMANDS_MAX);
        let grants = demands.map(|demand| self.grant(now, question, demand));
        let grants = grants.collect();
        QuotaAnswer::Granted {
            term: self.term,
            grants,
        }
    }

    fn grant(&mut self, now: Instant, question: &QuotaQuestion, demand: &Demand) -> Grant {
        let Some(account) = self.accounts.get_mut(demand.workspace) else {
            return Grant {
                workspace: demand.workspace,
                tokens: 0,
                wait_ms: UNKNOWN_WORKSPACE_WAIT_MS,
            };
        };
        // The numbers of questions start again with another term.
        if question.term == self.term {
            for returned in &demand.returned {
                account.bucket.put_back(now, question.asker, *returned);
            }
        }
        let (tokens, wait) = account.grant(now, question, demand.wanted);
        Grant {
            workspace: demand.workspace,
            tokens,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl Account {
    /// Grants the proxy its share of the tokens, and returns the time until its next token.
    ///
    /// The shares are in proportion to the time since the last token, so that a proxy that asks more often than others does not get
    /// more. Where there are fewer tokens than waiting proxies, those that have waited longest get one each.
    fn grant(&mut self, now: Instant, question: &QuotaQuestion, wanted: u64) -> (u64, Duration) {
        let asker = question.asker;
        self.waiters
            .retain(|waiter| now.saturating_duration_since(waiter.asked_at) < WAITING_FOR);
        let known = self.waiters.iter().position(|waiter| waiter.proxy == asker);
        if wanted == 0 {
            known.map(|index| self.waiters.remove(index));
            return (0, Duration::ZERO);
        }
        let weights = self.waiters.iter().map(|waiter| waiter.weight_ms(now));
        let mut all_ms = weights.fold(0, u64::saturating_add);
        let own_ms = match known {
            Some(index) => self.waiters[index].weight_ms(now),
            None => {
                all_ms = all_ms.saturating_add(SHARE_BASE_MS);
                SHARE_BASE_MS
            }
        };
        let position = known.unwrap_or(self.waiters.len()) as u64;
        let level = self.bucket.level(now);
        let share = u128::from(level) * u128::from(own_ms) / u128::from(all_ms);
        let share = match u64::try_from(share).unwrap_or(level) {
            0 => u64::from(position < level),
            share => share,
        };
        let tokens = self
            .bucket
            .grant(now, asker, question.question, wanted.min(share));
        let since = match known {
            Some(index) if tokens == 0 => {
                self.waiters[index].asked_at = now;
                self.waiters[index].since
            }
            Some(index) => {
                self.waiters.remove(index);
                now
            }
            None => now,
        };
        if tokens == wanted {
            return (tokens, Duration::ZERO);
        }
        if tokens > 0 || known.is_none() {
            let waiter = Waiter {
                proxy: asker,
                since,
                asked_at: now,
            };
            self.waiters.push(waiter);
        }
        // The proxies before this one get one token each first.
        let ahead = self
            .waiters
            .iter()
            .position(|waiter| waiter.proxy == asker)
            .unwrap_or(0) as u64;
        let wait = self.bucket.time_until(now, ahead + 1);
        (tokens, wait.max(Duration::from_millis(1)))
    }
}
