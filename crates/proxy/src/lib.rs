//! The I/O of the proxy, on Tokio.
//!
//! The *reducer*, [`fulmarlift_core::State`], decides what the proxy does: it takes in *events* and returns *effects*,
//! which are orders as data. This crate turns what happens on sockets and timers into events and executes the effects.
//!
//! Terms that the modules use:
//!
//! - *Caller*: a PostgreSQL client. It logs in to a *service*, which stands for a database group with limits of its
//!   own.
//! - *Group*: database servers with the same data, its *members*. The *primary* takes writes, the *replicas* follow its
//!   log.
//! - *Peer*: another proxy.
//! - *Platform*: the HTTP service that provides the list of VMs and the *store*, a table and an object store.
//! - *Term* and *point*: each promotion of a primary starts a higher term; a point is a term and a position in the log.
//! - *Floor*: for each group, the point that reads of a session must have reached. A caller can carry the floor of its
//!   session from proxy to proxy as a *token*.
//! - *Read index*: the newest point that a majority of a group reports; a read at or past this point sees every write
//!   that was acknowledged before the read arrived.
//! - *Read class*: tables whose reads may return data up to a configured age.
//! - *Fence*: makes a member refuse the writes of earlier terms; it precedes a promotion.
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
