//! One caller's session.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_wire::{answer, backend, class, frame, handshake};
use pgwire::messages::response::TransactionStatus;
use tokio::sync::{oneshot, watch};

use crate::caller::batch::Batch;
use crate::caller::listen;
use crate::caller::local;
use crate::caller::plan::{self, Classes, Plan};
use crate::caller::relay;
use crate::caller::sessions::Registration;
use crate::caller::statements::Statements;
use crate::caller::tracked::Tracked;
use crate::engine;
use crate::member;

/// Statement texts whose classes a session keeps.
const CLASSES_KEPT: usize = 64;
/// Bytes of statement text that a session keeps for them.
const CLASSES_BYTES: usize = 4 << 10;

/// A statement that fails in every transaction and changes nothing.
const FAIL_TRANSACTION: &str = "ROLLBACK TO SAVEPOINT fulmarlift_no_such_savepoint";

/// Who asks for what.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The service.
    pub service: id::ServiceId,
    /// The caller's account.
    pub caller: id::CallerId,
    /// Name of the service.
    pub service_name: Box<str>,
}

/// A connection to a member that the session holds.
#[derive(Debug)]
pub struct Link {
    /// The request that holds it.
    pub request: id::RequestId,
    /// The connection's identifier.
    pub conn: id::ConnId,
    /// The connection.
    pub backend: Box<member::Backend>,
    /// Is told when the request is to be given up.
    pub interrupted: oneshot::Receiver<()>,
    /// When the first byte of the answer must have arrived.
    pub first_byte_by: Instant,
    /// Time that either side is given for each message.
    pub progress: Duration,
    /// Whether a statement may have left something on the connection that is not known.
    pub doubtful: bool,
}

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The caller's connection failed.
    #[error("caller: {0}")]
    Frame(#[from] frame::Error),
    /// The login could not be finished.
    #[error("login: {0}")]
    Login(#[from] handshake::Error),
    /// The caller closed its connection.
    #[error("the caller closed its connection")]
    Closed,
}

/// A session's state between messages.
pub(super) struct Session<'a> {
    pub(super) engine: Arc<engine::Engine>,
    pub(super) registration: Registration<'a>,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) identity: Identity,
    pub(super) caller: relay::CallerStream,
    pub(super) local: local::Local,
    pub(super) tracked: Tracked,
    pub(super) statements: Statements,
    pub(super) classes: class::Cache,
    /// Held while a transaction is open.
    pub(super) link: Option<Link>,
    pub(super) last_status: u8,
    /// Settings made in the open transaction.
    pub(super) pending: Vec<class::Statement>,
    /// Whether the open transaction has a savepoint.
    pub(super) savepoint: bool,
}

/// A message, or messages, that run together.
pub(super) enum Work {
    Simple(frame::Frame, Classes),
    Batch(Batch),
}

impl Work {
    /// Returns what the statements do.
    pub(super) fn classes(&self) -> &[class::Statement] {
        match self {
            Self::Simple(_, classes) => classes,
            Self::Batch(batch) => &batch.classes,
        }
    }
}

/// Serves a caller until it leaves or the proxy stops.
pub async fn run(
    listener: listen::Listener,
    accepted: handshake::Session,
    identity: Identity,
) -> Result<(), Error> {
    let sessions = Arc::clone(&listener.sessions);
    let mut caller = accepted.framed;
    caller.set_codec(frame::Codec::new(listener.engine.settings.max_frame_bytes));
    let mut session = Session {
        registration: sessions.register(),
        engine: listener.engine,
        stopping: listener.stopping,
        identity,
        caller,
        local: local::Local::default(),
        tracked: Tracked::default(),
        statements: Statements::default(),
        classes: class::Cache::new(CLASSES_KEPT, CLASSES_BYTES),
        link: None,
        last_status: b'I',
        pending: Vec::new(),
        savepoint: false,
    };
    let finished = session.start(&accepted.parameters, sessions.pid()).await;
    let ended = match finished {
        Ok(()) => session.serve().await,
        Err(error) => Err(error),
    };
    session.drop_link();
    if let Err(Error::Frame(error)) = &ended {
        let answer = answer::Answer::protocol_violation(error.to_string());
        // The caller may be gone already.
        let _ = session.caller.send(&answer.frame()).await;
    }
    ended
}

