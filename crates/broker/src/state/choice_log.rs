//! The choices of leaders that other proxies have made, for this proxy's diagnostic log. No decision rests on them.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

use crate::claim;
use crate::effect;
use crate::state;

/// Range in ms over which proxies spread their reads of the claim row after a change of the leader.
const READ_SPREAD_MS: u64 = 500;

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

    /// Reads the claim row if that is due after a change of the leader, and logs the choice of the leader once.
    pub(super) fn follow_choices(
        &mut self,
        now: Instant,
        group_id: id::GroupId,
        effects: &mut Vec<effect::Effect>,
    ) {
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
