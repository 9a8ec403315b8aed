//! Sessions of callers, and of proxies that forward statements.

mod attempt;
mod bounded;
mod scope;
mod single;
mod statement;
mod transaction;

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use fulmarlift_broker::Broker;
use fulmarlift_broker::workspace;
use fulmarlift_core::floor;
use fulmarlift_core::id;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::clock;
use crate::deployment::Deployment;
use crate::limits;
use crate::limits::ledger::Cause;
use crate::link;
use crate::logging;
use crate::peer::greeting;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::protocol::member;
use crate::session::transaction::Transaction;
use crate::shell;
use crate::values;

/// Time within which a new connection must send its startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes of an unfinished startup message, so that connections without a session take little memory.
const STARTUP_BYTES_MAX: usize = 8 << 10;
/// Time for which a new session waits for the proxy's first configuration: callers give up after 2 s.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most bytes behind a statement that are read before it is answered.
const PIPELINED_BYTES_MAX: usize = 4_096;
/// Time without progress after which a client that does not read its answers is disconnected.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a client must have read an answer, although it makes progress.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a new session checks for the first configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason for the end of a session.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The caller closed the session or the connection.
    #[error("closed by the caller")]
    Closed,
    /// The socket reported an error.
    #[error("connection broken")]
    Broken(#[from] io::Error),
    /// The caller sent a message that does not follow the protocol.
    #[error("caller's message: {0}")]
    Wire(#[from] crate::protocol::WireError),
    /// The caller sent no startup message in time.
    #[error("no startup message in time")]
    Startup,
    /// Too many newer connections have no startup message either.
    #[error("displaced by newer connections")]
    Displaced,
    /// The database of the startup message does not exist.
    #[error("no such database")]
    NoDatabase,
    /// The client is no proxy of the same version that means this one.
    #[error(transparent)]
    PeerRefused(#[from] greeting::Refusal),
    /// The configuration in force does not have the caller's key.
    #[error("unknown key")]
    Unauthorized,
    /// The proxy has no configuration yet.
    #[error("no configuration yet, retry after 500 ms")]
    NoConfiguration,
    /// The client did not read its answers.
    #[error("answers not read")]
    Unread,
    /// The clients together use too much of the process, and this one was chosen.
    #[error("too many {} of all clients, retry after 500 ms", .0.text())]
    Limited(Cause),
    /// The proxy closed the session for its graceful stop.
    #[error("closed for the stop")]
    Stopping,
}

/// Times for which sessions may continue after a graceful stop has started.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownGrace {
    /// Time after the start of the stop at which the proxy closes the first idle sessions.
    pub idle_delay: Duration,
    /// Time after `idle_delay` over which the proxy spreads the closing of idle sessions, so that their callers do not all
    /// reconnect at the same time.
    pub idle_spread: Duration,
    /// Time after the start of the stop at which the proxy rolls back transactions that wait for their next statement, and
    /// closes their sessions.
    pub transaction_timeout: Duration,
    /// Time after the start of the stop at which the proxy answers statements that still run with an error, and closes their
    /// sessions.
    pub statement_timeout: Duration,
}

/// Reason why [`Session::wait_for_input`] returned.
enum Wakeup {
    /// Bytes arrived, or the graceful stop started, which changes the deadline.
    InputOrStop,
    /// The session or its transaction was idle for too long.
    DeadlinePassed,
}

/// Kind of client at the other end of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientKind {
    /// A caller, whose startup message names a database.
    Caller,
    /// Another proxy, whose startup message names a group, and which sends options with each statement.
    Peer,
}

struct Session<D: Deployment, C: Codec> {
    shell: Rc<shell::Shell<D>>,
    stream: TcpStream,
    codec: C,
    client_kind: ClientKind,
    /// Options of the newest statement that a peer forwarded.
    options: Option<caller::StatementOptions>,
    inbox: BytesMut,
    outbox: BytesMut,
    /// Name of a caller's database, or of a peer's group.
    database: Box<str>,
    /// Digest of the caller's key. The key itself is not kept.
    key: workspace::KeyDigest,
    session_state: Rc<values::SessionState>,
    /// Newest commit of the session in each group.
    session_commits: floor::Floor,
    /// Newest point of a member's log in the answers of this session.
    point: Option<floor::Point>,
    transaction: Transaction<D>,
    idle_since: Instant,
    /// What the client uses of the bounds over all clients.
    slot: limits::Slot,
    stopping: watch::Receiver<Option<Instant>>,
    grace: ShutdownGrace,
    /// Whether the peer has been told that this proxy stops.
    stop_announced: bool,
    /// Picks the time within [`ShutdownGrace::idle_spread`] at which the idle session is closed.
    close_offset_seed: u64,
}

