//! Counters and latency histograms that all sessions share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::{options, outcome, report};

/// Largest latency that the histograms record, in microseconds; longer ones count as this one.
const LATENCY_MAX_US: u64 = 600_000_000;
/// Number of significant digits of recorded latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Counts outcomes and records latencies of all sessions.
#[derive(Debug, Default)]
pub struct Tally {
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    kinds: [KindCounts; outcome::Kind::ALL.len()],
    connects: Latencies,
    connects_failed: u64,
    stale_reads: u64,
    false_reads: u64,
}

#[derive(Debug, Default)]
struct KindCounts {
    done: Latencies,
    refused: Latencies,
    unknown: u64,
    failed: u64,
}

/// Histogram of latencies in microseconds.
#[derive(Debug)]
struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LATENCY_MAX_US, LATENCY_SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are a valid range"))
    }
}

impl Latencies {
    fn record(&mut self, latency: Duration) {
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(latency_us);
    }
}

impl Tally {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request, and records its latency, counted from its scheduled time, if it was answered or refused.
    pub fn record_request(
        &self,
        kind: outcome::Kind,
        outcome: outcome::Outcome,
        latency: Duration,
    ) {
        let mut counts = self.counts();
        let counts = &mut counts.kinds[kind as usize];
        match outcome {
            outcome::Outcome::Done => counts.done.record(latency),
            outcome::Outcome::Refused => counts.refused.record(latency),
            outcome::Outcome::Unknown => counts.unknown += 1,
            outcome::Outcome::Failed => counts.failed += 1,
        }
    }

    /// Counts a connection that was opened, and records the time that opening it took.
    pub fn record_connect(&self, latency: Duration) {
        self.counts().connects.record(latency);
    }

    /// Counts a connection that could not be opened.
    pub fn record_connect_failure(&self) {
        self.counts().connects_failed += 1;
    }

    /// Counts a read that missed an acknowledged write of its session.
    pub fn record_stale_read(&self) {
        self.counts().stale_reads += 1;
    }

    /// Counts a read that returned a value whose write was refused as not run or never sent.
    pub fn record_false_read(&self) {
        self.counts().false_reads += 1;
    }

    /// Returns the counts so far.
    pub fn progress(&self, elapsed: Duration) -> report::Progress {
        let counts = self.counts();
        let sum = |count: fn(&KindCounts) -> u64| counts.kinds.iter().map(count).sum();
        report::Progress {
            elapsed,
            done: sum(|kind| kind.done.0.len()),
            refused: sum(|kind| kind.refused.0.len()),
            unknown: sum(|kind| kind.unknown),
            failed: sum(|kind| kind.failed),
            violations: counts.stale_reads + counts.false_reads,
        }
    }

    /// Returns the report of a load that has taken this long.
    pub fn report(&self, options: &options::Options, elapsed: Duration) -> report::Report {
        let progress = self.progress(elapsed);
        let counts = self.counts();
        let kind = |kind: outcome::Kind| counts.kinds[kind as usize].report(kind);
        report::Report {
            seed: options.seed,
            sessions: options.sessions,
            planned_per_second: options.requests_per_second,
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            done_per_second: progress.done as f64 / elapsed.as_secs_f64(),
            kinds: outcome::Kind::ALL.into_iter().map(kind).collect(),
            connects: counts.connects.0.len(),
            connects_failed: counts.connects_failed,
            connect_latency: report::Latency::from_histogram(&counts.connects.0),
            stale_reads: counts.stale_reads,
            false_reads: counts.false_reads,
        }
    }
}

impl KindCounts {
    fn report(&self, kind: outcome::Kind) -> report::KindReport {
        report::KindReport {
            kind,
            done: self.done.0.len(),
            refused: self.refused.0.len(),
            unknown: self.unknown,
            failed: self.failed,
            done_latency: report::Latency::from_histogram(&self.done.0),
            refused_latency: report::Latency::from_histogram(&self.refused.0),
        }
    }
}
