//! Admission of operations within the rate limits of workspaces: runs the decisions of [`fulmarlift_broker::quota`].
//!
//! Nothing runs, and nothing is sent or read, unless the configuration has a workspace with a limit.

mod ask;
mod charge;
mod leases;
mod serve;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::Broker;
use fulmarlift_broker::quota::client;
use fulmarlift_broker::quota::coordinator;
use fulmarlift_broker::quota::lease;
use fulmarlift_broker::quota::message;
use fulmarlift_broker::quota::tolerance;
use fulmarlift_broker::quota::{self, ShardId};
use fulmarlift_broker::revision;
use fulmarlift_broker::workspace;
use fulmarlift_core::id;
use fulmarlift_core::sorted;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::clock;
use crate::deployment::Deployment;
use crate::shell;

pub(crate) use charge::Charge;
pub(crate) use serve::answer_questions;

/// Interval at which changes of the configuration and of the other proxies are looked for.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Decision on a waiting operation: its token, or the time after which the caller may retry.
type Decision = Result<client::Token, Duration>;

/// State of one shard at this proxy.
struct Shard {
    client: client::Client,
    lease: lease::Lease,
    /// Position of this proxy among the candidates for the coordinator.
    rank: usize,
    /// Coordinator while this proxy holds the lease.
    coordinator: Option<coordinator::Coordinator>,
    /// Whether the shard's lease waits for the row to be read.
    waits_for_row: bool,
}

struct State {
    /// The shards, by number.
    shards: Vec<Shard>,
    waiting: sorted::Map<id::RequestId, oneshot::Sender<Decision>>,
    /// Sends questions to the tasks that keep the connections to coordinators.
    links: sorted::Map<id::ProxyId, mpsc::UnboundedSender<message::QuotaQuestion>>,
    is_reading: bool,
    /// Version of the configuration whose limits the coordinators have.
    version: u64,
    /// Number of proxies, and of choices of homes, when the candidates were determined.
    proxies: Option<(usize, u64)>,
}

/// Rate limits of workspaces at one proxy.
#[derive(Default)]
pub(crate) struct Quotas {
    state: RefCell<Option<State>>,
    /// Newest era of the store, and the instant since which it is known to last.
    era: RefCell<Option<(revision::Era, Instant)>>,
    tolerance: Cell<tolerance::Tolerance>,
    changed: Notify,
}

impl State {
    fn new(now: Instant, vm_name: &str, name: &str) -> Self {
        let asker = id::of(name);
        let holder = lease::Holder {
            vm: vm_name.into(),
            proxy: asker,
        };
        let shards = (0..quota::SHARDS).map(|shard| Shard {
            client: client::Client::new(asker, shard),
            lease: lease::Lease::new(now, holder.clone()),
            rank: usize::MAX,
            coordinator: None,
            waits_for_row: false,
        });
        Self {
            shards: shards.collect(),
            waiting: sorted::Map::default(),
            links: sorted::Map::default(),
            is_reading: false,
            version: 0,
            proxies: None,
        }
    }

    fn shard(&mut self, shard: ShardId) -> Option<&mut Shard> {
        let index = usize::try_from(shard).ok()?;
        self.shards.get_mut(index)
    }

    /// Returns the instant of the next tick that may have an effect.
    fn next_tick(&self, now: Instant, era: Option<(revision::Era, Instant)>) -> Option<Instant> {
        let ticks = self.shards.iter().flat_map(|shard| {
            let context = shard.context(era);
            [shard.client.next_tick(now), shard.lease.next_tick(&context)]
        });
        ticks.flatten().min()
    }
}

impl Shard {
    fn context(&self, era: Option<(revision::Era, Instant)>) -> lease::Context {
        lease::Context {
            rank: self.rank,
            era,
        }
    }
}

/// Returns the limits that coordinators enforce, of all workspaces that have one.
fn limits(
    broker: &Broker,
    tolerance: tolerance::Tolerance,
) -> Vec<(id::WorkspaceId, workspace::RateLimit)> {
    let workspaces = broker.topology().workspaces.as_ref();
    let workspaces = workspaces.into_iter().flat_map(workspace::Registry::iter);
    workspaces
        .filter_map(|(id, workspace)| Some((id, tolerance.enforced(workspace.limit?))))
        .collect()
}

impl<D: Deployment> shell::Shell<D> {
    /// Records for how long the store has been in an era, at least.
    pub(crate) fn record_quota_era(&self, era: revision::Era, known_for: Duration) {
        let now = clock::now();
        let since = now.checked_sub(known_for).unwrap_or(now);
        let mut known = self.quotas.era.borrow_mut();
        *known = match *known {
            Some((newest, _)) if newest > era => return,
            Some((newest, known_since)) if newest == era => Some((era, known_since.min(since))),
            _ => Some((era, since)),
        };
    }

