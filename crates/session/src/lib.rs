//! Sessions before groups whose members acknowledge commits themselves.
//!
//! The crate runs the effects of a [`fulmarlift_broker::Broker`] on one thread. What callers and members speak, and how
//! the store and the platform's orders are reached, is behind the small traits of [`deployment`]; nothing here knows a
//! wire format.
//!
//! - [`protocol`]: callers' and members' messages, and the traits of their codecs.
//! - [`session`]: a caller's session: values, prepared statements, transactions, single statements.
//! - [`link`]: a connection to a member.
//! - [`peer`]: statements that are forwarded between proxies.
//! - [`shell`]: the broker with its waiting requests and idle connections, and the tasks behind its effects.
//! - [`updates`]: configuration, members and proxies, learned from the store or from a proxy that reads it.
//! - [`serve`]: listening, and the graceful stop.

pub mod clock;
pub mod deployment;
pub mod link;
pub mod logging;
pub mod peer;
pub mod protocol;
pub mod serve;
pub mod session;
pub mod shell;
pub mod updates;
pub mod values;
