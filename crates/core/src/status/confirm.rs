//! Commits that wait until a majority of members has them.

use crate::event;
use crate::floor;
use crate::id;
use crate::sorted;

/// Commits that are acknowledged once a majority of members reports a log that holds them.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Confirmations {
    waiting: sorted::Map<id::RequestId, WaitingCommit>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct WaitingCommit {
    point: floor::Point,
    /// Members that confirmed the commit.
    confirmed_by: Vec<id::MemberId>,
    /// Members that can no longer confirm the commit; see [`ReportMeaning::CannotConfirm`].
    cannot_confirm: Vec<id::MemberId>,
}

/// Commits that a report decided.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DecidedCommits {
    /// Commits that a majority of members holds.
    pub confirmed: Vec<(id::RequestId, floor::Point)>,
    /// Commits that a majority can no longer confirm; their outcome stays unknown.
    pub unconfirmed: Vec<id::RequestId>,
}

/// Meaning of a member's report for a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReportMeaning {
    /// The member's log holds the commit, and the report counts towards the majority.
    Confirms,
    /// The member may still get the commit from the primary that made it.
    Undecided,
    /// The member is at a later term, at which its log does not count: the log lacks the commit, or the term is more
    /// than one later than the commit's.
    CannotConfirm,
    /// A later primary has another entry at the commit's position.
    Replaced,
}

impl Confirmations {
    /// Adds a commit; the primary that reported it confirms it.
    pub fn add(&mut self, request: id::RequestId, point: floor::Point, primary: id::MemberId) {
        let waiting = WaitingCommit {
            point,
            confirmed_by: vec![primary],
            cannot_confirm: Vec::new(),
        };
        self.waiting.insert(request, waiting);
    }

    /// Removes a commit that no longer waits.
    pub fn remove(&mut self, request: id::RequestId) {
        self.waiting.remove(request);
    }

    /// Returns whether no commit waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the lowest position of a commit that the member has not confirmed and still may.
    pub fn lowest_undecided(&self, member: id::MemberId) -> Option<id::Position> {
        let undecided = |waiting: &&WaitingCommit| {
            !waiting.confirmed_by.contains(&member) && !waiting.cannot_confirm.contains(&member)
        };
        let positions = self.waiting.values().filter(undecided);
        positions.map(|waiting| waiting.point.position).min()
    }

    /// Records a report of one of `members` members and returns the commits that it decides.
    pub fn record_report(
        &mut self,
        member: id::MemberId,
        status: event::Status,
        members: usize,
    ) -> DecidedCommits {
        let mut decided = DecidedCommits::default();
        self.waiting.retain(|request, waiting| {
            match report_meaning(status, waiting.point) {
                ReportMeaning::Confirms => add_once(&mut waiting.confirmed_by, member),
                ReportMeaning::CannotConfirm => add_once(&mut waiting.cannot_confirm, member),
                ReportMeaning::Undecided => {}
                ReportMeaning::Replaced => {
                    decided.unconfirmed.push(request);
                    return false;
                }
            }
            if waiting.confirmed_by.len() > members / 2 {
                decided.confirmed.push((request, waiting.point));
                return false;
            }
            if waiting.cannot_be_confirmed(members) {
                decided.unconfirmed.push(request);
                return false;
            }
            true
        });
        decided
    }
}

impl WaitingCommit {
    /// Returns whether the members that have confirmed the commit and those that still may are less than a majority.
    fn cannot_be_confirmed(&self, members: usize) -> bool {
        let confirmed_by = &self.confirmed_by;
        let cannot_confirm = self
            .cannot_confirm
            .iter()
            .filter(|id| !confirmed_by.contains(id));
        members.saturating_sub(cannot_confirm.count()) <= members / 2
    }
}

fn add_once(members: &mut Vec<id::MemberId>, member: id::MemberId) {
    if !members.contains(&member) {
        members.push(member);
    }
}

/// Returns the meaning of a report for the commit at `point`.
///
/// A log that ends in the commit's term, at or past the commit's position, holds the commit. The report counts
/// while the member is at that term or the next one. At the next term the log is either unchanged since the member
/// was fenced, or it was copied from the next term's primary, which then holds the commit too; in both cases every
/// log that a later promotion can choose holds the commit. At later terms this does not follow: a primary of a term
/// in between may have started from a log without the commit, and its log may win a later promotion.
fn report_meaning(status: event::Status, point: floor::Point) -> ReportMeaning {
    let log_holds_commit = status.last.term == point.term && status.last.position >= point.position;
    if log_holds_commit && (status.term == point.term || status.term == point.term + 1) {
        return ReportMeaning::Confirms;
    }
    if status.term <= point.term {
        return ReportMeaning::Undecided;
    }
    if status.primary && status.term_start <= point.position {
        return ReportMeaning::Replaced;
    }
    ReportMeaning::CannotConfirm
}
