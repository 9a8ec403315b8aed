//! Coordination decisions of a database proxy with session consistency.
//!
//! [`State::step`] takes each event of a proxy and returns the effects that the proxy's shell carries out. It
//! does no I/O, reads no clock and draws no random numbers. The same events therefore give the same effects,
//! whether they come from sockets, a test or a model checker.
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
