//! Fences and promotions that an attempt to replace a primary sends to members, and the grants that answer them.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::failover::Context;
use crate::id;
use crate::sorted;

/// Time that members have to answer a fence or promotion.
const TERM_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between repeated requests to a member that has not answered a fence or promotion.
const TERM_REQUEST_RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// What members are requested to do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Grant the term and accept no primary of an earlier one.
    Fence,
    /// Become the primary of the term.
    Promote,
}

/// Requests of one kind to members at one term, and which of them are unanswered.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TermRequests {
    /// What the members are requested to do.
    pub action: Action,
    /// Term at which members are fenced or promoted.
    pub term: id::Term,
    /// When the stage that sent the requests ends unless enough members have answered.
    pub deadline: Instant,
    resend_at: Instant,
    unanswered: sorted::Map<id::MemberId, Vec<id::ControlRequestId>>,
}

impl TermRequests {
    /// Creates a round of requests of which none is sent yet.
    pub fn new(context: &Context<'_>, action: Action, term: id::Term) -> Self {
        Self {
            action,
            term,
            deadline: context.now + TERM_REQUEST_TIMEOUT,
            resend_at: context.now + TERM_REQUEST_RESEND_INTERVAL,
            unanswered: sorted::Map::default(),
        }
    }

    /// Sends the fence or promotion to a member.
    pub fn send(&mut self, context: &mut Context<'_>, member: id::MemberId) {
        let control_request = new_control_request_id(context);
        self.unanswered.entry(member).push(control_request);
        let request = effect::TermRequest {
            control_request,
            group: context.group,
            member,
            term: self.term,
            deadline: self.deadline,
        };
        context.effects.push(match self.action {
            Action::Fence => effect::Effect::Fence(request),
            Action::Promote => effect::Effect::Promote(request),
        });
    }

    /// Repeats the requests to members that have not answered, when due. Fences and promotions are idempotent.
    pub fn resend(&mut self, context: &mut Context<'_>) {
        if context.now < self.resend_at {
            return;
        }
        self.resend_at = context.now + TERM_REQUEST_RESEND_INTERVAL;
        let members: Vec<_> = self.unanswered.keys().collect();
        for member in members {
            self.send(context, member);
        }
    }

    /// Removes a request from those that this member has not answered; returns whether it was one of them.
    pub fn remove_request(
        &mut self,
        member: id::MemberId,
        control_request: id::ControlRequestId,
    ) -> bool {
        let Some(control_requests) = self.unanswered.get_mut(member) else {
            return false;
        };
        let len_before = control_requests.len();
        control_requests.retain(|id| *id != control_request);
        control_requests.len() < len_before
    }

    /// Returns how many members that were sent a request have neither granted nor refused it.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered.len()
    }

    /// Stops repeating the request to a member that has granted or refused it.
    pub fn mark_answered(&mut self, member: id::MemberId) {
        self.unanswered.remove(member);
    }
}

/// Returns a new identifier for a control request.
pub fn new_control_request_id(context: &mut Context<'_>) -> id::ControlRequestId {
    *context.last_control_request += 1;
    *context.last_control_request
}

/// Members that granted a term, with the status that each reported.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct TermAnswers {
    granted: sorted::Map<id::MemberId, event::Status>,
}

impl TermAnswers {
    /// Records that a member granted the term, and its status afterwards.
    pub fn record_grant(&mut self, member: id::MemberId, status: event::Status) {
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

    /// Returns the member whose log is the most advanced, by term of its last entry, then by position. Among members
    /// with equal logs, returns the one with the lowest `cost`.
    pub fn most_advanced<R: Ord>(
        &self,
        mut cost: impl FnMut(id::MemberId) -> R,
    ) -> Option<id::MemberId> {
        let newest = self.granted.values().map(|status| status.last).max()?;
        let most_advanced = self
            .granted
            .iter()
            .filter(|(_, status)| status.last == newest);
        most_advanced
            .map(|(member, _)| member)
            .min_by_key(|member| cost(*member))
    }
}
