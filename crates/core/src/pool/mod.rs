//! Connections from this proxy to one member.

mod conn;
mod member;

pub use conn::{Conn, State};
pub use member::{Lease, Pool};
