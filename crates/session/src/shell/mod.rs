//! Runs the broker and carries out its effects.
//!
//! The shell passes events to the broker, keeps the requests that wait for a connection and the idle connections, and
//! spawns the tasks that open connections, probe and command members, and access the store.

mod lease;
mod refusals;
mod relayed;
pub mod state_changes;
mod tasks;
mod updates;
mod upstream;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmarlift_broker::Broker;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::request;
use fulmarlift_broker::revision;
use fulmarlift_broker::state;
use fulmarlift_core::floor;
use fulmarlift_core::id;
use fulmarlift_core::limit;
use fulmarlift_core::sorted;
use tokio::sync::{Mutex, Notify, broadcast, oneshot, watch};

use crate::clock;
use crate::deployment::Deployment;
use crate::limits;
use crate::newcomers;
use crate::quota;
use crate::transfer;

pub use crate::shell::lease::Lease;
pub use crate::shell::upstream::Upstream;

/// Interval of the broker's ticks, which is the resolution of its deadlines and retries.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which the success of a commit waits for evidence: about the duration of a failover that begins.
const COMMIT_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which a success that waits looks for evidence: a little more than a round trip to a replica of the same region.
const COMMIT_CONFIRM_INTERVAL: Duration = Duration::from_millis(10);
/// Time that the success of a commit has waited for evidence from which the log tells of it.
const LOGGED_CONFIRMATION_WAIT: Duration = Duration::from_millis(200);

/// Most updates that may wait for a slow listener; beyond it the proxy disconnects the listener, which reconnects for a
/// new snapshot.
const UPDATES_WAITING_MAX: usize = 256;

/// The broker's decision on a request.
pub enum Admission<D: Deployment> {
    /// The broker granted a connection; the request may be sent on it.
    Granted {
        /// Lease of the granted connection.
        lease: Box<Lease<D>>,
        /// Terms of the grant: the member, and the conditions that it must meet.
        grant: effect::Grant,
    },
    /// The broker refused the request, which has not been sent.
    Refused(effect::Refusal),
}

/// A request that waits for the broker's decision.
struct Waiter<D: Deployment> {
    request: request::Request,
    waiting_since: Instant,
    admission: oneshot::Sender<Admission<D>>,
}

struct Inner<D: Deployment> {
    broker: Broker,
    /// Events that the broker has not processed yet.
    events: VecDeque<event::Event>,
    waiters: sorted::Map<id::RequestId, Waiter<D>>,
    /// Open connections that no lease, probe or command uses.
    idle: sorted::Map<id::ConnId, Upstream<D>>,
    next_request: id::RequestId,
}

/// Runs a broker and its effects. All tasks of the process share it, on one thread.
pub struct Shell<D: Deployment> {
    inner: RefCell<Inner<D>>,
    /// Whether [`Self::handle`] is running; nested calls only queue their event.
    stepping: Cell<bool>,
    /// Whether the process exits; the shell ignores events then.
    halted: Cell<bool>,
    /// Name of this proxy, under which it holds claims.
    name: Box<str>,
    /// Name of the VM, under which other proxies know this one.
    vm_name: Box<str>,
    claims: D::Claims,
    promotion_orders: D::PromotionOrders,
    directory: D::Directory,
    control_connections: tasks::ControlConnections<D>,
    relayed_commands: relayed::RelayedCommands,
    retry_budget: Cell<limit::RetryBudget>,
    /// Notifies successes of commits that wait for evidence.
    commit_evidence: Notify,
    /// Name of the VM whose proxy answered the last question for a claim row.
    claim_relay: RefCell<Option<Box<str>>>,
    /// Sends encoded updates to the tasks that serve listeners.
    updates: broadcast::Sender<Bytes>,
    listeners: Cell<usize>,
    first_listener: Notify,
    /// Whether the entries of the other proxies have been read once.
    peers_read: watch::Sender<bool>,
    members_revision: Cell<revision::Revision>,
    /// Revision of the store up to which the configuration is known; none before the first read.
    configuration_revision: Cell<Option<revision::Revision>>,
    /// Newest known era of the store; none before its first answer.
    store_era: watch::Sender<Option<revision::Era>>,
    store_answered_at: Cell<Option<Instant>>,
    configuration_transfer: Rc<transfer::Transfer>,
    store_retry_permit: Mutex<()>,
    /// Time at which the graceful stop started.
    stopping: watch::Sender<Option<Instant>>,
    sessions: Cell<usize>,
    newcomers: Rc<newcomers::Newcomers>,
    limits: Rc<limits::Limits>,
    /// Number of other proxies in the last log line that told it.
    logged_peers: Cell<usize>,
    refusal_log: refusals::RefusalLog,
    pub(crate) quotas: quota::Quotas,
}

