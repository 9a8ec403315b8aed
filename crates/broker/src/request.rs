//! A statement, or the first statement of a transaction, that needs a member.

use std::time::Instant;

use fulmarlift_core::floor;
use fulmarlift_core::id;

/// What a request demands of the member that serves it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// The leader: a write, or a transaction that may write.
    Lead,
    /// The leader, shown to lead after the request arrived.
    Latest,
    /// Any member that has all that was acknowledged before `since`, and the session's own commits.
    Recent {
        /// Everything acknowledged before this has to be visible.
        since: Instant,
        /// The session's newest commit.
        own: Option<floor::Point>,
    },
}

/// A request that waits for a connection.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number at this proxy.
    pub id: id::RequestId,
    /// Group that is asked.
    pub group: id::GroupId,
    /// What it demands.
    pub need: Need,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// When the answer should be there.
    pub objective_at: Instant,
    /// When it is no longer wanted.
    pub deadline: Instant,
    /// A member or home that has failed this request before.
    pub avoid: Option<id::MemberId>,
    /// Whether it is a second attempt beside one under way, which must not go to the same member, nor wait for another.
    pub hedge: bool,
    /// Whether another proxy has forwarded it here, so that it must not be forwarded again.
    pub forwarded: bool,
}
