//! Intervals of heartbeats to members: immediate status requests that show whether a member answers.

use std::time::Duration;

use crate::id;

/// Heartbeat interval for each member of a group that serves requests.
const BUSY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval of a watcher's heartbeats to replicas of an idle group.
const REPLICA_HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Number of heartbeats that a watcher sends to the primary for each one to a replica.
const PRIMARY_HEARTBEATS_PER_REPLICA_HEARTBEAT: u32 = 4;
/// Heartbeat interval for members of an idle group that other proxies watch.
const PASSIVE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(20);
/// Size of a heartbeat and its answer, in bytes.
const HEARTBEAT_BYTES: u32 = 200;
/// Maximum rate of one proxy's heartbeats to primaries of idle groups, in bytes per second.
const IDLE_HEARTBEAT_BYTES_PER_SECOND_MAX: u32 = 2_500;
/// Longest heartbeat interval at which every proxy watches every group.
const ALL_WATCH_HEARTBEAT_INTERVAL_MAX: Duration = Duration::from_millis(250);

/// Role of a proxy for an idle group. In large systems two chosen proxies per group are its watchers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The proxy sends frequent heartbeats to the primary, to notice its failure.
    Watcher {
        /// Interval of heartbeats to the primary.
        heartbeat_interval: Duration,
    },
    /// The proxy leaves it to the group's watchers to notice a failure.
    Passive,
}

/// Intervals of heartbeats to the members of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatIntervals {
    /// Interval for the primary, or for every member while no primary is known.
    pub primary: Duration,
    /// Interval for the other members.
    pub replica: Duration,
}

impl Role {
    /// Returns this proxy's role for a group. `is_chosen` says whether the proxy is a chosen watcher of the group,
    /// `chosen_count` of how many groups it is one, and `group_count` how many groups there are. With few groups
    /// every proxy watches every group: the byte budget allows it, and no failure takes all watchers down at once.
    pub fn new(is_chosen: bool, chosen_count: usize, group_count: usize) -> Self {
        let heartbeat_interval = heartbeat_interval(group_count);
        if heartbeat_interval <= ALL_WATCH_HEARTBEAT_INTERVAL_MAX {
            return Self::Watcher { heartbeat_interval };
        }
        match is_chosen {
            true => Self::Watcher {
                heartbeat_interval: self::heartbeat_interval(chosen_count),
            },
            false => Self::Passive,
        }
    }
}

/// Returns the heartbeat interval at which this many primaries can be watched within the byte budget.
fn heartbeat_interval(group_count: usize) -> Duration {
    let group_count = u32::try_from(group_count).unwrap_or(u32::MAX);
    let time_per_heartbeat =
        Duration::from_secs(1) * HEARTBEAT_BYTES / IDLE_HEARTBEAT_BYTES_PER_SECOND_MAX;
    BUSY_HEARTBEAT_INTERVAL.max(time_per_heartbeat.saturating_mul(group_count))
}

impl HeartbeatIntervals {
    /// Returns the intervals for a group that is busy (serves requests) or idle.
    pub fn new(role: Role, busy: bool) -> Self {
        match role {
            _ if busy => Self {
                primary: BUSY_HEARTBEAT_INTERVAL,
                replica: BUSY_HEARTBEAT_INTERVAL,
            },
            Role::Watcher { heartbeat_interval } => Self {
                primary: heartbeat_interval,
                replica: REPLICA_HEARTBEAT_INTERVAL_MIN
                    .max(heartbeat_interval * PRIMARY_HEARTBEATS_PER_REPLICA_HEARTBEAT),
            },
            Role::Passive => Self {
                primary: PASSIVE_HEARTBEAT_INTERVAL,
                replica: PASSIVE_HEARTBEAT_INTERVAL,
            },
        }
    }

    /// Returns the interval of heartbeats to a member.
    pub fn for_member(self, primary: Option<id::MemberId>, member: id::MemberId) -> Duration {
        match primary {
            Some(primary) if primary != member => self.replica,
            _ => self.primary,
        }
    }
}
