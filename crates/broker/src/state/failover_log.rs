//! What the members of a group told while its leader was replaced, for the proxy's diagnostic log. No decision rests on it.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::claim;
use crate::effect;
use crate::event;
use crate::failover;
use crate::member_state;
use crate::state;

/// Most dropped members that are kept.
const DROPPED_MAX: usize = 8;
/// Time for which a dropped member is kept.
const DROPPED_RETENTION: Duration = Duration::from_secs(60);

/// What the members of a group told while its leader was replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct FailoverLog {
    /// Instant at which the connection was opened over which each member has answered a command last.
    connected_at: sorted::Map<id::MemberId, Instant>,
    /// Answer of each member to the newest command.
    answers: sorted::Map<id::MemberId, Told>,
    /// Token and target of the last [`effect::StateChange::Choice`].
    logged_choice: Option<(u64, Option<id::MemberId>)>,
    /// Points up to which the members had received at that choice.
    received: sorted::Map<id::MemberId, floor::Point>,
    /// The last promotion that this proxy has seen to its end.
    promotion: Option<Promotion>,
    /// Leader that has stopped last to hand over.
    stopped: Option<Stopped>,
    /// Members that were dropped lately, the last one at the end.
    dropped: Vec<(id::MemberId, Box<str>, effect::DroppedMember)>,
    /// The newest choice that this proxy has made or read.
    pub(super) record: Option<Box<claim::ChoiceRecord>>,
}

/// A promotion after which the other members are compared with the leader.
#[derive(Clone, Debug)]
struct Promotion {
    token: u64,
    leader: id::MemberId,
    term: id::Term,
    hands_over: bool,
    confirmed_at: Instant,
    /// Points up to which the members had received when the promotion was ordered.
    received: sorted::Map<id::MemberId, floor::Point>,
    /// Members that have been compared.
    compared: Vec<id::MemberId>,
}

/// A leader that has stopped to hand over.
#[derive(Clone, Copy, Debug)]
struct Stopped {
    token: u64,
    member: id::MemberId,
    log_end: floor::Point,
    /// Whether no answer has shown more yet.
    is_watched: bool,
}

/// An answer of a member to a command.
#[derive(Clone, Debug)]
struct Told {
    /// Name of the member, which may have been dropped since.
    name: Box<str>,
    /// Instant at which the command was sent, or an earlier one.
    asked_at: Instant,
    answer: effect::CommandAnswer,
}

impl FailoverLog {
    /// Records the instant at which the connection was opened over which a member answers a command.
    pub(super) fn record_connection(&mut self, member: id::MemberId, connected_at: Instant) {
        self.connected_at.insert(member, connected_at);
    }

