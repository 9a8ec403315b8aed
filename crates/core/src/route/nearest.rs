//! The default policy: reads go to the member with the lowest cost, writes to the primary.

use std::time::Duration;

use crate::effect;
use crate::route::{Candidate, Choice, Policy, RoutingInput};

/// Surcharge for the primary: a read rather takes this much longer on a replica.
const PRIMARY_SURCHARGE: Duration = Duration::from_millis(60);
/// Surcharge for a member in another region: a read rather takes this much longer than use the link between regions.
const REGION_SURCHARGE: Duration = Duration::from_millis(15);
/// Surcharge for a member whose VM is leaving: a read rather takes this much longer elsewhere.
const LEAVING_SURCHARGE: Duration = Duration::from_secs(2);
/// Value of [`Candidate::distance`] for a member in another region.
const OTHER_REGION: u8 = 2;

/// Sends reads to the member with the lowest estimated cost and writes to the primary.
///
/// The cost is the estimated time to the answer, including the time until the member's log has reached the
/// floor, plus a surcharge for scarce capacity (the primary, the link between regions) and for a member whose
/// VM is leaving.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest;

impl Policy for Nearest {
    fn name(&self) -> &'static str {
        "nearest"
    }

    fn choose(&self, input: &RoutingInput<'_>) -> Choice {
        match input.kind.is_read() {
            true => choose_for_read(input),
            false => choose_for_write(input),
        }
    }
}

fn choose_for_write(input: &RoutingInput<'_>) -> Choice {
    match input.primary() {
        Some(primary)
            if input.meets_deadline(primary.estimated_wait + primary.estimated_answer_time) =>
        {
            Choice::Member(primary.member)
        }
        Some(_) => Choice::Refuse(effect::Reason::Overloaded),
        None => Choice::Park,
    }
}

fn choose_for_read(input: &RoutingInput<'_>) -> Choice {
    let usable = input.candidates.iter().filter(|c| c.usable());
    let timed = usable.filter_map(|candidate| Some((candidate.estimated_time()?, candidate)));
    let (timely, late): (Vec<_>, Vec<_>) = timed.partition(|(time, _)| input.meets_deadline(*time));
    let costs = timely.into_iter().map(|(time, c)| (time + surcharge(c), c));
    let cheapest = costs.min_by_key(|(cost, candidate)| (*cost, candidate.member));
    match cheapest {
        Some((_, candidate)) if candidate.fresh => Choice::Member(candidate.member),
        Some((_, candidate)) => Choice::AwaitCatchUp(candidate.member),
        None if late.iter().any(|(_, candidate)| candidate.fresh) => {
            Choice::Refuse(effect::Reason::Overloaded)
        }
        None => Choice::Park,
    }
}

fn surcharge(candidate: &Candidate) -> Duration {
    let mut surcharge = Duration::ZERO;
    if candidate.primary {
        surcharge += PRIMARY_SURCHARGE;
    }
    if candidate.distance == OTHER_REGION {
        surcharge += REGION_SURCHARGE;
    }
    if candidate.leaving {
        surcharge += LEAVING_SURCHARGE;
    }
    surcharge
}
