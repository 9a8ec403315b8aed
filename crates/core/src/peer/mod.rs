//! The other proxies: who is alive, what they see and which configuration they know.

mod message;
mod table;

pub use message::{GroupReport, Head, Loan, Message, ShareReport, Vm, VmState};
pub use table::{Peer, Table};
