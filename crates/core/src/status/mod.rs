//! State of a group's members. The same control requests to a member serve as heartbeats, for read indexes and to
//! confirm commits.

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
