//! A process of a proxy: the real client, lease and coordinator of a shard, with the input and output that the proxy adds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarlift_broker::quota::client::{self, Client, Token};
use fulmarlift_broker::quota::coordinator::Coordinator;
use fulmarlift_broker::quota::lease::{self, Lease};
use fulmarlift_broker::quota::message::{QuotaAnswer, QuotaQuestion};
use fulmarlift_broker::workspace::RateLimit;
use fulmarlift_core::id;

use crate::quota_search::plan::Mechanism;

/// The shard of the search.
pub const SHARD: u64 = 0;
/// Time after which a call to the store counts as refused, in ms.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// What a process sends or does.
#[derive(Clone, Debug)]
pub enum Output {
    Ask {
        to: id::ProxyId,
        question: QuotaQuestion,
    },
    Answer {
        to: id::ProxyId,
        question: u64,
        answer: QuotaAnswer,
    },
    Read {
        call: u64,
    },
    Write {
        call: u64,
        row: lease::Row,
        expected: u64,
    },
    Admit {
        request: id::RequestId,
        token: Token,
    },
    Refuse,
    Lease,
}

/// What a process receives.
#[derive(Clone, Debug)]
pub enum Incoming {
    Question(QuotaQuestion),
    Answer { question: u64, answer: QuotaAnswer },
    Store { call: u64, input: lease::Input },
    PutBack(Token),
}

pub struct Process {
    pub id: id::ProxyId,
    pub vm: Box<str>,
    pub limits: Vec<(id::WorkspaceId, RateLimit)>,
    pub rank: usize,
    pub without: Option<Mechanism>,
    client: Client,
    lease: Lease,
    coordinator: Option<Coordinator>,
    started_at: Instant,
    known_holder: Option<id::ProxyId>,
    call: Option<(u64, Instant)>,
    calls: u64,
    /// Era of the condition of the last write.
    condition_era: u64,
    sent_at: BTreeMap<u64, Instant>,
}

impl Process {
    pub fn new(
        now: Instant,
        id: id::ProxyId,
        vm: &str,
        limits: &[(id::WorkspaceId, RateLimit)],
        without: Option<Mechanism>,
    ) -> Self {
        let me = lease::Holder {
            vm: vm.into(),
            proxy: id,
        };
        Self {
            id,
            vm: vm.into(),
            limits: limits.to_vec(),
            rank: 0,
            without,
            client: Client::new(id, SHARD),
            lease: Lease::new(now, me),
            coordinator: None,
            started_at: now,
            known_holder: None,
            call: None,
            calls: 0,
            condition_era: 0,
            sent_at: BTreeMap::new(),
        }
    }

    pub fn is_coordinator(&self) -> bool {
        self.coordinator.is_some()
    }

    pub fn set_candidates(&mut self, ordered: &[id::ProxyId]) {
        self.rank = ordered
            .iter()
            .position(|id| *id == self.id)
            .unwrap_or(usize::MAX);
        self.client.set_candidates(ordered.to_vec());
    }

    pub fn set_coordinator(&mut self, id: id::ProxyId) {
        self.client.set_coordinator(id);
    }

    pub fn request(&mut self, now: Instant, operation: client::Operation) -> Vec<Output> {
        let effects = self.client.request(now, operation);
        self.client_effects(now, effects)
    }

    pub fn receive(&mut self, now: Instant, incoming: Incoming) -> Vec<Output> {
        match incoming {
            Incoming::Question(question) => vec![self.question(now, &question)],
            Incoming::Answer { question, answer } => {
                let sent_at = self.sent_at.remove(&question);
                let at = match self.without {
                    // The tokens count from the answer.
                    Some(Mechanism::ExpiryFromQuestion) => sent_at.unwrap_or(now),
                    _ => now,
                };
                let effects = self.client.answer(at, question, &answer);
                self.client_effects(now, effects)
            }
            Incoming::Store { call, input } => {
                if self.call.is_none_or(|(current, _)| current != call) {
                    return Vec::new();
                }
                self.call = None;
                let input = self.without_mechanism(now, input);
                self.step(now, input)
            }
            Incoming::PutBack(token) => {
                let effects = self.client.put_back(now, token);
                self.client_effects(now, effects)
            }
        }
    }

    pub fn tick(&mut self, now: Instant) -> Vec<Output> {
        let mut outputs = Vec::new();
        let timeout = Duration::from_millis(STORE_TIMEOUT_MS);
        let context = self.context();
        match self.call {
            Some((_, sent_at)) if sent_at + timeout <= now => {
                self.call = None;
                outputs.extend(self.step(now, lease::Input::Refused));
            }
            _ if self.lease.next_tick(&context).is_some_and(|at| at <= now) => {
                outputs.extend(self.step(now, lease::Input::Tick));
            }
            _ => {}
        }
        if self.client.next_tick(now).is_some_and(|at| at <= now) {
            let effects = self.client.tick(now);
            outputs.extend(self.client_effects(now, effects));
        }
        outputs
    }

