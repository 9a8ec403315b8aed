//! A caller's connection: its startup, and the bytes to and from its session.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::sync;
use std::sync::atomic::{AtomicI32, Ordering};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use pgwire::messages::{
    DecodeContext, Message, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
    response, startup,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, tcp};
use tokio::sync::mpsc;

use crate::member::{
    core, error, output, registry, session, settings, signal, switches, transaction,
};

/// What a session is told.
#[derive(Debug)]
pub enum Event {
    /// A message from the caller.
    Message {
        /// When the session may look at it.
        due: Instant,
        /// The message.
        message: PgWireFrontendMessage,
    },
    /// The member was fenced.
    Fenced,
}

/// What all connections share.
#[derive(Clone)]
pub struct Shared {
    /// The member.
    pub core: sync::Arc<core::Core>,
    /// The switches.
    pub switches: sync::Arc<switches::Switches>,
    /// The process id that the next session reports.
    pub next_pid: sync::Arc<AtomicI32>,
    /// The longest wait for the write lock.
    pub lock_wait: Duration,
}

/// Why a connection ended early.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The caller sent what is not the protocol.
    #[error(transparent)]
    Protocol(#[from] pgwire::error::PgWireError),
    /// The database can't be opened.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
}

struct Wire {
    stream: TcpStream,
    buffer: BytesMut,
    context: DecodeContext,
}

enum Start {
    Session(startup::Startup),
    Cancel(signal::CancelKey),
    Closed,
}

/// Serves a connection to its end.
pub async fn serve(stream: TcpStream, shared: Shared) -> Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    let mut wire = Wire {
        stream,
        buffer: BytesMut::new(),
        context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
    };
    match wire.start(&shared.switches).await? {
        Start::Closed => Ok(()),
        Start::Cancel(key) => {
            shared.core.registry().cancel(key);
            Ok(())
        }
        Start::Session(startup) => serve_session(wire, startup, shared).await,
    }
}

