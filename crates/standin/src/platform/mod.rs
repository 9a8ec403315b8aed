//! Stand-in for the platform: table service, object store and list of VMs.

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

/// Configuration of the platform.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address on which the platform accepts HTTP connections; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Initial list of VMs.
    pub vms: VmList,
    /// Time after which a change of the list of VMs becomes visible in the platform's answers, in ms.
    pub vms_lag_ms: u64,
    /// Delay of each call, in ms.
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

/// Reason for which the platform can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The platform can't listen on its address.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
}

/// Entry point that starts a stand-in for the platform.
#[derive(Debug)]
pub struct Platform;

impl Platform {
    /// Starts the platform on the current tokio runtime.
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
        let shutdown = async move {
            // Dropping the handle drops the sender, which also stops the platform.
            let _ = stopped.wait_for(|stopped| *stopped).await;
        };
        tokio::spawn(async move {
            let server = axum::serve(listener, router).with_graceful_shutdown(shutdown);
            if let Err(cause) = server.await {
                log::error!("platform HTTP server failed: {cause}");
            }
        });
        Ok(Handle {
            address,
            shared,
            stop,
        })
    }
}

/// Number of calls to the platform. Changes of switches are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Calls {
    /// Calls with method GET.
    pub reads: u64,
    /// Calls with other methods.
    pub writes: u64,
}

/// Handle of a running platform. Dropping the handle stops the platform.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: sync::Arc<routes::Shared>,
    stop: watch::Sender<bool>,
}

impl Handle {
    /// Returns the address on which the platform accepts HTTP connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of calls so far, including refused ones.
    pub fn calls(&self) -> Calls {
        let calls = &self.shared.calls;
        Calls {
            reads: calls.reads.load(Ordering::Relaxed),
            writes: calls.writes.load(Ordering::Relaxed),
        }
    }

    /// Changes switches: the delay and injected faults.
    pub fn switch(&self, change: Change) {
        self.shared.switches.set(change);
    }

    /// Sets the list of VMs, which becomes visible after the lag.
    pub fn set_vms(&self, list: VmList) {
        self.shared.vms().set(list, Instant::now());
    }

    /// Sets the lag of lists of VMs that are set from now on, in ms.
    pub fn set_vms_lag_ms(&self, lag_ms: u64) {
        self.shared.vms().set_lag(Duration::from_millis(lag_ms));
    }

    /// Stops the platform: completes the calls in progress, closes its connections and refuses new ones.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop();
    }
}
