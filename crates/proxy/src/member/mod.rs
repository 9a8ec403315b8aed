//! Connections to members: those that serve callers, and those that carry control questions.

mod backend;
mod control;
pub mod question;

pub use backend::{Backend, OpenError};
pub use control::Control;
