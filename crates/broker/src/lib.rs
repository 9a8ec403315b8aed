//! Decisions of a proxy: which member serves a request, which connections are open, and when the leader of a group is
//! replaced. In these groups the leader itself acknowledges commits, once enough replicas have received them.
//!
//! [`Broker::step`] takes one event and returns effects as data. It does no I/O and reads no clock: the shell, which is the
//! code that runs the broker and carries out its effects, passes the current instant. Its clock also counts the time during
//! which the VM is suspended, so that observations age while the process is not running.
//!
//! The broker knows three outside services by name. The store is the database of the configuration, the list of proxies and
//! the claim rows. The directory is the list of members, with a revision for each change. The platform runs the members,
//! and promotes a member to leader on a promotion order.
//!
//! - [`topology`]: the configuration, the members and the other proxies; [`topology_change`]: differences between versions.
//! - [`index`]: the log point that a read must have reached.
//! - [`place`]: the cost of serving a request at a member, by which the member is chosen.
//! - [`queue`]: the order of waiting requests, and their refusal under overload.
//! - [`member_state`]: the state of a member and of the connections to it.
//! - [`pace`]: the adaptive concurrency limit of a member that has started, or does not do well.
//! - [`leader`]: the leader of a group, and the conditions under which it is replaced.
//! - [`lease`]: the proof that a leader has not been replaced, where promotions are not fenced.
//! - [`homes`]: the proxies that keep connections to a group; other proxies forward requests to them.
//! - [`readers`]: the proxy that reads the store for its failure domain.
//! - [`revision`]: the order of the store's changes, also after it has come back older.
//! - [`workspace`]: the limits of workspaces; [`quota`]: the decisions by which all proxies together keep to them.
//! - [`failover`]: the steps that replace a leader.
//! - [`workspace`]: the workspaces of callers, and their keys; [`share`]: the connections to a member, shared between workspaces;
//!   [`fairness`]: the order of the requests of several workspaces.

pub mod claim;
pub mod effect;
pub mod event;
pub mod failover;
pub mod fairness;
pub mod homes;
pub mod index;
pub mod leader;
pub mod lease;
pub mod member_state;
pub mod pace;
pub mod place;
pub mod queue;
pub mod quota;
pub mod readers;
pub mod request;
pub mod revision;
pub mod share;
pub mod state;
pub mod topology;
pub mod topology_change;
pub mod trust;
pub mod workspace;

pub use state::Broker;
