//! The questions and grants of one attempt to replace a primary.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::failover::Context;
use crate::id;
use crate::sorted;

/// Time that members are given to answer a fence or promotion.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a fence or promotion without an answer is sent again.
const GRANT_RESEND: Duration = Duration::from_millis(150);

/// What members are asked for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// To grant the term.
    Fence,
    /// To become its primary.
    Promote,
}

/// Questions of one step at one term.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    /// What members are asked for.
    pub step: Step,
    /// The term.
    pub term: id::Term,
    /// When the attempt is given up.
    pub deadline: Instant,
    resend_at: Instant,
    unanswered: sorted::Map<id::MemberId, Vec<id::AskId>>,
}

impl Attempt {
    /// Starts a step.
    pub fn new(context: &Context<'_>, step: Step, term: id::Term) -> Self {
        Self {
            step,
            term,
            deadline: context.now + GRANT_TIMEOUT,
            resend_at: context.now + GRANT_RESEND,
            unanswered: sorted::Map::default(),
        }
    }

    /// Asks a member.
    pub fn send(&mut self, context: &mut Context<'_>, member: id::MemberId) {
        let ask = next(context);
        self.unanswered.entry(member).push(ask);
        let grant = effect::TermRequest {
            ask,
            group: context.group,
            member,
            term: self.term,
            deadline: self.deadline,
        };
        context.effects.push(match self.step {
            Step::Fence => effect::Effect::Fence(grant),
            Step::Promote => effect::Effect::Promote(grant),
        });
    }

    /// Asks again, when due, the members that have not granted; both steps are idempotent.
    pub fn resend(&mut self, context: &mut Context<'_>) {
        if context.now < self.resend_at {
            return;
        }
        self.resend_at = context.now + GRANT_RESEND;
        let members: Vec<_> = self.unanswered.keys().collect();
        for member in members {
            self.send(context, member);
        }
    }

    /// Returns whether the question is one of this step to this member, and forgets it.
    pub fn take(&mut self, member: id::MemberId, ask: id::AskId) -> bool {
        let Some(asks) = self.unanswered.get_mut(member) else {
            return false;
        };
        let known = asks.len();
        asks.retain(|id| *id != ask);
        asks.len() < known
    }

    /// Returns how many members have neither granted nor refused.
    pub fn open(&self) -> usize {
        self.unanswered.len()
    }

    /// Notes that a member need not be asked again.
    pub fn settle(&mut self, member: id::MemberId) {
        self.unanswered.remove(member);
    }
}

/// Draws the identifier of the next question.
pub fn next(context: &mut Context<'_>) -> id::AskId {
    *context.next_ask += 1;
    *context.next_ask
}

/// Grants of one term.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Fencing {
    granted: sorted::Map<id::MemberId, event::Status>,
}

impl Fencing {
    /// Notes that a member granted the term and what its log ends with.
    pub fn grant(&mut self, member: id::MemberId, status: event::Status) {
        self.granted.insert(member, status);
    }

    /// Returns the number of members that granted the term.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Returns whether no member has granted the term.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    /// Returns the member whose log is the most advanced, by term of its last entry, then by position.
    /// Among equals the first for which `prefer` ranks lowest wins.
    pub fn most_advanced<R: Ord>(
        &self,
        mut prefer: impl FnMut(id::MemberId) -> R,
    ) -> Option<id::MemberId> {
        let newest = self.granted.values().map(|status| status.last).max()?;
        let equals = self
            .granted
            .iter()
            .filter(|(_, status)| status.last == newest);
        equals
            .map(|(member, _)| member)
            .min_by_key(|member| prefer(*member))
    }
}
