//! Connections from the proxy to database members.

mod auth;
mod cancel;
mod connect;
mod error;
pub mod expected;
mod query;

use bytes::Bytes;
use pgwire::messages::response::TransactionStatus;

use crate::parameter::{self, Parameter};
use crate::stream::{Framed, Stream};

pub use cancel::cancel;
pub use connect::connect;
pub use error::{DatabaseError, Error};
pub use query::{Table, query, query_table};

/// Credentials with which the proxy logs in to a database.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// User name.
    pub user: Box<str>,
    /// Database name.
    pub database: Box<str>,
    /// Password; if it is `None`, the login fails when the database asks for one.
    pub password: Option<Box<str>>,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Credentials")
            .field("user", &self.user)
            .field("database", &self.database)
            .finish_non_exhaustive()
    }
}

/// Key of a connection, which authorizes cancel requests for it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CancelKey {
    /// Process ID that the server assigned to the connection.
    pub pid: i32,
    /// Secret; four bytes long in protocol 3.0.
    pub secret: Bytes,
}

impl std::fmt::Debug for CancelKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CancelKey")
            .field("pid", &self.pid)
            .finish_non_exhaustive()
    }
}

/// A connection that is logged in.
#[derive(Debug)]
pub struct Connection {
    /// Stream, positioned between two messages.
    pub framed: Framed<Stream>,
    /// Parameters that the database reported, sorted by name.
    pub parameters: Vec<Parameter>,
    /// Key for cancel requests; `None` if the database sent none.
    pub key: Option<CancelKey>,
    /// Transaction status in the last ReadyForQuery that this module read.
    pub status: TransactionStatus,
}

impl Connection {
    /// Returns the value of a parameter that the database reported.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        parameter::get(&self.parameters, name)
    }
}
