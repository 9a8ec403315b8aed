//! The tokio shell around the decisions of `fulmarlift-core`.
//!
//! [`Proxy::start`] binds the addresses of the [`settings::Settings`] and serves callers, peers and operators
//! until [`Proxy::stop`]. Result rows stream through the callers' side and never enter the reducer.
//!
//! ```
//! use fulmarlift_proxy::settings;
//!
//! let raw = settings::Raw {
//!     listen: Some("nowhere".to_owned()),
//!     max_frame_bytes: Some("-1".to_owned()),
//!     ..settings::Raw::default()
//! };
//! let invalid = settings::Settings::check(&raw).expect_err("two settings are wrong");
//! assert_eq!(invalid.findings.len(), 2);
//! ```

pub mod admin;
pub mod caller;
pub mod document;
pub mod engine;
pub mod explain;
pub mod member;
pub mod metrics_export;
pub mod peers;
pub mod platform;
pub mod proxy;
pub mod settings;

pub use proxy::Proxy;
