//! `demo`: runs a platform, members and proxies in this process.

use std::net::SocketAddr;

use fulmarlift::demo;
use tokio::signal::unix;

use crate::{error, flags, output};

/// Address of the first proxy without `--listen`: any free port.
const DEFAULT_LISTEN: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Runs the tour; with `--serve`, serves until SIGTERM or SIGINT instead.
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
        output::print_text(&format!("ready {}", proxy.caller_address))?;
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
        true => output::print_json(&report)?,
        false => print_report(&report)?,
    }
    match report.passed() {
        true => Ok(()),
        false => Err(error::Error::Demo),
    }
}

fn print_report(report: &demo::Report) -> Result<(), error::Error> {
    for check in &report.checks {
        let mark = if check.passed { "held  " } else { "FAILED" };
        output::print_text(&format!("{mark} {}: {}", check.name, check.observed))?;
    }
    output::print_text(&format!(
        "share of reads served by replicas: {:.3}",
        report.replica_share
    ))?;
    output::print_text(&format!("failover gap: {} ms", report.failover_gap_ms))
}
