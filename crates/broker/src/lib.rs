//! Decisions of a proxy for groups whose members acknowledge commits themselves.
//!
//! [`Broker::step`] takes one event and returns effects as data. It does no I/O and reads no clock: the caller passes the
//! current instant, from a clock that also counts the time during which the VM is suspended, so that observations age
//! while the process is not running.
//!
//! - [`topology`]: the configuration, the members and the other proxies.
//! - [`index`]: the log point that a read must have reached.
//! - [`place`]: the member that serves a request.
//! - [`queue`]: the order of waiting requests, and their refusal under overload.
//! - [`member_state`]: the state of a member and of the connections to it.
//! - [`leader`]: the leader of a group, and the conditions under which it is replaced.
//! - [`homes`]: the proxies that keep connections to a group; other proxies forward requests to them.
//! - [`readers`]: the proxy that reads the store for its failure domain.
//! - [`failover`]: the steps that replace a leader.

pub mod claim;
pub mod effect;
pub mod event;
pub mod failover;
pub mod homes;
pub mod index;
pub mod leader;
pub mod member_state;
pub mod place;
pub mod queue;
pub mod readers;
pub mod request;
pub mod state;
pub mod topology;

pub use state::Broker;
