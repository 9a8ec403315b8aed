//! One caller's session: a thread that takes the caller's messages one by one.

use std::rc::Rc;
use std::sync;
use std::time::Instant;

use pgwire::messages::{PgWireFrontendMessage, copy, extendedquery, response, startup};
use tokio::sync::mpsc;

use crate::member::{
    connection, copy as copy_in, core, error, execute, log, named, output, query, settings, signal,
    statement, switches, transaction, types,
};

/// What a session is made of.
pub struct Parts {
    /// The member.
    pub core: sync::Arc<core::Core>,
    /// The switches.
    pub switches: sync::Arc<switches::Switches>,
    /// The caller's connection.
    pub link: sync::Arc<switches::Link>,
    /// The signals.
    pub signal: sync::Arc<signal::Signal>,
    /// The way to the caller.
    pub out: output::Output,
    /// The settings of the startup message.
    pub settings: settings::Settings,
    /// What the session tells of itself.
    pub identity: transaction::Identity,
    /// Whether the caller asked for a newer protocol version.
    pub negotiates: bool,
    /// The longest wait for the write lock.
    pub lock_wait: std::time::Duration,
}

/// A prepared statement.
pub struct Prepared {
    /// What it asks for.
    pub command: statement::Command,
    /// Its parameters' types.
    pub param_types: Vec<types::PgType>,
    /// Its result columns, once described.
    pub columns: std::cell::OnceCell<Vec<output::Column>>,
}

/// A statement with its parameters.
pub struct Portal {
    /// The statement.
    pub prepared: Rc<Prepared>,
    /// The values of its parameters.
    pub params: Vec<log::Value>,
    /// The forms of its result columns.
    pub formats: output::Formats,
    /// Its result columns, once described.
    pub columns: Option<Vec<output::Column>>,
    /// What is left of its rows, once it has run.
    pub rest: Option<Rest>,
}

/// Rows that a portal has not sent yet.
pub struct Rest {
    /// The rows.
    pub rows: std::collections::VecDeque<pgwire::messages::data::DataRow>,
    /// The tag of the whole command.
    pub tag: Box<str>,
}

/// A session.
pub struct Session {
    pub(super) core: sync::Arc<core::Core>,
    pub(super) switches: sync::Arc<switches::Switches>,
    pub(super) link: sync::Arc<switches::Link>,
    pub(super) signal: sync::Arc<signal::Signal>,
    pub(super) out: output::Output,
    pub(super) settings: settings::Settings,
    pub(super) transaction: transaction::Transaction,
    pub(super) statements: named::Named<Rc<Prepared>>,
    pub(super) portals: named::Named<Portal>,
    pub(super) copy: Option<copy_in::CopyIn>,
    pub(super) committed: Option<log::Head>,
    negotiates: bool,
    copy_is_simple: bool,
    skips_to_sync: bool,
}

impl Session {
    /// A session, with its own connection to the database.
    pub fn new(parts: Parts) -> rusqlite::Result<Self> {
        let transaction = transaction::Transaction::new(
            sync::Arc::clone(&parts.core),
            sync::Arc::clone(&parts.signal),
            parts.identity,
            parts.lock_wait,
        )?;
        Ok(Self {
            core: parts.core,
            switches: parts.switches,
            link: parts.link,
            signal: parts.signal,
            out: parts.out,
            settings: parts.settings,
            transaction,
            statements: named::Named::default(),
            portals: named::Named::default(),
            copy: None,
            committed: None,
            negotiates: parts.negotiates,
            copy_is_simple: false,
            skips_to_sync: false,
        })
    }

    /// Greets the caller and answers it until it leaves.
    pub fn run(mut self, mut inbox: mpsc::Receiver<connection::Event>) {
        self.greet();
        while let Some(event) = inbox.blocking_recv() {
            self.wait_thaw();
            self.transaction.notice_fence();
            if self.signal.is_stopped() {
                break;
            }
            let connection::Event::Message { due, message } = event else {
                continue;
            };
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.signal.start_request();
            let goes_on = self.handle(message);
            self.signal.end_request();
            if !goes_on || self.out.is_closed() {
                break;
            }
        }
    }

