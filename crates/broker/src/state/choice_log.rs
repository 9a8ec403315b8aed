//! The choices of leaders that other proxies have made, for this proxy's diagnostic log, and the commits of which it has told. Of these,
//! only the points count in decisions.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::claim;
use crate::effect;
use crate::event;
use crate::leader;
use crate::state;

/// Range in ms over which proxies spread their reads of the claim row after a change of the leader.
const READ_SPREAD_MS: u64 = 500;
/// Time for which a commit is kept of whose success this proxy has told.
const TOLD_RETENTION: Duration = Duration::from_secs(20);
/// Most commits of a group that are kept.
const TOLD_MAX: usize = 400;
/// Most lost commits that are logged one by one for a choice.
const LOST_LOGGED_MAX: usize = 24;

/// What this proxy has logged of the choices in a group, and will read.
#[derive(Clone, Debug, Default)]
pub(super) struct ChoiceLog {
    /// The leader that was logged last.
    leader: Option<id::MemberId>,
    /// Instant at which the leader changed last.
    changed_at: Option<Instant>,
    /// Instant from which the claim row is to be read.
    read_due_at: Option<Instant>,
    /// Fencing token of the choice that was logged last.
    logged_token: u64,
    /// Highest point that an answer has shown.
    log_end: Option<floor::Point>,
    /// Commits of whose success this proxy has told, except for lost ones that have been logged.
    told: VecDeque<ToldCommit>,
    /// Fencing token of the choice by which a commit was lost last, and the number of commits that were logged for it.
    lost_logged: (u64, usize),
}

/// A commit of whose success this proxy has told.
#[derive(Clone, Debug)]
struct ToldCommit {
    told_at: Instant,
    commit: event::ToldCommit,
}

impl ChoiceLog {
    /// Records that this proxy has logged another leader. A proxy that starts has seen no change.
    pub(super) fn record_leader(
        &mut self,
        now: Instant,
        proxy: id::ProxyId,
        group: id::GroupId,
        leader: id::MemberId,
    ) {
        let earlier = self.leader.replace(leader);
        if earlier.is_some_and(|earlier| earlier != leader) {
            let spread_ms = id::rendezvous_weight(proxy, group) % READ_SPREAD_MS;
            self.changed_at = Some(now);
            self.read_due_at = Some(now + Duration::from_millis(spread_ms));
        }
    }

    /// Records a point of a member's log.
    pub(super) fn record_log_end(&mut self, point: Option<floor::Point>) {
        self.log_end = self.log_end.max(point);
    }

    /// Keeps a commit of whose success this proxy has told.
    fn record_told(&mut self, now: Instant, commit: event::ToldCommit) {
        self.drop_old(now);
        if self.told.len() == TOLD_MAX {
            self.told.pop_front();
        }
        let told_at = now;
        self.told.push_back(ToldCommit { told_at, commit });
    }

    fn drop_old(&mut self, now: Instant) {
        let is_old = |told: &ToldCommit| now > told.told_at + TOLD_RETENTION;
        while self.told.front().is_some_and(is_old) {
            self.told.pop_front();
        }
    }

    /// Removes the commits that a promoted member lacks, and returns the changes that tell of them.
    fn take_lost(
        &mut self,
        now: Instant,
        group: id::GroupId,
        leader: id::MemberId,
        choice: &claim::ChoiceRecord,
    ) -> Vec<effect::StateChange> {
        let Some(leader_had) = choice.target_had.filter(|_| choice.is_final()) else {
            return Vec::new();
        };
        self.drop_old(now);
        let is_lost = |told: &ToldCommit| {
            let point = told.commit.point;
            point.term <= choice.replaced_term && point > leader_had
        };
        if !self.told.iter().any(is_lost) {
            return Vec::new();
        }
        let (lost, kept) = self.told.drain(..).partition(is_lost);
        self.told = kept;
        let lost: VecDeque<ToldCommit> = lost;
        if self.lost_logged.0 != choice.token {
            self.lost_logged = (choice.token, 0);
        }
        let lost = lost.into_iter().map(|told| {
            // The point is the end of the log in the answer, which may lie past the commit.
            let seen = told.commit.seen_before;
            effect::LostCommit {
                group,
                leader,
                leader_had,
                is_certain: seen
                    .is_some_and(|seen| seen.term == leader_had.term && seen >= leader_had),
                request: told.commit.request,
                point: told.commit.point,
                told_at: told.told_at,
            }
        });
        let lost: Vec<effect::LostCommit> = lost.collect();
        let logged = lost.len().min(LOST_LOGGED_MAX - self.lost_logged.1);
        self.lost_logged.1 += logged;
        let rest = &lost[logged..];
        let certain = rest.iter().filter(|lost| lost.is_certain).count();
        let rest = (!rest.is_empty()).then_some(effect::StateChange::MoreCommitsLost {
            group,
            leader,
            leader_had,
            certain,
            uncertain: rest.len() - certain,
        });
        let lost = lost.into_iter().take(logged);
        lost.map(effect::StateChange::CommitLost)
            .chain(rest)
            .collect()
    }

