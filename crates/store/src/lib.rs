//! Client of the platform's table service, object store and VM list.
//!
//! The platform is the cloud service that runs the VMs of fulmarlift's proxies. Proxies and operators use it to share
//! data: it stores rows in tables, which conditional transactions write, and immutable objects, and it lists the VMs.
//!
//! [`platform::Platform`] is the trait of the platform's calls. [`client::Client`] implements it over HTTP with the
//! typed [`message`]s; tests use fakes instead. [`publish`] stores accepted configurations and their audit trail on
//! the platform, and [`claim`] stores the claims of terms. [`http`] sends the calls. [`admin`] reads the state of a proxy from its admin port.
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
pub mod http;
pub mod message;
pub mod platform;
pub mod publish;
pub mod retry;
