//! Passing messages between a caller and a member until the member is ready for the next query.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_wire::{frame, stream};
use pgwire::messages::PgWireBackendMessage;
use tokio::sync::oneshot;
use tokio::time;

use crate::caller::batch::{Batch, Expect, Translated};
use crate::caller::session::Link;
use crate::caller::statements::Statements;
use crate::member;

/// Parameter by which a member reports the point of a commit.
const POSITION: &str = "group_position";
/// SQLSTATE of a write at a member that is not the primary.
const NOT_PRIMARY: &str = "25006";
/// Transaction status of a connection outside a transaction.
const IDLE: u8 = b'I';

/// The caller's end of the stream.
pub type CallerStream = stream::Framed<stream::Stream>;

/// What a relay has seen.
#[derive(Debug)]
pub struct Relay<'a> {
    /// The caller.
    pub caller: &'a mut CallerStream,
    /// The connection to the member.
    pub backend: &'a mut member::Backend,
    /// Is told when the request is to be given up.
    pub interrupted: &'a mut oneshot::Receiver<()>,
    /// The caller's prepared statements.
    pub statements: &'a mut Statements,
    /// When the next message of the member must have arrived.
    pub deadline: Instant,
    /// Time that the member is given for each message after the first.
    pub progress: Duration,
    /// Whether a refusal for not being the primary is kept from the caller.
    pub hide_not_primary: bool,
    expects: VecDeque<Expect>,
    parses: VecDeque<Box<str>>,
    held: Option<frame::Frame>,
    report: Report,
    caller_speaks: bool,
}

/// The outcome of a relay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Transaction status in the member's ReadyForQuery.
    pub status: u8,
    /// The point of a commit.
    pub commit: Option<floor::Point>,
    /// Whether anything went to the caller.
    pub passed: bool,
    /// Whether the member refused because it is not the primary, and the caller was not told.
    pub not_primary: bool,
    /// Whether the member answered with an error.
    pub failed: bool,
    /// Messages that are held until the commit is safe.
    pub held: Option<frame::Frame>,
}

impl Report {
    /// Returns whether the connection is outside a transaction.
    pub fn is_idle(&self) -> bool {
        self.status == IDLE
    }
}

