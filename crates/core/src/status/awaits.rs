//! Reads that wait for a member's log to reach their floor.

use std::time::{Duration, Instant};

use crate::id;
use crate::sorted;

/// Positions that reads wait for, each at one member. A held question tells when it is reached.
#[derive(Clone, Debug, Default)]
pub struct Awaits {
    waiting: sorted::Map<id::RequestId, Await>,
}

#[derive(Clone, Copy, Debug)]
struct Await {
    member: id::MemberId,
    position: id::Position,
    since: Instant,
}

impl Awaits {
    /// Lets a read wait for a position of a member instead of what it waited for.
    pub fn set(
        &mut self,
        now: Instant,
        request: id::RequestId,
        member: id::MemberId,
        position: id::Position,
    ) {
        let known = self.waiting.get(request).filter(|w| w.member == member);
        let since = known.map_or(now, |waiting| waiting.since);
        let waiting = Await {
            member,
            position,
            since,
        };
        self.waiting.insert(request, waiting);
    }

    /// Returns the member that a read waits for and for how long it has done so.
    pub fn waited(&self, now: Instant, request: id::RequestId) -> Option<(id::MemberId, Duration)> {
        let waiting = self.waiting.get(request)?;
        let waited = now.saturating_duration_since(waiting.since);
        Some((waiting.member, waited))
    }

    /// Removes a read that no longer waits.
    pub fn remove(&mut self, request: id::RequestId) {
        self.waiting.remove(request);
    }

    /// Returns the lowest position past `known` that a read waits for at the member.
    ///
    /// One that the member is known to have reached is not asked for again: the read waits for a term.
    pub fn wanted(&self, member: id::MemberId, known: id::Position) -> Option<id::Position> {
        let waiting = self.waiting.values().filter(|w| w.member == member);
        let positions = waiting.map(|waiting| waiting.position);
        positions.filter(|position| *position > known).min()
    }
}
