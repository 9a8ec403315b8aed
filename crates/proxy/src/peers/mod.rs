//! Messages between proxies: heartbeats over UDP, documents and cancel requests over TCP.

mod heartbeat;
mod message;
mod server;

pub use heartbeat::{receive, send};
pub use message::{Answer, Question};
pub use server::{ask, fetch_document, serve};
