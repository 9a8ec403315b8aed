//! The reducer behind a lock, and the running of its effects.
//!
//! Effects run while the lock is held, so that they keep their order; none of them blocks: they hand
//! notices to waiting tasks or start tasks that report back with an event.

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

/// Waits for what becomes of a request.
pub type DecisionReceiver = oneshot::Receiver<Decision>;

/// The decisions of one proxy and what they act on.
#[derive(Debug)]
pub struct Engine {
    inner: Mutex<Inner>,
    /// Settings of the daemon.
    pub settings: settings::Settings,
    /// Control connections to members.
    pub control_connections: member::ControlConnections,
    /// Identifier of this incarnation.
    pub proxy: id::ProxyId,
    /// Questions to members.
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
    idle: sorted::Map<id::ConnId, Box<member::Backend>>,
    document: Arc<document::Accepted>,
    next_request: id::RequestId,
    effects: Vec<effect::Effect>,
    follow_up_events: VecDeque<event::Event>,
}

/// A request whose next decision is waited for.
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
    /// Service that was asked.
    pub service: id::ServiceId,
    /// What the request needs.
    pub kind: request::Kind,
    /// The session's floor, if the caller carries a token.
    pub floor: Option<fulmarlift_core::floor::Floor>,
    /// When the caller no longer wants the answer.
    pub deadline: Instant,
}

impl Inner {
    /// Returns where the next decision of a request arrives.
    fn register_waiting(&mut self, request: id::RequestId, is_read: bool) -> DecisionReceiver {
        let (decision_sender, waiter) = oneshot::channel();
        let since = Instant::now();
        let waiting = WaitingRequest {
            decision_sender,
            is_read,
            since,
        };
        self.waiting.insert(request, waiting);
        waiter
    }
}

impl Engine {
    /// Creates the engine of a proxy that has learned nothing yet.
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
            idle: sorted::Map::default(),
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

    /// Takes in an event and runs what follows from it.
    pub fn step(self: &Arc<Self>, event: event::Event) {
        self.step_locked(&mut self.lock(), event);
    }

    /// Takes in that time has passed.
    pub fn tick(self: &Arc<Self>) {
        let mut inner = self.lock();
        self.step_locked(&mut inner, event::Event::Tick);
        inner.record_writable(Instant::now());
    }

    /// Sets the gauges that are read from the state, before operators look at them.
    pub fn set_gauges(&self) {
        self.lock().set_gauges();
    }

    /// Submits a request and returns its identifier and where its first decision arrives.
    pub fn submit(self: &Arc<Self>, submission: Submission) -> (id::RequestId, DecisionReceiver) {
        let mut inner = self.lock();
        inner.next_request += 1;
        let id = inner.next_request;
        let waiter = inner.register_waiting(id, submission.kind.is_read());
        let request = request::Request {
            id,
            caller: submission.caller,
            service: submission.service,
            kind: submission.kind,
            floor: submission.floor,
            deadline: submission.deadline,
        };
        self.step_locked(&mut inner, event::Event::Arrived(request));
        (id, waiter)
    }

    /// Gives a connection back and says what became of the request; returns where its next decision
    /// arrives, if the outcome has one.
    pub fn return_connection(
        self: &Arc<Self>,
        returned: event::Returned,
        backend: Box<member::Backend>,
    ) -> DecisionReceiver {
        let mut inner = self.lock();
        let running = inner.running.remove(returned.request);
        let waiter = inner.register_waiting(
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
            inner.idle.insert(returned.conn, backend);
        }
        self.step_locked(&mut inner, event::Event::Returned(returned));
        waiter
    }

    /// Notes that the caller of a request that has not been dispatched is gone.
    pub fn abandon(self: &Arc<Self>, request: id::RequestId) {
        let mut inner = self.lock();
        inner.waiting.remove(request);
        self.step_locked(&mut inner, event::Event::Abandoned(request));
    }

    /// Puts a document in force unless a newer one is.
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

    /// Returns who served the reads so far.
    pub fn served(&self) -> fulmarlift_core::state::Served {
        self.lock().state.served()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<document::Accepted> {
        Arc::clone(&self.lock().document)
    }

    /// Returns the address for peers of the proxy whose identifier ends with these 32 bits.
    pub fn peer_address(&self, low_bits: u32) -> Option<Box<str>> {
        let inner = self.lock();
        let mut peers = inner.state.peers().peers.iter();
        let (_, peer) = peers.find(|(proxy, _)| *proxy as u32 == low_bits)?;
        Some(peer.message.address.clone())
    }

    /// Returns the addresses of all known peers.
    pub fn peer_addresses(&self) -> Vec<Box<str>> {
        self.lock().state.peers().addresses.clone()
    }

    /// Returns a receiver that turns true once a drain has finished.
    pub fn drained(&self) -> watch::Receiver<bool> {
        self.drained.subscribe()
    }

    /// Starts to stop: refuses new requests and ends when those in flight have.
    pub fn drain(self: &Arc<Self>) {
        self.draining.store(true, Ordering::Relaxed);
        self.step(event::Event::Drain);
    }
}
