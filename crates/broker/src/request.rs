//! A request for a member: a single statement, or the first statement of a transaction.

use std::time::Instant;

use fulmarlift_core::floor;
use fulmarlift_core::id;

/// Requirement of a request on the member that serves it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Requirement {
    /// The leader, for a write.
    Leader,
    /// The leader, for a transaction that may read and write.
    LeaderForReads {
        /// Instant before which all acknowledged commits must be visible.
        acknowledged_before: Instant,
    },
    /// The leader, after it has confirmed since the request's arrival that it leads, for a read of the newest data.
    VerifiedLeader {
        /// Instant before which all acknowledged commits must be visible: the request's arrival.
        acknowledged_before: Instant,
    },
    /// Any member whose log contains every commit acknowledged before an instant, and the session's own commits.
    Recent {
        /// Instant before which all acknowledged commits must be visible.
        acknowledged_before: Instant,
        /// Point of the session's newest commit, if it must be visible, too.
        session_commit: Option<floor::Point>,
    },
}

/// A request that waits for a connection.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier that is unique within this proxy.
    pub id: id::RequestId,
    /// Group that the request addresses.
    pub group: id::GroupId,
    /// Requirement on the member that serves the request.
    pub requirement: Requirement,
    /// Priority class; 0 is the highest.
    pub priority: u8,
    /// Instant by which the request should be answered.
    pub objective_at: Instant,
    /// Instant after which the caller does not wait for an answer any more.
    pub deadline: Instant,
    /// Member or home to avoid, because an earlier attempt failed there or, for a hedge, the first attempt runs there.
    pub avoid: Option<id::MemberId>,
    /// Whether the request is a hedge: a second attempt while the first one runs. A hedge goes to another member at once or
    /// is refused.
    pub hedge: bool,
    /// Whether another proxy forwarded the request, so that this proxy must not forward it again.
    pub forwarded: bool,
    /// Workspace on whose behalf the request is made; `None` if the configuration knows no workspaces, or for an anonymous caller. A
    /// connection to a member serves one workspace only.
    pub workspace: Option<id::WorkspaceId>,
}
