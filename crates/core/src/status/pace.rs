//! How often members are asked without need.

use std::time::Duration;

use crate::id;

/// Time between heartbeats to each member of a group that serves requests.
const BUSY_HEARTBEAT: Duration = Duration::from_millis(100);
/// Shortest time between a watcher's heartbeats to replicas of an idle group.
const REPLICA_HEARTBEAT: Duration = Duration::from_secs(1);
/// Heartbeats to the primary for each one to a replica.
const REPLICA_RATIO: u32 = 4;
/// Time between heartbeats to members of an idle group that others watch.
const BYSTANDER_HEARTBEAT: Duration = Duration::from_secs(20);
/// Bytes of a heartbeat and its answer.
const HEARTBEAT_BYTES: u32 = 200;
/// Bytes a second that one proxy spends on heartbeats to idle groups' primaries.
const WATCH_BYTES_PER_SECOND: u32 = 2_500;
/// Longest time between heartbeats at which every proxy watches every group.
const ALL_WATCH_HEARTBEAT: Duration = Duration::from_millis(250);

/// What a proxy does for an idle group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It looks after the primary.
    Watcher {
        /// Time between heartbeats to the primary.
        heartbeat: Duration,
    },
    /// It relies on the group's watchers.
    Bystander,
}

/// Time between heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// To the primary, or to every member while no primary is known.
    pub primary: Duration,
    /// To the other members.
    pub replica: Duration,
}

impl Role {
    /// Returns the role for a group out of `groups` for which this proxy is one of the chosen watchers or
    /// not, when `chosen` groups have chosen it. With few groups all proxies watch: no failure takes
    /// all watchers along, and the budget allows it.
    pub fn new(is_chosen: bool, chosen: usize, groups: usize) -> Self {
        let heartbeat = heartbeat(groups);
        if heartbeat <= ALL_WATCH_HEARTBEAT {
            return Self::Watcher { heartbeat };
        }
        match is_chosen {
            true => Self::Watcher {
                heartbeat: self::heartbeat(chosen),
            },
            false => Self::Bystander,
        }
    }
}

/// Returns the time between heartbeats at which this many primaries can be watched within the budget.
fn heartbeat(groups: usize) -> Duration {
    let groups = u32::try_from(groups).unwrap_or(u32::MAX);
    let round = Duration::from_secs(1) * HEARTBEAT_BYTES / WATCH_BYTES_PER_SECOND;
    BUSY_HEARTBEAT.max(round.saturating_mul(groups))
}

impl Pace {
    /// Returns the pace for a group that serves requests or is idle.
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
            Role::Bystander => Self {
                primary: BYSTANDER_HEARTBEAT,
                replica: BYSTANDER_HEARTBEAT,
            },
        }
    }

    /// Returns the time between heartbeats to a member.
    pub fn of(self, primary: Option<id::MemberId>, member: id::MemberId) -> Duration {
        match primary {
            Some(primary) if primary != member => self.replica,
            _ => self.primary,
        }
    }
}
