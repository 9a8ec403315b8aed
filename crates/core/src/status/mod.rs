//! State of a group's members. The same control requests to a member serve as heartbeats, for read indexes and to
//! confirm commits.

mod confirm;
mod control_request;
mod index;
mod member;
mod pace;
mod position_waits;
mod watch;

pub use confirm::{Confirmations, Decided};
pub use control_request::{ControlRequest, ControlRequests};
pub use index::Indexes;
pub use member::{Freshness, Member};
pub use pace::{Pace, Role};
pub use position_waits::PositionWaits;
pub use watch::{Outcome, Watch};
