//! A claimant: the real failover, driven without a clock.

use std::time::Instant;

use fulmarlift_core::{effect, event, failover, status};

use crate::model::member::MEMBERS;

const GROUP: u64 = 1;

/// What a claimant sees when it takes a step.
#[derive(Clone, Copy, Debug)]
pub enum View<'a> {
    /// The primary is missed, and this is the highest term it has heard of.
    Missed(u8),
    /// All members answer, and the primary's VM is leaving.
    Leaving(&'a [event::Status; MEMBERS]),
}

/// A claimant.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Claimant {
    pub failover: failover::Failover,
    pub attempts: u8,
}

/// What a claimant asks of a member.
pub type Grants = Vec<effect::Effect>;

impl Claimant {
    /// Starts an attempt with the platform's table unavailable; none if nothing is to be done.
    pub fn start(&mut self, now: Instant, view: View<'_>) -> Option<Grants> {
        self.attempts += 1;
        let mut effects = Vec::new();
        self.run(now, view, &mut effects, |failover, context| {
            failover.tick(context);
            failover.tick(context);
        });
        let failover::Stage::Claiming {
            control_request, ..
        } = self.failover.stage
        else {
            return None;
        };
        let answer = event::ClaimAnswer {
            control_request,
            group: GROUP,
            result: event::ClaimResult::Unavailable,
        };
        self.run(now, view, &mut effects, |failover, context| {
            failover.apply_claim_answer(context, answer);
        });
        Some(effects)
    }

    /// Takes in a member's answer.
    pub fn granted(&mut self, now: Instant, view: View<'_>, answer: event::TermAnswer) -> Grants {
        let mut effects = Vec::new();
        self.run(now, view, &mut effects, |failover, context| {
            failover.apply_term_answer(context, answer);
        });
        effects
    }

    /// Looks at the members again.
    pub fn look(&mut self, now: Instant, view: View<'_>) -> Grants {
        let mut effects = Vec::new();
        self.run(now, view, &mut effects, failover::Failover::tick);
        effects
    }

    /// Lets the deadline of the attempt's step pass.
    pub fn time_out(&mut self) -> Grants {
        let (failover::Stage::HandingOver { attempt, .. }
        | failover::Stage::Fencing { attempt, .. }
        | failover::Stage::Promoting { attempt, .. }) = &self.failover.stage
        else {
            return Vec::new();
        };
        let deadline = attempt.deadline;
        self.look(deadline, View::Missed(0))
    }

    /// Returns whether a primary is being moved and no replica was found yet.
    pub fn is_handing_over(&self) -> bool {
        matches!(self.failover.stage, failover::Stage::HandingOver { .. })
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
        view: View<'_>,
        effects: &mut Grants,
        step: impl FnOnce(&mut failover::Failover, &mut failover::Context<'_>),
    ) {
        let mut watch = status::Watch::new(GROUP, 0..MEMBERS as u64, now);
        let mut leaving = Vec::new();
        match view {
            View::Missed(top_term) => {
                let known = event::Status {
                    term: u64::from(top_term),
                    ..event::Status::default()
                };
                watch.record_status(now, 0, known);
            }
            View::Leaving(statuses) => {
                for (member, status) in (0..).zip(statuses) {
                    watch.record_status(now, member, *status);
                }
                watch
                    .members
                    .iter_mut()
                    .for_each(|(_, member)| member.reachable = true);
                leaving.extend(watch.primary().map(|member| member.id));
            }
        }
        // Questions of one stage and attempt always have the same numbers, so that equal states meet.
        let mut next_control_request =
            self.failover.used_term * 100 + stage_number(&self.failover.stage) * 10;
        let evidence = failover::Evidence {
            members_answering: MEMBERS,
            majority: watch.majority(),
            primary_answers: !leaving.is_empty(),
            primary_leaving: !leaving.is_empty(),
            ..failover::Evidence::default()
        };
        let mut context = failover::Context {
            now,
            group: GROUP,
            watch: &watch,
            evidence,
            leaving: &leaving,
            proxy: 0,
            rank: 0,
            next_control_request: &mut next_control_request,
            effects,
        };
        step(&mut self.failover, &mut context);
        self.failover.backoff_until = None;
        self.failover.primary_missed_since = None;
        self.failover.primary_leaving_since = None;
        self.failover.live_primary_backoff_until = None;
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
