//! The transaction of a session: its block, and the write transaction beneath.
//!
//! Reads see what is committed when they start, statement by statement. The first write takes the lock of the
//! single writer and starts SQLite's transaction, in which later reads of the session run as well.

use std::sync;
use std::time::{Duration, Instant};

use pgwire::messages::response;
use rusqlite::functions;

use crate::member::{core, database, error, log, signal, write_lock};

/// The transaction block that the caller opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Block {
    /// None.
    None,
    /// An open one.
    Open {
        /// Whether it refuses writes.
        read_only: bool,
    },
    /// One that failed.
    Failed,
    /// One whose writes a fence rolled back, which the caller does not know yet.
    Fenced,
}

/// What a session tells of itself.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// The process id that it reports.
    pub pid: i32,
    /// The port at which its caller reached the member.
    pub port: u16,
}

struct Write {
    term: log::Term,
    statements: Vec<log::LoggedStatement>,
    _guard: write_lock::WriteGuard,
}

/// The transaction of a session.
pub struct Transaction {
    core: sync::Arc<core::Core>,
    signal: sync::Arc<signal::Signal>,
    identity: Identity,
    lock_wait: Duration,
    block: Block,
    write: Option<Write>,
    lost_write: bool,
    database: sync::Arc<database::Database>,
    connection: rusqlite::Connection,
}

impl Transaction {
    /// A session's transaction, which is idle.
    pub fn new(
        core: sync::Arc<core::Core>,
        signal: sync::Arc<signal::Signal>,
        identity: Identity,
        lock_wait: Duration,
    ) -> rusqlite::Result<Self> {
        let database = core.database();
        let connection = open(&database, &signal, identity)?;
        Ok(Self {
            core,
            signal,
            identity,
            lock_wait,
            block: Block::None,
            write: None,
            lost_write: false,
            database,
            connection,
        })
    }

    /// The block.
    pub fn block(&self) -> Block {
        self.block
    }

    /// The state that the caller is told.
    pub fn status(&self) -> response::TransactionStatus {
        match self.block {
            Block::None => response::TransactionStatus::Idle,
            Block::Open { .. } | Block::Fenced => response::TransactionStatus::Transaction,
            Block::Failed => response::TransactionStatus::Error,
        }
    }

    /// The connection for the next statement.
    pub fn connection(&mut self) -> Result<&rusqlite::Connection, error::SqlError> {
        if self.write.is_none() {
            let current = self.core.database();
            if !sync::Arc::ptr_eq(&current, &self.database) {
                self.connection = open(&current, &self.signal, self.identity)?;
                self.database = current;
            }
        }
        Ok(&self.connection)
    }

    /// An error when the block takes no statements.
    pub fn check_block(&mut self) -> Result<(), error::SqlError> {
        if self.lost_write {
            return Err(error::SqlError::read_only());
        }
        match self.block {
            Block::None | Block::Open { .. } => Ok(()),
            Block::Failed => {
                let message = "current transaction is aborted, commands ignored until end of block";
                Err(error::SqlError::new(error::FAILED_TRANSACTION, message))
            }
            Block::Fenced => Err(error::SqlError::read_only()),
        }
    }

    /// Opens a block.
    pub fn begin(&mut self, read_only: bool) {
        self.block = Block::Open { read_only };
    }

    /// Whether the member takes writes.
    pub fn is_writable(&self) -> bool {
        self.write.is_some() || self.core.writable_term().is_ok()
    }

    /// Starts to write, unless the transaction already does.
    pub fn start_write(&mut self) -> Result<(), error::SqlError> {
        if self.block == (Block::Open { read_only: true }) {
            let message = "cannot write in a read-only transaction";
            return Err(error::SqlError::new(error::READ_ONLY, message));
        }
        if let Some(write) = &self.write {
            return self.core.check_writable(write.term);
        }
        let term = self.core.writable_term()?;
        let deadline = Instant::now() + self.lock_wait;
        let lock = sync::Arc::clone(self.core.write_lock());
        let guard = lock.acquire(deadline, &self.signal)?;
        self.core.check_writable(term)?;
        self.connection()?.execute_batch("BEGIN IMMEDIATE")?;
        self.signal.set_writes_in(Some(term));
        self.write = Some(Write {
            term,
            statements: Vec::new(),
            _guard: guard,
        });
        Ok(())
    }

    /// An error unless the transaction writes and can still commit.
    pub fn check_write(&self) -> Result<(), error::SqlError> {
        match &self.write {
            Some(write) => self.core.check_writable(write.term),
            None => Err(error::SqlError::read_only()),
        }
    }

    /// Adds a statement that wrote to what a commit logs.
    pub fn log(&mut self, statement: log::LoggedStatement) {
        if let Some(write) = &mut self.write {
            write.statements.push(statement);
        }
    }

    /// Ends the block and commits; the log entry is returned when there is one.
    pub fn commit(&mut self) -> Result<Option<log::Head>, error::SqlError> {
        let block = std::mem::replace(&mut self.block, Block::None);
        if block == Block::Fenced || std::mem::take(&mut self.lost_write) {
            return Err(error::SqlError::read_only());
        }
        let Some(write) = &mut self.write else {
            return Ok(None);
        };
        let statements = std::mem::take(&mut write.statements);
        let committed = self.core.commit(write.term, &self.connection, statements);
        if committed.is_err() {
            self.rollback_write();
        }
        self.end_write();
        committed
    }

    /// Ends the block and rolls back.
    pub fn rollback(&mut self) {
        self.lost_write = false;
        self.rollback_write();
        self.block = Block::None;
    }

    /// Rolls back after an error; an open block stays as a failed one.
    pub fn fail(&mut self) {
        self.lost_write = false;
        self.rollback_write();
        if self.block != Block::None {
            self.block = Block::Failed;
        }
    }

    /// Rolls back writes that a fence has made impossible to commit.
    pub fn notice_fence(&mut self) {
        let Some(write) = &self.write else {
            return;
        };
        if self.core.check_writable(write.term).is_ok() {
            return;
        }
        self.rollback_write();
        match self.block {
            Block::Open { .. } => self.block = Block::Fenced,
            _ => self.lost_write = true,
        }
    }

    fn rollback_write(&mut self) {
        if self.write.is_none() {
            return;
        }
        if !self.connection.is_autocommit()
            && let Err(cause) = self.connection.execute_batch("ROLLBACK")
        {
            ::log::error!("rollback failed: {cause}");
        }
        self.end_write();
    }

    fn end_write(&mut self) {
        self.signal.set_writes_in(None);
        self.write = None;
    }
}

fn open(
    database: &database::Database,
    signal: &signal::Signal,
    identity: Identity,
) -> rusqlite::Result<rusqlite::Connection> {
    let connection = database.open()?;
    signal.set_interrupt(connection.get_interrupt_handle());
    let flags = functions::FunctionFlags::SQLITE_UTF8;
    connection.create_scalar_function("pg_backend_pid", 0, flags, move |_| Ok(identity.pid))?;
    connection.create_scalar_function("inet_server_port", 0, flags, move |_| Ok(identity.port))?;
    Ok(connection)
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.rollback_write();
    }
}
