//! Decides whether a group needs another primary.

/// What this proxy and its live peers observe of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Whether the primary of the highest known term answers this proxy.
    pub primary_answers: bool,
    /// Whether the primary answers this proxy, but a majority of members no longer hears from it, so that no commit
    /// can be confirmed.
    pub primary_lost_majority: bool,
    /// Whether the primary's VM is leaving.
    pub primary_leaving: bool,
    /// Number of members that answer this proxy.
    pub members_answering: usize,
    /// Number of members that have not answered yet and whose time to answer has not run out.
    pub members_pending: usize,
    /// Number of members that form a majority.
    pub majority: usize,
    /// Number of live peers that report the primary as silent.
    pub peers_reporting_silence: usize,
    /// Number of live peers that report the primary as answering.
    pub peers_reporting_answers: usize,
    /// Whether this proxy knows of peers and none of them is alive.
    pub all_peers_lost: bool,
}

/// Decision on a group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The primary answers and stays.
    Healthy,
    /// This proxy has too little evidence for an attempt, and starts none.
    Undecided,
    /// The primary is silent or cut off from a majority, and another member is to be promoted.
    Replace,
    /// The primary answers but its VM is leaving, and another member is to take over.
    HandOver,
}

impl Evidence {
    /// Decides on the primary. A proxy that cannot reach a majority of members, or whose view most live peers
    /// contradict, starts no attempt.
    pub fn verdict(self) -> Verdict {
        if self.members_answering < self.majority {
            return Verdict::Undecided;
        }
        if self.primary_answers && self.primary_lost_majority {
            return Verdict::Replace;
        }
        if self.primary_answers && self.primary_leaving {
            return Verdict::HandOver;
        }
        if self.primary_answers {
            return Verdict::Healthy;
        }
        // The primary may be among the members that have not answered yet.
        if self.members_pending > 0 {
            return Verdict::Undecided;
        }
        // This proxy's own view counts as much as that of a peer.
        if self.peers_reporting_silence + 1 > self.peers_reporting_answers {
            Verdict::Replace
        } else {
            Verdict::Undecided
        }
    }
}
