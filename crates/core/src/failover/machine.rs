//! Drives the failover of one group through its stages.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::failover::term_requests::{Action, TermRequests, new_control_request_id};
use crate::failover::{Evidence, Stage, TermAnswers, Verdict};
use crate::id;
use crate::status;

/// Time that the platform has to answer a claim; afterwards the members' grants alone decide.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a claim in the platform's table keeps other proxies from claiming.
const CLAIM_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time for which a majority of members must not hear from the primary before this proxy replaces it, although it
/// answers the proxy. A replica that was only paused hears from the primary again within that time: primary and
/// replica contact each other at least every 500 ms.
const LOST_MAJORITY_GRACE_PERIOD: Duration = Duration::from_millis(600);
/// Minimum time between replacements of primaries that answer. If all members are cut off from each other, the
/// next primary has no majority either.
const LOST_MAJORITY_BACKOFF: Duration = Duration::from_secs(10);
/// Delay per rank of the proxy before it starts a failover; the first-ranked proxy starts at once.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// A proxy whose attempt failed waits from 0 to `BACKOFF_SPREAD_STEPS - 1` additional steps of [`RANK_DELAY`], by a
/// hash of its identifier and the term.
const BACKOFF_SPREAD_STEPS: u64 = 4;
/// Delay before a proxy that has lost all its peers starts a failover: it may be the only one that cannot reach
/// the primary.
const ALL_PEERS_LOST_DELAY: Duration = Duration::from_secs(5);

/// Inputs and outputs of a step of the failover.
pub struct Context<'a> {
    /// Time of the step.
    pub now: Instant,
    /// Group whose primary is watched.
    pub group: id::GroupId,
    /// View of the group's members.
    pub watch: &'a status::Watch,
    /// What this proxy and its live peers observe of the group.
    pub evidence: Evidence,
    /// Members whose VM is leaving.
    pub leaving: &'a [id::MemberId],
    /// Identifier of this proxy.
    pub proxy: id::ProxyId,
    /// Rank of this proxy for the group; rank 0 starts first.
    pub rank: u32,
    /// Identifier of the last control request; the next one is one higher.
    pub last_control_request: &'a mut id::ControlRequestId,
    /// Effects that the step adds for the shell to run.
    pub effects: &'a mut Vec<effect::Effect>,
}

/// Failover of one group, as one proxy carries it out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Failover {
    /// Current stage.
    pub stage: Stage,
    /// Earliest start of the next attempt, after one that failed or that met another proxy's claim.
    pub backoff_until: Option<Instant>,
    /// Highest term that this proxy has claimed or that another proxy's claim holds. No term is used twice, since a
    /// promotion of an earlier attempt may still arrive.
    pub used_term: id::Term,
    /// When this proxy first wanted to replace the primary; reset by a verdict of `Healthy` or `HandOver`.
    pub replacement_wanted_since: Option<Instant>,
    /// When the VM of the current primary was first seen leaving.
    pub primary_leaving_since: Option<Instant>,
    /// Earliest time of the next handover or replacement of a primary that answers.
    pub answering_primary_backoff_until: Option<Instant>,
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            stage: Stage::Idle,
            backoff_until: None,
            used_term: 0,
            replacement_wanted_since: None,
            primary_leaving_since: None,
            answering_primary_backoff_until: None,
        }
    }
}

