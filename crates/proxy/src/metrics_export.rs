//! The process's metrics in the Prometheus text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Why metrics could not be set up.
pub type Error = metrics_exporter_prometheus::BuildError;

/// Starts recording metrics; may be done once in a process.
///
/// # Errors
///
/// Returns an error when metrics are recorded already.
pub fn install() -> Result<PrometheusHandle, Error> {
    let handle = PrometheusBuilder::new().install_recorder()?;
    describe();
    Ok(handle)
}

fn describe() {
    metrics::describe_counter!(
        "fulmarlift_refusals_total",
        "Requests refused; none of them ran"
    );
    metrics::describe_counter!(
        "fulmarlift_unknown_outcomes_total",
        "Writes whose outcome callers were told is unknown"
    );
    metrics::describe_counter!(
        "fulmarlift_connects_total",
        "Connections that were started to members"
    );
    metrics::describe_counter!(
        "fulmarlift_peer_bytes_total",
        metrics::Unit::Bytes,
        "Bytes of heartbeats sent to peers"
    );
    metrics::describe_counter!(
        "fulmarlift_configuration_fetches_failed_total",
        "Times that neither a peer nor the store gave a configuration that was announced"
    );
    metrics::describe_gauge!("fulmarlift_sessions", "Callers logged in");
}
