//! Session of a caller: a thread that processes the caller's messages in order.

use std::rc::Rc;
use std::sync;
use std::time::Instant;

use pgwire::messages::{PgWireFrontendMessage, copy, extendedquery, response, startup};
use tokio::sync::mpsc;

use crate::member::{
    connection, copy as copy_in, core, error, execute, log, name_map, output, query, settings,
    signal, statement, switches, transaction, types,
};

/// Inputs from which a session is created.
pub struct Parts {
    /// State of the member.
    pub core: sync::Arc<core::Core>,
    /// Switches of the member.
    pub switches: sync::Arc<switches::Switches>,
    /// Effect of the switches on the caller's connection.
    pub link: sync::Arc<switches::Link>,
    /// Signals of other threads to the session.
    pub signal: sync::Arc<signal::Signal>,
    /// Buffered messages to the caller.
    pub out: output::Output,
    /// Settings, with the values of the startup message.
    pub settings: settings::Settings,
    /// Process ID and port that the session's SQL functions return.
    pub identity: transaction::Identity,
    /// Whether the caller requested a protocol version newer than 3.0.
    pub wants_newer_protocol: bool,
    /// Longest wait of a transaction for the write lock.
    pub lock_wait: std::time::Duration,
}

/// Prepared statement.
pub struct PreparedStatement {
    /// Command that the statement stands for.
    pub command: statement::Command,
    /// Types of the statement's parameters.
    pub param_types: Vec<types::PgType>,
    /// Result columns, once a Describe message has determined them.
    pub columns: std::cell::OnceCell<Vec<output::Column>>,
}

/// Prepared statement with bound parameters.
pub struct Portal {
    /// The prepared statement.
    pub prepared: Rc<PreparedStatement>,
    /// Values of the parameters.
    pub params: Vec<log::Value>,
    /// Format codes of the result columns.
    pub formats: output::Formats,
    /// Result columns, if a Describe message has determined them.
    pub columns: Option<Vec<output::Column>>,
    /// Rows that remain to be sent, once the statement has run.
    pub pending: Option<PendingRows>,
}

/// Rows of a portal that remain to be sent.
pub struct PendingRows {
    /// The rows, in order.
    pub rows: std::collections::VecDeque<pgwire::messages::data::DataRow>,
    /// Command tag of the whole result.
    pub tag: Box<str>,
}

/// Session of a caller.
pub struct Session {
    pub(super) core: sync::Arc<core::Core>,
    pub(super) switches: sync::Arc<switches::Switches>,
    pub(super) link: sync::Arc<switches::Link>,
    pub(super) signal: sync::Arc<signal::Signal>,
    pub(super) out: output::Output,
    pub(super) settings: settings::Settings,
    pub(super) transaction: transaction::Transaction,
    pub(super) statements: name_map::NameMap<Rc<PreparedStatement>>,
    pub(super) portals: name_map::NameMap<Portal>,
    pub(super) copy: Option<copy_in::CopyIn>,
    /// Log entry of the last commit, until the caller is told of it before the next ReadyForQuery.
    pub(super) committed: Option<log::Head>,
    wants_newer_protocol: bool,
    /// Whether the COPY FROM STDIN in progress was requested by a simple query.
    copy_in_simple_query: bool,
    /// Whether messages of the extended protocol are ignored up to the next Sync, because one of them failed.
    skip_until_sync: bool,
}