/// Serves a caller or peer until the session ends.
///
/// # Errors
///
/// Always returns the reason for the end.
pub async fn run<D: Deployment, C: Codec>(
    shell: Rc<shell::Shell<D>>,
    stream: TcpStream,
    client_kind: ClientKind,
    grace: ShutdownGrace,
) -> Result<(), SessionEnd> {
    let pool = match client_kind {
        ClientKind::Caller => limits::Pool::Callers,
        ClientKind::Peer => limits::Pool::Peers,
    };
    let opened = shell.limits().open(pool);
    let slot = opened.ok_or(SessionEnd::Limited(Cause::Connections))?;
    link::set_liveness_timeouts(&stream)?;
    let mut session = Session::<D, C> {
        close_offset_seed: id::rendezvous_weight(shell.next_request(), 0),
        stopping: shell.stopping(),
        stop_announced: false,
        codec: C::default(),
        client_kind,
        options: None,
        inbox: BytesMut::new(),
        outbox: BytesMut::new(),
        database: Box::default(),
        key: workspace::KeyDigest::of(&[]),
        session_state: Rc::default(),
        session_commits: floor::Floor::default(),
        point: None,
        transaction: Transaction::None,
        idle_since: clock::now(),
        slot,
        stream,
        shell,
        grace,
    };
    session.shell.count_session(true);
    let ended = session.serve().await;
    session.shell.count_session(false);
    session.transaction.abandon();
    ended
}

impl<D: Deployment, C: Codec> Session<D, C> {
    async fn serve(&mut self) -> Result<(), SessionEnd> {
        self.start_session().await?;
        loop {
            let message = self.next_message().await?;
            match message {
                caller::Message::Query(_) if self.caller_has_disconnected() => {
                    return Err(SessionEnd::Closed);
                }
                caller::Message::Query(query) => self.handle_within_limits(query).await?,
                caller::Message::Terminate => return Err(SessionEnd::Closed),
                caller::Message::Startup { .. } => {
                    let error = crate::protocol::WireError::Malformed("second startup");
                    return self
                        .end_with_error(&protocol::Code::Malformed, error.into())
                        .await;
                }
            }
            self.flush().await?;
            self.idle_since = clock::now();
        }
    }

    /// Waits for the first message. The connection is closed if it takes too long, or in favour of newer ones.
    async fn first_message(&mut self) -> Result<caller::Message, SessionEnd> {
        let newcomer = self.shell.add_newcomer();
        let activity = self.slot.activity();
        tokio::select! {
            biased;
            first = self.greeting_and_first_message() => first,
            () = newcomer.displaced() => {
                metrics::counter!("fulmarlift_connections_displaced_total").increment(1);
                Err(SessionEnd::Displaced)
            }
            cause = activity.closed() => Err(SessionEnd::Limited(cause)),
        }
    }

    async fn greeting_and_first_message(&mut self) -> Result<caller::Message, SessionEnd> {
        if self.is_forwarded() {
            let greeted = tokio::time::timeout(STARTUP_TIMEOUT, self.accept_greeting()).await;
            greeted.map_err(|_| SessionEnd::Startup)??;
        }
        let first = tokio::time::timeout(STARTUP_TIMEOUT, self.next_message()).await;
        first.map_err(|_| SessionEnd::Startup)?
    }

