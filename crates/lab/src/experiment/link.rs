//! The network between failure domains.

use std::time::{Duration, Instant};

use crate::experiment::Profile;

/// What a message is, for the accounting of the link between regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Use {
    /// A read's statement or answer.
    Read,
    /// A write's statement or answer.
    Write,
    /// Replication between members.
    Replication,
    /// Everything else.
    Control,
}

/// Bytes that crossed the link between regions, by use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    /// See [`Use::Read`].
    pub read_bytes: u64,
    /// See [`Use::Write`].
    pub write_bytes: u64,
    /// See [`Use::Replication`].
    pub replication_bytes: u64,
    /// See [`Use::Control`].
    pub control_bytes: u64,
}

/// The network: latencies, and a link between regions of limited capacity each way.
#[derive(Clone, Debug)]
pub struct Network {
    profile: Profile,
    free_at: [Instant; 2],
    /// What the link between regions carried.
    pub carried: Carried,
}

impl Network {
    /// Creates the network of a deployment.
    pub fn new(profile: &Profile, now: Instant) -> Self {
        Self {
            profile: profile.clone(),
            free_at: [now; 2],
            carried: Carried::default(),
        }
    }

    /// Returns when a message sent now from one failure domain arrives in another.
    pub fn send(&mut self, now: Instant, from: usize, to: usize, bytes: u64, what: Use) -> Instant {
        let latency = self.profile.latency(from, to);
        if !self.profile.crosses(from, to) {
            return now + latency;
        }
        self.count(bytes, what);
        let direction = usize::from(from > to);
        let seconds = bytes as f64 * 8.0 / self.profile.link_bits_per_second;
        let free_at = &mut self.free_at[direction];
        *free_at = now.max(*free_at) + Duration::from_secs_f64(seconds);
        *free_at + latency
    }

    fn count(&mut self, bytes: u64, what: Use) {
        let counter = match what {
            Use::Read => &mut self.carried.read_bytes,
            Use::Write => &mut self.carried.write_bytes,
            Use::Replication => &mut self.carried.replication_bytes,
            Use::Control => &mut self.carried.control_bytes,
        };
        *counter += bytes;
    }
}