impl Failover {
    /// Starts, continues or gives up an attempt as time passes.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        match &mut self.stage {
            Stage::Idle => self.start_if_needed(context),
            Stage::Waiting { .. } => self.claim_if_due(context),
            Stage::Claiming { term, deadline, .. } => {
                let (term, is_overdue) = (*term, context.now >= *deadline);
                if context.evidence.verdict() == Verdict::Healthy {
                    self.enter_stage(context, Stage::Idle, term);
                } else if is_overdue {
                    self.proceed_without_platform(context);
                }
            }
            Stage::HandingOver { requests, .. } => {
                if context.now >= requests.deadline {
                    return self.fall_back_to_fencing(context);
                }
                requests.resend(context);
                self.fence_successor(context);
            }
            Stage::Fencing { requests, .. } | Stage::Promoting { requests, .. } => {
                let (term, is_overdue) = (requests.term, context.now >= requests.deadline);
                if context.has_answering_primary(term) {
                    self.enter_stage(context, Stage::Idle, term);
                } else if is_overdue {
                    self.give_up(context);
                } else {
                    requests.resend(context);
                }
            }
        }
    }

    /// Enters [`Stage::Waiting`] or starts a handover, if the evidence demands it.
    fn start_if_needed(&mut self, context: &mut Context<'_>) {
        let is_backing_off = self.backoff_until.is_some_and(|until| context.now < until);
        match context.evidence.verdict() {
            Verdict::Replace if context.evidence.primary_lost_majority => {
                let answering_primary_is_backing_off = self
                    .answering_primary_backoff_until
                    .is_some_and(|at| context.now < at);
                if !is_backing_off && !answering_primary_is_backing_off {
                    self.enter_waiting(context);
                }
            }
            Verdict::Replace if !is_backing_off => self.enter_waiting(context),
            Verdict::HandOver if !is_backing_off => {
                self.replacement_wanted_since = None;
                self.start_handover_if_due(context);
            }
            Verdict::Healthy => {
                self.replacement_wanted_since = None;
                self.primary_leaving_since = None;
            }
            _ => {}
        }
    }

    /// Enters [`Stage::Waiting`] with the delay that the evidence and this proxy's rank demand.
    fn enter_waiting(&mut self, context: &mut Context<'_>) {
        let replacement_wanted_since = *self.replacement_wanted_since.get_or_insert(context.now);
        let earliest = match context.evidence {
            Evidence {
                primary_lost_majority: true,
                ..
            } => context.now + LOST_MAJORITY_GRACE_PERIOD,
            Evidence {
                all_peers_lost: true,
                ..
            } => context
                .now
                .max(replacement_wanted_since + ALL_PEERS_LOST_DELAY),
            _ => context.now,
        };
        let claim_at = earliest + RANK_DELAY * context.rank;
        let stage = Stage::Waiting {
            since: context.now,
            claim_at,
            term: context.watch.top_term(),
        };
        self.enter_stage(context, stage, 0);
    }

    /// Claims a term once every reachable member has answered again and the delay for this proxy's rank has
    /// passed.
    fn claim_if_due(&mut self, context: &mut Context<'_>) {
        let Stage::Waiting {
            since,
            claim_at,
            term,
        } = self.stage
        else {
            return;
        };
        if context.evidence.verdict() != Verdict::Replace {
            return self.enter_stage(context, Stage::Idle, 0);
        }
        if context.watch.top_term() > term {
            // Another proxy has started a failover.
            return self.enter_waiting(context);
        }
        let lost_majority = context.evidence.primary_lost_majority;
        // Members that no longer hear from the primary must still report so at the end of the grace period.
        let since = if lost_majority { claim_at } else { since };
        if context.now >= claim_at && context.watch.all_answered_since(since) {
            if lost_majority {
                self.answering_primary_backoff_until = Some(context.now + LOST_MAJORITY_BACKOFF);
            }
            self.claim(context);
        }
    }

    /// Claims the next unused term in the platform's table.
    pub(super) fn claim(&mut self, context: &mut Context<'_>) {
        let term = context.watch.top_term().max(self.used_term) + 1;
        self.used_term = term;
        let control_request = new_control_request_id(context);
        let deadline = context.now + CLAIM_TIMEOUT;
        let until = context.now + CLAIM_LIFETIME;
        context.effects.push(effect::Effect::Claim {
            control_request,
            group: context.group,
            term,
            until,
            deadline,
        });
        let stage = Stage::Claiming {
            control_request,
            term,
            deadline,
            until,
        };
        self.enter_stage(context, stage, term);
    }

    /// Applies the platform's answer to a claim. If the answer is lost, the shell looks into the claim row; if the
    /// row already holds this claim, the shell reports it as won.
    ///
    /// If the platform is unavailable, the attempt continues: members grant a term to one claimant only, so a
    /// majority of grants alone excludes every other claimant.
    pub fn apply_claim_answer(&mut self, context: &mut Context<'_>, answer: event::ClaimAnswer) {
        let Stage::Claiming {
            control_request,
            term,
            until,
            ..
        } = self.stage
        else {
            return;
        };
        if control_request != answer.control_request {
            return;
        }
        match answer.result {
            // This proxy was paused for longer than the claim lasts, so its evidence is out of date.
            _ if context.now >= until => self.give_up(context),
            event::ClaimResult::Won | event::ClaimResult::Unavailable => {
                self.proceed_with_claim(context, term)
            }
            event::ClaimResult::Held {
                until: held_until,
                term: held_term,
            } => {
                self.used_term = self.used_term.max(held_term);
                // The expiry in the claim row was set by another proxy's clock, so it is capped by this proxy's
                // clock.
                self.backoff_until = Some(held_until.min(context.now + CLAIM_LIFETIME));
                self.enter_stage(context, Stage::Idle, term);
            }
        }
    }

    /// Proceeds without the platform's answer, unless the claim has expired.
    fn proceed_without_platform(&mut self, context: &mut Context<'_>) {
        let Stage::Claiming { term, until, .. } = self.stage else {
            return;
        };
        match context.now < until {
            true => self.proceed_with_claim(context, term),
            false => self.give_up(context),
        }
    }

    /// Fences members after the claim: all of them, only the primary for a handover, or all but a primary that has
    /// lost its majority.
    fn proceed_with_claim(&mut self, context: &mut Context<'_>, term: id::Term) {
        if context.watch.top_term() >= term {
            // Meanwhile another proxy has fenced members at this term or a later one.
            return self.give_up(context);
        }
        let primary = context.watch.primary().map(|member| member.id);
        match (context.evidence.verdict(), primary) {
            (Verdict::HandOver, Some(primary)) => self.fence_primary(context, term, primary),
            // The primary is left out: with the most advanced log it would be promoted again. No acknowledged write
            // is lost, since every majority contains a member that holds it.
            (Verdict::Replace, Some(primary)) if context.evidence.primary_lost_majority => {
                let others = context.members_except(primary);
                self.fence(context, term, TermAnswers::default(), &others);
            }
            _ => {
                let members: Vec<_> = context.watch.members.keys().collect();
                self.fence(context, term, TermAnswers::default(), &members);
            }
        }
    }

    /// Fences members in addition to those that have granted the term.
    pub(super) fn fence(
        &mut self,
        context: &mut Context<'_>,
        term: id::Term,
        answers: TermAnswers,
        members: &[id::MemberId],
    ) {
        let mut requests = TermRequests::new(context, Action::Fence, term);
        for member in members {
            requests.send(context, *member);
        }
        let stage = Stage::Fencing { requests, answers };
        self.enter_stage(context, stage, term);
    }

    /// Applies a member's answer to a fence or promotion. Ignores answers to requests of earlier attempts.
    pub fn apply_term_answer(&mut self, context: &mut Context<'_>, answer: event::TermAnswer) {
        let (Stage::HandingOver { requests, .. }
        | Stage::Fencing { requests, .. }
        | Stage::Promoting { requests, .. }) = &mut self.stage
        else {
            return;
        };
        if !requests.remove_request(answer.member, answer.control_request) {
            return;
        }
        let (term, is_overdue) = (requests.term, context.now >= requests.deadline);
        let Some((status, granted)) = answer.result else {
            return;
        };
        if is_overdue || status.term > term {
            return self.give_up(context);
        }
        requests.mark_answered(answer.member);
        let unanswered = requests.unanswered_count();
        let granted = granted && status.term == term;
        let majority = context.watch.majority();
        match &mut self.stage {
            Stage::HandingOver { fenced, .. } if granted => {
                *fenced = Some((answer.member, status));
                self.fence_successor(context);
            }
            Stage::Fencing { answers, .. } => {
                if granted {
                    answers.record_grant(answer.member, status);
                }
                if answers.len() >= majority {
                    self.promote(context);
                } else if answers.len() + unanswered < majority {
                    self.give_up(context);
                }
            }
            Stage::Promoting { .. } if granted && status.primary => {
                self.enter_stage(context, Stage::Idle, term);
            }
            _ => self.give_up(context),
        }
    }

    /// Promotes the most advanced of the members that granted the term. Prefers members whose VM stays, then near
    /// ones.
    fn promote(&mut self, context: &mut Context<'_>) {
        let Stage::Fencing { requests, answers } = &self.stage else {
            return;
        };
        let term = requests.term;
        let watch = context.watch;
        let leaving = context.leaving;
        let leaving_then_round_trip = |id: id::MemberId| {
            let member = watch.members.get(id);
            (leaving.contains(&id), member.map(|m| m.round_trip))
        };
        let Some(member) = answers.most_advanced(leaving_then_round_trip) else {
            return;
        };
        let mut requests = TermRequests::new(context, Action::Promote, term);
        requests.send(context, member);
        let stage = Stage::Promoting { requests, member };
        self.enter_stage(context, stage, term);
    }

    /// Ends the attempt and delays the next one.
    pub(super) fn give_up(&mut self, context: &mut Context<'_>) {
        // The delay differs between proxies, so that claimants that collided don't collide again, even if they
        // don't know of each other.
        let spread_steps =
            id::rendezvous_weight(self.used_term, context.proxy) % BACKOFF_SPREAD_STEPS;
        let steps = context.rank + 1 + u32::try_from(spread_steps).unwrap_or_default();
        self.backoff_until = Some(context.now + RANK_DELAY * steps);
        self.enter_stage(context, Stage::Idle, 0);
    }

    /// Enters a stage and records it. `term` is the term of the attempt, or 0 before a term is claimed and after the
    /// attempt was given up.
    pub(super) fn enter_stage(&mut self, context: &mut Context<'_>, stage: Stage, term: id::Term) {
        self.stage = stage;
        context.effects.push(effect::Effect::RecordChange(
            effect::StateChange::Failover {
                group: context.group,
                term,
                stage: self.stage.name(),
            },
        ));
    }
}

impl Context<'_> {
    /// Returns whether a primary answers and the highest known term is this one or a later one.
    fn has_answering_primary(&self, term: id::Term) -> bool {
        self.evidence.primary_answers && self.watch.top_term() >= term
    }
}
