//! HTTP interface of the platform.

use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use axum::extract::{DefaultBodyLimit, Path, Query, Request, State};
use axum::http::{Method, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::platform::{store, switches, vms};

/// State that the route handlers share.
#[derive(Debug)]
pub struct Shared {
    /// Tables and objects.
    pub store: sync::Mutex<store::Store>,
    /// List of VMs.
    pub vms: sync::Mutex<vms::Vms>,
    /// Switches of the platform.
    pub switches: switches::Switches,
    /// Number of calls so far.
    pub calls: Calls,
}

/// Counters of calls.
#[derive(Debug, Default)]
pub struct Calls {
    /// Calls with method GET.
    pub reads: AtomicU64,
    /// Calls with other methods.
    pub writes: AtomicU64,
}

type SharedState = State<sync::Arc<Shared>>;

/// Returns the routes. The delay and faults of the switches don't affect the routes that change switches.
pub fn router(shared: sync::Arc<Shared>) -> Router {
    let calls = Router::new()
        .route("/v1/tables/{table}/{key}", get(row))
        .route("/v1/tables/{table}", get(rows))
        .route("/v1/transactions", post(transaction))
        .route("/v1/objects/{name}", put(put_object).get(object))
        .route("/v1/vms", get(vm_list))
        .layer(middleware::from_fn_with_state(
            sync::Arc::clone(&shared),
            apply_switches,
        ));
    let switches = Router::new()
        .route("/switches", post(set_switches))
        .route("/switches/vms", put(set_vms))
        .route("/switches/vms/lag_ms", put(set_vms_lag));
    calls
        .merge(switches)
        .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
        .with_state(shared)
}

async fn apply_switches(State(shared): SharedState, request: Request, next: Next) -> Response {
    let calls = &shared.calls;
    let counter = match *request.method() {
        Method::GET => &calls.reads,
        _ => &calls.writes,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(shared.switches.delay()).await;
    if shared.switches.mode() == switches::Mode::Down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    next.run(request).await
}

async fn row(
    State(shared): SharedState,
    Path((table, key)): Path<(String, String)>,
) -> Result<Json<store::Row>, StatusCode> {
    let store = shared.store();
    let row = store.row(&table, &key).cloned();
    row.map(Json).ok_or(StatusCode::NOT_FOUND)
}

#[derive(Debug, Deserialize)]
struct Page {
    #[serde(default)]
    after: Box<str>,
    limit: Option<usize>,
}

#[derive(Debug, Serialize)]
struct Rows {
    rows: Vec<store::Row>,
}

async fn rows(
    State(shared): SharedState,
    Path(table): Path<String>,
    Query(page): Query<Page>,
) -> Json<Rows> {
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_ROWS);
    let store = shared.store();
    let rows = store.rows_after(&table, &page.after, limit).to_vec();
    Json(Rows { rows })
}

async fn transaction(
    State(shared): SharedState,
    Json(transaction): Json<store::Transaction>,
) -> Response {
    let outcome = shared.store().commit(transaction);
    match outcome {
        Ok(_) if shared.switches.consume_lost_answer() => {
            StatusCode::SERVICE_UNAVAILABLE.into_response()
        }
        Ok(committed) => Json(committed).into_response(),
        Err(conflicts) => (StatusCode::CONFLICT, Json(conflicts)).into_response(),
    }
}

async fn put_object(
    State(shared): SharedState,
    Path(name): Path<String>,
    bytes: Bytes,
) -> StatusCode {
    match shared.store().put_object(&name, bytes) {
        store::PutOutcome::New => StatusCode::CREATED,
        store::PutOutcome::Identical => StatusCode::OK,
        store::PutOutcome::Different => StatusCode::CONFLICT,
    }
}

async fn object(State(shared): SharedState, Path(name): Path<String>) -> Result<Bytes, StatusCode> {
    shared.store().object(&name).ok_or(StatusCode::NOT_FOUND)
}

async fn vm_list(State(shared): SharedState) -> Json<vms::VmList> {
    Json(shared.vms().visible(Instant::now()))
}

async fn set_switches(State(shared): SharedState, Json(change): Json<switches::Change>) {
    shared.switches.set(change);
}

async fn set_vms(State(shared): SharedState, Json(list): Json<vms::VmList>) {
    shared.vms().set(list, Instant::now());
}

async fn set_vms_lag(State(shared): SharedState, Json(lag_ms): Json<u64>) {
    shared.vms().set_lag(Duration::from_millis(lag_ms));
}

impl Shared {
    /// Locks the tables and objects.
    pub fn store(&self) -> sync::MutexGuard<'_, store::Store> {
        self.store.lock().expect(LOCK_NOT_POISONED)
    }

    /// Locks the list of VMs.
    pub fn vms(&self) -> sync::MutexGuard<'_, vms::Vms> {
        self.vms.lock().expect(LOCK_NOT_POISONED)
    }
}

const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
const DEFAULT_PAGE_ROWS: usize = 1000;
const LOCK_NOT_POISONED: &str = "no holder of the lock panics";
