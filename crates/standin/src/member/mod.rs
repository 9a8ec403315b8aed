//! Stand-in for a database member: speaks the PostgreSQL protocol, runs statements on SQLite and replicates a log.
//!
//! A group has one primary, which accepts writes, and replicas, which apply the primary's log of committed
//! transactions. Terms number the periods between changes of the primary. A proxy that replaces the primary fences
//! members at a new term: a fenced member grants the term to the proxy (the claimant), ignores primaries of older
//! terms, and is no longer a primary itself. The proxy then promotes one of the fenced members, which becomes the
//! primary of the new term.

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
mod name_map;
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

/// Configuration of a member.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the member in log lines.
    pub name: Box<str>,
    /// Address on which the member accepts callers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address on which the member accepts replication connections of its peers; port 0 selects a free port.
    pub replication_listen: SocketAddr,
    /// Whether the member starts as the primary of term 1; otherwise it starts as an empty replica.
    pub primary: bool,
    /// Other members of the group.
    pub peers: Vec<Peer>,
    /// Maximum number of caller connections. Control connections, on which proxies ask for the status, fence and
    /// promote, have a limit of their own.
    pub connections_max: usize,
    /// Delay of each connection startup, in ms.
    pub connect_ms: u64,
    /// Delay of each request and, in addition, of each answer, in µs.
    pub latency_us: u64,
    /// Delay between the commit of an entry on the primary and its application on this member, in ms.
    pub lag_ms: u64,
    /// Longest wait of a transaction for the write lock, in ms.
    pub lock_wait_ms: u64,
    /// SQL statements that form the first entry of the primary's log; a replica ignores them.
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
    /// Name of the peer in log lines.
    pub name: Box<str>,
    /// Address on which the peer accepts replication connections.
    pub address: SocketAddr,
}

/// Reason for which a member can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The member can't listen on an address, or can't start its timer thread.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// The member can't create its database or run the initial statements.
    #[error("cannot make the database: {0}")]
    Database(Box<str>),
}

/// Entry point that starts a stand-in for a database member.
#[derive(Debug)]
pub struct Member;

impl Member {
    /// Starts a member on the current tokio runtime.
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
            pull_tasks: sync::Mutex::new(Vec::new()),
            shared: replication.clone(),
        };
        handle.spawn(serve(listener, shared));
        handle.spawn(replication::serve(replication_listener, replication));
        handle.set_peers(config.peers);
        Ok(handle)
    }
}

/// Handle of a running member. Dropping the handle stops the member.
pub struct Handle {
    name: Box<str>,
    address: SocketAddr,
    replication_address: SocketAddr,
    tasks: sync::Mutex<JoinSet<()>>,
    pull_tasks: sync::Mutex<Vec<AbortHandle>>,
    shared: replication::Shared,
}

impl Handle {
    /// Returns the address on which the member accepts callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which the member accepts replication connections.
    pub fn replication_address(&self) -> SocketAddr {
        self.replication_address
    }

    /// Returns the name and replication address of this member, for the peer lists of the other members.
    pub fn as_peer(&self) -> Peer {
        Peer {
            name: self.name.clone(),
            address: self.replication_address,
        }
    }

    /// Replaces the list of peers from which the member requests log entries.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        let mut pull_tasks = self.pull_tasks.lock().expect(LOCK_NOT_POISONED);
        for pull in pull_tasks.drain(..) {
            pull.abort();
        }
        for peer in peers {
            ::log::debug!(
                "member {} replicates from peer {} at {}",
                self.name,
                peer.name,
                peer.address
            );
            pull_tasks.push(self.spawn(replication::pull(peer.address, self.shared.clone())));
        }
    }

    /// Changes one switch: a delay or an injected fault.
    pub fn switch(&self, switch: Switch) {
        self.shared.switches.set(switch);
    }

    /// Returns the current status of the member, as `group_status` reports it.
    pub fn status(&self) -> Status {
        self.shared.core.status()
    }

    /// Stops the member: closes its sockets, rolls back its open transactions and discards its data.
    pub fn stop(&self) {
        self.tasks.lock().expect(LOCK_NOT_POISONED).abort_all();
        self.shared.core.stop();
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tasks.lock().expect(LOCK_NOT_POISONED).spawn(task)
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        if shared.switches.cut().covers_callers() {
            continue;
        }
        let shared = shared.clone();
        tasks.spawn(async move {
            if let Err(cause) = connection::serve(stream, shared).await {
                ::log::debug!("caller connection ended with an error: {cause}");
            }
        });
    }
}

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const DEFAULT_CONNECTIONS_MAX: usize = 100;
const DEFAULT_LOCK_WAIT_MS: u64 = 10_000;
const FIRST_PID: i32 = 1000;
const LOCK_NOT_POISONED: &str = "no holder of the lock panics";
