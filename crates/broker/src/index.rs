//! The read index: log points that cover all that was acknowledged before a known time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::floor;

/// Distance between two samples that are kept. Closer ones replace each other, which bounds the number kept.
const SPACING: Duration = Duration::from_millis(100);
/// Age at which a sample is dropped: twice the longest staleness that routes allow today (2,500 ms).
const AGE_MAX: Duration = Duration::from_secs(5);

/// A point of the leader's log, and a time before it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// The question was sent after this; all that was acknowledged before is covered.
    pub asked_at: Instant,
    /// The leader's answer.
    pub point: floor::Point,
}

/// Samples of one group, in the order of their questions, all of the newest term known.
#[derive(Clone, Debug, Default)]
pub struct Index {
    samples: VecDeque<Sample>,
}

impl Index {
    /// Takes an answer that was given by a member while it led, to a question sent at `asked_at`.
    ///
    /// A newer term replaces the samples of older ones: their points may lie past what the promotion kept, while all
    /// that was acknowledged is below the first point of the new term.
    pub fn record(&mut self, asked_at: Instant, point: floor::Point) {
        if let Some(newest) = self.samples.back().copied() {
            if point.term < newest.point.term {
                return;
            }
            if point.term > newest.point.term {
                self.samples.clear();
            } else if asked_at <= newest.asked_at {
                return;
            }
        }
        let len = self.samples.len();
        if len >= 2 && asked_at.saturating_duration_since(self.samples[len - 2].asked_at) < SPACING
        {
            self.samples.pop_back();
        }
        while let Some(oldest) = self.samples.front() {
            if asked_at.saturating_duration_since(oldest.asked_at) <= AGE_MAX {
                break;
            }
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { asked_at, point });
    }

    /// Returns the point that a read has to have reached; none until a question sent after `since` is answered.
    ///
    /// The oldest sample that covers `since` is the one that most replicas have reached. An own commit of an older
    /// term is covered by any sample of a newer one.
    pub fn floor(&self, since: Instant, own: Option<floor::Point>) -> Option<floor::Point> {
        let covering = self.samples.iter().find(|sample| sample.asked_at >= since);
        let point = covering?.point;
        let own = own.filter(|own| own.term >= point.term);
        Some(own.map_or(point, |own| own.max(point)))
    }

    /// Returns when the newest sample was asked for.
    pub fn newest_at(&self) -> Option<Instant> {
        self.samples.back().map(|sample| sample.asked_at)
    }

    /// Returns the newest term that an answer has shown.
    pub fn term(&self) -> Option<u64> {
        self.samples.back().map(|sample| sample.point.term)
    }
}
