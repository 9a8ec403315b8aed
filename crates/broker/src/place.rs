//! Estimated cost of serving a request at a member, by which members are chosen.
//!
//! Slots are scarce and statements are short. So a read goes to the nearest replica unless queueing there costs more than
//! the round trip to another one, and reads leave the leader's slots to writes while a replica can serve them.

use std::time::Instant;

use fulmarlift_core::floor;
use fulmarlift_core::topology;

use crate::member_state;

/// Cost of a member in another failure domain of the region, in ms: a round trip within a region.
const OTHER_DOMAIN_COST_MS: f64 = 2.0;
/// Cost of a member in another region, in ms: a round trip of 16 ms, and the same again because traffic between regions is
/// limited and costs money.
const OTHER_REGION_COST_MS: f64 = 32.0;
/// Added to the cost of the leader for a read that a replica can serve, in ms: about the time of one statement.
const LEADER_COST_MS: f64 = 10.0;
/// Added to the cost of a member that the request avoids, in ms: more than any distance or queue that is worth waiting for.
const AVOIDED_COST_MS: f64 = 400.0;
/// Added to the cost of a suspect member (one that has failed to answer and not answered since), in ms: more than all other
/// costs together, so that a request goes to a suspect member only if no other can serve the request. Meanwhile the broker
/// tries to reconnect to the suspect member independently of requests.
const SUSPECT_COST_MS: f64 = 2_000.0;
/// Added to the cost of a member whose answers are malformed, in ms: more than that of a member which only the request avoids.
const MALFORMED_COST_MS: f64 = 600.0;
/// Added to the cost of such a member for each ms until it is used again, so that of several the one is tried that has failed least.
const MALFORMED_COST_PER_MS: f64 = 0.05;
/// Cost of a statement that fails, in ms: the caller's delay before it tries again, and another attempt.
const ERROR_COST_MS: f64 = 400.0;
/// Added to the cost of a replica that has not yet been seen at the required point, in ms: a second attempt is likely.
const UNSEEN_COST_MS: f64 = 4.0;

/// Inputs of the cost estimate besides the member.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Current instant.
    pub now: Instant,
    /// Region and failure domain of this proxy.
    pub origin: &'a topology::Place,
    /// Point that the member's log must have reached.
    pub floor: Option<floor::Point>,
    /// Whether the member leads its group.
    pub leads: bool,
    /// Whether the request avoids the member, see [`crate::request::Request::avoid`].
    pub avoided: bool,
}

/// Returns the cost of a round trip between two places, in ms.
pub fn distance_ms(from: &topology::Place, to: &topology::Place) -> f64 {
    if from.region != to.region {
        OTHER_REGION_COST_MS
    } else if from.domain != to.domain {
        OTHER_DOMAIN_COST_MS
    } else {
        0.0
    }
}

/// Returns the expected time to a successful answer of a member, in ms.
pub fn answer_ms(member: &member_state::MemberState, now: Instant) -> f64 {
    member.latency_ms + error_cost_ms(member, now)
}

fn error_cost_ms(member: &member_state::MemberState, now: Instant) -> f64 {
    member.expected_error_rate(now) * ERROR_COST_MS
}

/// Estimates the cost of serving a request at a member, in ms. A member whose limit is to be tried again (see
/// [`crate::pace::Pace::is_trial_due`]) costs no answer time, which may be outdated. The request goes to the member with the lowest cost.
pub fn cost_ms(member: &member_state::MemberState, input: &PlacementInput<'_>) -> f64 {
    let slots = f64::from(member.entry.slots.max(1));
    let running_per_slot = f64::from(member.running) / slots;
    let mut cost = distance_ms(input.origin, &member.entry.place);
    let on_trial = member
        .pace
        .as_ref()
        .is_some_and(|pace| pace.is_trial_due(input.now));
    if !on_trial {
        cost += member.latency_ms * (1.0 + running_per_slot);
    }
    if input.leads {
        cost += LEADER_COST_MS;
    }
    cost += error_cost_ms(member, input.now);
    if member.is_suspect() {
        cost += SUSPECT_COST_MS;
    }
    if let Some(until) = member.avoided_until {
        let remaining = until.saturating_duration_since(input.now);
        cost += MALFORMED_COST_MS + MALFORMED_COST_PER_MS * remaining.as_secs_f64() * 1_000.0;
    }
    if input.avoided {
        cost += AVOIDED_COST_MS;
    }
    if !input.leads && input.floor > member.reached {
        cost += UNSEEN_COST_MS;
    }
    cost
}
