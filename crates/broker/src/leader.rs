//! Detection of a group's leader, and of the conditions under which the leader is replaced.

use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::sorted;
use serde::{Deserialize, Serialize};

use crate::member_state;

/// Time since the first failure to answer after which a leader whose process is gone counts as unreachable: long enough for
/// two attempts to connect.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(250);
/// Time since the first failure to answer after which any other leader counts as unreachable. It is longer than the pauses
/// of a VM that are tolerated (`thaw-slack-ms`) together with a slow link, and shorter than callers can wait.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time for which a leader may leave commits unanswered while it answers other statements.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of unanswered commits that count as a stall. A single commit may only have lost its answer.
const STALLED_COMMITS: u32 = 2;
/// Time after which a group counts as having no leader while no directory entry says that its member leads.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns whether a member may run: it has not failed to answer for as long as it takes until a leader counts as unreachable.
pub fn may_run(state: &member_state::MemberState, now: Instant) -> bool {
    let timeout = match state.process_gone {
        true => REFUSED_TIMEOUT,
        false => SILENCE_TIMEOUT,
    };
    let failing_for = state
        .failing_since
        .map(|since| now.saturating_duration_since(since));
    state.failures < 2 || failing_for.is_none_or(|failing_for| failing_for < timeout)
}

/// Reason for the replacement of a leader.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReplaceReason {
    /// The leader has announced that it will stop.
    Leaving,
    /// The directory no longer lists the leader, or lists no member as leader.
    Gone,
    /// The leader does not answer.
    Unreachable,
    /// The leader answers other statements but no commits.
    Stalled,
}

/// The start of a leader's term.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TermStart {
    /// Term of the leader.
    pub term: id::Term,
    /// End of its log when its promotion was ordered.
    pub log_end: floor::Point,
}

/// What the answers to commits tell about the log of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KnownPoints {
    /// Point up to which all commits are known to be acknowledged. A log that ends before it lacks some of them.
    pub acknowledged: Option<floor::Point>,
    /// Highest end of a leader's log in the answer to a commit. A log that reaches it lacks none of the commits that were answered.
    pub answered_end: Option<floor::Point>,
    /// Start of the newest term for which it is known.
    pub term_start: Option<TermStart>,
}

impl KnownPoints {
    /// Adds what another proxy knows.
    pub fn merge(&mut self, other: Self) {
        self.acknowledged = self.acknowledged.max(other.acknowledged);
        self.answered_end = self.answered_end.max(other.answered_end);
        if other.term_start.map(|start| start.term) > self.term_start.map(|start| start.term) {
            self.term_start = other.term_start;
        }
    }

    /// Records the end of the log of the leader of a term. One of an earlier term is the start of that term.
    pub fn record_leader_end(&mut self, term: id::Term, log_end: floor::Point) {
        let term_start = (log_end.term < term).then_some(TermStart { term, log_end });
        self.merge(Self {
            term_start,
            ..Self::default()
        });
    }

    /// Returns the point that a log must have reached to lack no acknowledged commit.
    pub fn required(&self) -> Option<floor::Point> {
        self.without_rolled_back(self.acknowledged)
    }

    /// Returns the point from which on a log lacks none of the commits that were answered.
    pub fn sufficient(&self) -> Option<floor::Point> {
        self.without_rolled_back(self.answered_end)
    }

    /// Lowers a point of an earlier term to the start of the newest one: no log can have what a promotion has rolled back.
    fn without_rolled_back(&self, point: Option<floor::Point>) -> Option<floor::Point> {
        match self.term_start {
            Some(start) if point.is_some_and(|point| point.term < start.term) => {
                point.min(Some(start.log_end))
            }
            _ => point,
        }
    }
}