    async fn start_session(&mut self) -> Result<(), SessionEnd> {
        match self.first_message().await? {
            caller::Message::Startup { database, key } => {
                self.database = database;
                self.key = workspace::KeyDigest::of(&key);
            }
            caller::Message::Terminate => return Err(SessionEnd::Closed),
            caller::Message::Query(_) => {
                let error = crate::protocol::WireError::Malformed("statement before startup");
                return self
                    .end_with_error(&protocol::Code::Malformed, error.into())
                    .await;
            }
        }
        if !self.wait_for_configuration().await {
            // Without a configuration the proxy cannot tell whether the database exists.
            log::info!(
                "event=refused database={} reason=NoConfiguration",
                self.database_field()
            );
            return self
                .end_with_error(&protocol::Code::Busy, SessionEnd::NoConfiguration)
                .await;
        }
        if self.client_kind == ClientKind::Caller
            && let Err(denied) = self.scope()
        {
            return self.end_denied(denied).await;
        }
        self.reply(caller::Reply::Ready(protocol::TransactionState::Idle, None));
        self.flush().await
    }

    /// Tells the caller why it may not use the session, and ends it.
    async fn end_denied(&mut self, denied: scope::Denied) -> Result<(), SessionEnd> {
        // A caller that mixes up the fields of its startup message sends its key as the database.
        let is_odd = denied == scope::Denied::NoDatabase && self.may_send_keys();
        let database = match is_odd {
            true => logging::field(b"unknown"),
            false => self.database_field(),
        };
        log::info!("event=refused database={database} reason={denied:?}");
        metrics::counter!("fulmarlift_sessions_denied_total", "reason" => denied.name())
            .increment(1);
        let ended = match denied {
            scope::Denied::NoDatabase => SessionEnd::NoDatabase,
            scope::Denied::Unauthorized | scope::Denied::UnknownWorkspace => {
                SessionEnd::Unauthorized
            }
        };
        self.end_with_error(&denied.code(), ended).await
    }

    /// Checks the greeting of a proxy before any of its messages is decoded. The answer is sent together with that to the startup
    /// message.
    async fn accept_greeting(&mut self) -> Result<(), SessionEnd> {
        let service = greeting::Service::Statements;
        let Self {
            stream,
            inbox,
            outbox,
            ..
        } = self;
        let accepted = greeting::accept(&self.shell, service, stream, inbox, outbox).await;
        if let Err(greeting::GreetingError::Refused(_)) = &accepted {
            self.flush().await?;
        }
        accepted.map_err(|error| match error {
            greeting::GreetingError::Broken(error) => match error.kind() {
                io::ErrorKind::UnexpectedEof => SessionEnd::Closed,
                _ => SessionEnd::Broken(error),
            },
            greeting::GreetingError::Refused(refusal) => SessionEnd::PeerRefused(refusal),
        })
    }

    /// Waits for the first configuration; returns whether there is one.
    async fn wait_for_configuration(&self) -> bool {
        let deadline = clock::now() + CONFIGURATION_TIMEOUT;
        while !self.shell.with_broker(Broker::is_configured) {
            if clock::now() >= deadline {
                return false;
            }
            tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
        }
        true
    }

    /// Returns whether the caller has closed the connection. The session does not run the last statement then: while this
    /// process was paused, the caller may have timed out and sent the statement to another proxy. The end of the connection is
    /// not found behind many statements that the caller has sent without waiting for their answers.
    fn caller_has_disconnected(&mut self) -> bool {
        self.inbox.len() < PIPELINED_BYTES_MAX
            && matches!(self.stream.try_read_buf(&mut self.inbox), Ok(0))
    }

