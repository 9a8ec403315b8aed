//! What an experiment measured.

use serde::{Deserialize, Serialize};

/// A latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Half of the samples are at or below it.
    pub p50_ms: f64,
    /// 90% are at or below it.
    pub p90_ms: f64,
    /// 99% are at or below it.
    pub p99_ms: f64,
    /// The largest sample.
    pub max_ms: f64,
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Broken {
    /// A read did not see its session's acknowledged write.
    StaleRead,
    /// An acknowledged write is not in the log of a later primary.
    LostWrite,
    /// A write took effect more than once.
    RanTwice,
    /// A request refused as not run was on a connection.
    RefusedAfterDispatch,
    /// Two requests shared a connection.
    SharedConnection,
}

/// One second of the run.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Reads answered.
    pub reads: u64,
    /// Of these, by replicas.
    pub by_replicas: u64,
    /// Writes acknowledged.
    pub writes: u64,
    /// Requests refused.
    pub refusals: u64,
    /// Connections that members had open at its end.
    pub connections: u64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Name of the profile.
    pub profile: Box<str>,
    /// Name of the policy.
    pub policy: Box<str>,
    /// Requests that arrived.
    pub requests: u64,
    /// Reads answered.
    pub reads: u64,
    /// Share of reads answered by replicas.
    pub replica_share: f64,
    /// Share of reads answered in the caller's region.
    pub region_share: f64,
    /// Writes acknowledged.
    pub writes: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests refused.
    pub refusals: u64,
    /// From a request's arrival to its refusal.
    pub refusal_latency: Latency,
    /// From the caller's sending of a read to its answer.
    pub read_latency: Latency,
    /// From the caller's sending of a write to its acknowledgement.
    pub write_latency: Latency,
    /// From a request's arrival to its first dispatch.
    pub wait_latency: Latency,
    /// Requests answered a second.
    pub goodput: f64,
    /// Dispatches beyond the first, as a share of requests.
    pub retry_share: f64,
    /// Connections opened a second.
    pub connects_per_second: f64,
    /// Connections refused by members for being too many.
    pub connects_refused: u64,
    /// Connections open at all members together, on average over the seconds.
    pub connections_mean: f64,
    /// Most connections open at once, for each member.
    pub connections_peak: Vec<usize>,
    /// Bytes of a read that crossed the link between regions, on average.
    pub link_bytes_per_read: f64,
    /// Bytes of a write that crossed the link between regions, on average, without replication.
    pub link_bytes_per_write: f64,
    /// Bytes of control traffic that crossed the link between regions, a second.
    pub link_control_bytes_per_second: f64,
    /// Bytes of control traffic sent and received by one proxy a second: peers and status questions.
    pub control_bytes_per_second: f64,
    /// Of these, heartbeats between proxies.
    pub peer_bytes_per_second: f64,
    /// Longest time without an acknowledged write, in milliseconds.
    pub longest_write_gap_ms: f64,
    /// Promotions.
    pub promotions: u64,
    /// Promises broken; empty in a good run.
    pub broken: Vec<Broken>,
    /// The run by seconds.
    pub seconds: Vec<Second>,
}