impl Wire {
    async fn start(&mut self, switches: &switches::Switches) -> Result<Start, ConnectionError> {
        loop {
            let Some(message) = self.read_message().await? else {
                return Ok(Start::Closed);
            };
            match message {
                PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    self.context.awaiting_frontend_ssl = false;
                }
                PgWireFrontendMessage::SslNegotiation(_) => {
                    let due = Instant::now() + 2 * switches.latency();
                    switches.sleep_until(due).await;
                    self.stream
                        .write_all(&[response::SslResponse::BYTE_REFUSE])
                        .await?;
                }
                PgWireFrontendMessage::CancelRequest(cancel) => {
                    switches
                        .sleep_until(Instant::now() + switches.latency())
                        .await;
                    return Ok(Start::Cancel(signal::CancelKey {
                        pid: cancel.pid,
                        secret: cancel.secret_key.as_i32().unwrap_or_default(),
                    }));
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    let delay = switches.latency() + switches.connect_time();
                    switches.sleep_until(Instant::now() + delay).await;
                    switches.wait_thaw().await;
                    return Ok(Start::Session(startup));
                }
                _ => return Ok(Start::Closed),
            }
        }
    }

    async fn read_message(&mut self) -> Result<Option<PgWireFrontendMessage>, ConnectionError> {
        loop {
            let message = PgWireFrontendMessage::decode(&mut self.buffer, &self.context)?;
            if message.is_some() {
                return Ok(message);
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn refuse(&mut self, error: &error::SqlError) -> Result<(), ConnectionError> {
        let mut out = BytesMut::new();
        output::error_response(error, "FATAL").encode(&mut out)?;
        self.stream.write_all(&out).await?;
        Ok(())
    }
}

async fn serve_session(
    mut wire: Wire,
    startup: startup::Startup,
    shared: Shared,
) -> Result<(), ConnectionError> {
    let (inbox, events) = mpsc::channel(INBOX_CAPACITY);
    let key = signal::CancelKey {
        pid: shared.next_pid.fetch_add(1, Ordering::Relaxed),
        secret: random_secret(),
    };
    let signal = sync::Arc::new(signal::Signal::new(key, inbox.downgrade()));
    let parameters = startup_parameters(&startup);
    let is_control = parameters
        .iter()
        .any(|(name, value)| *name == CONTROL_PARAMETER && *value == "true");
    let registry = shared.core.registry();
    let Some(registration) = registry.register(sync::Arc::clone(&signal), !is_control) else {
        let message = "sorry, too many clients already";
        let error = error::SqlError::new(error::TOO_MANY_CONNECTIONS, message);
        return wire.refuse(&error).await;
    };
    let link = sync::Arc::new(switches::Link::new(sync::Arc::clone(&shared.switches)));
    let identity = transaction::Identity {
        pid: key.pid,
        port: wire.stream.local_addr()?.port(),
    };
    let (chunks, outgoing) = mpsc::channel(CHUNK_CAPACITY);
    let parts = session::Parts {
        core: shared.core,
        switches: sync::Arc::clone(&shared.switches),
        link: sync::Arc::clone(&link),
        signal: sync::Arc::clone(&signal),
        out: output::Output::new(
            chunks,
            sync::Arc::clone(&shared.switches),
            sync::Arc::clone(&signal),
        ),
        settings: settings::Settings::new(parameters.into_iter()),
        identity,
        negotiates: startup.protocol_number_minor > 0,
        lock_wait: shared.lock_wait,
    };
    std::thread::Builder::new()
        .name(format!("session-{}", key.pid))
        .spawn(move || run_session(parts, events, registration))?;
    let _hang_up = HangUp(signal);
    pump(wire, &link, &shared.switches, inbox, outgoing).await
}

/// A number that callers can't guess from the numbers of other sessions.
fn random_secret() -> i32 {
    RandomState::new().build_hasher().finish() as i32
}

/// The settings of a startup message, those in its `options` (`-c NAME=VALUE`) included.
fn startup_parameters(startup: &startup::Startup) -> Vec<(&str, &str)> {
    let options = startup.parameters.get("options").map_or("", String::as_str);
    let in_options = options.split_whitespace().filter_map(|word| {
        word.trim_start_matches("--")
            .trim_start_matches("-c")
            .split_once('=')
    });
    let parameters = startup.parameters.iter();
    parameters
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .filter(|(name, _)| !NOT_SETTINGS.contains(name))
        .chain(in_options)
        .collect()
}

fn run_session(
    parts: session::Parts,
    events: mpsc::Receiver<Event>,
    registration: registry::Registration,
) {
    match session::Session::new(parts) {
        Ok(session) => session.run(events),
        Err(cause) => log::error!("session without a database: {cause}"),
    }
    drop(registration);
}

/// Tells the session that its caller is gone, when dropped.
struct HangUp(sync::Arc<signal::Signal>);

impl Drop for HangUp {
    fn drop(&mut self) {
        self.0.hang_up();
    }
}

async fn pump(
    wire: Wire,
    link: &switches::Link,
    switches: &switches::Switches,
    inbox: mpsc::Sender<Event>,
    outgoing: mpsc::Receiver<output::Chunk>,
) -> Result<(), ConnectionError> {
    let (reader, writer) = wire.stream.into_split();
    let mut incoming = Incoming {
        reader,
        buffer: wire.buffer,
        context: wire.context,
        inbox,
    };
    tokio::select! {
        ended = incoming.run(link, switches) => ended,
        ended = write_chunks(writer, link, switches, outgoing) => ended,
    }
}

struct Incoming {
    reader: tcp::OwnedReadHalf,
    buffer: BytesMut,
    context: DecodeContext,
    inbox: mpsc::Sender<Event>,
}

impl Incoming {
    async fn run(
        &mut self,
        link: &switches::Link,
        switches: &switches::Switches,
    ) -> Result<(), ConnectionError> {
        let mut cut = switches.watch_cut();
        loop {
            self.deliver(switches).await?;
            let count = tokio::select! {
                count = self.reader.read_buf(&mut self.buffer) => count?,
                _ = cut.changed() => {
                    if link.is_broken() {
                        return Ok(());
                    }
                    continue;
                }
            };
            if count == 0 {
                return Ok(());
            }
            if link.drops() {
                self.buffer.clear();
            }
        }
    }

    async fn deliver(&mut self, switches: &switches::Switches) -> Result<(), ConnectionError> {
        while let Some(message) = PgWireFrontendMessage::decode(&mut self.buffer, &self.context)? {
            let due = Instant::now() + switches.latency();
            let event = Event::Message { due, message };
            if self.inbox.send(event).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }
}

async fn write_chunks(
    mut writer: tcp::OwnedWriteHalf,
    link: &switches::Link,
    switches: &switches::Switches,
    mut outgoing: mpsc::Receiver<output::Chunk>,
) -> Result<(), ConnectionError> {
    while let Some(chunk) = outgoing.recv().await {
        switches.sleep_until(chunk.due).await;
        switches.wait_thaw().await;
        if !link.drops() {
            writer.write_all(&chunk.bytes).await?;
        }
    }
    writer.shutdown().await?;
    Ok(())
}

const CHUNK_CAPACITY: usize = 256;
const CONTROL_PARAMETER: &str = "group_control";
const INBOX_CAPACITY: usize = 256;
const NOT_SETTINGS: [&str; 3] = ["user", "database", "options"];
