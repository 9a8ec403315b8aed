//! Protocol by which one proxy forwards statements to another.
//!
//! The homes of a group are the proxies that keep connections to its members. Any other proxy treats a home as it treats
//! a member: it opens connections, sends statements with their ids and texts unchanged, and relays the answers. Instead of
//! the text that runs a prepared statement, it sends the statement's definition and arguments. The home serves such a
//! connection as it serves a caller's, except that it takes the options of a statement from the message and not from a
//! route of its configuration.

mod codec;
mod frame;

pub use codec::{Forwarding, Serving};
