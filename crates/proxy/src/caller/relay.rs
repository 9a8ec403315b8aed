//! Relays messages between a caller and a member until the member is ready for the next query.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::floor;
use fulmarlift_wire::backend::expected;
use fulmarlift_wire::frame::tag::{backend, frontend};
use fulmarlift_wire::{class, frame, stream};
use pgwire::messages::PgWireBackendMessage;
use tokio::sync::oneshot;
use tokio::time;

use crate::caller::batch::Batch;
use crate::caller::plan;
use crate::caller::session::Lease;
use crate::caller::statements::Statements;
use crate::member;

pub use crate::caller::relay_result::{Error, Failure, Report};

/// Parameter in which a member reports the point of a commit.
const COMMIT_POINT_PARAMETER: &str = "group_position";
/// SQLSTATE with which a member refuses a write because it is not the primary. PostgreSQL also uses it for a write in a
/// read-only transaction.
const NOT_PRIMARY: &str = "25006";
/// Command tag of a COMMIT that the member has turned into a rollback.
const ROLLBACK_TAG: &[u8] = b"ROLLBACK\0";
/// Maximum size of the messages that the relay holds back from the caller, see [`Report::held_frames`].
const HELD_BYTES_MAX: usize = 32 << 10;
/// Types of members' messages that the relay passes on in chunks when they are large.
const STREAMED_FROM_MEMBER: &[u8] = &[backend::DATA_ROW, backend::COPY_DATA];
/// Types of callers' messages that the relay passes on in chunks when they are large.
const STREAMED_FROM_CALLER: &[u8] = &[frontend::COPY_DATA];

/// Stream to and from a caller.
pub type CallerStream = stream::Framed<stream::Stream>;

/// A relay between one caller and one member.
#[derive(Debug)]
pub struct Relay<'a> {
    /// Stream to and from the caller.
    pub caller: &'a mut CallerStream,
    /// Connection to the member.
    pub backend: &'a mut member::Backend,
    /// Receives a message when the request must be given up.
    pub interrupted: &'a mut oneshot::Receiver<()>,
    /// The caller's prepared statements.
    pub statements: &'a mut Statements,
    /// Time by which the next message must arrive: from the caller if the relay waits for it, else from the member.
    pub deadline: Instant,
    /// Time that the caller and the member have for each message after the first.
    pub message_timeout: Duration,
    /// Whether to report a member's refusal with `NOT_PRIMARY` to the session, which sends the request to another
    /// member, instead of passing it on to the caller.
    pub hide_not_primary: bool,
    /// Responses that the member still has to send.
    expected: expected::ExpectedResponses,
    /// Shared names of statements whose ParseComplete has not arrived.
    pending_parses: VecDeque<Box<str>>,
    report: Report,
    /// Whether the member waits for the rows of a COPY FROM STDIN.
    copying_in: bool,
    is_simple_query: bool,
    /// Whether the last message to the caller is incomplete, because not all chunks of it have arrived.
    message_cut: bool,
}

/// Next message or chunk of a message, by its sender.
enum NextPart {
    Member(stream::Part),
    Caller(stream::Part),
}

impl<'a> Relay<'a> {
    /// Creates a relay on a leased connection.
    pub fn new(
        caller: &'a mut CallerStream,
        statements: &'a mut Statements,
        lease: &'a mut Lease,
        hide_not_primary: bool,
    ) -> Self {
        Self {
            caller,
            statements,
            deadline: lease.first_byte_by,
            message_timeout: lease.message_timeout,
            backend: &mut lease.backend,
            interrupted: &mut lease.interrupted,
            hide_not_primary,
            expected: expected::ExpectedResponses::default(),
            pending_parses: VecDeque::new(),
            report: Report::default(),
            copying_in: false,
            is_simple_query: false,
            message_cut: false,
        }
    }

    /// Sends a simple query and relays the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when the relay ends before the member is ready for the next query.
    pub async fn run_simple_query(mut self, query: &frame::Frame) -> Result<Report, Failure> {
        self.backend.connection.framed.feed(query);
        self.expected = expected::ExpectedResponses::simple_query();
        self.is_simple_query = true;
        let ended = self.run().await;
        self.into_result(ended)
    }

    /// Sends a batch and relays the answers.
    ///
    /// # Errors
    ///
    /// Returns an error when the relay ends before the member is ready for the next query.
    pub async fn run_batch(mut self, batch: &Batch) -> Result<Report, Failure> {
        let ended = match self.send_batch(batch) {
            Ok(()) => self.run().await,
            Err(error) => Err(error),
        };
        self.into_result(ended)
    }

