//! Database proxy with session consistency.
//!
//! This crate holds the programs and the [`demo`]; each part that other programs can embed is a crate of its own:
//!
//! - [`core`]: all decisions, as one reducer without I/O.
//! - [`config`]: the configuration model, its builder and checks.
//! - [`wire`]: PostgreSQL message streams, statement classes and logins.
//! - [`platform`]: clients of the platform's services.
//! - [`proxy`]: the proxy, a tokio shell around the reducer.
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
