//! The stand-in for the platform: its table service, object store and list of VMs.

mod routes;
mod store;
mod switches;
mod vms;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::watch;

pub use self::store::{
    Check, Committed, Conflict, Conflicts, Delete, Put, Row, Transaction, Version,
};
pub use self::switches::{Change, Mode};
pub use self::vms::{Vm, VmList, VmState};

/// How the platform is set up.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Its VMs.
    pub vms: VmList,
    /// How long a change of its VMs stays unseen, in ms.
    pub vms_lag_ms: u64,
    /// The delay of each call, in ms.
    pub delay_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            vms: VmList::default(),
            vms_lag_ms: 0,
            delay_ms: 0,
        }
    }
}

/// Why the platform can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// It can't listen.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
}

/// The stand-in for the platform.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Starts the platform inside the tokio runtime that runs now.
    pub async fn start(config: Config) -> Result<Handle, StartError> {
        let listener = TcpListener::bind(config.listen).await?;
        let lag = Duration::from_millis(config.vms_lag_ms);
        let shared = sync::Arc::new(routes::Shared {
            store: sync::Mutex::default(),
            vms: sync::Mutex::new(vms::Vms::new(config.vms, lag, Instant::now())),
            switches: switches::Switches::default(),
            calls: routes::Calls::default(),
        });
        shared.switches.set(Change {
            delay_ms: Some(config.delay_ms),
            ..Change::default()
        });
        let address = listener.local_addr()?;
        let router = routes::router(sync::Arc::clone(&shared));
        let (stop, mut stopped) = watch::channel(false);
        let stopping = async move {
            // The sender goes with the handle, which stops the platform as well.
            let _ = stopped.wait_for(|stopped| *stopped).await;
        };
        tokio::spawn(async move {
            let server = axum::serve(listener, router).with_graceful_shutdown(stopping);
            if let Err(cause) = server.await {
                log::error!("platform stopped: {cause}");
            }
        });
        Ok(Handle {
            address,
            shared,
            stop,
        })
    }
}

/// How many calls the platform has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Calls {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
}

/// A platform that runs; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: sync::Arc<routes::Shared>,
    stop: watch::Sender<bool>,
}

impl Handle {
    /// Where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many calls came so far, refused ones included.
    pub fn calls(&self) -> Calls {
        let calls = &self.shared.calls;
        Calls {
            reads: calls.reads.load(Ordering::Relaxed),
            writes: calls.writes.load(Ordering::Relaxed),
        }
    }

    /// Turns switches.
    pub fn switch(&self, change: Change) {
        self.shared.switches.set(change);
    }

    /// Sets the list of VMs, which becomes visible after the lag.
    pub fn set_vms(&self, list: VmList) {
        self.shared.vms().set(list, Instant::now());
    }

    /// Sets the lag of lists of VMs set from now on.
    pub fn set_vms_lag_ms(&self, lag_ms: u64) {
        self.shared.vms().set_lag(Duration::from_millis(lag_ms));
    }

    /// Stops the platform: calls under way end, its connections close and new ones are refused.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}
