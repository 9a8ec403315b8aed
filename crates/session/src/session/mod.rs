//! A caller's session.

mod attempt;
mod plan;
mod single;
mod transaction;

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use fulmarlift_broker::Broker;
use fulmarlift_broker::topology;
use fulmarlift_core::floor;
use fulmarlift_core::id;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::clock;
use crate::link;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::protocol::member;
use crate::session::transaction::Transaction;
use crate::shell;
use crate::values;
use crate::world::World;

/// Time that a new connection has to name its database.
const STARTUP_FOR: Duration = Duration::from_secs(5);
/// Time for which a new session waits for the first configuration: callers give up after 2 s.
const CONFIGURATION_FOR: Duration = Duration::from_millis(1_500);
/// Pause between two looks for the first configuration.
const CONFIGURATION_POLL: Duration = Duration::from_millis(50);

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub enum Ended {
    /// The caller closed it.
    #[error("closed by the caller")]
    Closed,
    /// The connection broke.
    #[error("connection broken")]
    Broken(#[from] io::Error),
    /// The caller sent what cannot be understood.
    #[error("caller's message: {0}")]
    Wire(#[from] crate::protocol::WireError),
    /// The caller did not name a database in time.
    #[error("no startup message in time")]
    Startup,
    /// The database does not exist.
    #[error("no such database")]
    NoDatabase,
    /// No configuration has been learned yet.
    #[error("no configuration yet, retry after 500 ms")]
    NoConfiguration,
    /// The process stops.
    #[error("closed for the stop")]
    Stopping,
}

/// How long sessions may go on after the stop began.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// Idle sessions are closed from this on.
    pub idle_from: Duration,
    /// Range over which their ends are spread, so that not all callers come back at once.
    pub idle_spread: Duration,
    /// Open transactions are ended after this.
    pub transaction: Duration,
}

/// What an awaited pause ended with.
enum Woken {
    Read,
    Due,
}

/// Who is at the other end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller, who names a database.
    Caller,
    /// Another proxy, which names a group and tells for each statement how it is to be served.
    Peer,
}

struct Session<W: World, C: Codec> {
    shell: Rc<shell::Shell<W>>,
    stream: TcpStream,
    codec: C,
    origin: Origin,
    terms: Option<caller::Terms>,
    inbox: BytesMut,
    outbox: BytesMut,
    database: Box<str>,
    held: Rc<values::Held>,
    own: floor::Floor,
    point: Option<floor::Point>,
    transaction: Transaction<W>,
    rested_since: Instant,
    stopping: watch::Receiver<Option<Instant>>,
    grace: Grace,
    spread: u64,
}

