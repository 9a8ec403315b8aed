//! Leases of the shards' coordinators in the store.

use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::event;
use fulmarlift_broker::quota;
use fulmarlift_broker::quota::ShardId;
use fulmarlift_broker::quota::coordinator;
use fulmarlift_broker::quota::lease;
use fulmarlift_broker::revision;
use fulmarlift_core::id;

use crate::clock;
use crate::deployment;
use crate::deployment::{Claims, Deployment};
use crate::shell;

impl<D: Deployment> shell::Shell<D> {
    /// Passes an input to the lease of a shard and carries out what follows.
    pub(super) fn step_lease(self: &Rc<Self>, shard: ShardId, input: lease::Input) {
        let now = clock::now();
        let era = *self.quotas.era.borrow();
        let effects = {
            let mut state = self.quotas.state.borrow_mut();
            let found = state.as_mut().and_then(|state| state.shard(shard));
            let Some(found) = found else {
                return;
            };
            let context = found.context(era);
            found.lease.step(now, input, &context)
        };
        for effect in effects {
            self.run_lease_effect(shard, effect);
        }
    }

    fn run_lease_effect(self: &Rc<Self>, shard: ShardId, effect: lease::Effect) {
        match effect {
            lease::Effect::ReadRow => self.read_leases(shard),
            lease::Effect::WriteRow { row, condition } => self.write_lease(shard, row, condition),
            lease::Effect::Acquired { term, until } => {
                metrics::counter!("fulmarlift_quota_coordinators_total").increment(1);
                log::info!("event=quota_coordinator shard={shard} term={term} held=true");
                let limits = self.quota_limits();
                let now = clock::now();
                let coordinator = coordinator::Coordinator::new(now, shard, term, until, &limits);
                self.set_coordinator(shard, Some(coordinator));
            }
            lease::Effect::Renewed { until } => {
                let mut state = self.quotas.state.borrow_mut();
                let found = state.as_mut().and_then(|state| state.shard(shard));
                if let Some(coordinator) = found.and_then(|found| found.coordinator.as_mut()) {
                    coordinator.renew(until);
                }
            }
            lease::Effect::Stopped => {
                log::info!("event=quota_coordinator shard={shard} held=false");
                self.set_coordinator(shard, None);
            }
        }
    }

    fn set_coordinator(
        self: &Rc<Self>,
        shard: ShardId,
        coordinator: Option<coordinator::Coordinator>,
    ) {
        let this_proxy = id::of(self.vm_name());
        let mut state = self.quotas.state.borrow_mut();
        let Some(found) = state.as_mut().and_then(|state| state.shard(shard)) else {
            return;
        };
        if coordinator.is_some() {
            found.client.set_coordinator(this_proxy);
        }
        found.coordinator = coordinator;
    }

    /// Reads the rows of all shards with one call, for all leases that wait for theirs.
    fn read_leases(self: &Rc<Self>, shard: ShardId) {
        let mut state = self.quotas.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return;
        };
        if let Some(found) = state.shard(shard) {
            found.waits_for_row = true;
        }
        if std::mem::replace(&mut state.is_reading, true) {
            return;
        }
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let read = shell.claims().load_quota_leases().await;
            shell.record_leases(read);
        });
    }

    fn record_leases(
        self: &Rc<Self>,
        read: Result<deployment::QuotaLeases, deployment::CallError>,
    ) {
        let mut waiting = Vec::new();
        if let Some(state) = self.quotas.state.borrow_mut().as_mut() {
            state.is_reading = false;
            for (number, shard) in (0..quota::SHARDS).zip(&mut state.shards) {
                if std::mem::take(&mut shard.waits_for_row) {
                    waiting.push(number);
                }
            }
        }
        let read = read.inspect_err(|error| {
            log::warn!("event=quota_leases_unread error=\"{error}\"");
        });
        if let Ok(leases) = &read {
            self.record_quota_era(leases.era, Duration::ZERO);
        }
        for shard in waiting {
            let input = match &read {
                Ok(leases) => row_read(leases, shard),
                Err(_) => lease::Input::Refused,
            };
            self.step_lease(shard, input);
        }
    }

    fn write_lease(
        self: &Rc<Self>,
        shard: ShardId,
        row: lease::Row,
        condition: revision::Revision,
    ) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let value = row.to_bytes();
            let written = shell.claims().store_quota_lease(shard, &value, condition);
            let input = match written.await {
                event::StoreOutcome::Written(revision) => lease::Input::RowWritten { revision },
                event::StoreOutcome::Conflict => lease::Input::Conflict,
                event::StoreOutcome::Refused | event::StoreOutcome::Unknown => {
                    lease::Input::Refused
                }
            };
            shell.step_lease(shard, input);
        });
    }
}

/// Returns the row of a shard among those that were read.
fn row_read(leases: &deployment::QuotaLeases, shard: ShardId) -> lease::Input {
    let found = leases.rows.iter().find(|row| row.shard == shard);
    let missing = revision::Revision {
        era: leases.era,
        version: 0,
    };
    lease::Input::RowRead {
        row: found.and_then(|row| lease::Row::from_bytes(&row.value).ok()),
        revision: found.map_or(missing, |row| row.revision),
    }
}
