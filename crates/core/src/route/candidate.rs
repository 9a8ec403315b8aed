//! The input and the output of a routing policy.

use std::time::{Duration, Instant};

use crate::effect;
use crate::id;
use crate::request;

/// A member of the group, with what a routing policy may weigh.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Identifier of the member.
    pub member: id::MemberId,
    /// Whether the member is the primary of the highest known term and a majority of members answers this proxy, so
    /// that commits can be confirmed.
    pub primary: bool,
    /// Whether the member answers the proxy's status requests.
    pub reachable: bool,
    /// Whether the member's VM is leaving.
    pub leaving: bool,
    /// Whether the member's log is known to have reached the session's floor and to be as recent as the read demands;
    /// always true for a write.
    pub fresh: bool,
    /// Estimated time until the member's log has reached the floor; `None` if that is unknown.
    pub estimated_catch_up: Option<Duration>,
    /// Estimated time until the request gets a connection to the member.
    pub estimated_wait: Duration,
    /// Estimated time from the dispatch to the member's answer.
    pub estimated_answer_time: Duration,
    /// Distance from the proxy: 0 in its failure domain, 1 in its region, 2 in another region.
    pub distance: u8,
    /// Round-trip time between the proxy and the member.
    pub round_trip: Duration,
    /// Number of the proxy's idle connections to the member.
    pub idle: u32,
    /// Number of requests that wait for a connection to the member.
    pub waiting: u32,
    /// Whether the member must not get this request again; see [`request::Active::avoid`].
    pub avoided: bool,
}

impl Candidate {
    /// Estimates the time to the answer, including the time until the member's log has reached the floor;
    /// `None` if that is unknown.
    pub fn estimated_time(&self) -> Option<Duration> {
        let time = self.estimated_wait + self.estimated_answer_time;
        match self.fresh {
            true => Some(time),
            // The member reports that it has reached the floor, which takes a round trip.
            false => Some(time + self.estimated_catch_up? + self.round_trip),
        }
    }

    /// Returns whether the request may be sent to the member.
    pub fn usable(&self) -> bool {
        self.reachable && !self.avoided
    }
}

/// The input of a routing decision: a request and the members that may serve it.
#[derive(Clone, Debug)]
pub struct RoutingInput<'a> {
    /// Time of the decision.
    pub now: Instant,
    /// Kind of the request.
    pub kind: request::Kind,
    /// When the answer must have reached the caller.
    pub deadline: Instant,
    /// Members of the request's group.
    pub candidates: &'a [Candidate],
}

impl RoutingInput<'_> {
    /// Returns whether an answer after this estimated time meets the deadline.
    ///
    /// Estimates are means, so a quarter is added: a request that ends past its deadline wastes capacity.
    pub fn meets_deadline(&self, time: Duration) -> bool {
        self.now + time + time / 4 <= self.deadline
    }

    /// Returns the primary if the request may be sent to it.
    pub fn primary(&self) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|candidate| candidate.primary && candidate.usable())
    }
}

/// The decision of a routing policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// This member serves the request.
    Member(id::MemberId),
    /// The request waits, without a connection, until this member's log has reached the floor.
    AwaitCatchUp(id::MemberId),
    /// The request waits, since no member can serve it yet; the proxy decides again when the group's state changes.
    Park,
    /// No member can serve the request before its deadline.
    Refuse(effect::Reason),
}

/// A routing policy: chooses the member that serves a request.
pub trait Policy {
    /// Returns the name of the policy for logs and reports.
    fn name(&self) -> &'static str;
    /// Chooses a member for the request, or lets it wait, or refuses it.
    fn choose(&self, input: &RoutingInput<'_>) -> Choice;
}
