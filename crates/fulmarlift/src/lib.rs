//! Database proxy with session consistency: the reads of a session see the session's acknowledged writes, whichever
//! proxy and member of the database group serve them.
//!
//! This crate holds the programs and the [`demo`]; each part that other programs can embed is a crate of its own:
//!
//! - [`core`]: all decisions of a proxy, as a reducer: a state machine that turns events into effects, without I/O.
//! - [`config`]: the configuration model, its builder and checks.
//! - [`wire`]: PostgreSQL message streams, statement classes and logins.
//! - [`platform`]: clients of the platform, the cloud service that lists the VMs and stores the configuration.
//! - [`proxy`]: the proxy, a tokio program that passes events to the reducer and carries out its effects.
//!
//! ```
//! use fulmarlift::config::builder;
//!
//! let document = builder::Document::new()
//!     .region("reykjavik", ["rvk-a", "rvk-b", "aey-a"])
//!     .build();
//! assert!(document.is_ok());
//! ```

pub mod demo;

pub use fulmarlift_config as config;
pub use fulmarlift_core as core;
pub use fulmarlift_proxy as proxy;
pub use fulmarlift_store as platform;
pub use fulmarlift_wire as wire;
