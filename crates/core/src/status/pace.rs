//! Intervals of heartbeats to members.

use std::time::Duration;

use crate::id;

/// Heartbeat interval for each member of a group that serves requests.
const BUSY_HEARTBEAT: Duration = Duration::from_millis(100);
/// Minimum interval of a watcher's heartbeats to replicas of an idle group.
const REPLICA_HEARTBEAT: Duration = Duration::from_secs(1);
/// Number of heartbeats that a watcher sends to the primary for each one to a replica.
const REPLICA_RATIO: u32 = 4;
/// Heartbeat interval for members of an idle group that other proxies watch.
const BYSTANDER_HEARTBEAT: Duration = Duration::from_secs(20);
/// Size of a heartbeat and its answer, in bytes.
const HEARTBEAT_BYTES: u32 = 200;
/// Maximum rate of one proxy's heartbeats to primaries of idle groups, in bytes per second.
const WATCH_BYTES_PER_SECOND: u32 = 2_500;
/// Longest heartbeat interval at which every proxy watches every group.
const ALL_WATCH_HEARTBEAT: Duration = Duration::from_millis(250);

/// Role of a proxy for an idle group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The proxy sends frequent heartbeats to the primary, to notice its failure.
    Watcher {
        /// Interval of heartbeats to the primary.
        heartbeat: Duration,
    },
    /// The proxy leaves it to the group's watchers to notice a failure.
    Passive,
}

/// Intervals of heartbeats to the members of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Interval for the primary, or for every member while no primary is known.
    pub primary: Duration,
    /// Interval for the other members.
    pub replica: Duration,
}

impl Role {
    /// Returns the role for one of `groups` groups. `is_chosen` says whether this proxy is a chosen watcher of the
    /// group; it is a chosen watcher of `chosen` groups in total. With few groups every proxy watches every group:
    /// the byte budget allows it, and no failure takes all watchers down at once.
    pub fn new(is_chosen: bool, chosen: usize, groups: usize) -> Self {
        let heartbeat = heartbeat(groups);
        if heartbeat <= ALL_WATCH_HEARTBEAT {
            return Self::Watcher { heartbeat };
        }
        match is_chosen {
            true => Self::Watcher {
                heartbeat: self::heartbeat(chosen),
            },
            false => Self::Passive,
        }
    }
}

/// Returns the heartbeat interval at which this many primaries can be watched within the byte budget.
fn heartbeat(groups: usize) -> Duration {
    let groups = u32::try_from(groups).unwrap_or(u32::MAX);
    let round = Duration::from_secs(1) * HEARTBEAT_BYTES / WATCH_BYTES_PER_SECOND;
    BUSY_HEARTBEAT.max(round.saturating_mul(groups))
}

impl Pace {
    /// Returns the intervals for a group that is busy (serves requests) or idle.
    pub fn new(role: Role, busy: bool) -> Self {
        match role {
            _ if busy => Self {
                primary: BUSY_HEARTBEAT,
                replica: BUSY_HEARTBEAT,
            },
            Role::Watcher { heartbeat } => Self {
                primary: heartbeat,
                replica: REPLICA_HEARTBEAT.max(heartbeat * REPLICA_RATIO),
            },
            Role::Passive => Self {
                primary: BYSTANDER_HEARTBEAT,
                replica: BYSTANDER_HEARTBEAT,
            },
        }
    }

    /// Returns the interval of heartbeats to a member.
    pub fn of(self, primary: Option<id::MemberId>, member: id::MemberId) -> Duration {
        match primary {
            Some(primary) if primary != member => self.replica,
            _ => self.primary,
        }
    }
}
