//! Coordination decisions of a database proxy with session consistency.
//!
//! [`State`] is the *reducer* of a proxy: [`State::step`] takes one event and returns effects. The *shell* is the
//! part of the proxy around the reducer that does the I/O: it produces the events and carries out the effects. The
//! reducer does no I/O, reads no clock and draws no random numbers. The same events therefore give the same effects,
//! whether they come from sockets, a test or a model checker.
//!
//! Other terms of this crate:
//!
//! - A *group* is a database that is replicated on several *members*. One of them is the primary and takes the
//!   writes; the others are replicas, which copy the primary's log.
//! - A *term* numbers the successive primaries of a group. A member *grants* a term to a proxy by accepting the
//!   proxy's fence at that term: from then on it accepts no writes or entries of earlier terms, and it grants the
//!   term to no other proxy.
//! - The *platform* runs the VMs of proxies and members and lists those that it is about to take out of service. It
//!   also keeps a table with one *claim row* per group, which holds the newest claim: the proxy, the term that it
//!   claims in order to replace the primary, and when the claim expires.
//! - A *session* is a sequence of requests in which a caller presents the token of an earlier answer, so that its
//!   reads see what the session has seen or written before. The token encodes the session's [`floor::Floor`].
//! - A *read index* is the point that a read without a token must see; see [`status::ReadIndexWaits`].
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use fulmarlift_core::{State, effect, event, id, identity, request};
//!
//! let now = Instant::now();
//! let identity = identity::Identity::new("proxy-1", "rvk", "rvk-a", "127.0.0.1:7000");
//! let mut state = State::new(identity, Vec::new(), now);
//! let mut effects = Vec::new();
//! let request = request::Request {
//!     id: 1,
//!     caller: id::of("courier"),
//!     service: id::of("ledger"),
//!     kind: request::Kind::Read { fresh_since: None },
//!     floor: None,
//!     deadline: now + Duration::from_secs(1),
//! };
//! state.step(now, event::Event::Arrived(request), &mut effects);
//! assert!(matches!(effects[0], effect::Effect::Refuse(_)));
//! ```

pub mod effect;
pub mod event;
pub mod failover;
pub mod floor;
pub mod group;
pub mod id;
pub mod identity;
pub mod limit;
pub mod peer;
pub mod pool;
pub mod request;
pub mod route;
pub mod sorted;
pub mod state;
pub mod status;
pub mod topology;

pub use state::State;
