//! What is to be run for a statement.

use bytes::Bytes;
use fulmarlift_core::floor::Point;

use crate::protocol::Mode;
use crate::protocol::caller::{Query, Terms};
use crate::protocol::member::{Command, Prepared, Verb};
use crate::shell::Wire;
use crate::world::World;

/// A statement that has to reach a member.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The caller's id of it.
    pub id: Bytes,
    /// The caller's text.
    pub text: Bytes,
    /// What the text means.
    pub verb: Verb,
    /// Whether it writes.
    pub mode: Mode,
    /// The prepared statement that it uses, and its arguments.
    pub prepared: Option<(Prepared, Bytes)>,
}

impl Plan {
    /// A statement whose text is passed on.
    pub fn direct(query: &Query, verb: Verb) -> Self {
        let mode = match verb {
            Verb::Begin(mode) | Verb::Run(mode) => mode,
            Verb::Commit | Verb::Rollback => Mode::Write,
        };
        Self {
            verb,
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
            verb: Verb::Run(prepared.mode),
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

    /// Adds the statement to what a connection sends next.
    pub fn push<W: World>(&self, wire: &mut Wire<W>, floor: Option<Point>, terms: Terms) {
        let terms = Some(terms);
        wire.push(match &self.prepared {
            None => Command::Run {
                id: &self.id,
                text: &self.text,
                verb: self.verb,
                floor,
                terms,
            },
            Some((prepared, arguments)) => Command::Execute {
                id: &self.id,
                prepared,
                arguments,
                floor,
                terms,
            },
        });
    }
}
