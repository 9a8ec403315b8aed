//! State of a group's members. The same control requests to a member serve as heartbeats, for read indexes and to
//! confirm commits.

mod ask;
mod awaits;
mod confirm;
mod index;
mod member;
mod pace;
mod watch;

pub use ask::{Ask, Asks};
pub use awaits::Awaits;
pub use confirm::{Confirmations, Decided};
pub use index::Indexes;
pub use member::{Freshness, Member};
pub use pace::{Pace, Role};
pub use watch::{Outcome, Watch};
