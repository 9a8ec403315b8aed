//! Protocol by which one proxy forwards statements to another.
//!
//! The homes of a group are the proxies that keep connections to its members. Any other proxy treats a home as it treats
//! a member: it opens connections, sends statements with their ids and texts unchanged, and relays the answers. Instead of
//! the text that runs a prepared statement, it sends the statement's definition and arguments. The home serves such a
//! connection as it serves a caller's, except that it takes the options of a statement from the message and not from a
//! route of its configuration.
//!
//! Messages do not describe themselves, so a connection begins with a [`greeting`], by which both ends know that they speak the
//! same version, and that the proxy that answers is the one that was meant.

mod codec;
mod frame;
pub mod greeting;

pub use codec::{Forwarding, Serving};
