//! A claimant in the model: the real failover, driven without a clock.

use std::time::Instant;

use fulmarlift_core::{effect, event, failover, status};

use crate::model::member::MEMBERS;

const GROUP: u64 = 1;

/// What a claimant observes of the members when it takes a step.
#[derive(Clone, Copy, Debug)]
pub enum Observation<'a> {
    /// No primary answers; the highest term that the claimant knows.
    PrimaryMissed(u8),
    /// All members answer with these reports, and the primary's VM is leaving.
    PrimaryLeaving(&'a [event::Status; MEMBERS]),
}

/// A proxy that may claim terms.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Claimant {
    pub failover: failover::Failover,
    pub attempts: u8,
}

/// Effects of a claimant's step, of which the model delivers fences and promotions.
pub type Effects = Vec<effect::Effect>;

impl Claimant {
    /// Starts an attempt while the platform's table is unavailable; returns none if the failover claims no term.
    pub fn start(&mut self, now: Instant, observation: Observation<'_>) -> Option<Effects> {
        self.attempts += 1;
        let mut effects = Vec::new();
        self.run(now, observation, &mut effects, |failover, context| {
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
        self.run(now, observation, &mut effects, |failover, context| {
            failover.apply_claim_answer(context, answer);
        });
        Some(effects)
    }

    /// Applies a member's answer to a fence or promotion.
    pub fn answer_term_request(
        &mut self,
        now: Instant,
        observation: Observation<'_>,
        answer: event::TermAnswer,
    ) -> Effects {
        let mut effects = Vec::new();
        self.run(now, observation, &mut effects, |failover, context| {
            failover.apply_term_answer(context, answer);
        });
        effects
    }

    /// Ticks the failover with a new observation.
    pub fn tick(&mut self, now: Instant, observation: Observation<'_>) -> Effects {
        let mut effects = Vec::new();
        self.run(now, observation, &mut effects, failover::Failover::tick);
        effects
    }

    /// Ticks the failover at the deadline of its current attempt.
    pub fn time_out(&mut self) -> Effects {
        let (failover::Stage::HandingOver { requests, .. }
        | failover::Stage::Fencing { requests, .. }
        | failover::Stage::Promoting { requests, .. }) = &self.failover.stage
        else {
            return Vec::new();
        };
        let deadline = requests.deadline;
        self.tick(deadline, Observation::PrimaryMissed(0))
    }

    /// Returns whether the claimant is in a handover and has not found a successor yet.
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

    /// Runs a step of the failover, and resets its delays: the model has no clock.
    fn run(
        &mut self,
        now: Instant,
        observation: Observation<'_>,
        effects: &mut Effects,
        step: impl FnOnce(&mut failover::Failover, &mut failover::Context<'_>),
    ) {
        let mut watch = status::Watch::new(GROUP, 0..MEMBERS as u64, now);
        let mut leaving = Vec::new();
        match observation {
            Observation::PrimaryMissed(top_term) => {
                let known = event::Status {
                    term: u64::from(top_term),
                    ..event::Status::default()
                };
                watch.record_status(now, 0, known);
            }
            Observation::PrimaryLeaving(statuses) => {
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
        // Control requests of the same stage and term always get the same numbers, so that equal states are found
        // equal.
        let mut last_control_request =
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
            last_control_request: &mut last_control_request,
            effects,
        };
        step(&mut self.failover, &mut context);
        self.failover.backoff_until = None;
        self.failover.replacement_wanted_since = None;
        self.failover.primary_leaving_since = None;
        self.failover.answering_primary_backoff_until = None;
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
