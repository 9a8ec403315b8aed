//! Protocol by which one proxy forwards statements to another.
//!
//! The homes of a group are the proxies that keep connections to its members. Any other proxy treats a home as it treats
//! a member: it opens connections, sends statements with their ids and texts unchanged, and relays the answers. The
//! home serves such a connection as it serves a caller's.

mod codec;
mod frame;

pub use codec::{Forwarding, Serving};
