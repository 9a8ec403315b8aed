//! What is learned of configuration, members and other proxies.
//!
//! One proxy of each failure domain reads the store ([`follow`]) and hands on what it learns; the others listen to it
//! ([`listen`]) and read for themselves when it has not had the store's answer for a while.

mod follow;
mod frame;
mod listen;
mod observe;
mod publish;

pub use follow::announce;
pub use observe::{Sources, observe};
pub use publish::publish;
