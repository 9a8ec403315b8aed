//! Updates of the configuration, the members and the other proxies.
//!
//! One proxy of each larger failure domain, the reader, reads the store (`follow`) and sends the updates to its listeners,
//! the other proxies of the domain ([`publish()`]). A listener (`listen`) reads the store itself when the store's last answer
//! to the reader is too old. `observe` chooses between the two.
//! A proxy that the store does not answer reads claim rows through another one, and sends commands through others to a member
//! that it does not reach (`relay`).

mod follow;
pub(crate) mod frame;
mod listen;
mod observe;
mod publish;
pub(crate) mod relay;

pub use follow::announce;
pub use observe::{Sources, observe};
pub use publish::publish;