impl Session {
    /// Creates a session with its own connection to the database.
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
            statements: name_map::NameMap::default(),
            portals: name_map::NameMap::default(),
            copy: None,
            committed: None,
            wants_newer_protocol: parts.wants_newer_protocol,
            copy_in_simple_query: false,
            skip_until_sync: false,
        })
    }

    /// Sends the startup messages, then processes the caller's messages until either side ends the session.
    pub fn run(mut self, mut inbox: mpsc::Receiver<connection::Event>) {
        self.send_session_start();
        while let Some(event) = inbox.blocking_recv() {
            self.wait_while_frozen();
            self.transaction.roll_back_if_fenced();
            if self.signal.is_stopped() {
                break;
            }
            let connection::Event::Message { due, message } = event else {
                continue;
            };
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            self.signal.start_request();
            let continues = self.handle_message(message);
            self.signal.end_request();
            if !continues || self.out.is_closed() {
                break;
            }
        }
    }

    pub(super) fn wait_while_frozen(&self) {
        loop {
            let remaining = self
                .switches
                .frozen_until()
                .saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            std::thread::sleep(remaining);
        }
    }

    fn send_session_start(&mut self) {
        if self.wants_newer_protocol {
            let newest = startup::Startup::PROTOCOL_VERSION_3_0;
            self.out
                .put(startup::NegotiateProtocolVersion::new(newest, Vec::new()));
        }
        self.out.put(startup::Authentication::Ok);
        self.report_settings();
        let key = self.signal.key();
        let secret = startup::SecretKey::I32(key.secret);
        self.out.put(startup::BackendKeyData::new(key.pid, secret));
        self.send_ready();
    }

    fn handle_message(&mut self, message: PgWireFrontendMessage) -> bool {
        match message {
            PgWireFrontendMessage::Terminate(_) => return false,
            PgWireFrontendMessage::CopyData(data) => self.copy_data(&data.data),
            PgWireFrontendMessage::CopyDone(_) => self.copy_done(),
            PgWireFrontendMessage::CopyFail(fail) => self.copy_fail(&fail),
            // During COPY FROM STDIN, a caller may send these messages before the rows.
            PgWireFrontendMessage::Sync(_) | PgWireFrontendMessage::Flush(_)
                if self.copy.is_some() => {}
            PgWireFrontendMessage::Sync(_) => self.sync(),
            PgWireFrontendMessage::Query(query) => self.simple_query(&query.query),
            message => self.handle_extended(message),
        }
        true
    }

    fn simple_query(&mut self, text: &str) {
        self.skip_until_sync = false;
        match self.run_simple(text) {
            Ok(true) => {
                self.copy_in_simple_query = true;
                self.out.flush();
                return;
            }
            Ok(false) => {}
            Err(error) => self.handle_error(&error),
        }
        self.send_ready();
    }

    /// Runs the statements of a simple query. Returns true if the caller must send COPY data next; further statements
    /// of the query are ignored then.
    fn run_simple(&mut self, text: &str) -> Result<bool, error::SqlError> {
        let commands = statement::parse(text)?;
        if commands.is_empty() {
            self.out.put(response::EmptyQueryResponse::new());
            return Ok(false);
        }
        let last = commands.len() - 1;
        for (index, command) in commands.iter().enumerate() {
            let row_request = query::RowRequest {
                columns: None,
                formats: output::Formats::default(),
                limit: usize::MAX,
            };
            let outcome = self.execute(command, &[], &row_request)?;
            let execute::Outcome::Done { tag, .. } = outcome else {
                return Ok(true);
            };
            if index == last {
                self.commit_implicit()?;
            }
            self.out.put_command_complete(&tag);
        }
        Ok(false)
    }

    fn handle_extended(&mut self, message: PgWireFrontendMessage) {
        if self.skip_until_sync {
            return;
        }
        let result = match message {
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
        if let Err(error) = result {
            self.handle_error(&error);
            self.skip_until_sync = true;
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
        if !std::mem::take(&mut self.skip_until_sync)
            && let Err(error) = self.commit_implicit()
        {
            self.handle_error(&error);
        }
        self.send_ready();
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
        let row_count = copy.finish(&mut self.transaction);
        let committed = row_count.and_then(|row_count| {
            if self.copy_in_simple_query {
                self.commit_implicit()?;
            }
            Ok(row_count)
        });
        match committed {
            Ok(row_count) => self.out.put_command_complete(&format!("COPY {row_count}")),
            Err(error) => return self.abort_copy(&error),
        }
        if std::mem::take(&mut self.copy_in_simple_query) {
            self.send_ready();
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
        self.handle_error(error);
        if std::mem::take(&mut self.copy_in_simple_query) {
            self.send_ready();
        } else {
            self.skip_until_sync = true;
        }
    }

    /// Commits the implicit transaction, unless the caller has opened a transaction block.
    fn commit_implicit(&mut self) -> Result<(), error::SqlError> {
        if self.transaction.block() != transaction::Block::None {
            return Ok(());
        }
        self.wait_while_frozen();
        self.committed = self.transaction.commit()?.or(self.committed);
        Ok(())
    }

    /// Rolls back the transaction and sends the error to the caller.
    fn handle_error(&mut self, error: &error::SqlError) {
        // SQLite reports each interrupted statement as cancelled. The signals tell whether a cancel request, a fence or
        // a stop interrupted it.
        let signal_error = match error.code {
            error::QUERY_CANCELED => self.signal.check().err(),
            _ => None,
        };
        self.transaction.roll_back_after_error();
        self.out
            .put_error(signal_error.as_ref().unwrap_or(error), "ERROR");
    }

    fn report_settings(&mut self) {
        for (name, value) in self.settings.drain_changes() {
            self.out.put_parameter_status(name, &value);
        }
    }

    fn send_ready(&mut self) {
        if let Some(head) = self.committed.take() {
            if self.switches.consume_lost_answer() {
                self.out.close();
                return;
            }
            let position = format!("{}:{}", head.term, head.position);
            self.out.put_parameter_status(POSITION_PARAMETER, &position);
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
