//! Connections to members: connections for callers' requests, and control connections.

mod backend;
mod control;
pub mod question;

pub use backend::{Backend, OpenError};
pub use control::ControlConnections;
