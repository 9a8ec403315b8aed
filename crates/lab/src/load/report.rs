//! What a load measured.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::outcome;

/// A latency distribution from the planned arrival to the answer, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Samples.
    pub count: u64,
    /// Half of the samples are at or below it.
    pub p50_us: u64,
    /// 90% are at or below it.
    pub p90_us: u64,
    /// 99% are at or below it.
    pub p99_us: u64,
    /// The largest sample.
    pub max_us: u64,
}

impl Latency {
    /// Returns the figures of a histogram.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// The figures of one kind of request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct KindReport {
    /// The kind.
    pub kind: outcome::Kind,
    /// Answered.
    pub done: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Writes that may have run.
    pub unknown: u64,
    /// Ended in another way.
    pub failed: u64,
    /// Latency of those answered.
    pub done_latency: Latency,
    /// Latency of those refused.
    pub refused_latency: Latency,
}

/// How far a load is.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Progress {
    /// Time since the start.
    pub elapsed: Duration,
    /// Answered.
    pub done: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Writes that may have run.
    pub unknown: u64,
    /// Ended in another way.
    pub failed: u64,
    /// Promises broken.
    pub broken: u64,
}

/// The figures of one load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Sessions.
    pub sessions: u32,
    /// Requests a second that were planned.
    pub planned_per_second: f64,
    /// Time from the start to the last answer, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests answered a second.
    pub done_per_second: f64,
    /// Requests by kind.
    pub kinds: Vec<KindReport>,
    /// Connections opened.
    pub connects: u64,
    /// Connections that could not be opened.
    pub connects_failed: u64,
    /// Time to connect and log in.
    pub connect_latency: Latency,
    /// Reads that missed an acknowledged write of their own session.
    pub stale_reads: u64,
    /// Reads that saw a write which was refused as not run, or was never sent.
    pub false_reads: u64,
}

impl Report {
    /// Returns whether every read saw what it must and nothing that it must not.
    pub fn held(&self) -> bool {
        self.stale_reads == 0 && self.false_reads == 0
    }
}
