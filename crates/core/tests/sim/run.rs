//! The order of events and their way between processes.

use std::time::Duration;

use fulmarlift_core::{event, id};
use rand::RngExt;

use crate::sim::network::Node;
use crate::sim::platform::Claim;
use crate::sim::world::{REPLICATION_STEP, TICK, World};

/// A question on its way to a member.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    pub proxy: usize,
    pub incarnation: u32,
    pub member: usize,
    pub kind: QueryKind,
}

/// What a member is asked.
#[derive(Clone, Copy, Debug)]
pub enum QueryKind {
    Status {
        control_request: id::ControlRequestId,
        min_position: id::Position,
    },
    Fence {
        control_request: id::ControlRequestId,
        term: id::Term,
    },
    Promote {
        control_request: id::ControlRequestId,
        term: id::Term,
    },
    Open {
        conn: id::ConnId,
    },
    Run {
        request: id::RequestId,
        conn: id::ConnId,
        key: Option<u64>,
    },
}

/// Something that happens at an instant.
#[derive(Clone, Debug)]
pub enum Item {
    Tick {
        proxy: usize,
        incarnation: u32,
    },
    Event {
        proxy: usize,
        incarnation: u32,
        event: event::Event,
    },
    Query(Query),
    Claim(Claim),
    Replicate(usize),
    /// Rows of a read, which pass the reducer by, and the event that ends the read.
    Rows {
        proxy: usize,
        incarnation: u32,
        event: event::Event,
        request: id::RequestId,
        member: usize,
        keys: Vec<u64>,
    },
}

impl World {
    /// Plans an item.
    pub fn push(&mut self, after: Duration, item: Item) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), item);
    }

    /// Plans an item at an instant of the proxies' clock.
    pub fn push_at(&mut self, at: std::time::Instant, item: Item) {
        let after = at.saturating_duration_since(self.instant());
        self.push(after, item);
    }

    /// Runs until `until` or until `done` returns true.
    pub fn run_until(&mut self, until: Duration, mut done: impl FnMut(&Self) -> bool) {
        while !done(self) {
            let Some(entry) = self.queue.first_entry() else {
                break;
            };
            if entry.key().0 > until {
                break;
            }
            let ((at, _), item) = entry.remove_entry();
            self.now = at;
            match self.frozen_until(item.node()) {
                Some(thaw) => self.push(thaw - at + item.delay_after_freeze(), item),
                None => self.handle(item),
            }
        }
        if !done(self) {
            self.now = until;
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, time: Duration) {
        self.run_until(self.now + time, |_| false);
    }

    fn frozen_until(&self, node: Node) -> Option<Duration> {
        let frozen = self.frozen.iter().find(|(frozen, _)| *frozen == node);
        frozen
            .map(|(_, until)| *until)
            .filter(|until| *until > self.now)
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Tick { proxy, incarnation } => {
                if self.is_running(proxy, incarnation) {
                    self.step(proxy, event::Event::Tick);
                    self.push(TICK, Item::Tick { proxy, incarnation });
                }
            }
            Item::Event {
                proxy,
                incarnation,
                event,
            } => {
                if self.is_running(proxy, incarnation) {
                    self.receive(proxy, event);
                }
            }
            Item::Rows {
                proxy,
                incarnation,
                event,
                request,
                member,
                keys,
            } => {
                if self.is_running(proxy, incarnation) {
                    let rows = crate::sim::world::Answer::Rows { member, keys };
                    self.answer((proxy, incarnation, request), rows);
                    self.step(proxy, event);
                }
            }
            Item::Query(query) => self.serve(query),
            Item::Claim(claim) => self.claim(claim),
            Item::Replicate(member) => {
                self.replicate(member);
                self.push(REPLICATION_STEP, Item::Replicate(member));
            }
        }
    }

    /// Returns whether this incarnation of a proxy runs.
    pub fn is_running(&self, proxy: usize, incarnation: u32) -> bool {
        let process = &self.proxies[proxy];
        process.up && process.incarnation == incarnation
    }

    /// Returns whether messages pass between two processes.
    pub fn connected(&self, one: Node, other: Node) -> bool {
        let (one, other) = (self.names(one), self.names(other));
        let one = one.each_ref().map(String::as_str);
        let other = other.each_ref().map(String::as_str);
        !self.cuts.parts(&one, &other)
    }

    /// Returns how long a message takes, or none if it does not pass.
    pub fn travel(&mut self, one: Node, other: Node) -> Option<Duration> {
        if !self.connected(one, other) {
            return None;
        }
        let latency = self
            .link
            .latency(&self.names(one)[1], &self.names(other)[1]);
        let lost = self.link.loss > 0.0 && self.rng.random_bool(self.link.loss);
        let again = if lost {
            self.link.retransmission
        } else {
            Duration::ZERO
        };
        Some(latency + again)
    }

    fn replicate(&mut self, replica: usize) {
        let follows = |source: &usize| {
            let connected = self.connected(Node::Member(*source), Node::Member(replica));
            let frozen = self.frozen_until(Node::Member(*source)).is_some();
            *source != replica && self.members_up[*source] && connected && !frozen
        };
        let sources = (0..self.members.len()).filter(follows);
        let source = sources.max_by_key(|source| self.members[*source].leads);
        if !self.members_up[replica] {
            return;
        }
        let heard = source.map(|source| self.members[source].clone());
        self.members[replica].hear(heard.as_ref(), REPLICATION_STEP);
        let Some(source) = source else {
            return;
        };
        let domains = &self.member_domains;
        let latency = self.link.latency(&domains[source], &domains[replica]);
        let delay = latency + self.members[replica].lag;
        let source = self.members[source].clone();
        if let Some(until) = self.now.checked_sub(delay) {
            self.members[replica].follow(&source, until);
        }
        self.answer_held(replica);
    }
}

impl Item {
    /// A process that wakes up takes in what it was sent before it learns of a newer term.
    fn delay_after_freeze(&self) -> Duration {
        match self {
            Self::Replicate(_) => REPLICATION_STEP,
            _ => Duration::ZERO,
        }
    }

    fn node(&self) -> Node {
        match self {
            Self::Tick { proxy, .. } | Self::Event { proxy, .. } | Self::Rows { proxy, .. } => {
                Node::Proxy(*proxy)
            }
            Self::Query(query) => Node::Member(query.member),
            Self::Claim(_) => Node::Platform,
            Self::Replicate(member) => Node::Member(*member),
        }
    }
}
