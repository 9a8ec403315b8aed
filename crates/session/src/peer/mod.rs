//! Statements that one proxy forwards to another.
//!
//! A proxy that is no home of a group treats a home as it treats a member: it opens connections, sends statements with
//! their ids and texts unchanged, and passes the answers on. The home serves such a connection as it serves a caller's.

mod codec;
mod frame;

pub use codec::{Forwarding, Serving};
