//! List of VMs, whose changes become visible after a lag.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}

/// A VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Box<str>,
    /// Failure domain of the VM.
    pub domain: Box<str>,
    /// Region of the VM.
    pub region: Box<str>,
    /// Address at which the proxy on the VM receives messages from its peers.
    pub address: Box<str>,
    /// Whether the platform will remove the VM soon.
    pub state: VmState,
}

/// List of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<Vm>,
}

#[derive(Debug)]
struct ListVersion {
    visible_at: Instant,
    list: VmList,
}

/// List of VMs with the changes that are not visible yet.
#[derive(Debug)]
pub struct Vms {
    lag: Duration,
    /// The visible list, and the later ones in the order in which they become visible.
    versions: Vec<ListVersion>,
}

impl Vms {
    /// Creates a list that is visible at once.
    pub fn new(list: VmList, lag: Duration, now: Instant) -> Self {
        let visible_at = now;
        Self {
            lag,
            versions: vec![ListVersion { visible_at, list }],
        }
    }

    /// Sets the list, which becomes visible after the lag.
    pub fn set(&mut self, list: VmList, now: Instant) {
        let visible_at = now + self.lag;
        self.versions
            .retain(|version| version.visible_at < visible_at);
        self.versions.push(ListVersion { visible_at, list });
    }

    /// Sets the lag of lists that are set from now on.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the visible list.
    pub fn visible(&mut self, now: Instant) -> VmList {
        let visible = self
            .versions
            .partition_point(|version| version.visible_at <= now);
        self.versions.drain(..visible.saturating_sub(1));
        self.versions
            .first()
            .map_or_else(VmList::default, |version| version.list.clone())
    }
}
