//! Drives the failover of one group through its stages.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::failover::attempt::{Attempt, Step, next};
use crate::failover::{Evidence, Fencing, Stage, Verdict};
use crate::id;
use crate::status;

/// Time that the platform has to answer a claim; afterwards the members' grants alone decide.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a claim in the platform's table keeps other proxies from claiming.
const CLAIM_LEASE: Duration = Duration::from_millis(1_500);
/// Time for which a majority must keep missing a primary that answers before it is replaced. A replica that was
/// only paused hears the primary again within a round of replication.
const STARVED_CONFIRM: Duration = Duration::from_millis(600);
/// Minimum time between replacements of primaries that answer. If all members are cut off from each other, the
/// next primary has no majority either.
const STARVED_BACKOFF: Duration = Duration::from_secs(10);
/// Delay per rank of the proxy before it starts a failover; the first-ranked proxy starts at once.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Number of delays, each one [`RANK_DELAY`] longer than the one before, over which claimants that failed are
/// spread.
const BACKOFF_SPREAD: u64 = 4;
/// Delay before a proxy that has lost all its peers starts a failover: it may be the only one that cannot reach
/// the primary.
const LONE_DELAY: Duration = Duration::from_secs(5);

/// Inputs and outputs of a step of the failover.
pub struct Context<'a> {
    /// Current time.
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
    pub next_control_request: &'a mut id::ControlRequestId,
    /// Effects that the step adds for the shell to run.
    pub effects: &'a mut Vec<effect::Effect>,
}

/// Failover of one group, as one proxy carries it out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Failover {
    /// Current stage.
    pub stage: Stage,
    /// Earliest start of the next attempt, after one that failed or that another claimant held off.
    pub backoff_until: Option<Instant>,
    /// Highest term that this proxy has claimed or that another claimant holds. No term is used twice, since a
    /// promotion of an earlier attempt may still arrive.
    pub used_term: id::Term,
    /// Start of the current uninterrupted time in which the primary has been missed.
    pub missed_since: Option<Instant>,
    /// When the VM of the current primary was first seen leaving.
    pub leaving_since: Option<Instant>,
    /// Earliest time of the next move or replacement of a primary that answers.
    pub spared_until: Option<Instant>,
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            stage: Stage::Idle,
            backoff_until: None,
            used_term: 0,
            missed_since: None,
            leaving_since: None,
            spared_until: None,
        }
    }
}

