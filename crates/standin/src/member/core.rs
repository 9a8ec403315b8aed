//! The state of a member: its term, role and log. Fences, promotions and commits are decided under one lock.

use std::sync;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::member::{database, error, log, registry, signal, statement, write_lock};

const FIRST_TERM: log::Term = 1;
const NO_PANIC: &str = "no holder of the member's state panics";
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a member is in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It applies the primary's writes.
    Replica,
}

/// A member's state, as `group_status` reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The highest term that the member was fenced at or follows.
    pub term: log::Term,
    /// The claimant to which it granted that term; empty when it learned the term by replication.
    pub claimant: Box<str>,
    /// Its role.
    pub role: Role,
    /// The term and position of its log's last entry.
    pub head: log::Head,
    /// The position at which the last entry's term starts.
    pub term_start: log::Position,
    /// The connections that count against the limit.
    pub connections_used: usize,
    /// The limit.
    pub connections_max: usize,
    /// Time since it last heard from a primary of its term; zero for a primary.
    pub upstream_silence: Duration,
}

/// Replicated entries that can't be applied now.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The sender's term is too old, or this member is the primary.
    #[error("entries of an older term, or for a primary")]
    Refused,
    /// The log changed since the entries were asked for.
    #[error("the log has changed")]
    Changed,
    /// The database can't be written.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
    /// The initial statements can't be parsed.
    #[error(transparent)]
    Sql(#[from] error::SqlError),
    /// A new database can't be made.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

struct State {
    term: log::Term,
    claimant: Box<str>,
    role: Role,
    /// The term of which a fenced primary still serves the log.
    serves: Option<log::Term>,
    /// When it last heard from a primary of its term, or learned of the term.
    heard_at: Instant,
    log: log::Log,
    database: sync::Arc<database::Database>,
    applier: rusqlite::Connection,
    stopped: bool,
}

/// The state of a member, shared by its sessions and its replication.
pub struct Core {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    heads: watch::Sender<log::Head>,
    write_lock: sync::Arc<write_lock::WriteLock>,
    registry: sync::Arc<registry::Registry>,
}

impl Core {
    /// A member at term 1: a primary with an initial entry, or a replica with an empty log.
    pub fn new(
        primary: bool,
        initial_sql: &str,
        connections_max: usize,
    ) -> Result<Self, ApplyError> {
        let database = sync::Arc::new(database::Database::create()?);
        let applier = database.open()?;
        let mut log = log::Log::default();
        if primary {
            let statements = initial_statements(initial_sql)?;
            database::replay(&applier, &statements)?;
            log.append(FIRST_TERM, statements);
        }
        let heads = watch::Sender::new(log.head());
        let role = if primary {
            Role::Primary
        } else {
            Role::Replica
        };
        let state = State {
            term: FIRST_TERM,
            claimant: Box::default(),
            role,
            serves: None,
            heard_at: Instant::now(),
            log,
            database,
            applier,
            stopped: false,
        };
        Ok(Self {
            state: sync::Mutex::new(state),
            changed: sync::Condvar::new(),
            heads,
            write_lock: sync::Arc::default(),
            registry: sync::Arc::new(registry::Registry::new(connections_max)),
        })
    }

    /// The member's sessions.
    pub fn registry(&self) -> &sync::Arc<registry::Registry> {
        &self.registry
    }

    /// Ends all sessions; nothing commits from now on.
    pub fn stop(&self) {
        self.state().stopped = true;
        self.registry.stop();
    }

    /// The lock of the single writer.
    pub fn write_lock(&self) -> &sync::Arc<write_lock::WriteLock> {
        &self.write_lock
    }

    /// The current database; another one replaces it when conflicting entries are dropped.
    pub fn database(&self) -> sync::Arc<database::Database> {
        sync::Arc::clone(&self.state().database)
    }

    /// Changes with each head and each change of term or role.
    pub fn watch(&self) -> watch::Receiver<log::Head> {
        self.heads.subscribe()
    }

    /// The status now.
    pub fn status(&self) -> Status {
        self.status_of(&self.state())
    }

    /// The status once the position is reached, or at the deadline.
    pub fn wait_status(
        &self,
        min_position: log::Position,
        deadline: Instant,
        signal: &signal::Signal,
    ) -> Result<Status, error::SqlError> {
        let mut state = self.state();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if state.log.head().position >= min_position || left.is_zero() {
                return Ok(self.status_of(&state));
            }
            signal.check_wait()?;
            let limit = left.min(SIGNAL_CHECK_INTERVAL);
            let waited = self.changed.wait_timeout(state, limit);
            state = waited.expect(NO_PANIC).0;
        }
    }

    /// Tries to fence the member at a term for a claimant.
    pub fn fence(&self, term: log::Term, claimant: &str) -> Status {
        let mut state = self.state();
        if term > state.term {
            if state.role == Role::Primary {
                state.serves = Some(state.term);
            }
            state.term = term;
            state.heard_at = Instant::now();
            state.claimant = claimant.into();
            state.role = Role::Replica;
            let status = self.status_of(&state);
            self.publish(state);
            return status;
        }
        self.status_of(&state)
    }

    /// Tries to promote the member at the term that it granted to the claimant.
    pub fn promote(&self, term: log::Term, claimant: &str) -> Status {
        let mut state = self.state();
        let granted = state.term == term && !claimant.is_empty() && *state.claimant == *claimant;
        // A replica that holds an entry of the term follows another primary of it.
        let is_taken = state.log.head().term == term;
        if granted && state.role == Role::Replica && !is_taken {
            state.role = Role::Primary;
            state.serves = None;
            state.log.append(term, Vec::new());
            self.notify(&state);
        }
        self.status_of(&state)
    }

    /// The term in which a write transaction may start.
    pub fn writable_term(&self) -> Result<log::Term, error::SqlError> {
        let state = self.state();
        match state.role {
            Role::Primary => Ok(state.term),
            Role::Replica => Err(error::SqlError::read_only()),
        }
    }

    /// An error once a write transaction of a term can't commit any more.
    pub fn check_writable(&self, term: log::Term) -> Result<(), error::SqlError> {
        self.state().check_writable(term)
    }

    /// Commits the transaction that is open on a connection and logs its statements.
    ///
    /// On an error the transaction is still open.
    pub fn commit(
        &self,
        term: log::Term,
        connection: &rusqlite::Connection,
        statements: Vec<log::LoggedStatement>,
    ) -> Result<Option<log::Head>, error::SqlError> {
        let mut state = self.state();
        state.check_writable(term)?;
        connection.execute_batch("COMMIT")?;
        if statements.is_empty() {
            return Ok(None);
        }
        let head = state.log.append(term, statements);
        self.notify(&state);
        Ok(Some(head))
    }

    /// What a replica tells a peer to be sent the entries that it lacks.
    pub fn segments(&self) -> (log::Term, Vec<log::Segment>) {
        let state = self.state();
        (state.term, state.log.segments().to_vec())
    }

    /// For a primary, or one that was fenced: the term that it wrote, the position shared with a peer's log, and
    /// the next entries. A peer that was fenced at a later term refuses the entries of a fenced primary.
    pub fn entries_for(
        &self,
        segments: &[log::Segment],
        limit: usize,
    ) -> Option<(log::Term, log::Position, Vec<log::Appended>)> {
        let state = self.state();
        let term = match state.role {
            Role::Primary => state.term,
            Role::Replica => state.serves?,
        };
        let common = state.log.common(segments);
        Some((term, common, state.log.after(common, limit).to_vec()))
    }

    /// Notes that a primary of a term was heard from.
    pub fn hear(&self, term: log::Term) {
        let mut state = self.state();
        if term >= state.term {
            state.heard_at = Instant::now();
        }
    }

    /// The term that this member writes, if it is a primary.
    pub fn leads(&self) -> Option<log::Term> {
        let state = self.state();
        (state.role == Role::Primary).then_some(state.term)
    }

    /// Follows a primary of a term, and drops what its log does not share.
    ///
    /// `expected` is the head that the primary compared with; `common` the last position that is shared.
    pub fn follow(
        &self,
        term: log::Term,
        expected: log::Head,
        common: log::Position,
    ) -> Result<(), ApplyError> {
        self.adopt_term(term)?;
        if common >= expected.position {
            return Ok(());
        }
        let _guard = self.write_lock.acquire_unbounded();
        let mut state = self.state();
        state.check_follows(term, expected)?;
        state.log.truncate(common);
        state.rebuild()?;
        self.notify(&state);
        Ok(())
    }

    /// The name of the entry at a position, which has to be the last.
    pub fn head_at(&self, position: log::Position) -> Result<log::Head, ApplyError> {
        let head = self.state().log.head();
        if head.position != position {
            return Err(ApplyError::Changed);
        }
        Ok(head)
    }

    /// Applies an entry from the primary of a term after the entry `expected`.
    pub fn apply(
        &self,
        term: log::Term,
        expected: log::Head,
        entry: log::Entry,
    ) -> Result<log::Head, ApplyError> {
        let _guard = self.write_lock.acquire_unbounded();
        let mut state = self.state();
        state.check_follows(term, expected)?;
        state.replay([&entry])?;
        let head = state.log.append(entry.term, entry.statements);
        self.notify(&state);
        Ok(head)
    }

    fn adopt_term(&self, term: log::Term) -> Result<(), ApplyError> {
        let mut state = self.state();
        if term < state.term || (term == state.term && state.role == Role::Primary) {
            return Err(ApplyError::Refused);
        }
        if term > state.term {
            state.term = term;
            state.heard_at = Instant::now();
            state.claimant = Box::default();
            state.role = Role::Replica;
            state.serves = None;
            self.publish(state);
        }
        Ok(())
    }

    /// Tells all who wait of a new term; sessions roll back what they can't commit.
    fn publish(&self, state: sync::MutexGuard<'_, State>) {
        let term = state.term;
        self.notify(&state);
        drop(state);
        self.registry.fence(term);
    }

    fn notify(&self, state: &State) {
        self.heads.send_replace(state.log.head());
        self.changed.notify_all();
    }

    fn status_of(&self, state: &State) -> Status {
        Status {
            term: state.term,
            claimant: state.claimant.clone(),
            role: state.role,
            head: state.log.head(),
            term_start: state.log.term_start(),
            connections_used: self.registry.connections_used(),
            connections_max: self.registry.connections_max(),
            upstream_silence: match state.role {
                Role::Primary => Duration::ZERO,
                Role::Replica => state.heard_at.elapsed(),
            },
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect(NO_PANIC)
    }
}

impl State {
    fn check_writable(&self, term: log::Term) -> Result<(), error::SqlError> {
        if self.stopped {
            return Err(error::SqlError::stopped());
        }
        if self.role == Role::Primary && self.term == term {
            return Ok(());
        }
        Err(error::SqlError::read_only())
    }

    fn check_follows(&self, term: log::Term, expected: log::Head) -> Result<(), ApplyError> {
        if term != self.term || self.role == Role::Primary {
            return Err(ApplyError::Refused);
        }
        if self.log.head() != expected {
            return Err(ApplyError::Changed);
        }
        Ok(())
    }

    fn replay<'a>(
        &self,
        entries: impl IntoIterator<Item = &'a log::Entry>,
    ) -> rusqlite::Result<()> {
        let transaction = self.applier.unchecked_transaction()?;
        for entry in entries {
            database::replay(&transaction, &entry.statements)?;
        }
        transaction.commit()
    }

    fn rebuild(&mut self) -> Result<(), ApplyError> {
        let database = database::Database::create()?;
        self.applier = database.open()?;
        self.database = sync::Arc::new(database);
        let entries = self.log.after(0, usize::MAX).iter();
        self.replay(entries.map(|appended| &appended.entry))?;
        Ok(())
    }
}

fn initial_statements(initial_sql: &str) -> Result<Vec<log::LoggedStatement>, error::SqlError> {
    let commands = statement::parse(initial_sql)?;
    let statements = commands.into_iter().filter_map(|command| match command {
        statement::Command::Sql(sql) => Some(log::LoggedStatement {
            sql: sql.text,
            params: Vec::new(),
        }),
        _ => None,
    });
    Ok(statements.collect())
}
