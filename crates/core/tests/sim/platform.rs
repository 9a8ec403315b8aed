//! A fake of the platform's claim row.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, id};

use crate::sim::network::Node;
use crate::sim::run::Scheduled;
use crate::sim::world::World;

/// Delay before a proxy repeats a claim that got no answer.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A claim on its way to the platform.
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

/// The platform, with its faults and its claim row.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    pub down: bool,
    pub delay: Duration,
    /// Number of claims that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Term, claimant and expiry of the newest claim.
    row: Option<(id::Term, id::ProxyId, Instant)>,
}

impl Platform {
    /// Runs a claim's transaction; returns `None` if the platform sends no answer.
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
        if let Some(time) = self.message_delay(Node::Proxy(claim.proxy), Node::Platform) {
            let delay = self.platform.delay;
            self.schedule(time + delay, Scheduled::Claim(claim));
        }
    }

    /// Runs a claim at the platform and sends the answer. Without an answer the claim is repeated until its
    /// deadline.
    pub fn claim(&mut self, claim: Claim) {
        let now = self.instant();
        let result = self.platform.claim(now, &claim);
        let proxy = claim.proxy;
        let incarnation = self.proxies[proxy].incarnation;
        let time = self.message_delay(Node::Platform, Node::Proxy(proxy));
        match (result, time) {
            (Some(result), Some(time)) => {
                let (control_request, group) = (claim.control_request, claim.group);
                let answer = event::ClaimAnswer {
                    control_request,
                    group,
                    result,
                };
                let event = event::Event::ClaimAnswered(answer);
                self.schedule(
                    time,
                    Scheduled::Event {
                        proxy,
                        incarnation,
                        event,
                    },
                );
            }
            _ if now + CLAIM_RETRY_DELAY < claim.deadline => {
                self.schedule(CLAIM_RETRY_DELAY, Scheduled::Claim(claim));
            }
            _ => {}
        }
    }
}
