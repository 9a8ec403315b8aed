//! Processes, messages, the store and faults on a simulated clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use fulmarlift_broker::quota;
use fulmarlift_broker::quota::client::Operation;
use fulmarlift_broker::workspace::RateLimit;
use fulmarlift_core::id;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::quota_search::plan::{Fault, Load, Mechanism, Mix};
use crate::quota_search::process::{Incoming, Output, Process};
use crate::quota_search::store::Store;

/// Workspaces of the shard.
const WORKSPACES: [id::WorkspaceId; 2] = [8, 16];
/// Limit of each workspace. The bound that is checked has no slack beside it.
const RATE_PER_S: u64 = 50;
pub const BURST: u64 = 50;
pub const VMS: usize = 3;
const STEP_MS: u64 = 10;
pub const RUN_MS: u64 = 30_000;
const WINDOW_MS: u64 = 5_000;
/// Time before the end of a window in which the tokens of its operations were granted, in ms.
const GRANTED_MS: u64 = 5_400;
/// Time after which a run with no fault is measured, in ms.
const WARM_UP_MS: u64 = 5_000;

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub seed: u64,
    pub admitted: u64,
    pub refused: u64,
    pub refused_after_start: u64,
    pub questions: u64,
    /// Number of leases that were acquired.
    pub terms: u64,
    /// Operations above the bound in the worst window.
    pub excess: i64,
    /// Admitted operations after the start, as a part of the rate.
    pub share_of_rate: f64,
    pub trace: Vec<String>,
}

/// Message that is under way.
#[derive(Clone, Debug)]
enum Message {
    ToProcess { to: id::ProxyId, incoming: Incoming },
    ToStore { from: id::ProxyId, output: Output },
}

pub struct Slot {
    pub process: Option<Process>,
    starts_at_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    store_cut_until_ms: u64,
    /// Messages that arrived while the process was suspended.
    inbox: Vec<Incoming>,
    pub loads: [(Load, u64, f64); WORKSPACES.len()],
}

pub struct World {
    pub rng: StdRng,
    start: Instant,
    pub now_ms: u64,
    pub slots: Vec<Slot>,
    store: Store,
    messages: BinaryHeap<Reverse<(u64, u64)>>,
    contents: BTreeMap<u64, Message>,
    sent: u64,
    without: Option<Mechanism>,
    faulty: bool,
    /// Whether all proxies learn of a new coordinator at once.
    announces: bool,
    last_id: id::ProxyId,
    last_request: id::RequestId,
    not_run: BTreeMap<id::RequestId, bool>,
    operations_ms: [Vec<u64>; WORKSPACES.len()],
    outcome: Outcome,
}

/// Runs a seed and checks each window of each workspace.
pub fn run(seed: u64, mix: Mix, without: Option<Mechanism>) -> Outcome {
    let mut world = World::new(seed, without);
    world.faulty = true;
    world.announces = mix == Mix::CoordinatorCrashes;
    let mut fault = mix.next_fault(&mut world.rng, VMS);
    let mut fault_at_ms = fault.map_or(u64::MAX, |(until_ms, _)| until_ms);
    match mix {
        Mix::CoordinatorCrashes => return world.run_returns(seed),
        Mix::FrozenAskers => return world.run_frozen_askers(seed),
        _ => {}
    }
    while world.now_ms < RUN_MS {
        if let Some((_, next)) = fault.filter(|_| fault_at_ms <= world.now_ms) {
            world.fault(next);
            fault = mix.next_fault(&mut world.rng, VMS);
            fault_at_ms = world.now_ms + fault.map_or(0, |(until_ms, _)| until_ms);
        }
        world.draw_loads();
        world.step();
    }
    world.finish(seed)
}

/// Runs without faults, with operations at this part of the rate, divided among some proxies.
pub fn run_busy(seed: u64, part_of_rate: f64, busy: usize) -> Outcome {
    let mut world = World::new(seed, None);
    let per_step = part_of_rate * rate_per_step() / busy as f64;
    for slot in world.slots.iter_mut().take(busy) {
        slot.loads[0] = (load(per_step), u64::MAX, 0.0);
    }
    while world.now_ms < RUN_MS {
        world.step();
    }
    world.finish(seed)
}

pub fn rate_per_step() -> f64 {
    (RATE_PER_S * STEP_MS) as f64 / 1_000.0
}

pub fn load(per_step: f64) -> Load {
    Load {
        burst: 0,
        per_step,
        not_run: 0.0,
        for_ms: 0,
    }
}

