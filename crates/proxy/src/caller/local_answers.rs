//! Answers to statements that the proxy runs itself.

use fulmarlift_wire::{answer, class, frame};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, data, extendedquery};

use crate::caller::batch::Batch;
use crate::caller::local;
use crate::caller::session::{Error, Session, Work};

impl Session<'_> {
    pub(super) async fn answer_local(
        &mut self,
        work: &Work,
        classes: &[class::Statement],
    ) -> Result<(), Error> {
        for statement in classes {
            match self.run_local(&statement.kind) {
                Ok(Some(value)) => {
                    let name = shown_name(&statement.kind).unwrap_or_default();
                    self.caller.feed(&local::columns(name));
                    self.feed_all(&local::row(&value));
                }
                Ok(None) => self.caller.feed(&local::complete(tag(&statement.kind))),
                Err(answer) => return self.refuse(work, answer).await,
            }
        }
        self.caller.send(&local::ready_in(self.last_status)).await?;
        Ok(())
    }

    pub(super) async fn answer_local_batch(&mut self, work: &Work) -> Result<(), Error> {
        let Work::Batch(batch) = work else {
            return Ok(());
        };
        let mut executed = batch.classes.iter();
        for frame in &batch.frames {
            let answered = match frame.decode_frontend()? {
                PgWireFrontendMessage::Parse(_) => {
                    let complete = extendedquery::ParseComplete::new();
                    self.feed_message(PgWireBackendMessage::ParseComplete(complete));
                    Ok(())
                }
                PgWireFrontendMessage::Bind(_) => {
                    let complete = extendedquery::BindComplete::new();
                    self.feed_message(PgWireBackendMessage::BindComplete(complete));
                    Ok(())
                }
                PgWireFrontendMessage::Close(_) => {
                    let complete = extendedquery::CloseComplete::new();
                    self.feed_message(PgWireBackendMessage::CloseComplete(complete));
                    Ok(())
                }
                PgWireFrontendMessage::Describe(describe) => {
                    self.describe_local(batch, &describe);
                    Ok(())
                }
                PgWireFrontendMessage::Execute(_) => match executed.next() {
                    Some(statement) => self.execute_local(&statement.kind),
                    None => Ok(()),
                },
                PgWireFrontendMessage::Sync(_) => {
                    self.caller.feed(&local::ready_in(self.last_status));
                    Ok(())
                }
                _ => Ok(()),
            };
            if let Err(answer) = answered {
                return self.refuse(work, answer).await;
            }
        }
        self.caller.flush().await?;
        Ok(())
    }

    fn describe_local(&mut self, batch: &Batch, describe: &extendedquery::Describe) {
        let name = describe.name.as_deref().unwrap_or_default();
        let is_statement = describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT;
        let classes = match is_statement {
            true => self.statements.get(name).map(|known| &known.classes),
            false => batch.portal(name),
        };
        let shown = classes.and_then(|classes| shown_name(&classes.first()?.kind));
        let columns = match shown {
            Some(name) => local::columns(name),
            None => frame::backend(&PgWireBackendMessage::NoData(data::NoData::new())),
        };
        if is_statement {
            let none = data::ParameterDescription::new(Vec::new());
            self.feed_message(PgWireBackendMessage::ParameterDescription(none));
        }
        self.caller.feed(&columns);
    }

    fn execute_local(&mut self, kind: &class::Kind) -> Result<(), answer::Answer> {
        match self.run_local(kind)? {
            Some(value) => self.feed_all(&local::row(&value)),
            None => self.caller.feed(&local::complete(tag(kind))),
        }
        Ok(())
    }

    /// Runs a statement; returns the value that it shows, if it shows one.
    fn run_local(&mut self, kind: &class::Kind) -> Result<Option<Box<str>>, answer::Answer> {
        match kind {
            class::Kind::Set { name, value, .. } => self.set_local(name, value)?,
            class::Kind::Reset { name, .. } => {
                self.local.show(name)?;
                self.local.reset(name);
            }
            class::Kind::Show { name } => return self.local.show(name).map(Some),
            class::Kind::Deallocate { name: None } => self.statements.clear(),
            class::Kind::Deallocate { name: Some(name) } => self.deallocate(name)?,
            _ => {}
        }
        Ok(None)
    }

    fn deallocate(&mut self, name: &str) -> Result<(), answer::Answer> {
        match self.statements.remove(name) {
            true => Ok(()),
            false => Err(answer::Answer::error(
                answer::sqlstate::INVALID_SQL_STATEMENT_NAME,
                format!("prepared statement \"{name}\" does not exist"),
            )),
        }
    }

    fn feed_message(&mut self, message: PgWireBackendMessage) {
        self.caller.feed(&frame::backend(&message));
    }

    fn feed_all(&mut self, frames: &[frame::Frame]) {
        for frame in frames {
            self.caller.feed(frame);
        }
    }
}

fn shown_name(kind: &class::Kind) -> Option<&str> {
    match kind {
        class::Kind::Show { name } => Some(name),
        _ => None,
    }
}

fn tag(kind: &class::Kind) -> &'static str {
    match kind {
        class::Kind::Reset { .. } => "RESET",
        class::Kind::Deallocate { name: None } => "DEALLOCATE ALL",
        class::Kind::Deallocate { .. } => "DEALLOCATE",
        _ => "SET",
    }
}
