//! The network between the failure domains.

use std::time::{Duration, Instant};

use crate::experiment::Profile;

/// Kind of a message, by which the bytes on the link between regions are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// Statement or answer of a read.
    Read,
    /// Statement or answer of a write.
    Write,
    /// Log entry that the primary sends to a replica.
    Replication,
    /// Control message: a heartbeat between proxies, or a status question or term request with its answer.
    Control,
}

/// Bytes that crossed the link between regions in either direction, by kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkBytes {
    /// Bytes of [`Traffic::Read`].
    pub read_bytes: u64,
    /// Bytes of [`Traffic::Write`].
    pub write_bytes: u64,
    /// Bytes of [`Traffic::Replication`].
    pub replication_bytes: u64,
    /// Bytes of [`Traffic::Control`].
    pub control_bytes: u64,
}

/// The network: latencies between failure domains, and one link between the two regions whose capacity is limited in
/// each direction.
#[derive(Clone, Debug)]
pub struct Network {
    profile: Profile,
    /// When the link will have sent all messages so far, for each direction.
    free_at: [Instant; 2],
    /// Bytes that crossed the link between regions.
    pub link_bytes: LinkBytes,
}

impl Network {
    /// Creates the network of a deployment.
    pub fn new(profile: &Profile, now: Instant) -> Self {
        Self {
            profile: profile.clone(),
            free_at: [now; 2],
            link_bytes: LinkBytes::default(),
        }
    }

    /// Sends a message from one failure domain to another and returns when it arrives. On the link between regions
    /// it waits until the messages before it have been sent.
    pub fn send(
        &mut self,
        now: Instant,
        from: usize,
        to: usize,
        bytes: u64,
        traffic: Traffic,
    ) -> Instant {
        let latency = self.profile.latency(from, to);
        if !self.profile.crosses_regions(from, to) {
            return now + latency;
        }
        self.count_link_bytes(bytes, traffic);
        let direction = usize::from(from > to);
        let seconds = bytes as f64 * 8.0 / self.profile.link_bits_per_second;
        let free_at = &mut self.free_at[direction];
        *free_at = now.max(*free_at) + Duration::from_secs_f64(seconds);
        *free_at + latency
    }

    fn count_link_bytes(&mut self, bytes: u64, traffic: Traffic) {
        let counter = match traffic {
            Traffic::Read => &mut self.link_bytes.read_bytes,
            Traffic::Write => &mut self.link_bytes.write_bytes,
            Traffic::Replication => &mut self.link_bytes.replication_bytes,
            Traffic::Control => &mut self.link_bytes.control_bytes,
        };
        *counter += bytes;
    }
}