    /// Records the answer of a member to a command.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        state: &member_state::MemberState,
        asked_at: Instant,
        status: event::MemberStatus,
    ) {
        let member = state.entry.id;
        let connected_at = self.connected_at.remove(member);
        let known = self.answers.get(member);
        if known.is_some_and(|known| known.asked_at > asked_at) {
            return;
        }
        let told = Told {
            name: state.entry.name.clone(),
            asked_at,
            answer: effect::CommandAnswer {
                status,
                answered_at: now,
                connected_at,
            },
        };
        self.answers.insert(member, told);
    }

    /// Forgets what the members told to an attempt that has ended.
    pub(super) fn end_attempt(&mut self) {
        self.answers = sorted::Map::default();
        self.logged_choice = None;
        self.received = sorted::Map::default();
    }

    /// Returns that the leader of an attempt has stopped to hand over, unless that has been logged.
    pub(super) fn stopped_leader(
        &mut self,
        group: id::GroupId,
        attempt: &failover::Attempt,
        roster: &failover::roster::Roster,
    ) -> Option<effect::StateChange> {
        let (_, token, _) = attempt.step_token_and_target();
        let basis = attempt.choice_basis(roster);
        let (member, log_end) = basis.old_leader.zip(basis.log_end)?;
        let is_logged = self.stopped.is_some_and(|stopped| stopped.token == token);
        if !basis.hands_over || is_logged {
            return None;
        }
        self.stopped = Some(Stopped {
            token,
            member,
            log_end,
            is_watched: true,
        });
        Some(effect::StateChange::LeaderStopped {
            group,
            token,
            member,
            log_end,
        })
    }

    /// Applies a point of a member's log. Returns whether a leader that had stopped has gone on, which is told once.
    fn watch_stopped(
        &mut self,
        group: id::GroupId,
        member: id::MemberId,
        point: floor::Point,
    ) -> Option<effect::StateChange> {
        let stopped = self.stopped.as_mut()?;
        if !stopped.is_watched || stopped.member != member || point <= stopped.log_end {
            return None;
        }
        // In a newer term, it follows its successor.
        stopped.is_watched = false;
        (point.term == stopped.log_end.term).then_some(effect::StateChange::StoppedLeaderWentOn {
            group,
            token: stopped.token,
            member,
            log_end: stopped.log_end,
            point,
        })
    }

    /// Keeps what the members had received when an attempt ordered the promotion that `leader` has confirmed.
    pub(super) fn start_comparison(
        &mut self,
        now: Instant,
        attempt: &failover::Attempt,
        roster: &failover::roster::Roster,
        leader: id::MemberId,
        term: id::Term,
    ) {
        let (_, token, _) = attempt.step_token_and_target();
        self.promotion = Some(Promotion {
            token,
            leader,
            term,
            hands_over: attempt.choice_basis(roster).hands_over,
            confirmed_at: now,
            received: self.received.clone(),
            compared: Vec::new(),
        });
    }

    /// Compares a member with the new leader, once; `None` is the answer of a member that is not asked.
    pub(super) fn compare(
        &mut self,
        group: id::GroupId,
        member: id::MemberId,
        answer: Option<event::StatusAnswer>,
    ) -> Option<effect::StateChange> {
        let promotion = self.promotion.as_mut()?;
        if promotion.compared.contains(&member) {
            return None;
        }
        promotion.compared.push(member);
        let leader_had = promotion.received.get(promotion.leader).copied();
        let choice_received = promotion.received.get(member).copied();
        Some(effect::StateChange::Compared(effect::Comparison {
            group,
            token: promotion.token,
            leader: promotion.leader,
            term: promotion.term,
            leader_had,
            member,
            choice_received,
            answer,
            is_ahead: answer
                .is_some_and(|answer| promotion.shows_more(leader_had, choice_received, answer)),
        }))
    }

    /// Keeps what is known of a member that is dropped.
    pub(super) fn record_dropped(&mut self, now: Instant, state: &member_state::MemberState) {
        self.dropped
            .retain(|(_, _, dropped)| now < dropped.at + DROPPED_RETENTION);
        if self.dropped.len() == DROPPED_MAX {
            self.dropped.remove(0);
        }
        let receipt = state.receipt.map(|receipt| receipt.point);
        let dropped = effect::DroppedMember {
            at: now,
            reached: state.reached.max(receipt),
        };
        self.dropped
            .push((state.entry.id, state.entry.name.clone(), dropped));
    }

    /// Keeps the choice that a claim row tells, unless a newer one is known.
    pub(super) fn learn_record(&mut self, record: &claim::ChoiceRecord) {
        let rank = |record: &claim::ChoiceRecord| (record.token, record.at_order);
        let is_newer = self
            .record
            .as_deref()
            .is_none_or(|known| rank(known) < rank(record));
        if is_newer {
            self.record = Some(Box::new(record.clone()));
        }
    }

    /// Adds the record of the choice to writes of the claim row. Returns the choice of an attempt that gives an order, unless that choice
    /// has been logged.
    pub(super) fn tell_choice(
        &mut self,
        now: Instant,
        claimant: &str,
        attempt: &failover::Attempt,
        roster: &failover::roster::Roster,
        members: &sorted::Map<id::MemberId, member_state::MemberState>,
        effects: &mut [effect::Effect],
    ) -> Option<effect::StateChange> {
        let mut told = None;
        for effect in effects {
            match effect {
                effect::Effect::OrderPromotion { group, .. } => {
                    told = told.or_else(|| {
                        let choice = self.choice(now, *group, attempt, roster, members)?;
                        self.update_record(now, &choice);
                        Some(effect::StateChange::Choice(choice))
                    });
                }
                effect::Effect::StoreClaim { group, claim, .. } => {
                    let (step, ..) = attempt.step_token_and_target();
                    if step == "recording" {
                        let choice = self.describe(now, *group, attempt, roster, members);
                        let replaced_term = claim.last_ordered.replaced_term();
                        self.record = new_record(now, claimant, replaced_term, &choice);
                    }
                    claim.choice = self.record.clone();
                }
                _ => {}
            }
        }
        told
    }

    /// Updates the record of a choice with the logs at the order.
    fn update_record(&mut self, now: Instant, choice: &effect::Choice) {
        let Some(known) = self.record.as_deref() else {
            return;
        };
        let (claimant, replaced_term) = (known.claimant.clone(), known.replaced_term);
        let record = new_record(now, &claimant, replaced_term, choice);
        // An order that only ends an older one was not recorded.
        let updated = record
            .filter(|record| record.token == known.token && record.target == known.target)
            .map(|record| {
                Box::new(claim::ChoiceRecord {
                    at_order: true,
                    ..*record
                })
            });
        if updated.is_some() {
            self.record = updated;
        }
    }

    /// Returns the choice of an attempt that gives an order, unless that choice has been logged.
    fn choice(
        &mut self,
        now: Instant,
        group: id::GroupId,
        attempt: &failover::Attempt,
        roster: &failover::roster::Roster,
        members: &sorted::Map<id::MemberId, member_state::MemberState>,
    ) -> Option<effect::Choice> {
        let (_, token, target) = attempt.step_token_and_target();
        if self.logged_choice.replace((token, target)) == Some((token, target)) {
            return None;
        }
        let told = self.answers.iter();
        self.received = told
            .filter(|(_, told)| told.asked_at >= attempt.began_at())
            .map(|(member, told)| (member, told.answer.status.received))
            .collect();
        Some(self.describe(now, group, attempt, roster, members))
    }

    /// Returns the choice of an attempt with what is known of the members.
    fn describe(
        &self,
        now: Instant,
        group: id::GroupId,
        attempt: &failover::Attempt,
        roster: &failover::roster::Roster,
        members: &sorted::Map<id::MemberId, member_state::MemberState>,
    ) -> effect::Choice {
        let (_, token, target) = attempt.step_token_and_target();
        let answer = |member| {
            let told = self.answers.get(member);
            let told = told.filter(|told| told.asked_at >= attempt.began_at());
            told.map(|told| told.answer)
        };
        let known = roster
            .members
            .iter()
            .map(|participant| effect::ChoiceMember {
                member: participant.member,
                name: participant.name.clone(),
                answer: answer(participant.member),
                known_since: members
                    .get(participant.member)
                    .map(|state| state.known_since),
                asked: attempt.has_asked(participant.member),
                listed: participant.listed,
                leaving: participant.leaving,
                dropped: None,
            });
        let is_known = |member| roster.members.iter().any(|known| known.member == member);
        let drop_of = |member| {
            let mut dropped = self.dropped.iter().rev();
            dropped.find(|(dropped, ..)| *dropped == member)
        };
        let answered = self
            .answers
            .iter()
            .filter(|(member, _)| !is_known(*member))
            .filter(|(member, _)| answer(*member).is_some())
            .map(|(member, told)| effect::ChoiceMember {
                member,
                name: told.name.clone(),
                answer: Some(told.answer),
                known_since: None,
                asked: true,
                listed: false,
                leaving: false,
                dropped: drop_of(member).map(|(_, _, dropped)| *dropped),
            });
        let unanswered = self
            .dropped
            .iter()
            .filter(|(_, _, dropped)| now < dropped.at + DROPPED_RETENTION)
            .filter(|(member, ..)| !is_known(*member) && answer(*member).is_none())
            .map(|(member, name, dropped)| effect::ChoiceMember {
                member: *member,
                name: name.clone(),
                answer: None,
                known_since: None,
                asked: attempt.has_asked(*member),
                listed: false,
                leaving: false,
                dropped: Some(*dropped),
            });
        effect::Choice {
            group,
            token,
            reason: attempt.reason,
            target,
            basis: attempt.choice_basis(roster),
            members: known.chain(answered).chain(unanswered).collect(),
            told_by: roster.told_by.clone(),
        }
    }
}

