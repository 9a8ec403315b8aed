//! Runs the statements that the proxy answers itself.

use fulmarlift_wire::{answer, class, frame};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage, data, extendedquery};

use crate::caller::batch::Batch;
use crate::caller::proxy_answers;
use crate::caller::session::{ClientRequest, Error, Session};

impl Session<'_> {
    pub(super) async fn answer_proxy_statements(
        &mut self,
        client_request: &ClientRequest,
        classes: &[class::Statement],
    ) -> Result<(), Error> {
        for statement in classes {
            match self.run_proxy_statement(&statement.kind) {
                Ok(Some(value)) => {
                    let name = shown_name(&statement.kind).unwrap_or_default();
                    self.caller.feed(&proxy_answers::columns(name));
                    self.feed_all(&proxy_answers::row(&value));
                }
                Ok(None) => self
                    .caller
                    .feed(&proxy_answers::complete(tag(&statement.kind))),
                Err(answer) => return self.refuse(client_request, answer).await,
            }
        }
        self.caller
            .send(&proxy_answers::ready_for_query(self.transaction_status))
            .await?;
        Ok(())
    }

    pub(super) async fn answer_proxy_batch(
        &mut self,
        client_request: &ClientRequest,
    ) -> Result<(), Error> {
        let ClientRequest::Batch(batch) = client_request else {
            return Ok(());
        };
        let mut executed = batch.executed_classes.iter();
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
                    self.describe_proxy_statement(batch, &describe);
                    Ok(())
                }
                PgWireFrontendMessage::Execute(_) => match executed.next() {
                    Some(statement) => self.execute_proxy_statement(&statement.kind),
                    None => Ok(()),
                },
                PgWireFrontendMessage::Sync(_) => {
                    self.caller
                        .feed(&proxy_answers::ready_for_query(self.transaction_status));
                    Ok(())
                }
                _ => Ok(()),
            };
            if let Err(answer) = answered {
                return self.refuse(client_request, answer).await;
            }
        }
        self.caller.flush().await?;
        Ok(())
    }

    fn describe_proxy_statement(&mut self, batch: &Batch, describe: &extendedquery::Describe) {
        let name = describe.name.as_deref().unwrap_or_default();
        let is_statement = describe.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT;
        let classes = match is_statement {
            true => self.statements.get(name).map(|known| &known.classes),
            false => batch.portal(name),
        };
        let shown = classes.and_then(|classes| shown_name(&classes.first()?.kind));
        let columns = match shown {
            Some(name) => proxy_answers::columns(name),
            None => frame::encode_backend(&PgWireBackendMessage::NoData(data::NoData::new())),
        };
        if is_statement {
            let none = data::ParameterDescription::new(Vec::new());
            self.feed_message(PgWireBackendMessage::ParameterDescription(none));
        }
        self.caller.feed(&columns);
    }

    fn execute_proxy_statement(&mut self, kind: &class::Kind) -> Result<(), answer::Answer> {
        match self.run_proxy_statement(kind)? {
            Some(value) => self.feed_all(&proxy_answers::row(&value)),
            None => self.caller.feed(&proxy_answers::complete(tag(kind))),
        }
        Ok(())
    }

    /// Runs a statement; returns the value of the setting if the statement is a SHOW.
    fn run_proxy_statement(
        &mut self,
        kind: &class::Kind,
    ) -> Result<Option<Box<str>>, answer::Answer> {
        match kind {
            class::Kind::Set { name, value, .. } => self.set_proxy_setting(name, value)?,
            class::Kind::Reset { name, .. } => {
                self.proxy_settings.show(name)?;
                self.proxy_settings.reset(name);
            }
            class::Kind::Show { name } => return self.proxy_settings.show(name).map(Some),
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
        self.caller.feed(&frame::encode_backend(&message));
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
