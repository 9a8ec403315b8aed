//! Connections from this proxy to one member.

mod conn;
mod lending;
mod member;
mod queue;

pub use conn::{Conn, State};
pub use lending::Lending;
pub use member::{Lease, Pool};
pub use queue::{Queue, Ticket};
