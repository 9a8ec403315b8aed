//! Session of one caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fulmarlift_core::id;
use fulmarlift_wire::{answer, backend, class, frame, handshake};
use pgwire::messages::response::TransactionStatus;
use tokio::sync::{oneshot, watch};

use crate::caller::batch::Batch;
use crate::caller::listen;
use crate::caller::plan::{self, Classes, Plan};
use crate::caller::proxy_answers;
use crate::caller::relay;
use crate::caller::session_settings::SessionSettings;
use crate::caller::session_table::Registration;
use crate::caller::statements::Statements;
use crate::engine;
use crate::member;

/// Maximum number of statement texts whose classes a session caches.
const CLASS_CACHE_TEXTS_MAX: usize = 64;
/// Estimated memory of that cache, in bytes.
const CLASS_CACHE_BYTES_MAX: usize = 4 << 10;

/// Statement that fails in every transaction and changes nothing.
const FAIL_TRANSACTION: &str = "ROLLBACK TO SAVEPOINT fulmarlift_no_such_savepoint";

/// Caller and service of a session.
#[derive(Clone, Debug)]
pub struct SessionIdentity {
    /// Identifier of the service.
    pub service: id::ServiceId,
    /// Identifier of the caller's account.
    pub caller: id::CallerId,
    /// Name of the service.
    pub service_name: Box<str>,
}

/// A connection to a member that one request, or the transaction that it began, uses exclusively.
#[derive(Debug)]
pub struct Lease {
    /// Identifier of the request; the later statements of its transaction run under the same identifier.
    pub request: id::RequestId,
    /// Identifier of the connection.
    pub conn: id::ConnId,
    /// Connection to the member.
    pub backend: Box<member::Backend>,
    /// Receives a message when the request must be given up.
    pub interrupted: oneshot::Receiver<()>,
    /// Time by which the first byte of the answer must arrive.
    pub first_byte_by: Instant,
    /// Time that the caller and the member have for each message.
    pub message_timeout: Duration,
    /// Whether statements may have changed the state of the connection in a way that the proxy does not know.
    pub needs_reset: bool,
}

/// Reason for which a session ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The caller's connection failed, or the caller sent a malformed message.
    #[error("caller: {0}")]
    Frame(#[from] frame::Error),
    /// The proxy could not finish the login.
    #[error("login: {0}")]
    Login(#[from] handshake::Error),
    /// The session is over without an error: the caller closed its connection, or has received the proxy's last answer.
    #[error("the caller closed its connection")]
    Closed,
}

/// State of a session between messages.
pub(super) struct Session<'a> {
    pub(super) engine: Arc<engine::Engine>,
    pub(super) registration: Registration<'a>,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) identity: SessionIdentity,
    pub(super) caller: relay::CallerStream,
    pub(super) proxy_settings: proxy_answers::ProxySettings,
    pub(super) session_settings: SessionSettings,
    pub(super) statements: Statements,
    pub(super) class_cache: class::Cache,
    /// Connection of the open transaction, if there is one.
    pub(super) lease: Option<Lease>,
    /// Transaction status for the caller, as ReadyForQuery carries it: `I`, `T` or `E`.
    pub(super) transaction_status: u8,
    /// Statements of the open transaction that change settings.
    pub(super) pending_settings: Vec<class::Statement>,
    /// Whether the open transaction has a savepoint.
    pub(super) has_savepoint: bool,
}

/// Messages of a caller that run together: a simple query or a batch of the extended protocol.
pub(super) enum ClientRequest {
    Simple(frame::Frame, Classes),
    Batch(Batch),
}

impl ClientRequest {
    /// Returns the classes of the statements that the request executes.
    pub(super) fn classes(&self) -> &[class::Statement] {
        match self {
            Self::Simple(_, classes) => classes,
            Self::Batch(batch) => &batch.executed_classes,
        }
    }
}

