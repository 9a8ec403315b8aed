//! Which member serves a request.
//!
//! Answers the everyday load: slots are scarce and statements short, so a read goes to the near replica unless its
//! queue there costs more than the way to another one. The leader's slots are left to writes while a replica will do.

use std::time::Instant;

use fulmarlift_core::floor;
use fulmarlift_core::topology;

use crate::seat;

/// Cost of leaving the failure domain, in ms: a round trip within a region.
const OTHER_DOMAIN_MS: f64 = 2.0;
/// Cost of leaving the region, in ms: a round trip of 16 ms, and as much again for the narrow, paid link.
const OTHER_REGION_MS: f64 = 32.0;
/// Cost of using a leader's slot for what a replica can serve, in ms: a mean statement.
const LEADER_MS: f64 = 10.0;
/// Cost of a member that has failed the request before, in ms: more than any distance or queue that is worth waiting.
const AVOIDED_MS: f64 = 400.0;
/// Cost of a member that has failed and not answered since, in ms: more than all else together, so that requests wait for
/// it only where nobody else will do. It is tried anew beside them.
const SUSPECT_MS: f64 = 2_000.0;
/// Cost of a statement that fails, in ms: another attempt, and a caller's pause before it.
const ERROR_MS: f64 = 400.0;
/// Cost of a replica not yet seen at the point that is asked for, in ms: a likely second attempt.
const UNSEEN_MS: f64 = 4.0;

/// What a placement decides on beside the member itself.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Current time.
    pub now: Instant,
    /// Where this proxy runs.
    pub home: &'a topology::Place,
    /// Point that the member's log has to have reached.
    pub floor: Option<floor::Point>,
    /// Whether the member leads its group.
    pub leads: bool,
    /// Whether it has failed this request before.
    pub avoided: bool,
}

/// Returns the cost of the way from one place to another, in ms.
pub fn distance_ms(from: &topology::Place, to: &topology::Place) -> f64 {
    if from.region != to.region {
        OTHER_REGION_MS
    } else if from.domain != to.domain {
        OTHER_DOMAIN_MS
    } else {
        0.0
    }
}

/// Estimates what serving a request at a member costs, in ms. The lowest cost wins.
pub fn cost_ms(seat: &seat::Seat, question: &Question<'_>) -> f64 {
    let slots = f64::from(seat.member.slots.max(1));
    let queued = f64::from(seat.running) / slots;
    let mut cost = distance_ms(question.home, &seat.member.place);
    cost += seat.latency_ms * (1.0 + queued);
    if question.leads {
        cost += LEADER_MS;
    }
    cost += seat.error_share(question.now) * ERROR_MS;
    if seat.is_suspect() {
        cost += SUSPECT_MS;
    }
    if question.avoided {
        cost += AVOIDED_MS;
    }
    if !question.leads && question.floor > seat.applied {
        cost += UNSEEN_MS;
    }
    cost
}
