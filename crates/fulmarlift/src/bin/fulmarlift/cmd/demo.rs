//! Runs the whole system in this process.

use std::net::SocketAddr;

use fulmarlift::demo;
use tokio::signal::unix;

use crate::{error, flags, output};

/// Where the first proxy listens when it is not said.
const DEFAULT_LISTEN: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Runs the tour, or serves until SIGTERM.
pub async fn run(flags: &flags::Demo, json: bool) -> Result<(), error::Error> {
    let listen = flags.listen.unwrap_or(DEFAULT_LISTEN);
    let system = demo::System::start(listen).await?;
    match flags.serve {
        true => serve(&system).await,
        false => tour(&system, json).await,
    }
}

async fn serve(system: &demo::System) -> Result<(), error::Error> {
    let terminate = unix::signal(unix::SignalKind::terminate());
    let interrupt = unix::signal(unix::SignalKind::interrupt());
    let mut terminate = terminate.map_err(error::Error::Runtime)?;
    let mut interrupt = interrupt.map_err(error::Error::Runtime)?;
    for proxy in &system.proxies {
        output::text(&format!("ready {}", proxy.caller_address))?;
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    system.stop().await;
    Ok(())
}

async fn tour(system: &demo::System, json: bool) -> Result<(), error::Error> {
    let report = demo::run(system).await?;
    match json {
        true => output::json(&report)?,
        false => print(&report)?,
    }
    match report.held() {
        true => Ok(()),
        false => Err(error::Error::Demo),
    }
}

fn print(report: &demo::Report) -> Result<(), error::Error> {
    for check in &report.checks {
        let mark = if check.held { "held  " } else { "FAILED" };
        output::text(&format!("{mark} {}: {}", check.name, check.seen))?;
    }
    output::text(&format!(
        "share of reads served by replicas: {:.3}",
        report.replica_share
    ))?;
    output::text(&format!("failover gap: {} ms", report.failover_gap_ms))
}
