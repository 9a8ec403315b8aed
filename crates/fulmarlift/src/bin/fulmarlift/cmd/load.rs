//! `load`: puts load on running proxies and prints the results.

use std::time::Duration;

use fulmarlift_lab::load;

use crate::{error, flags, output};

pub async fn run(flags: &flags::Load, json: bool) -> Result<(), error::Error> {
    let report = load::run(&options(flags), print_progress).await?;
    match json {
        true => output::print_json(&report)?,
        false => output::print_text(&describe(&report))?,
    }
    match report.passed() {
        true => Ok(()),
        false => Err(error::Error::LoadBroken),
    }
}

fn options(flags: &flags::Load) -> load::Options {
    let default = load::Options::default();
    load::Options {
        addresses: flags.proxy.clone(),
        caller: flags.caller.as_deref().map_or(default.caller, Into::into),
        service: flags.service.as_deref().map_or(default.service, Into::into),
        sessions: flags.sessions.unwrap_or(default.sessions),
        requests_per_second: flags.rate.unwrap_or(default.requests_per_second),
        write_share: flags.write_share.unwrap_or(default.write_share),
        token_share: flags.token_share.unwrap_or(default.token_share),
        roam_share: flags.roam_share.unwrap_or(default.roam_share),
        length: flags.seconds.map_or(default.length, Duration::from_secs),
        timeout: default.timeout,
        seed: flags.seed.unwrap_or(default.seed),
    }
}

fn print_progress(progress: &load::Progress) {
    eprintln!(
        "{:>4} s: {} done, {} refused, {} unknown, {} failed, {} broken",
        progress.elapsed.as_secs(),
        progress.done,
        progress.refused,
        progress.unknown,
        progress.failed,
        progress.violations
    );
}

fn describe(report: &load::Report) -> String {
    let titles = [
        "KIND", "DONE", "REFUSED", "UNKNOWN", "FAILED", "P50_US", "P90_US", "P99_US", "MAX_US",
    ];
    let mut table = output::Table::new(titles);
    for kind in &report.kinds {
        let latency = kind.done_latency;
        table.push_row([
            format!("{:?}", kind.kind),
            kind.done.to_string(),
            kind.refused.to_string(),
            kind.unknown.to_string(),
            kind.failed.to_string(),
            latency.p50_us.to_string(),
            latency.p90_us.to_string(),
            latency.p99_us.to_string(),
            latency.max_us.to_string(),
        ]);
    }
    format!(
        "{}{:.1} requests a second done, {} planned; {} connects, {} failed\n{} stale reads, {} false reads\n",
        table.to_text(),
        report.done_per_second,
        report.planned_per_second,
        report.connects,
        report.connects_failed,
        report.stale_reads,
        report.false_reads
    )
}
