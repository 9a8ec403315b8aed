//! Greeting with which a connection between proxies begins, and the answer to it.
//!
//! The layout of both is the same in all versions: four fixed bytes, the version, a code, and the names, each with a length. So two
//! builds can tell that their versions differ, and refuse each other before either decodes a message of the other.

use std::fmt;
use std::io;

use bytes::{Buf, BufMut, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::shell;

/// Version of the messages between proxies. Raised whenever the encoding of a message changes.
pub const PROTOCOL_VERSION: u16 = 2;
/// First bytes of a greeting. The first one occurs in no text, and would begin a message longer than any that was ever allowed.
const GREETING_MAGIC: [u8; 4] = *b"\xf5pq\n";
/// First bytes of an answer.
const ANSWER_MAGIC: [u8; 4] = *b"\xf5pa\n";
/// Most bytes of a name, which has a length of one byte; the store's keys are shorter.
const NAME_BYTES_MAX: usize = 255;
/// Code of an answer that accepts the connection.
const ACCEPTED: u8 = 0;

/// What a port serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Service {
    /// Statements that another proxy forwards.
    Statements = 1,
    /// Updates for listeners, and answers to the questions of other proxies.
    Updates = 2,
}

/// Reason why a connection between proxies is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The other end does not greet, or answers with something else: it is no proxy, or one of a build before the greeting.
    #[error("foreign")]
    Foreign,
    /// The other end has another version of the messages.
    #[error("version")]
    Version,
    /// The port serves something else.
    #[error("service")]
    Service,
    /// The proxy has another name than the one that was meant.
    #[error("name")]
    Name,
}

impl Reason {
    /// Returns the name of the reason in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Version => "version",
            Self::Service => "service",
            Self::Name => "name",
        }
    }

    fn code(self) -> u8 {
        match self {
            Self::Foreign => 1,
            Self::Version => 2,
            Self::Service => 3,
            Self::Name => 4,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        let reasons = [Self::Foreign, Self::Version, Self::Service, Self::Name];
        reasons.into_iter().find(|reason| reason.code() == code)
    }
}

/// A connection that is refused, with what the other end has told.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("refused for its {reason}: {from}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// The other end.
    pub from: Origin,
}

/// What the other end of a connection has told of itself: its name and version, as far as they are known.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Origin {
    /// Name of its VM.
    pub vm_name: Option<Box<str>>,
    /// Its version of the messages.
    pub version: Option<u16>,
}

impl fmt::Display for Origin {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} version ", self.vm_name.as_deref().unwrap_or("-"))?;
        match self.version {
            Some(version) => write!(out, "{version}"),
            None => out.write_str("-"),
        }
    }
}

/// First bytes of the proxy that opens a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Greeting {
    /// Version of the asker's messages.
    pub version: u16,
    /// Code of the service that the asker wants; not a [`Service`], since a later version may have others.
    pub service: u8,
    /// Name of the VM whose proxy is meant.
    pub meant: Box<str>,
    /// Name of the asker's VM.
    pub asker: Box<str>,
}

/// First bytes of the proxy that has accepted a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Version of its messages.
    pub version: u16,
    /// Code of the reason for which it refuses; 0 if it does not.
    pub code: u8,
    /// Name of its VM.
    pub vm_name: Box<str>,
}

impl Greeting {
    /// Returns the greeting of a proxy of this build.
    pub fn new(service: Service, meant: &str, asker: &str) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            service: service as u8,
            meant: meant.into(),
            asker: asker.into(),
        }
    }

    /// Appends the greeting to the buffer.
    pub fn encode(&self, outbox: &mut BytesMut) {
        outbox.put_slice(&GREETING_MAGIC);
        outbox.put_u16(self.version);
        outbox.put_u8(self.service);
        put_name(outbox, &self.meant);
        put_name(outbox, &self.asker);
    }

    /// Removes a greeting from the start of the buffer; returns none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`Refusal`] as soon as the bytes cannot become a greeting.
    pub fn decode(inbox: &mut BytesMut) -> Result<Option<Self>, Refusal> {
        let Some(start) = take_start::<2>(inbox, GREETING_MAGIC)? else {
            return Ok(None);
        };
        let [meant, asker] = start.names;
        Ok(Some(Self {
            version: start.version,
            service: start.code,
            meant,
            asker,
        }))
    }

    /// Checks the greeting at the port of a proxy.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the proxy does not speak the asker's version, or is not the one that is meant.
    pub fn check(&self, service: Service, vm_name: &str) -> Result<(), Refusal> {
        let reason = match self {
            _ if self.version != PROTOCOL_VERSION => Reason::Version,
            _ if self.service != service as u8 => Reason::Service,
            _ if *self.meant != *vm_name => Reason::Name,
            _ => return Ok(()),
        };
        let from = Origin {
            vm_name: Some(self.asker.clone()),
            version: Some(self.version),
        };
        Err(Refusal { reason, from })
    }
}

impl Answer {
    /// Returns the answer of a proxy of this build to a greeting that it has checked.
    pub fn new(checked: &Result<(), Refusal>, vm_name: &str) -> Self {
        Self {
            version: PROTOCOL_VERSION,
            code: checked
                .as_ref()
                .err()
                .map_or(ACCEPTED, |refusal| refusal.reason.code()),
            vm_name: vm_name.into(),
        }
    }

    /// Appends the answer to the buffer.
    pub fn encode(&self, outbox: &mut BytesMut) {
        outbox.put_slice(&ANSWER_MAGIC);
        outbox.put_u16(self.version);
        outbox.put_u8(self.code);
        put_name(outbox, &self.vm_name);
    }

