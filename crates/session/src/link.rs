//! A connection to a member, or to a home of its group.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event;
use fulmarlift_core::id;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::answer;
use crate::clock;
use crate::limits;
use crate::logging;
use crate::outgoing;
use crate::peer::greeting;
use crate::protocol;
use crate::protocol::member;
use crate::protocol::member::Codec;
use crate::steps;
use crate::values;

/// Time without an acknowledgement of sent bytes after which the kernel closes a connection: three retransmissions.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time before the first keepalive probe, and the interval between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Most bytes without a command that are read to find out whether the other end has closed the connection.
const UNSOLICITED_BYTES_MAX: usize = 4_096;

/// Error that makes a connection unusable.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The socket reported an error, or the other side closed the connection.
    #[error("connection broken")]
    Broken(#[from] io::Error),
    /// No answer arrived before the deadline.
    #[error("no answer in time")]
    Silent,
    /// A command was not sent; the connection itself is usable.
    #[error(transparent)]
    Withheld(#[from] protocol::Withheld),
    /// The other end refused a session value or a prepared statement; the connection itself is usable.
    #[error("session values refused with {0:?}")]
    Refused(protocol::Code),
    /// The command succeeded, and the transaction state after it is another one than it leads to.
    #[error("in state {told:?} in place of {expected:?}")]
    State {
        /// State to which the command leads.
        expected: protocol::TransactionState,
        /// State in the answer.
        told: protocol::TransactionState,
    },
    /// The member sent a message that the codec cannot decode.
    #[error("member's answer: {0}")]
    Wire(#[from] protocol::WireError),
}

/// Error while a connection is opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The connection broke or timed out.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The home is no proxy of the same version, or not the one that is meant.
    #[error(transparent)]
    Greeting(#[from] greeting::Refusal),
    /// The member answered the startup message with an error.
    #[error("refused with {0:?}")]
    Refused(protocol::Code),
    /// The workspace that the connection would serve has been removed; the member was not contacted.
    #[error("unknown workspace")]
    UnknownWorkspace,
}

impl OpenError {
    /// Classifies the error for the broker.
    pub fn failure(&self) -> event::OpenFailure {
        match self {
            Self::Refused(protocol::Code::TooMany | protocol::Code::Busy) => {
                event::OpenFailure::Full
            }
            Self::Refused(_) | Self::Greeting(_) | Self::Link(LinkError::State { .. }) => {
                event::OpenFailure::WrongMember
            }
            Self::Link(LinkError::Broken(error)) if error.kind() != io::ErrorKind::TimedOut => {
                event::OpenFailure::Refused
            }
            Self::Link(_) => event::OpenFailure::Silent,
            Self::UnknownWorkspace => event::OpenFailure::Abandoned,
        }
    }
}

/// An open connection to a member or home, with its codec and buffers.
#[derive(Debug)]
pub struct Link<C> {
    stream: TcpStream,
    codec: C,
    inbox: BytesMut,
    outbox: BytesMut,
    /// Commands without an answer, and the transaction state of the other end.
    steps: steps::Steps,
    /// Whether the other end stops, so that nothing more must be sent.
    closing: bool,
    /// Whether the other end has closed the connection.
    closed: bool,
    /// Number of answers that have arrived.
    answers: u64,
    /// Instant at which commands were last sent.
    sent_at: Instant,
    /// Member or home at the other end.
    pub member: id::MemberId,
    /// Name of the member, or of the home's VM, for the log.
    name: Box<str>,
    /// Caller's id of the statement that the connection is used for, for the log; empty for the proxy's own commands.
    pub request: Bytes,
    /// Instant at which the connection was opened.
    pub connected_at: Instant,
    /// Session values and prepared statements that the other end holds for this connection.
    pub connection_state: values::ConnectionState,
}

/// Sets keepalive, user timeout and no-delay on a socket, so that the kernel closes it soon after the peer is lost.
///
/// # Errors
///
/// Returns the error of the system call that failed.
pub fn set_liveness_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    stream.set_nodelay(true)
}

impl<C: Codec> Link<C> {
    /// Opens a connection to a member of a group, given by its name and id, for a workspace. A member refuses if its name or group is another.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the connection fails, the member refuses, or the deadline passes.
    pub async fn open(
        address: SocketAddr,
        group: &str,
        member: (&str, id::MemberId),
        workspace: Option<&str>,
        deadline: Instant,
    ) -> Result<Self, OpenError> {
        let mut link = Self::connect(address, member, deadline).await?;
        let startup = member::Command::Startup {
            group,
            member: member.0,
            workspace,
        };
        link.push(startup).map_err(LinkError::from)?;
        link.start(deadline).await
    }

    /// Opens a connection to the proxy of the VM with this name, a home of the group. The proxy of the VM `asker` opens it.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the connection fails, one of the proxies refuses the other, or the deadline passes.
    pub async fn open_home(
        address: SocketAddr,
        group: &str,
        home: (&str, id::MemberId),
        asker: &str,
        deadline: Instant,
    ) -> Result<Self, OpenError> {
        let (name, _) = home;
        let mut link = Self::connect(address, home, deadline).await?;
        let service = greeting::Service::Statements;
        greeting::Greeting::new(service, name, asker).encode(&mut link.outbox);
        let startup = member::Command::Startup {
            group,
            member: name,
            workspace: None,
        };
        link.push(startup).map_err(LinkError::from)?;
        let greeted = async {
            link.stream.write_all_buf(&mut link.outbox).await?;
            greeting::receive_answer(&mut link.stream, &mut link.inbox, name).await
        };
        let greeted = tokio::time::timeout_at(clock::tokio_deadline(deadline), greeted).await;
        greeted
            .map_err(|_| LinkError::Silent)?
            .map_err(|error| match error {
                greeting::GreetingError::Broken(error) => OpenError::Link(error.into()),
                greeting::GreetingError::Refused(refusal) => OpenError::Greeting(refusal),
            })?;
        link.start(deadline).await
    }

    async fn connect(
        address: SocketAddr,
        (name, member): (&str, id::MemberId),
        deadline: Instant,
    ) -> Result<Self, OpenError> {
        let connected =
            tokio::time::timeout_at(clock::tokio_deadline(deadline), connect(address)).await;
        let stream = connected
            .map_err(|_| LinkError::Silent)?
            .map_err(LinkError::Broken)?;
        Ok(Self {
            stream,
            codec: C::default(),
            inbox: BytesMut::new(),
            outbox: BytesMut::new(),
            steps: steps::Steps::default(),
            closing: false,
            closed: false,
            answers: 0,
            sent_at: clock::now(),
            member,
            name: name.into(),
            request: Bytes::new(),
            connected_at: clock::now(),
            connection_state: values::ConnectionState::default(),
        })
    }

    /// Waits for the answer to the startup message.
    async fn start(mut self, deadline: Instant) -> Result<Self, OpenError> {
        let answer = self.exchange(deadline).await?;
        match answer.end {
            member::End::Ready => Ok(self),
            member::End::Error(code, _) => Err(OpenError::Refused(code)),
            member::End::Complete(_) => {
                Err(LinkError::from(protocol::WireError::Malformed("startup")).into())
            }
        }
    }

    /// Appends a command to the bytes that the next [`Self::exchange`] sends.
    ///
    /// # Errors
    ///
    /// [`protocol::Withheld`] if the command must not be sent; nothing is appended.
    pub fn push(&mut self, command: member::Command<'_>) -> Result<(), protocol::Withheld> {
        outgoing::append(
            &mut self.codec,
            &mut self.connection_state,
            command,
            &mut self.outbox,
        )?;
        self.steps.push(&command);
        Ok(())
    }

    /// Appends a caller's statement, as [`Self::push`] does, if it runs in the transaction state that the session believes in.
    ///
    /// # Errors
    ///
    /// [`protocol::Withheld`] if the statement must not be sent; nothing is appended.
    pub fn push_statement(
        &mut self,
        command: member::Command<'_>,
        believed: protocol::TransactionState,
    ) -> Result<(), protocol::Withheld> {
        self.check(believed)?;
        self.push(command)
    }

    /// Checks that the other end has sent nothing beside the awaited answers, and that a statement would run in the given state.
    fn check(&mut self, believed: protocol::TransactionState) -> Result<(), protocol::Withheld> {
        self.read_unsolicited();
        if self.closed {
            return Err(protocol::Withheld::Closed);
        }
        if !self.inbox.is_empty() {
            return Err(self.out_of_step());
        }
        self.steps.check(believed)
    }

    /// Checks that the connection can be used for any statement: as [`Self::push_statement`] does, and that all is answered.
    ///
    /// # Errors
    ///
    /// The reason why it cannot.
    pub fn check_idle(&mut self) -> Result<(), protocol::Withheld> {
        self.check(protocol::TransactionState::Idle)?;
        match self.steps.unanswered() {
            0 => Ok(()),
            _ => Err(self.out_of_step()),
        }
    }

    fn out_of_step(&self) -> protocol::Withheld {
        protocol::Withheld::OutOfStep {
            left_bytes: self.inbox.len(),
            unanswered: self.steps.unanswered(),
        }
    }

    /// Reads what has arrived without a command, and takes the notice of a stopping home out of it.
    fn read_unsolicited(&mut self) {
        loop {
            match self.stream.try_read_buf(&mut self.inbox) {
                Ok(0) => self.closed = true,
                Ok(_) if self.inbox.len() <= UNSOLICITED_BYTES_MAX => continue,
                Ok(_) => {}
                Err(error) => self.closed |= error.kind() != io::ErrorKind::WouldBlock,
            }
            break;
        }
        if self.inbox.is_empty() {
            return;
        }
        // Whatever else has arrived stays in the buffer, so that the connection is not used again.
        let mut rest = self.inbox.clone();
        while let Ok(Some(member::Frame::Closing)) = self.codec.decode(&mut rest) {
            self.closing = true;
            self.inbox = rest.clone();
        }
    }

    /// Sends a command and returns the answer to it.
    ///
    /// # Errors
    ///
    /// As [`Self::push`] and [`Self::exchange`], and [`protocol::Withheld::OutOfStep`] if something else would be taken for the
    /// answer.
    pub async fn request(
        &mut self,
        command: member::Command<'_>,
        deadline: Instant,
    ) -> Result<member::Answer, LinkError> {
        self.read_unsolicited();
        if !self.inbox.is_empty() || self.steps.unanswered() > 0 {
            return Err(self.out_of_step().into());
        }
        self.push(command)?;
        self.exchange(deadline).await
    }

    /// Sends the appended commands and returns the answer to the oldest unanswered command.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is unusable from now on.
    pub async fn exchange(&mut self, deadline: Instant) -> Result<member::Answer, LinkError> {
        if !self.outbox.is_empty() {
            self.sent_at = clock::now();
        }
        let exchanged = async {
            self.stream.write_all_buf(&mut self.outbox).await?;
            self.read_answer().await
        };
        let answered = tokio::time::timeout_at(clock::tokio_deadline(deadline), exchanged).await;
        let answer = answered.map_err(|_| LinkError::Silent)??;
        limits::free_if_idle(&mut self.outbox);
        limits::detach(&mut self.inbox, answer.size_bytes());
        self.answers += 1;
        self.steps.answer(&answer)?;
        Ok(answer)
    }

    async fn read_answer(&mut self) -> Result<member::Answer, LinkError> {
        let mut builder = answer::Builder::default();
        loop {
            let head = logging::Head::of(&self.inbox);
            let decoded = self.codec.decode(&mut self.inbox);
            let rows = builder.rows();
            match decoded.inspect_err(|error| self.log_malformed(error, &head, rows))? {
                Some(member::Frame::Closing) => self.closing = true,
                Some(frame) => {
                    let added = builder.add(frame);
                    let added = added.inspect_err(|error| self.log_malformed(error, &head, rows));
                    if let Some(answer) = added? {
                        return Ok(answer);
                    }
                }
                None => {
                    if self.stream.read_buf(&mut self.inbox).await? == 0 {
                        let closed = || io::Error::from(io::ErrorKind::UnexpectedEof).into();
                        return builder.close().ok_or_else(closed);
                    }
                }
            }
        }
    }

    /// Logs and counts a message that cannot be decoded. `rows` is the number of rows of its answer before it.
    fn log_malformed(&mut self, error: &protocol::WireError, head: &logging::Head, rows: usize) {
        // What has arrived behind the message but is not read yet tells more; the connection is not used again.
        let _ = self.stream.try_read_buf(&mut self.inbox);
        let reason = error.reason();
        metrics::counter!("fulmarlift_answers_malformed_total", "reason" => reason).increment(1);
        let connection = self.stream.local_addr().map(|address| address.to_string());
        let sent_ago = clock::now().saturating_duration_since(self.sent_at);
        log::warn!(
            "event=member_malformed request={} member={} connection={} error=\"{error}\" answers_before={} rows_before={rows} sent_ms_ago={} message=\"{}\" left_bytes={} left=\"{}\"",
            logging::request_text(&self.request),
            self.name,
            connection.as_deref().unwrap_or("none"),
            self.answers,
            sent_ago.as_millis(),
            head.field(),
            self.inbox.len(),
            logging::Head::of(&self.inbox).field(),
        );
    }

    /// Returns whether an idle connection is unusable: the other side has closed it, stops, or has sent bytes without a
    /// command.
    pub fn is_dead(&mut self) -> bool {
        self.check_idle().is_err() || self.closing
    }

    /// Closes the connection, with a termination message if the socket accepts it without waiting. The rest of a command that was
    /// sent in part is not sent: its caller may have been told that it does not run.
    pub fn close(mut self) {
        // The other end sees that the connection is closed, with the message or without it.
        if self.outbox.is_empty() && self.push(member::Command::Terminate).is_ok() {
            let _ = self.stream.try_write(&self.outbox);
        }
    }

    /// Decodes a member's status from an answer; none if the command failed, or the answer has not just the row of the status.
    pub fn member_status(&self, answer: &member::Answer) -> Option<event::MemberStatus> {
        match (&*answer.rows, &answer.end) {
            ([row], member::End::Complete(_)) => self.codec.member_status(row),
            _ => None,
        }
    }
}

/// Connects to an address, with time-outs that find a lost peer.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(address).await?;
    set_liveness_timeouts(&stream)?;
    Ok(stream)
}
