//! The members that take part in an attempt, and what is known of their logs.

use std::time::Instant;

use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::leader;

/// The facts about a member that an attempt needs.
#[derive(Clone, Debug)]
pub struct Participant {
    /// Identifier of the member.
    pub member: id::MemberId,
    /// Name of the member.
    pub name: Box<str>,
    /// Whether the directory lists the member. One that it does not list is held, but cannot become the leader.
    pub listed: bool,
    /// Whether the member leaves. Its log counts until it ends, and is gone then. So it is chosen only where no member that stays has
    /// received as much, and hands over afterwards.
    pub leaving: bool,
    /// Whether the member may run: its process has not shown to be gone, and it has not been silent for long.
    pub may_run: bool,
    /// Instant of its last answer to this proxy.
    pub answered_at: Option<Instant>,
}

impl Participant {
    /// Returns whether the member may lead for longer than until its successor is found.
    pub(super) fn stays(&self) -> bool {
        self.listed && !self.leaving
    }
}

/// The members of a group, as far as a proxy knows them.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Members that the directory lists, and those that it no longer lists but that do not count as gone.
    pub members: Vec<Participant>,
    /// Whether all members that run have had the time to be listed since the directory was reached again.
    pub is_complete: bool,
    /// What the answers to commits have told this proxy and those that it has asked.
    pub points: leader::KnownPoints,
    /// Whether a member is missing that may come back with its log.
    pub awaits_missing: bool,
    /// Whether the last commits are not known, since no proxy that has run for long has told.
    pub is_uninformed: bool,
    /// Whether all homes of the group have told what they know since the end of the leases.
    pub homes_told: bool,
    /// Names of the VMs whose proxies have told what they know since the attempt began.
    pub told_by: Vec<Box<str>>,
}

impl Roster {
    /// Returns the name of a member.
    pub(super) fn name(&self, member: id::MemberId) -> Option<Box<str>> {
        let found = self.members.iter().find(|known| known.member == member);
        found.map(|known| known.name.clone())
    }

    /// Returns whether each member that runs or may come back with its log is known.
    pub(super) fn knows_all_members(&self) -> bool {
        self.is_complete && !self.awaits_missing
    }

    /// Returns whether a log that ends at `end` is known to contain each commit that was answered: all homes have told how far the log
    /// of the leader was, and it was no further.
    pub(super) fn is_proven_whole(&self, end: floor::Point) -> bool {
        let sufficient = self.points.sufficient();
        self.homes_told && sufficient.is_some_and(|sufficient| end >= sufficient)
    }
}
