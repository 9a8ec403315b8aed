//! The lease of a group's leader: the proof that no other member has been promoted.
//!
//! Where promotions are not fenced (see [`crate::state::Settings::fenced`]), a replaced leader goes on leading until it is
//! demoted or reaches its successor. Its own answers then no longer prove that it leads, and reads at it may be stale.
//!
//! A failover claims and, unless the old leader hands over (see [`crate::failover`]), holds every member but that leader and orders a
//! promotion only [`LEASE_DURATION`] after the last hold. A leader that hands over is stopped before the order, so a lease that goes
//! on does no harm: that leader answers nothing any more as a leader does. A promotion ends the holds before the members have heard of the new leader, so a member that answers that it follows the old
//! term and is not held may just as well have been held and released by a promotion. Commits that the old leader acknowledges
//! prove no more: a member may have received them that was released, or that joined or restarted after the holds. Three
//! kinds of evidence remain:
//!
//! - The claim row, if it shows that the leader was the last member that was ordered and that no attempt to replace it has begun,
//!   see [`crate::claim::ClaimRow::standing`]. It starts a lease which ends [`LEASE_DURATION`] after the row was asked for.
//! - A member that shows the term that follows the one of the last lease. It starts a lease of that term, until
//!   [`NEXT_TERM_TIMEOUT`] after the end of the last lease: no second promotion is ordered before that.
//! - While the claim row cannot be read or does not tell, the consent of all other members, see [`Consents`]: the target of a
//!   promotion is held until it leads. A member that joins unnoticed is ordered [`LEASE_DURATION`] after the last answer of the
//!   directory at the earliest, so the lease ends by then.
//!
//! Assumptions about the old leader: it may lead on for any time, and answer reads and begin transactions. Assumption about
//! the other members, for the last kind only: a hold lasts until a release, a promotion or the member's restart.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::failover;

/// Time from the question to the end of the lease, and from the last confirmed hold to the promotion order. It bounds from
/// below how often the claim row is read, and it is added to the time without a leader.
pub const LEASE_DURATION: Duration = Duration::from_millis(500);
/// Time after the end of a lease in which the next term starts another one. A leader that hands over may be followed by the next
/// one before the leases of the proxies have ended.
const NEXT_TERM_TIMEOUT: Duration = failover::ORDER_LEASE.saturating_sub(LEASE_DURATION);
/// Time from the first answer to the last question by which a member consents, see [`Consents`]. A member that a promotion has released
/// hears of the new leader meanwhile, unless it is cut off from it.
const CONSENT_SPAN: Duration = Duration::from_millis(200);

/// Lease of the leader of one group.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderLease {
    term: id::Term,
    expires_at: Option<Instant>,
}

impl LeaderLease {
    /// Starts the lease of the leader of `term`, by evidence from `asked_at` or later that no promotion is being prepared. A newer
    /// term ends the lease of an older one.
    pub fn start(&mut self, term: id::Term, asked_at: Instant) {
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

    /// Starts the lease of the term that follows the one of the last lease, by an answer that arrives now and shows that
    /// term. Does nothing if another promotion may have followed. Returns whether the lease was started.
    pub fn follow(&mut self, now: Instant, term: id::Term, asked_at: Instant) -> bool {
        let current = self
            .expires_at
            .is_some_and(|expires_at| now < expires_at + NEXT_TERM_TIMEOUT);
        let follows = current && self.term.checked_add(1) == Some(term);
        if follows {
            self.start(term, asked_at);
        }
        follows
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.covers(self.term, now)
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

/// Answers of one member that it is not held and leads no term as new as that of the lease.
#[derive(Clone, Copy, Debug)]
struct Consent {
    term: id::Term,
    /// Instant at which the first of these answers arrived.
    first_answered_at: Instant,
    /// Instant at which the question for the last of these answers was sent.
    last_asked_at: Instant,
}

/// Consents of members to the lease of the leader of a term. A member consents if it has answered repeatedly, for
/// [`CONSENT_SPAN`], that it knows no newer term, does not lead this one and is not held, and has not answered otherwise
/// meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Consents {
    members: sorted::Map<id::MemberId, Consent>,
}

impl Consents {
    /// Records that a member answered as the consent to the lease of the leader of `term` requires.
    pub fn record(
        &mut self,
        now: Instant,
        member: id::MemberId,
        term: id::Term,
        asked_at: Instant,
    ) {
        let first = Consent {
            term,
            first_answered_at: now,
            last_asked_at: asked_at,
        };
        let consent = self.members.get(member).copied();
        let consent = consent
            .filter(|consent| {
                consent.term == term && asked_at < consent.last_asked_at + LEASE_DURATION
            })
            .map_or(first, |consent| Consent {
                last_asked_at: asked_at.max(consent.last_asked_at),
                ..consent
            });
        self.members.insert(member, consent);
    }

    /// Records that a member answered otherwise.
    pub fn withdraw(&mut self, member: id::MemberId) {
        self.members.remove(member);
    }

    /// Returns the instant at which the earliest of the last questions to these members was sent, if all of them consent to the
    /// lease of the leader of `term`; `None` without members.
    pub fn given_at(
        &self,
        term: id::Term,
        members: impl Iterator<Item = id::MemberId>,
    ) -> Option<Instant> {
        let mut earliest = None;
        for member in members {
            let consent = self.members.get(member)?;
            let span = consent
                .last_asked_at
                .saturating_duration_since(consent.first_answered_at);
            if consent.term != term || span < CONSENT_SPAN {
                return None;
            }
            let asked_at = consent.last_asked_at;
            earliest = Some(earliest.map_or(asked_at, |earliest: Instant| earliest.min(asked_at)));
        }
        earliest
    }
}
