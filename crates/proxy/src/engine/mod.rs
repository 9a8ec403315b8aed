//! Runs the reducer behind a lock and executes its effects.
//!
//! A session submits each request and gets *decisions* on it: first a connection to run the request on or a refusal,
//! and after a commit whether the commit is safe.
//!
//! The engine executes effects while it holds the lock, so that they keep their order. The execution never blocks: it
//! sends a decision to a waiting session, or starts a task that passes the result to the reducer as an event.

mod decision;
mod effects;
mod engine_metrics;
mod status;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use fulmarlift_core::{effect, event, id, request, sorted, topology};
use tokio::sync::{oneshot, watch};

use crate::document;
use crate::member;
use crate::settings;

pub use decision::{Decision, Dispatched};
pub use effects::Outputs;

/// Receives the reducer's next decision on a request.
pub type DecisionReceiver = oneshot::Receiver<Decision>;

/// The reducer of one proxy, and the connections and tasks that its effects use.
#[derive(Debug)]
pub struct Engine {
    inner: Mutex<Inner>,
    /// Settings of the daemon.
    pub settings: settings::Settings,
    /// Control connections to members.
    pub control_connections: member::ControlConnections,
    /// Identifier of this incarnation of the proxy.
    pub proxy: id::ProxyId,
    /// Counter of the control questions sent to members.
    pub control_questions: metrics::Counter,
    place: topology::Place,
    outputs: Outputs,
    draining: AtomicBool,
    drained: watch::Sender<bool>,
}

#[derive(Debug)]
struct Inner {
    state: fulmarlift_core::State,
    metrics: engine_metrics::EngineMetrics,
    waiting: sorted::Map<id::RequestId, WaitingRequest>,
    running: sorted::Map<id::RequestId, RunningRequest>,
    idle_connections: sorted::Map<id::ConnId, Box<member::Backend>>,
    document: Arc<document::Accepted>,
    next_request: id::RequestId,
    effects: Vec<effect::Effect>,
    follow_up_events: VecDeque<event::Event>,
}

/// A request of which a session awaits the next decision.
#[derive(Debug)]
struct WaitingRequest {
    decision_sender: oneshot::Sender<Decision>,
    is_read: bool,
    since: Instant,
}

/// A request that a session runs on a connection.
#[derive(Debug)]
struct RunningRequest {
    interrupt: Option<oneshot::Sender<()>>,
    is_read: bool,
}

/// A request before it has an identifier.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Account of the caller.
    pub caller: id::CallerId,
    /// Service that the caller has logged in to.
    pub service: id::ServiceId,
    /// Read or write, with the freshness that a read requires.
    pub kind: request::Kind,
    /// Floor that the serving member must have reached; `None` for a write, and for a read whose freshness a
    /// read index must show.
    pub floor: Option<fulmarlift_core::floor::Floor>,
    /// Time after which the caller no longer wants the answer.
    pub deadline: Instant,
}

impl Inner {
    /// Registers a request as waiting, and returns the receiver of its next decision.
    fn register_waiting(&mut self, request: id::RequestId, is_read: bool) -> DecisionReceiver {
        let (decision_sender, decision_receiver) = oneshot::channel();
        let since = Instant::now();
        let waiting = WaitingRequest {
            decision_sender,
            is_read,
            since,
        };
        self.waiting.insert(request, waiting);
        decision_receiver
    }
}

