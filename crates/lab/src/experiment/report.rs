//! The report of an experiment.

use serde::{Deserialize, Serialize};

/// Distribution of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Violation of a guarantee that the proxies give.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Violation {
    /// A read did not see an acknowledged write of its session.
    StaleRead,
    /// A member was promoted whose log lacked an acknowledged write.
    LostWrite,
    /// A write was committed more than once.
    RanTwice,
    /// A request was refused as not run although it had been dispatched and may have run.
    RefusedAfterDispatch,
    /// A request was dispatched on a connection on which another request was running.
    SharedConnection,
}

/// Counts of one second of the measurement.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Number of answered reads.
    pub reads: u64,
    /// Number of reads that replicas answered.
    pub by_replicas: u64,
    /// Number of acknowledged writes.
    pub writes: u64,
    /// Number of refused requests.
    pub refusals: u64,
    /// Number of connections that all members together had open at the end of the second.
    pub connections: u64,
}

/// Measurements of one run. Unless a field says otherwise, counts cover the requests that arrived at a proxy during the
/// measurement.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Name of the profile.
    pub profile: Box<str>,
    /// Name of the policy in the options.
    pub policy: Box<str>,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of answered reads.
    pub reads: u64,
    /// Share of the answered reads that replicas answered.
    pub replica_share: f64,
    /// Share of the answered reads that a member in the region of the proxy answered.
    pub region_share: f64,
    /// Number of acknowledged writes.
    pub writes: u64,
    /// Number of requests with an unknown outcome, those during the warm-up included.
    pub unknown: u64,
    /// Number of refused requests.
    pub refusals: u64,
    /// Time from the arrival of a request at the proxy to its refusal.
    pub refusal_latency: Latency,
    /// Time from the sending of a read to the arrival of its answer at the caller.
    pub read_latency: Latency,
    /// Time from the sending of a write to the arrival of its acknowledgement at the caller.
    pub write_latency: Latency,
    /// Time from the arrival of a request at the proxy to its first dispatch.
    pub wait_latency: Latency,
    /// Requests answered per second of the measurement, also if they arrived before it.
    pub goodput: f64,
    /// Number of repeated dispatches divided by the number of requests.
    pub retry_share: f64,
    /// Connections per second that proxies started to open.
    pub connects_per_second: f64,
    /// Number of connections that members refused because too many were open, from the start of the warm-up.
    pub connects_refused: u64,
    /// Mean number of connections that all members together had open at the end of a second.
    pub connections_mean: f64,
    /// Highest number of connections that were open at once, for each member, from the start of the warm-up.
    pub connections_peak: Vec<usize>,
    /// Bytes of reads that crossed the link between regions, those of the warm-up included, divided by the number of
    /// answered reads.
    pub link_bytes_per_read: f64,
    /// Bytes of writes, without replication, that crossed the link between regions, those of the warm-up included,
    /// divided by the number of acknowledged writes.
    pub link_bytes_per_write: f64,
    /// Bytes of control messages per second that crossed the link between regions, averaged over warm-up and
    /// measurement.
    pub link_control_bytes_per_second: f64,
    /// Bytes of control messages per second that one proxy sent and received, averaged over warm-up and measurement.
    /// Control messages are heartbeats between proxies, status questions, term requests and their answers.
    pub control_bytes_per_second: f64,
    /// Bytes of heartbeats among `control_bytes_per_second`.
    pub peer_bytes_per_second: f64,
    /// Longest time in milliseconds between two acknowledged writes, or from the start to the first one. The time after
    /// the last one does not count.
    pub longest_write_gap_ms: f64,
    /// Number of promotions during the measurement.
    pub promotions: u64,
    /// Violations of guarantees from the start of the warm-up; a correct run has none.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
    /// Counts of each second of the measurement.
    pub seconds: Vec<Second>,
}
