//! What is to be run for a statement.

use bytes::Bytes;
use fulmarlift_core::floor::Point;

use crate::link::Link;
use crate::protocol::Mode;
use crate::protocol::caller::Query;
use crate::protocol::member::{Codec, Command, Prepared};

/// A statement that has to reach a member.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The caller's id of it.
    pub id: Bytes,
    /// The caller's text.
    pub text: Bytes,
    /// Whether it writes.
    pub mode: Mode,
    /// The prepared statement that it uses, and its arguments.
    pub prepared: Option<(Prepared, Bytes)>,
}

impl Plan {
    /// A statement whose text is passed on.
    pub fn direct(query: &Query, mode: Mode) -> Self {
        Self {
            id: query.id.clone(),
            text: query.text.clone(),
            mode,
            prepared: None,
        }
    }

    /// A use of a prepared statement.
    pub fn prepared(query: &Query, prepared: Prepared, arguments: Bytes) -> Self {
        Self {
            id: query.id.clone(),
            text: query.text.clone(),
            mode: prepared.mode,
            prepared: Some((prepared, arguments)),
        }
    }

    /// Returns the caller's id for the log.
    pub fn id(&self) -> String {
        String::from_utf8_lossy(&self.id).into_owned()
    }

    /// Returns the prepared statement that the connection has to hold.
    pub fn needs(&self) -> Option<&Prepared> {
        self.prepared.as_ref().map(|(prepared, _)| prepared)
    }

    /// Adds the statement to what a link sends next.
    pub fn push<C: Codec>(&self, link: &mut Link<C>, floor: Option<Point>) {
        link.push(match &self.prepared {
            None => Command::Run {
                id: &self.id,
                text: &self.text,
                floor,
            },
            Some((prepared, arguments)) => Command::Execute {
                id: &self.id,
                prepared,
                arguments,
                floor,
            },
        });
    }
}