impl Engine {
    /// Creates an engine without a configuration, which knows only its own identity and the addresses of peers.
    pub fn new(settings: settings::Settings, outputs: Outputs) -> Arc<Self> {
        let identity = settings.identity();
        let proxy = identity.proxy;
        let place = identity.place.clone();
        let peers = settings
            .peers
            .iter()
            .map(|p| p.to_string().into())
            .collect();
        let state = fulmarlift_core::State::new(identity, peers, Instant::now());
        let inner = Inner {
            state,
            metrics: engine_metrics::EngineMetrics::new(),
            waiting: sorted::Map::default(),
            running: sorted::Map::default(),
            idle_connections: sorted::Map::default(),
            document: Arc::default(),
            next_request: 0,
            effects: Vec::new(),
            follow_up_events: VecDeque::new(),
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            settings,
            control_connections: member::ControlConnections::default(),
            proxy,
            control_questions: metrics::counter!("fulmarlift_control_questions_total"),
            place,
            outputs,
            draining: AtomicBool::new(false),
            drained: watch::Sender::new(false),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the reducer and executes the effects.
    pub fn step(self: &Arc<Self>, event: event::Event) {
        self.step_locked(&mut self.lock(), event);
    }

    /// Passes a tick to the reducer, and records which groups are writable.
    pub fn tick(self: &Arc<Self>) {
        let mut inner = self.lock();
        self.step_locked(&mut inner, event::Event::Tick);
        inner.record_writable(Instant::now());
    }

    /// Sets the gauges from the state of the reducer, before the metrics are rendered.
    pub fn set_gauges(&self) {
        self.lock().set_gauges();
    }

    /// Submits a request; returns its identifier and the receiver of the first decision on it.
    pub fn submit(self: &Arc<Self>, submission: Submission) -> (id::RequestId, DecisionReceiver) {
        let mut inner = self.lock();
        inner.next_request += 1;
        let id = inner.next_request;
        let decision_receiver = inner.register_waiting(id, submission.kind.is_read());
        let request = request::Request {
            id,
            caller: submission.caller,
            service: submission.service,
            kind: submission.kind,
            floor: submission.floor,
            deadline: submission.deadline,
        };
        self.step_locked(&mut inner, event::Event::Arrived(request));
        (id, decision_receiver)
    }

    /// Takes back a connection from a session, with the outcome of its request; closes it unless it is clean. The
    /// returned receiver gets the next decision on the request; there is none after the outcomes `Answered` and
    /// `Unknown`.
    pub fn return_connection(
        self: &Arc<Self>,
        returned: event::Returned,
        backend: Box<member::Backend>,
    ) -> DecisionReceiver {
        let mut inner = self.lock();
        let running = inner.running.remove(returned.request);
        let decision_receiver = inner.register_waiting(
            returned.request,
            running.is_some_and(|running| running.is_read),
        );
        if matches!(
            returned.outcome,
            event::Outcome::Answered | event::Outcome::Unknown
        ) {
            inner.waiting.remove(returned.request);
        }
        if returned.clean {
            inner.idle_connections.insert(returned.conn, backend);
        }
        self.step_locked(&mut inner, event::Event::Returned(returned));
        decision_receiver
    }

    /// Withdraws a request that has not been dispatched, because its caller has cancelled it or disconnected.
    pub fn abandon(self: &Arc<Self>, request: id::RequestId) {
        let mut inner = self.lock();
        inner.waiting.remove(request);
        self.step_locked(&mut inner, event::Event::Abandoned(request));
    }

    /// Puts a document in force, unless the same or a newer version is in force.
    pub fn configure(self: &Arc<Self>, accepted: Arc<document::Accepted>) {
        let mut inner = self.lock();
        if accepted.head.version <= inner.document.head.version {
            return;
        }
        log::info!(
            "event=configuration_in_force version={} digest={}",
            accepted.head.version,
            accepted.head.digest
        );
        self.control_connections.configure(&accepted.topology);
        inner.metrics.configure(&self.place, &accepted.topology);
        let event = event::Event::Configured(accepted.topology.clone(), accepted.head.clone());
        inner.document = accepted;
        self.step_locked(&mut inner, event);
    }

    /// Returns the number of reads sent to primaries and to replicas since the start.
    pub fn read_counts(&self) -> fulmarlift_core::state::ReadCounts {
        self.lock().state.read_counts()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<document::Accepted> {
        Arc::clone(&self.lock().document)
    }

    /// Returns the address of the peer whose identifier has these low 32 bits, if a heartbeat of the peer has arrived.
    pub fn peer_address(&self, low_bits: u32) -> Option<Box<str>> {
        let inner = self.lock();
        let mut peers = inner.state.peers().peers.iter();
        let (_, peer) = peers.find(|(proxy, _)| *proxy as u32 == low_bits)?;
        Some(peer.message.address.clone())
    }

    /// Returns the addresses of all known peers, whether or not a heartbeat of them has arrived.
    pub fn peer_addresses(&self) -> Vec<Box<str>> {
        self.lock().state.peers().addresses.clone()
    }

    /// Returns a receiver whose value becomes `true` when a drain has finished.
    pub fn drained(&self) -> watch::Receiver<bool> {
        self.drained.subscribe()
    }

    /// Starts a drain: the reducer refuses new requests, and the drain finishes when the requests in flight have ended.
    pub fn drain(self: &Arc<Self>) {
        self.draining.store(true, Ordering::Relaxed);
        self.step(event::Event::Drain);
    }
}