    /// Returns the result of the relay. Statements without a ParseComplete do not count as prepared on the connection.
    fn into_result(mut self, ended: Result<(), Error>) -> Result<Report, Failure> {
        for name in self.pending_parses.drain(..) {
            self.backend
                .prepared_statements
                .retain(|known| *known != name);
        }
        match ended {
            Ok(()) => Ok(self.report),
            Err(error) => Err(Failure {
                error,
                sent_to_caller: self.report.sent_to_caller,
                batch_continued: self.report.batch_continued,
                message_cut: self.message_cut,
            }),
        }
    }

    fn send_batch(&mut self, batch: &Batch) -> Result<(), Error> {
        let translated = batch.translate(self.statements, self.backend);
        let translated = translated.map_err(Error::Caller)?;
        for frame in &translated.frames {
            self.backend.connection.framed.feed(frame);
        }
        self.expected.extend(translated.expected);
        self.pending_parses.extend(translated.parses);
        let last = batch.frames.last().map(|frame| frame.tag);
        self.expected.set_sync_pending(last == Some(frontend::SYNC));
        Ok(())
    }

    /// Returns whether the protocol allows the caller to send messages now.
    fn accepts_caller_messages(&self) -> bool {
        match self.is_simple_query {
            true => self.copying_in,
            false => !self.expected.is_sync_pending(),
        }
    }

    /// Returns whether the member sends nothing until the caller has sent a message.
    fn waits_for_caller(&self) -> bool {
        self.accepts_caller_messages() && (self.copying_in || self.expected.is_complete())
    }

    async fn run(&mut self) -> Result<(), Error> {
        self.flush_backend().await?;
        loop {
            match self.next_part().await? {
                NextPart::Member(part) => {
                    if self.handle_member_part(part)? {
                        return Ok(());
                    }
                    if self.caller.should_flush() {
                        self.flush_caller().await?;
                    }
                }
                NextPart::Caller(part) => {
                    self.handle_caller_part(part)?;
                    self.flush_backend().await?;
                }
            }
            self.deadline = Instant::now() + self.message_timeout;
        }
    }

    /// Returns the next message or chunk of a message: from the member, or from the caller when the protocol allows the
    /// caller to send messages.
    async fn next_part(&mut self) -> Result<NextPart, Error> {
        let framed = &mut self.backend.connection.framed;
        if let Some(part) = framed
            .buffered_part(STREAMED_FROM_MEMBER)
            .map_err(Error::Member)?
        {
            return Ok(NextPart::Member(part));
        }
        let accepts_caller_messages = self.accepts_caller_messages();
        if accepts_caller_messages {
            // The caller may need the held messages before it continues.
            self.release_held();
        }
        if self.caller.has_output() {
            self.flush_caller().await?;
        }
        let waits_for_caller = self.waits_for_caller();
        let deadline = time::Instant::from_std(self.deadline);
        let framed = &mut self.backend.connection.framed;
        tokio::select! {
            part = framed.read_part(STREAMED_FROM_MEMBER) => match part {
                Ok(Some(part)) => Ok(NextPart::Member(part)),
                Ok(None) => Err(Error::MemberGone),
                Err(error) => Err(Error::Member(error)),
            },
            part = self.caller.read_part(STREAMED_FROM_CALLER), if accepts_caller_messages => match part {
                Ok(Some(part)) => Ok(NextPart::Caller(part)),
                Ok(None) => Err(Error::CallerGone),
                Err(error) => Err(Error::Caller(error)),
            },
            Ok(()) = &mut *self.interrupted => Err(Error::Replaced),
            () = time::sleep_until(deadline) => Err(match waits_for_caller {
                true => Error::CallerSilent,
                false => Error::Silent,
            }),
        }
    }

    async fn flush_backend(&mut self) -> Result<(), Error> {
        let flush_deadline =
            time::Instant::from_std(self.deadline.max(Instant::now() + self.message_timeout));
        let flush = self.backend.connection.framed.flush();
        match time::timeout_at(flush_deadline, flush).await {
            Ok(flushed) => flushed.map_err(Error::Member),
            Err(_) => Err(Error::Silent),
        }
    }

    async fn flush_caller(&mut self) -> Result<(), Error> {
        // A caller that does not read must not occupy the connection to the member for ever.
        match time::timeout(self.message_timeout, self.caller.flush()).await {
            Ok(flushed) => flushed.map_err(Error::Caller),
            Err(_) => Err(Error::CallerGone),
        }
    }

