//! Runs one command of a session.

use std::collections::VecDeque;
use std::time::Instant;

use pgwire::messages::data;

use crate::member::{
    copy, core, error, log, output, query, session::Session, statement, switches, transaction,
    types,
};

/// Result of a command.
#[derive(Debug)]
pub enum Outcome {
    /// The command has finished.
    Done {
        /// Command tag.
        tag: Box<str>,
        /// Rows beyond the limit of the request.
        unsent_rows: VecDeque<data::DataRow>,
    },
    /// The caller must send COPY data.
    CopyIn,
}

impl Outcome {
    fn done(tag: impl Into<Box<str>>) -> Self {
        Self::Done {
            tag: tag.into(),
            unsent_rows: VecDeque::new(),
        }
    }
}

/// Returns the result columns of a command that the member runs without SQLite.
pub fn fixed_columns(command: &statement::Command) -> Vec<output::Column> {
    let names: &[&str] = match command {
        statement::Command::GroupStatus { .. }
        | statement::Command::GroupFence { .. }
        | statement::Command::GroupPromote { .. } => &STATUS_COLUMNS,
        statement::Command::Show(name) => &[name],
        statement::Command::Switch { .. } => &["member_switch"],
        statement::Command::Sleep(_) => &["pg_sleep"],
        _ => &[],
    };
    let column = |name: &&str| output::Column {
        name: (*name).into(),
        kind: Some(types::PgType::Text),
    };
    names.iter().map(column).collect()
}

impl Session {
    pub(super) fn execute(
        &mut self,
        command: &statement::Command,
        params: &[log::Value],
        row_request: &query::RowRequest,
    ) -> Result<Outcome, error::SqlError> {
        self.wait_while_frozen();
        self.transaction.roll_back_if_fenced();
        self.check_transaction_accepts(command)?;
        let columns = fixed_columns(command);
        match command {
            statement::Command::Sql(sql) => return self.execute_sql(sql, params, row_request),
            statement::Command::CopyIn { table, columns } => return self.copy_in(table, columns),
            statement::Command::CopyOut(sql) => return self.copy_out(sql),
            command if columns.is_empty() => return self.execute_utility(command),
            _ => {}
        }
        let fields = self.execute_row(command)?;
        if row_request.columns.is_none() {
            self.out.put_row_description(&columns, &row_request.formats);
        }
        let fields: Vec<&str> = fields.iter().map(|field| &**field).collect();
        self.out.put_text_row(&fields);
        Ok(Outcome::done(match command {
            statement::Command::Show(_) => "SHOW",
            _ => "SELECT 1",
        }))
    }

    fn check_transaction_accepts(
        &mut self,
        command: &statement::Command,
    ) -> Result<(), error::SqlError> {
        match command {
            statement::Command::GroupStatus { .. }
            | statement::Command::GroupFence { .. }
            | statement::Command::GroupPromote { .. }
            | statement::Command::Commit
            | statement::Command::Rollback => Ok(()),
            _ => self.transaction.check_accepts_statements(),
        }
    }

    /// Runs a command that returns one row.
    fn execute_row(
        &mut self,
        command: &statement::Command,
    ) -> Result<Vec<Box<str>>, error::SqlError> {
        let status = match command {
            statement::Command::GroupStatus { min_position, wait } => {
                let deadline = Instant::now() + *wait;
                self.core
                    .wait_status(*min_position, deadline, &self.signal)?
            }
            statement::Command::GroupFence { term, claimant } => self.core.fence(*term, claimant),
            statement::Command::GroupPromote { term, claimant } => {
                self.core.promote(*term, claimant)
            }
            statement::Command::Show(name) => return self.show(name),
            statement::Command::Switch { name, value } => return self.switch(name, value),
            statement::Command::Sleep(duration) => {
                self.signal.sleep_until(Instant::now() + *duration)?;
                return Ok(vec![Box::default()]);
            }
            _ => return Ok(Vec::new()),
        };
        Ok(status_fields(&status))
    }

    fn show(&self, name: &str) -> Result<Vec<Box<str>>, error::SqlError> {
        if name.eq_ignore_ascii_case(READ_ONLY_SETTING) {
            let value = if self.transaction.is_writable() {
                "off"
            } else {
                "on"
            };
            return Ok(vec![value.into()]);
        }
        Ok(vec![self.settings.show(name)?])
    }

    fn switch(&mut self, name: &str, value: &str) -> Result<Vec<Box<str>>, error::SqlError> {
        let switch = switches::Switch::parse(name, value).map_err(|cause| {
            error::SqlError::new(error::INVALID_PARAMETER_VALUE, cause.to_string())
        })?;
        self.link.exempt();
        self.switches.set(switch);
        Ok(vec![value.into()])
    }

