//! What the proxy reads from and writes to the platform.

pub mod claim;
pub mod follow;
pub mod vms;

pub use claim::Claim;
