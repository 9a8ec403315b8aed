//! What is known of a group's members: one stream of status questions per member serves as heartbeat,
//! read index and confirmation of commits.

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
