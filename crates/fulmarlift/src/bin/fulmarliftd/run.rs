//! The daemon's life from start to graceful stop.

use fulmarlift_proxy::{proxy, settings};
use tokio::signal::unix;

/// Why the daemon ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime or the signal handlers could not be set up.
    #[error("cannot set up the process")]
    Setup(#[from] std::io::Error),
    /// The metrics could not be set up.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] fulmarlift_proxy::metrics_export::Error),
    /// The proxy could not start.
    #[error("cannot start: {0}")]
    Proxy(#[from] proxy::Error),
}

/// Serves until SIGTERM or SIGINT, then stops gracefully. A second signal changes nothing.
pub fn run(settings: settings::Settings) -> Result<(), Error> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: settings::Settings) -> Result<(), Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let metrics = fulmarlift_proxy::metrics_export::install()?;
    let proxy = fulmarlift_proxy::Proxy::start(settings, Some(metrics)).await?;
    println!("ready {}", proxy.caller_address);
    println!("admin {}", proxy.admin_address);
    println!("peer {}", proxy.peer_address);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    proxy.stop().await;
    Ok(())
}
