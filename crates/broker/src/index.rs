//! The read index: points of a leader's log that cover all commits acknowledged before a known instant.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;

/// Shortest interval between a kept sample and the second one after it. A sample that would come sooner replaces the sample
/// before it, which bounds the number of samples.
const SAMPLE_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Age at which a sample is dropped. It must exceed the staleness that any route allows (at most 2,500 ms).
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(5);

/// A point of the leader's log that covers all commits acknowledged before an instant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Instant at which the statement was sent to the leader. The point covers all commits acknowledged before it.
    pub sent_at: Instant,
    /// Point in the leader's answer.
    pub point: floor::Point,
}

/// Samples of one group, ordered by `sent_at`, all of the newest known term.
#[derive(Clone, Debug, Default)]
pub struct ReadIndex {
    samples: VecDeque<Sample>,
    /// Term of the leader that gave the samples.
    term: id::Term,
}

impl ReadIndex {
    /// Records the point in an answer of the leader of `term` to a statement that was sent at `sent_at`.
    ///
    /// A sample of a newer term replaces all older ones. The promotion that began the newer term may have discarded entries
    /// at points of an older term. All commits acknowledged in the older term are below the first point of the newer one.
    pub fn record(&mut self, sent_at: Instant, term: id::Term, point: floor::Point) {
        if term > self.term {
            self.samples.clear();
            self.term = term;
        }
        if let Some(newest) = self.samples.back().copied() {
            if point.term < newest.point.term {
                return;
            }
            if point.term > newest.point.term {
                self.samples.clear();
            } else if sent_at <= newest.sent_at {
                return;
            }
        }
        let len = self.samples.len();
        if len >= 2
            && sent_at.saturating_duration_since(self.samples[len - 2].sent_at)
                < SAMPLE_INTERVAL_MIN
        {
            self.samples.pop_back();
        }
        while let Some(oldest) = self.samples.front() {
            if sent_at.saturating_duration_since(oldest.sent_at) <= SAMPLE_AGE_MAX {
                break;
            }
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { sent_at, point });
    }

    /// Returns the point that a member's log must have reached to serve a read; `None` until the leader has answered a
    /// statement sent after `acknowledged_before`.
    ///
    /// Uses the oldest sample that covers `acknowledged_before`, because more replicas have reached it than any later one.
    /// If the session's commit is of an older term than the sample, the sample covers it, so the commit is ignored.
    pub fn floor(
        &self,
        acknowledged_before: Instant,
        session_commit: Option<floor::Point>,
    ) -> Option<floor::Point> {
        let covering = self
            .samples
            .iter()
            .find(|sample| sample.sent_at >= acknowledged_before);
        let point = covering?.point;
        let session_commit =
            session_commit.filter(|session_commit| session_commit.term >= point.term);
        Some(session_commit.map_or(point, |session_commit| session_commit.max(point)))
    }

    /// Returns the instant of the newest sample.
    pub fn newest_at(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.sent_at)
    }

    /// Returns the term of the leader that gave the samples; 0 before the first one.
    pub fn term(&self) -> id::Term {
        self.term
    }
}