/// Returns the record of a choice; `None` if the target is not known.
fn new_record(
    now: Instant,
    claimant: &str,
    replaced_term: id::Term,
    choice: &effect::Choice,
) -> Option<Box<claim::ChoiceRecord>> {
    let mut members = choice.members.iter();
    let target = members.find(|member| Some(member.member) == choice.target)?;
    let received = |member: &effect::ChoiceMember| {
        let answered = member.answer.map(|answer| answer.status.received);
        answered.or(member.dropped.and_then(|dropped| dropped.reached))
    };
    let recorded = choice.members.iter().map(|member| claim::RecordedMember {
        name: member.name.clone(),
        received: received(member),
        held_term: member.answer.map_or(0, |answer| answer.status.held_term),
        listed: member.listed,
        leaving: member.leaving,
        answered: member.answer.is_some(),
        dropped_for_ms: member.dropped.map(|dropped| {
            let dropped_for = now.saturating_duration_since(dropped.at);
            u64::try_from(dropped_for.as_millis()).unwrap_or(u64::MAX)
        }),
    });
    let record = claim::ChoiceRecord {
        token: choice.token,
        claimant: claimant.into(),
        target: target.name.clone(),
        replaced_term,
        hands_over: choice.basis.hands_over,
        at_order: false,
        acknowledged: choice.basis.acknowledged,
        target_had: received(target),
        members: recorded.collect(),
        told_by: choice.told_by.clone(),
    };
    Some(Box::new(record.bounded()))
}

