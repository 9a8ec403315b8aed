//! Messages of the extended protocol, and their form for one connection to a member.

use std::collections::VecDeque;
use std::sync::Arc;

use fulmarlift_wire::{class, frame};
use pgwire::messages::{PgWireFrontendMessage, extendedquery};

use crate::caller::statements::{Statement, Statements};
use crate::member;

/// Target type of Describe and Close that means a prepared statement.
const STATEMENT: u8 = b'S';
/// Name of a statement that no connection has; closing it is answered and does nothing.
const NO_STATEMENT: &str = "fl_none";
/// Statements on one connection past which those of earlier batches are closed.
const PREPARED_PER_CONNECTION: usize = 256;

/// Whether an answer goes to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// It answers a message of the caller.
    Pass,
    /// It answers a message that the proxy added.
    Drop,
}

/// Messages up to a Sync or Flush.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The caller's messages.
    pub frames: Vec<frame::Frame>,
    /// What the executed statements do.
    pub classes: Vec<class::Statement>,
    portals: Vec<(Box<str>, Arc<[class::Statement]>)>,
}

/// Messages for a member.
#[derive(Debug, Default)]
pub struct Translated {
    /// The messages.
    pub frames: Vec<frame::Frame>,
    /// What to do with ParseComplete, BindComplete and CloseComplete answers, in order.
    pub expects: VecDeque<Expect>,
    /// Statements being prepared, in order; empty for the unnamed one.
    pub parses: Vec<Box<str>>,
}

impl Batch {
    /// Adds a message and notes what it does; returns whether the batch is complete.
    ///
    /// # Errors
    ///
    /// Returns an error when the message is malformed.
    pub fn add(
        &mut self,
        frame: frame::Frame,
        statements: &mut Statements,
        classify: impl FnOnce(&str) -> Arc<[class::Statement]>,
    ) -> Result<bool, frame::Error> {
        let message = frame.decode_frontend()?;
        self.frames.push(frame);
        match &message {
            PgWireFrontendMessage::Parse(parse) => {
                let statement = Statement::new(parse, classify(&parse.query));
                statements.insert(name(&parse.name), statement);
            }
            PgWireFrontendMessage::Bind(bind) => {
                if let Some(statement) = statements.get(name(&bind.statement_name)) {
                    let portal = name(&bind.portal_name).into();
                    self.portals.push((portal, Arc::clone(&statement.classes)));
                }
            }
            PgWireFrontendMessage::Execute(execute) => self.execute(name(&execute.name)),
            PgWireFrontendMessage::Close(close) if close.target_type == STATEMENT => {
                statements.remove(name(&close.name));
            }
            _ => {}
        }
        Ok(matches!(
            message,
            PgWireFrontendMessage::Sync(_) | PgWireFrontendMessage::Flush(_)
        ))
    }

    fn execute(&mut self, portal: &str) {
        let bound = self.portals.iter().rev();
        let mut bound = bound.filter(|(name, _)| name.as_ref() == portal);
        if let Some((_, classes)) = bound.next() {
            self.classes.extend(classes.iter().cloned());
        }
    }

    /// Puts the messages in the form for this connection: statements get their shared names, and those that
    /// the connection lacks are prepared first.
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
        let mut unnamed = false;
        if backend.prepared.len() > PREPARED_PER_CONNECTION {
            translated.close_all(backend);
        }
        for frame in &self.frames {
            match frame.decode_frontend()? {
                PgWireFrontendMessage::Parse(parse) if !name(&parse.name).is_empty() => {
                    let statement = Statement::new(&parse, Arc::from([]));
                    translated.prepare_again(&statement, backend);
                }
                PgWireFrontendMessage::Parse(_) => {
                    unnamed = true;
                    translated.parses.push(Box::default());
                    translated.push(frame.clone(), Some(Expect::Pass));
                }
                PgWireFrontendMessage::Bind(mut bind) => {
                    if let Some(statement) = statements.get(name(&bind.statement_name)) {
                        translated.ensure(statement, backend, &mut unnamed);
                        bind.statement_name = Some(statement.shared_name.to_string());
                    }
                    let message = PgWireFrontendMessage::Bind(bind);
                    translated.push(frame::try_frontend(&message)?, Some(Expect::Pass));
                }
                PgWireFrontendMessage::Describe(mut describe)
                    if describe.target_type == STATEMENT =>
                {
                    if let Some(statement) = statements.get(name(&describe.name)) {
                        translated.ensure(statement, backend, &mut unnamed);
                        describe.name = Some(statement.shared_name.to_string());
                    }
                    let message = PgWireFrontendMessage::Describe(describe);
                    translated.push(frame::try_frontend(&message)?, None);
                }
                PgWireFrontendMessage::Close(mut close) => {
                    if close.target_type == STATEMENT {
                        close.name = Some(NO_STATEMENT.to_owned());
                    }
                    let message = PgWireFrontendMessage::Close(close);
                    translated.push(frame::try_frontend(&message)?, Some(Expect::Pass));
                }
                _ => translated.push(frame.clone(), None),
            }
        }
        Ok(translated)
    }
}

impl Translated {
    fn push(&mut self, frame: frame::Frame, expect: Option<Expect>) {
        self.frames.push(frame);
        self.expects.extend(expect);
    }

    fn send(&mut self, message: PgWireFrontendMessage, expect: Expect) {
        self.push(frame::frontend(&message), Some(expect));
    }

    fn close(&mut self, shared_name: &str) {
        let close = extendedquery::Close::new(STATEMENT, Some(shared_name.to_owned()));
        self.send(PgWireFrontendMessage::Close(close), Expect::Drop);
    }

    fn close_all(&mut self, backend: &mut member::Backend) {
        for shared_name in std::mem::take(&mut backend.prepared) {
            self.close(&shared_name);
        }
    }

    /// Prepares a statement for the caller, whose answer the caller awaits.
    fn prepare_again(&mut self, statement: &Statement, backend: &mut member::Backend) {
        match backend.prepared.binary_search(&statement.shared_name) {
            Ok(_) => self.close(&statement.shared_name),
            Err(index) => backend
                .prepared
                .insert(index, statement.shared_name.clone()),
        }
        self.parse(statement, Expect::Pass);
    }

    /// Prepares a statement that the connection lacks.
    fn ensure(&mut self, statement: &Statement, backend: &mut member::Backend, unnamed: &mut bool) {
        if statement.shared_name.is_empty() {
            if !std::mem::replace(unnamed, true) {
                self.parse(statement, Expect::Drop);
            }
            return;
        }
        if let Err(index) = backend.prepared.binary_search(&statement.shared_name) {
            backend
                .prepared
                .insert(index, statement.shared_name.clone());
            self.parse(statement, Expect::Drop);
        }
    }

    fn parse(&mut self, statement: &Statement, expect: Expect) {
        self.parses.push(statement.shared_name.clone());
        self.send(PgWireFrontendMessage::Parse(statement.parse()), expect);
    }
}

fn name(name: &Option<String>) -> &str {
    name.as_deref().unwrap_or_default()
}
