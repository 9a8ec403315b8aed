//! Reads from the nearest fresh replica, writes to the primary.

use std::time::Duration;

use crate::route::{Candidate, Choice, Policy, Question};

/// Estimated time that a request waits behind each one queued before it.
const QUEUE_STEP: Duration = Duration::from_millis(2);

/// Sends reads to the cheapest fresh member and writes to the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest;

impl Policy for Nearest {
    fn name(&self) -> &'static str {
        "nearest"
    }

    fn choose(&self, question: &Question<'_>) -> Choice {
        let cheapest = match question.kind.is_read() {
            true => cheapest_reader(question),
            false => question.primary(),
        };
        cheapest.map_or(Choice::Wait, |candidate| Choice::Member(candidate.member))
    }
}

fn cheapest_reader<'a>(question: &Question<'a>) -> Option<&'a Candidate> {
    let usable = question.candidates.iter().filter(|c| c.usable() && c.fresh);
    usable.min_by_key(|candidate| {
        let cost = candidate.round_trip + QUEUE_STEP * candidate.waiting;
        (
            candidate.leaving,
            candidate.primary,
            candidate.distance,
            cost,
        )
    })
}