    pub(super) fn wait_thaw(&self) {
        loop {
            let left = self
                .switches
                .thaw()
                .saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left);
        }
    }

    fn greet(&mut self) {
        if self.negotiates {
            let newest = startup::Startup::PROTOCOL_VERSION_3_0;
            self.out
                .put(startup::NegotiateProtocolVersion::new(newest, Vec::new()));
        }
        self.out.put(startup::Authentication::Ok);
        self.report_settings();
        let key = self.signal.key();
        let secret = startup::SecretKey::I32(key.secret);
        self.out.put(startup::BackendKeyData::new(key.pid, secret));
        self.ready();
    }

    fn handle(&mut self, message: PgWireFrontendMessage) -> bool {
        match message {
            PgWireFrontendMessage::Terminate(_) => return false,
            PgWireFrontendMessage::CopyData(data) => self.copy_data(&data.data),
            PgWireFrontendMessage::CopyDone(_) => self.copy_done(),
            PgWireFrontendMessage::CopyFail(fail) => self.copy_fail(&fail),
            // A caller that copies rows in may send these ahead of the rows.
            PgWireFrontendMessage::Sync(_) | PgWireFrontendMessage::Flush(_)
                if self.copy.is_some() => {}
            PgWireFrontendMessage::Sync(_) => self.sync(),
            PgWireFrontendMessage::Query(query) => self.simple_query(&query.query),
            message => self.extended(message),
        }
        true
    }

    fn simple_query(&mut self, text: &str) {
        self.skips_to_sync = false;
        match self.run_simple(text) {
            Ok(true) => {
                self.copy_is_simple = true;
                self.out.flush();
                return;
            }
            Ok(false) => {}
            Err(error) => self.fail(&error),
        }
        self.ready();
    }

    /// Runs the statements of a simple query; true when the caller is to send rows first.
    fn run_simple(&mut self, text: &str) -> Result<bool, error::SqlError> {
        let commands = statement::parse(text)?;
        if commands.is_empty() {
            self.out.put(response::EmptyQueryResponse::new());
            return Ok(false);
        }
        let last = commands.len() - 1;
        for (place, command) in commands.iter().enumerate() {
            let wanted = query::Wanted {
                columns: None,
                formats: output::Formats::default(),
                limit: usize::MAX,
            };
            let outcome = self.execute(command, &[], &wanted)?;
            let execute::Outcome::Done { tag, .. } = outcome else {
                return Ok(true);
            };
            if place == last {
                self.end_implicit()?;
            }
            self.out.complete(&tag);
        }
        Ok(false)
    }

    fn extended(&mut self, message: PgWireFrontendMessage) {
        if self.skips_to_sync {
            return;
        }
        let done = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(&parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe),
            PgWireFrontendMessage::Execute(message) => self.execute_portal(&message),
            PgWireFrontendMessage::Close(close) => {
                self.close(&close);
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => {
                self.out.flush();
                Ok(())
            }
            _ => Err(error::SqlError::new(
                error::PROTOCOL_VIOLATION,
                "message out of place",
            )),
        };
        if let Err(error) = done {
            self.fail(&error);
            self.skips_to_sync = true;
        }
    }

    fn close(&mut self, close: &extendedquery::Close) {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == extendedquery::TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        self.out.put(extendedquery::CloseComplete::new());
    }

    fn sync(&mut self) {
        if !std::mem::take(&mut self.skips_to_sync)
            && let Err(error) = self.end_implicit()
        {
            self.fail(&error);
        }
        self.ready();
    }

    fn copy_data(&mut self, data: &[u8]) {
        let Some(copy) = &mut self.copy else {
            return;
        };
        if let Err(error) = copy.receive(data, &mut self.transaction) {
            self.abort_copy(&error);
        }
    }

    fn copy_done(&mut self) {
        let Some(copy) = self.copy.take() else {
            return;
        };
        let done = copy.finish(&mut self.transaction);
        let committed = done.and_then(|row_count| {
            if self.copy_is_simple {
                self.end_implicit()?;
            }
            Ok(row_count)
        });
        match committed {
            Ok(row_count) => self.out.complete(&format!("COPY {row_count}")),
            Err(error) => return self.abort_copy(&error),
        }
        if std::mem::take(&mut self.copy_is_simple) {
            self.ready();
        }
    }

    fn copy_fail(&mut self, fail: &copy::CopyFail) {
        if self.copy.is_some() {
            let message = format!("COPY from stdin failed: {}", fail.message);
            self.abort_copy(&error::SqlError::new(error::QUERY_CANCELED, message));
        }
    }

    fn abort_copy(&mut self, error: &error::SqlError) {
        self.copy = None;
        self.fail(error);
        if std::mem::take(&mut self.copy_is_simple) {
            self.ready();
        } else {
            self.skips_to_sync = true;
        }
    }

    /// Commits unless the caller opened a block.
    fn end_implicit(&mut self) -> Result<(), error::SqlError> {
        if self.transaction.block() != transaction::Block::None {
            return Ok(());
        }
        self.wait_thaw();
        self.committed = self.transaction.commit()?.or(self.committed);
        Ok(())
    }

    fn fail(&mut self, error: &error::SqlError) {
        // An interrupted statement looks cancelled whatever interrupted it; the signals know.
        let signalled = match error.code {
            error::QUERY_CANCELED => self.signal.check().err(),
            _ => None,
        };
        self.transaction.fail();
        self.out.error(signalled.as_ref().unwrap_or(error), "ERROR");
    }

    fn report_settings(&mut self) {
        for (name, value) in self.settings.take_changes() {
            self.out.parameter(name, &value);
        }
    }

    fn ready(&mut self) {
        if let Some(head) = self.committed.take() {
            if self.switches.take_lost_answer() {
                self.out.close();
                return;
            }
            let position = format!("{}:{}", head.term, head.position);
            self.out.parameter(POSITION_PARAMETER, &position);
        }
        self.report_settings();
        if self.transaction.block() == transaction::Block::None {
            self.portals.clear();
        }
        let status = self.transaction.status();
        self.out.put(response::ReadyForQuery::new(status));
        self.out.flush();
    }
}

const POSITION_PARAMETER: &str = "group_position";
