//! The whole system on the simulated clock.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::simulation::checks;
use crate::simulation::clock::{self, MS, Micros, S};
use crate::simulation::faults;
use crate::simulation::log;
use crate::simulation::member;
use crate::simulation::net;
use crate::simulation::plan;
use crate::simulation::proxy;
use crate::simulation::relays;
use crate::simulation::store;
/// Longest time in which a change of the directory reaches a proxy that the store serves.
pub const FEED_DELAY_MAX: Micros = 40 * MS;
/// Longest time in which a proxy that the store serves again reads the directory.
pub const DIRECTORY_BACK_MAX: Micros = 500 * MS;

/// Number of proxies.
pub const PROXIES: usize = 3;
/// Time between two ticks of a proxy.
const TICK: Micros = 100 * MS;
/// Entries that the first leader's log has at the begin.
const FIRST_ENTRIES: u64 = 100;

/// What wakes a proxy. It waits while the proxy is frozen.
#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    /// A caller's request, which was sent at this time.
    Call(proxy::Kind, Micros),
    /// A task begins to carry out an effect that was given at this time.
    Act(effect::Effect, Micros),
    Ended(u64, proxy::Ended),
    Event(event::Event),
    /// An idle connection was closed by its member.
    ConnLost(id::ConnId),
    /// The directory has answered the proxy, which asked at this time.
    Directory(Vec<topology::Member>, Instant),
    /// The store answers again.
    DirectoryBack,
    /// A transaction's caller sends the next statement.
    Continue(id::RequestId),
    /// A success of a commit looks for evidence.
    SeekConfirmation,
    /// A command has not been answered on the direct way for a while.
    AskRelays(u64),
}

/// What happens at a time.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A proxy of this start is woken; any start for `None`.
    Proxy(usize, Option<u32>, Input),
    /// A command arrives at its member.
    Arrives(u64),
    /// A commit that waited for a slot is executed.
    Executes(u64),
    /// A leader of a term sends its log again.
    Heartbeat(usize, id::Term),
    /// The log of the leader of a term arrives at a member.
    Replicate {
        from: usize,
        to: usize,
        term: id::Term,
        log: log::Log,
    },
    /// A leader hears that a replica has its log up to a position.
    Received(usize, id::Term, id::Position),
    /// A replaced leader that has heard of its successor stops leading this term.
    StepDown(usize, id::Term),
    /// The entry of a member of this start is written.
    Published(usize, u32),
    /// The entry of a member of this start expires.
    Expires(usize, u32),
    /// The claim row is read by a proxy that asked at this time.
    Load(usize, u32, Instant),
    /// The directory is read by a proxy that asked at this time.
    ReadDirectory(usize, u32, Instant),
    /// The claim row is written; without an answer if `false`.
    Store(usize, u32, effect::Effect, bool),
    /// A promotion order with a token arrives at the platform.
    Ordered(usize, u32, usize, u64),
    /// The platform executes an order that it has not answered.
    LateOrder(usize, u64),
    /// The platform promotes a member.
    Promote(usize),
    Fault(faults::Fault),
}

/// Outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Reads that lacked a commit.
    pub stale: Vec<checks::Stale>,
    /// Acknowledged commits, by promotion, that the promoted member lacked.
    pub lost: u64,
    /// Commits, counted in the log of the leader that acknowledged them, that the promoted member lacked.
    pub cut_back: u64,
    pub behind_replica: checks::BehindReplica,
    pub promotions: u64,
    pub reads: u64,
    pub commits: u64,
    /// Commits of which callers were told that their outcome is unknown, though a leader had acknowledged them.
    pub unknown: u64,
    /// Commands that members answered through other proxies.
    pub relayed: u64,
    /// What happened; empty unless it was asked for.
    pub trace: Vec<String>,
}

