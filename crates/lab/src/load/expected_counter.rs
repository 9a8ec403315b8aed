//! The values that a read of a session's own row may return.

use crate::load::outcome;

/// The writes that a session has sent to its row, by outcome. Each write sets the row's counter to a higher value.
#[derive(Clone, Debug, Default)]
pub struct ExpectedCounter {
    /// Highest value that the session has sent.
    sent: i64,
    /// Highest value whose write was acknowledged.
    acknowledged: i64,
    /// Values whose writes were refused as not run.
    refused: Vec<i64>,
}

/// Verdict on a read of the session's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadVerdict {
    /// The read may return this value.
    Valid,
    /// The row is missing, or its value is lower than an acknowledged one.
    Stale,
    /// The value was refused as not run, or was never sent.
    False,
}

impl ExpectedCounter {
    /// Returns the value for the next write and counts it as sent.
    pub fn next_value(&mut self) -> i64 {
        self.sent += 1;
        self.sent
    }

    /// Records the outcome of the write of a value.
    pub fn record_outcome(&mut self, value: i64, outcome: outcome::Outcome) {
        match outcome {
            outcome::Outcome::Done => self.acknowledged = value,
            outcome::Outcome::Refused => self.refused.push(value),
            outcome::Outcome::Unknown | outcome::Outcome::Failed => {}
        }
    }

    /// Returns the verdict on a value that was read, or on a missing row if it is `None`.
    pub fn judge(&self, value: Option<i64>) -> ReadVerdict {
        match value {
            Some(value) if value > self.sent || self.refused.contains(&value) => ReadVerdict::False,
            Some(value) if value >= self.acknowledged => ReadVerdict::Valid,
            _ => ReadVerdict::Stale,
        }
    }
}
