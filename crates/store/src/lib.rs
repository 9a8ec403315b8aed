//! The platform's table service, object store and VM list, and what stands on them.
//!
//! [`platform::Platform`] is the trait of the calls, [`client::Client`] makes them over HTTP with the typed
//! [`message`]s, and tests put fakes in its place. [`publish`] keeps the accepted configurations and their
//! audit trail there. [`admin`] asks a proxy for its view.
//!
//! ```no_run
//! use fulmarlift_store::{client, publish};
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let platform = client::Client::new("http://127.0.0.1:7070")?;
//! if let Some(head) = publish::read::head(&platform).await? {
//!     let document = publish::read::document(&platform, &head.object, &head.digest).await?;
//!     println!("version {}: {} groups", head.version, document.groups.len());
//! }
//! # Ok(())
//! # }
//! ```

pub mod admin;
pub mod claim;
pub mod client;
pub mod message;
pub mod platform;
pub mod publish;
pub mod retry;
