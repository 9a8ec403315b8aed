//! Bounds over all clients of the process, so that clients that do not behave run it neither out of memory nor out of descriptors.
//!
//! - [`bounds`] derives the bounds from the memory and the descriptors of the VM.
//! - [`ledger`] decides whom to refuse or close.
//! - [`activity`] holds what a client does at the moment.
//! - [`http`] bounds the connections of readiness checks and of readers of the metrics.
//! - [`report`] counts and logs.

pub mod activity;
pub mod bounds;
pub mod http;
pub mod ledger;
pub mod report;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::BytesMut;

use crate::clock;
use crate::limits::activity::Activity;
use crate::limits::bounds::{Bounds, VmResources};
use crate::limits::ledger::{Cause, Close, ConnectionNumber, Ledger, Resource, Verdict};
use crate::limits::report::LineLimiter;

/// Largest buffer that an idle session keeps. Usual messages and answers are a few KB long.
const KEPT_BUFFER_BYTES: usize = 8 << 10;
/// Size from which a statement that runs, or an answer that must wait, is counted. Less is part of what an idle session may keep.
const COUNTED_BYTES: usize = KEPT_BUFFER_BYTES;

/// A kind of client with bounds of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pool {
    /// Callers.
    Callers = 0,
    /// Proxies that forward statements.
    Peers = 1,
    /// Proxies on the port for updates.
    Updates = 2,
}

impl Pool {
    fn name(self) -> &'static str {
        match self {
            Self::Callers => "caller",
            Self::Peers => "peer",
            Self::Updates => "updates",
        }
    }
}

/// The clients of a process, and their bounds.
#[derive(Debug)]
pub struct Limits {
    vm_resources: Cell<VmResources>,
    ledgers: RefCell<[Ledger; 3]>,
    /// Of each pool and cause.
    limiters: RefCell<[[LineLimiter; Cause::ALL.len()]; 3]>,
}

impl Default for Limits {
    fn default() -> Self {
        let vm_resources = VmResources::default();
        let bounds = Bounds::new(vm_resources);
        let ledgers = [bounds.callers, bounds.peers, bounds.updates].map(Ledger::new);
        Self {
            vm_resources: Cell::new(vm_resources),
            ledgers: RefCell::new(ledgers),
            limiters: RefCell::default(),
        }
    }
}

impl Limits {
    /// Sets the memory and the descriptors of the process.
    pub fn set_vm_resources(&self, vm_resources: VmResources) {
        self.vm_resources.set(vm_resources);
        let bounds = Bounds::new(vm_resources);
        let bounds = [bounds.callers, bounds.peers, bounds.updates];
        for (ledger, bounds) in self.ledgers.borrow_mut().iter_mut().zip(bounds) {
            ledger.set_bounds(bounds);
        }
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> Bounds {
        Bounds::new(self.vm_resources.get())
    }

    /// Adds a connection until the returned slot is dropped. May close another one for it; returns none if it must be refused.
    pub fn open(self: &Rc<Self>, pool: Pool) -> Option<Slot> {
        let now = clock::now();
        let activity = Rc::new(Activity::new(now));
        let mut closes = Vec::new();
        let opened =
            self.ledgers.borrow_mut()[pool as usize].open(now, Rc::clone(&activity), &mut closes);
        self.run(pool, closes);
        let Some(number) = opened else {
            self.record(pool, Cause::Connections, "refused");
            return None;
        };
        Some(Slot {
            limits: Rc::clone(self),
            pool,
            number,
            activity,
            used_bytes: Cell::default(),
        })
    }

    fn run(&self, pool: Pool, closes: Vec<Close>) {
        for Close { activity, cause } in closes {
            activity.close(cause);
            self.record(pool, cause, "closed");
        }
    }

    fn record(&self, pool: Pool, cause: Cause, action: &'static str) {
        let mut limiters = self.limiters.borrow_mut();
        let limiter = &mut limiters[pool as usize][cause.index()];
        report::record(limiter, clock::now(), pool.name(), cause.name(), action);
    }
}

/// A connection that is counted.
#[derive(Debug)]
pub struct Slot {
    limits: Rc<Limits>,
    pool: Pool,
    number: ConnectionNumber,
    activity: Rc<Activity>,
    /// Bytes that the ledger counts for the connection, by resource.
    used_bytes: Cell<[usize; 3]>,
}

impl Slot {
    /// Returns what the client does.
    pub fn activity(&self) -> Rc<Activity> {
        Rc::clone(&self.activity)
    }

    /// Waits until the connection must be closed. Cancel-safe.
    pub async fn closed(&self) -> Cause {
        self.activity.closed().await
    }

    /// Records how many bytes of a resource the client keeps from now on.
    ///
    /// # Errors
    ///
    /// The cause for which the client may not keep them.
    pub fn set(&self, resource: Resource, bytes: usize) -> Result<(), Cause> {
        let mut used_bytes = self.used_bytes.get();
        // The usual statement has used nothing before and uses nothing now.
        if used_bytes[resource as usize] == bytes {
            return Ok(());
        }
        let mut closes = Vec::new();
        let verdict = self.limits.ledgers.borrow_mut()[self.pool as usize].set(
            clock::now(),
            self.number,
            resource,
            bytes,
            &mut closes,
        );
        self.limits.run(self.pool, closes);
        match verdict {
            Verdict::Allowed => {
                used_bytes[resource as usize] = bytes;
                self.used_bytes.set(used_bytes);
                Ok(())
            }
            Verdict::Refused => {
                let cause = Cause::Bytes(resource);
                self.limits.record(self.pool, cause, "refused");
                Err(cause)
            }
        }
    }

    /// Records a statement that begins to run, with the size of its text. It is kept twice: as the client sent it, and in the command for
    /// the member.
    ///
    /// # Errors
    ///
    /// The cause for which it may not run.
    pub fn start_statement(&self, text_bytes: usize) -> Result<(), Cause> {
        self.activity.start_statement();
        let counted_bytes = match text_bytes > COUNTED_BYTES {
            true => 2 * text_bytes,
            false => 0,
        };
        self.set(Resource::Messages, counted_bytes)
    }

    /// Records that the statement has ended.
    pub fn end_statement(&self) {
        self.activity.end_statement(clock::now());
        // Fewer bytes are never refused.
        let _ = self.set(Resource::Messages, 0);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.limits.ledgers.borrow_mut()[self.pool as usize].end(self.number);
    }
}

/// Returns the memory of a buffer that is counted for its client: none for a small one, which the session may keep anyway.
pub(crate) fn counted_bytes(buffer: &BytesMut) -> usize {
    match buffer.is_empty() || buffer.capacity() <= COUNTED_BYTES {
        true => 0,
        false => buffer.capacity(),
    }
}

/// Frees the memory of an empty buffer if a large message or answer has used it.
pub(crate) fn free_if_idle(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > KEPT_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
}

/// Moves the rest of a buffer to memory of its own after a large message was split off, so that the rest does not keep that.
pub(crate) fn detach(rest: &mut BytesMut, message_bytes: usize) {
    if message_bytes > KEPT_BUFFER_BYTES {
        *rest = BytesMut::from(&rest[..]);
    }
}
