//! Database proxy with session consistency.
//!
//! This crate holds the programs and what they share; the parts that others embed are crates of their own:
//!
//! - [`core`]: the decisions, as one reducer without I/O.
//! - [`config`]: the configuration model, its builder and checks.
//! - [`wire`]: PostgreSQL streams, statement classes and logins.
//! - [`platform`]: the client of the platform's services.
//! - [`proxy`]: the tokio shell that makes a proxy of them.
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
