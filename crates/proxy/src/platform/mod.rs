//! Access to the platform: claims of terms, the configuration (also from peers) and the list of VMs.

pub mod claim;
pub mod configuration;
pub mod vms;

pub use claim::Claim;
