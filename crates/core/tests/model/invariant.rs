//! Invariants of every state.

use crate::model::member::Member;
use crate::model::world::{Read, World};

impl World {
    /// Returns the invariant that this state breaks.
    pub fn find_violation(&self) -> Option<&'static str> {
        let terms = self.primaries.windows(2);
        if terms.into_iter().any(|pair| pair[0].0 == pair[1].0) {
            return Some("a term has two primaries");
        }
        for (write, point) in &self.acknowledged {
            let is_later_primary =
                |member: &&Member| u64::from(member.primary_of_term) > point.term;
            if !self
                .members
                .iter()
                .filter(is_later_primary)
                .all(|member| member.has_write(*write))
            {
                return Some("a later primary lacks an acknowledged write");
            }
        }
        if let Read::Indexed(earlier, index) = &self.read {
            if earlier.iter().any(|(_, point)| point > index) {
                return Some("a read index is below an acknowledged write");
            }
            let fresh = |member: &&Member| member.status().last >= *index;
            let mut fresh = self.members.iter().filter(fresh);
            if !fresh.all(|member| earlier.iter().all(|(write, _)| member.has_write(*write))) {
                return Some("a member at the read index lacks an acknowledged write");
            }
        }
        None
    }
}