/// The whole system.
pub struct World {
    pub now: Micros,
    pub seed: u64,
    ids: BTreeMap<id::MemberId, usize>,
    base: Instant,
    pub random: StdRng,
    pub queue: clock::Queue<Happening>,
    pub net: net::Net,
    pub store: store::Store,
    pub members: Vec<member::Member>,
    pub proxies: Vec<proxy::Proxy>,
    pub exchanges: BTreeMap<u64, proxy::Exchange>,
    /// Entries that the commits under way wrote.
    pub commits: BTreeMap<u64, fulmarlift_core::floor::Point>,
    pub next_exchange: u64,
    /// Commands that other proxies may pass on.
    pub errands: BTreeMap<u64, relays::Errand>,
    pub newest_term: id::Term,
    pub newest_leader: usize,
    pub acknowledged: checks::Acknowledged,
    /// Commits that leaders have acknowledged to proxies, whether or not their successes were passed on.
    pub answered: checks::Acknowledged,
    /// The same, one by one, as far as the promoted members had them.
    pub receipts: Vec<checks::Receipt>,
    /// Time at which the directory first listed each member.
    pub first_listed: BTreeMap<usize, Micros>,
    pub plan: plan::Plan,
    /// Time until which entries of each member are written late.
    pub hidden_until: BTreeMap<usize, Micros>,
    /// Additional delay of the directory at each proxy.
    pub feed_lag: [Micros; PROXIES],
    /// Members that receive nothing until a time.
    pub deaf_until: BTreeMap<usize, Micros>,
    /// Members that refuse new connections until a time.
    pub full_until: BTreeMap<usize, Micros>,
    /// Members that stand still until a time.
    pub paused_until: BTreeMap<usize, Micros>,
    /// Time at which each member that has ended starts again.
    pub starts_at: BTreeMap<usize, Micros>,
    /// Time until which the callers of each proxy write nothing.
    pub idle_until: [Micros; PROXIES],
    /// Commands that their proxies have given up, with the member and its start, and that may still arrive.
    pub given_up: BTreeMap<u64, (usize, u32, member::Command)>,
    /// Highest token of an order that the platform has seen.
    pub newest_token: u64,
    /// Time until which orders go unanswered or are done late.
    pub orders_lost_until: Micros,
    /// Time until which orders are executed twice, and not answered.
    pub orders_repeated_until: Micros,
    pub statement_timeout: Micros,
    pub slots: u32,
    traced: bool,
    pub outcome: Outcome,
}

/// Runs the simulation of a seed with the faults of a plan.
pub fn run(seed: u64, plan: plan::Plan, traced: bool) -> Outcome {
    let mut world = World::new(seed, plan, traced);
    while let Some((at, happening)) = world.queue.pop() {
        if at > world.plan.end {
            break;
        }
        world.now = at;
        world.apply(happening);
    }
    world.outcome
}

impl World {
    fn new(seed: u64, plan: plan::Plan, traced: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let statement_timeout = random.random_range(500 * MS..1_200 * MS);
        let slots = *[2, 4, 12]
            .get(random.random_range(0..3))
            .expect("three values");
        let mut first_log = log::Log::default();
        first_log.append(1, FIRST_ENTRIES);
        let mut members = vec![member::Member::new(1, first_log); 3];
        members[0].leads = true;
        let mut world = Self {
            now: 0,
            seed,
            ids: BTreeMap::new(),
            base: Instant::now() + Duration::from_secs(3_600),
            random,
            queue: clock::Queue::new(),
            net: net::Net::default(),
            store: store::Store::default(),
            members,
            proxies: Vec::new(),
            exchanges: BTreeMap::new(),
            commits: BTreeMap::new(),
            next_exchange: 0,
            errands: BTreeMap::new(),
            newest_term: 1,
            newest_leader: 0,
            acknowledged: checks::Acknowledged::default(),
            answered: checks::Acknowledged::default(),
            receipts: Vec::new(),
            first_listed: BTreeMap::new(),
            plan,
            hidden_until: BTreeMap::new(),
            feed_lag: [0; PROXIES],
            deaf_until: BTreeMap::new(),
            full_until: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            starts_at: BTreeMap::new(),
            idle_until: [0; PROXIES],
            given_up: BTreeMap::new(),
            newest_token: 0,
            orders_lost_until: 0,
            orders_repeated_until: 0,
            statement_timeout,
            slots,
            traced,
            outcome: Outcome::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for member in 0..self.members.len() {
            self.record_id(member);
            self.list(member);
        }
        for index in 0..PROXIES {
            let proxy = proxy::Proxy::new(index, 1, self.seed, self.plan.fenced);
            self.proxies.push(proxy);
            self.start_proxy(index, None);
            self.plan_calls(index);
        }
        self.queue.push(10 * MS, Happening::Heartbeat(0, 1));
        for (at, fault) in self.plan.faults.clone() {
            self.queue.push(at, Happening::Fault(fault));
        }
    }

    /// Returns the present instant on the brokers' clock.
    pub fn instant(&self) -> Instant {
        self.instant_at(self.now)
    }

    /// Returns an instant on the brokers' clock.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.base + Duration::from_micros(at)
    }

    /// Returns whether a trace is kept.
    pub fn is_traced(&self) -> bool {
        self.traced
    }

    /// Adds a line to the trace.
    pub fn note(&mut self, text: impl FnOnce() -> String) {
        if self.traced {
            let line = format!("{:9.4} s  {}", self.now as f64 / S as f64, text());
            self.outcome.trace.push(line);
        }
    }

    /// Wakes a proxy of the present start later.
    pub fn wake(&mut self, index: usize, at: Micros, input: Input) {
        let starts = self.proxies[index].starts;
        self.queue
            .push(at, Happening::Proxy(index, Some(starts), input));
    }

    /// Returns the identifier of a member since one of its starts. Seeds differ in the order of the identifiers.
    pub fn member_id(&self, index: usize, starts: u32) -> id::MemberId {
        let name = Self::member_name(index);
        id::member(proxy::GROUP, &format!("{name}@{starts}#{}", self.seed))
    }

    /// Returns the name of a member.
    pub fn member_name(index: usize) -> Box<str> {
        format!("member-{}", index + 1).into()
    }

