//! Batches of extended-protocol messages, and their translation for one connection to a member.

use std::sync::Arc;

use fulmarlift_wire::backend::expected::{ExpectedResponse, Forwarding};
use fulmarlift_wire::{class, frame};
use pgwire::messages::{PgWireFrontendMessage, extendedquery};

use crate::caller::proxy_answers;
use crate::caller::statements::{Statement, Statements};
use crate::member;

/// Target type of Describe and Close for a prepared statement.
const STATEMENT_TARGET: u8 = b'S';
/// Name of a statement that exists on no connection: the member answers a Close of it and does nothing.
const MISSING_STATEMENT: &str = "fl_none";
/// Types of the messages of the extended protocol, sorted.
const BATCH_TAGS: &[u8] = &[
    frame::tag::frontend::BIND,
    frame::tag::frontend::CLOSE,
    frame::tag::frontend::DESCRIBE,
    frame::tag::frontend::EXECUTE,
    frame::tag::frontend::FLUSH,
    frame::tag::frontend::PARSE,
    frame::tag::frontend::SYNC,
];
/// Number of prepared statements that a connection keeps. If there are more, the next batch closes all of them.
const PREPARED_PER_CONNECTION_MAX: usize = 256;

/// Extended-protocol messages of a caller up to a Sync or Flush.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Messages as the caller sent them.
    pub frames: Vec<frame::Frame>,
    /// Classes of the statements that the batch executes.
    pub executed_classes: Vec<class::Statement>,
    /// Classes of the statements that the batch prepares.
    pub prepared_classes: Vec<class::Statement>,
    /// Number of messages about statements that the proxy answers itself, see [`proxy_answers::is_proxy_statement`].
    proxy_messages: usize,
    /// Number of messages that a member must answer.
    member_messages: usize,
    /// Portals that the batch binds, with the classes of their statements.
    portals: Vec<(Box<str>, Arc<[class::Statement]>)>,
}

/// A batch translated for one connection to a member.
#[derive(Debug, Default)]
pub struct Translated {
    /// Messages for the member.
    pub frames: Vec<frame::Frame>,
    /// Responses that the member has to send for these messages, in order.
    pub expected: Vec<ExpectedResponse>,
    /// Shared names (see [`Statement::shared_name`]) of the statements that the messages prepare, in order; empty for
    /// the unnamed statement.
    pub parses: Vec<Box<str>>,
}

impl Batch {
    /// Adds a message, and updates the caller's prepared statements. Returns whether the message completes the batch.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is malformed or not one of the extended protocol.
    pub fn add(
        &mut self,
        frame: frame::Frame,
        statements: &mut Statements,
        classify: impl FnOnce(&str) -> Arc<[class::Statement]>,
    ) -> Result<bool, frame::Error> {
        if BATCH_TAGS.binary_search(&frame.tag).is_err() {
            return Err(frame::Error::Malformed {
                tag: frame.tag,
                reason: "the message does not belong here",
            });
        }
        let message = frame.decode_frontend()?;
        self.frames.push(frame);
        match &message {
            PgWireFrontendMessage::Parse(parse) => {
                let classes = classify(&parse.query);
                self.prepared_classes.extend(classes.iter().cloned());
                self.count_message(Some(&classes));
                statements.insert(name_or_empty(&parse.name), Statement::new(parse, classes));
            }
            PgWireFrontendMessage::Bind(bind) => {
                let statement = statements.get(name_or_empty(&bind.statement_name));
                let classes = statement.map(|statement| Arc::clone(&statement.classes));
                self.count_message(classes.as_ref());
                if let Some(classes) = classes {
                    self.portals
                        .push((name_or_empty(&bind.portal_name).into(), classes));
                }
            }
            PgWireFrontendMessage::Describe(describe) => {
                let target = name_or_empty(&describe.name);
                let classes = match describe.target_type {
                    STATEMENT_TARGET => statements.get(target).map(|known| &known.classes),
                    _ => self.portal(target),
                };
                let classes = classes.cloned();
                self.count_message(classes.as_ref());
            }
            PgWireFrontendMessage::Execute(execute) => {
                let classes = self.portal(name_or_empty(&execute.name)).cloned();
                self.count_message(classes.as_ref());
                let executed = classes.iter().flat_map(|classes| classes.iter());
                self.executed_classes.extend(executed.cloned());
            }
            // The statement stays prepared on connections, where sessions share it, so that a Close needs no member.
            PgWireFrontendMessage::Close(close) if close.target_type == STATEMENT_TARGET => {
                statements.remove(name_or_empty(&close.name));
            }
            PgWireFrontendMessage::Close(_) => self.count_message(None),
            _ => {}
        }
        Ok(matches!(
            message,
            PgWireFrontendMessage::Sync(_) | PgWireFrontendMessage::Flush(_)
        ))
    }

    fn count_message(&mut self, classes: Option<&Arc<[class::Statement]>>) {
        let is_answered_by_proxy = classes.is_some_and(|classes| {
            !classes.is_empty() && proxy_answers::are_proxy_statements(classes)
        });
        match is_answered_by_proxy {
            true => self.proxy_messages += 1,
            false => self.member_messages += 1,
        }
    }

    /// Returns whether the proxy can answer the batch without a member.
    pub fn is_answered_by_proxy(&self) -> bool {
        self.member_messages == 0
    }

    /// Returns whether the batch has messages about statements that the proxy answers itself.
    pub fn has_proxy_messages(&self) -> bool {
        self.proxy_messages > 0
    }