/// Serves a caller until the session ends.
///
/// # Errors
///
/// Always returns why it ended.
pub async fn run<W: World, C: Codec>(
    shell: Rc<shell::Shell<W>>,
    stream: TcpStream,
    origin: Origin,
    grace: Grace,
) -> Result<(), Ended> {
    link::watch_silence(&stream)?;
    let mut session = Session::<W, C> {
        spread: id::rendezvous_weight(shell.next_request(), 0),
        stopping: shell.stopping(),
        codec: C::default(),
        origin,
        terms: None,
        inbox: BytesMut::new(),
        outbox: BytesMut::new(),
        database: Box::default(),
        held: Rc::default(),
        own: floor::Floor::default(),
        point: None,
        transaction: Transaction::None,
        rested_since: clock::now(),
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

impl<W: World, C: Codec> Session<W, C> {
    async fn serve(&mut self) -> Result<(), Ended> {
        self.begin().await?;
        loop {
            let message = self.message().await?;
            match message {
                caller::Message::Query(_) if self.has_left() => return Err(Ended::Closed),
                caller::Message::Query(query) => self.query(query).await?,
                caller::Message::Terminate => return Err(Ended::Closed),
                caller::Message::Startup { .. } => {
                    let error = crate::protocol::WireError::Malformed("second startup");
                    return self.fail(&protocol::Code::Malformed, error.into()).await;
                }
            }
            self.flush().await?;
            self.rested_since = clock::now();
        }
    }

    async fn begin(&mut self) -> Result<(), Ended> {
        let first = tokio::time::timeout(STARTUP_FOR, self.message()).await;
        match first.map_err(|_| Ended::Startup)?? {
            caller::Message::Startup { database } => self.database = database,
            caller::Message::Terminate => return Err(Ended::Closed),
            caller::Message::Query(_) => {
                let error = crate::protocol::WireError::Malformed("statement before startup");
                return self.fail(&protocol::Code::Malformed, error.into()).await;
            }
        }
        if !self.await_configuration().await {
            // Whether the database exists is not known.
            log::info!(
                "event=refused database={} reason=NoConfiguration",
                self.database
            );
            return self
                .fail(&protocol::Code::Busy, Ended::NoConfiguration)
                .await;
        }
        if self.origin == Origin::Caller && self.route().is_none() {
            log::info!("event=refused database={} reason=NoDatabase", self.database);
            return self
                .fail(&protocol::Code::NoDatabase, Ended::NoDatabase)
                .await;
        }
        self.reply(caller::Reply::Ready(protocol::State::Idle, None));
        Ok(self.flush().await?)
    }

    /// Waits for the first configuration; returns whether there is one.
    async fn await_configuration(&self) -> bool {
        let until = clock::now() + CONFIGURATION_FOR;
        while !self.shell.with_broker(Broker::is_configured) {
            if clock::now() >= until {
                return false;
            }
            tokio::time::sleep(CONFIGURATION_POLL).await;
        }
        true
    }

    /// Returns whether the caller has closed the connection. What it asked for last is not begun then: while the process
    /// stood still it may have given up and asked elsewhere.
    fn has_left(&mut self) -> bool {
        matches!(self.stream.try_read_buf(&mut self.inbox), Ok(0))
    }

    fn is_forwarded(&self) -> bool {
        self.origin == Origin::Peer
    }

    /// Returns how the next statement is to be served; none if the database does not exist.
    fn route(&self) -> Option<topology::Route> {
        if self.is_forwarded() {
            return self.terms.map(|terms| topology::Route {
                database: Box::default(),
                group: id::of(&self.database),
                consistency: terms.consistency,
                statement_timeout_ms: terms.timeout_ms,
                objective_ms: terms.objective_ms,
                priority: terms.priority,
            });
        }
        self.shell
            .with_broker(|broker| broker.topology().route(&self.database).cloned())
    }

    /// Sends an error and ends the session.
    async fn fail(&mut self, code: &protocol::Code, ended: Ended) -> Result<(), Ended> {
        let text = ended.to_string();
        self.reply(caller::Reply::Error(code, &text));
        self.flush().await?;
        Err(ended)
    }

    fn reply(&mut self, reply: caller::Reply<'_>) {
        self.codec.encode(reply, &mut self.outbox);
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all_buf(&mut self.outbox).await
    }

    /// Returns the caller's next message; meanwhile ends what has rested too long.
    async fn message(&mut self) -> Result<caller::Message, Ended> {
        loop {
            match self.codec.decode(&mut self.inbox) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => {}
                Err(error) => {
                    let code = match error {
                        crate::protocol::WireError::TooLarge { .. } => protocol::Code::TooLarge,
                        crate::protocol::WireError::Malformed(_) => protocol::Code::Malformed,
                    };
                    log::info!(
                        "event=malformed database={} error=\"{error}\"",
                        self.database
                    );
                    self.fail(&code, error.into()).await?;
                }
            }
            match self.pause().await? {
                Woken::Read => {}
                Woken::Due => self.end_rest().await?,
            }
        }
    }

    /// Waits for bytes, the stop, or the end of the time for which the session may rest.
    async fn pause(&mut self) -> Result<Woken, Ended> {
        let due_at = self.rest_until();
        let due = async {
            match due_at {
                Some(due_at) => tokio::time::sleep_until(clock::timer(due_at)).await,
                None => std::future::pending().await,
            }
        };
        let stopping = self.stopping.borrow().is_some();
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.inbox) => match read? {
                0 => Err(Ended::Closed),
                _ => Ok(Woken::Read),
            },
            () = due => Ok(Woken::Due),
            _ = self.stopping.changed(), if !stopping => Ok(Woken::Read),
        }
    }

    /// Returns until when the session may rest.
    fn rest_until(&self) -> Option<Instant> {
        let stop = *self.stopping.borrow();
        let in_transaction = self.transaction.state() != protocol::State::Idle;
        let stop_until = stop.map(|stop| {
            if in_transaction {
                return stop + self.grace.transaction;
            }
            let range_ms = u64::try_from(self.grace.idle_spread.as_millis()).unwrap_or(u64::MAX);
            let offset_ms = self.spread % range_ms.max(1);
            stop + self.grace.idle_from + Duration::from_millis(offset_ms)
        });
        let idle_ms = self
            .shell
            .with_broker(|broker| broker.topology().transaction_idle_ms);
        let rests = self.transaction.holds_connection() && idle_ms > 0;
        let rest_until =
            rests.then(|| self.rested_since + Duration::from_millis(u64::from(idle_ms)));
        match (stop_until, rest_until) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Ends what has rested too long: the session, for the stop, or the transaction's use of a connection.
    async fn end_rest(&mut self) -> Result<(), Ended> {
        let stopping = self.stopping.borrow().is_some();
        let in_transaction = self.transaction.state() != protocol::State::Idle;
        match (stopping, in_transaction) {
            (true, false) => Err(Ended::Stopping),
            (true, true) => {
                log::info!(
                    "event=transaction_ended database={} reason=Stop",
                    self.database
                );
                self.transaction.abandon();
                self.fail(&protocol::Code::Aborted, Ended::Stopping).await
            }
            (false, _) => {
                log::info!(
                    "event=transaction_ended database={} reason=Rest",
                    self.database
                );
                self.transaction.fail(false);
                Ok(())
            }
        }
    }

    async fn query(&mut self, query: caller::Query) -> Result<(), Ended> {
        if let Some(forwarded) = &query.forwarded {
            self.terms = Some(forwarded.route);
            if let Some(own) = forwarded.own {
                self.own.raise(id::of(&self.database), own);
            }
            self.transaction.set_terms(&forwarded.route);
        }
        let ends = matches!(
            query.statement,
            caller::Statement::Commit | caller::Statement::Rollback
        );
        if self.transaction.state() == protocol::State::Failed && !ends {
            match self.transaction.tell() {
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
            caller::Statement::Set { name, value } => {
                Rc::make_mut(&mut self.held).set(name, value.clone());
                self.transaction.value_set();
                self.answer_done();
            }
            caller::Statement::Prepare { name, mode, shape } => {
                let prepared = member::Prepared {
                    mode: *mode,
                    shape: shape.clone(),
                };
                Rc::make_mut(&mut self.held).prepare(name, prepared);
                self.answer_done();
            }
            caller::Statement::Deallocate { name } => {
                match Rc::make_mut(&mut self.held).deallocate(name) {
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
                let plan = plan::Plan::direct(&query, member::Verb::Run(*mode));
                self.execute(plan).await;
            }
            caller::Statement::ExecutePrepared {
                prepared,
                arguments,
            } => {
                let plan = plan::Plan::prepared(&query, prepared.clone(), arguments.clone());
                self.execute(plan).await;
            }
            caller::Statement::Reset => {
                self.held = Rc::default();
                self.transaction.value_set();
                self.answer_done();
            }
            caller::Statement::Execute { name, arguments } => match self.held.prepared(name) {
                Some(prepared) => {
                    let plan = plan::Plan::prepared(&query, prepared.clone(), arguments.clone());
                    self.execute(plan).await;
                }
                None => {
                    self.answer_error(&protocol::Code::NoStatement, "unknown prepared statement")
                }
            },
        }
        Ok(())
    }

    fn begin_transaction(&mut self, mode: protocol::Mode, query: &caller::Query) {
        if self.transaction.state() != protocol::State::Idle {
            return self.answer_error(&protocol::Code::Malformed, "already in a transaction");
        }
        match self.route() {
            Some(route) => {
                self.transaction = Transaction::begun(mode, query, route);
                self.answer_done();
            }
            None => self.answer_error(&protocol::Code::NoDatabase, "the database has been removed"),
        }
    }

    async fn execute(&mut self, plan: plan::Plan) {
        match self.transaction.state() {
            protocol::State::Idle => self.execute_single(plan).await,
            protocol::State::Transaction | protocol::State::Failed => {
                self.execute_in_transaction(plan).await
            }
        }
    }

    fn answer_done(&mut self) {
        self.reply(caller::Reply::Done);
        self.ready();
    }

    fn answer_error(&mut self, code: &protocol::Code, text: &str) {
        self.reply(caller::Reply::Error(code, text));
        self.ready();
    }

    /// Passes a member's answer on.
    fn pass_on(&mut self, answer: &member::Answer) {
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
        self.ready();
    }

    fn ready(&mut self) {
        self.reply(caller::Reply::Ready(self.transaction.state(), self.point));
    }
}
