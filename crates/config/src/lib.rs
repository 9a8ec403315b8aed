//! Configuration of fulmarlift: regions, database groups, callers, read classes and services.
//!
//! Operators do not write the configuration by hand. They build it in a Rust program with [`builder`], which prints it
//! as JSON; programs in other languages print JSON that follows the published JSON Schema ([`schema`]). [`check`]
//! collects all findings with their paths, and [`diff`] lists the differences between two documents.
//!
//! ```
//! use fulmarlift_config::{builder, verifier};
//!
//! let member = |name, address| builder::Member::new(name, address).domain("rvk-a").connections(16);
//! let document = builder::Document::new()
//!     .region("reykjavik", ["rvk-a"])
//!     .group(
//!         builder::Group::new("ledger-1")
//!             .slots(2)
//!             .member(member("a", "10.0.0.1:5432"))
//!             .member(member("b", "10.0.0.2:5432"))
//!             .member(member("c", "10.0.0.3:5432")),
//!     )
//!     .caller("courier", verifier::Verifier::Trust)
//!     .read_class(builder::ReadClass::new("status").max_age_ms(2_000).table("handover"))
//!     .service(builder::Service::new("ledger", "ledger-1").caller("courier").read_class("status"))
//!     .build()?;
//! println!("{}", document.to_json());
//! # Ok::<(), fulmarlift_config::finding::Findings>(())
//! ```

pub mod builder;
pub mod check;
pub mod diff;
pub mod finding;
pub mod model;
mod name_index;
mod names;
pub mod schema;
pub mod verifier;
