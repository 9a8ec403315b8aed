//! Transaction of a session: the caller's transaction block, and SQLite's write transaction.
//!
//! Each read statement sees the data committed when it starts. The first write takes the lock of the single writer and
//! starts a SQLite transaction, in which the session's later reads run as well.

use std::sync;
use std::time::{Duration, Instant};

use pgwire::messages::response;
use rusqlite::functions;

use crate::member::{core, database, error, log, signal, write_lock};

/// Transaction block of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Block {
    /// The caller has opened no block.
    None,
    /// The block is open.
    Open {
        /// Whether the block refuses writes.
        read_only: bool,
    },
    /// A statement of the block failed; the block accepts no further statements.
    Failed,
    /// A fence rolled back the writes of the block. The caller learns of it with its next statement.
    Fenced,
}

/// Values that the session's SQL functions `pg_backend_pid` and `inet_server_port` return.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// Process ID of the session.
    pub pid: i32,
    /// Port on which the member accepted the connection.
    pub port: u16,
}

struct WriteTransaction {
    term: log::Term,
    statements: Vec<log::LoggedStatement>,
    _guard: write_lock::WriteGuard,
}

/// Transaction of a session.
pub struct Transaction {
    core: sync::Arc<core::Core>,
    signal: sync::Arc<signal::Signal>,
    identity: Identity,
    lock_wait: Duration,
    block: Block,
    write: Option<WriteTransaction>,
    /// Whether a fence rolled back a write outside a transaction block, and the caller has not learned of it yet.
    implicit_write_fenced: bool,
    database: sync::Arc<database::Database>,
    connection: rusqlite::Connection,
}

impl Transaction {
    /// Creates an idle transaction.
    pub fn new(
        core: sync::Arc<core::Core>,
        signal: sync::Arc<signal::Signal>,
        identity: Identity,
        lock_wait: Duration,
    ) -> rusqlite::Result<Self> {
        let database = core.database();
        let connection = open_connection(&database, &signal, identity)?;
        Ok(Self {
            core,
            signal,
            identity,
            lock_wait,
            block: Block::None,
            write: None,
            implicit_write_fenced: false,
            database,
            connection,
        })
    }

    /// Returns the state of the transaction block.
    pub fn block(&self) -> Block {
        self.block
    }

    /// Returns the transaction status that the caller receives.
    pub fn status(&self) -> response::TransactionStatus {
        match self.block {
            Block::None => response::TransactionStatus::Idle,
            Block::Open { .. } | Block::Fenced => response::TransactionStatus::Transaction,
            Block::Failed => response::TransactionStatus::Error,
        }
    }

    /// Returns the connection for the next statement. Outside a write transaction, reconnects if the member has
    /// replaced its database.
    pub fn connection(&mut self) -> Result<&rusqlite::Connection, error::SqlError> {
        if self.write.is_none() {
            let current = self.core.database();
            if !sync::Arc::ptr_eq(&current, &self.database) {
                self.connection = open_connection(&current, &self.signal, self.identity)?;
                self.database = current;
            }
        }
        Ok(&self.connection)
    }

    /// Returns an error if the transaction block accepts no statements.
    pub fn check_accepts_statements(&mut self) -> Result<(), error::SqlError> {
        if self.implicit_write_fenced {
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

    /// Opens a transaction block.
    pub fn begin(&mut self, read_only: bool) {
        self.block = Block::Open { read_only };
    }

    /// Returns whether the session can write: the member is the primary, or a write transaction is open.
    pub fn is_writable(&self) -> bool {
        self.write.is_some() || self.core.writable_term().is_ok()
    }

    /// Starts a write transaction, unless one is open. Returns an error if the member is not the primary, if the block
    /// is read-only, or if the write lock does not become free in time.
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
        self.signal.set_write_term(Some(term));
        self.write = Some(WriteTransaction {
            term,
            statements: Vec::new(),
            _guard: guard,
        });
        Ok(())
    }

    /// Returns an error unless a write transaction is open and can still commit.
    pub fn check_can_commit(&self) -> Result<(), error::SqlError> {
        match &self.write {
            Some(write) => self.core.check_writable(write.term),
            None => Err(error::SqlError::read_only()),
        }
    }

    /// Adds a write statement to the entry that the commit appends to the log.
    pub fn log_statement(&mut self, statement: log::LoggedStatement) {
        if let Some(write) = &mut self.write {
            write.statements.push(statement);
        }
    }

    /// Ends the transaction block and commits. Returns the point of the new log entry, if there is one.
    pub fn commit(&mut self) -> Result<Option<log::Head>, error::SqlError> {
        let block = std::mem::replace(&mut self.block, Block::None);
        if block == Block::Fenced || std::mem::take(&mut self.implicit_write_fenced) {
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

    /// Ends the transaction block and rolls back.
    pub fn rollback(&mut self) {
        self.implicit_write_fenced = false;
        self.rollback_write();
        self.block = Block::None;
    }

    /// Rolls back after an error. An open transaction block becomes a failed one.
    pub fn roll_back_after_error(&mut self) {
        self.implicit_write_fenced = false;
        self.rollback_write();
        if self.block != Block::None {
            self.block = Block::Failed;
        }
    }

    /// Rolls back the write transaction if a fence has made its commit impossible.
    pub fn roll_back_if_fenced(&mut self) {
        let Some(write) = &self.write else {
            return;
        };
        if self.core.check_writable(write.term).is_ok() {
            return;
        }
        self.rollback_write();
        match self.block {
            Block::Open { .. } => self.block = Block::Fenced,
            _ => self.implicit_write_fenced = true,
        }
    }

    fn rollback_write(&mut self) {
        if self.write.is_none() {
            return;
        }
        if !self.connection.is_autocommit()
            && let Err(cause) = self.connection.execute_batch("ROLLBACK")
        {
            ::log::error!("cannot roll back a write transaction: {cause}");
        }
        self.end_write();
    }

    fn end_write(&mut self) {
        self.signal.set_write_term(None);
        self.write = None;
    }
}

fn open_connection(
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
