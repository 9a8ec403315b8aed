//! Connections from this proxy to one member, and the requests that wait for one.

mod conn;
mod lending;
mod member;
mod queue;

pub use conn::{Conn, State};
pub use lending::Lending;
pub use member::{Lease, Pool};
pub use queue::{Queue, Ticket};
