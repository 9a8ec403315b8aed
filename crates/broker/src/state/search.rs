//! Search for a leader that the directory does not tell, by questions to the members.
//!
//! A proxy that is cut off from the store learns of a promotion neither from the directory nor from an attempt of its own, but it
//! may reach the new leader.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::effect;
use crate::member_state;
use crate::state;

/// Interval of the questions while a group has no usable leader. Each takes a slot of the member.
const QUESTION_INTERVAL: Duration = Duration::from_millis(200);

/// The newest question whether a member leads.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderQuestion {
    member: id::MemberId,
    asked_at: Instant,
}

impl state::GroupState {
    /// Returns the member to ask next: the members take turns.
    fn choose_searched_member(&self, now: Instant) -> Option<&member_state::MemberState> {
        let asked = self.leader_question.map(|question| question.member);
        let candidate = |state: &&member_state::MemberState| {
            Some(state.entry.id) != self.leader.member
                && state.unlisted_since.is_none()
                && !state.is_backing_off(now)
        };
        let candidates = || self.members.values().filter(candidate);
        candidates()
            .find(|state| Some(state.entry.id) > asked)
            .or_else(|| candidates().next())
    }
}

impl state::Broker {
    /// Asks a member whether it leads if callers need a leader, none is usable, and no attempt of this proxy has claimed. Without
    /// an idle connection, opens one.
    pub(super) fn search_leader(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get(group_id) else {
            return;
        };
        let attempt = group.attempt.as_ref();
        let claims = attempt.is_some_and(|attempt| !attempt.may_be_dropped());
        let asked_lately = group.leader_question.is_some_and(|question| {
            now.saturating_duration_since(question.asked_at) < QUESTION_INTERVAL
        });
        let usable = self.usable_leader(now, group).is_some();
        if usable || claims || asked_lately || !self.watches_leader(now, group_id) {
            return;
        }
        let Some(state) = group.choose_searched_member(now) else {
            return;
        };
        let (member, opens) = (state.entry.id, state.opening == 0 && state.may_open(now));
        let Some(idle) = self
            .member_state_mut(member)
            .and_then(member_state::MemberState::lease_any)
        else {
            if opens {
                self.open_connection(member, None, effects);
            }
            return;
        };
        let asked_at = now;
        self.groups.entry(group_id).leader_question = Some(LeaderQuestion { member, asked_at });
        effects.push(effect::Effect::AskStatus {
            group: group_id,
            conn: idle.conn,
            member,
            purpose: effect::StatusPurpose::Lease,
        });
    }
}
