//! The stand-in for a database member.

mod connection;
mod copy;
mod core;
mod database;
mod error;
mod execute;
mod extended;
mod functions;
mod infer;
mod log;
mod named;
mod output;
mod query;
mod registry;
mod replication;
mod rewrite;
mod session;
mod settings;
mod signal;
mod statement;
mod switches;
mod timer;
mod transaction;
mod types;
mod write_lock;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync;
use std::sync::atomic::AtomicI32;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

pub use self::core::{Role, Status};
pub use self::log::{Head, Position, Term};
pub use self::switches::{Cut, Switch, SwitchError};

/// How a member is set up.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name, for logs.
    pub name: Box<str>,
    /// Where it listens for callers; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where it listens for its peers; port 0 takes a free one.
    pub replication_listen: SocketAddr,
    /// Whether it starts as the primary of term 1.
    pub primary: bool,
    /// The other members of its group.
    pub peers: Vec<Peer>,
    /// The limit of connections.
    pub connections_max: usize,
    /// The delay of each startup, in ms.
    pub connect_ms: u64,
    /// The delay of each request and each answer, in µs.
    pub latency_us: u64,
    /// The delay of each replicated entry, in ms.
    pub lag_ms: u64,
    /// The longest wait of a transaction for the write lock, in ms.
    pub lock_wait_ms: u64,
    /// Statements that make up the first entry of the primary's log.
    pub initial_sql: Box<str>,
}

impl Default for Config {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: "member".into(),
            listen: any_port,
            replication_listen: any_port,
            primary: false,
            peers: Vec::new(),
            connections_max: DEFAULT_CONNECTIONS_MAX,
            connect_ms: 0,
            latency_us: 0,
            lag_ms: 0,
            lock_wait_ms: DEFAULT_LOCK_WAIT_MS,
            initial_sql: Box::default(),
        }
    }
}

/// Another member of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name, for logs.
    pub name: Box<str>,
    /// Where it listens for its peers.
    pub address: SocketAddr,
}

/// Why a member can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// It can't listen.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// Its database can't be made.
    #[error("cannot make the database: {0}")]
    Database(Box<str>),
}

/// The stand-in for a database member.
#[derive(Debug)]
pub struct Member;

impl Member {
    /// Starts a member inside the tokio runtime that runs now.
    pub async fn start(config: Config) -> Result<Handle, StartError> {
        let core = core::Core::new(config.primary, &config.initial_sql, config.connections_max)
            .map_err(|cause| StartError::Database(cause.to_string().into()))?;
        let listener = TcpListener::bind(config.listen).await?;
        let replication_listener = TcpListener::bind(config.replication_listen).await?;
        let switches =
            switches::Switches::new(config.lag_ms, config.latency_us, config.connect_ms)?;
        let shared = connection::Shared {
            core: sync::Arc::new(core),
            switches: sync::Arc::new(switches),
            next_pid: sync::Arc::new(AtomicI32::new(FIRST_PID)),
            lock_wait: Duration::from_millis(config.lock_wait_ms),
        };
        let replication = replication::Shared {
            core: sync::Arc::clone(&shared.core),
            switches: sync::Arc::clone(&shared.switches),
        };
        let handle = Handle {
            name: config.name,
            address: listener.local_addr()?,
            replication_address: replication_listener.local_addr()?,
            tasks: sync::Mutex::new(JoinSet::new()),
            pulls: sync::Mutex::new(Vec::new()),
            shared: replication.clone(),
        };
        handle.spawn(serve(listener, shared));
        handle.spawn(replication::serve(replication_listener, replication));
        handle.set_peers(config.peers);
        Ok(handle)
    }
}

/// A member that runs; it stops when the handle is dropped.
pub struct Handle {
    name: Box<str>,
    address: SocketAddr,
    replication_address: SocketAddr,
    tasks: sync::Mutex<JoinSet<()>>,
    pulls: sync::Mutex<Vec<AbortHandle>>,
    shared: replication::Shared,
}

impl Handle {
    /// Where the member listens for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where the member listens for its peers.
    pub fn replication_address(&self) -> SocketAddr {
        self.replication_address
    }

    /// The member as a peer of others.
    pub fn as_peer(&self) -> Peer {
        Peer {
            name: self.name.clone(),
            address: self.replication_address,
        }
    }

    /// Sets the other members of the group, in place of those set before.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        let mut pulls = self.pulls.lock().expect(NO_PANIC);
        for pull in pulls.drain(..) {
            pull.abort();
        }
        for peer in peers {
            ::log::debug!("{} follows {} at {}", self.name, peer.name, peer.address);
            pulls.push(self.spawn(replication::pull(peer.address, self.shared.clone())));
        }
    }

    /// Turns a switch.
    pub fn switch(&self, switch: Switch) {
        self.shared.switches.set(switch);
    }

    /// The member's status.
    pub fn status(&self) -> Status {
        self.shared.core.status()
    }

    /// Stops the member: its sockets close, its open transactions are rolled back and its data is gone.
    pub fn stop(&self) {
        self.tasks.lock().expect(NO_PANIC).abort_all();
        self.shared.core.stop();
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tasks.lock().expect(NO_PANIC).spawn(task)
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn serve(listener: TcpListener, shared: connection::Shared) {
    let mut tasks = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        if shared.switches.cut().covers_callers() {
            continue;
        }
        let shared = shared.clone();
        tasks.spawn(async move {
            if let Err(cause) = connection::serve(stream, shared).await {
                ::log::debug!("connection ended: {cause}");
            }
        });
    }
}

const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const DEFAULT_CONNECTIONS_MAX: usize = 100;
const DEFAULT_LOCK_WAIT_MS: u64 = 10_000;
const FIRST_PID: i32 = 1000;
const NO_PANIC: &str = "no holder of the lock panics";
