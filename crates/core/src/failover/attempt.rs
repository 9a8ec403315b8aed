//! Fence and promotion requests of one attempt to replace a primary, and the grants that answer them.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::failover::Context;
use crate::id;
use crate::sorted;

/// Time that members have to answer a fence or promotion.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between repeated requests to a member that has not answered a fence or promotion.
const GRANT_RESEND: Duration = Duration::from_millis(150);

/// What an attempt requests of members.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Step {
    /// Grant the term and accept no primary of an earlier one.
    Fence,
    /// Become the primary of the term.
    Promote,
}

/// Requests of one kind to members at one term, and which of them are unanswered.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    /// What the attempt requests of members.
    pub step: Step,
    /// Term at which members are fenced or promoted.
    pub term: id::Term,
    /// When the attempt fails unless enough members have answered.
    pub deadline: Instant,
    resend_at: Instant,
    unanswered: sorted::Map<id::MemberId, Vec<id::ControlRequestId>>,
}

impl Attempt {
    /// Creates an attempt that has sent no request.
    pub fn new(context: &Context<'_>, step: Step, term: id::Term) -> Self {
        Self {
            step,
            term,
            deadline: context.now + GRANT_TIMEOUT,
            resend_at: context.now + GRANT_RESEND,
            unanswered: sorted::Map::default(),
        }
    }

    /// Sends the fence or promotion to a member.
    pub fn send(&mut self, context: &mut Context<'_>, member: id::MemberId) {
        let control_request = next(context);
        self.unanswered.entry(member).push(control_request);
        let grant = effect::TermRequest {
            control_request,
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

    /// Repeats the requests to members that have not answered, when due. Fences and promotions are idempotent.
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

    /// Removes a request from those that this member has not answered; returns whether it was one of them.
    pub fn take(&mut self, member: id::MemberId, control_request: id::ControlRequestId) -> bool {
        let Some(control_requests) = self.unanswered.get_mut(member) else {
            return false;
        };
        let known = control_requests.len();
        control_requests.retain(|id| *id != control_request);
        control_requests.len() < known
    }

    /// Returns how many members have neither granted nor refused.
    pub fn open(&self) -> usize {
        self.unanswered.len()
    }

    /// Stops requests to a member that has granted or refused.
    pub fn settle(&mut self, member: id::MemberId) {
        self.unanswered.remove(member);
    }
}

/// Returns a new identifier for a control request.
pub fn next(context: &mut Context<'_>) -> id::ControlRequestId {
    *context.next_control_request += 1;
    *context.next_control_request
}

/// Members that granted a term, with the status that each reported.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Fencing {
    granted: sorted::Map<id::MemberId, event::Status>,
}

impl Fencing {
    /// Records that a member granted the term, and its status afterwards.
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
    /// Among members with equal logs, returns the one that `prefer` ranks lowest.
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
