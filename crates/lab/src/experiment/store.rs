//! The platform's claim table.

use std::time::Instant;

use fulmarlift_core::{event, id};

/// The row of one group in the claim table.
#[derive(Clone, Debug, Default)]
pub struct Store {
    row: Option<Row>,
    /// Whether calls are answered.
    pub down: bool,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    term: id::Term,
    claimant: usize,
    until: Instant,
}

impl Store {
    /// Claims a term; one row holds the newest claim.
    pub fn claim(
        &mut self,
        now: Instant,
        claimant: usize,
        term: id::Term,
        until: Instant,
    ) -> event::ClaimResult {
        if self.down {
            return event::ClaimResult::Unavailable;
        }
        if let Some(row) = self.row
            && row.claimant != claimant
            && (row.until > now || row.term >= term)
        {
            let (term, until) = (row.term, row.until);
            return event::ClaimResult::Held { term, until };
        }
        self.row = Some(Row {
            term,
            claimant,
            until,
        });
        event::ClaimResult::Won
    }
}
