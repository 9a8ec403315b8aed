//! The reducer behind a lock, and the running of its effects.
//!
//! Effects run while the lock is held, so that they keep their order; none of them blocks: they hand
//! notices to waiting tasks or start tasks that report back with an event.

mod meter;
mod notice;
mod run;
mod view;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use fulmarlift_core::{effect, event, id, request, sorted, topology};
use tokio::sync::{oneshot, watch};

use crate::document;
use crate::member;
use crate::settings;

pub use notice::{Dispatched, Notice};
pub use run::Tasks;

/// Waits for what becomes of a request.
pub type Waiter = oneshot::Receiver<Notice>;

/// The decisions of one proxy and what they act on.
#[derive(Debug)]
pub struct Engine {
    inner: Mutex<Inner>,
    /// Settings of the daemon.
    pub settings: settings::Settings,
    /// Control connections to members.
    pub control: member::Control,
    /// Identifier of this incarnation.
    pub proxy: id::ProxyId,
    /// Questions to members.
    pub questions: metrics::Counter,
    place: topology::Place,
    tasks: Tasks,
    draining: AtomicBool,
    drained: watch::Sender<bool>,
}

#[derive(Debug)]
struct Inner {
    state: fulmarlift_core::State,
    meter: meter::Meter,
    waiters: sorted::Map<id::RequestId, Waiting>,
    running: sorted::Map<id::RequestId, Running>,
    idle: sorted::Map<id::ConnId, Box<member::Backend>>,
    document: Arc<document::Accepted>,
    next_request: id::RequestId,
    effects: Vec<effect::Effect>,
    follow_ups: VecDeque<event::Event>,
}

/// A request whose next notice is waited for.
#[derive(Debug)]
struct Waiting {
    notify: oneshot::Sender<Notice>,
    is_read: bool,
    since: Instant,
}

/// A request that a session runs on a connection.
#[derive(Debug)]
struct Running {
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
    /// Returns where the next notice of a request arrives.
    fn wait(&mut self, request: id::RequestId, is_read: bool) -> Waiter {
        let (notify, waiter) = oneshot::channel();
        let since = Instant::now();
        let waiting = Waiting {
            notify,
            is_read,
            since,
        };
        self.waiters.insert(request, waiting);
        waiter
    }
}

impl Engine {
    /// Creates the engine of a proxy that has learned nothing yet.
    pub fn new(settings: settings::Settings, tasks: Tasks) -> Arc<Self> {
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
            meter: meter::Meter::new(),
            waiters: sorted::Map::default(),
            running: sorted::Map::default(),
            idle: sorted::Map::default(),
            document: Arc::default(),
            next_request: 0,
            effects: Vec::new(),
            follow_ups: VecDeque::new(),
        };
        Arc::new(Self {
            inner: Mutex::new(inner),
            settings,
            control: member::Control::default(),
            proxy,
            questions: metrics::counter!("fulmarlift_control_questions_total"),
            place,
            tasks,
            draining: AtomicBool::new(false),
            drained: watch::Sender::new(false),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in an event and runs what follows from it.
    pub fn step(self: &Arc<Self>, event: event::Event) {
        self.run(&mut self.lock(), event);
    }

    /// Takes in that time has passed.
    pub fn tick(self: &Arc<Self>) {
        let mut inner = self.lock();
        self.run(&mut inner, event::Event::Tick);
        inner.note_writable(Instant::now());
    }

    /// Sets the gauges that are read from the state, before operators look at them.
    pub fn set_gauges(&self) {
        self.lock().set_gauges();
    }

    /// Submits a request and returns its identifier and where its first notice arrives.
    pub fn submit(self: &Arc<Self>, submission: Submission) -> (id::RequestId, Waiter) {
        let mut inner = self.lock();
        inner.next_request += 1;
        let id = inner.next_request;
        let waiter = inner.wait(id, submission.kind.is_read());
        let request = request::Request {
            id,
            caller: submission.caller,
            service: submission.service,
            kind: submission.kind,
            floor: submission.floor,
            deadline: submission.deadline,
        };
        self.run(&mut inner, event::Event::Arrived(request));
        (id, waiter)
    }

    /// Gives a connection back and says what became of the request; returns where its next notice
    /// arrives, if the outcome has one.
    pub fn give_back(
        self: &Arc<Self>,
        returned: event::Returned,
        backend: Box<member::Backend>,
    ) -> Waiter {
        let mut inner = self.lock();
        let ran = inner.running.remove(returned.request);
        let waiter = inner.wait(returned.request, ran.is_some_and(|ran| ran.is_read));
        if matches!(
            returned.outcome,
            event::Outcome::Answered | event::Outcome::Unknown
        ) {
            inner.waiters.remove(returned.request);
        }
        if returned.clean {
            inner.idle.insert(returned.conn, backend);
        }
        self.run(&mut inner, event::Event::Returned(returned));
        waiter
    }

    /// Notes that the caller of a request that has not been dispatched is gone.
    pub fn abandon(self: &Arc<Self>, request: id::RequestId) {
        let mut inner = self.lock();
        inner.waiters.remove(request);
        self.run(&mut inner, event::Event::Abandoned(request));
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
        self.control.configure(&accepted.topology);
        inner.meter.configure(&self.place, &accepted.topology);
        let event = event::Event::Configured(accepted.topology.clone(), accepted.head.clone());
        inner.document = accepted;
        self.run(&mut inner, event);
    }

    /// Returns who served the reads so far.
    pub fn read_counts(&self) -> fulmarlift_core::state::ReadCounts {
        self.lock().state.read_counts()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Arc<document::Accepted> {
        Arc::clone(&self.lock().document)
    }

    /// Returns the address for peers of the proxy whose identifier ends with these 32 bits.
    pub fn peer_address(&self, low: u32) -> Option<Box<str>> {
        let inner = self.lock();
        let mut peers = inner.state.peers().peers.iter();
        let (_, peer) = peers.find(|(proxy, _)| *proxy as u32 == low)?;
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