/// Why a relay ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The member's connection failed, or was silent for too long.
    #[error("member: {0}")]
    Member(#[source] frame::Error),
    /// The member closed the connection.
    #[error("the member closed the connection")]
    MemberGone,
    /// The member was replaced or cannot be reached.
    #[error("the member was replaced or cannot be reached")]
    Replaced,
    /// The member did not answer in time.
    #[error("the member did not answer in time")]
    Silent,
    /// The caller's connection failed or ended.
    #[error("caller: {0}")]
    Caller(#[source] frame::Error),
    /// The caller closed its connection.
    #[error("the caller closed its connection")]
    CallerGone,
}

/// How a relay ended early.
#[derive(Debug)]
pub struct Failure {
    /// Why.
    pub error: Error,
    /// Whether anything had gone to the caller.
    pub passed: bool,
}

impl Failure {
    /// Returns whether a read may be tried on another connection: the caller has seen nothing of it.
    pub fn may_retry(&self) -> bool {
        !self.passed && !self.error.is_callers()
    }
}

impl Error {
    /// Returns whether the caller's side failed.
    pub fn is_callers(&self) -> bool {
        matches!(self, Self::Caller(_) | Self::CallerGone)
    }
}

impl<'a> Relay<'a> {
    /// Creates a relay on a link.
    pub fn new(
        caller: &'a mut CallerStream,
        statements: &'a mut Statements,
        link: &'a mut Link,
        hide_not_primary: bool,
    ) -> Self {
        Self {
            caller,
            statements,
            deadline: link.first_byte_by,
            progress: link.progress,
            backend: &mut link.backend,
            interrupted: &mut link.interrupted,
            hide_not_primary,
            expects: VecDeque::new(),
            parses: VecDeque::new(),
            held: None,
            report: Report::default(),
            caller_speaks: false,
        }
    }

    /// Sends a simple query and passes its answer on.
    ///
    /// # Errors
    ///
    /// Returns how the relay ended early.
    pub async fn simple(mut self, query: &frame::Frame) -> Result<Report, Failure> {
        self.backend.connection.framed.feed(query);
        let ended = self.run().await;
        self.end(ended)
    }

    /// Sends a batch and passes its answers on.
    ///
    /// # Errors
    ///
    /// Returns how the relay ended early.
    pub async fn batch(mut self, batch: &Batch) -> Result<Report, Failure> {
        let ended = match self.send_batch(batch) {
            Ok(()) => self.run().await,
            Err(error) => Err(error),
        };
        self.end(ended)
    }

    fn end(mut self, ended: Result<(), Error>) -> Result<Report, Failure> {
        let passed = self.report.passed;
        self.report.held = self.held.take();
        match ended {
            Ok(()) => Ok(self.report),
            Err(error) => Err(Failure { error, passed }),
        }
    }

    fn send_batch(&mut self, batch: &Batch) -> Result<(), Error> {
        let translated = batch.translate(self.statements, self.backend);
        let translated = translated.map_err(Error::Caller)?;
        self.feed(translated);
        let last = batch.frames.last().map(|frame| frame.tag);
        self.caller_speaks = last != Some(frame::tag::frontend::SYNC);
        Ok(())
    }

    fn feed(&mut self, translated: Translated) {
        for frame in &translated.frames {
            self.backend.connection.framed.feed(frame);
        }
        self.expects.extend(translated.expects);
        self.parses.extend(translated.parses);
    }

    async fn run(&mut self) -> Result<(), Error> {
        self.flush_backend().await?;
        loop {
            let next = self.next().await?;
            match next {
                Next::Member(frame) => {
                    if self.take_members(frame)? {
                        return Ok(());
                    }
                    self.deadline = Instant::now() + self.progress;
                    if self.caller.is_full() {
                        self.flush_caller().await?;
                    }
                }
                Next::Caller(frame) => {
                    self.take_callers(frame)?;
                    self.flush_backend().await?;
                }
            }
        }
    }

    /// Returns the next message of either side; the caller is heard only where the protocol has it speak.
    async fn next(&mut self) -> Result<Next, Error> {
        let framed = &mut self.backend.connection.framed;
        if let Some(frame) = framed.decode_buffered().map_err(Error::Member)? {
            return Ok(Next::Member(frame));
        }
        if self.caller.has_output() {
            self.flush_caller().await?;
        }
        let deadline = time::Instant::from_std(self.deadline);
        let framed = &mut self.backend.connection.framed;
        tokio::select! {
            frame = framed.read_frame() => match frame {
                Ok(Some(frame)) => Ok(Next::Member(frame)),
                Ok(None) => Err(Error::MemberGone),
                Err(error) => Err(Error::Member(error)),
            },
            frame = self.caller.read_frame(), if self.caller_speaks => match frame {
                Ok(Some(frame)) => Ok(Next::Caller(frame)),
                Ok(None) => Err(Error::CallerGone),
                Err(error) => Err(Error::Caller(error)),
            },
            Ok(()) = &mut *self.interrupted => Err(Error::Replaced),
            () = time::sleep_until(deadline), if !self.caller_speaks => Err(Error::Silent),
        }
    }

    async fn flush_backend(&mut self) -> Result<(), Error> {
        let limit = time::Instant::from_std(self.deadline.max(Instant::now() + self.progress));
        let flush = self.backend.connection.framed.flush();
        match time::timeout_at(limit, flush).await {
            Ok(flushed) => flushed.map_err(Error::Member),
            Err(_) => Err(Error::Silent),
        }
    }

    async fn flush_caller(&mut self) -> Result<(), Error> {
        // A caller that does not read must not hold a connection for ever.
        match time::timeout(self.progress, self.caller.flush()).await {
            Ok(flushed) => flushed.map_err(Error::Caller),
            Err(_) => Err(Error::CallerGone),
        }
    }

    fn take_callers(&mut self, frame: frame::Frame) -> Result<(), Error> {
        use frame::tag::frontend as tag;
        match frame.tag {
            tag::COPY_DATA => self.backend.connection.framed.feed(&frame),
            tag::COPY_DONE | tag::COPY_FAIL => {
                self.caller_speaks = false;
                self.backend.connection.framed.feed(&frame);
                self.deadline = Instant::now() + self.progress;
            }
            tag::TERMINATE => return Err(Error::CallerGone),
            _ => self.continue_batch(frame)?,
        }
        Ok(())
    }

    /// Passes on what follows a Flush.
    fn continue_batch(&mut self, frame: frame::Frame) -> Result<(), Error> {
        let mut batch = Batch::default();
        let classify = |_: &str| std::sync::Arc::from([]);
        batch
            .add(frame, self.statements, classify)
            .map_err(Error::Caller)?;
        self.send_batch(&batch)?;
        self.deadline = Instant::now() + self.progress;
        Ok(())
    }

    /// Takes in a message of the member; returns whether it is ready for the next query.
    fn take_members(&mut self, frame: frame::Frame) -> Result<bool, Error> {
        use frame::tag::backend as tag;
        match frame.tag {
            tag::PARSE_COMPLETE => {
                self.parses.pop_front();
                self.pass_expected(frame);
            }
            tag::BIND_COMPLETE | tag::CLOSE_COMPLETE => self.pass_expected(frame),
            tag::COMMAND_COMPLETE => {
                self.release_held();
                self.held = Some(frame);
            }
            tag::READY_FOR_QUERY => {
                self.report.status = frame.body().first().copied().unwrap_or_default();
                return Ok(true);
            }
            tag::PARAMETER_STATUS => self.parameter(frame)?,
            tag::ERROR_RESPONSE => self.error(frame)?,
            tag::COPY_IN_RESPONSE => {
                self.caller_speaks = true;
                self.pass(frame);
            }
            _ => self.pass(frame),
        }
        Ok(false)
    }

    fn pass(&mut self, frame: frame::Frame) {
        self.release_held();
        self.report.passed = true;
        self.caller.feed(&frame);
    }

    fn release_held(&mut self) {
        if let Some(held) = self.held.take() {
            self.report.passed = true;
            self.caller.feed(&held);
        }
    }

    fn pass_expected(&mut self, frame: frame::Frame) {
        if self.expects.pop_front() != Some(Expect::Drop) {
            self.pass(frame);
        }
    }

    fn parameter(&mut self, frame: frame::Frame) -> Result<(), Error> {
        let message = frame.decode_backend().map_err(Error::Member)?;
        let PgWireBackendMessage::ParameterStatus(status) = message else {
            return Ok(());
        };
        if status.name == POSITION {
            self.report.commit = point(&status.value).or(self.report.commit);
        } else {
            self.pass(frame);
        }
        Ok(())
    }

    fn error(&mut self, frame: frame::Frame) -> Result<(), Error> {
        self.report.failed = true;
        self.expects.clear();
        self.caller_speaks = false;
        // What the member had not prepared by now it has skipped.
        for name in self.parses.drain(..) {
            self.backend.prepared.retain(|known| *known != name);
        }
        let message = frame.decode_backend().map_err(Error::Member)?;
        let PgWireBackendMessage::ErrorResponse(error) = message else {
            return Ok(());
        };
        let refused = error
            .fields
            .iter()
            .any(|(kind, value)| *kind == b'C' && value == NOT_PRIMARY);
        if refused && self.hide_not_primary && !self.report.passed && self.held.is_none() {
            self.report.not_primary = true;
        } else {
            self.pass(frame);
        }
        Ok(())
    }
}

enum Next {
    Member(frame::Frame),
    Caller(frame::Frame),
}

fn point(text: &str) -> Option<floor::Point> {
    let (term, position) = text.split_once(':')?;
    Some(floor::Point::new(
        term.parse().ok()?,
        position.parse().ok()?,
    ))
}
