//! The broker with its waiting requests and idle connections, and the tasks behind its effects.

mod learn;
mod lease;
mod notes;
mod tasks;
mod wire;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::Broker;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::request;
use fulmarlift_broker::state;
use fulmarlift_core::id;
use fulmarlift_core::limit;
use fulmarlift_core::sorted;
use tokio::sync::{Mutex, Notify, broadcast, oneshot, watch};

use crate::clock;
use crate::world;
use crate::world::World;

pub use crate::shell::lease::Lease;
pub use crate::shell::wire::Wire;

/// Pause between two ticks: the resolution of deadlines and retries in the broker.
const TICK: Duration = Duration::from_millis(100);

/// News that a listener may be behind before it has to begin anew.
const NEWS_WAITING_MAX: usize = 256;

/// A connection for a request, or the refusal of one.
pub enum Turn<W: World> {
    /// The request may be sent.
    Granted {
        /// The connection.
        lease: Box<Lease<W>>,
        /// What it was granted for.
        grant: effect::Grant,
    },
    /// The request is refused; it has not been sent.
    Refused(effect::Refusal),
}

struct Waiter<W: World> {
    request: request::Request,
    since: Instant,
    turn: oneshot::Sender<Turn<W>>,
}

struct Inner<W: World> {
    broker: Broker,
    events: VecDeque<event::Event>,
    waiters: sorted::Map<id::RequestId, Waiter<W>>,
    idle: sorted::Map<id::ConnId, Wire<W>>,
    next_request: id::RequestId,
}

/// Runs a broker's effects. Shared by all tasks of the process, which run on one thread.
pub struct Shell<W: World> {
    inner: RefCell<Inner<W>>,
    stepping: Cell<bool>,
    ended: Cell<bool>,
    name: Box<str>,
    claims: W::Claims,
    orders: W::Orders,
    control: tasks::ControlLinks<W>,
    hedges: Cell<limit::RetryBudget>,
    news: broadcast::Sender<world::News>,
    listeners: Cell<usize>,
    listener_came: Notify,
    revision: Cell<u64>,
    confirmed_at: Cell<Option<Instant>>,
    store_turn: Mutex<()>,
    stopping: watch::Sender<Option<Instant>>,
    sessions: Cell<usize>,
}

impl<W: World> Shell<W> {
    /// Creates a shell around a new broker.
    pub fn new(settings: state::Settings, claims: W::Claims, orders: W::Orders) -> Rc<Self> {
        let name = settings.name.clone();
        let inner = Inner {
            broker: Broker::new(settings),
            events: VecDeque::new(),
            waiters: sorted::Map::default(),
            idle: sorted::Map::default(),
            next_request: 1,
        };
        Rc::new(Self {
            inner: RefCell::new(inner),
            stepping: Cell::new(false),
            ended: Cell::new(false),
            name,
            claims,
            orders,
            control: tasks::ControlLinks::default(),
            hedges: Cell::new(limit::RetryBudget::default()),
            news: broadcast::Sender::new(NEWS_WAITING_MAX),
            listeners: Cell::new(0),
            listener_came: Notify::new(),
            revision: Cell::new(0),
            confirmed_at: Cell::new(None),
            store_turn: Mutex::new(()),
            stopping: watch::Sender::new(None),
            sessions: Cell::new(0),
        })
    }

    /// Returns a member's name for the log.
    pub fn member_name(&self, member: id::MemberId) -> Box<str> {
        self.with_broker(|broker| notes::member_name(broker, member).into())
    }

    /// Steps the broker and runs the effects, and those of the events that follow from them.
    pub fn handle(self: &Rc<Self>, event: event::Event) {
        if self.ended.get() {
            return;
        }
        self.inner.borrow_mut().events.push_back(event);
        if self.stepping.replace(true) {
            return;
        }
        let mut effects = Vec::new();
        loop {
            {
                let mut inner = self.inner.borrow_mut();
                let Some(event) = inner.events.pop_front() else {
                    break;
                };
                inner.broker.step(clock::now(), event, &mut effects);
            }
            for effect in effects.drain(..) {
                self.run(effect);
            }
        }
        self.stepping.set(false);
    }

    /// Looks at the broker's state.
    pub fn with_broker<T>(&self, look: impl FnOnce(&Broker) -> T) -> T {
        look(&self.inner.borrow().broker)
    }

    /// Returns a number for a new request.
    pub fn next_request(&self) -> id::RequestId {
        let mut inner = self.inner.borrow_mut();
        inner.next_request += 1;
        inner.next_request
    }

    /// Counts a read, which adds to what second attempts may be made.
    pub fn earn_hedge(&self) {
        let mut budget = self.hedges.get();
        budget.earn();
        self.hedges.set(budget);
    }

    /// Takes a second attempt from the budget; returns whether there was one. A slow group would otherwise get twice the
    /// load when it can bear it least.
    pub fn spend_hedge(&self) -> bool {
        let mut budget = self.hedges.get();
        let spent = budget.spend();
        self.hedges.set(budget);
        spent
    }