    /// Returns the classes of the statements of a portal that this batch binds.
    pub fn portal(&self, portal: &str) -> Option<&Arc<[class::Statement]>> {
        let mut bound = self.portals.iter().rev();
        let (_, classes) = bound.find(|(name, _)| name.as_ref() == portal)?;
        Some(classes)
    }

    /// Translates the messages for this connection: replaces the caller's statement names by shared names, and first
    /// prepares statements that are missing on the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when a message is malformed.
    pub fn translate(
        &self,
        statements: &Statements,
        backend: &mut member::Backend,
    ) -> Result<Translated, frame::Error> {
        let mut translated = Translated::default();
        let mut unnamed_prepared = false;
        if backend.prepared_statements.len() > PREPARED_PER_CONNECTION_MAX {
            translated.close_all(backend);
        }
        for frame in &self.frames {
            match frame.decode_frontend()? {
                PgWireFrontendMessage::Parse(parse) if !name_or_empty(&parse.name).is_empty() => {
                    let statement = Statement::new(&parse, Arc::from([]));
                    translated.prepare_for_caller(&statement, backend);
                }
                PgWireFrontendMessage::Parse(_) => {
                    unnamed_prepared = true;
                    translated.parses.push(Box::default());
                    translated.push(
                        frame.clone(),
                        &[ExpectedResponse::Parse(Forwarding::Forward)],
                    );
                }
                PgWireFrontendMessage::Bind(mut bind) => {
                    if let Some(statement) = statements.get(name_or_empty(&bind.statement_name)) {
                        translated.ensure_prepared(statement, backend, &mut unnamed_prepared);
                        bind.statement_name = Some(statement.shared_name.to_string());
                    }
                    let message = PgWireFrontendMessage::Bind(bind);
                    translated.push(
                        frame::try_encode_frontend(&message)?,
                        &[ExpectedResponse::Bind],
                    );
                }
                PgWireFrontendMessage::Describe(mut describe)
                    if describe.target_type == STATEMENT_TARGET =>
                {
                    if let Some(statement) = statements.get(name_or_empty(&describe.name)) {
                        translated.ensure_prepared(statement, backend, &mut unnamed_prepared);
                        describe.name = Some(statement.shared_name.to_string());
                    }
                    let message = PgWireFrontendMessage::Describe(describe);
                    let expected = [ExpectedResponse::Parameters, ExpectedResponse::Columns];
                    translated.push(frame::try_encode_frontend(&message)?, &expected);
                }
                PgWireFrontendMessage::Describe(_) => {
                    translated.push(frame.clone(), &[ExpectedResponse::Columns]);
                }
                PgWireFrontendMessage::Execute(_) => {
                    translated.push(frame.clone(), &[ExpectedResponse::Result]);
                }
                PgWireFrontendMessage::Close(mut close) => {
                    if close.target_type == STATEMENT_TARGET {
                        close.name = Some(MISSING_STATEMENT.to_owned());
                    }
                    let message = PgWireFrontendMessage::Close(close);
                    let expected = [ExpectedResponse::Close(Forwarding::Forward)];
                    translated.push(frame::try_encode_frontend(&message)?, &expected);
                }
                _ => translated.push(frame.clone(), &[]),
            }
        }
        Ok(translated)
    }
}

impl Translated {
    fn push(&mut self, frame: frame::Frame, expected: &[ExpectedResponse]) {
        self.frames.push(frame);
        self.expected.extend(expected);
    }

    fn close(&mut self, shared_name: &str) {
        let close = extendedquery::Close::new(STATEMENT_TARGET, Some(shared_name.to_owned()));
        let message = PgWireFrontendMessage::Close(close);
        self.push(
            frame::encode_frontend(&message),
            &[ExpectedResponse::Close(Forwarding::Discard)],
        );
    }

    fn close_all(&mut self, backend: &mut member::Backend) {
        for shared_name in std::mem::take(&mut backend.prepared_statements) {
            self.close(&shared_name);
        }
    }

    /// Prepares a statement that the caller has sent a Parse for; the answer goes to the caller. Closes the statement
    /// first if it is prepared already, because the member refuses to prepare a name twice.
    fn prepare_for_caller(&mut self, statement: &Statement, backend: &mut member::Backend) {
        match backend
            .prepared_statements
            .binary_search(&statement.shared_name)
        {
            Ok(_) => self.close(&statement.shared_name),
            Err(index) => backend
                .prepared_statements
                .insert(index, statement.shared_name.clone()),
        }
        self.parse(statement, Forwarding::Forward);
    }

    /// Prepares a statement if it is missing on the connection; the caller does not see the answer.
    fn ensure_prepared(
        &mut self,
        statement: &Statement,
        backend: &mut member::Backend,
        unnamed_prepared: &mut bool,
    ) {
        if statement.shared_name.is_empty() {
            if !std::mem::replace(unnamed_prepared, true) {
                self.parse(statement, Forwarding::Discard);
            }
            return;
        }
        if let Err(index) = backend
            .prepared_statements
            .binary_search(&statement.shared_name)
        {
            backend
                .prepared_statements
                .insert(index, statement.shared_name.clone());
            self.parse(statement, Forwarding::Discard);
        }
    }

    fn parse(&mut self, statement: &Statement, forwarding: Forwarding) {
        self.parses.push(statement.shared_name.clone());
        let message = PgWireFrontendMessage::Parse(statement.parse_message());
        self.push(
            frame::encode_frontend(&message),
            &[ExpectedResponse::Parse(forwarding)],
        );
    }
}

fn name_or_empty(name: &Option<String>) -> &str {
    name.as_deref().unwrap_or_default()
}
