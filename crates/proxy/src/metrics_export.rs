//! Exports the metrics of the process in the Prometheus text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Error when the metrics recorder cannot be installed.
pub type Error = metrics_exporter_prometheus::BuildError;

/// Installs the metrics recorder of the process. A process can install one recorder only.
///
/// # Errors
///
/// Returns an error when the process already has a recorder.
pub fn install() -> Result<PrometheusHandle, Error> {
    let handle = PrometheusBuilder::new().install_recorder()?;
    describe();
    Ok(handle)
}

fn describe() {
    for (name, text) in COUNTERS {
        metrics::describe_counter!(name, text);
    }
    for (name, text) in HISTOGRAMS {
        metrics::describe_histogram!(name, metrics::Unit::Seconds, text);
    }
    for (name, text) in GAUGES {
        metrics::describe_gauge!(name, text);
    }
}

const COUNTERS: [(&str, &str); 9] = [
    (
        "fulmarlift_reads_total",
        "Reads sent to members, by the member's role and distance",
    ),
    (
        "fulmarlift_commits_confirmed_total",
        "Writes confirmed by a majority and acknowledged",
    ),
    (
        "fulmarlift_unknown_outcomes_total",
        "Writes that callers were told have an unknown outcome",
    ),
    (
        "fulmarlift_refusals_total",
        "Requests refused; none of them ran",
    ),
    (
        "fulmarlift_connects_total",
        "Connections that were started to members",
    ),
    (
        "fulmarlift_control_questions_total",
        "Status questions, fences and promotions sent to members",
    ),
    (
        "fulmarlift_peer_bytes_total",
        "Bytes of heartbeats to and from peers",
    ),
    (
        "fulmarlift_head_reads_total",
        "Reads of the configuration's head in the store, by result",
    ),
    (
        "fulmarlift_configuration_fetches_failed_total",
        "Attempts in which neither a peer nor the store returned an announced configuration",
    ),
];

const HISTOGRAMS: [(&str, &str); 3] = [
    (
        "fulmarlift_failover_gap_seconds",
        "Time during which a group took no writes",
    ),
    (
        "fulmarlift_wait_seconds",
        "Time from a request's arrival to its connection",
    ),
    (
        "fulmarlift_confirmation_seconds",
        "Time from a commit to its confirmation by a majority",
    ),
];

const GAUGES: [(&str, &str); 5] = [
    ("fulmarlift_sessions", "Callers logged in"),
    ("fulmarlift_requests", "Requests in flight"),
    (
        "fulmarlift_config_version",
        "Configuration version in force",
    ),
    (
        "fulmarlift_group_writable",
        "1 when a group takes writes, 0 when it does not",
    ),
    (
        "fulmarlift_connections",
        "Connections to members, and requests that wait for one, by state",
    ),
];
