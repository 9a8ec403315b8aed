//! The switches of the platform's stand-in.

use std::sync;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether the platform answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// It does.
    #[default]
    Up,
    /// It answers 503.
    Down,
}

/// A change of the switches; what is missing stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Change {
    /// Whether the platform answers.
    pub mode: Option<Mode>,
    /// The delay of each call, in ms.
    pub delay_ms: Option<u64>,
    /// How many transactions take effect and answer 503.
    pub lose_answers: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    delay: Duration,
    lose_answers: u64,
}

/// The switches as they stand.
#[derive(Debug, Default)]
pub struct Switches {
    state: sync::Mutex<State>,
}

impl Switches {
    /// Changes the switches.
    pub fn set(&self, change: Change) {
        let mut state = self.state();
        state.mode = change.mode.unwrap_or(state.mode);
        state.lose_answers = change.lose_answers.unwrap_or(state.lose_answers);
        if let Some(delay_ms) = change.delay_ms {
            state.delay = Duration::from_millis(delay_ms);
        }
    }

    /// Whether the platform answers.
    pub fn mode(&self) -> Mode {
        self.state().mode
    }

    /// The delay of each call.
    pub fn delay(&self) -> Duration {
        self.state().delay
    }

    /// Whether the answer of a transaction is to be lost; counts it.
    pub fn lose_answer(&self) -> bool {
        let mut state = self.state();
        let loses = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        loses
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
