//! The platform's list of VMs, which lags.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// A VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Its address.
    pub address: Box<str>,
    /// Whether it stays.
    pub state: VmState,
}

/// A list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<Vm>,
}

#[derive(Debug)]
struct Edition {
    visible_at: Instant,
    list: VmList,
}

/// The list as it becomes visible.
#[derive(Debug)]
pub struct Vms {
    lag: Duration,
    editions: Vec<Edition>,
}

impl Vms {
    /// A list that is visible now.
    pub fn new(list: VmList, lag: Duration, now: Instant) -> Self {
        let visible_at = now;
        Self {
            lag,
            editions: vec![Edition { visible_at, list }],
        }
    }

    /// Sets the list, which becomes visible after the lag.
    pub fn set(&mut self, list: VmList, now: Instant) {
        let visible_at = now + self.lag;
        self.editions
            .retain(|edition| edition.visible_at < visible_at);
        self.editions.push(Edition { visible_at, list });
    }

    /// Sets the lag of lists set from now on.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// The list that is visible.
    pub fn visible(&mut self, now: Instant) -> VmList {
        let visible = self
            .editions
            .partition_point(|edition| edition.visible_at <= now);
        self.editions.drain(..visible.saturating_sub(1));
        self.editions
            .first()
            .map_or_else(VmList::default, |edition| edition.list.clone())
    }
}
