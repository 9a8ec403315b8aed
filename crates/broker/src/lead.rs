//! Who leads a group, and whether that member is to be replaced.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::seat;

/// Time without an answer after which a leader whose process refuses connections counts as dead: two attempts.
const REFUSED_FOR: Duration = Duration::from_millis(250);
/// Time without an answer after which a silent leader counts as dead: above the pauses that are tolerated
/// (`thaw-slack-ms` and a slow link), below what callers can wait.
const SILENT_FOR: Duration = Duration::from_millis(1_300);
/// Time for which a leader may leave commits unanswered while it answers everything else.
const STALLED_FOR: Duration = Duration::from_millis(1_200);
/// Commits without an answer that make a stall: one may have lost its answer alone.
const STALLED_COMMITS: u32 = 2;
/// Time without any entry that says it leads after which a group counts as having no leader.
const NOBODY_FOR: Duration = Duration::from_millis(1_500);

/// Why a leader is to be replaced.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// It has announced that it will stop.
    Leaving,
    /// The directory no longer lists it, or nobody says that they lead.
    Gone,
    /// It does not answer.
    Unreachable,
    /// It answers, but commits do not end.
    Stalled,
}

/// Belief about a group's leader.
#[derive(Clone, Debug, Default)]
pub struct Lead {
    /// The member believed to lead.
    pub member: Option<id::MemberId>,
    /// Newest term shown by an answer.
    pub term: id::Term,
    /// When it was last seen to lead.
    pub witnessed_at: Option<Instant>,
    /// Since when nobody is believed to lead.
    pub vacant_since: Option<Instant>,
    /// When the first commit was sent that has had no answer, with none that has ended after.
    pub stalled_since: Option<Instant>,
    /// How many such commits there are.
    pub stalled_commits: u32,
    /// When a commit last ended.
    pub committed_at: Option<Instant>,
    /// A point up to which everything is known to be acknowledged.
    pub acknowledged: Option<floor::Point>,
    /// The end of the log when a commit ended, and when that was.
    head: Option<(Instant, floor::Point)>,
}

impl Lead {
    /// Takes an answer that only a leader gives.
    pub fn witnessed(&mut self, now: Instant, member: id::MemberId, point: Option<floor::Point>) {
        let term = point.map_or(self.term, |point| point.term);
        if term >= self.term {
            if self.member != Some(member) {
                self.stall_over();
            }
            self.term = term;
            self.member = Some(member);
            self.witnessed_at = Some(now);
            self.vacant_since = None;
        }
    }

    /// Notes that a commit ended that was sent at `asked_at`, and where the log ended then.
    ///
    /// The log's end may lie past what is acknowledged. But a commit that was sent after it was seen has a higher number, and
    /// replicas receive in order: when that commit ends, all up to the earlier end is acknowledged.
    pub fn committed(&mut self, now: Instant, asked_at: Instant, end: Option<floor::Point>) {
        self.committed_at = Some(now);
        self.stall_over();
        let before = self.head.filter(|(seen_at, _)| *seen_at <= asked_at);
        if let Some((_, point)) = before {
            self.acknowledged = self.acknowledged.max(Some(point));
        }
        if self.head.is_none() || before.is_some() {
            self.head = end.map(|point| (now, point));
        }
    }

    /// Notes that a commit that was sent at `sent_at` has had no answer. One that others have overtaken lost its answer only.
    pub fn commit_lost(&mut self, sent_at: Instant) {
        if self.committed_at < Some(sent_at) {
            self.stalled_since.get_or_insert(sent_at);
            self.stalled_commits += 1;
        }
    }

    fn stall_over(&mut self) {
        self.stalled_since = None;
        self.stalled_commits = 0;
    }

    /// Decides anew who leads, from the entries and from what answers have shown.
    ///
    /// A member that began to say that it leads after the present leader was last seen to lead replaces it; so does any
    /// such member where the present one is known not to lead, is not listed, or does not answer.
    pub fn elect(&mut self, seats: &sorted::Map<id::MemberId, seat::Seat>, now: Instant) {
        let newest = seats
            .values()
            .filter(|seat| !seat.denies_lead && seat.missing_since.is_none())
            .filter(|seat| seat.says_leads_since.is_some())
            .max_by_key(|seat| (seat.says_leads_since, seat.member.revision));
        let current = self.member.and_then(|member| seats.get(member));
        let keep = current.is_some_and(|seat| {
            let doubtful = seat.missing_since.is_some() || seat.failures >= 2;
            let outdone = newest.is_some_and(|newest| {
                newest.member.id != seat.member.id
                    && (doubtful || newest.says_leads_since > self.witnessed_at)
            });
            !seat.denies_lead && !outdone
        });
        if !keep {
            let member = newest.map(|seat| seat.member.id);
            if member != self.member {
                self.stall_over();
                self.witnessed_at = None;
            }
            self.member = member;
        }
        match self.member {
            Some(_) => self.vacant_since = None,
            None => {
                self.vacant_since.get_or_insert(now);
            }
        }
    }

    /// Returns why the leader is to be replaced. `listed` tells whether the directory's silence about a member means
    /// that it is gone.
    pub fn verdict(
        &self,
        seats: &sorted::Map<id::MemberId, seat::Seat>,
        now: Instant,
        listed: bool,
    ) -> Option<Reason> {
        let since = |then: Option<Instant>, least: Duration| {
            then.is_some_and(|then| now.saturating_duration_since(then) >= least)
        };
        let Some(leader) = self.member.and_then(|member| seats.get(member)) else {
            return (listed && since(self.vacant_since, NOBODY_FOR)).then_some(Reason::Gone);
        };
        let patience = if leader.refused {
            REFUSED_FOR
        } else {
            SILENT_FOR
        };
        if leader.failures >= 2 && since(leader.failing_since, patience) {
            Some(Reason::Unreachable)
        } else if listed && leader.missing_since.is_some() {
            Some(Reason::Gone)
        } else if leader.member.leaving {
            Some(Reason::Leaving)
        } else if self.stalled_commits >= STALLED_COMMITS && since(self.stalled_since, STALLED_FOR)
        {
            Some(Reason::Stalled)
        } else {
            None
        }
    }
}
