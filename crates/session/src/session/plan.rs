//! What is to be run for a statement.

use bytes::Bytes;
use fulmarlift_core::floor;

use crate::deployment::Deployment;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::member;
use crate::shell;

/// A statement that has to reach a member.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The caller's id of it.
    pub id: Bytes,
    /// The caller's text.
    pub text: Bytes,
    /// What the text means.
    pub verb: member::Verb,
    /// Whether it writes.
    pub mode: protocol::Mode,
    /// The prepared statement that it uses, and its arguments.
    pub prepared: Option<(member::Prepared, Bytes)>,
}

impl Plan {
    /// A statement whose text is passed on.
    pub fn direct(query: &caller::Query, verb: member::Verb) -> Self {
        let mode = match verb {
            member::Verb::Begin(mode) | member::Verb::Run(mode) => mode,
            member::Verb::Commit | member::Verb::Rollback => protocol::Mode::Write,
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
    pub fn prepared(query: &caller::Query, prepared: member::Prepared, arguments: Bytes) -> Self {
        Self {
            id: query.id.clone(),
            text: query.text.clone(),
            verb: member::Verb::Run(prepared.mode),
            mode: prepared.mode,
            prepared: Some((prepared, arguments)),
        }
    }

    /// Returns the caller's id for the log.
    pub fn id(&self) -> String {
        String::from_utf8_lossy(&self.id).into_owned()
    }

    /// Returns the prepared statement that the connection has to hold.
    pub fn needs(&self) -> Option<&member::Prepared> {
        self.prepared.as_ref().map(|(prepared, _)| prepared)
    }

    /// Adds the statement to what a connection sends next.
    pub fn push<D: Deployment>(
        &self,
        wire: &mut shell::Wire<D>,
        floor: Option<floor::Point>,
        terms: caller::Terms,
    ) {
        let terms = Some(terms);
        wire.push(match &self.prepared {
            None => member::Command::Run {
                id: &self.id,
                text: &self.text,
                verb: self.verb,
                floor,
                terms,
            },
            Some((prepared, arguments)) => member::Command::Execute {
                id: &self.id,
                prepared,
                arguments,
                floor,
                terms,
            },
        });
    }
}
