//! A caller's statement, in the form in which members run it.

use bytes::Bytes;
use fulmarlift_core::floor;

use crate::deployment::Deployment;
use crate::logging;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::member;
use crate::shell;

/// A caller's statement that a member must run.
#[derive(Clone, Debug)]
pub struct MemberStatement {
    /// Id that the caller gave the statement.
    pub id: Bytes,
    /// Text of the statement.
    pub text: Bytes,
    /// Meaning of the text.
    pub verb: member::Verb,
    /// Whether the statement may write.
    pub mode: protocol::Mode,
    /// Prepared statement that it executes, with the arguments; none for a statement that is sent as text.
    pub prepared: Option<(member::Prepared, Bytes)>,
}

impl MemberStatement {
    /// Creates a statement that the proxy sends as text.
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

    /// Creates an execution of a prepared statement.
    pub fn prepared(query: &caller::Query, prepared: member::Prepared, arguments: Bytes) -> Self {
        Self {
            id: query.id.clone(),
            text: query.text.clone(),
            verb: member::Verb::Run(prepared.mode),
            mode: prepared.mode,
            prepared: Some((prepared, arguments)),
        }
    }

    /// Returns the caller's id as a field of the log.
    pub fn id_text(&self) -> String {
        logging::field(&self.id).to_string()
    }

    /// Returns the prepared statement that the connection must have.
    pub fn required_prepared(&self) -> Option<&member::Prepared> {
        self.prepared.as_ref().map(|(prepared, _)| prepared)
    }

    /// Appends the statement to the commands that the leased connection sends next. `believed` is the transaction state in which
    /// the session expects it to run.
    ///
    /// # Errors
    ///
    /// [`protocol::Withheld`] if the statement must not be sent, which is logged; nothing is appended.
    pub fn push<D: Deployment>(
        &self,
        lease: &mut shell::Lease<D>,
        believed: protocol::TransactionState,
        floor: Option<floor::Point>,
        options: caller::StatementOptions,
    ) -> Result<(), protocol::Withheld> {
        let options = Some(options);
        let upstream = lease.upstream();
        let command = match &self.prepared {
            None => member::Command::Run {
                id: &self.id,
                text: &self.text,
                verb: self.verb,
                floor,
                options,
            },
            Some((prepared, arguments)) => member::Command::Execute {
                id: &self.id,
                prepared,
                prepared_id: upstream.connection_state().prepared_id(prepared),
                arguments,
                floor,
                options,
            },
        };
        let pushed = upstream.push_statement(command, believed);
        pushed.inspect_err(|reason| lease.log_withheld(&self.id_text(), *reason))
    }
}
