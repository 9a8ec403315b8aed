//! Client and messages of the platform's table service, object store and VM list.

pub mod client;
pub mod message;
pub mod platform;
