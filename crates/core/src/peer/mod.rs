//! Other proxies: which are alive, how they see the groups and which configuration version they know.

mod message;
mod table;

pub use message::{GroupReport, Head, Loan, Message, ShareReport, Vm, VmState};
pub use table::{Peer, Table};
