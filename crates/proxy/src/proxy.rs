//! A running proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmarlift_store::client;
use fulmarlift_wire::tls;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::admin;
use crate::caller;
use crate::document;
use crate::engine;
use crate::peers;
use crate::platform;
use crate::settings;

/// Time between two ticks of the reducer.
const TICK: Duration = Duration::from_millis(10);
/// Time between two looks at whether all sessions have ended.
const STOP_POLL: Duration = Duration::from_millis(10);

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// The engine.
    pub engine: Arc<engine::Engine>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    sessions: Arc<caller::Sessions>,
    stopping: watch::Sender<bool>,
}

/// Why a proxy could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The platform's address cannot be used.
    #[error("the platform's address cannot be used")]
    Platform(#[from] fulmarlift_store::platform::Error),
    /// The certificates cannot be used.
    #[error("the certificates cannot be used")]
    Tls(#[from] tls::Error),
}

struct Sockets {
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
    heartbeats: Arc<UdpSocket>,
}

impl Sockets {
    async fn bind(settings: &settings::Settings) -> Result<Self, Error> {
        let callers = listen(settings.listen).await?;
        let admin = listen(settings.admin_listen).await?;
        let peers = listen(settings.peer_listen).await?;
        // Heartbeats use the same port number as questions, so that one address names a peer.
        let address = local(&peers, settings.peer_listen)?;
        let heartbeats = UdpSocket::bind(address).await;
        let heartbeats = heartbeats.map_err(|source| Error::Listen { address, source })?;
        Ok(Self {
            callers,
            admin,
            peers,
            heartbeats: Arc::new(heartbeats),
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { address, source })
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, Error> {
    let local = listener.local_addr();
    local.map_err(|source| Error::Listen { address, source })
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Returns an error when an address, the platform's address or a certificate cannot be used.
    pub async fn start(
        mut settings: settings::Settings,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, Error> {
        let sockets = Sockets::bind(&settings).await?;
        settings.listen = local(&sockets.callers, settings.listen)?;
        settings.admin_listen = local(&sockets.admin, settings.admin_listen)?;
        settings.peer_listen = local(&sockets.peers, settings.peer_listen)?;
        let acceptor = settings
            .tls
            .as_ref()
            .map(|files| tls::Acceptor::from_files(&files.chain, &files.key));
        let acceptor = acceptor.transpose()?.map(Arc::new);
        let client = settings.platform.as_deref().map(client::Client::new);
        let client = client.transpose()?;
        let (heartbeats, heartbeats_out) = mpsc::unbounded_channel();
        let wanted = platform::follow::Wanted::default();
        let tasks = engine::Tasks {
            platform: client.clone(),
            heartbeats,
            wanted: wanted.clone(),
        };
        let (listen, admin, peer) = (settings.listen, settings.admin_listen, settings.peer_listen);
        let engine = engine::Engine::new(settings, tasks);
        let sessions = Arc::new(caller::Sessions::new(engine.proxy));
        let stopping = watch::Sender::new(false);
        let listener = caller::Listener {
            engine: Arc::clone(&engine),
            sessions: Arc::clone(&sessions),
            tls: acceptor,
            stopping: stopping.subscribe(),
        };
        tokio::spawn(caller::serve(listener, sockets.callers));
        tokio::spawn(tick(Arc::clone(&engine)));
        tokio::spawn(peers::send(Arc::clone(&sockets.heartbeats), heartbeats_out));
        tokio::spawn(peers::receive(Arc::clone(&engine), sockets.heartbeats));
        tokio::spawn(peers::serve(
            Arc::clone(&engine),
            Arc::clone(&sessions),
            sockets.peers,
        ));
        tokio::spawn(platform::follow::fetch(
            Arc::clone(&engine),
            client.clone(),
            wanted.clone(),
        ));
        if let Some(client) = client {
            tokio::spawn(platform::follow::poll(
                Arc::clone(&engine),
                client.clone(),
                wanted,
            ));
            tokio::spawn(platform::vms::follow(Arc::clone(&engine), client));
        }
        let shown = admin::Admin {
            engine: Arc::clone(&engine),
            metrics,
        };
        tokio::spawn(admin::serve(shown, sockets.admin));
        log::info!("event=started listen={listen} admin={admin} peer={peer}");
        Ok(Self {
            engine,
            listen,
            admin,
            peer,
            sessions,
            stopping,
        })
    }

    /// Puts a document in force without asking platform or peers, as tests and the demo do.
    pub fn configure(&self, accepted: Arc<document::Accepted>) {
        self.engine.configure(accepted);
    }

    /// Returns whether the proxy serves callers.
    pub fn ready(&self) -> bool {
        self.engine.ready() && !*self.stopping.borrow()
    }

    /// Stops gracefully: accepts nothing new, ends idle sessions, and returns when all requests in flight
    /// and all open transactions have ended.
    pub async fn stop(&self) {
        log::info!("event=stopping sessions={}", self.sessions.len());
        self.stopping.send_replace(true);
        let mut drained = self.engine.drained();
        self.engine.drain();
        // The sender lives as long as the engine.
        let _ = drained.wait_for(|drained| *drained).await;
        while !self.sessions.is_empty() {
            tokio::time::sleep(STOP_POLL).await;
        }
        log::info!("event=stopped");
    }
}

async fn tick(engine: Arc<engine::Engine>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        engine.tick();
    }
}