    /// Waits until a request may be sent or is refused. When the future is dropped the request is abandoned.
    pub async fn turn(self: &Rc<Self>, request: request::Request) -> Turn<W> {
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            request: request.clone(),
            since: clock::now(),
            turn: sender,
        };
        self.inner.borrow_mut().waiters.insert(id, waiter);
        let abandon = Abandon { shell: self, id };
        self.handle(event::Event::Arrived(request));
        let turn = receiver
            .await
            .expect("a waiter is dropped only after it was answered or abandoned");
        std::mem::forget(abandon);
        turn
    }

    /// Returns when the process began to stop, and notifies of it.
    pub fn stopping(&self) -> watch::Receiver<Option<Instant>> {
        self.stopping.subscribe()
    }

    /// Begins the graceful stop.
    pub fn stop(&self) {
        self.stopping.send_replace(Some(clock::now()));
    }

    /// Ends the broker's work: tasks that are dropped with the process start nothing any more.
    pub fn end(&self) {
        self.ended.set(true);
    }

    /// Returns the number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.get()
    }

    /// Counts a session that begins or ends.
    pub(crate) fn count_session(&self, begins: bool) {
        let sessions = self.sessions.get();
        let sessions = if begins { sessions + 1 } else { sessions - 1 };
        self.sessions.set(sessions);
        metrics::gauge!("fulmarlift_sessions").set(sessions as f64);
    }

    /// Ticks for ever.
    pub async fn tick(self: Rc<Self>) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.find_dead();
            self.handle(event::Event::Tick);
            self.control.expire(clock::now());
            let (connections, waiting) = self.with_broker(Broker::usage);
            metrics::gauge!("fulmarlift_connections").set(connections);
            metrics::gauge!("fulmarlift_waiting").set(waiting as f64);
        }
    }

    /// Finds idle connections that their members have closed.
    fn find_dead(self: &Rc<Self>) {
        let mut dead = Vec::new();
        self.inner.borrow_mut().idle.retain(|conn, link| {
            let is_dead = link.is_dead();
            if is_dead {
                dead.push(conn);
            }
            !is_dead
        });
        for conn in dead {
            self.handle(event::Event::IdleConnectionLost(conn));
        }
    }

    fn run(self: &Rc<Self>, effect: effect::Effect) {
        match effect {
            effect::Effect::Grant(grant) => self.grant(grant),
            effect::Effect::Refuse(refusal) => self.refuse(refusal),
            effect::Effect::Open { conn, member } => self.open(conn, member),
            effect::Effect::Close(conn) => {
                if let Some(link) = self.inner.borrow_mut().idle.remove(conn) {
                    link.close();
                }
            }
            effect::Effect::Probe { conn, member } => self.probe(conn, member),
            effect::Effect::SendCommand {
                group,
                member,
                command,
                conn,
            } => self.ask(group, member, command, conn),
            effect::Effect::LoadClaim(group) => self.load_claim(group),
            effect::Effect::StoreClaim {
                group,
                claim,
                revision,
            } => self.store_claim(group, claim, revision),
            effect::Effect::OrderPromotion {
                group,
                member,
                token,
            } => self.order(group, member, token),
            effect::Effect::RecordChange(change) => {
                notes::log(&self.inner.borrow().broker, &change)
            }
        }
    }

    fn grant(self: &Rc<Self>, grant: effect::Grant) {
        let (waiter, link) = {
            let mut inner = self.inner.borrow_mut();
            let waiter = inner.waiters.remove(grant.request);
            (waiter, inner.idle.remove(grant.conn))
        };
        let link = link.and_then(|mut link| (!link.is_dead()).then_some(link));
        let (answer, reusable) = match (waiter, link) {
            (Some(waiter), Some(link)) => {
                metrics::histogram!("fulmarlift_wait_seconds")
                    .record(clock::now().saturating_duration_since(waiter.since));
                let lease = Box::new(Lease::new(self, grant.conn, link));
                // A caller that is gone drops the lease, which returns the connection.
                let _ = waiter.turn.send(Turn::Granted { lease, grant });
                return;
            }
            // The connection has ended while nothing used it; nothing was sent, so the request goes elsewhere.
            (Some(waiter), None) => {
                let request = waiter.request.clone();
                let mut inner = self.inner.borrow_mut();
                inner.waiters.insert(grant.request, waiter);
                inner.events.push_back(event::Event::Arrived(request));
                (event::Answer::Broken, false)
            }
            (None, Some(link)) => {
                self.inner.borrow_mut().idle.insert(grant.conn, link);
                (event::Answer::Unfinished, true)
            }
            (None, None) => (event::Answer::Broken, false),
        };
        self.handle(event::Event::Returned {
            conn: grant.conn,
            reusable,
        });
        self.handle(event::Event::StatementEnded(event::Report {
            member: grant.member,
            answer,
            point: None,
            floor: None,
            took: None,
        }));
    }

    fn refuse(&self, refusal: effect::Refusal) {
        if let Some(waiter) = self.inner.borrow_mut().waiters.remove(refusal.request) {
            // A caller that is gone wants no answer.
            let _ = waiter.turn.send(Turn::Refused(refusal));
        }
    }
}

/// Takes a request back whose future is dropped.
struct Abandon<'a, W: World> {
    shell: &'a Rc<Shell<W>>,
    id: id::RequestId,
}

impl<W: World> Drop for Abandon<'_, W> {
    fn drop(&mut self) {
        self.shell.inner.borrow_mut().waiters.remove(self.id);
        self.shell.handle(event::Event::Abandoned(self.id));
    }
}
