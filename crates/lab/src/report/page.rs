//! Markdown page with the measurements of an experiment.

use crate::experiment;
use crate::report::mark;

/// Returns the page in Markdown. `command` is the command that makes the report; `plot` is the path of the plot,
/// relative to the page.
pub fn page(
    report: &experiment::Report,
    options: &experiment::Options,
    command: &str,
    plot: &str,
) -> String {
    let marks = options.faults.iter().map(mark::Mark::from_fault);
    let faults: String = marks.map(|mark| fault_line(&mark)).collect();
    let rows: String = table_rows(report)
        .into_iter()
        .map(|(name, value)| format!("| {name} | {value} |\n"))
        .collect();
    format!(
        "# Report: {profile}\n\n\
         One database group and its {proxies} proxies on a virtual clock: the real reducers with fakes of\n\
         members, platform and network. Made by\n\n    {command}\n\n\
         ![share of reads by replicas and acknowledged writes over time]({plot})\n\n\
         Faults:\n\n{faults}\n\
         | figure | value |\n| --- | --- |\n{rows}",
        profile = report.profile,
        proxies = options.proxies,
    )
}

/// Returns the list item of a fault.
fn fault_line(mark: &mark::Mark) -> String {
    match mark.until_s {
        Some(until_s) => format!(
            "- {} from {:.1} s to {until_s:.1} s\n",
            mark.label, mark.from_s
        ),
        None => format!("- {} at {:.1} s\n", mark.label, mark.from_s),
    }
}

/// Returns the names and values in the table of measurements.
fn table_rows(report: &experiment::Report) -> Vec<(&'static str, String)> {
    let percent = |share: f64| format!("{:.2}%", 100.0 * share);
    let quantiles = |latency: &experiment::Latency| {
        format!(
            "{:.1} / {:.1} / {:.1} ms",
            latency.p50_ms, latency.p99_ms, latency.max_ms
        )
    };
    vec![
        ("reads served by replicas", percent(report.replica_share)),
        ("reads inside their region", percent(report.region_share)),
        (
            "longest time without an acknowledged write",
            format!("{:.0} ms", report.longest_write_gap_ms),
        ),
        ("promotions", report.promotions.to_string()),
        ("requests", report.requests.to_string()),
        ("reads answered", report.reads.to_string()),
        ("writes acknowledged", report.writes.to_string()),
        ("writes of unknown outcome", report.unknown.to_string()),
        ("requests refused as not run", report.refusals.to_string()),
        (
            "read latency p50 / p99 / max",
            quantiles(&report.read_latency),
        ),
        (
            "write latency p50 / p99 / max",
            quantiles(&report.write_latency),
        ),
        (
            "control bytes a second and proxy",
            format!("{:.0}", report.control_bytes_per_second),
        ),
        ("promises broken", report.violations.len().to_string()),
    ]
}
