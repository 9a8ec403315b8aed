//! The store: one row with conditional writes, which may come back from an older copy.

use fulmarlift_broker::quota::lease;
use fulmarlift_broker::revision;

/// A state of the store.
#[derive(Clone, Debug, Default)]
struct State {
    /// Version of the newest change of any row.
    newest: u64,
    row: Option<(lease::Row, u64)>,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    era: revision::Era,
    state: State,
    /// Each state with the time from which it was the newest, in ms.
    copies: Vec<(u64, State)>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            era: 1,
            state: State::default(),
            copies: vec![(0, State::default())],
        }
    }

    fn revision(&self, version: u64) -> revision::Revision {
        revision::Revision {
            era: self.era,
            version,
        }
    }

    pub fn read(&self) -> lease::Input {
        let row = self.state.row.as_ref().map(|(row, _)| row.clone());
        let version = self.state.row.as_ref().map_or(0, |(_, version)| *version);
        lease::Input::RowRead {
            row,
            revision: self.revision(version),
        }
    }

    /// Writes the row if its version is the expected one; the store does not compare the era.
    pub fn write(&mut self, now_ms: u64, row: lease::Row, expected: u64) -> lease::Input {
        let version = self.state.row.as_ref().map_or(0, |(_, version)| *version);
        if version != expected {
            return lease::Input::Conflict;
        }
        self.state.newest += 1;
        self.state.row = Some((row, self.state.newest));
        self.copies.push((now_ms, self.state.clone()));
        lease::Input::RowWritten {
            revision: self.revision(self.state.newest),
        }
    }

    /// Comes back as it was some time ago, and counts its versions on from there.
    pub fn restore(&mut self, now_ms: u64, age_ms: u64) {
        let at_ms = now_ms.saturating_sub(age_ms);
        let copy = self.copies.iter().rfind(|(since_ms, _)| *since_ms <= at_ms);
        self.state = copy.map_or_else(State::default, |(_, state)| state.clone());
        self.copies.push((now_ms, self.state.clone()));
        self.era += 1;
    }
}
