//! Messages between proxies: heartbeats over UDP, documents and cancel requests over TCP.

mod heartbeat;
mod message;
mod server;

pub use heartbeat::{receive_heartbeats, send_heartbeats};
pub use message::{Answer, Question};
pub use server::{fetch_document, send_question, serve_questions};
