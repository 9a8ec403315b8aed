//! The stages of a failover of one group.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::failover::attempt::{Attempt, Step, next};
use crate::failover::{Evidence, Fencing, Stage, Verdict};
use crate::id;
use crate::status;

/// Time that the platform is given to answer a claim before the members' grants decide alone.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a claim in the table holds others back.
const CLAIM_LEASE: Duration = Duration::from_millis(1_500);
/// Time for which replicas must go on missing a primary that answers: one that was paused hears it again
/// within a round of replication.
const STARVED_CONFIRM: Duration = Duration::from_millis(600);
/// Time between replacements of primaries that answer; where all members are cut from each other the next
/// primary fares no better.
const STARVED_BACKOFF: Duration = Duration::from_secs(10);
/// Delay before the second-ranked proxy starts, and each further rank after it.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// Range, in steps of the rank's delay, over which claimants that failed are spread.
const BACKOFF_SPREAD: u64 = 4;
/// Delay of a proxy that has lost all its peers and may be the only one to miss the primary.
const LONE_DELAY: Duration = Duration::from_secs(5);

/// What a step of the failover may look at.
pub struct Context<'a> {
    /// Current time.
    pub now: Instant,
    /// The group.
    pub group: id::GroupId,
    /// What is known of the members.
    pub watch: &'a status::Watch,
    /// What this proxy and its peers see.
    pub evidence: Evidence,
    /// Members whose VM is leaving.
    pub leaving: &'a [id::MemberId],
    /// This proxy.
    pub proxy: id::ProxyId,
    /// This proxy's rank for the group; 0 starts first.
    pub rank: u32,
    /// Source of question identifiers.
    pub next_ask: &'a mut id::AskId,
    /// Effects to run.
    pub effects: &'a mut Vec<effect::Effect>,
}

/// The failover of one group at one proxy.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Failover {
    /// Where it stands.
    pub stage: Stage,
    /// No attempt starts before this instant.
    pub backoff_until: Option<Instant>,
    /// Highest term that this proxy has used or found taken. No term is used twice, as a promotion of an
    /// earlier attempt may still be on its way.
    pub used_term: id::Term,
    /// Since when the primary has been missed without interruption.
    pub missed_since: Option<Instant>,
    /// Since when the primary's VM has been leaving.
    pub leaving_since: Option<Instant>,
    /// A primary that answers is neither moved nor replaced before this instant.
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
    /// Moves on with time.
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
            Verdict::Replace if context.evidence.primary_starved => {
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
                primary_starved: true,
                ..
            } => context.now + STARVED_CONFIRM,
            Evidence { lone: true, .. } => context.now.max(missed_since + LONE_DELAY),
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

    /// Starts once the members have confirmed what was seen and proxies of a higher rank had their turn.
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
            // Another proxy is at work.
            return self.start_waiting(context);
        }
        let starved = context.evidence.primary_starved;
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
        let ask = next(context);
        let deadline = context.now + CLAIM_TIMEOUT;
        let until = context.now + CLAIM_LEASE;
        context.effects.push(effect::Effect::Claim {
            ask,
            group: context.group,
            term,
            until,
            deadline,
        });
        let stage = Stage::Claiming {
            ask,
            term,
            deadline,
            until,
        };
        self.enter(context, stage, term);
    }

    /// Takes in the platform's answer to a claim. An answer lost after taking effect is found again by the
    /// shell, which repeats the claim under the same claimant and reports it as won.
    ///
    /// With the platform unavailable the attempt goes on: members grant a term to one claimant only,
    /// so a majority of grants excludes every other claimant by itself.
    pub fn claimed(&mut self, context: &mut Context<'_>, answer: event::ClaimAnswer) {
        let Stage::Claiming {
            ask, term, until, ..
        } = self.stage
        else {
            return;
        };
        if ask != answer.ask {
            return;
        }
        match answer.result {
            // This proxy was paused: what it saw before no longer counts.
            _ if context.now >= until => self.give_up(context),
            event::ClaimResult::Won | event::ClaimResult::Unavailable => {
                self.proceed(context, term)
            }
            event::ClaimResult::Held { until, term: held } => {
                self.used_term = self.used_term.max(held);
                // The row's deadline comes from another clock.
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

    /// Goes on from a claim.
    fn proceed(&mut self, context: &mut Context<'_>, term: id::Term) {
        if context.watch.top_term() >= term {
            // Another proxy has fenced members at the term meanwhile.
            return self.give_up(context);
        }
        let primary = context.watch.primary().map(|member| member.id);
        match (context.evidence.verdict(), primary) {
            (Verdict::Move, Some(primary)) => self.hand_over(context, term, primary),
            // Its log may be the furthest, but nothing in it that a majority lacks was acknowledged.
            (Verdict::Replace, Some(primary)) if context.evidence.primary_starved => {
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

    /// Takes in a member's answer to a fence or promotion. Answers to questions of earlier attempts are
    /// ignored.
    pub fn granted(&mut self, context: &mut Context<'_>, answer: event::TermAnswer) {
        let (Stage::HandingOver { attempt, .. }
        | Stage::Fencing { attempt, .. }
        | Stage::Promoting { attempt, .. }) = &mut self.stage
        else {
            return;
        };
        if !attempt.take(answer.member, answer.ask) {
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
        // Claimants that met must not meet again, also when none knows of another.
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
    /// Returns whether a primary of this term or a later one answers.
    fn served_at(&self, term: id::Term) -> bool {
        self.evidence.primary_answers && self.watch.top_term() >= term
    }
}
