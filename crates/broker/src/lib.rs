//! Decisions of a proxy before groups whose members acknowledge commits themselves.
//!
//! [`Broker::step`] takes every event and returns effects as data; it does no I/O and reads no clock. The instants
//! that it is given come from a clock that also counts the time during which the VM is suspended, so that beliefs age
//! while the process stands still.
//!
//! - [`topology`]: the configuration and the members in force.
//! - [`index`]: which log point a read has to have reached.
//! - [`place`]: which member serves a request.
//! - [`queue`]: the order of waiting requests, and when one is refused.
//! - [`seat`]: what is known of a member and its connections.
//! - [`lead`]: who leads a group, and whether the leader is to be replaced.
//! - [`homes`]: which proxies keep connections to a group; the others forward to them.
//! - [`readers`]: which proxy reads the store for its failure domain.
//! - [`failover`]: the replacement of a leader, step by step.

pub mod claim;
pub mod effect;
pub mod event;
pub mod failover;
pub mod homes;
pub mod index;
pub mod lead;
pub mod place;
pub mod queue;
pub mod readers;
pub mod request;
pub mod seat;
pub mod state;
pub mod topology;

pub use state::Broker;
