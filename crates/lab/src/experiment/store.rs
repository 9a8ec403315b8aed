//! The platform's claim table.

use std::time::Instant;

use fulmarlift_core::{event, id};

/// The platform's store, reduced to the group's row in the claim table.
#[derive(Clone, Debug, Default)]
pub struct Store {
    row: Option<Row>,
    /// Whether the store leaves calls without an answer.
    pub down: bool,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    term: id::Term,
    claimant: usize,
    until: Instant,
}

impl Store {
    /// Records a claim of a term until `until`, in place of the previous claim. The claim is refused if the previous
    /// one is another proxy's and either still holds or has at least as high a term.
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