    /// Returns the database as a field of the log.
    fn database_field(&self) -> logging::Field<'_> {
        logging::field(self.database.as_bytes())
    }

    fn is_forwarded(&self) -> bool {
        self.client_kind == ClientKind::Peer
    }

    /// Sends an error and ends the session.
    async fn end_with_error(
        &mut self,
        code: &protocol::Code,
        ended: SessionEnd,
    ) -> Result<(), SessionEnd> {
        let text = ended.to_string();
        self.reply(caller::Reply::Error(code, &text));
        self.flush().await?;
        Err(ended)
    }

    fn reply(&mut self, reply: caller::Reply<'_>) {
        self.codec.encode(reply, &mut self.outbox);
    }

    /// Sends the replies. A client that does not read them is disconnected after a time, and sooner during a graceful stop or if
    /// its transaction holds a connection.
    async fn flush(&mut self) -> Result<(), SessionEnd> {
        self.send_without_waiting()?;
        let delivery_deadline = clock::now() + DELIVERY_TIMEOUT;
        while !self.outbox.is_empty() {
            self.count_unread_answer()?;
            let unread_deadline = self.unread_deadline();
            let deadline = delivery_deadline.min(unread_deadline);
            let stopping = self.stopping.borrow().is_some();
            tokio::select! {
                biased;
                written = self.stream.write_buf(&mut self.outbox) => if written? == 0 {
                    return Err(io::Error::from(io::ErrorKind::WriteZero).into());
                },
                () = tokio::time::sleep_until(clock::tokio_deadline(deadline)) => {
                    metrics::counter!("fulmarlift_unread_sessions_total").increment(1);
                    log::info!(
                        "event=session_ended database={} reason=Unread left_bytes={}",
                        self.database_field(),
                        self.outbox.len()
                    );
                    return Err(SessionEnd::Unread);
                }
                cause = self.slot.closed() => return Err(SessionEnd::Limited(cause)),
                _ = self.stopping.changed(), if !stopping => {}
            }
        }
        self.end_answer();
        Ok(())
    }

    /// Returns the time until which the client must read more of its answers.
    fn unread_deadline(&self) -> Instant {
        let now = clock::now();
        let transaction_idle = self.transaction_idle_timeout();
        let deadline =
            now + transaction_idle.map_or(UNREAD_TIMEOUT, |idle| idle.min(UNREAD_TIMEOUT));
        let stop_deadline = self
            .stopping
            .borrow()
            .map(|stop| stop + self.grace.statement_timeout);
        stop_deadline.map_or(deadline, |stop| stop.min(deadline))
    }

    /// Returns the caller's next message. Enforces the idle limits while it waits.
    async fn next_message(&mut self) -> Result<caller::Message, SessionEnd> {
        loop {
            let head = logging::Head::of(&self.inbox);
            let arrived_bytes = self.inbox.len();
            let decoded = match self.codec.decode(&mut self.inbox) {
                Ok(None) if self.is_startup_too_long() => {
                    let limit_bytes = STARTUP_BYTES_MAX;
                    Err(protocol::WireError::TooLarge { limit_bytes })
                }
                decoded => decoded,
            };
            match decoded {
                Ok(Some(message)) => {
                    let message_bytes = arrived_bytes - self.inbox.len();
                    limits::detach(&mut self.inbox, message_bytes);
                    return Ok(message);
                }
                Ok(None) => {}
                Err(error) => {
                    let code = match error {
                        crate::protocol::WireError::TooLarge { .. } => protocol::Code::TooLarge,
                        crate::protocol::WireError::Malformed(_) => protocol::Code::Malformed,
                    };
                    self.log_malformed(&error, &head);
                    self.end_with_error(&code, error.into()).await?;
                }
            }
            self.announce_stop().await?;
            match self.wait_for_input().await? {
                Wakeup::InputOrStop => {}
                Wakeup::DeadlinePassed => self.end_idle().await?,
            }
        }
    }

    /// Returns whether the session has not started yet, and its startup message is too long.
    fn is_startup_too_long(&self) -> bool {
        self.database.is_empty() && self.inbox.len() > STARTUP_BYTES_MAX
    }

    /// Returns whether the client's messages may hold a caller's key, which no log may show.
    fn may_send_keys(&self) -> bool {
        let has_keys =
            |broker: &Broker| !broker.is_configured() || broker.topology().workspaces.is_some();
        self.client_kind == ClientKind::Caller && self.shell.with_broker(has_keys)
    }

    /// Logs and counts a message of the client that cannot be decoded.
    fn log_malformed(&self, error: &protocol::WireError, head: &logging::Head) {
        let client = match self.client_kind {
            ClientKind::Caller => "caller",
            ClientKind::Peer => "peer",
        };
        let reason = error.reason();
        metrics::counter!("fulmarlift_messages_malformed_total", "client" => client, "reason" => reason)
            .increment(1);
        let (head, left) = match self.may_send_keys() {
            true => (logging::Head::of(&[]), logging::Head::of(&[])),
            false => (*head, logging::Head::of(&self.inbox)),
        };
        let address = self.stream.peer_addr().map(|address| address.to_string());
        log::info!(
            "event=malformed database={} client={client} address={} error=\"{error}\" message=\"{}\" left_bytes={} left=\"{}\"",
            self.database_field(),
            address.as_deref().unwrap_or("none"),
            head.field(),
            self.inbox.len(),
            left.field(),
        );
    }

    /// Tells a peer that this proxy stops. The peer closes the connection, and until then gets answers to what it sent before
    /// it knew.
    async fn announce_stop(&mut self) -> Result<(), SessionEnd> {
        if !self.is_forwarded() || self.stop_announced || self.stopping.borrow().is_none() {
            return Ok(());
        }
        self.stop_announced = true;
        self.reply(caller::Reply::Closing);
        self.flush().await
    }

    /// Waits for bytes, the start of a graceful stop, or the idle deadline.
    async fn wait_for_input(&mut self) -> Result<Wakeup, SessionEnd> {
        self.count_unfinished_message().await?;
        let deadline = self.idle_deadline();
        let deadline_passed = async {
            match deadline {
                Some(deadline) => tokio::time::sleep_until(clock::tokio_deadline(deadline)).await,
                None => std::future::pending().await,
            }
        };
        let stopping = self.stopping.borrow().is_some();
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.inbox) => match read? {
                0 => Err(SessionEnd::Closed),
                _ => Ok(Wakeup::InputOrStop),
            },
            () = deadline_passed => Ok(Wakeup::DeadlinePassed),
            cause = self.slot.closed() => Err(SessionEnd::Limited(cause)),
            _ = self.stopping.changed(), if !stopping => Ok(Wakeup::InputOrStop),
        }
    }

    /// Returns the time until which the session may wait for its next message; none for no limit.
    fn idle_deadline(&self) -> Option<Instant> {
        let stop = *self.stopping.borrow();
        let in_transaction = self.transaction.state() != protocol::TransactionState::Idle;
        let stop_deadline = stop.map(|stop| {
            // A peer closes the connection itself once it knows of the stop.
            if in_transaction || self.is_forwarded() {
                return stop + self.grace.transaction_timeout;
            }
            let spread_ms = u64::try_from(self.grace.idle_spread.as_millis()).unwrap_or(u64::MAX);
            let offset_ms = self.close_offset_seed % spread_ms.max(1);
            stop + self.grace.idle_delay + Duration::from_millis(offset_ms)
        });
        let transaction_idle = self.transaction_idle_timeout();
        let transaction_deadline = transaction_idle.map(|timeout| self.idle_since + timeout);
        match (stop_deadline, transaction_deadline) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Returns the time for which the transaction may hold its connection without a statement; none for no limit.
    fn transaction_idle_timeout(&self) -> Option<Duration> {
        let transaction_idle_ms = self
            .shell
            .with_broker(|broker| broker.topology().transaction_idle_ms);
        // A limit of 0 ms means none.
        let is_limited = self.transaction.holds_connection() && transaction_idle_ms > 0;
        is_limited.then(|| Duration::from_millis(u64::from(transaction_idle_ms)))
    }

    /// Enforces the idle deadline: rolls back the idle transaction, if there is one, which frees its connection; during a
    /// graceful stop also ends the session.
    async fn end_idle(&mut self) -> Result<(), SessionEnd> {
        let stopping = self.stopping.borrow().is_some();
        let in_transaction = self.transaction.state() != protocol::TransactionState::Idle;
        match (stopping, in_transaction) {
            (true, false) => Err(SessionEnd::Stopping),
            (true, true) => {
                log::info!(
                    "event=transaction_ended database={} reason=Stop",
                    self.database_field()
                );
                self.transaction.abandon();
                self.end_with_error(&protocol::Code::Aborted, SessionEnd::Stopping)
                    .await
            }
            (false, _) => {
                log::info!(
                    "event=transaction_ended database={} reason=Rest",
                    self.database_field()
                );
                self.transaction.fail(false);
                Ok(())
            }
        }
    }

    /// Handles a query. If it takes longer than a graceful stop allows, answers that it has been given up, and ends the session.
    async fn handle_query_until_stop(&mut self, query: caller::Query) -> Result<(), SessionEnd> {
        let code = self.code_of_given_up(&query.statement);
        let timeout = self.grace.statement_timeout;
        let mut stopping = self.stopping.clone();
        let given_up = async {
            let stop = stopping.wait_for(Option::is_some).await;
            // Fails only without a sender, which the shell holds.
            let stop = stop.ok().and_then(|stop| *stop).unwrap_or_else(clock::now);
            tokio::time::sleep_until(clock::tokio_deadline(stop + timeout)).await;
        };
        tokio::select! {
            biased;
            handled = self.handle_query(query) => return handled,
            () = given_up => {}
        }
        log::info!(
            "event=failed database={} code={code:?} reason=Stop",
            self.database_field()
        );
        self.end_with_error(&code, SessionEnd::Stopping).await
    }

    /// Returns the code that answers a statement whose outcome is not waited for. It has been sent or not.
    fn code_of_given_up(&self, statement: &caller::Statement) -> protocol::Code {
        let in_transaction = self.transaction.state() != protocol::TransactionState::Idle;
        let reads = match statement {
            caller::Statement::Run(mode) => *mode == protocol::Mode::Read,
            caller::Statement::ExecutePrepared { prepared, .. } => {
                prepared.mode == protocol::Mode::Read
            }
            caller::Statement::Execute { name, .. } => {
                let prepared = self.session_state.prepared(name);
                prepared.is_some_and(|prepared| prepared.mode == protocol::Mode::Read)
            }
            _ => false,
        };
        match (in_transaction, reads) {
            _ if *statement == caller::Statement::Commit => protocol::Code::InDoubt,
            (true, _) => protocol::Code::Aborted,
            (false, true) => protocol::Code::Timeout,
            (false, false) => protocol::Code::InDoubt,
        }
    }

    async fn handle_query(&mut self, query: caller::Query) -> Result<(), SessionEnd> {
        if !self.is_key_valid() {
            self.transaction.abandon();
            return self.end_denied(scope::Denied::Unauthorized).await;
        }
        if let Some(forwarded) = &query.forwarded {
            self.options = Some(forwarded.options);
            if let Some(session_commit) = forwarded.session_commit {
                self.session_commits
                    .raise(id::of(&self.database), session_commit);
            }
            self.transaction.set_options(&forwarded.options);
        }
        let ends_transaction = matches!(
            query.statement,
            caller::Statement::Commit | caller::Statement::Rollback
        );
        if self.transaction.state() == protocol::TransactionState::Failed && !ends_transaction {
            match self.transaction.take_unreported_failure() {
                true => {
                    self.answer_error(&protocol::Code::Aborted, "the transaction rested too long")
                }
                false => {
                    self.answer_error(&protocol::Code::Malformed, "the transaction has failed")
                }
            }
            return Ok(());
        }
        match &query.statement {
            caller::Statement::Invalid => {
                self.answer_error(&protocol::Code::Malformed, "unknown statement")
            }
            caller::Statement::Set { name, value }
                if !self.session_state.has_room_for_value(name, value.len()) =>
            {
                self.refuse_session_state();
            }
            caller::Statement::Prepare { name, shape, .. }
                if !self.session_state.has_room_for_prepared(name, shape.len()) =>
            {
                self.refuse_session_state();
            }
            caller::Statement::Set { name, value } if !self.count_value(name, value.len()) => {}
            caller::Statement::Prepare { name, shape, .. }
                if !self.count_prepared(name, shape.len()) => {}
            caller::Statement::Set { name, value } => {
                Rc::make_mut(&mut self.session_state).set(name, value.clone());
                self.transaction.mark_state_uncertain();
                self.answer_done();
            }
            caller::Statement::Prepare { name, mode, shape } => {
                let prepared = member::Prepared {
                    mode: *mode,
                    shape: shape.clone(),
                };
                Rc::make_mut(&mut self.session_state).prepare(name, prepared);
                self.answer_done();
            }
            caller::Statement::Deallocate { name } => {
                let existed = Rc::make_mut(&mut self.session_state).deallocate(name);
                self.count_state();
                match existed {
                    true => self.answer_done(),
                    false => self
                        .answer_error(&protocol::Code::NoStatement, "unknown prepared statement"),
                }
            }
            caller::Statement::Begin(mode) => self.begin_transaction(*mode, &query),
            caller::Statement::Rollback => {
                self.transaction.abandon();
                self.answer_done();
            }
            caller::Statement::Commit => self.commit(&query).await,
            caller::Statement::Run(mode) => {
                let statement =
                    statement::MemberStatement::direct(&query, member::Verb::Run(*mode));
                self.execute(statement).await;
            }
            caller::Statement::ExecutePrepared {
                prepared,
                arguments,
            } => {
                let statement = statement::MemberStatement::prepared(
                    &query,
                    prepared.clone(),
                    arguments.clone(),
                );
                self.execute(statement).await;
            }
            caller::Statement::Reset => {
                self.session_state = Rc::default();
                self.count_state();
                self.transaction.mark_state_uncertain();
                self.answer_done();
            }
            caller::Statement::Execute { name, arguments } => {
                match self.session_state.prepared(name) {
                    Some(prepared) => {
                        let statement = statement::MemberStatement::prepared(
                            &query,
                            prepared.clone(),
                            arguments.clone(),
                        );
                        self.execute(statement).await;
                    }
                    None => self
                        .answer_error(&protocol::Code::NoStatement, "unknown prepared statement"),
                }
            }
        }
        Ok(())
    }

    fn begin_transaction(&mut self, mode: protocol::Mode, query: &caller::Query) {
        if self.transaction.state() != protocol::TransactionState::Idle {
            return self.answer_error(&protocol::Code::Malformed, "already in a transaction");
        }
        match self.scope() {
            Ok(scope) => {
                self.transaction = Transaction::pending(mode, query, scope);
                self.answer_done();
            }
            Err(denied) => self.answer_error(&denied.code(), &denied.to_string()),
        }
    }

    /// Runs a statement outside a transaction or in the session's transaction.
    async fn execute(&mut self, statement: statement::MemberStatement) {
        match self.transaction.state() {
            protocol::TransactionState::Idle => self.execute_single(statement).await,
            protocol::TransactionState::Transaction | protocol::TransactionState::Failed => {
                self.execute_in_transaction(statement).await
            }
        }
    }

    fn refuse_session_state(&mut self) {
        metrics::counter!("fulmarlift_session_states_full_total").increment(1);
        log::info!(
            "event=session_state_full database={}",
            self.database_field()
        );
        let text = "too many session values and prepared statements";
        self.answer_error(&protocol::Code::TooLarge, text);
    }

    fn answer_done(&mut self) {
        self.reply(caller::Reply::Done);
        self.reply_ready();
    }

    fn answer_error(&mut self, code: &protocol::Code, text: &str) {
        self.reply(caller::Reply::Error(code, text));
        self.reply_ready();
    }

    /// Returns whether each part of an answer is a single message to the caller.
    fn can_relay(&self, answer: &member::Answer) -> bool {
        let mut rows = answer.rows.iter().map(caller::Reply::Row);
        let result = match &answer.end {
            member::End::Complete(signature) => Some(caller::Reply::Complete(signature)),
            member::End::Error(code, text) => Some(caller::Reply::Error(code, text)),
            member::End::Ready => None,
        };
        rows.all(|row| self.codec.can_encode(row))
            && result.is_none_or(|result| self.codec.can_encode(result))
    }

    /// Appends a member's answer to the replies for the caller.
    fn relay_answer(&mut self, answer: &member::Answer) {
        if !self.can_relay(answer) {
            metrics::counter!("fulmarlift_answers_not_relayed_total").increment(1);
            log::warn!(
                "event=answer_not_relayed database={}",
                self.database_field()
            );
            self.point = self.point.max(answer.point);
            let text = "the answer cannot be passed on";
            return self.answer_error(&protocol::Code::InDoubt, text);
        }
        self.outbox.reserve(answer.size_bytes());
        for row in &answer.rows {
            self.reply(caller::Reply::Row(row));
        }
        match &answer.end {
            member::End::Complete(signature) => self.reply(caller::Reply::Complete(signature)),
            member::End::Error(code, text) => self.reply(caller::Reply::Error(code, text)),
            member::End::Ready => {
                self.reply(caller::Reply::Error(&protocol::Code::Failed, "no result"))
            }
        }
        self.point = self.point.max(answer.point);
        self.reply_ready();
    }

    fn reply_ready(&mut self) {
        self.reply(caller::Reply::Ready(self.transaction.state(), self.point));
    }
}
