//! Callers' sessions, connections to members and background tasks of a proxy whose members acknowledge commits themselves.
//!
//! The crate runs the effects of a [`fulmarlift_broker::Broker`] on one thread. The traits of [`protocol`] and
//! [`deployment`] stand for the wire formats of callers and members, the store and the promotion orders; the crate
//! itself knows only the format of the messages between proxies.
//!
//! Terms of all modules:
//!
//! - A group is a replicated database: one member leads, the others are replicas. Only the leader runs writes.
//! - A point is a term and a position in a member's log. The floor of a statement is the point that the log of the member
//!   that runs it must have reached.
//! - A slot is a member's capacity to run one statement.
//! - A hedge is a second attempt of a slow read, at another member, while the first attempt runs.
//! - The homes of a group are the proxies that keep connections to its members. Other proxies forward statements to them.
//! - A peer is another proxy. As a client, it is one that forwards statements to this proxy.
//! - The reader of a failure domain is the proxy that reads the store; its listeners are proxies that get updates from it.
//!
//! - [`protocol`]: callers' and members' messages, and the traits of their codecs.
//! - [`deployment`]: the traits of the store, the claim rows and the promotion orders.
//! - [`session`]: a caller's session: session values, prepared statements, transactions, single statements.
//! - [`values`]: session values and prepared statements, as the caller set them and as a connection has them.
//! - [`link`]: a connection to a member.
//! - [`outgoing`]: checks that what a member reads is the command that was to be sent.
//! - [`peer`]: the messages by which one proxy forwards statements to another.
//! - [`shell`]: runs the broker and its effects; keeps the waiting requests and idle connections.
//! - [`transfer`]: progress of a call to the store.
//! - [`updates`]: reads configuration, members and proxies from the store or from another proxy.
//! - [`limits`]: bounds over all clients of the process.
//! - [`serve`]: accepts connections, and drains them on a graceful stop.
//! - [`stop`]: ends the process if its graceful stop takes too long.
//! - [`clock`] and [`logging`]: the clock and the log of the process.

mod answer;
pub mod clock;
pub mod deployment;
pub mod limits;
pub mod link;
pub mod logging;
mod newcomers;
pub mod outgoing;
pub mod peer;
pub mod protocol;
mod quota;
pub mod serve;
pub mod session;
pub mod shell;
mod steps;
pub mod stop;
pub mod transfer;
pub mod updates;
pub mod values;
