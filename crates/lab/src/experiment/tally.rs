//! Counting while an experiment runs.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use hdrhistogram::Histogram;

use crate::experiment::{Broken, Latency, Second, caller};

/// Largest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 100_000_000;

/// Counters of one run.
#[derive(Debug)]
pub struct Tally {
    start: Instant,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered in the measurement, whenever they arrived.
    pub answers: u64,
    /// Reads answered.
    pub reads: u64,
    /// Reads answered by replicas.
    pub by_replicas: u64,
    /// Reads answered in the caller's region.
    pub in_region: u64,
    /// Writes acknowledged.
    pub writes: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests refused.
    pub refusals: u64,
    /// Dispatches beyond the first of a request.
    pub retries: u64,
    /// Connections that were asked for.
    pub connects: u64,
    /// Promotions.
    pub promotions: u64,
    /// Longest time without an acknowledged write.
    pub longest_gap: Duration,
    /// Promises broken.
    pub broken: Vec<Broken>,
    /// The run by seconds.
    pub seconds: Vec<Second>,
    /// Latency of reads.
    pub read_us: Histogram<u64>,
    /// Latency of writes.
    pub write_us: Histogram<u64>,
    /// Time from arrival to refusal.
    pub refusal_us: Histogram<u64>,
    /// Time from arrival to first dispatch.
    pub wait_us: Histogram<u64>,
    last_write_at: Instant,
    newest_acknowledged: floor::Point,
}

impl Tally {
    /// Creates counters for a measurement that starts at `start`; what happens earlier is warm-up.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            requests: 0,
            answers: 0,
            reads: 0,
            by_replicas: 0,
            in_region: 0,
            writes: 0,
            unknown: 0,
            refusals: 0,
            retries: 0,
            connects: 0,
            promotions: 0,
            longest_gap: Duration::ZERO,
            broken: Vec::new(),
            seconds: Vec::new(),
            read_us: histogram(),
            write_us: histogram(),
            refusal_us: histogram(),
            wait_us: histogram(),
            last_write_at: start,
            newest_acknowledged: floor::Point::default(),
        }
    }

    /// Returns whether the measurement has started.
    pub fn measures(&self, now: Instant) -> bool {
        now >= self.start
    }

    /// Returns the counters of the current second.
    pub fn second(&mut self, now: Instant) -> &mut Second {
        let elapsed = now.saturating_duration_since(self.start).as_secs();
        let index = usize::try_from(elapsed).unwrap_or(usize::MAX);
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    /// Notes a broken promise.
    pub fn broke(&mut self, promise: Broken) {
        self.broken.push(promise);
    }

    /// Counts an answered read.
    pub fn read(&mut self, now: Instant, pending: &caller::Pending, replica: bool, near: bool) {
        self.answers += u64::from(self.measures(now));
        if !self.measures(pending.arrived_at) {
            return;
        }
        self.reads += 1;
        self.by_replicas += u64::from(replica);
        self.in_region += u64::from(near);
        record(&mut self.read_us, now - pending.sent_at);
        let second = self.second(now);
        second.reads += 1;
        second.by_replicas += u64::from(replica);
    }

    /// Counts an acknowledged write; `caller_at` is when the caller has the answer.
    pub fn write(
        &mut self,
        now: Instant,
        caller_at: Instant,
        pending: &caller::Pending,
        point: floor::Point,
    ) {
        self.newest_acknowledged = self.newest_acknowledged.max(point);
        self.answers += u64::from(self.measures(now));
        if !self.measures(pending.arrived_at) {
            return;
        }
        self.writes += 1;
        record(&mut self.write_us, caller_at - pending.sent_at);
        let gap = now.saturating_duration_since(self.last_write_at);
        self.longest_gap = self.longest_gap.max(gap);
        self.last_write_at = now;
        self.second(now).writes += 1;
    }

    /// Counts a refusal.
    pub fn refusal(&mut self, now: Instant, pending: &caller::Pending) {
        if !self.measures(pending.arrived_at) {
            return;
        }
        self.refusals += 1;
        record(&mut self.refusal_us, now - pending.arrived_at);
        self.second(now).refusals += 1;
    }

    /// Notes the end of a new primary's log before its promotion.
    pub fn promotion(&mut self, now: Instant, last: floor::Point) {
        self.promotions += u64::from(self.measures(now));
        if last < self.newest_acknowledged {
            self.broke(Broken::LostWrite);
        }
    }

    /// Returns the connections open at the end of a second, on average.
    pub fn connections_mean(&self) -> f64 {
        let sum: u64 = self.seconds.iter().map(|second| second.connections).sum();
        sum as f64 / self.seconds.len().max(1) as f64
    }

    /// Notes the time from arrival to dispatch.
    pub fn wait(&mut self, now: Instant, pending: &caller::Pending) {
        if self.measures(pending.arrived_at) {
            record(&mut self.wait_us, now - pending.arrived_at);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, 3).expect("three digits up to 100 s are in range")
}

fn record(histogram: &mut Histogram<u64>, sample: Duration) {
    let sample_us = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(sample_us);
}

/// Summarises a distribution.
pub fn summary(histogram: &Histogram<u64>) -> Latency {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Latency {
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}
