//! A claimant: the real failover, driven without a clock.

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, failover, status};

use crate::model::member::MEMBERS;

const GROUP: u64 = 1;
/// Further ahead than any timeout of a failover.
const LATE: Duration = Duration::from_secs(60);

/// A claimant.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Claimant {
    pub failover: failover::Failover,
    pub attempts: u8,
}

/// What a claimant asks of a member.
pub type Grants = Vec<effect::Effect>;

impl Claimant {
    /// Starts an attempt, with the platform's table unavailable, by a claimant that has heard of
    /// `top_term`.
    pub fn start(&mut self, now: Instant, top_term: u8) -> Grants {
        self.attempts += 1;
        let mut effects = Vec::new();
        self.run(now, top_term, &mut effects, |failover, context| {
            failover.tick(context);
            failover.tick(context);
        });
        let failover::Stage::Claiming { ask, .. } = self.failover.stage else {
            panic!("nothing holds the claim up: {:?}", self.failover);
        };
        let answer = event::ClaimAnswer {
            ask,
            group: GROUP,
            result: event::ClaimResult::Unavailable,
        };
        self.run(now, top_term, &mut effects, |failover, context| {
            failover.claimed(context, answer);
        });
        effects
    }

    /// Takes in a member's answer.
    pub fn granted(&mut self, now: Instant, answer: event::GrantAnswer) -> Grants {
        let mut effects = Vec::new();
        self.run(now, 0, &mut effects, |failover, context| {
            failover.granted(context, answer);
        });
        effects
    }

    /// Gives the attempt up.
    pub fn time_out(&mut self, now: Instant) {
        let mut effects = Vec::new();
        self.run(now + LATE, 0, &mut effects, failover::Failover::tick);
    }

    /// Returns whether no attempt is under way.
    pub fn is_idle(&self) -> bool {
        self.failover.stage == failover::Stage::Idle
    }

    /// Returns whether a promotion is under way.
    pub fn is_promoting(&self) -> bool {
        matches!(self.failover.stage, failover::Stage::Promoting { .. })
    }

    fn run(
        &mut self,
        now: Instant,
        top_term: u8,
        effects: &mut Grants,
        step: impl FnOnce(&mut failover::Failover, &mut failover::Context<'_>),
    ) {
        let mut watch = status::Watch::new(GROUP, 0..MEMBERS as u64, now);
        let known = event::Status {
            term: u64::from(top_term),
            ..event::Status::default()
        };
        watch.learn(now, 0, known);
        // Questions of one stage and attempt always have the same numbers, so that equal states meet.
        let mut next_ask = self.failover.used_term * 100 + stage_number(&self.failover.stage) * 10;
        let evidence = failover::Evidence {
            members_answering: MEMBERS,
            majority: watch.majority(),
            ..failover::Evidence::default()
        };
        let mut context = failover::Context {
            now,
            group: GROUP,
            watch: &watch,
            evidence,
            leaving: &[],
            proxy: 0,
            rank: 0,
            next_ask: &mut next_ask,
            effects,
        };
        step(&mut self.failover, &mut context);
        self.failover.backoff_until = None;
        self.failover.missed_since = None;
    }
}

fn stage_number(stage: &failover::Stage) -> u64 {
    match stage.name() {
        failover::StageName::Idle => 0,
        failover::StageName::Waiting => 1,
        failover::StageName::Claiming => 2,
        failover::StageName::Fencing => 3,
        failover::StageName::HandingOver => 4,
        failover::StageName::Promoting => 5,
    }
}
