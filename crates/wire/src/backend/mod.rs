//! Connections to database members.

mod auth;
mod cancel;
mod connect;
mod error;
mod query;
pub mod script;

use bytes::Bytes;
use pgwire::messages::response::TransactionStatus;

use crate::parameter::{self, Parameter};
use crate::stream::{Framed, Stream};

pub use cancel::cancel;
pub use connect::connect;
pub use error::{DatabaseError, Error};
pub use query::{Table, query, query_table};

/// How to log in to a database.
#[derive(Clone, PartialEq, Eq)]
pub struct Login {
    /// User name.
    pub user: Box<str>,
    /// Database name.
    pub database: Box<str>,
    /// Password, when the database asks for one.
    pub password: Option<Box<str>>,
}

impl std::fmt::Debug for Login {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Login")
            .field("user", &self.user)
            .field("database", &self.database)
            .finish_non_exhaustive()
    }
}

/// What a cancel request must bring.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Process id of the connection.
    pub pid: i32,
    /// Secret, four bytes in protocol 3.0.
    pub secret: Bytes,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Key")
            .field("pid", &self.pid)
            .finish_non_exhaustive()
    }
}

/// A connection on which the login is done.
#[derive(Debug)]
pub struct Connection {
    /// The stream, between messages.
    pub framed: Framed<Stream>,
    /// Parameters that the database reported, sorted by name.
    pub parameters: Vec<Parameter>,
    /// What a cancel request must bring, when the database gave it.
    pub key: Option<Key>,
    /// The transaction status of the last ReadyForQuery that this module read.
    pub status: TransactionStatus,
}

impl Connection {
    /// The value of a reported parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        parameter::get(&self.parameters, name)
    }
}
