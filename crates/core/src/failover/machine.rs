//! The stages of a failover of one group.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::failover::{Evidence, Fencing, Verdict};
use crate::id;
use crate::status;

/// Time that the platform is given to answer a claim before the members' grants decide alone.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a claim in the table holds others back.
const CLAIM_LEASE: Duration = Duration::from_millis(1_500);
/// Time that members are given to answer a fence or promotion.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the second-ranked proxy starts, and each further rank after it.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Where a failover stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The primary serves.
    Idle,
    /// The primary is to be replaced once proxies of a higher rank have had their turn.
    Waiting {
        /// When this proxy starts.
        start_at: Instant,
    },
    /// The term is being claimed in the platform's table.
    Claiming {
        /// The question.
        ask: id::AskId,
        /// The term.
        term: id::Term,
    },
    /// Members are being fenced at the term.
    Fencing {
        /// The term.
        term: id::Term,
        /// Grants so far.
        fencing: Fencing,
        /// When the attempt is given up.
        deadline: Instant,
    },
    /// A member is being promoted.
    Promoting {
        /// The term.
        term: id::Term,
        /// The member.
        member: id::MemberId,
        /// When the attempt is given up.
        deadline: Instant,
    },
}

/// The stage without its data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StageName {
    /// See [`Stage::Idle`].
    Idle,
    /// See [`Stage::Waiting`].
    Waiting,
    /// See [`Stage::Claiming`].
    Claiming,
    /// See [`Stage::Fencing`].
    Fencing,
    /// See [`Stage::Promoting`].
    Promoting,
}

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
    /// This proxy's rank for the group; 0 starts first.
    pub rank: u32,
    /// Source of question identifiers.
    pub next_ask: &'a mut id::AskId,
    /// Effects to run.
    pub effects: &'a mut Vec<effect::Effect>,
}

/// The failover of one group at one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Failover {
    /// Where it stands.
    pub stage: Stage,
    /// No attempt starts before this instant.
    pub backoff_until: Option<Instant>,
}

impl Default for Failover {
    fn default() -> Self {
        Self {
            stage: Stage::Idle,
            backoff_until: None,
        }
    }
}

impl Stage {
    /// Returns the stage without its data.
    pub fn name(&self) -> StageName {
        match self {
            Self::Idle => StageName::Idle,
            Self::Waiting { .. } => StageName::Waiting,
            Self::Claiming { .. } => StageName::Claiming,
            Self::Fencing { .. } => StageName::Fencing,
            Self::Promoting { .. } => StageName::Promoting,
        }
    }
}

impl Failover {
    /// Moves on with time.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        match &self.stage {
            Stage::Idle => self.consider(context),
            Stage::Waiting { start_at } => {
                let due = context.now >= *start_at;
                match context.evidence.verdict() {
                    Verdict::Replace if due => self.claim(context),
                    Verdict::Replace => {}
                    _ => self.enter(context, Stage::Idle, 0),
                }
            }
            Stage::Claiming { .. } => {}
            Stage::Fencing { deadline, .. } | Stage::Promoting { deadline, .. } => {
                if context.now >= *deadline {
                    self.give_up(context);
                }
            }
        }
    }

    fn consider(&mut self, context: &mut Context<'_>) {
        let waits = self.backoff_until.is_some_and(|until| context.now < until);
        if waits || context.evidence.verdict() != Verdict::Replace {
            return;
        }
        let start_at = context.now + RANK_DELAY * context.rank;
        self.enter(context, Stage::Waiting { start_at }, 0);
        self.tick(context);
    }

    fn claim(&mut self, context: &mut Context<'_>) {
        let term = context.watch.top_term() + 1;
        let ask = next(context);
        context.effects.push(effect::Effect::Claim {
            ask,
            group: context.group,
            term,
            until: context.now + CLAIM_LEASE,
            deadline: context.now + CLAIM_TIMEOUT,
        });
        self.enter(context, Stage::Claiming { ask, term }, term);
    }

    /// Takes in the platform's answer to a claim.
    ///
    /// With the platform unavailable the attempt goes on: members grant a term to one claimant only,
    /// so a majority of grants excludes every other claimant by itself.
    pub fn claimed(&mut self, context: &mut Context<'_>, answer: event::ClaimAnswer) {
        let Stage::Claiming { ask, term } = self.stage else {
            return;
        };
        if ask != answer.ask {
            return;
        }
        match answer.result {
            event::ClaimResult::Won | event::ClaimResult::Unavailable => self.fence(context, term),
            event::ClaimResult::Held { until, .. } => {
                self.backoff_until = Some(until);
                self.enter(context, Stage::Idle, term);
            }
        }
    }

    fn fence(&mut self, context: &mut Context<'_>, term: id::Term) {
        let deadline = context.now + GRANT_TIMEOUT;
        for member in context.watch.members.keys() {
            let grant = grant(context, member, term, deadline);
            context.effects.push(effect::Effect::Fence(grant));
        }
        let fencing = Fencing::default();
        let stage = Stage::Fencing {
            term,
            fencing,
            deadline,
        };
        self.enter(context, stage, term);
    }

    /// Takes in a member's answer to a fence or promotion.
    pub fn granted(&mut self, context: &mut Context<'_>, answer: event::GrantAnswer) {
        let Some((status, granted)) = answer.result else {
            return;
        };
        match &mut self.stage {
            Stage::Fencing { term, fencing, .. } if granted && status.term == *term => {
                fencing.grant(answer.member, status);
                if fencing.len() >= context.watch.majority() {
                    self.promote(context);
                }
            }
            Stage::Promoting { term, member, .. }
                if granted
                    && status.primary
                    && status.term == *term
                    && *member == answer.member =>
            {
                let term = *term;
                self.enter(context, Stage::Idle, term);
            }
            Stage::Fencing { term, .. } if status.term > *term => self.give_up(context),
            _ => {}
        }
    }

    fn promote(&mut self, context: &mut Context<'_>) {
        let Stage::Fencing { term, fencing, .. } = &self.stage else {
            return;
        };
        let term = *term;
        let watch = context.watch;
        let nearest = |id| watch.members.get(id).map(|member| member.round_trip);
        let Some(member) = fencing.most_advanced(nearest) else {
            return;
        };
        let deadline = context.now + GRANT_TIMEOUT;
        let grant = grant(context, member, term, deadline);
        context.effects.push(effect::Effect::Promote(grant));
        let stage = Stage::Promoting {
            term,
            member,
            deadline,
        };
        self.enter(context, stage, term);
    }

    fn give_up(&mut self, context: &mut Context<'_>) {
        self.backoff_until = Some(context.now + RANK_DELAY * (context.rank + 1));
        self.enter(context, Stage::Idle, 0);
    }

    fn enter(&mut self, context: &mut Context<'_>, stage: Stage, term: id::Term) {
        self.stage = stage;
        context
            .effects
            .push(effect::Effect::Record(effect::Record::Failover {
                group: context.group,
                term,
                stage: self.stage.name(),
            }));
    }
}

fn next(context: &mut Context<'_>) -> id::AskId {
    *context.next_ask += 1;
    *context.next_ask
}

fn grant(
    context: &mut Context<'_>,
    member: id::MemberId,
    term: id::Term,
    deadline: Instant,
) -> effect::Grant {
    effect::Grant {
        ask: next(context),
        group: context.group,
        member,
        term,
        deadline,
    }
}
