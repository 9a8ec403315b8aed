//! State of a member: its term, role and log. Fences, promotions and commits run one after another, under one lock.

use std::sync;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::member::{database, error, log, registry, signal, statement, write_lock};

const FIRST_TERM: log::Term = 1;
const LOCK_NOT_POISONED: &str = "no holder of the member's state panics";
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The member accepts writes.
    Primary,
    /// The member applies entries of the primary.
    Replica,
}

/// Status of a member, as `group_status` reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Highest term at which the member was fenced or whose primary it follows; 1 at the start.
    pub term: log::Term,
    /// Claimant to which the member granted the term; empty when the member learned of the term by replication.
    pub claimant: Box<str>,
    /// Role of the member.
    pub role: Role,
    /// Term and position of the last entry of its log.
    pub head: log::Head,
    /// Position at which the last entry's term starts.
    pub term_start: log::Position,
    /// Number of open connections that count against the limit.
    pub connections_used: usize,
    /// Limit of connections.
    pub connections_max: usize,
    /// Time since the last contact with a primary of the member's term; zero for a primary.
    pub upstream_silence: Duration,
}

/// Reason for which a member cannot create its database or apply replicated entries.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The sender's term is older than the member's, or the member is the primary.
    #[error("the sender's term is too old, or this member is the primary")]
    Refused,
    /// The log has changed since the member requested the entries.
    #[error("the log has changed since the member requested the entries")]
    Changed,
    /// SQLite failed to write the entries.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
    /// The initial statements can't be parsed.
    #[error(transparent)]
    Sql(#[from] error::SqlError),
    /// The member can't create a new database.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

struct State {
    term: log::Term,
    claimant: Box<str>,
    role: Role,
    /// Term of which the member was the primary until a fence. It still sends its log to replicas as that primary,
    /// until it follows another primary or is promoted.
    served_term: Option<log::Term>,
    /// Time of the last contact with a primary of the member's term, or at which the member adopted the term.
    upstream_contact_at: Instant,
    log: log::Log,
    database: sync::Arc<database::Database>,
    apply_connection: rusqlite::Connection,
    stopped: bool,
}

/// State of a member, shared by its sessions and its replication tasks.
pub struct Core {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    heads: watch::Sender<log::Head>,
    write_lock: sync::Arc<write_lock::WriteLock>,
    registry: sync::Arc<registry::Registry>,
}

impl Core {
    /// Creates a member at term 1: a primary with an initial entry, or a replica with an empty log.
    pub fn new(
        primary: bool,
        initial_sql: &str,
        connections_max: usize,
    ) -> Result<Self, ApplyError> {
        let database = sync::Arc::new(database::Database::create()?);
        let apply_connection = database.open()?;
        let mut log = log::Log::default();
        if primary {
            let statements = initial_statements(initial_sql)?;
            database::replay(&apply_connection, &statements)?;
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
            served_term: None,
            upstream_contact_at: Instant::now(),
            log,
            database,
            apply_connection,
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

    /// Returns the registry of open sessions.
    pub fn registry(&self) -> &sync::Arc<registry::Registry> {
        &self.registry
    }

    /// Ends all sessions. No transaction commits from now on.
    pub fn stop(&self) {
        self.state().stopped = true;
        self.registry.stop();
    }

    /// Returns the lock that admits one write transaction at a time.
    pub fn write_lock(&self) -> &sync::Arc<write_lock::WriteLock> {
        &self.write_lock
    }

    /// Returns the current database. The member replaces it by a new one when it drops conflicting entries.
    pub fn database(&self) -> sync::Arc<database::Database> {
        sync::Arc::clone(&self.state().database)
    }

    /// Returns a channel with the end of the log, which is notified of each log entry and each change of term or role.
    pub fn watch_heads(&self) -> watch::Receiver<log::Head> {
        self.heads.subscribe()
    }

    /// Returns the current status.
    pub fn status(&self) -> Status {
        self.status_of(&self.state())
    }

    /// Waits until the log reaches the position or the deadline passes, then returns the status. Returns an error early
    /// in the cases of [`signal::Signal::check_while_waiting`].
    pub fn wait_status(
        &self,
        min_position: log::Position,
        deadline: Instant,
        signal: &signal::Signal,
    ) -> Result<Status, error::SqlError> {
        let mut state = self.state();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if state.log.head().position >= min_position || remaining.is_zero() {
                return Ok(self.status_of(&state));
            }
            signal.check_while_waiting()?;
            let limit = remaining.min(SIGNAL_CHECK_INTERVAL);
            let wait_result = self.changed.wait_timeout(state, limit);
            state = wait_result.expect(LOCK_NOT_POISONED).0;
        }
    }

    /// Grants a term to a claimant, which makes the member a replica, unless the member's term is already as high.
    /// Returns the resulting status.
    pub fn fence(&self, term: log::Term, claimant: &str) -> Status {
        let mut state = self.state();
        if term > state.term {
            if state.role == Role::Primary {
                state.served_term = Some(state.term);
            }
            state.term = term;
            state.upstream_contact_at = Instant::now();
            state.claimant = claimant.into();
            state.role = Role::Replica;
            let status = self.status_of(&state);
            self.notify_term_change(state);
            return status;
        }
        self.status_of(&state)
    }

    /// Makes the member the primary of the term if it granted this term to the claimant. Returns the resulting status.
    pub fn promote(&self, term: log::Term, claimant: &str) -> Status {
        let mut state = self.state();
        let is_granted = state.term == term && !claimant.is_empty() && *state.claimant == *claimant;
        // A replica that has an entry of the term follows another primary of that term.
        let has_other_primary = state.log.head().term == term;
        if is_granted && state.role == Role::Replica && !has_other_primary {
            state.role = Role::Primary;
            state.served_term = None;
            state.log.append(term, Vec::new());
            self.notify_watchers(&state);
        }
        self.status_of(&state)
    }

    /// Returns the term in which a write transaction may start; an error if the member is not the primary.
    pub fn writable_term(&self) -> Result<log::Term, error::SqlError> {
        let state = self.state();
        match state.role {
            Role::Primary => Ok(state.term),
            Role::Replica => Err(error::SqlError::read_only()),
        }
    }

    /// Returns an error if a write transaction of the term can no longer commit.
    pub fn check_writable(&self, term: log::Term) -> Result<(), error::SqlError> {
        self.state().check_writable(term)
    }

    /// Commits the open transaction of the connection and appends its statements to the log as one entry. Returns the
    /// new end of the log, or `None` without a new entry if there are no statements.
    ///
    /// After an error the transaction may still be open; the caller rolls it back.
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
        self.notify_watchers(&state);
        Ok(Some(head))
    }

    /// Returns the term and log segments that a replica sends to a peer to request missing entries.
    pub fn segments(&self) -> (log::Term, Vec<log::Segment>) {
        let state = self.state();
        (state.term, state.log.segments().to_vec())
    }

    /// Returns what a peer with these log segments lacks: the term of which this member is the primary, or was until a
    /// fence, the last position that both logs share, and at most `limit` entries after it. Returns `None` for a
    /// replica, except for a fenced primary that follows no new primary yet. A peer that was fenced at a later term
    /// refuses the entries.
    pub fn entries_for(
        &self,
        segments: &[log::Segment],
        limit: usize,
    ) -> Option<(log::Term, log::Position, Vec<log::AppendedEntry>)> {
        let state = self.state();
        let term = match state.role {
            Role::Primary => state.term,
            Role::Replica => state.served_term?,
        };
        let common = state.log.last_common_position(segments);
        Some((
            term,
            common,
            state.log.entries_after(common, limit).to_vec(),
        ))
    }

    /// Records contact with the upstream, a primary of the term, unless the member's term is higher.
    pub fn record_upstream_contact(&self, term: log::Term) {
        let mut state = self.state();
        if term >= state.term {
            state.upstream_contact_at = Instant::now();
        }
    }

    /// Returns the term of which this member is the primary, or `None` if it is a replica.
    pub fn primary_term(&self) -> Option<log::Term> {
        let state = self.state();
        (state.role == Role::Primary).then_some(state.term)
    }

    /// Adopts the primary's term and drops the entries that the primary's log does not contain.
    ///
    /// `expected_head` is the end of this member's log when the primary compared the logs; `common` is the last position
    /// that both logs share.
    pub fn follow_primary(
        &self,
        term: log::Term,
        expected_head: log::Head,
        common: log::Position,
    ) -> Result<(), ApplyError> {
        self.adopt_term(term)?;
        if common >= expected_head.position {
            return Ok(());
        }
        let _guard = self.write_lock.acquire_unbounded();
        let mut state = self.state();
        state.check_accepts_entries(term, expected_head)?;
        state.log.truncate(common);
        state.rebuild()?;
        self.notify_watchers(&state);
        Ok(())
    }

    /// Returns the term and position of the last entry; an error if the log does not end at the position.
    pub fn require_head_at(&self, position: log::Position) -> Result<log::Head, ApplyError> {
        let head = self.state().log.head();
        if head.position != position {
            return Err(ApplyError::Changed);
        }
        Ok(head)
    }

    /// Applies an entry that a primary of the term sent. The log must end at `expected_head`, the entry before it.
    pub fn apply(
        &self,
        term: log::Term,
        expected_head: log::Head,
        entry: log::Entry,
    ) -> Result<log::Head, ApplyError> {
        let _guard = self.write_lock.acquire_unbounded();
        let mut state = self.state();
        state.check_accepts_entries(term, expected_head)?;
        state.replay([&entry])?;
        let head = state.log.append(entry.term, entry.statements);
        self.notify_watchers(&state);
        Ok(head)
    }

    fn adopt_term(&self, term: log::Term) -> Result<(), ApplyError> {
        let mut state = self.state();
        if term < state.term || (term == state.term && state.role == Role::Primary) {
            return Err(ApplyError::Refused);
        }
        if term > state.term {
            state.term = term;
            state.upstream_contact_at = Instant::now();
            state.claimant = Box::default();
            state.role = Role::Replica;
            state.served_term = None;
            self.notify_term_change(state);
        }
        Ok(())
    }

    /// Wakes all waiting tasks after a change of term, and tells the sessions, which roll back writes of older terms.
    fn notify_term_change(&self, state: sync::MutexGuard<'_, State>) {
        let term = state.term;
        self.notify_watchers(&state);
        drop(state);
        self.registry.fence(term);
    }

    fn notify_watchers(&self, state: &State) {
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
                Role::Replica => state.upstream_contact_at.elapsed(),
            },
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect(LOCK_NOT_POISONED)
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

    fn check_accepts_entries(
        &self,
        term: log::Term,
        expected_head: log::Head,
    ) -> Result<(), ApplyError> {
        if term != self.term || self.role == Role::Primary {
            return Err(ApplyError::Refused);
        }
        if self.log.head() != expected_head {
            return Err(ApplyError::Changed);
        }
        Ok(())
    }

    fn replay<'a>(
        &self,
        entries: impl IntoIterator<Item = &'a log::Entry>,
    ) -> rusqlite::Result<()> {
        let transaction = self.apply_connection.unchecked_transaction()?;
        for entry in entries {
            database::replay(&transaction, &entry.statements)?;
        }
        transaction.commit()
    }

    fn rebuild(&mut self) -> Result<(), ApplyError> {
        let database = database::Database::create()?;
        self.apply_connection = database.open()?;
        self.database = sync::Arc::new(database);
        let entries = self.log.entries_after(0, usize::MAX).iter();
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
