//! Access to the platform: claims of terms, the configuration and the list of VMs.

pub mod claim;
pub mod follow;
pub mod vms;

pub use claim::Claim;
