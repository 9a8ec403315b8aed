//! Updates of the configuration, the members and the other proxies.
//!
//! One proxy of each failure domain, the reader, reads the store (`follow`) and sends the updates to its listeners
//! ([`publish`]). The other proxies listen to it (`listen`) and read the store themselves when the store's last answer
//! to the reader is too old.

mod follow;
mod frame;
mod listen;
mod observe;
mod publish;

pub use follow::announce;
pub use observe::{Sources, observe};
pub use publish::publish;
