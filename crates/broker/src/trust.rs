//! Trust in the leader of a group where promotions are fenced: the evidence that no attempt to replace it is under way.
//!
//! A promotion ends the lead of the old leader at once, so an answer of a leader proves that no other member had been promoted. Until
//! the promotion takes effect, though, the old leader may acknowledge commits that the next one lacks: the claimant cannot reach
//! it, and a member that the claimant does not hold, or holds no longer, confirms them. So a proxy trusts a leader once the claim row
//! shows that no attempt is under way, and as long as nothing happens that an attempt could explain, see [`Trust::doubt`]. After that,
//! it reads the row again.
//!
//! A proxy may see nothing of an attempt, so the trust on which successes are passed on also ends by itself, [`TRUST_DURATION`] after the
//! evidence. A claimant that takes over reads the logs on which its choice rests after the end of all trust: every commit whose success
//! a caller was told is in them, whatever has become of the holds.

use std::time::{Duration, Instant};

/// Time from the evidence that no attempt is under way to the end of the trust, and from the last confirmed hold to the second one, whose
/// logs count. It bounds from below how often the claim row is read, and it is added to the time without a leader.
pub const TRUST_DURATION: Duration = Duration::from_secs(1);
/// Longest time between two signs of life of a leader that is trusted. Active groups are probed more often than that.
const CONTACT_GAP_MAX: Duration = Duration::from_secs(1);

/// Trust of one proxy in the leader of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trust {
    /// Instant from which evidence is known that no attempt was under way.
    proven_at: Option<Instant>,
    /// Instant of the last event that an attempt could explain.
    doubted_at: Option<Instant>,
    /// Instant of the last sign of life of the leader.
    contact_at: Option<Instant>,
}

impl Trust {
    /// Records that no attempt was under way at an instant.
    pub fn prove(&mut self, at: Instant) {
        self.proven_at = self.proven_at.max(Some(at));
        self.contact_at = self.contact_at.max(Some(at));
    }

    /// Records an event that an attempt could explain: another leader is believed, a member joins or is back, or a commit has waited for
    /// a confirmation.
    pub fn doubt(&mut self, now: Instant) {
        self.doubted_at = self.doubted_at.max(Some(now));
    }

    /// Records that the leader has answered a question that was sent at `sent_at`. Silence before it is a reason to doubt.
    pub fn record_contact(&mut self, sent_at: Instant) {
        if !self.is_in_contact(sent_at) {
            self.doubt(sent_at);
        }
        self.contact_at = self.contact_at.max(Some(sent_at));
    }

    /// Returns whether evidence is known that no attempt was under way at an instant or later.
    pub fn is_proven_since(&self, instant: Instant) -> bool {
        self.proven_at >= Some(instant)
    }

    /// Returns whether the leader is trusted at an instant.
    pub fn holds(&self, at: Instant) -> bool {
        self.is_undoubted(at) && self.covers(at)
    }

    /// Returns whether an instant is before the end of the trust, if there is no reason to doubt.
    pub fn covers(&self, at: Instant) -> bool {
        self.proven_at
            .is_some_and(|proven_at| at < proven_at + TRUST_DURATION)
    }

    /// Returns whether evidence is known, however old, and nothing has happened since that an attempt could explain.
    pub fn is_undoubted(&self, at: Instant) -> bool {
        self.proven_at.is_some() && self.proven_at >= self.doubted_at && self.is_in_contact(at)
    }

    fn is_in_contact(&self, at: Instant) -> bool {
        self.contact_at
            .is_some_and(|contact_at| at <= contact_at + CONTACT_GAP_MAX)
    }
}