/// Belief about the leader of a group, from directory entries and answers.
#[derive(Clone, Debug, Default)]
pub struct LeaderBelief {
    /// Member that is believed to lead; `None` if no leader is known.
    pub member: Option<id::MemberId>,
    /// Newest term that an answer has shown.
    pub term: id::Term,
    /// Instant at which an answer first showed that term.
    pub term_known_at: Option<Instant>,
    /// Instant at which the last statement or question was sent to which the leader has answered as only a leader does.
    pub confirmed_at: Option<Instant>,
    /// Instant since which no leader is known.
    pub no_leader_since: Option<Instant>,
    /// Instant at which the first unanswered commit since the last answered one was sent.
    pub stalled_since: Option<Instant>,
    /// Number of unanswered commits since the last answered one.
    pub stalled_commits: u32,
    /// Instant at which a commit was last answered.
    pub committed_at: Option<Instant>,
    /// What the answers to commits have told this proxy, and other proxies that it has asked.
    pub points: KnownPoints,
    /// End of the log in the answer to a commit, and the instant of that answer.
    log_end: Option<(Instant, floor::Point)>,
}

impl LeaderBelief {
    /// Records an answer of `member` that only the leader of `term` gives, to a statement or a question that was sent at `sent_at`,
    /// unless that term is older than the newest known term.
    ///
    /// `fenced` tells whether only the leader of the newest term answers so. Otherwise a replaced leader may, so an answer in the
    /// newest known term does not count against the believed leader, unless that one is known to lead an older term
    /// (`is_outdated`). Returns whether the member is believed to lead.
    pub fn record_confirmation(
        &mut self,
        now: Instant,
        sent_at: Instant,
        member: id::MemberId,
        term: id::Term,
        fenced: bool,
        is_outdated: bool,
    ) -> bool {
        let other_leads = self.member.is_some_and(|leader| leader != member);
        let is_overtaken = match fenced {
            true => self.confirmed_at > Some(sent_at),
            false => !is_outdated,
        };
        if term < self.term || term == self.term && other_leads && is_overtaken {
            return false;
        }
        self.confirmed_at = match other_leads {
            true => Some(sent_at),
            false => self.confirmed_at.max(Some(sent_at)),
        };
        if self.member != Some(member) {
            self.reset_stall();
        }
        self.record_term(now, term);
        self.member = Some(member);
        self.no_leader_since = None;
        true
    }

    /// Returns whether the believed leader is known to lead a term that is older than the newest known one.
    pub fn is_outdated(
        &self,
        members: &sorted::Map<id::MemberId, member_state::MemberState>,
    ) -> bool {
        let leader = self.member.and_then(|member| members.get(member));
        leader.is_some_and(|leader| leader.led_term > 0 && leader.led_term < self.term)
    }

    /// Records that a term has a leader.
    pub fn record_term(&mut self, now: Instant, term: id::Term) {
        if term > self.term {
            self.term = term;
            self.term_known_at = Some(now);
        }
    }

    /// Returns a term that was known to have a leader at an instant; 0 if the newest one was not known yet.
    pub fn term_known_by(&self, instant: Instant) -> id::Term {
        match self.term_known_at <= Some(instant) {
            true => self.term,
            false => 0,
        }
    }

    /// Records the answer to a commit that was sent at `sent_at`, and the end of the leader's log in that answer.
    ///
    /// The end of the log may lie past the last acknowledged entry. A commit that is sent after the end was seen gets a
    /// higher position, and replicas receive entries in order. So once that commit is answered, all entries up to the
    /// one after the earlier end are acknowledged.
    pub fn record_commit(&mut self, now: Instant, sent_at: Instant, end: Option<floor::Point>) {
        self.committed_at = Some(now);
        self.reset_stall();
        let earlier_end = self.log_end.filter(|(seen_at, _)| *seen_at <= sent_at);
        let acknowledged = earlier_end.map(|(_, earlier)| match end {
            Some(end) if end.term == earlier.term => end.min(floor::Point::new(
                earlier.term,
                earlier.position.saturating_add(1),
            )),
            _ => earlier,
        });
        self.points.merge(KnownPoints {
            acknowledged,
            answered_end: end,
            term_start: None,
        });
        if self.log_end.is_none() || earlier_end.is_some() {
            self.log_end = end.map(|point| (now, point));
        }
    }