impl<D: Deployment> Shell<D> {
    /// Creates a shell around a new broker.
    pub fn new(
        settings: state::Settings,
        claims: D::Claims,
        promotion_orders: D::PromotionOrders,
        directory: D::Directory,
    ) -> Rc<Self> {
        let name = settings.name.clone();
        let vm_name = settings.vm_name.clone();
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
            halted: Cell::new(false),
            name,
            vm_name,
            claims,
            promotion_orders,
            directory,
            control_connections: tasks::ControlConnections::default(),
            relayed_commands: relayed::RelayedCommands::default(),
            retry_budget: Cell::new(limit::RetryBudget::default()),
            commit_evidence: Notify::new(),
            claim_relay: RefCell::new(None),
            updates: broadcast::Sender::new(UPDATES_WAITING_MAX),
            listeners: Cell::new(0),
            first_listener: Notify::new(),
            peers_read: watch::Sender::new(false),
            members_revision: Cell::default(),
            configuration_revision: Cell::default(),
            store_era: watch::Sender::new(None),
            store_answered_at: Cell::new(None),
            configuration_transfer: Rc::default(),
            store_retry_permit: Mutex::new(()),
            stopping: watch::Sender::new(None),
            sessions: Cell::new(0),
            newcomers: Rc::default(),
            limits: Rc::default(),
            logged_peers: Cell::new(0),
            refusal_log: refusals::RefusalLog::default(),
            quotas: quota::Quotas::default(),
        })
    }

    /// Returns the clients of the process, and their bounds.
    pub fn limits(&self) -> &Rc<limits::Limits> {
        &self.limits
    }

    /// Returns the name of this proxy, under which it holds claims.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Switches the adaptive concurrency limits of members on.
    pub fn adapt_concurrency(&self) {
        self.inner.borrow_mut().broker.adapt_concurrency();
    }

    /// Returns the access to the claim rows.
    pub(crate) fn claims(&self) -> &D::Claims {
        &self.claims
    }

    /// Returns the name of the VM, under which other proxies know this one.
    pub(crate) fn vm_name(&self) -> &str {
        &self.vm_name
    }

    /// Returns the name of a workspace of the configuration in force.
    pub(crate) fn workspace_name(&self, workspace: id::WorkspaceId) -> Option<Box<str>> {
        self.with_broker(|broker| {
            let workspace = broker.topology().workspace(workspace)?;
            Some(workspace.name.clone())
        })
    }

    /// Returns a member's name for the log.
    pub fn member_name(&self, member: id::MemberId) -> Box<str> {
        self.with_broker(|broker| state_changes::member_name(broker, member).into())
    }

    /// Passes an event to the broker and runs the resulting effects, and so on for the events that these cause.
    pub fn handle(self: &Rc<Self>, event: event::Event) {
        if self.halted.get() {
            return;
        }
        let may_confirm_commits = matches!(
            event,
            event::Event::ClaimLoaded { .. }
                | event::Event::ClaimRelayed { .. }
                | event::Event::LeaseAnswered { .. }
                | event::Event::ReceiptAnswered { .. }
                | event::Event::StatusAnswered { .. }
                | event::Event::StatementEnded(_)
                | event::Event::Tick
        );
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
        if may_confirm_commits {
            self.commit_evidence.notify_waiters();
        }
    }

    /// Waits until it is known whether the success of a commit may be passed on whose answer, with this end of the leader's log, has
    /// just arrived. Returns whether it may; if not, the outcome of the commit is unknown.
    pub(crate) async fn confirm_commit(
        self: &Rc<Self>,
        group: id::GroupId,
        point: Option<floor::Point>,
        deadline: Instant,
    ) -> bool {
        let arrived_at = clock::now();
        let deadline = deadline.min(arrived_at + COMMIT_CONFIRM_TIMEOUT);
        let confirmed = loop {
            let evidence = self.commit_evidence.notified();
            let confirmed =
                self.with_broker(|broker| broker.confirms_commit(group, point, arrived_at));
            if confirmed.is_some() || clock::now() >= deadline {
                break confirmed;
            }
            self.handle(event::Event::ConfirmationNeeded {
                group,
                point,
                arrived_at,
            });
            let retry_at = deadline.min(clock::now() + COMMIT_CONFIRM_INTERVAL);
            tokio::select! {
                () = evidence => {}
                () = tokio::time::sleep_until(clock::tokio_deadline(retry_at)) => {}
            }
        };
        self.record_confirmation(group, point, arrived_at, confirmed);
        confirmed.unwrap_or(false)
    }

    /// Returns the highest point of a group's log that an answer has shown, for [`Self::record_told_commit`].
    pub(crate) fn newest_log_end(&self, group: id::GroupId) -> Option<floor::Point> {
        self.with_broker(|broker| broker.newest_log_end(group))
    }

    /// Records that the success of a commit is passed on. `seen_before` is [`Self::newest_log_end`] before the commit was sent.
    pub(crate) fn record_told_commit(
        self: &Rc<Self>,
        group: id::GroupId,
        request: String,
        point: Option<floor::Point>,
        seen_before: Option<floor::Point>,
    ) {
        if let Some(point) = point {
            let commit = event::ToldCommit {
                request: request.into(),
                point,
                seen_before,
            };
            self.handle(event::Event::CommitTold { group, commit });
        }
    }

    /// Records how long the success of a commit has waited for evidence, and with which result.
    fn record_confirmation(
        &self,
        group: id::GroupId,
        point: Option<floor::Point>,
        arrived_at: Instant,
        confirmed: Option<bool>,
    ) {
        let waited = clock::now().saturating_duration_since(arrived_at);
        metrics::histogram!("fulmarlift_commit_evidence_wait_seconds").record(waited.as_secs_f64());
        if confirmed == Some(true) && waited < LOGGED_CONFIRMATION_WAIT {
            return;
        }
        let outcome = match confirmed {
            Some(true) => "confirmed",
            Some(false) => "replaced",
            None => "unknown",
        };
        metrics::counter!("fulmarlift_commits_waited_total", "outcome" => outcome).increment(1);
        log::info!(
            "event=commit_waited group={} point={} waited_ms={} outcome={outcome}",
            self.group_name(group),
            state_changes::point_text(point),
            waited.as_millis()
        );
    }

    /// Calls a function with read access to the broker.
    pub fn with_broker<T>(&self, read: impl FnOnce(&Broker) -> T) -> T {
        read(&self.inner.borrow().broker)
    }

    /// Returns a new request id.
    pub fn next_request(&self) -> id::RequestId {
        let mut inner = self.inner.borrow_mut();
        inner.next_request += 1;
        inner.next_request
    }

    /// Adds to the budget of hedges and of retries after a home's refusal, once for each statement.
    pub fn earn_retry(&self) {
        let mut budget = self.retry_budget.get();
        budget.earn();
        self.retry_budget.set(budget);
    }

    /// Spends the budget for one hedge or retry after a home's refusal; returns whether it sufficed. Without a budget, a
    /// slow group would get twice the load just when it is overloaded.
    pub fn spend_retry(&self) -> bool {
        let mut budget = self.retry_budget.get();
        let spent = budget.spend();
        self.retry_budget.set(budget);
        spent
    }

    /// Requests a connection and waits for the broker's decision. Dropping the future abandons the request.
    pub async fn admit(self: &Rc<Self>, request: request::Request) -> Admission<D> {
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            request: request.clone(),
            waiting_since: clock::now(),
            admission: sender,
        };
        self.inner.borrow_mut().waiters.insert(id, waiter);
        let guard = AbandonGuard { shell: self, id };
        self.handle(event::Event::Arrived(request));
        let admission = receiver
            .await
            .expect("a waiter is dropped only after it was answered or abandoned");
        std::mem::forget(guard);
        admission
    }

    /// Returns a receiver of the time at which the graceful stop started; none before the stop.
    pub fn stopping(&self) -> watch::Receiver<Option<Instant>> {
        self.stopping.subscribe()
    }

    /// Starts the graceful stop.
    pub fn stop(&self) {
        self.stopping.send_replace(Some(clock::now()));
    }

    /// Ignores all further events, so that tasks that are dropped at the exit of the process have no effect.
    pub fn halt(&self) {
        self.halted.set(true);
    }

    /// Returns the number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.get()
    }

    /// Adds a connection on which no startup message has arrived yet.
    pub(crate) fn add_newcomer(&self) -> newcomers::Newcomer {
        self.newcomers.add()
    }

    /// Counts a session that has started, or one that has ended.
    pub(crate) fn count_session(&self, started: bool) {
        let sessions = self.sessions.get();
        let sessions = if started { sessions + 1 } else { sessions - 1 };
        self.sessions.set(sessions);
        metrics::gauge!("fulmarlift_sessions").set(sessions as f64);
    }

    /// Drives the broker's timers, removes dead connections, closes expired ones and updates the gauges. Never returns.
    pub async fn tick(self: Rc<Self>) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let expiry = self.with_broker(Broker::next_expiry);
            let expired = async {
                match expiry {
                    Some(expiry) => tokio::time::sleep_until(clock::tokio_deadline(expiry)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = expired => {
                    self.handle(event::Event::RequestsExpired);
                    continue;
                }
                _ = interval.tick() => {}
            }
            self.remove_dead_connections();
            self.handle(event::Event::Tick);
            self.control_connections.close_expired(clock::now());
            let (connections, waiting) = self.with_broker(Broker::connection_and_request_counts);
            metrics::gauge!("fulmarlift_connections").set(connections);
            metrics::gauge!("fulmarlift_waiting").set(waiting as f64);
            self.log_peers();
        }
    }

    /// Logs the number of other proxies if it has changed.
    fn log_peers(&self) {
        let (known, choices) = self.with_broker(|broker| (broker.peers(), broker.home_choices()));
        if self.logged_peers.replace(known) != known {
            log::info!("event=peers known={known}");
        }
        metrics::counter!("fulmarlift_home_choices_total").absolute(choices);
    }

    /// Removes idle connections that the other side has closed, and reports them to the broker.
    fn remove_dead_connections(self: &Rc<Self>) {
        let mut dead = Vec::new();
        self.inner.borrow_mut().idle.retain(|conn, upstream| {
            let checked = upstream.check_idle();
            let is_dead = upstream.is_dead();
            if is_dead {
                dead.push((conn, upstream.member(), checked));
            }
            !is_dead
        });
        for (conn, member, checked) in dead {
            if let Err(reason) = checked {
                self.log_out_of_step(member, &Bytes::new(), reason);
            }
            self.handle(event::Event::IdleConnectionLost(conn));
        }
    }

    fn run(self: &Rc<Self>, effect: effect::Effect) {
        match effect {
            effect::Effect::Grant(grant) => self.grant(grant),
            effect::Effect::Refuse(refusal) => self.refuse(refusal),
            effect::Effect::Open { conn, member } => self.open(conn, member),
            effect::Effect::Close(conn) => {
                if let Some(upstream) = self.inner.borrow_mut().idle.remove(conn) {
                    upstream.close();
                }
            }
            effect::Effect::Probe { conn, member } => self.probe(conn, member),
            effect::Effect::AskStatus {
                group,
                conn,
                member,
                purpose,
            } => self.ask_status(group, conn, member, purpose),
            effect::Effect::SendCommand {
                group,
                member,
                command,
                conn,
            } => self.send_command(group, member, command, conn),
            effect::Effect::LoadClaim(group) => self.load_claim(group),
            effect::Effect::LoadChoice(group) => self.load_choice(group),
            effect::Effect::AskProxies(group) => drop(self.ask_proxies(group)),
            effect::Effect::ReadDirectory(group) => self.read_directory(group),
            effect::Effect::StoreClaim {
                group,
                claim,
                revision,
            } => self.store_claim(group, claim, revision),
            effect::Effect::OrderPromotion {
                group,
                member,
                token,
                until,
            } => self.order_promotion(group, member, token, until),
            effect::Effect::RecordChange(change) => {
                state_changes::log(&self.inner.borrow().broker, &change)
            }
        }
    }

    /// Gives a granted connection to the waiting request. If the request was abandoned or the connection is dead, returns the
    /// connection to the broker instead.
    fn grant(self: &Rc<Self>, grant: effect::Grant) {
        let (waiter, upstream) = {
            let mut inner = self.inner.borrow_mut();
            let waiter = inner.waiters.remove(grant.request);
            (waiter, inner.idle.remove(grant.conn))
        };
        let upstream = upstream.and_then(|mut upstream| {
            if let Err(reason) = upstream.check_idle() {
                self.log_out_of_step(grant.member, &Bytes::new(), reason);
            }
            (!upstream.is_dead()).then_some(upstream)
        });
        let (answer, reusable) = match (waiter, upstream) {
            (Some(waiter), Some(upstream)) => {
                metrics::histogram!("fulmarlift_wait_seconds")
                    .record(clock::now().saturating_duration_since(waiter.waiting_since));
                let lease = Box::new(Lease::new(self, grant.conn, upstream));
                // Without a receiver, the send drops the lease, which closes the connection.
                let _ = waiter.admission.send(Admission::Granted { lease, grant });
                return;
            }
            // The other side closed the idle connection. Nothing was sent on it, so the request waits for another one.
            (Some(waiter), None) => {
                let request = waiter.request.clone();
                let mut inner = self.inner.borrow_mut();
                inner.waiters.insert(grant.request, waiter);
                inner.events.push_back(event::Event::Arrived(request));
                (event::Answer::Broken, false)
            }
            // The request was abandoned.
            (None, Some(upstream)) => {
                self.inner.borrow_mut().idle.insert(grant.conn, upstream);
                (event::Answer::Unfinished, true)
            }
            (None, None) => (event::Answer::Broken, false),
        };
        self.handle(event::Event::Returned {
            conn: grant.conn,
            reusable,
        });
        self.handle(event::Event::StatementEnded(event::StatementReport {
            member: grant.member,
            answer,
            point: None,
            floor: None,
            connected_at: None,
            took: None,
        }));
    }

    fn refuse(&self, refusal: effect::Refusal) {
        if let Some(waiter) = self.inner.borrow_mut().waiters.remove(refusal.request) {
            // Fails only if the request was abandoned.
            let _ = waiter.admission.send(Admission::Refused(refusal));
        }
    }
}

/// Abandons a request when its future is dropped before the broker's decision.
struct AbandonGuard<'a, D: Deployment> {
    shell: &'a Rc<Shell<D>>,
    id: id::RequestId,
}

impl<D: Deployment> Drop for AbandonGuard<'_, D> {
    fn drop(&mut self) {
        self.shell.inner.borrow_mut().waiters.remove(self.id);
        self.shell.handle(event::Event::Abandoned(self.id));
    }
}
