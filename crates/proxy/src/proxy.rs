//! Starts and stops the tasks of a proxy.

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

/// Interval between two ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a stopping proxy checks whether all sessions have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Reducer of the proxy and the execution of its effects.
    pub engine: Arc<engine::Engine>,
    /// Address on which the proxy accepts callers.
    pub caller_address: SocketAddr,
    /// Address of the HTTP endpoints for operators.
    pub admin_address: SocketAddr,
    /// Address for peers, TCP and UDP.
    pub peer_address: SocketAddr,
    sessions: Arc<caller::Sessions>,
    stopping: watch::Sender<bool>,
}

/// Reason for which a proxy cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The proxy cannot bind an address.
    #[error("cannot listen on {address}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The address of the platform is not valid.
    #[error("the platform's address cannot be used")]
    Platform(#[from] fulmarlift_store::platform::Error),
    /// The proxy cannot load the certificates for callers.
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
        // The UDP socket for heartbeats uses the port of the TCP listener, so that one address names a peer.
        let address = bound_address(&peers, settings.peer_listen)?;
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

fn bound_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, Error> {
    let bound = listener.local_addr();
    bound.map_err(|source| Error::Listen { address, source })
}

impl Proxy {
    /// Binds the addresses of the settings and starts the tasks of the proxy.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy cannot bind an address, or cannot use the address of the platform or a
    /// certificate.
    pub async fn start(
        mut settings: settings::Settings,
        metrics: Option<PrometheusHandle>,
    ) -> Result<Self, Error> {
        let sockets = Sockets::bind(&settings).await?;
        settings.listen = bound_address(&sockets.callers, settings.listen)?;
        settings.admin_listen = bound_address(&sockets.admin, settings.admin_listen)?;
        settings.peer_listen = bound_address(&sockets.peers, settings.peer_listen)?;
        let acceptor = settings
            .tls
            .as_ref()
            .map(|files| tls::Acceptor::from_files(&files.chain, &files.key));
        let acceptor = acceptor.transpose()?.map(Arc::new);
        let client = settings.platform.as_deref().map(client::Client::new);
        let client = client.transpose()?;
        let (heartbeats, heartbeat_receiver) = mpsc::unbounded_channel();
        let newest_head = platform::configuration::NewestHead::default();
        let outputs = engine::Outputs {
            platform: client.clone(),
            heartbeats,
            newest_head: newest_head.clone(),
        };
        let (caller_address, admin_address, peer_address) =
            (settings.listen, settings.admin_listen, settings.peer_listen);
        let engine = engine::Engine::new(settings, outputs);
        let sessions = Arc::new(caller::Sessions::new(engine.proxy));
        let stopping = watch::Sender::new(false);
        let caller_context = caller::CallerContext {
            engine: Arc::clone(&engine),
            sessions: Arc::clone(&sessions),
            tls: acceptor,
            stopping: stopping.subscribe(),
        };
        tokio::spawn(caller::accept_callers(caller_context, sockets.callers));
        tokio::spawn(tick(Arc::clone(&engine)));
        tokio::spawn(peers::send_heartbeats(
            Arc::clone(&sockets.heartbeats),
            heartbeat_receiver,
        ));
        tokio::spawn(peers::receive_heartbeats(
            Arc::clone(&engine),
            sockets.heartbeats,
        ));
        tokio::spawn(peers::serve_questions(
            Arc::clone(&engine),
            Arc::clone(&sessions),
            sockets.peers,
        ));
        tokio::spawn(platform::configuration::fetch_documents(
            Arc::clone(&engine),
            client.clone(),
            newest_head.clone(),
        ));
        if let Some(client) = client {
            tokio::spawn(platform::configuration::poll_head(
                Arc::clone(&engine),
                client.clone(),
                newest_head,
            ));
            tokio::spawn(platform::vms::poll(Arc::clone(&engine), client));
        }
        let admin_state = admin::AdminState {
            engine: Arc::clone(&engine),
            metrics,
        };
        tokio::spawn(admin::serve(admin_state, sockets.admin));
        log::info!(
            "event=started listen={caller_address} admin={admin_address} peer={peer_address}"
        );
        Ok(Self {
            engine,
            caller_address,
            admin_address,
            peer_address,
            sessions,
            stopping,
        })
    }

    /// Puts a configuration document in force that comes from neither the platform nor a peer, for tests and
    /// benchmarks.
    pub fn configure(&self, accepted: Arc<document::Accepted>) {
        self.engine.configure(accepted);
    }

    /// Returns whether the proxy serves callers: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.engine.is_ready() && !*self.stopping.borrow()
    }

    /// Stops gracefully: the proxy accepts no new callers or requests and ends idle sessions. Returns when all
    /// requests in flight and all open transactions have ended.
    pub async fn stop(&self) {
        log::info!("event=stopping sessions={}", self.sessions.len());
        self.stopping.send_replace(true);
        let mut drained = self.engine.drained();
        self.engine.drain();
        // Cannot fail: the engine owns the sender.
        let _ = drained.wait_for(|drained| *drained).await;
        while !self.sessions.is_empty() {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        log::info!("event=stopped");
    }
}

async fn tick(engine: Arc<engine::Engine>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        engine.tick();
    }
}
