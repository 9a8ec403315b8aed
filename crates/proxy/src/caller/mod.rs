//! Serves callers: logins, sessions, and the relay of messages between callers and members.

mod batch;
mod connection_settings;
mod listen;
pub(crate) mod plan;
mod proxy_answers;
mod proxy_statements;
mod relay;
mod relay_result;
mod request_errors;
mod requests;
mod session;
pub mod session_settings;
mod session_table;
mod statements;

pub use listen::{CallerContext, accept_callers};
pub use session_table::{CancelTarget, Registration, Sessions};