impl World {
    fn new(seed: u64, without: Option<Mechanism>) -> Self {
        let start = Instant::now() + Duration::from_secs(7_200);
        let slot = || Slot {
            process: None,
            starts_at_ms: 0,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            store_cut_until_ms: 0,
            inbox: Vec::new(),
            loads: [(load(0.0), 0, 0.0); WORKSPACES.len()],
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            start,
            now_ms: 0,
            slots: (0..VMS).map(|_| slot()).collect(),
            store: Store::new(),
            messages: BinaryHeap::new(),
            contents: BTreeMap::new(),
            sent: 0,
            without,
            faulty: false,
            announces: false,
            last_id: 0,
            last_request: 0,
            not_run: BTreeMap::new(),
            operations_ms: Default::default(),
            outcome: Outcome::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn note(&mut self, text: String) {
        let text = format!("{} ms: {text}", self.now_ms);
        self.outcome.trace.push(text);
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.start_processes();
        while let Some(Reverse((at_ms, number))) = self.messages.peek().copied() {
            if at_ms > self.now_ms {
                break;
            }
            self.messages.pop();
            if let Some(message) = self.contents.remove(&number) {
                self.deliver(message);
            }
        }
        for vm in 0..VMS {
            if self.slots[vm].frozen_until_ms > self.now_ms {
                continue;
            }
            for incoming in std::mem::take(&mut self.slots[vm].inbox) {
                self.on_process(vm, |process, now| process.receive(now, incoming));
            }
            self.arrivals(vm);
            self.on_process(vm, Process::tick);
        }
    }

    fn on_process(&mut self, vm: usize, run: impl FnOnce(&mut Process, Instant) -> Vec<Output>) {
        let now = self.now();
        let Some(process) = &mut self.slots[vm].process else {
            return;
        };
        let outputs = run(process, now);
        for output in outputs {
            self.output(vm, output);
        }
    }

    fn start_processes(&mut self) {
        let limit = RateLimit {
            rate_milliops_per_s: RATE_PER_S * 1_000,
            burst_milliops: BURST * 1_000,
        };
        let limits = WORKSPACES.map(|workspace| (workspace, limit));
        let mut changed = false;
        for vm in 0..VMS {
            if self.slots[vm].process.is_none() && self.slots[vm].starts_at_ms <= self.now_ms {
                self.last_id += 1;
                let name = format!("vm-{vm}");
                let process = Process::new(self.now(), self.last_id, &name, &limits, self.without);
                self.slots[vm].process = Some(process);
                self.slots[vm].inbox.clear();
                changed = true;
            }
        }
        if changed {
            let ids = self.slots.iter().filter_map(|slot| slot.process.as_ref());
            let ids: Vec<id::ProxyId> = ids.map(|process| process.id).collect();
            let ordered = quota::candidates(0, &ids);
            for slot in &mut self.slots {
                if let Some(process) = &mut slot.process {
                    process.set_candidates(&ordered);
                }
            }
        }
    }

    fn draw_loads(&mut self) {
        for slot in &mut self.slots {
            for (load, until_ms, due) in &mut slot.loads {
                if *until_ms <= self.now_ms {
                    *load = Load::draw(&mut self.rng, rate_per_step(), BURST);
                    *until_ms = self.now_ms + load.for_ms;
                    *due += load.burst as f64;
                }
            }
        }
    }

    fn arrivals(&mut self, vm: usize) {
        for (index, workspace) in WORKSPACES.into_iter().enumerate() {
            let (load, _, due) = &mut self.slots[vm].loads[index];
            *due += load.per_step;
            let count = *due as u64;
            *due -= count as f64;
            let not_run = load.not_run;
            for _ in 0..count {
                self.last_request += 1;
                let request = self.last_request;
                if self.rng.random_bool(not_run) {
                    self.not_run.insert(request, true);
                }
                let wait = Duration::from_millis(self.rng.random_range(50..1_000));
                self.on_process(vm, |process, now| {
                    let operation = Operation {
                        request,
                        workspace,
                        deadline: now + wait,
                    };
                    process.request(now, operation)
                });
            }
        }
    }

    fn vm_of(&self, id: id::ProxyId) -> Option<usize> {
        let is_it = |slot: &Slot| {
            slot.process
                .as_ref()
                .is_some_and(|process| process.id == id)
        };
        self.slots.iter().position(is_it)
    }

    fn is_cut(&self, vm: usize) -> bool {
        self.slots[vm].cut_until_ms > self.now_ms
    }

    fn is_store_cut(&self, vm: usize) -> bool {
        self.slots[vm].store_cut_until_ms > self.now_ms
    }

    fn output(&mut self, vm: usize, output: Output) {
        let Some(process) = &self.slots[vm].process else {
            return;
        };
        let from = process.id;
        match output {
            Output::Ask { to, question } => {
                self.outcome.questions += 1;
                self.send(vm, to, Incoming::Question(question));
            }
            Output::Answer {
                to,
                question,
                answer,
            } => {
                self.send(vm, to, Incoming::Answer { question, answer });
            }
            Output::Read { .. } | Output::Write { .. } => {
                if !self.is_store_cut(vm) {
                    let message = Message::ToStore { from, output };
                    self.send_message(message);
                }
            }
            Output::Admit { request, token } => {
                assert!(
                    token.is_valid(self.now()) || self.without.is_some(),
                    "expired token"
                );
                if self.not_run.remove(&request).is_some() {
                    let after_ms = self.rng.random_range(5..600);
                    let incoming = Incoming::PutBack(token);
                    self.push(after_ms, Message::ToProcess { to: from, incoming });
                    return;
                }
                self.outcome.admitted += 1;
                let index = WORKSPACES
                    .iter()
                    .position(|known| *known == token.workspace);
                self.operations_ms[index.expect("a known workspace")].push(self.now_ms);
            }
            Output::Refuse => {
                self.outcome.refused += 1;
                if self.now_ms > WARM_UP_MS {
                    self.outcome.refused_after_start += 1;
                }
            }
            Output::Lease => {
                self.outcome.terms += 1;
                self.note(format!("vm-{vm} acquires the lease"));
                if self.announces {
                    for slot in &mut self.slots {
                        if let Some(process) = &mut slot.process {
                            process.set_coordinator(from);
                        }
                    }
                }
            }
        }
    }

    fn send(&mut self, vm: usize, to: id::ProxyId, incoming: Incoming) {
        let message = Message::ToProcess { to, incoming };
        if self.vm_of(to) == Some(vm) {
            self.push(0, message);
        } else if !self.is_cut(vm) {
            self.send_message(message);
        }
    }

    /// Sends a message, which may be delayed or lost.
    fn send_message(&mut self, message: Message) {
        let chance = self.rng.random_range(0..200);
        let delay_ms = match chance {
            0 if self.faulty => return,
            1..4 if self.faulty => self.rng.random_range(20..3_000),
            _ => self.rng.random_range(1..10),
        };
        self.push(delay_ms, message);
    }

    fn push(&mut self, delay_ms: u64, message: Message) {
        self.sent += 1;
        self.messages
            .push(Reverse((self.now_ms + delay_ms, self.sent)));
        self.contents.insert(self.sent, message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToProcess { to, incoming } => {
                let Some(vm) = self.vm_of(to) else {
                    return;
                };
                let is_store = matches!(incoming, Incoming::Store { .. });
                if is_store && self.is_store_cut(vm) || !is_store && self.is_cut(vm) {
                    return;
                }
                if self.slots[vm].frozen_until_ms > self.now_ms {
                    self.slots[vm].inbox.push(incoming);
                    return;
                }
                self.on_process(vm, |process, now| process.receive(now, incoming));
            }
            Message::ToStore { from, output } => {
                let (call, input) = match output {
                    Output::Read { call } => (call, self.store.read()),
                    Output::Write {
                        call,
                        row,
                        expected,
                    } => (call, self.store.write(self.now_ms, row, expected)),
                    _ => return,
                };
                let incoming = Incoming::Store { call, input };
                self.send_message(Message::ToProcess { to: from, incoming });
            }
        }
    }

    pub fn fault(&mut self, fault: Fault) {
        self.note(format!("{fault:?}"));
        let now_ms = self.now_ms;
        match fault {
            Fault::Crash { vm, back_after_ms } => {
                self.slots[vm].process = None;
                self.slots[vm].frozen_until_ms = 0;
                self.slots[vm].starts_at_ms = now_ms + back_after_ms;
            }
            Fault::CrashCoordinator => {
                for slot in &mut self.slots {
                    if slot.process.as_ref().is_some_and(Process::is_coordinator) {
                        slot.process = None;
                        slot.frozen_until_ms = 0;
                        slot.starts_at_ms = now_ms;
                    }
                }
            }
            Fault::Freeze { vm, for_ms } => self.slots[vm].frozen_until_ms = now_ms + for_ms,
            Fault::FreezeMost { for_ms } => {
                for vm in 0..VMS {
                    let is_coordinator = self.slots[vm].process.as_ref();
                    if !is_coordinator.is_some_and(Process::is_coordinator) {
                        self.slots[vm].frozen_until_ms = now_ms + for_ms;
                    }
                }
            }
            Fault::CutOff { vm, for_ms } => self.slots[vm].cut_until_ms = now_ms + for_ms,
            Fault::CutOffStore { vm, for_ms } => {
                self.slots[vm].store_cut_until_ms = now_ms + for_ms;
            }
            Fault::Restore { age_ms } => self.store.restore(now_ms, age_ms),
        }
    }

    pub fn finish(mut self, seed: u64) -> Outcome {
        let bound = (RATE_PER_S * GRANTED_MS / 1_000 + BURST) as i64;
        self.outcome.excess = -bound;
        for times_ms in &self.operations_ms {
            let mut first = 0;
            for (last, at_ms) in times_ms.iter().enumerate() {
                while times_ms[first] + WINDOW_MS < *at_ms {
                    first += 1;
                }
                let excess = (last - first + 1) as i64 - bound;
                if excess > self.outcome.excess {
                    self.outcome.excess = excess;
                }
            }
        }
        let measured = self.operations_ms[0]
            .iter()
            .filter(|at_ms| **at_ms > WARM_UP_MS);
        let whole = (RATE_PER_S * (RUN_MS - WARM_UP_MS)) as f64 / 1_000.0;
        self.outcome.share_of_rate = measured.count() as f64 / whole;
        self.outcome.seed = seed;
        self.outcome
    }
}