impl Promotion {
    /// Returns whether the answer of a member shows that it had received more than the choice counted. A replica that has been rolled
    /// back, or that follows the new leader, shows nothing.
    fn shows_more(
        &self,
        leader_had: Option<floor::Point>,
        choice_received: Option<floor::Point>,
        answer: event::StatusAnswer,
    ) -> bool {
        let follows = answer.point().is_some_and(|point| point.term >= self.term);
        if follows {
            return matches!(answer, event::StatusAnswer::Refused { is_busy: true, .. });
        }
        // A member that is held receives nothing more, and any other one what the old leader logs until it stops.
        let counted = match self.hands_over {
            true => leader_had,
            false => choice_received.or(leader_had),
        };
        counted.is_some() && answer.point() > counted
    }
}

impl state::Broker {
    /// Logs if a member's answer with this point shows that it went on after it had stopped to hand over.
    pub(super) fn watch_stopped_leader(
        &mut self,
        group_id: id::GroupId,
        member: id::MemberId,
        point: floor::Point,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(group) = self.groups.get_mut(group_id) {
            let change = group.failover_log.watch_stopped(group_id, member, point);
            effects.extend(change.map(effect::Effect::RecordChange));
        }
    }

    /// Logs the answer of a member that was asked after the promotion of another one.
    pub(super) fn record_comparison(
        &mut self,
        group_id: id::GroupId,
        member: id::MemberId,
        asked_at: Instant,
        answer: event::StatusAnswer,
        effects: &mut Vec<effect::Effect>,
    ) {
        if let Some(point) = answer.point() {
            self.watch_stopped_leader(group_id, member, point, effects);
        }
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        let log = &mut group.failover_log;
        // A later promotion may have ended meanwhile.
        let is_of_last = log
            .promotion
            .as_ref()
            .is_some_and(|promotion| asked_at >= promotion.confirmed_at);
        if is_of_last {
            let compared = log.compare(group_id, member, Some(answer));
            effects.extend(compared.map(effect::Effect::RecordChange));
        }
    }

    /// Records the instant at which the connection was opened over which a member answers a command.
    pub(super) fn record_command_connection(
        &mut self,
        group_id: id::GroupId,
        member: id::MemberId,
        connected_at: Instant,
    ) {
        if let Some(group) = self.groups.get_mut(group_id) {
            group.failover_log.record_connection(member, connected_at);
        }
    }
}