    /// Returns the index of a member.
    pub fn member_index(&self, member: id::MemberId) -> usize {
        *self
            .ids
            .get(&member)
            .expect("proxies know only members of the simulation")
    }

    /// Returns the identifier of a member since its last start.
    pub fn current_id(&self, index: usize) -> id::MemberId {
        self.member_id(index, self.members[index].starts)
    }

    /// Makes the identifier known that a member has since its last start.
    pub fn record_id(&mut self, index: usize) {
        self.ids.insert(self.current_id(index), index);
    }

    /// Returns the member at which something happens that waits while the member stands still.
    fn member_of(&self, happening: &Happening) -> Option<usize> {
        match happening {
            Happening::Arrives(exchange) => {
                let given_up = self.given_up.get(exchange).map(|(member, ..)| *member);
                given_up.or_else(|| Some(self.exchanges.get(exchange)?.member))
            }
            Happening::Heartbeat(member, _) | Happening::Received(member, ..) => Some(*member),
            Happening::Replicate { to, .. } => Some(*to),
            _ => None,
        }
    }

    fn apply(&mut self, happening: Happening) {
        let paused_until = self
            .member_of(&happening)
            .and_then(|member| self.paused_until.get(&member).copied());
        if let Some(until) = paused_until.filter(|until| self.now < *until) {
            let at = until + self.random.random_range(0..20 * MS);
            return self.queue.push(at, happening);
        }
        match happening {
            Happening::Proxy(index, starts, input) => self.wake_now(index, starts, input),
            Happening::Arrives(exchange) => self.command_arrives(exchange),
            Happening::Executes(exchange) => self.execute_queued(exchange),
            Happening::Heartbeat(leader, term) => {
                let member = &self.members[leader];
                if member.leads && member.term == term {
                    self.replicate(leader, 0);
                    let at = self.now + 50 * MS;
                    self.queue.push(at, Happening::Heartbeat(leader, term));
                }
            }
            Happening::Replicate {
                from,
                to,
                term,
                log,
            } => self.log_arrives(from, to, term, &log),
            Happening::Received(leader, term, position) => {
                self.replica_has_received(leader, term, position);
            }
            Happening::StepDown(member, term) => self.step_down(member, term),
            Happening::Published(member, starts) => {
                let state = &self.members[member];
                if state.is_running() && state.starts == starts {
                    let entry = self.list(member);
                    self.tell(&event::Event::Listed(entry));
                }
            }
            Happening::Expires(member, starts) => {
                if self.members[member].starts == starts {
                    self.unlist(member);
                }
            }
            Happening::Load(index, starts, asked_at) => self.load(index, starts, asked_at),
            Happening::ReadDirectory(index, starts, asked_at) => {
                self.directory_read(index, starts, asked_at);
            }
            Happening::Store(index, starts, effect, answered) => {
                self.store_claim(index, starts, effect, answered);
            }
            Happening::Ordered(index, starts, member, token) => {
                self.order_arrives(index, starts, member, token);
            }
            Happening::LateOrder(member, token) => self.execute_late_order(member, token),
            Happening::Promote(member) => self.promote(member),
            Happening::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn wake_now(&mut self, index: usize, starts: Option<u32>, input: Input) {
        let proxy = &self.proxies[index];
        if starts.is_some_and(|starts| starts != proxy.starts) {
            return;
        }
        if self.now < proxy.frozen_until {
            let at = proxy.frozen_until;
            self.queue.push(at, Happening::Proxy(index, starts, input));
            return;
        }
        match input {
            Input::Tick => {
                self.confirm_directory(index);
                self.step(index, event::Event::Tick);
                self.wake(index, self.now + TICK, Input::Tick);
            }
            Input::Call(kind, sent_at) => self.begin_job(index, kind, sent_at),
            Input::Act(effect, given_at) => self.act(index, effect, given_at),
            Input::Ended(exchange, ended) => self.exchange_ended(index, exchange, ended),
            Input::Event(event) => self.step(index, event),
            Input::ConnLost(conn) => {
                let known = self.proxies[index].conns.get(&conn).copied();
                if known.is_some_and(|known| !known.busy) {
                    self.proxies[index].conns.remove(&conn);
                    self.step(index, event::Event::IdleConnectionLost(conn));
                }
            }
            Input::Directory(entries, asked_at) => {
                self.apply_directory(index, entries, asked_at);
            }
            Input::DirectoryBack => self.read_directory(index),
            Input::Continue(request) => self.continue_transaction(index, request),
            Input::SeekConfirmation => self.seek_confirmation(index),
            Input::AskRelays(errand) => self.ask_relays(errand),
        }
    }

    /// Passes an event to a proxy's broker and carries out its effects.
    pub fn step(&mut self, index: usize, event: event::Event) {
        let mut effects = Vec::new();
        let now = self.instant();
        self.proxies[index].broker.step(now, event, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
        self.settle_successes(index);
    }
}