    /// Sets what may exceed the rate limits, as the operators tell it.
    pub fn set_quota_tolerance(&self, tolerance: tolerance::Tolerance) {
        self.quotas.tolerance.set(tolerance);
    }

    fn quota_limits(&self) -> Vec<(id::WorkspaceId, workspace::RateLimit)> {
        let tolerance = self.quotas.tolerance.get();
        self.with_broker(|broker| limits(broker, tolerance))
    }

    /// Drives the leases of coordinators and the questions for tokens. Never returns.
    pub async fn enforce_quotas(self: Rc<Self>) {
        loop {
            self.apply_quota_changes();
            self.tick_quotas();
            let now = clock::now();
            let era = *self.quotas.era.borrow();
            let next = self
                .quotas
                .state
                .borrow()
                .as_ref()
                .and_then(|state| state.next_tick(now, era));
            let poll_at = now + CHANGE_POLL_INTERVAL;
            let until = next.map_or(poll_at, |next| next.min(poll_at));
            tokio::select! {
                () = tokio::time::sleep_until(clock::tokio_deadline(until)) => {}
                () = self.quotas.changed.notified() => {}
            }
        }
    }

    /// Applies the limits of a new configuration, and the candidates among the proxies that are known now.
    fn apply_quota_changes(self: &Rc<Self>) {
        let (version, proxies) = self.with_broker(|broker| {
            let proxies = (broker.peers(), broker.home_choices());
            // Until the other proxies are known, this one would take all shards.
            let known = broker.knows_peers().then_some(proxies);
            (broker.topology().version, known)
        });
        let now = clock::now();
        let mut state = self.quotas.state.borrow_mut();
        if state.as_ref().is_none_or(|state| state.version != version) {
            let limits = self.quota_limits();
            if state.is_none() && limits.is_empty() {
                return;
            }
            let state = state.get_or_insert_with(|| State::new(now, self.vm_name(), self.name()));
            state.version = version;
            for shard in &mut state.shards {
                if let Some(coordinator) = &mut shard.coordinator {
                    coordinator.apply(now, &limits);
                }
            }
        }
        let Some(state) = state.as_mut().filter(|state| state.proxies != proxies) else {
            return;
        };
        if proxies.is_none() {
            return;
        }
        state.proxies = proxies;
        let this_proxy = id::of(self.vm_name());
        let mut known = self.with_broker(|broker| {
            let peers = broker.listed_peers().into_iter();
            peers.map(|peer| id::of(&peer.vm_name)).collect::<Vec<_>>()
        });
        known.push(this_proxy);
        for (number, shard) in (0..).zip(&mut state.shards) {
            let candidates = quota::candidates(number, &known);
            let rank = candidates.iter().position(|proxy| *proxy == this_proxy);
            shard.rank = rank.unwrap_or(usize::MAX);
            shard.client.set_candidates(candidates);
        }
    }

    fn tick_quotas(self: &Rc<Self>) {
        for shard in 0..quota::SHARDS {
            self.step_lease(shard, lease::Input::Tick);
            let now = clock::now();
            self.step_client(shard, |client| client.tick(now));
        }
    }

    /// Changes the admission of a shard and carries out what follows.
    fn step_client(
        self: &Rc<Self>,
        shard: ShardId,
        step: impl FnOnce(&mut client::Client) -> Vec<client::Effect>,
    ) {
        let effects = {
            let mut state = self.quotas.state.borrow_mut();
            let found = state.as_mut().and_then(|state| state.shard(shard));
            let Some(found) = found else {
                return;
            };
            step(&mut found.client)
        };
        for effect in effects {
            match effect {
                client::Effect::Ask { to, question } => self.ask_for_tokens(to, question),
                client::Effect::Admit { request, token } => {
                    self.decide_operation(request, Ok(token));
                }
                client::Effect::Refuse {
                    request,
                    retry_after,
                } => self.decide_operation(request, Err(retry_after)),
            }
        }
    }

    /// As [`Self::step_client`], from outside [`Self::enforce_quotas`], which then looks for the next instant to act.
    fn step_client_and_wake(
        self: &Rc<Self>,
        shard: ShardId,
        step: impl FnOnce(&mut client::Client) -> Vec<client::Effect>,
    ) {
        self.step_client(shard, step);
        self.quotas.changed.notify_one();
    }

    fn decide_operation(&self, request: id::RequestId, decision: Decision) {
        let mut state = self.quotas.state.borrow_mut();
        let waiting = state
            .as_mut()
            .and_then(|state| state.waiting.remove(request));
        if let Some(waiting) = waiting {
            // Fails only if the operation was abandoned; its token counts as spent.
            let _ = waiting.send(decision);
        }
    }
}
