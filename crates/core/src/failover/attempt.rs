//! The grants gathered in one attempt to fence a group.

use crate::event;
use crate::id;
use crate::sorted;

/// Grants of one term.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fencing {
    granted: sorted::Map<id::MemberId, event::Status>,
}

impl Fencing {
    /// Notes that a member granted the term and what its log ends with.
    pub fn grant(&mut self, member: id::MemberId, status: event::Status) {
        self.granted.insert(member, status);
    }

    /// Returns the number of members that granted the term.
    pub fn len(&self) -> usize {
        self.granted.len()
    }

    /// Returns whether no member has granted the term.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty()
    }

    /// Returns the member whose log is the most advanced, by term of its last entry, then by position.
    /// Among equals the first for which `prefer` ranks lowest wins.
    pub fn most_advanced<R: Ord>(
        &self,
        mut prefer: impl FnMut(id::MemberId) -> R,
    ) -> Option<id::MemberId> {
        let newest = self.granted.values().map(|status| status.last).max()?;
        let equals = self
            .granted
            .iter()
            .filter(|(_, status)| status.last == newest);
        equals
            .map(|(member, _)| member)
            .min_by_key(|member| prefer(*member))
    }
}
