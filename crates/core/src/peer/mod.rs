//! Other proxies: which are alive, how they see the groups and which configuration version they know.

mod message;
mod table;

pub use message::{ConnectionReport, GroupReport, Head, Loan, Message, Vm, VmState};
pub use table::{Peer, Table};
