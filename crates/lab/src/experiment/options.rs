//! Options of an experiment, and the faults that it can bring about.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Routing policy, the same for every proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum PolicyName {
    /// The baseline, which sends every request to the primary.
    AlwaysPrimary,
    /// The policy that proxies use by default.
    #[default]
    Nearest,
}

/// Options of one run. The times of faults count from the start of the measurement, after the warm-up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Routing policy of all proxies.
    pub policy: PolicyName,
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// Duration of the measurement, which starts after the warm-up.
    pub length: Duration,
    /// Load as a multiple of the profile's `requests_per_second`.
    pub load: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Share of the load that arrives at the first proxy; the others share the rest evenly. With 0, all proxies get
    /// the same load.
    pub first_proxy_share: f64,
    /// Faults that the run brings about.
    pub faults: Vec<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: PolicyName::default(),
            seed: 1,
            length: Duration::from_secs(20),
            load: 1.0,
            proxies: 8,
            first_proxy_share: 0.0,
            faults: Vec::new(),
        }
    }
}

/// A time window within the measurement.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Window {
    /// Start of the window.
    pub from: Duration,
    /// End of the window.
    pub until: Duration,
}

/// A fault, or a change of the load.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Fault {
    /// Callers send more requests.
    Rush {
        /// Time window of the higher load.
        window: Window,
        /// Factor by which the load is multiplied.
        factor: f64,
    },
    /// A replica applies the entries that it receives with an additional delay.
    Lag {
        /// Time window of the delay.
        window: Window,
        /// Index of the replica.
        member: usize,
        /// Additional delay of each entry.
        lag: Duration,
    },
    /// A member stops and does not start again.
    KillMember {
        /// When the member stops.
        at: Duration,
        /// Index of the member.
        member: usize,
    },
    /// A proxy stops and does not start again.
    KillProxy {
        /// When the proxy stops.
        at: Duration,
        /// Index of the proxy.
        proxy: usize,
    },
    /// A member answers no statement any more on the connections that are open; new connections work.
    Silence {
        /// When the connections go silent.
        at: Duration,
        /// Index of the member.
        member: usize,
    },
    /// The platform lists the VM of a member as leaving.
    Leaving {
        /// When the proxies learn of it.
        at: Duration,
        /// Index of the member.
        member: usize,
    },
    /// The platform's store does not answer.
    StoreDown {
        /// Time window of the outage.
        window: Window,
    },
}

/// Additional replication delay in the fault `lag`.
const LAG_FAULT_DELAY: Duration = Duration::from_secs(180);
/// Factor of the load in the fault `rush`, as callers cause it before a deadline.
const RUSH_FAULT_FACTOR: f64 = 10.0;

impl Fault {
    /// Returns the fault with this name for a run of this length, or `None` if no fault has the name.
    ///
    /// `lag` lasts for the whole run and `rush` for its middle third; the others happen after a third of it.
    pub fn named(name: &str, length: Duration) -> Option<Self> {
        let at = length / 3;
        let window = Window {
            from: at,
            until: length * 2 / 3,
        };
        let whole = Window {
            from: Duration::ZERO,
            until: length,
        };
        let fault = match name {
            "lag" => Self::Lag {
                window: whole,
                member: 1,
                lag: LAG_FAULT_DELAY,
            },
            "rush" => Self::Rush {
                window,
                factor: RUSH_FAULT_FACTOR,
            },
            "kill-primary" => Self::KillMember { at, member: 0 },
            "kill-proxy" => Self::KillProxy { at, proxy: 1 },
            "silence" => Self::Silence { at, member: 1 },
            "leaving" => Self::Leaving { at, member: 1 },
            _ => return None,
        };
        Some(fault)
    }
}
