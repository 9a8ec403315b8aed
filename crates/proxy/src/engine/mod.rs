//! The reducer behind a lock, and the running of its effects.
//!
//! Effects run while the lock is held, so that they keep their order; none of them blocks: they hand
//! notices to waiting tasks or start tasks that report back with an event.

mod notice;
mod run;
mod view;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use fulmarlift_core::{effect, event, id, request, sorted};
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
    tasks: Tasks,
    draining: AtomicBool,
    drained: watch::Sender<bool>,
}

#[derive(Debug)]
struct Inner {
    state: fulmarlift_core::State,
    waiters: sorted::Map<id::RequestId, oneshot::Sender<Notice>>,
    interrupts: sorted::Map<id::RequestId, oneshot::Sender<()>>,
    idle: sorted::Map<id::ConnId, Box<member::Backend>>,
    document: Arc<document::Accepted>,
    next_request: id::RequestId,
    effects: Vec<effect::Effect>,
    follow_ups: VecDeque<event::Event>,
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

impl Engine {
    /// Creates the engine of a proxy that has learned nothing yet.
    pub fn new(settings: settings::Settings, tasks: Tasks) -> Arc<Self> {
        let identity = settings.identity();
        let proxy = identity.proxy;
        let peers = settings
            .peers
            .iter()
            .map(|p| p.to_string().into())
            .collect();
        let state = fulmarlift_core::State::new(identity, peers, Instant::now());
        let inner = Inner {
            state,
            waiters: sorted::Map::default(),
            interrupts: sorted::Map::default(),
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

    /// Submits a request and returns its identifier and where its first notice arrives.
    pub fn submit(self: &Arc<Self>, submission: Submission) -> (id::RequestId, Waiter) {
        let mut inner = self.lock();
        inner.next_request += 1;
        let id = inner.next_request;
        let (sender, waiter) = oneshot::channel();
        inner.waiters.insert(id, sender);
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
        inner.interrupts.remove(returned.request);
        let (sender, waiter) = oneshot::channel();
        if !matches!(
            returned.outcome,
            event::Outcome::Answered | event::Outcome::Unknown
        ) {
            inner.waiters.insert(returned.request, sender);
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
        let event = event::Event::Configured(accepted.topology.clone(), accepted.head.clone());
        inner.document = accepted;
        self.run(&mut inner, event);
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
