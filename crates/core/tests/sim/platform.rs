//! The fake of the platform's claim row.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, id};

use crate::sim::network::Node;
use crate::sim::run::Item;
use crate::sim::world::World;

/// Time after which a claim without an answer is repeated.
const CLAIM_RETRY: Duration = Duration::from_millis(100);

/// A claim on its way.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    pub proxy: usize,
    pub claimant: id::ProxyId,
    pub control_request: id::ControlRequestId,
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

impl World {
    /// Sends a claim to the platform.
    pub fn send_claim(&mut self, claim: Claim) {
        if let Some(time) = self.travel(Node::Proxy(claim.proxy), Node::Platform) {
            let delay = self.platform.delay;
            self.push(time + delay, Item::Claim(claim));
        }
    }

    /// The platform takes in a claim. One without an answer is repeated until its deadline.
    pub fn claim(&mut self, claim: Claim) {
        let now = self.instant();
        let result = self.platform.claim(now, &claim);
        let proxy = claim.proxy;
        let incarnation = self.proxies[proxy].incarnation;
        let time = self.travel(Node::Platform, Node::Proxy(proxy));
        match (result, time) {
            (Some(result), Some(time)) => {
                let (control_request, group) = (claim.control_request, claim.group);
                let answer = event::ClaimAnswer {
                    control_request,
                    group,
                    result,
                };
                let event = event::Event::ClaimAnswered(answer);
                self.push(
                    time,
                    Item::Event {
                        proxy,
                        incarnation,
                        event,
                    },
                );
            }
            _ if now + CLAIM_RETRY < claim.deadline => {
                self.push(CLAIM_RETRY, Item::Claim(claim));
            }
            _ => {}
        }
    }
}
