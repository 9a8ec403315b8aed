//! A connection to a member.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use fulmarlift_broker::event;
use fulmarlift_core::id;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::clock;
use crate::protocol;
use crate::protocol::member;
use crate::protocol::member::Codec;
use crate::values;

/// Time without an acknowledgement of sent bytes after which a connection counts as dead: three retransmissions.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without traffic after which the other side is probed, and the pause between two probes.
const KEEPALIVE: Duration = Duration::from_millis(1_000);
/// Probes without an answer after which a connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// Most bytes of one answer; above it the connection is given up. Today's answers are a few KB.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// Why a connection cannot be used any more.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// It broke.
    #[error("connection broken")]
    Broken(#[from] io::Error),
    /// Nothing came in time.
    #[error("no answer in time")]
    Silent,
    /// The member sent something that cannot be understood.
    #[error("member's answer: {0}")]
    Wire(#[from] protocol::WireError),
}

/// Why a connection was not opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The connection failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The member refused it.
    #[error("refused with {0:?}")]
    Refused(protocol::Code),
}

impl OpenError {
    /// Returns what the error says about the member.
    pub fn failure(&self) -> event::OpenFailure {
        match self {
            Self::Refused(protocol::Code::TooMany | protocol::Code::Busy) => {
                event::OpenFailure::Full
            }
            Self::Refused(_) => event::OpenFailure::WrongMember,
            Self::Link(LinkError::Broken(error)) if error.kind() != io::ErrorKind::TimedOut => {
                event::OpenFailure::Refused
            }
            Self::Link(_) => event::OpenFailure::Silent,
        }
    }
}

/// An open connection to a member.
#[derive(Debug)]
pub struct Link<C> {
    stream: TcpStream,
    codec: C,
    inbox: BytesMut,
    outbox: BytesMut,
    /// The member.
    pub member: id::MemberId,
    /// What the connection holds of its last session.
    pub mirror: values::Mirror,
}

/// Limits the time for which a socket's other side may be silent without the connection breaking.
///
/// # Errors
///
/// An error of the system.
pub fn watch_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    stream.set_nodelay(true)
}

impl<C: Codec> Link<C> {
    /// Opens a connection to a member of a group, which confirms its name.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when that fails or takes longer than until the deadline.
    pub async fn open(
        address: SocketAddr,
        group: &str,
        member: (&str, id::MemberId),
        deadline: Instant,
    ) -> Result<Self, OpenError> {
        let connected = tokio::time::timeout_at(clock::timer(deadline), connect(address)).await;
        let stream = connected
            .map_err(|_| LinkError::Silent)?
            .map_err(LinkError::Broken)?;
        let mut link = Self {
            stream,
            codec: C::default(),
            inbox: BytesMut::new(),
            outbox: BytesMut::new(),
            member: member.1,
            mirror: values::Mirror::default(),
        };
        link.push(member::Command::Startup {
            group,
            member: member.0,
        });
        let answer = link.exchange(deadline).await?;
        match answer.end {
            member::End::Ready => Ok(link),
            member::End::Error(code, _) => Err(OpenError::Refused(code)),
            member::End::Complete(_) => {
                Err(LinkError::from(protocol::WireError::Malformed("startup")).into())
            }
        }
    }

    /// Adds a command to what is sent next.
    pub fn push(&mut self, command: member::Command<'_>) {
        self.codec.encode(command, &mut self.outbox);
    }

    /// Sends what was added and returns the answer to the first command that has none yet.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection cannot be used any more.
    pub async fn exchange(&mut self, deadline: Instant) -> Result<member::Answer, LinkError> {
        let exchanged = async {
            self.stream.write_all_buf(&mut self.outbox).await?;
            self.answer().await
        };
        let answered = tokio::time::timeout_at(clock::timer(deadline), exchanged).await;
        answered.map_err(|_| LinkError::Silent)?
    }

    async fn answer(&mut self) -> Result<member::Answer, LinkError> {
        let mut rows = Vec::new();
        let mut end = member::End::Ready;
        let mut size_bytes = 0;
        loop {
            match self.codec.decode(&mut self.inbox)? {
                Some(member::Frame::Row(row)) => {
                    size_bytes += row.len();
                    if size_bytes > ANSWER_BYTES_MAX {
                        let limit_bytes = ANSWER_BYTES_MAX;
                        return Err(protocol::WireError::TooLarge { limit_bytes }.into());
                    }
                    rows.push(row);
                }
                Some(member::Frame::Complete(signature)) => end = member::End::Complete(signature),
                Some(member::Frame::Error(code, text)) => {
                    if refuses_connection(&code) {
                        return Ok(refusal(code, text));
                    }
                    end = member::End::Error(code, text);
                }
                Some(member::Frame::Ready(state, point)) => {
                    return Ok(member::Answer {
                        rows,
                        end,
                        state,
                        point,
                    });
                }
                None => {
                    if self.stream.read_buf(&mut self.inbox).await? == 0 {
                        return match end {
                            // A refused connection is closed after the error.
                            member::End::Error(code, text) => Ok(refusal(code, text)),
                            _ => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                        };
                    }
                }
            }
        }
    }

    /// Returns whether the member has closed the connection, or sent something that was not asked for.
    pub fn is_dead(&mut self) -> bool {
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Says goodbye, as far as the socket takes it at once.
    pub fn close(mut self) {
        self.push(member::Command::Terminate);
        // The member notices the end of the connection in any case.
        if let Ok(sent) = self.stream.try_write(&self.outbox) {
            self.outbox.advance(sent);
        }
    }

    /// Reads a member's standing out of an answer.
    pub fn standing(
        &self,
        answer: &member::Answer,
    ) -> Option<fulmarlift_broker::event::MemberStatus> {
        answer.rows.first().and_then(|row| self.codec.standing(row))
    }
}

/// These end a connection, without a ready message after them.
fn refuses_connection(code: &protocol::Code) -> bool {
    matches!(code, protocol::Code::Misrouted | protocol::Code::TooMany)
}

fn refusal(code: protocol::Code, text: Box<str>) -> member::Answer {
    member::Answer {
        rows: Vec::new(),
        end: member::End::Error(code, text),
        state: crate::protocol::State::Failed,
        point: None,
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let stream = socket.connect(address).await?;
    watch_silence(&stream)?;
    Ok(stream)
}