    /// Runs a command that returns no rows.
    fn execute_utility(
        &mut self,
        command: &statement::Command,
    ) -> Result<Outcome, error::SqlError> {
        let tag = match command {
            statement::Command::Begin { read_only } => {
                self.transaction.begin(*read_only);
                self.settings.begin_transaction();
                "BEGIN"
            }
            statement::Command::Commit => return self.commit(),
            statement::Command::Rollback => {
                self.transaction.rollback();
                self.settings.end_transaction(false);
                "ROLLBACK"
            }
            statement::Command::Set { name, value, local } => {
                self.settings.set(name, value.clone(), *local);
                "SET"
            }
            statement::Command::Reset(name) => {
                self.settings.reset(name.as_deref());
                "RESET"
            }
            statement::Command::Discard => {
                self.settings.reset(None);
                self.statements.clear();
                self.portals.clear();
                "DISCARD ALL"
            }
            statement::Command::Deallocate(name) => {
                match name {
                    Some(name) => drop(self.statements.remove(name)),
                    None => self.statements.clear(),
                }
                "DEALLOCATE"
            }
            statement::Command::Ignored(tag) => tag,
            _ => "",
        };
        Ok(Outcome::done(tag))
    }

    fn commit(&mut self) -> Result<Outcome, error::SqlError> {
        if self.transaction.block() == transaction::Block::Failed {
            self.transaction.rollback();
            self.settings.end_transaction(false);
            return Ok(Outcome::done("ROLLBACK"));
        }
        self.wait_while_frozen();
        let committed = self.transaction.commit();
        self.settings.end_transaction(committed.is_ok());
        self.committed = committed?.or(self.committed);
        Ok(Outcome::done("COMMIT"))
    }

    fn execute_sql(
        &mut self,
        sql: &statement::Sql,
        params: &[log::Value],
        row_request: &query::RowRequest,
    ) -> Result<Outcome, error::SqlError> {
        if SAVEPOINT_TAGS.contains(&&*sql.tag) {
            return self.savepoint(sql);
        }
        let connection = self.transaction.connection()?;
        let writes = !connection.prepare_cached(&sql.text)?.readonly();
        if writes || sql.locks_rows {
            self.transaction.start_write()?;
        }
        let connection = self.transaction.connection()?;
        let run_result = query::run(connection, sql, params, row_request, &mut self.out)?;
        let changed_rows = connection.changes() as usize;
        if writes {
            self.transaction.log_statement(log::LoggedStatement {
                sql: sql.text.clone(),
                params: params.to_vec(),
            });
        }
        let row_count = if run_result.has_columns {
            run_result.row_count + run_result.unsent_rows.len()
        } else {
            changed_rows
        };
        Ok(Outcome::Done {
            tag: command_tag(&sql.tag, row_count),
            unsent_rows: run_result.unsent_rows,
        })
    }

    /// Sets, releases or rolls back to a savepoint. Has no effect if the session cannot write, because then there are
    /// no writes to roll back.
    fn savepoint(&mut self, sql: &statement::Sql) -> Result<Outcome, error::SqlError> {
        if self.transaction.block() == transaction::Block::None {
            let message = "savepoints can only be used in transaction blocks";
            return Err(error::SqlError::new("25P01", message));
        }
        if self.transaction.is_writable() {
            self.transaction.start_write()?;
            let connection = self.transaction.connection()?;
            connection.execute_batch(&sql.text)?;
            self.transaction.log_statement(log::LoggedStatement {
                sql: sql.text.clone(),
                params: Vec::new(),
            });
        }
        Ok(Outcome::done(sql.tag.clone()))
    }

    fn copy_in(&mut self, table: &str, columns: &[Box<str>]) -> Result<Outcome, error::SqlError> {
        self.transaction.start_write()?;
        let connection = self.transaction.connection()?;
        let copy = copy::CopyIn::start(connection, table, columns)?;
        self.out.put(copy.response());
        self.copy = Some(copy);
        Ok(Outcome::CopyIn)
    }

    fn copy_out(&mut self, sql: &statement::Sql) -> Result<Outcome, error::SqlError> {
        let connection = self.transaction.connection()?;
        let row_count = copy::send_rows(connection, sql, &mut self.out)?;
        Ok(Outcome::done(format!("COPY {row_count}")))
    }
}

fn command_tag(word: &str, row_count: usize) -> Box<str> {
    match word {
        "INSERT" => format!("INSERT 0 {row_count}").into(),
        "SELECT" | "UPDATE" | "DELETE" => format!("{word} {row_count}").into(),
        _ => word.into(),
    }
}

fn status_fields(status: &core::Status) -> Vec<Box<str>> {
    let role = match status.role {
        core::Role::Primary => "primary",
        core::Role::Replica => "replica",
    };
    vec![
        status.term.to_string().into(),
        status.claimant.clone(),
        role.into(),
        status.head.term.to_string().into(),
        status.head.position.to_string().into(),
        status.term_start.to_string().into(),
        status.connections_used.to_string().into(),
        status.connections_max.to_string().into(),
        status.upstream_silence.as_millis().to_string().into(),
    ]
}

const READ_ONLY_SETTING: &str = "transaction_read_only";
const SAVEPOINT_TAGS: [&str; 3] = ["SAVEPOINT", "RELEASE", "ROLLBACK"];
const STATUS_COLUMNS: [&str; 9] = [
    "term",
    "claimant",
    "role",
    "last_term",
    "position",
    "term_start",
    "connections_used",
    "connections_max",
    "upstream_silence_ms",
];
