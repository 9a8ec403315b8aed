//! Connections of readiness checks and of readers of the metrics. Their requests are short, so a connection with a long one or an unfinished
//! one is closed; beyond the most connections, the one that has waited longest without an answer.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::task::AtomicWaker;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::limits::report;
use crate::limits::report::LineLimiter;

/// Most bytes of a request.
const REQUEST_BYTES_MAX: usize = 16 << 10;
/// Time in which a request must be complete and its answer read.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a connection may stay open between two requests. Readers of the metrics ask at least once a minute.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Delay after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Number of a connection, in the order in which they were accepted.
pub type ConnectionNumber = u64;

/// The connections of a port, and when each was last answered.
#[derive(Debug)]
pub struct Table {
    connections_max: usize,
    /// Sorted by number; the instant is that of the newest answer, or of the connection.
    entries: Vec<(ConnectionNumber, Instant)>,
    opened: ConnectionNumber,
}

impl Table {
    /// Creates a table without connections.
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections_max,
            entries: Vec::new(),
            opened: 0,
        }
    }

    /// Adds a connection. Returns its number, and that of one that must be closed for it.
    pub fn open(&mut self, now: Instant) -> (ConnectionNumber, Option<ConnectionNumber>) {
        let mut closed = None;
        if self.entries.len() >= self.connections_max {
            let entries = self.entries.iter().enumerate();
            let quietest = entries.min_by_key(|(_, (_, answered_at))| *answered_at);
            if let Some((index, _)) = quietest {
                closed = Some(self.entries.remove(index).0);
            }
        }
        self.opened += 1;
        self.entries.push((self.opened, now));
        (self.opened, closed)
    }

    /// Records that an answer was sent on a connection.
    pub fn answer(&mut self, now: Instant, number: ConnectionNumber) {
        if let Ok(index) = self.find(number) {
            self.entries[index].1 = now;
        }
    }

    /// Removes a connection.
    pub fn end(&mut self, number: ConnectionNumber) {
        if let Ok(index) = self.find(number) {
            self.entries.remove(index);
        }
    }

    fn find(&self, number: ConnectionNumber) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&number, |(number, _)| *number)
    }
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Connections,
    Length,
    Timeout,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Length => "request_length",
            Self::Timeout => "request_timeout",
        }
    }
}

/// A port and its connections.
#[derive(Debug)]
struct Port {
    name: &'static str,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: Table,
    /// Sorted by number.
    closers: Vec<(ConnectionNumber, Arc<Closer>)>,
    limiters: [LineLimiter; 3],
}

impl Port {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, cause: Cause) {
        let limiter = &mut self.state().limiters[cause as usize];
        report::record(limiter, clock::now(), self.name, cause.name(), "closed");
    }
}

/// Closes a connection from outside of its task.
#[derive(Debug, Default)]
struct Closer {
    is_closed: AtomicBool,
    waker: AtomicWaker,
}

/// Accepts a bounded number of connections.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    port: Arc<Port>,
}

impl Listener {
    /// Creates a listener. `name` stands for the port in the log and in metrics.
    pub fn new(socket: TcpListener, name: &'static str, connections_max: usize) -> Self {
        let state = State {
            table: Table::new(connections_max),
            closers: Vec::new(),
            limiters: Default::default(),
        };
        let state = Mutex::new(state);
        Self {
            socket,
            port: Arc::new(Port { name, state }),
        }
    }

    /// Waits for the next connection.
    pub async fn accept(&mut self) -> (Connection, SocketAddr) {
        loop {
            match self.socket.accept().await {
                Ok((stream, address)) => {
                    let connection = self.open(stream);
                    // Lets the connection that was closed for this one free its descriptor.
                    tokio::task::yield_now().await;
                    return (connection, address);
                }
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Returns the address of the port.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call that failed.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn open(&self, stream: TcpStream) -> Connection {
        let closer = Arc::new(Closer::default());
        let mut state = self.port.state();
        let (number, closed) = state.table.open(clock::now());
        let closed = closed.and_then(|closed| state.remove_closer(closed));
        state.closers.push((number, Arc::clone(&closer)));
        drop(state);
        if let Some(closed) = closed {
            closed.is_closed.store(true, Ordering::Relaxed);
            closed.waker.wake();
            self.port.record(Cause::Connections);
        }
        Connection {
            stream,
            port: Arc::clone(&self.port),
            number,
            closer,
            request_bytes: 0,
            timer: Box::pin(tokio::time::sleep(REQUEST_TIMEOUT)),
        }
    }
}

impl State {
    fn remove_closer(&mut self, number: ConnectionNumber) -> Option<Arc<Closer>> {
        let found = self
            .closers
            .binary_search_by_key(&number, |(number, _)| *number);
        found.ok().map(|index| self.closers.remove(index).1)
    }
}

/// A connection that is closed for a long or an unfinished request, or in favour of another one.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    port: Arc<Port>,
    number: ConnectionNumber,
    closer: Arc<Closer>,
    /// Bytes that have arrived since the newest answer.
    request_bytes: usize,
    timer: Pin<Box<tokio::time::Sleep>>,
}

impl Connection {
    /// Returns an error if the connection must be closed; otherwise wakes the task as soon as it must.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        self.closer.waker.register(context.waker());
        if self.closer.is_closed.load(Ordering::Relaxed) {
            return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
        }
        if self.timer.as_mut().poll(context).is_ready() {
            self.port.record(Cause::Timeout);
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        Ok(())
    }

    fn restart_timer(&mut self, timeout: Duration) {
        let deadline = tokio::time::Instant::now() + timeout;
        self.timer.as_mut().reset(deadline);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - before;
        if read_bytes == 0 {
            return polled;
        }
        if self.request_bytes == 0 {
            self.restart_timer(REQUEST_TIMEOUT);
        }
        self.request_bytes += read_bytes;
        if self.request_bytes > REQUEST_BYTES_MAX {
            self.port.record(Cause::Length);
            return Poll::Ready(Err(io::Error::from(io::ErrorKind::InvalidData)));
        }
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if matches!(polled, Poll::Ready(Ok(written)) if written > 0) {
            self.request_bytes = 0;
            self.restart_timer(IDLE_TIMEOUT);
            let now = clock::now();
            self.port.state().table.answer(now, self.number);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.port.state();
        state.table.end(self.number);
        state.remove_closer(self.number);
    }
}
