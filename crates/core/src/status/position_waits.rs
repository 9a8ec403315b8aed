//! Reads that wait until a member's log reaches their floor.

use std::time::{Duration, Instant};

use crate::id;
use crate::sorted;

/// Positions that reads wait for, each at one member. The member answers a delayed control request when its log
/// reaches the position.
#[derive(Clone, Debug, Default)]
pub struct PositionWaits {
    waiting: sorted::Map<id::RequestId, PositionWait>,
}

#[derive(Clone, Copy, Debug)]
struct PositionWait {
    member: id::MemberId,
    position: id::Position,
    since: Instant,
}

impl PositionWaits {
    /// Makes a read wait for a position of a member, in place of any earlier wait. A wait for the same member keeps
    /// its start.
    pub fn set(
        &mut self,
        now: Instant,
        request: id::RequestId,
        member: id::MemberId,
        position: id::Position,
    ) {
        let known = self.waiting.get(request).filter(|w| w.member == member);
        let since = known.map_or(now, |waiting| waiting.since);
        let waiting = PositionWait {
            member,
            position,
            since,
        };
        self.waiting.insert(request, waiting);
    }

    /// Returns the member that a read waits for, and how long it has waited for it.
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
    /// The member has reached every position up to `known`. A read that still waits for one of them waits for an
    /// entry of a later term there, and a delayed request for the position would be answered at once.
    pub fn lowest_after(&self, member: id::MemberId, known: id::Position) -> Option<id::Position> {
        let waiting = self.waiting.values().filter(|w| w.member == member);
        let positions = waiting.map(|waiting| waiting.position);
        positions.filter(|position| *position > known).min()
    }
}
