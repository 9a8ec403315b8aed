//! Previews of routing decisions, for operators.

use std::time::{Duration, Instant};

use crate::id;
use crate::request;
use crate::route;
use crate::state::State;

/// Timeout that a previewed request is assumed to have.
const PREVIEW_TIMEOUT: Duration = Duration::from_secs(1);

impl<P: route::Policy> State<P> {
    /// Returns the member that the policy would choose for a request now; `None` if it would choose none.
    ///
    /// A read without `fresh_since` is previewed with the group's newest known point as its floor.
    pub fn preview(
        &self,
        now: Instant,
        id: id::GroupId,
        kind: request::Kind,
    ) -> Option<id::MemberId> {
        let group = self.groups.get(id)?;
        let config = self.topology.groups.get(id)?;
        let deadline = now + PREVIEW_TIMEOUT;
        let active = request::Active {
            request: request::Request {
                id: 0,
                caller: 0,
                service: 0,
                kind,
                floor: None,
                deadline,
            },
            group: id,
            stage: request::Stage::Parked,
            arrived_at: now,
            weight: 1,
            may_have_run: false,
            first_byte_by: None,
            avoid: Vec::new(),
        };
        let floor_point = match kind {
            request::Kind::Read { fresh_since: None } => group.watch.newest_point(),
            _ => Default::default(),
        };
        let candidates = group.candidates(now, config, &self.identity.place, &active, floor_point);
        let input = route::RoutingInput {
            now,
            kind,
            deadline,
            candidates: &candidates,
        };
        match self.policy.choose(&input) {
            route::Choice::Member(member) | route::Choice::AwaitCatchUp(member) => Some(member),
            _ => None,
        }
    }
}
