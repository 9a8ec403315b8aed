//! Connections from this proxy to one member.

mod conn;
mod lending;
mod member;

pub use conn::{Conn, State};
pub use lending::Lending;
pub use member::{Lease, Pool};
