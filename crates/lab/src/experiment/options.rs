//! What one run of an experiment varies.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The routing policy of every proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum PolicyName {
    /// The naive policy: everything to the primary.
    AlwaysPrimary,
    /// The policy that ships.
    #[default]
    Nearest,
}

/// Settings of one run. Times count from the start of the measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Routing policy.
    pub policy: PolicyName,
    /// Seed of every random number.
    pub seed: u64,
    /// Time measured, after the warm-up.
    pub length: Duration,
    /// Load as a multiple of the profile's.
    pub load: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Share of the load that arrives at the first proxy; the others share the rest evenly. 0 for
    /// an even load.
    pub first_proxy_share: f64,
    /// Faults to bring about.
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

/// A stretch of time.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Window {
    /// Its start.
    pub from: Duration,
    /// Its end.
    pub until: Duration,
}

/// A fault, or a change of the load. Members and proxies are named by their index.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Fault {
    /// The load is multiplied.
    Rush {
        /// When.
        window: Window,
        /// By how much.
        factor: f64,
    },
    /// A replica applies what it receives later than usual.
    Lag {
        /// When.
        window: Window,
        /// Index of the member.
        member: usize,
        /// By how much.
        lag: Duration,
    },
    /// A member dies for good.
    KillMember {
        /// When.
        at: Duration,
        /// Index of the member.
        member: usize,
    },
    /// A proxy dies for good.
    KillProxy {
        /// When.
        at: Duration,
        /// Index of the proxy.
        proxy: usize,
    },
    /// The connections of a member that are open go silent; new ones work.
    Silence {
        /// When.
        at: Duration,
        /// Index of the member.
        member: usize,
    },
    /// The platform names the VM of a member as leaving.
    Leaving {
        /// When.
        at: Duration,
        /// Index of the member.
        member: usize,
    },
    /// The platform does not answer.
    StoreDown {
        /// When.
        window: Window,
    },
}

/// Time by which a replica falls behind in the fault of that name.
const LAG: Duration = Duration::from_secs(180);
/// Factor of a deadline rush.
const RUSH: f64 = 10.0;

impl Fault {
    /// Returns a fault by its name, placed in a run of this length.
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
                lag: LAG,
            },
            "rush" => Self::Rush {
                window,
                factor: RUSH,
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