    fn context(&self) -> lease::Context {
        lease::Context {
            rank: self.rank,
            // The first era has lasted for long.
            era: Some((1, self.started_at - Duration::from_secs(3_600))),
        }
    }

    fn question(&mut self, now: Instant, question: &QuotaQuestion) -> Output {
        let mut answer = match &mut self.coordinator {
            Some(coordinator) => coordinator.answer(now, question),
            None => QuotaAnswer::NotCoordinator { holder: None },
        };
        match &mut answer {
            QuotaAnswer::Granted { term, grants } => {
                let is_other_term = question.term != *term;
                let puts_back = match self.without {
                    Some(Mechanism::ReturnsOfTerm) => is_other_term,
                    Some(Mechanism::ReturnsWithinBurst) => !is_other_term,
                    _ => false,
                };
                for (grant, demand) in grants.iter_mut().zip(&question.demands) {
                    let returned: u64 =
                        demand.returned.iter().map(|returned| returned.tokens).sum();
                    if puts_back {
                        grant.tokens += returned.min(demand.wanted - grant.tokens);
                    }
                }
            }
            QuotaAnswer::NotCoordinator { holder } => {
                *holder = self.lease.holder().map(|holder| holder.proxy);
            }
        }
        Output::Answer {
            to: question.asker,
            question: question.question,
            answer,
        }
    }

    /// Changes an input as a lease without the mechanism would see it.
    fn without_mechanism(&self, now: Instant, input: lease::Input) -> lease::Input {
        let hides_era = self.without == Some(Mechanism::EraWait);
        let hides_holder =
            self.without == Some(Mechanism::TakeOverWait) && !self.lease.is_held(now);
        match input {
            lease::Input::RowRead {
                mut row,
                mut revision,
            } => {
                if hides_era {
                    revision.era = 0;
                }
                if let Some(row) = row.as_mut().filter(|_| hides_holder) {
                    row.holder.vm = self.vm.clone();
                    row.era = revision.era;
                }
                if let (Some(row), Some(Mechanism::EraOfRow)) = (&mut row, self.without) {
                    row.era = revision.era;
                }
                lease::Input::RowRead { row, revision }
            }
            lease::Input::RowWritten { mut revision } => {
                if hides_era {
                    revision.era = 0;
                }
                if self.without == Some(Mechanism::EraOfWrite) {
                    revision.era = self.condition_era;
                }
                lease::Input::RowWritten { revision }
            }
            other => other,
        }
    }

    fn step(&mut self, now: Instant, input: lease::Input) -> Vec<Output> {
        let context = self.context();
        let effects = self.lease.step(now, input, &context);
        let far = now + Duration::from_secs(3_600);
        let ends = self.without != Some(Mechanism::LeaseEnd);
        let mut outputs = Vec::new();
        for effect in effects {
            match effect {
                lease::Effect::ReadRow => {
                    let call = self.next_call(now);
                    outputs.push(Output::Read { call });
                }
                lease::Effect::WriteRow { row, condition } => {
                    let call = self.next_call(now);
                    self.condition_era = condition.era;
                    let expected = condition.version;
                    outputs.push(Output::Write {
                        call,
                        row,
                        expected,
                    });
                }
                lease::Effect::Acquired { term, until } => {
                    let filled_since = match self.without {
                        Some(Mechanism::EmptyBuckets) => now - Duration::from_secs(60),
                        _ => now,
                    };
                    let until = if ends { until } else { far };
                    let coordinator =
                        Coordinator::new(filled_since, SHARD, term, until, &self.limits);
                    self.coordinator = Some(coordinator);
                    outputs.push(Output::Lease);
                }
                lease::Effect::Renewed { until } => {
                    let until = if ends { until } else { far };
                    if let Some(coordinator) = &mut self.coordinator {
                        coordinator.renew(until);
                    }
                }
                lease::Effect::Stopped => {
                    let named = self.lease.holder().map(|holder| holder.proxy);
                    if ends || named != Some(self.id) {
                        self.coordinator = None;
                    }
                }
            }
        }
        let holder = self.lease.holder().map(|holder| holder.proxy);
        if let Some(holder) = holder.filter(|_| holder != self.known_holder) {
            self.known_holder = Some(holder);
            self.client.set_coordinator(holder);
        }
        outputs
    }

    fn next_call(&mut self, now: Instant) -> u64 {
        self.calls += 1;
        self.call = Some((self.calls, now));
        self.calls
    }

    fn client_effects(&mut self, now: Instant, effects: Vec<client::Effect>) -> Vec<Output> {
        let mut outputs = Vec::new();
        for effect in effects {
            outputs.push(match effect {
                client::Effect::Ask { to, question } => {
                    self.sent_at.insert(question.question, now);
                    Output::Ask { to, question }
                }
                client::Effect::Admit { request, token } => Output::Admit { request, token },
                client::Effect::Refuse { .. } => Output::Refuse,
            });
        }
        outputs
    }
}
