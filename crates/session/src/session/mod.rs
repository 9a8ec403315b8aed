//! Sessions of callers, and of proxies that forward statements.

mod attempt;
mod bounded;
mod query;
mod scope;
mod single;
mod start;
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
use crate::session::transaction::Transaction;
use crate::shell;
use crate::values;

/// Most bytes of an unfinished startup message, so that connections without a session take little memory.
const STARTUP_BYTES_MAX: usize = 8 << 10;
/// Most bytes behind a statement that are read before it is answered.
const PIPELINED_BYTES_MAX: usize = 4_096;
/// Time without progress after which a client that does not read its answers is disconnected.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a client must have read an answer, although it makes progress.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(60);

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
}
