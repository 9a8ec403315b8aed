//! The questions asked of a group's members and what follows from the answers.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::floor;
use crate::id;
use crate::sorted;
use crate::status::{Ask, Confirmations, Freshness, Indexes, Member};

/// Time between heartbeats to a member.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Time that a member is given to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The view of one group's members.
#[derive(Clone, Debug)]
pub struct Watch {
    group: id::GroupId,
    /// The members.
    pub members: sorted::Map<id::MemberId, Member>,
    /// Reads waiting for an index.
    pub indexes: Indexes,
    /// Commits waiting for a majority.
    pub confirmations: Confirmations,
    /// The group's newest point over time.
    pub freshness: Freshness,
}

/// What followed from an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Reads whose index is known.
    pub indexed: Vec<(id::RequestId, floor::Point)>,
    /// Commits that a majority confirms.
    pub confirmed: Vec<(id::RequestId, floor::Point)>,
    /// Members whose reachability changed.
    pub changed: Vec<(id::MemberId, bool)>,
}

impl Watch {
    /// Creates the view of a group of which nothing is known.
    pub fn new(
        group: id::GroupId,
        members: impl Iterator<Item = id::MemberId>,
        now: Instant,
    ) -> Self {
        Self {
            group,
            members: members.map(|id| (id, Member::new(id, now))).collect(),
            indexes: Indexes::default(),
            confirmations: Confirmations::default(),
            freshness: Freshness::default(),
        }
    }

    /// Keeps the view in step with the configured members.
    pub fn configure(&mut self, members: impl Iterator<Item = id::MemberId>, now: Instant) {
        let wanted: sorted::Map<id::MemberId, ()> = members.map(|id| (id, ())).collect();
        self.members.retain(|id, _| wanted.contains(id));
        for id in wanted.keys() {
            if !self.members.contains(id) {
                self.members.insert(id, Member::new(id, now));
            }
        }
    }

    /// Returns how many members make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the member that reports itself primary of the highest term, reachable or not.
    pub fn primary(&self) -> Option<&Member> {
        let top = self.top_term();
        self.members.values().find(|member| {
            member
                .status
                .is_some_and(|status| status.primary && status.term == top)
        })
    }

    /// Returns the highest term that any member has reported.
    pub fn top_term(&self) -> id::Term {
        let terms = self.members.values().filter_map(|member| member.status);
        terms.map(|status| status.term).max().unwrap_or(0)
    }

    /// Returns the newest point that any member has reported.
    pub fn newest(&self) -> floor::Point {
        let points = self.members.values().map(Member::last);
        points.max().unwrap_or_default()
    }

    /// Returns how many members are reachable.
    pub fn reachable(&self) -> usize {
        let reachable = self.members.values().filter(|member| member.reachable);
        reachable.count()
    }

    /// Takes in a member's answer.
    pub fn answer(&mut self, now: Instant, answer: event::StatusAnswer) -> Outcome {
        let mut outcome = Outcome::default();
        let majority = self.majority();
        let Some(member) = self.members.get_mut(answer.member) else {
            return outcome;
        };
        let Some(ask) = member.asks.take(answer.ask) else {
            return outcome;
        };
        let Some(status) = answer.status else {
            member.backoff_until = now + HEARTBEAT;
            return outcome;
        };
        if member.report(now, ask, status) {
            outcome.changed.push((answer.member, true));
        }
        let newest = self.newest();
        self.freshness.note(ask.started_at, newest);
        outcome.indexed = self
            .indexes
            .report(answer.member, ask.started_at, status.last, majority);
        outcome.confirmed = self.confirmations.report(answer.member, status, majority);
        outcome
    }

    /// Marks silent members and asks what is due.
    pub fn tick(
        &mut self,
        now: Instant,
        next_ask: &mut id::AskId,
        effects: &mut Vec<effect::Effect>,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        for (id, member) in self.members.iter_mut() {
            if member.expire(now) {
                outcome.changed.push((id, false));
            }
        }
        self.ask(now, next_ask, effects);
        outcome
    }

    /// Asks every member for which an answer is wanted and none is under way.
    pub fn ask(
        &mut self,
        now: Instant,
        next_ask: &mut id::AskId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let ready = |member: &Member| now >= member.backoff_until;
        for (id, member) in self.members.iter_mut().filter(|(_, m)| ready(m)) {
            let due = now >= member.heartbeat_at || self.indexes.wants(id, member.answered_at);
            if due && member.asks.immediate.is_none() {
                let ask = start(now, next_ask, 0);
                member.asks.immediate = Some(ask);
                member.heartbeat_at = now + HEARTBEAT;
                effects.push(question(self.group, id, ask));
            }
            let wanted = self.confirmations.wanted(id);
            if let (Some(position), None) = (wanted, member.asks.held) {
                let ask = start(now, next_ask, position);
                member.asks.held = Some(ask);
                effects.push(question(self.group, id, ask));
            }
        }
    }
}

fn start(now: Instant, next_ask: &mut id::AskId, min_position: id::Position) -> Ask {
    *next_ask += 1;
    Ask {
        id: *next_ask,
        started_at: now,
        min_position,
    }
}

fn question(group: id::GroupId, member: id::MemberId, ask: Ask) -> effect::Effect {
    effect::Effect::AskStatus {
        ask: ask.id,
        group,
        member,
        min_position: ask.min_position,
        deadline: ask.started_at + ASK_TIMEOUT,
    }
}
