//! Switches of the platform stand-in.

use std::sync;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether the platform answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// The platform answers normally.
    #[default]
    Up,
    /// The platform answers each call with status 503.
    Down,
}

/// New values of the switches; an absent one keeps its value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Change {
    /// Whether the platform answers calls.
    pub mode: Option<Mode>,
    /// Delay of each call, in ms.
    pub delay_ms: Option<u64>,
    /// Number of transactions, from now on, that take effect but are answered with status 503.
    pub lose_answers: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    delay: Duration,
    lose_answers: u64,
}

/// Current values of the switches.
#[derive(Debug, Default)]
pub struct Switches {
    state: sync::Mutex<State>,
}

impl Switches {
    /// Sets the switches that the change contains.
    pub fn set(&self, change: Change) {
        let mut state = self.state();
        state.mode = change.mode.unwrap_or(state.mode);
        state.lose_answers = change.lose_answers.unwrap_or(state.lose_answers);
        if let Some(delay_ms) = change.delay_ms {
            state.delay = Duration::from_millis(delay_ms);
        }
    }

    /// Returns whether the platform answers calls.
    pub fn mode(&self) -> Mode {
        self.state().mode
    }

    /// Returns the delay of each call.
    pub fn delay(&self) -> Duration {
        self.state().delay
    }

    /// Returns whether the platform must drop the answer to a transaction, and counts it as dropped.
    pub fn consume_lost_answer(&self) -> bool {
        let mut state = self.state();
        let is_lost = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        is_lost
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