impl Failover {
    /// Starts, continues or gives up an attempt as time passes.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        match &mut self.stage {
            Stage::Idle => self.consider(context),
            Stage::Waiting { .. } => self.wait(context),
            Stage::Claiming { term, deadline, .. } => {
                let (term, due) = (*term, context.now >= *deadline);
                if context.evidence.verdict() == Verdict::Healthy {
                    self.enter(context, Stage::Idle, term);
                } else if due {
                    self.decide_alone(context);
                }
            }
            Stage::HandingOver { attempt, .. } => {
                if context.now >= attempt.deadline {
                    return self.fall_back(context);
                }
                attempt.resend(context);
                self.follow_up(context);
            }
            Stage::Fencing { attempt, .. } | Stage::Promoting { attempt, .. } => {
                let (term, overdue) = (attempt.term, context.now >= attempt.deadline);
                if context.served_at(term) {
                    self.enter(context, Stage::Idle, term);
                } else if overdue {
                    self.give_up(context);
                } else {
                    attempt.resend(context);
                }
            }
        }
    }

    fn consider(&mut self, context: &mut Context<'_>) {
        let waits = self.backoff_until.is_some_and(|until| context.now < until);
        match context.evidence.verdict() {
            Verdict::Replace if context.evidence.primary_lost_majority => {
                let rests = self.spared_until.is_some_and(|at| context.now < at);
                if !waits && !rests {
                    self.start_waiting(context);
                }
            }
            Verdict::Replace if !waits => self.start_waiting(context),
            Verdict::Move if !waits => {
                self.missed_since = None;
                self.consider_move(context);
            }
            Verdict::Healthy => {
                self.missed_since = None;
                self.leaving_since = None;
            }
            _ => {}
        }
    }

    fn start_waiting(&mut self, context: &mut Context<'_>) {
        let missed_since = *self.missed_since.get_or_insert(context.now);
        let earliest = match context.evidence {
            Evidence {
                primary_lost_majority: true,
                ..
            } => context.now + STARVED_CONFIRM,
            Evidence {
                all_peers_lost: true,
                ..
            } => context.now.max(missed_since + LONE_DELAY),
            _ => context.now,
        };
        let start_at = earliest + RANK_DELAY * context.rank;
        let stage = Stage::Waiting {
            since: context.now,
            start_at,
            term: context.watch.top_term(),
        };
        self.enter(context, stage, 0);
    }

    /// Claims a term once every reachable member has answered again and the delay for this proxy's rank has
    /// passed.
    fn wait(&mut self, context: &mut Context<'_>) {
        let Stage::Waiting {
            since,
            start_at,
            term,
        } = self.stage
        else {
            return;
        };
        if context.evidence.verdict() != Verdict::Replace {
            return self.enter(context, Stage::Idle, 0);
        }
        if context.watch.top_term() > term {
            // Another proxy has started a failover.
            return self.start_waiting(context);
        }
        let starved = context.evidence.primary_lost_majority;
        let since = if starved { start_at } else { since };
        if context.now >= start_at && context.watch.heard_since(since) {
            if starved {
                self.spared_until = Some(context.now + STARVED_BACKOFF);
            }
            self.claim(context);
        }
    }

    pub(super) fn claim(&mut self, context: &mut Context<'_>) {
        let term = context.watch.top_term().max(self.used_term) + 1;
        self.used_term = term;
        let control_request = next(context);
        let deadline = context.now + CLAIM_TIMEOUT;
        let until = context.now + CLAIM_LEASE;
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
        self.enter(context, stage, term);
    }

    /// Applies the platform's answer to a claim. If the answer to a recorded claim is lost, the shell repeats the
    /// claim under the same claimant and reports it as won.
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
            // This proxy was paused for longer than the lease, so its evidence is out of date.
            _ if context.now >= until => self.give_up(context),
            event::ClaimResult::Won | event::ClaimResult::Unavailable => {
                self.proceed(context, term)
            }
            event::ClaimResult::Held { until, term: held } => {
                self.used_term = self.used_term.max(held);
                // The deadline in the row was set by another clock, so it is capped by this one.
                self.backoff_until = Some(until.min(context.now + CLAIM_LEASE));
                self.enter(context, Stage::Idle, term);
            }
        }
    }

    fn decide_alone(&mut self, context: &mut Context<'_>) {
        let Stage::Claiming { term, until, .. } = self.stage else {
            return;
        };
        match context.now < until {
            true => self.proceed(context, term),
            false => self.give_up(context),
        }
    }

    /// Fences members after the claim, all of them or those that the kind of failover needs.
    fn proceed(&mut self, context: &mut Context<'_>, term: id::Term) {
        if context.watch.top_term() >= term {
            // Meanwhile another proxy has fenced members at this term or a later one.
            return self.give_up(context);
        }
        let primary = context.watch.primary().map(|member| member.id);
        match (context.evidence.verdict(), primary) {
            (Verdict::Move, Some(primary)) => self.hand_over(context, term, primary),
            // The primary's log may be the most advanced, but no entry that a majority lacks was acknowledged.
            (Verdict::Replace, Some(primary)) if context.evidence.primary_lost_majority => {
                let others = context.others(primary);
                self.fence(context, term, Fencing::default(), &others);
            }
            _ => {
                let members: Vec<_> = context.watch.members.keys().collect();
                self.fence(context, term, Fencing::default(), &members);
            }
        }
    }

    /// Fences members in addition to those that have granted the term.
    pub(super) fn fence(
        &mut self,
        context: &mut Context<'_>,
        term: id::Term,
        fencing: Fencing,
        members: &[id::MemberId],
    ) {
        let mut attempt = Attempt::new(context, Step::Fence, term);
        for member in members {
            attempt.send(context, *member);
        }
        let stage = Stage::Fencing { attempt, fencing };
        self.enter(context, stage, term);
    }

    /// Applies a member's answer to a fence or promotion. Ignores answers to requests of earlier attempts.
    pub fn apply_term_answer(&mut self, context: &mut Context<'_>, answer: event::TermAnswer) {
        let (Stage::HandingOver { attempt, .. }
        | Stage::Fencing { attempt, .. }
        | Stage::Promoting { attempt, .. }) = &mut self.stage
        else {
            return;
        };
        if !attempt.take(answer.member, answer.control_request) {
            return;
        }
        let (term, overdue) = (attempt.term, context.now >= attempt.deadline);
        let Some((status, granted)) = answer.result else {
            return;
        };
        if overdue || status.term > term {
            return self.give_up(context);
        }
        attempt.settle(answer.member);
        let open = attempt.open();
        let granted = granted && status.term == term;
        let majority = context.watch.majority();
        match &mut self.stage {
            Stage::HandingOver { fenced, .. } if granted => {
                *fenced = Some((answer.member, status));
                self.follow_up(context);
            }
            Stage::Fencing { fencing, .. } => {
                if granted {
                    fencing.grant(answer.member, status);
                }
                if fencing.len() >= majority {
                    self.promote(context);
                } else if fencing.len() + open < majority {
                    self.give_up(context);
                }
            }
            Stage::Promoting { .. } if granted && status.primary => {
                self.enter(context, Stage::Idle, term);
            }
            _ => self.give_up(context),
        }
    }

    fn promote(&mut self, context: &mut Context<'_>) {
        let Stage::Fencing { attempt, fencing } = &self.stage else {
            return;
        };
        let term = attempt.term;
        let watch = context.watch;
        let leaving = context.leaving;
        let staying_and_near = |id: id::MemberId| {
            let member = watch.members.get(id);
            (leaving.contains(&id), member.map(|m| m.round_trip))
        };
        let Some(member) = fencing.most_advanced(staying_and_near) else {
            return;
        };
        let mut attempt = Attempt::new(context, Step::Promote, term);
        attempt.send(context, member);
        let stage = Stage::Promoting { attempt, member };
        self.enter(context, stage, term);
    }

    pub(super) fn give_up(&mut self, context: &mut Context<'_>) {
        // The delay differs between proxies, so that claimants that collided don't collide again, even if they
        // don't know of each other.
        let spread = id::rendezvous_weight(self.used_term, context.proxy) % BACKOFF_SPREAD;
        let steps = context.rank + 1 + u32::try_from(spread).unwrap_or_default();
        self.backoff_until = Some(context.now + RANK_DELAY * steps);
        self.enter(context, Stage::Idle, 0);
    }

    pub(super) fn enter(&mut self, context: &mut Context<'_>, stage: Stage, term: id::Term) {
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
    fn served_at(&self, term: id::Term) -> bool {
        self.evidence.primary_answers && self.watch.top_term() >= term
    }
}
