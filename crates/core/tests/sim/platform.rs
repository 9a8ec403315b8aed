//! The fake of the platform's claim row.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, id};

/// A claim on its way.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    pub proxy: usize,
    pub claimant: id::ProxyId,
    pub ask: id::AskId,
    pub group: id::GroupId,
    pub term: id::Term,
    pub until: Instant,
    pub deadline: Instant,
}

/// The platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    pub down: bool,
    pub delay: Duration,
    /// Transactions that will take effect without an answer.
    pub lose_answers: u32,
    row: Option<(id::Term, id::ProxyId, Instant)>,
}

impl Platform {
    /// Runs the claim's transaction; none if no answer leaves.
    pub fn claim(&mut self, now: Instant, claim: &Claim) -> Option<event::ClaimResult> {
        if self.down {
            return None;
        }
        let others = self
            .row
            .filter(|(_, claimant, _)| *claimant != claim.claimant);
        if let Some((term, _, until)) = others
            && (now < until || term >= claim.term)
        {
            return Some(event::ClaimResult::Held { term, until });
        }
        self.row = Some((claim.term, claim.claimant, claim.until));
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return None;
        }
        Some(event::ClaimResult::Won)
    }
}