    /// Removes an answer from the start of the buffer; returns none if more bytes are needed.
    ///
    /// # Errors
    ///
    /// [`Refusal`] as soon as the bytes cannot become an answer.
    pub fn decode(inbox: &mut BytesMut) -> Result<Option<Self>, Refusal> {
        let Some(start) = take_start::<1>(inbox, ANSWER_MAGIC)? else {
            return Ok(None);
        };
        let [vm_name] = start.names;
        Ok(Some(Self {
            version: start.version,
            code: start.code,
            vm_name,
        }))
    }

    /// Checks the answer to a greeting that was meant for the proxy of a VM.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the proxy refuses, speaks another version, or is not the one that is meant.
    pub fn check(&self, meant: &str) -> Result<(), Refusal> {
        let reason = match self {
            _ if self.version != PROTOCOL_VERSION => Reason::Version,
            _ if self.code != ACCEPTED => Reason::from_code(self.code).unwrap_or(Reason::Foreign),
            _ if *self.vm_name != *meant => Reason::Name,
            _ => return Ok(()),
        };
        let from = Origin {
            vm_name: Some(self.vm_name.clone()),
            version: Some(self.version),
        };
        Err(Refusal { reason, from })
    }
}

/// Error while a connection between proxies begins.
#[derive(Debug, thiserror::Error)]
pub enum GreetingError {
    /// The socket reported an error, or the other end closed the connection.
    #[error("connection broken")]
    Broken(#[from] io::Error),
    /// One end refuses the connection.
    #[error(transparent)]
    Refused(#[from] Refusal),
}

/// Waits for the answer to a greeting, and checks it. Bytes that follow it stay in `inbox`.
pub(crate) async fn receive_answer(
    stream: &mut TcpStream,
    inbox: &mut BytesMut,
    meant: &str,
) -> Result<(), GreetingError> {
    loop {
        if let Some(answer) = Answer::decode(inbox)? {
            return Ok(answer.check(meant)?);
        }
        if stream.read_buf(inbox).await? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    }
}

/// Waits for the greeting of another proxy, checks it, and appends the answer to `outbox`; a foreign client gets none. Bytes that
/// follow the greeting stay in `inbox`. Logs a refusal.
pub(crate) async fn accept<D: Deployment>(
    shell: &shell::Shell<D>,
    service: Service,
    stream: &mut TcpStream,
    inbox: &mut BytesMut,
    outbox: &mut BytesMut,
) -> Result<(), GreetingError> {
    let greeting = loop {
        match Greeting::decode(inbox) {
            Ok(Some(greeting)) => break greeting,
            Ok(None) => {}
            Err(refusal) => {
                shell.record_refused_asker(stream.peer_addr().ok(), None, &refusal);
                return Err(refusal.into());
            }
        }
        if stream.read_buf(inbox).await? == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
    };
    let checked = greeting.check(service, shell.vm_name());
    Answer::new(&checked, shell.vm_name()).encode(outbox);
    if let Err(refusal) = &checked {
        shell.record_refused_asker(stream.peer_addr().ok(), Some(&greeting.meant), refusal);
    }
    Ok(checked?)
}

/// Parts of a greeting or an answer.
struct Start<const NAMES: usize> {
    version: u16,
    code: u8,
    names: [Box<str>; NAMES],
}

fn foreign() -> Refusal {
    Refusal {
        reason: Reason::Foreign,
        from: Origin::default(),
    }
}

/// Removes a greeting or an answer from the buffer once it is complete. Decides on the first wrong byte, so that nobody waits for
/// the rest of a foreign message.
fn take_start<const NAMES: usize>(
    inbox: &mut BytesMut,
    magic: [u8; 4],
) -> Result<Option<Start<NAMES>>, Refusal> {
    if inbox.iter().zip(magic).any(|(byte, other)| *byte != other) {
        return Err(foreign());
    }
    let mut rest = &inbox[..];
    if rest.try_get_u32().is_err() {
        return Ok(None);
    }
    let (Ok(version), Ok(code)) = (rest.try_get_u16(), rest.try_get_u8()) else {
        return Ok(None);
    };
    let mut names = [const { None }; NAMES];
    for name in &mut names {
        let Some((length, after)) = rest.split_first() else {
            return Ok(None);
        };
        let Some((bytes, after)) = after.split_at_checked(usize::from(*length)) else {
            return Ok(None);
        };
        *name = Some(parse_name(bytes)?);
        rest = after;
    }
    let start = Start {
        version,
        code,
        names: names.map(|name| name.unwrap_or_default()),
    };
    inbox.advance(inbox.len() - rest.len());
    Ok(Some(start))
}

/// Parses a name, which the log tells: it must not look like several fields or lines.
fn parse_name(bytes: &[u8]) -> Result<Box<str>, Refusal> {
    let name = std::str::from_utf8(bytes).map_err(|_| foreign())?;
    let is_odd = |letter: char| letter.is_control() || letter.is_whitespace() || letter == '"';
    match name.contains(is_odd) {
        true => Err(foreign()),
        false => Ok(name.into()),
    }
}

/// Appends a name with its length. A longer one is cut off, so that it is nobody's name.
fn put_name(outbox: &mut BytesMut, name: &str) {
    let name = &name.as_bytes()[..name.len().min(NAME_BYTES_MAX)];
    outbox.put_u8(u8::try_from(name.len()).unwrap_or(u8::MAX));
    outbox.put_slice(name);
}
