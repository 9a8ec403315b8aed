//! Counters and latency histograms of a running experiment.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use hdrhistogram::Histogram;

use crate::experiment::{Latency, Second, Violation, caller};

/// Largest latency that the histograms record, in microseconds; longer ones count as this one.
const LATENCY_MAX_US: u64 = 100_000_000;

/// Counters and latency histograms of one run. Unless a field says otherwise, they cover the requests that arrived at a
/// proxy during the measurement.
#[derive(Debug)]
pub struct Tally {
    start: Instant,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests answered during the measurement, also if they arrived before it.
    pub answers: u64,
    /// Number of answered reads.
    pub reads: u64,
    /// Number of reads that replicas answered.
    pub reads_by_replicas: u64,
    /// Number of reads that a member in the region of the proxy answered.
    pub reads_in_region: u64,
    /// Number of acknowledged writes.
    pub writes: u64,
    /// Number of requests with an unknown outcome, those during the warm-up included.
    pub unknown: u64,
    /// Number of refused requests.
    pub refusals: u64,
    /// Number of repeated dispatches during the measurement.
    pub retries: u64,
    /// Number of connections that proxies started to open during the measurement.
    pub connects: u64,
    /// Number of promotions during the measurement.
    pub promotions: u64,
    /// Longest time between two acknowledged writes, or from the start to the first one. The time after the last one
    /// does not count.
    pub longest_write_gap: Duration,
    /// Violations of guarantees from the start of the warm-up.
    pub violations: Vec<Violation>,
    /// Counts of each second of the measurement.
    pub seconds: Vec<Second>,
    /// Time from the sending of a read to the arrival of its answer at the caller, in microseconds.
    pub read_us: Histogram<u64>,
    /// Time from the sending of a write to the arrival of its acknowledgement at the caller, in microseconds.
    pub write_us: Histogram<u64>,
    /// Time from the arrival of a request at the proxy to its refusal, in microseconds.
    pub refusal_us: Histogram<u64>,
    /// Time from the arrival of a request at the proxy to its first dispatch, in microseconds.
    pub wait_us: Histogram<u64>,
    last_write_at: Instant,
    newest_acknowledged: floor::Point,
}

impl Tally {
    /// Creates counters for a measurement that starts at `start`; the time before is the warm-up.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            requests: 0,
            answers: 0,
            reads: 0,
            reads_by_replicas: 0,
            reads_in_region: 0,
            writes: 0,
            unknown: 0,
            refusals: 0,
            retries: 0,
            connects: 0,
            promotions: 0,
            longest_write_gap: Duration::ZERO,
            violations: Vec::new(),
            seconds: Vec::new(),
            read_us: histogram(),
            write_us: histogram(),
            refusal_us: histogram(),
            wait_us: histogram(),
            last_write_at: start,
            newest_acknowledged: floor::Point::default(),
        }
    }

    /// Returns whether this time is part of the measurement, not of the warm-up.
    pub fn is_measuring(&self, now: Instant) -> bool {
        now >= self.start
    }

    /// Returns the counts of the second of the measurement that contains `now`.
    pub fn second(&mut self, now: Instant) -> &mut Second {
        let elapsed = now.saturating_duration_since(self.start).as_secs();
        let index = usize::try_from(elapsed).unwrap_or(usize::MAX);
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    /// Records the violation of a guarantee.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Counts a read whose answer reaches the caller at `now`.
    pub fn record_read(
        &mut self,
        now: Instant,
        pending: &caller::PendingRequest,
        by_replica: bool,
        in_region: bool,
    ) {
        self.answers += u64::from(self.is_measuring(now));
        if !self.is_measuring(pending.arrived_at) {
            return;
        }
        self.reads += 1;
        self.reads_by_replicas += u64::from(by_replica);
        self.reads_in_region += u64::from(in_region);
        record_latency(&mut self.read_us, now - pending.sent_at);
        let second = self.second(now);
        second.reads += 1;
        second.by_replicas += u64::from(by_replica);
    }

    /// Counts a write that the proxy acknowledges at `now` and whose answer reaches the caller at `caller_at`.
    pub fn record_write(
        &mut self,
        now: Instant,
        caller_at: Instant,
        pending: &caller::PendingRequest,
        point: floor::Point,
    ) {
        self.newest_acknowledged = self.newest_acknowledged.max(point);
        self.answers += u64::from(self.is_measuring(now));
        if !self.is_measuring(pending.arrived_at) {
            return;
        }
        self.writes += 1;
        record_latency(&mut self.write_us, caller_at - pending.sent_at);
        let gap = now.saturating_duration_since(self.last_write_at);
        self.longest_write_gap = self.longest_write_gap.max(gap);
        self.last_write_at = now;
        self.second(now).writes += 1;
    }

    /// Counts a refused request.
    pub fn record_refusal(&mut self, now: Instant, pending: &caller::PendingRequest) {
        if !self.is_measuring(pending.arrived_at) {
            return;
        }
        self.refusals += 1;
        record_latency(&mut self.refusal_us, now - pending.arrived_at);
        self.second(now).refusals += 1;
    }

    /// Counts a promotion, and records a violation if the new primary's log, which ended at `last` before the promotion,
    /// lacks an acknowledged write.
    pub fn record_promotion(&mut self, now: Instant, last: floor::Point) {
        self.promotions += u64::from(self.is_measuring(now));
        if last < self.newest_acknowledged {
            self.record_violation(Violation::LostWrite);
        }
    }

    /// Returns the mean number of connections that members had open at the end of a second.
    pub fn connections_mean(&self) -> f64 {
        let sum: u64 = self.seconds.iter().map(|second| second.connections).sum();
        sum as f64 / self.seconds.len().max(1) as f64
    }

    /// Records the waiting time of a request that is dispatched for the first time.
    pub fn record_wait(&mut self, now: Instant, pending: &caller::PendingRequest) {
        if self.is_measuring(pending.arrived_at) {
            record_latency(&mut self.wait_us, now - pending.arrived_at);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, 3).expect("three digits up to 100 s are in range")
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(latency_us);
}

/// Returns the percentiles and the maximum of a histogram of microseconds.
pub fn latency_summary(histogram: &Histogram<u64>) -> Latency {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Latency {
        p50_ms: quantile_ms(0.5),
        p90_ms: quantile_ms(0.9),
        p99_ms: quantile_ms(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}