/// Serves a caller until it disconnects or the proxy stops.
pub async fn run(
    context: listen::CallerContext,
    accepted: handshake::Session,
    identity: SessionIdentity,
) -> Result<(), Error> {
    let sessions = Arc::clone(&context.sessions);
    let mut caller = accepted.framed;
    caller.set_codec(frame::Codec::new(context.engine.settings.max_frame_bytes));
    let mut session = Session {
        registration: sessions.register(),
        engine: context.engine,
        stopping: context.stopping,
        identity,
        caller,
        proxy_settings: proxy_answers::ProxySettings::default(),
        session_settings: SessionSettings::default(),
        statements: Statements::default(),
        class_cache: class::Cache::new(CLASS_CACHE_TEXTS_MAX, CLASS_CACHE_BYTES_MAX),
        lease: None,
        transaction_status: b'I',
        pending_settings: Vec::new(),
        has_savepoint: false,
    };
    let login = session
        .finish_login(&accepted.parameters, sessions.pid())
        .await;
    let ended = match login {
        Ok(()) => session.serve().await,
        Err(error) => Err(error),
    };
    session.close_open_transaction();
    if let Err(Error::Frame(error)) = &ended {
        let answer = answer::Answer::protocol_violation(error.to_string());
        // The caller may be gone already.
        let _ = session.caller.send(&answer.frame()).await;
    }
    ended
}

