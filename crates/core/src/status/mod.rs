//! State of a group's members. The proxy learns it by status requests, which ask a member for its status: its term,
//! role and log position. The same requests serve as heartbeats to members, for read indexes and to confirm commits.
//! A *report* is a status that a member sends in answer to a status request, a fence or a promotion.
//!
//! Heartbeats between proxies are in [`crate::peer`].

mod confirm;
mod control_request;
mod heartbeat;
mod index;
mod member;
mod position_waits;
mod watch;

pub use confirm::{Confirmations, DecidedCommits};
pub use control_request::{ControlRequest, ControlRequests};
pub use heartbeat::{HeartbeatIntervals, Role};
pub use index::ReadIndexWaits;
pub use member::{Freshness, Member};
pub use position_waits::PositionWaits;
pub use watch::{Results, Watch};