    fn handle_caller_part(&mut self, part: stream::Part) -> Result<(), Error> {
        let frame = match part {
            stream::Part::Frame(frame) => frame,
            stream::Part::Chunk { bytes, .. } => {
                if self.copying_in {
                    self.backend.connection.framed.feed_bytes(&bytes);
                }
                return Ok(());
            }
        };
        match frame.tag {
            frontend::TERMINATE => return Err(Error::CallerGone),
            frontend::COPY_DATA if self.copying_in => self.backend.connection.framed.feed(&frame),
            frontend::COPY_DONE | frontend::COPY_FAIL if self.copying_in => {
                self.copying_in = false;
                self.backend.connection.framed.feed(&frame);
            }
            // During a COPY FROM STDIN the member ignores Sync and Flush; those that count follow the end of the copy.
            frontend::SYNC | frontend::FLUSH if self.copying_in => {}
            frontend::SYNC => {
                self.backend.connection.framed.feed(&frame);
                self.expected.set_sync_pending(true);
            }
            // After an error the member skips all messages up to the Sync.
            _ if self.expected.has_failed() => {}
            frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => {}
            _ => self.continue_batch(frame)?,
        }
        Ok(())
    }

    /// Sends the member a message with which the caller continues a batch after a Flush.
    fn continue_batch(&mut self, frame: frame::Frame) -> Result<(), Error> {
        let mut batch = Batch::default();
        let classify = |sql: &str| std::sync::Arc::from(class::classify(sql));
        batch
            .add(frame, self.statements, classify)
            .map_err(Error::Caller)?;
        self.report.batch_continued = true;
        match plan::refusal_of_any(&batch.prepared_classes) {
            Some(refusal) => Err(Error::Refused(refusal)),
            None => self.send_batch(&batch),
        }
    }

    /// Handles a message of the member; returns whether the member is ready for the next query.
    fn handle_member_part(&mut self, part: stream::Part) -> Result<bool, Error> {
        let frame = match part {
            stream::Part::Frame(frame) => frame,
            stream::Part::Chunk {
                tag,
                bytes,
                is_last,
            } => {
                if !std::mem::replace(&mut self.message_cut, !is_last) {
                    self.expected.check(tag)?;
                }
                self.release_held();
                self.report.sent_to_caller = true;
                self.caller.feed_bytes(&bytes);
                return Ok(false);
            }
        };
        let forwarding = self.expected.check(frame.tag)?;
        match frame.tag {
            backend::READY_FOR_QUERY => {
                self.report.transaction_status = frame.body().first().copied().unwrap_or_default();
                return Ok(true);
            }
            backend::PARAMETER_STATUS => {
                return self.handle_parameter_status(frame).map(|()| false);
            }
            backend::ERROR_RESPONSE => return self.handle_error(frame).map(|()| false),
            backend::PARSE_COMPLETE => drop(self.pending_parses.pop_front()),
            backend::COMMAND_COMPLETE => self.report.rolled_back = frame.body() == ROLLBACK_TAG,
            backend::COPY_IN_RESPONSE => {
                self.copying_in = true;
                // While the member receives rows, it ignores the Sync that came with the statement.
                self.expected.set_sync_pending(self.is_simple_query);
            }
            _ => {}
        }
        if forwarding == expected::Forwarding::Forward {
            self.pass_on(frame);
        }
        Ok(false)
    }

    fn pass_on(&mut self, frame: frame::Frame) {
        let held_bytes: usize = self
            .report
            .held_frames
            .iter()
            .map(|held| held.bytes.len())
            .sum();
        let is_row = STREAMED_FROM_MEMBER.contains(&frame.tag);
        if is_row || held_bytes + frame.bytes.len() > HELD_BYTES_MAX {
            self.release_held();
        }
        if is_row {
            self.report.sent_to_caller = true;
            self.caller.feed(&frame);
        } else {
            self.report.held_frames.push(frame);
        }
    }

    fn release_held(&mut self) {
        for held in self.report.held_frames.drain(..) {
            self.report.sent_to_caller = true;
            self.caller.feed(&held);
        }
    }

    fn handle_parameter_status(&mut self, frame: frame::Frame) -> Result<(), Error> {
        let message = frame.decode_backend().map_err(Error::Member)?;
        let PgWireBackendMessage::ParameterStatus(status) = message else {
            return Ok(());
        };
        if status.name == COMMIT_POINT_PARAMETER {
            self.report.commit_point = parse_point(&status.value).or(self.report.commit_point);
        } else {
            self.pass_on(frame);
        }
        Ok(())
    }

    fn handle_error(&mut self, frame: frame::Frame) -> Result<(), Error> {
        self.report.failed = true;
        self.copying_in = false;
        let message = frame.decode_backend().map_err(Error::Member)?;
        let PgWireBackendMessage::ErrorResponse(error) = message else {
            return Ok(());
        };
        let is_code = |(kind, value): &(u8, String)| *kind == b'C' && value == NOT_PRIMARY;
        let refused = error.fields.iter().any(is_code);
        if refused && self.hide_not_primary && !self.report.sent_to_caller {
            self.report.not_primary = true;
        }
        self.pass_on(frame);
        Ok(())
    }
}

fn parse_point(text: &str) -> Option<floor::Point> {
    let (term, position) = text.split_once(':')?;
    Some(floor::Point::new(
        term.parse().ok()?,
        position.parse().ok()?,
    ))
}