impl Session<'_> {
    async fn finish_login(
        &mut self,
        parameters: &[(Box<str>, Box<str>)],
        pid: i32,
    ) -> Result<(), Error> {
        for (name, value) in parameters {
            if class::changes_syntax(name, value) {
                let reason = class::PinReason::Syntax;
                let answer = answer::Answer::unsupported(reason.feature(), reason.hint());
                self.caller.send(&answer.fatal().frame()).await?;
                return Err(Error::Closed);
            }
            if !proxy_answers::ProxySettings::is_proxy_setting(name) {
                self.session_settings.set(name, value);
            } else if let Err(answer) = self.set_proxy_setting(name, value) {
                self.caller.send(&answer.fatal().frame()).await?;
                return Err(Error::Closed);
            }
        }
        self.session_settings.save_as_startup();
        let secret = bytes::Bytes::copy_from_slice(&self.registration.secret());
        let key = fulmarlift_wire::backend::CancelKey { pid, secret };
        let server_parameters = [
            ("server_version".into(), "15.0".into()),
            ("server_encoding".into(), "UTF8".into()),
            ("client_encoding".into(), "UTF8".into()),
            ("DateStyle".into(), "ISO, MDY".into()),
            ("integer_datetimes".into(), "on".into()),
            ("standard_conforming_strings".into(), "on".into()),
        ];
        handshake::finish(&mut self.caller, &server_parameters, &key).await?;
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
                    self.run_request(ClientRequest::Simple(frame, classes))
                        .await?;
                }
                frame::tag::frontend::TERMINATE => return Ok(()),
                // The protocol requires the server to skip the rest of a COPY that has failed.
                frame::tag::frontend::COPY_DATA
                | frame::tag::frontend::COPY_DONE
                | frame::tag::frontend::COPY_FAIL => {}
                _ => {
                    let batch = self.read_batch(frame).await?;
                    self.run_request(ClientRequest::Batch(batch)).await?;
                }
            }
        }
    }

    /// Reads the caller's next message; returns `None` when the proxy stops or the caller has disconnected.
    async fn next_frame(&mut self) -> Result<Option<frame::Frame>, Error> {
        let idle_deadline = self
            .lease
            .as_ref()
            .map(|lease| Instant::now() + lease.message_timeout);
        let in_transaction = idle_deadline.is_some();
        let idle_deadline =
            tokio::time::Instant::from_std(idle_deadline.unwrap_or_else(Instant::now));
        let next = tokio::select! {
            biased;
            frame = self.caller.read_frame() => frame,
            () = listen::wait_until_stopping(&mut self.stopping), if !in_transaction => {
                let answer = answer::Answer::shutdown();
                self.caller.send(&answer.frame()).await?;
                return Ok(None);
            }
            () = tokio::time::sleep_until(idle_deadline), if in_transaction => {
                self.close_open_transaction();
                self.end_idle_transaction().await?;
                return Ok(None);
            }
        };
        Ok(next?)
    }

    /// Ends the session of a caller that left a transaction open for too long.
    pub(super) async fn end_idle_transaction(&mut self) -> Result<(), Error> {
        let answer = answer::Answer::idle_in_transaction();
        self.caller.send(&answer.frame()).await?;
        Err(Error::Closed)
    }

    fn classify_query(&mut self, frame: &frame::Frame) -> Result<Classes, Error> {
        let message = frame.decode_frontend()?;
        let pgwire::messages::PgWireFrontendMessage::Query(query) = message else {
            return Ok(Arc::from([]));
        };
        Ok(self.class_cache.classify(&query.query))
    }

    async fn read_batch(&mut self, first: frame::Frame) -> Result<Batch, Error> {
        let mut batch = Batch::default();
        let mut next = Some(first);
        while let Some(frame) = next {
            if frame.tag == frame::tag::frontend::TERMINATE {
                return Err(Error::Closed);
            }
            let class_cache = &mut self.class_cache;
            let classify = |sql: &str| class_cache.classify(sql);
            if batch.add(frame, &mut self.statements, classify)? {
                return Ok(batch);
            }
            next = self.caller.read_frame().await?;
        }
        Err(Error::Closed)
    }

    async fn run_request(&mut self, client_request: ClientRequest) -> Result<(), Error> {
        let plan = Plan::of(client_request.classes());
        let refusal = match (&client_request, &plan) {
            (_, Plan::Refused(refusal)) => Some(*refusal),
            (ClientRequest::Batch(batch), _) => plan::refusal_of_any(&batch.prepared_classes),
            _ => None,
        };
        if let Some(refusal) = refusal {
            let answer = answer::Answer::unsupported(refusal.feature, refusal.hint);
            return self.refuse(&client_request, answer).await;
        }
        match &client_request {
            ClientRequest::Simple(_, classes)
                if !classes.is_empty() && proxy_answers::are_proxy_statements(classes) =>
            {
                let classes = Arc::clone(classes);
                return self
                    .answer_proxy_statements(&client_request, &classes)
                    .await;
            }
            ClientRequest::Batch(batch) if batch.is_answered_by_proxy() => {
                return self.answer_proxy_batch(&client_request).await;
            }
            ClientRequest::Batch(batch) if batch.has_proxy_messages() => {
                return self
                    .refuse(
                        &client_request,
                        answer::Answer::unsupported(
                            "a statement that the proxy answers itself beside others in one batch",
                            "Send a Sync between them.",
                        ),
                    )
                    .await;
            }
            _ => {}
        }
        match self.lease.take() {
            Some(lease) => self.run_in_transaction(client_request, lease).await,
            None => self.run_outside_transaction(client_request, plan).await,
        }
    }

    /// Answers with an error of the proxy. An open transaction fails at the member too, as after a member's error.
    pub(super) async fn refuse(
        &mut self,
        client_request: &ClientRequest,
        answer: answer::Answer,
    ) -> Result<(), Error> {
        if let Some(lease) = self.lease.take() {
            self.fail_transaction(lease).await;
        }
        self.send_error(client_request, answer).await
    }

    /// Puts the member's transaction into the failed state; closes the connection if that is not possible.
    async fn fail_transaction(&mut self, mut lease: Lease) {
        let deadline = tokio::time::Instant::now() + lease.message_timeout;
        let connection = &mut lease.backend.connection;
        let refused = backend::query(connection, FAIL_TRANSACTION, deadline).await;
        let failed = matches!(refused, Err(backend::Error::Database(_)))
            && connection.status == TransactionStatus::Error;
        if failed {
            self.transaction_status = b'E';
            self.lease = Some(lease);
        } else {
            self.close_connection(lease);
        }
    }

    pub(super) async fn send_error(
        &mut self,
        client_request: &ClientRequest,
        answer: answer::Answer,
    ) -> Result<(), Error> {
        self.caller.feed(&answer.frame());
        self.skip_to_sync(client_request).await?;
        self.caller
            .send(&proxy_answers::ready_for_query(self.transaction_status))
            .await?;
        Ok(())
    }

    /// Skips the caller's messages up to the Sync, after an error in a batch that ended with a Flush.
    async fn skip_to_sync(&mut self, client_request: &ClientRequest) -> Result<(), Error> {
        let ClientRequest::Batch(batch) = client_request else {
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

    pub(super) fn set_proxy_setting(
        &mut self,
        name: &str,
        value: &str,
    ) -> Result<(), answer::Answer> {
        let document = self.engine.document();
        let is_known_group = |group| document.topology.groups.contains(group);
        self.proxy_settings.set(name, value, is_known_group)
    }
}
