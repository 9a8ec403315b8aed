//! The lease of a group's leader: the proof that no other member has been promoted.
//!
//! Where promotions are not fenced (see [`crate::state::Settings::fenced`]), a replaced leader goes on leading until it is
//! demoted or reaches its successor. Its own answers then no longer prove that it leads, and reads at it may be stale.
//!
//! Two rules together prove it. A failover orders a promotion only once every member but the old leader has been held for
//! [`LEASE_DURATION`]. And a member that answers, at some instant, that it follows a term, has not led it and is not held has
//! not been held for a promotion to a newer term before that instant. So its answer grants the leader of that term a lease,
//! which ends [`LEASE_DURATION`] after the question was sent. An acknowledged commit grants the same lease where a replica
//! must receive commits first, because a held replica receives none.
//!
//! Assumptions about the old leader: it may lead on for any time, and answer reads and begin transactions. Assumptions about
//! the other members: a hold lasts until a release, a promotion or the member's restart; a promotion ends it only once the
//! member follows the new term; a member that the directory has dropped has stopped.

use std::time::{Duration, Instant};

use fulmarlift_core::id;

/// Time from the question to the end of the lease, and from the last confirmed hold to the promotion order. It bounds from
/// below how often replicas are asked, and it is added to the time without a leader.
pub const LEASE_DURATION: Duration = Duration::from_millis(500);

/// Lease of the leader of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderLease {
    term: id::Term,
    expires_at: Option<Instant>,
}

impl LeaderLease {
    /// Extends the lease of the leader of `term`, by an answer to a question that was sent at `asked_at`. A newer term ends
    /// the lease of an older one.
    pub fn grant(&mut self, term: id::Term, asked_at: Instant) {
        if term < self.term {
            return;
        }
        let expires_at = Some(asked_at + LEASE_DURATION);
        self.expires_at = match term > self.term {
            true => expires_at,
            false => self.expires_at.max(expires_at),
        };
        self.term = term;
    }

    /// Returns whether no member has been promoted to a term newer than `term` before the instant.
    pub fn covers(&self, term: id::Term, instant: Instant) -> bool {
        self.term == term
            && term > 0
            && self
                .expires_at
                .is_some_and(|expires_at| instant < expires_at)
    }

    /// Returns the newest term in which a lease was granted; 0 before the first one.
    pub fn term(&self) -> id::Term {
        self.term
    }

    /// Returns the end of the lease.
    pub fn expires_at(&self) -> Option<Instant> {
        self.expires_at
    }
}