impl Session<'_> {
    async fn start(&mut self, parameters: &[(Box<str>, Box<str>)], pid: i32) -> Result<(), Error> {
        for (name, value) in parameters {
            if !local::Local::owns(name) {
                self.tracked.set(name, value);
            } else if let Err(answer) = self.set_local(name, value) {
                self.caller.send(&answer.fatal().frame()).await?;
                return Err(Error::Closed);
            }
        }
        self.tracked.started();
        let secret = bytes::Bytes::copy_from_slice(&self.registration.secret());
        let key = fulmarlift_wire::backend::Key { pid, secret };
        let shown = [
            ("server_version".into(), "15.0".into()),
            ("server_encoding".into(), "UTF8".into()),
            ("client_encoding".into(), "UTF8".into()),
            ("DateStyle".into(), "ISO, MDY".into()),
            ("integer_datetimes".into(), "on".into()),
            ("standard_conforming_strings".into(), "on".into()),
        ];
        handshake::finish(&mut self.caller, &shown, &key).await?;
        Ok(())
    }

    async fn serve(&mut self) -> Result<(), Error> {
        loop {
            let Some(frame) = self.next_frame().await? else {
                return Ok(());
            };
            match frame.tag {
                frame::tag::frontend::QUERY => {
                    let classes = self.classify_query(&frame)?;
                    self.work(Work::Simple(frame, classes)).await?;
                }
                frame::tag::frontend::TERMINATE => return Ok(()),
                // What is left of a COPY that failed is skipped, as the protocol has it.
                frame::tag::frontend::COPY_DATA
                | frame::tag::frontend::COPY_DONE
                | frame::tag::frontend::COPY_FAIL => {}
                _ => {
                    let batch = self.read_batch(frame).await?;
                    self.work(Work::Batch(batch)).await?;
                }
            }
        }
    }

    /// Reads the caller's next message; none when the proxy stops or the caller has left.
    async fn next_frame(&mut self) -> Result<Option<frame::Frame>, Error> {
        let idle_until = self
            .link
            .as_ref()
            .map(|link| Instant::now() + link.progress);
        let in_transaction = idle_until.is_some();
        let idle_until = tokio::time::Instant::from_std(idle_until.unwrap_or_else(Instant::now));
        let next = tokio::select! {
            biased;
            frame = self.caller.read_frame() => frame,
            () = listen::stopped(&mut self.stopping), if !in_transaction => {
                let answer = answer::Answer::shutdown();
                self.caller.send(&answer.frame()).await?;
                return Ok(None);
            }
            () = tokio::time::sleep_until(idle_until), if in_transaction => {
                self.drop_link();
                self.end_idle().await?;
                return Ok(None);
            }
        };
        Ok(next?)
    }

    /// Ends the session of a caller that left a transaction open for too long.
    pub(super) async fn end_idle(&mut self) -> Result<(), Error> {
        let answer = answer::Answer::idle_in_transaction();
        self.caller.send(&answer.frame()).await?;
        Err(Error::Closed)
    }

    fn classify_query(&mut self, frame: &frame::Frame) -> Result<Classes, Error> {
        let message = frame.decode_frontend()?;
        let pgwire::messages::PgWireFrontendMessage::Query(query) = message else {
            return Ok(Arc::from([]));
        };
        Ok(self.classes.classify(&query.query))
    }

    async fn read_batch(&mut self, first: frame::Frame) -> Result<Batch, Error> {
        let mut batch = Batch::default();
        let mut next = Some(first);
        while let Some(frame) = next {
            if frame.tag == frame::tag::frontend::TERMINATE {
                return Err(Error::Closed);
            }
            let classes = &mut self.classes;
            let classify = |sql: &str| classes.classify(sql);
            if batch.add(frame, &mut self.statements, classify)? {
                return Ok(batch);
            }
            next = self.caller.read_frame().await?;
        }
        Err(Error::Closed)
    }

    async fn work(&mut self, work: Work) -> Result<(), Error> {
        let plan = Plan::of(work.classes());
        let refusal = match (&work, &plan) {
            (_, Plan::Refused(refusal)) => Some(*refusal),
            (Work::Batch(batch), _) => plan::refusal_each(&batch.parsed),
            _ => None,
        };
        if let Some(refusal) = refusal {
            let answer = answer::Answer::unsupported(refusal.what, refusal.hint);
            return self.refuse(&work, answer).await;
        }
        match &work {
            Work::Simple(_, classes) if !classes.is_empty() && local::owns_all(classes) => {
                let classes = Arc::clone(classes);
                return self.answer_local(&work, &classes).await;
            }
            Work::Batch(batch) if batch.is_local() => return self.answer_local_batch(&work).await,
            Work::Batch(batch) if batch.touches_local() => {
                return self
                    .refuse(
                        &work,
                        answer::Answer::unsupported(
                            "a statement that the proxy answers itself beside others in one batch",
                            "Send a Sync between them.",
                        ),
                    )
                    .await;
            }
            _ => {}
        }
        match self.link.take() {
            Some(link) => self.run_in_transaction(work, link).await,
            None => self.run_alone(work, plan).await,
        }
    }

    /// Answers with an error that the member does not know of. An open transaction fails with it, as it would at
    /// the member.
    pub(super) async fn refuse(
        &mut self,
        work: &Work,
        answer: answer::Answer,
    ) -> Result<(), Error> {
        if let Some(link) = self.link.take() {
            self.fail_transaction(link).await;
        }
        self.answer_error(work, answer).await
    }

    /// Puts the member's transaction into its failed state, or ends it with its connection.
    async fn fail_transaction(&mut self, mut link: Link) {
        let deadline = tokio::time::Instant::now() + link.progress;
        let connection = &mut link.backend.connection;
        let refused = backend::query(connection, FAIL_TRANSACTION, deadline).await;
        let failed = matches!(refused, Err(backend::Error::Database(_)))
            && connection.status == TransactionStatus::Error;
        if failed {
            self.last_status = b'E';
            self.link = Some(link);
        } else {
            self.give_up(link);
        }
    }

    pub(super) async fn answer_error(
        &mut self,
        work: &Work,
        answer: answer::Answer,
    ) -> Result<(), Error> {
        self.caller.feed(&answer.frame());
        self.skip_to_sync(work).await?;
        self.caller.send(&local::ready_in(self.last_status)).await?;
        Ok(())
    }

    /// After an error in a batch that a Flush has cut short, messages are skipped up to the Sync.
    async fn skip_to_sync(&mut self, work: &Work) -> Result<(), Error> {
        let Work::Batch(batch) = work else {
            return Ok(());
        };
        let mut last = batch.frames.last().map(|frame| frame.tag);
        while last != Some(frame::tag::frontend::SYNC) {
            self.caller.flush().await?;
            let frame = self.caller.read_frame().await?.ok_or(Error::Closed)?;
            last = Some(frame.tag);
        }
        Ok(())
    }

    pub(super) fn set_local(&mut self, name: &str, value: &str) -> Result<(), answer::Answer> {
        let document = self.engine.document();
        let known = |group| document.topology.groups.contains(group);
        self.local.set(name, value, known)
    }
}