    /// Records that no further read of the claim row is needed beside one that was asked for at `asked_at`.
    fn record_read(&mut self, asked_at: Instant) {
        if self.changed_at.is_some_and(|changed| asked_at >= changed) {
            self.read_due_at = None;
        }
    }
}

impl state::GroupState {
    /// Returns the newest choice if it is that of the believed leader and has not been logged.
    fn take_unlogged_choice(&mut self, group: id::GroupId) -> Option<effect::StateChange> {
        let leader = self.members.get(self.leader.member?)?;
        let choice = self.failover_log.record.as_deref()?;
        let is_logged = choice.token <= self.choice_log.logged_token;
        if is_logged || choice.target != leader.entry.name {
            return None;
        }
        self.choice_log.logged_token = choice.token;
        Some(effect::StateChange::LeaderChoice {
            group,
            leader: leader.entry.id,
            term: self.leader.term,
            choice: Box::new(choice.clone()),
        })
    }
}

impl state::Broker {
    /// Keeps the choice that a claim row tells, which was asked for at `asked_at`.
    pub(super) fn learn_choice(
        &mut self,
        group_id: id::GroupId,
        asked_at: Instant,
        row: Option<&claim::ClaimRow>,
    ) {
        if let Some(group) = self.groups.get_mut(group_id)
            && let Some(row) = row
        {
            let record = row.claim.choice.as_deref();
            if record.is_none_or(claim::ChoiceRecord::is_final) {
                group.choice_log.record_read(asked_at);
            }
            if let Some(record) = record {
                group.failover_log.learn_record(record);
            }
        }
    }

    /// Keeps a commit of whose success this proxy has told a caller or another proxy.
    pub(super) fn record_told_commit(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        commit: event::ToldCommit,
    ) {
        if let Some(group) = self.groups.get_mut(group_id) {
            // A success is told only once another member has received the log up to this point.
            group.leader.points.merge(leader::KnownPoints {
                acknowledged: Some(commit.point),
                ..leader::KnownPoints::default()
            });
            group.choice_log.record_told(now, commit);
        }
    }

    /// Returns the highest point of a group's log that an answer has shown.
    pub fn newest_log_end(&self, group: id::GroupId) -> Option<floor::Point> {
        self.groups.get(group)?.choice_log.log_end
    }

    /// Warns of commits that the believed leader lacks, of whose success this proxy has told.
    fn warn_of_lost_commits(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        let leader = group.leader.member;
        let leader = leader.and_then(|leader| group.members.get(leader));
        if let Some((leader, choice)) = leader.zip(group.failover_log.record.as_deref())
            && leader.entry.name == choice.target
        {
            let leader = leader.entry.id;
            let lost = group.choice_log.take_lost(now, group_id, leader, choice);
            effects.extend(lost.into_iter().map(effect::Effect::RecordChange));
        }
    }

    /// Reads the claim row if that is due after a change of the leader, logs the choice of the leader once, and warns of the commits that
    /// it lost.
    pub(super) fn follow_choices(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
        self.warn_of_lost_commits(now, group_id, effects);
        let Some(group) = self.groups.get_mut(group_id) else {
            return;
        };
        // An attempt reads the row itself, and its choice ends what this proxy would log.
        if group.attempt.is_some() {
            group.choice_log.read_due_at = None;
            return;
        }
        if let Some(change) = group.take_unlogged_choice(group_id) {
            effects.push(effect::Effect::RecordChange(change));
            let record = group.failover_log.record.as_deref();
            if record.is_some_and(claim::ChoiceRecord::is_final) {
                group.choice_log.read_due_at = None;
            }
        }
        let log = &mut group.choice_log;
        if log.read_due_at.is_some_and(|due_at| now >= due_at) {
            log.read_due_at = None;
            effects.push(effect::Effect::LoadChoice(group_id));
        }
    }
}
