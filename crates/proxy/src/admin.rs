//! HTTP endpoints for operators: liveness, readiness, metrics, status and explanations of statements.

use std::sync::Arc;

use axum::Json;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing;
use fulmarlift_store::admin;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Deserialize;
use tokio::net::TcpListener;

use crate::engine;

/// HTTP status of a proxy that callers must not be routed to.
const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Body of `/ready` before a configuration is in force.
const NO_CONFIGURATION: &str =
    "not ready: neither the platform nor a peer has given a configuration";

/// State shared by the HTTP handlers.
#[derive(Clone, Debug)]
pub struct AdminState {
    /// Engine that answers for readiness, status and explanations.
    pub engine: Arc<engine::Engine>,
    /// Exporter of the metrics, if this process records them.
    pub metrics: Option<PrometheusHandle>,
}

#[derive(Debug, Deserialize)]
struct ExplainQuery {
    service: Box<str>,
    sql: Box<str>,
}

/// Serves the endpoints until the process ends.
pub async fn serve(admin: AdminState, listener: TcpListener) {
    let router = axum::Router::new()
        .route("/live", routing::get(|| async { "live" }))
        .route("/ready", routing::get(ready))
        .route("/metrics", routing::get(metrics))
        .route(admin::STATUS_PATH, routing::get(status))
        .route(admin::EXPLAIN_PATH, routing::get(explain))
        .with_state(admin);
    if let Err(error) = axum::serve(listener, router).await {
        log::error!("event=admin_failed error={error}");
    }
}

async fn ready(State(admin): State<AdminState>) -> (StatusCode, &'static str) {
    match (admin.engine.is_ready(), admin.engine.is_draining()) {
        (true, _) => (StatusCode::OK, "ready"),
        (false, true) => (UNAVAILABLE, "not ready: the proxy stops"),
        (false, false) => (UNAVAILABLE, NO_CONFIGURATION),
    }
}

async fn metrics(State(admin): State<AdminState>) -> String {
    admin.engine.set_gauges();
    admin
        .metrics
        .map(|handle| handle.render())
        .unwrap_or_default()
}

async fn status(State(admin): State<AdminState>) -> Json<admin::Status> {
    Json(admin.engine.status())
}

async fn explain(
    State(admin): State<AdminState>,
    Query(query): Query<ExplainQuery>,
) -> Result<Json<admin::Explanation>, (StatusCode, String)> {
    crate::explain::explain(&admin.engine, &query.service, &query.sql)
        .map(Json)
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))
}
