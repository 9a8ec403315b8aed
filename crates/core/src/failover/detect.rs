//! Whether a group needs another primary.

/// What this proxy and its peers see of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Whether a primary of the highest term known answers this proxy.
    pub primary_answers: bool,
    /// Whether the primary answers, but too few members hear from it for a commit to be confirmed.
    pub primary_starved: bool,
    /// Whether the primary's VM is leaving.
    pub primary_leaving: bool,
    /// Members that answer this proxy.
    pub members_answering: usize,
    /// Members that have not answered yet but may still do so in time.
    pub members_pending: usize,
    /// Members that make a majority.
    pub majority: usize,
    /// Live peers that report the primary silent.
    pub peers_silent: usize,
    /// Live peers that report the primary answering.
    pub peers_answering: usize,
    /// Whether this proxy has heard of peers and none of them is alive.
    pub lone: bool,
}

/// What the evidence says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The primary serves.
    Healthy,
    /// The primary is silent, but this proxy is in no position to replace it.
    Undecided,
    /// The primary is to be replaced.
    Replace,
    /// The primary serves, and is to be moved to another member.
    Move,
}

impl Evidence {
    /// Weighs the evidence. A proxy that cannot reach a majority of members, or whose view most live
    /// peers contradict, starts nothing.
    pub fn verdict(self) -> Verdict {
        if self.members_answering < self.majority {
            return Verdict::Undecided;
        }
        if self.primary_answers && self.primary_starved {
            return Verdict::Replace;
        }
        if self.primary_answers && self.primary_leaving {
            return Verdict::Move;
        }
        if self.primary_answers {
            return Verdict::Healthy;
        }
        // The primary may be among the members that have not been heard yet.
        if self.members_pending > 0 {
            return Verdict::Undecided;
        }
        // This proxy's own view counts with those of its peers.
        if self.peers_silent + 1 > self.peers_answering {
            Verdict::Replace
        } else {
            Verdict::Undecided
        }
    }
}
