//! The questions asked of a group's members and what follows from the answers.

use std::time::{Duration, Instant};

use crate::effect;
use crate::event;
use crate::floor;
use crate::id;
use crate::sorted;
use crate::status::{Ask, Awaits, Confirmations, Freshness, Indexes, Member, Pace, Role};

/// Time without questions after one that failed.
const ASK_BACKOFF: Duration = Duration::from_millis(100);
/// Time without a tick after which this proxy itself counts as having been paused.
const PAUSE: Duration = Duration::from_millis(250);
/// Time that a member is given to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Silence of a primary towards a replica after which the replica counts as cut off from it: three rounds of
/// replication, each of which a member answers within 500 ms also without news.
const STARVED_AFTER: Duration = Duration::from_millis(1_500);
/// Time after a request for which members are asked often.
const BUSY: Duration = Duration::from_secs(2);

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
    /// Reads waiting for a member to catch up.
    pub awaits: Awaits,
    /// The group's newest point over time.
    pub freshness: Freshness,
    ticked_at: Instant,
    role: Role,
    pace: Pace,
    busy_until: Instant,
    attentive_since: Option<Instant>,
}

/// What followed from an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Reads whose index is known.
    pub indexed: Vec<(id::RequestId, floor::Point)>,
    /// Commits that a majority confirms.
    pub confirmed: Vec<(id::RequestId, floor::Point)>,
    /// Commits that stay unconfirmed because their term is over.
    pub unconfirmed: Vec<id::RequestId>,
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
            awaits: Awaits::default(),
            freshness: Freshness::default(),
            ticked_at: now,
            role: Role::Bystander,
            pace: Pace::new(Role::Bystander, true),
            busy_until: now + BUSY,
            attentive_since: Some(now),
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

    /// Returns the primary if a majority of members answers this proxy, so that a write sent to it can be
    /// acknowledged. Without one a write would run and end in an unknown outcome.
    pub fn writable(&self) -> Option<&Member> {
        let confirmable = self.reachable() >= self.majority();
        self.primary().filter(|_| confirmable)
    }

    /// Returns whether the primary answers, but so many members report that they no longer hear it that it can't
    /// get a commit confirmed, and that they alone can replace it. A replica that lags still hears its primary.
    pub fn is_primary_starved(&self) -> bool {
        if !self.primary().is_some_and(|primary| primary.reachable) {
            return false;
        }
        let top = self.top_term();
        let silent = self.members.values().filter(|member| {
            let report = member.status.filter(|status| status.term == top);
            let cut_off = |status: event::Status| status.upstream_silence >= STARVED_AFTER;
            member.reachable && report.is_some_and(|status| !status.primary && cut_off(status))
        });
        let silent = silent.count();
        let hearing = self.members.len() - silent;
        hearing < self.majority() && silent >= self.majority()
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
            member.backoff_until = now + ASK_BACKOFF;
            return outcome;
        };
        if member.report(now, ask, status) {
            outcome.changed.push((answer.member, true));
        }
        self.note_freshness();
        self.note_caught_up(answer.member);
        outcome.indexed = self
            .indexes
            .report(answer.member, ask.started_at, status.last, majority);
        self.decide(answer.member, status, &mut outcome);
        outcome
    }

    fn note_caught_up(&mut self, member: id::MemberId) {
        let newest = self.newest();
        let member = self.members.get_mut(member);
        if let Some(member) = member.filter(|member| member.last() >= newest) {
            member.caught_up();
        }
    }

    /// Samples the group's newest point.
    ///
    /// What a majority reported holds everything that was acknowledged before the questions to it
    /// started; what fewer members say may be the word of replicas that are cut off from the primary.
    fn note_freshness(&mut self) {
        let answered = self.members.values().filter_map(|m| m.answered_at);
        let mut answered: Vec<Instant> = answered.collect();
        answered.sort_unstable_by(|one, other| other.cmp(one));
        if let Some(at) = answered.get(self.majority() - 1) {
            self.freshness.note(*at, self.newest());
        }
    }

    /// Takes in what a member reported with its answer to a fence or promotion.
    pub fn learn(&mut self, now: Instant, member: id::MemberId, status: event::Status) -> Outcome {
        let mut outcome = Outcome::default();
        if let Some(known) = self.members.get_mut(member) {
            known.learn(now, None, status);
            self.decide(member, status, &mut outcome);
        }
        outcome
    }

    fn decide(&mut self, member: id::MemberId, status: event::Status, outcome: &mut Outcome) {
        let members = self.members.len();
        let decided = self.confirmations.report(member, status, members);
        outcome.confirmed = decided.confirmed;
        outcome.unconfirmed = decided.unconfirmed;
    }

    /// Returns how many members have not answered yet but may still do so in time.
    pub fn pending(&self, now: Instant) -> usize {
        let pending = self.members.values().filter(|member| member.pending(now));
        pending.count()
    }

    /// Returns whether every reachable member has answered a question that started after `since`.
    pub fn heard_since(&self, since: Instant) -> bool {
        let mut reachable = self.members.values().filter(|member| member.reachable);
        reachable.all(|member| member.answered_at.is_some_and(|at| at >= since))
    }

    /// Asks every member at the next opportunity.
    pub fn hurry(&mut self, now: Instant) {
        for (_, member) in self.members.iter_mut() {
            member.heartbeat_at = member.heartbeat_at.min(now);
        }
    }

    /// Notes that a request came: members are asked often for a while.
    pub fn touch(&mut self, now: Instant) {
        let was_busy = now < self.busy_until;
        self.busy_until = now + BUSY;
        if !was_busy {
            self.set_role(now, self.role);
            self.hurry(now);
        }
    }

    /// Notes that a peer sees something else.
    pub fn doubt(&mut self, now: Instant) {
        self.touch(now);
        self.hurry(now);
    }

    /// Sets how often members are asked.
    pub fn set_role(&mut self, now: Instant, role: Role) {
        let busy = now < self.busy_until;
        self.role = role;
        self.pace = Pace::new(role, busy);
        let attentive = busy || matches!(role, Role::Watcher { .. });
        self.attentive_since = match (attentive, self.attentive_since) {
            (true, None) => Some(now),
            (true, since) => since,
            (false, _) => None,
        };
        let primary = self.primary().map(|member| member.id);
        for (id, member) in self.members.iter_mut() {
            let due_by = now + self.pace.of(primary, id);
            member.heartbeat_at = member.heartbeat_at.min(due_by);
        }
    }

    /// Returns whether the primary answers, if this proxy asks often enough for others to rely on it.
    pub fn finding(&self) -> Option<bool> {
        let since = self.attentive_since?;
        let Some(primary) = self.primary() else {
            return Some(false);
        };
        let current = !primary.reachable || primary.answered_at.is_some_and(|at| at >= since);
        current.then_some(primary.reachable)
    }

    /// Marks silent members and asks what is due.
    pub fn tick(
        &mut self,
        now: Instant,
        next_ask: &mut id::AskId,
        effects: &mut Vec<effect::Effect>,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        // After a pause of this proxy the silence was its own: members are asked again first.
        let paused = now.saturating_duration_since(self.ticked_at) >= PAUSE;
        self.ticked_at = now;
        for (id, member) in self.members.iter_mut() {
            member.asks.expire(now);
            if paused {
                member.grant_time(now);
            }
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
        let primary = self.primary().map(|member| member.id);
        for (id, member) in self.members.iter_mut().filter(|(_, m)| ready(m)) {
            let heartbeat = now >= member.heartbeat_at && member.asks.has_room();
            // An answer that stays out is asked for again at once, however rare heartbeats are.
            let heartbeat = heartbeat || member.is_overdue(now);
            let wants = self.indexes.wants(id, member.answered_at);
            if heartbeat || wants && member.may_ask(now) {
                let ask = start(now, next_ask, 0);
                member.asks.immediate.push(ask);
                member.asked(now);
                member.heartbeat_at = now + self.pace.of(primary, id);
                effects.push(question(self.group, id, ask));
            }
            let awaited = self.awaits.wanted(id, member.last().position);
            let wanted = awaited.into_iter().chain(self.confirmations.wanted(id));
            let wanted = wanted.min();
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
        deadline: now + ASK_TIMEOUT,
        min_position,
    }
}

fn question(group: id::GroupId, member: id::MemberId, ask: Ask) -> effect::Effect {
    effect::Effect::AskStatus {
        ask: ask.id,
        group,
        member,
        min_position: ask.min_position,
        deadline: ask.deadline,
    }
}
