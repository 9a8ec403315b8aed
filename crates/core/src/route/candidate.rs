//! What a routing policy decides on.

use std::time::{Duration, Instant};

use crate::effect;
use crate::id;
use crate::request;

/// A member as a routing policy sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The member.
    pub member: id::MemberId,
    /// Whether it is the primary of the highest term known.
    pub primary: bool,
    /// Whether it answers.
    pub reachable: bool,
    /// Whether its VM is leaving.
    pub leaving: bool,
    /// Whether its log is known to have reached the session's floor and the age that the read allows.
    pub fresh: bool,
    /// Estimated time until it is fresh, if it is not.
    pub catch_up: Option<Duration>,
    /// Estimated time until a connection is free for the request.
    pub wait: Duration,
    /// Estimated time from the dispatch to the answer.
    pub answer: Duration,
    /// Distance: 0 in the proxy's failure domain, 1 in its region, 2 elsewhere.
    pub distance: u8,
    /// Round trip time.
    pub round_trip: Duration,
    /// Connections that are idle.
    pub idle: u32,
    /// Requests that wait for a connection.
    pub waiting: u32,
    /// Whether it failed this request before.
    pub avoided: bool,
}

impl Candidate {
    /// Estimates the time to the answer, catching up with the floor included; none if that is unknown.
    pub fn time(&self) -> Option<Duration> {
        let time = self.wait + self.answer;
        match self.fresh {
            true => Some(time),
            // A question tells when the floor is reached.
            false => Some(time + self.catch_up? + self.round_trip),
        }
    }

    /// Returns whether new work may be sent to the member.
    pub fn usable(&self) -> bool {
        self.reachable && !self.avoided
    }
}

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct Question<'a> {
    /// Current time.
    pub now: Instant,
    /// What the request needs.
    pub kind: request::Kind,
    /// When the caller no longer wants the answer.
    pub deadline: Instant,
    /// The group's members.
    pub candidates: &'a [Candidate],
}

impl Question<'_> {
    /// Returns whether the caller still wants the answer after an estimated time.
    ///
    /// Estimates are means, so a quarter is added: work that ends past its deadline is lost capacity.
    pub fn in_time(&self, time: Duration) -> bool {
        self.now + time + time / 4 <= self.deadline
    }

    /// Returns the primary if it may be sent new work.
    pub fn primary(&self) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|candidate| candidate.primary && candidate.usable())
    }
}

/// A policy's decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// This member serves the request.
    Member(id::MemberId),
    /// This member serves the request once its log has reached the floor; no connection is held.
    Await(id::MemberId),
    /// No member may serve it yet; it is decided again when something is learned.
    Wait,
    /// It cannot be served before its deadline.
    Refuse(effect::Reason),
}

/// A way to choose the member that serves a request.
pub trait Policy {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;
    /// Decides.
    fn choose(&self, question: &Question<'_>) -> Choice;
}
