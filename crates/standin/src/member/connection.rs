//! Connection of a caller: its startup, and the transfer of messages to and from its session.

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

/// Input of a session.
#[derive(Debug)]
pub enum Event {
    /// Message of the caller.
    Message {
        /// Earliest time at which the session may process the message.
        due: Instant,
        /// The message.
        message: PgWireFrontendMessage,
    },
    /// The member was fenced; the session checks whether its writes must be rolled back.
    Fenced,
}

/// State that all connections of a member share.
#[derive(Clone)]
pub struct Shared {
    /// State of the member.
    pub core: sync::Arc<core::Core>,
    /// Switches of the member.
    pub switches: sync::Arc<switches::Switches>,
    /// Process ID of the next session.
    pub next_pid: sync::Arc<AtomicI32>,
    /// Longest wait of a transaction for the write lock.
    pub lock_wait: Duration,
}

/// Reason for which a connection ended with an error.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The caller violated the PostgreSQL protocol.
    #[error(transparent)]
    Protocol(#[from] pgwire::error::PgWireError),
    /// SQLite failed to open the database.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
}

struct CallerStream {
    stream: TcpStream,
    buffer: BytesMut,
    context: DecodeContext,
}

enum StartupOutcome {
    Session(startup::Startup),
    Cancel(signal::CancelKey),
    Closed,
}

/// Serves a connection until it ends.
pub async fn serve(stream: TcpStream, shared: Shared) -> Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    let mut caller = CallerStream {
        stream,
        buffer: BytesMut::new(),
        context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
    };
    match caller.read_startup(&shared.switches).await? {
        StartupOutcome::Closed => Ok(()),
        StartupOutcome::Cancel(key) => {
            shared.core.registry().cancel(key);
            Ok(())
        }
        StartupOutcome::Session(startup) => serve_session(caller, startup, shared).await,
    }
}

impl CallerStream {
    async fn read_startup(
        &mut self,
        switches: &switches::Switches,
    ) -> Result<StartupOutcome, ConnectionError> {
        loop {
            let Some(message) = self.read_message().await? else {
                return Ok(StartupOutcome::Closed);
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
                    return Ok(StartupOutcome::Cancel(signal::CancelKey {
                        pid: cancel.pid,
                        secret: cancel.secret_key.as_i32().unwrap_or_default(),
                    }));
                }
                PgWireFrontendMessage::Startup(startup) => {
                    self.context.awaiting_frontend_startup = false;
                    let delay = switches.latency() + switches.connect_time();
                    switches.sleep_until(Instant::now() + delay).await;
                    switches.wait_while_frozen().await;
                    return Ok(StartupOutcome::Session(startup));
                }
                _ => return Ok(StartupOutcome::Closed),
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

    async fn send_fatal_error(&mut self, error: &error::SqlError) -> Result<(), ConnectionError> {
        let mut out = BytesMut::new();
        output::error_response(error, "FATAL").encode(&mut out)?;
        self.stream.write_all(&out).await?;
        Ok(())
    }
}

async fn serve_session(
    mut caller: CallerStream,
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
        return caller.send_fatal_error(&error).await;
    };
    let link = sync::Arc::new(switches::Link::new(sync::Arc::clone(&shared.switches)));
    let identity = transaction::Identity {
        pid: key.pid,
        port: caller.stream.local_addr()?.port(),
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
        wants_newer_protocol: startup.protocol_number_minor > 0,
        lock_wait: shared.lock_wait,
    };
    std::thread::Builder::new()
        .name(format!("session-{}", key.pid))
        .spawn(move || run_session(parts, events, registration))?;
    let _disconnect_guard = DisconnectGuard(signal);
    transfer(caller, &link, &shared.switches, inbox, outgoing).await
}

/// Returns a random secret, which callers can't guess from the secrets of other sessions.
fn random_secret() -> i32 {
    RandomState::new().build_hasher().finish() as i32
}

/// Returns the settings in a startup message, including those in its `options` (`-c NAME=VALUE`).
fn startup_parameters(startup: &startup::Startup) -> Vec<(&str, &str)> {
    let options = startup.parameters.get("options").map_or("", String::as_str);
    let option_settings = options.split_whitespace().filter_map(|word| {
        word.trim_start_matches("--")
            .trim_start_matches("-c")
            .split_once('=')
    });
    let parameters = startup.parameters.iter();
    parameters
        .map(|(name, value)| (name.as_str(), value.as_str()))
        .filter(|(name, _)| !NON_SETTING_PARAMETERS.contains(name))
        .chain(option_settings)
        .collect()
}

fn run_session(
    parts: session::Parts,
    events: mpsc::Receiver<Event>,
    registration: registry::Registration,
) {
    match session::Session::new(parts) {
        Ok(session) => session.run(events),
        Err(cause) => log::error!("cannot start a session: the database does not open: {cause}"),
    }
    drop(registration);
}

/// Tells the session, when dropped, that its caller has disconnected.
struct DisconnectGuard(sync::Arc<signal::Signal>);

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.0.disconnect();
    }
}

/// Passes messages and chunks on until one direction ends.
async fn transfer(
    caller: CallerStream,
    link: &switches::Link,
    switches: &switches::Switches,
    inbox: mpsc::Sender<Event>,
    outgoing: mpsc::Receiver<output::Chunk>,
) -> Result<(), ConnectionError> {
    let (reader, writer) = caller.stream.into_split();
    let mut caller_reader = CallerReader {
        reader,
        buffer: caller.buffer,
        context: caller.context,
        inbox,
    };
    tokio::select! {
        result = caller_reader.run(link, switches) => result,
        result = write_chunks(writer, link, switches, outgoing) => result,
    }
}

struct CallerReader {
    reader: tcp::OwnedReadHalf,
    buffer: BytesMut,
    context: DecodeContext,
    inbox: mpsc::Sender<Event>,
}

impl CallerReader {
    async fn run(
        &mut self,
        link: &switches::Link,
        switches: &switches::Switches,
    ) -> Result<(), ConnectionError> {
        let mut cut = switches.watch_cut();
        loop {
            self.deliver_messages(switches).await?;
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
            if link.should_drop_bytes() {
                self.buffer.clear();
            }
        }
    }

    async fn deliver_messages(
        &mut self,
        switches: &switches::Switches,
    ) -> Result<(), ConnectionError> {
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
        switches.wait_while_frozen().await;
        if !link.should_drop_bytes() {
            writer.write_all(&chunk.bytes).await?;
        }
    }
    writer.shutdown().await?;
    Ok(())
}

const CHUNK_CAPACITY: usize = 256;
const CONTROL_PARAMETER: &str = "group_control";
const INBOX_CAPACITY: usize = 256;
const NON_SETTING_PARAMETERS: [&str; 3] = ["user", "database", "options"];