    /// Records that a commit sent at `sent_at` got no answer. If a commit has been answered after `sent_at`, the leader does
    /// not stall and only this answer was lost.
    pub fn record_lost_commit(&mut self, sent_at: Instant) {
        if self.committed_at < Some(sent_at) {
            self.stalled_since.get_or_insert(sent_at);
            self.stalled_commits += 1;
        }
    }

    fn reset_stall(&mut self) {
        self.stalled_since = None;
        self.stalled_commits = 0;
    }

    /// Determines the leader again from the directory entries and the answers. No member changes its role by this; only the
    /// belief changes.
    ///
    /// The newest entry that says that its member leads counts, unless the member denies it. That member is believed to lead
    /// if the entry began to say so after the last confirmation of the current leader, or if the current leader denies that
    /// it leads, is not listed, or does not answer. If the current leader denies that it leads, or has been dropped, and there
    /// is no such entry, no leader is known.
    pub fn elect(
        &mut self,
        members: &sorted::Map<id::MemberId, member_state::MemberState>,
        now: Instant,
    ) {
        let newest = members
            .values()
            .filter(|state| !state.denies_leadership && state.unlisted_since.is_none())
            .filter(|state| state.listed_as_leader_since > self.known_to_be_replaced_at(state))
            .max_by_key(|state| (state.listed_as_leader_since, state.entry.revision));
        let current = self.member.and_then(|member| members.get(member));
        let keep = current.is_some_and(|state| {
            let unavailable = state.unlisted_since.is_some() || state.failures >= 2;
            let superseded = newest.is_some_and(|newest| {
                newest.entry.id != state.entry.id
                    && (unavailable || newest.listed_as_leader_since > self.confirmed_at)
            });
            !state.denies_leadership && !superseded
        });
        if !keep {
            let member = newest.map(|state| state.entry.id);
            if member != self.member {
                self.reset_stall();
                self.confirmed_at = None;
            }
            self.member = member;
        }
        match self.member {
            Some(_) => self.no_leader_since = None,
            None => {
                self.no_leader_since.get_or_insert(now);
            }
        }
    }

    /// Returns the instant at which a member was known to lead a term that is older than the newest one now; `None` if it was not.
    /// An entry that has said since before then that the member leads tells no more.
    fn known_to_be_replaced_at(&self, state: &member_state::MemberState) -> Option<Instant> {
        let is_older = state.led_term < self.term;
        state.led_term_known_at.filter(|_| is_older)
    }

    /// Returns the reason to replace the leader, if there is one. `grace_period_over` tells whether the directory has had the
    /// time to list the leader again, or, if no leader is known, to list one.
    pub fn reason_to_replace(
        &self,
        members: &sorted::Map<id::MemberId, member_state::MemberState>,
        now: Instant,
        grace_period_over: bool,
    ) -> Option<ReplaceReason> {
        let has_lasted = |since: Option<Instant>, timeout: Duration| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= timeout)
        };
        let Some(leader) = self.member.and_then(|member| members.get(member)) else {
            return (grace_period_over && has_lasted(self.no_leader_since, NO_LEADER_TIMEOUT))
                .then_some(ReplaceReason::Gone);
        };
        if !may_run(leader, now) {
            Some(ReplaceReason::Unreachable)
        } else if grace_period_over && leader.unlisted_since.is_some() {
            Some(ReplaceReason::Gone)
        } else if leader.entry.leaving {
            Some(ReplaceReason::Leaving)
        } else if self.stalled_commits >= STALLED_COMMITS
            && has_lasted(self.stalled_since, STALL_TIMEOUT)
        {
            Some(ReplaceReason::Stalled)
        } else {
            None
        }
    }
}
