//! The callers' side: logins, sessions and the passing of messages.

mod batch;
mod ended;
mod listen;
mod local;
mod local_answers;
mod outcome;
pub(crate) mod plan;
mod relay;
mod remember;
mod requests;
mod session;
mod sessions;
mod statements;
mod tracked;

pub use listen::{Listener, serve};
pub use sessions::{Registration, Sessions, Target};
