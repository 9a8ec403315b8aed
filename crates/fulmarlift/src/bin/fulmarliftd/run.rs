//! Runs the proxy from its start to its graceful stop.

use fulmarlift_proxy::{proxy, settings};
use tokio::signal::unix;

/// Error that ends the daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Setting up the tokio runtime or the signal handlers failed.
    #[error("cannot set up the runtime or the signal handlers")]
    Setup(#[from] std::io::Error),
    /// Installing the metrics recorder failed.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] fulmarlift_proxy::metrics_export::Error),
    /// Starting the proxy failed.
    #[error("cannot start the proxy: {0}")]
    Proxy(#[from] proxy::Error),
}

/// Runs the proxy until SIGTERM or SIGINT, then stops it gracefully. A second signal during the stop is ignored.
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
