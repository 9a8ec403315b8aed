//! Stand-ins for a database member and for the platform, for tests and demonstrations.
//!
//! Both speak the protocols of `docs/PROTOCOLS.md`, run inside a tokio runtime, and have switches for faults.
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! use fulmarlift_standin::{member, platform};
//!
//! let primary = member::Member::start(member::Config { primary: true, ..Default::default() }).await?;
//! let replica = member::Member::start(member::Config::default()).await?;
//! replica.set_peers(vec![primary.as_peer()]);
//! let platform = platform::Platform::start(platform::Config::default()).await?;
//! println!("{} {} {}", primary.address(), replica.address(), platform.address());
//! # Ok(())
//! # }
//! ```

pub mod member;
pub mod platform;
