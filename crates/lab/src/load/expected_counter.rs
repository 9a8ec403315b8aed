//! What a session knows of its own row, and whether a read of it is right.

use crate::load::outcome;

/// What a session knows of its row.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    /// Highest value sent.
    sent: i64,
    /// Highest value acknowledged.
    acknowledged: i64,
    /// Values refused as not run.
    refused: Vec<i64>,
}

/// What a read shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// A value that the session may see.
    Good,
    /// Less than what was acknowledged.
    Stale,
    /// What never ran.
    False,
}

impl Counter {
    /// Returns the next value to write.
    pub fn next_value(&mut self) -> i64 {
        self.sent += 1;
        self.sent
    }

    /// Takes in how the write of a value ended.
    pub fn ended(&mut self, value: i64, outcome: outcome::Outcome) {
        match outcome {
            outcome::Outcome::Done => self.acknowledged = value,
            outcome::Outcome::Refused => self.refused.push(value),
            outcome::Outcome::Unknown | outcome::Outcome::Failed => {}
        }
    }

    /// Judges a value that was read; none if the row was missing.
    pub fn judge(&self, value: Option<i64>) -> Seen {
        match value {
            Some(value) if value > self.sent || self.refused.contains(&value) => Seen::False,
            Some(value) if value >= self.acknowledged => Seen::Good,
            _ => Seen::Stale,
        }
    }
}
