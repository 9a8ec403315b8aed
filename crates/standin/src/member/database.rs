//! SQLite database of a member.

use std::time::Duration;

use rusqlite::functions;

use crate::member::log;

const BUSY_TIMEOUT: Duration = Duration::from_secs(5);
const FILE_NAME: &str = "member.db";
const STATEMENT_CACHE_CAPACITY: usize = 64;

/// Database in a temporary directory, which is deleted when this value is dropped.
#[derive(Debug)]
pub struct Database {
    directory: tempfile::TempDir,
}

impl Database {
    /// Creates an empty database.
    pub fn create() -> std::io::Result<Self> {
        let directory = tempfile::tempdir()?;
        Ok(Self { directory })
    }

    /// Opens a connection. Its reads see committed data only, even while another connection writes.
    pub fn open(&self) -> rusqlite::Result<rusqlite::Connection> {
        let connection = rusqlite::Connection::open(self.directory.path().join(FILE_NAME))?;
        connection.busy_timeout(BUSY_TIMEOUT)?;
        connection.pragma_update(None, "journal_mode", "wal")?;
        connection.pragma_update(None, "synchronous", "off")?;
        connection.pragma_update(None, "foreign_keys", "on")?;
        connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE_CAPACITY);
        add_functions(&connection)?;
        Ok(connection)
    }
}

/// Runs the statements of a log entry in the open transaction of the connection.
pub fn replay(
    connection: &rusqlite::Connection,
    statements: &[log::LoggedStatement],
) -> rusqlite::Result<()> {
    for statement in statements {
        let mut prepared = connection.prepare_cached(&statement.sql)?;
        let mut rows = prepared.query(rusqlite::params_from_iter(&statement.params))?;
        while rows.next()?.is_some() {}
    }
    Ok(())
}

fn add_functions(connection: &rusqlite::Connection) -> rusqlite::Result<()> {
    let flags =
        functions::FunctionFlags::SQLITE_UTF8 | functions::FunctionFlags::SQLITE_DETERMINISTIC;
    connection.create_scalar_function("version", 0, flags, |_| Ok("PostgreSQL 16.0 (stand-in)"))?;
    connection.create_scalar_function("current_database", 0, flags, |_| Ok("main"))?;
    connection.create_scalar_function("repeat", 2, flags, |context| {
        let text: String = context.get(0)?;
        let times: i64 = context.get(1)?;
        Ok(text.repeat(usize::try_from(times).unwrap_or(0)))
    })
}
