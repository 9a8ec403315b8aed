//! Tokio shell of the proxy: runs the effects that `fulmarlift-core` decides on.
//!
//! [`Proxy::start`] binds the addresses of the [`settings::Settings`] and serves callers, peers and operators
//! until [`Proxy::stop`]. Result rows go from the member's connection to the caller's without entering the reducer.
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
