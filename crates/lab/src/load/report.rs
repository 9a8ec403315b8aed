//! The report and the progress of a load.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::outcome;

/// Distribution of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Latency {
    /// Returns the number of samples, the percentiles and the maximum of a histogram of microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// Measurements of one kind of request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct KindReport {
    /// Kind of the requests.
    pub kind: outcome::Kind,
    /// Number of answered requests.
    pub done: u64,
    /// Number of requests refused as not run.
    pub refused: u64,
    /// Number of writes that may have run.
    pub unknown: u64,
    /// Number of requests that failed in another way.
    pub failed: u64,
    /// Time from the scheduled time of an answered request to its answer.
    pub done_latency: Latency,
    /// Time from the scheduled time of a refused request to its refusal.
    pub refused_latency: Latency,
}

/// Progress of a load: counts of all kinds of requests so far.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Progress {
    /// Time since the start.
    pub elapsed: Duration,
    /// Number of answered requests.
    pub done: u64,
    /// Number of requests refused as not run.
    pub refused: u64,
    /// Number of writes that may have run.
    pub unknown: u64,
    /// Number of requests that failed in another way.
    pub failed: u64,
    /// Number of stale and false reads.
    #[serde(rename = "broken")]
    pub violations: u64,
}

/// Measurements of one load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the load's random numbers.
    pub seed: u64,
    /// Number of sessions.
    pub sessions: u32,
    /// Mean rate of requests in the options.
    pub planned_per_second: f64,
    /// Time from the start until all sessions ended, in milliseconds.
    pub elapsed_ms: u64,
    /// Answered requests per second.
    pub done_per_second: f64,
    /// Measurements of each kind of request.
    pub kinds: Vec<KindReport>,
    /// Number of connections that were opened.
    pub connects: u64,
    /// Number of connections that could not be opened.
    pub connects_failed: u64,
    /// Time to connect, log in and, if the session presents one, set the token.
    pub connect_latency: Latency,
    /// Number of reads that missed an acknowledged write of their session.
    pub stale_reads: u64,
    /// Number of reads that returned a value whose write was refused as not run or never sent.
    pub false_reads: u64,
}

impl Report {
    /// Returns whether the load had neither stale nor false reads.
    pub fn passed(&self) -> bool {
        self.stale_reads == 0 && self.false_reads == 0
    }
}
