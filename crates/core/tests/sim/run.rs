//! The event queue, and messages between processes.

use std::time::Duration;

use fulmarlift_core::{event, id};
use rand::RngExt;

use crate::sim::network::Node;
use crate::sim::platform::Claim;
use crate::sim::world::{REPLICATION_INTERVAL, TICK_INTERVAL, World};

/// A message on its way to a member.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    pub proxy: usize,
    pub incarnation: u32,
    pub member: usize,
    pub kind: QueryKind,
}

/// The content of a message to a member.
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

/// An entry of the event queue.
#[derive(Clone, Debug)]
pub enum Scheduled {
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
    /// The rows of a read, which go to the caller directly, and the event that ends the read in the reducer.
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
    /// Schedules an entry after a delay.
    pub fn schedule(&mut self, after: Duration, entry: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), entry);
    }

    /// Schedules an entry for an instant of the proxies' clock.
    pub fn schedule_at(&mut self, at: std::time::Instant, entry: Scheduled) {
        let after = at.saturating_duration_since(self.instant());
        self.schedule(after, entry);
    }

    /// Runs the simulation until the time `until`, or until `done` returns true.
    pub fn run_until(&mut self, until: Duration, mut done: impl FnMut(&Self) -> bool) {
        while !done(self) {
            let Some(next) = self.queue.first_entry() else {
                break;
            };
            if next.key().0 > until {
                break;
            }
            let ((at, _), entry) = next.remove_entry();
            self.now = at;
            match self.frozen_until(entry.node()) {
                Some(thaw) => self.schedule(thaw - at + entry.delay_after_freeze(), entry),
                None => self.handle(entry),
            }
        }
        if !done(self) {
            self.now = until;
        }
    }

    /// Runs the simulation for this time.
    pub fn advance(&mut self, time: Duration) {
        self.run_until(self.now + time, |_| false);
    }

    fn frozen_until(&self, node: Node) -> Option<Duration> {
        let frozen = self.frozen.iter().find(|(frozen, _)| *frozen == node);
        frozen
            .map(|(_, until)| *until)
            .filter(|until| *until > self.now)
    }

    fn handle(&mut self, entry: Scheduled) {
        match entry {
            Scheduled::Tick { proxy, incarnation } => {
                if self.is_running(proxy, incarnation) {
                    self.step(proxy, event::Event::Tick);
                    self.schedule(TICK_INTERVAL, Scheduled::Tick { proxy, incarnation });
                }
            }
            Scheduled::Event {
                proxy,
                incarnation,
                event,
            } => {
                if self.is_running(proxy, incarnation) {
                    self.receive(proxy, event);
                }
            }
            Scheduled::Rows {
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
            Scheduled::Query(query) => self.handle_query(query),
            Scheduled::Claim(claim) => self.claim(claim),
            Scheduled::Replicate(member) => {
                self.replicate(member);
                self.schedule(REPLICATION_INTERVAL, Scheduled::Replicate(member));
            }
        }
    }

    /// Returns whether this incarnation of a proxy is running.
    pub fn is_running(&self, proxy: usize, incarnation: u32) -> bool {
        let process = &self.proxies[proxy];
        process.up && process.incarnation == incarnation
    }

    /// Returns whether no cut separates two processes.
    pub fn connected(&self, one: Node, other: Node) -> bool {
        let (one, other) = (self.names(one), self.names(other));
        let one = one.each_ref().map(String::as_str);
        let other = other.each_ref().map(String::as_str);
        !self.cuts.separates(&one, &other)
    }

    /// Returns how long a message takes, including a possible retransmission; `None` if a cut stops it.
    pub fn message_delay(&mut self, one: Node, other: Node) -> Option<Duration> {
        if !self.connected(one, other) {
            return None;
        }
        let latency = self
            .link
            .latency(&self.names(one)[1], &self.names(other)[1]);
        let lost = self.link.loss > 0.0 && self.rng.random_bool(self.link.loss);
        let retransmission = if lost {
            self.link.retransmission
        } else {
            Duration::ZERO
        };
        Some(latency + retransmission)
    }

    fn replicate(&mut self, replica: usize) {
        let follows = |source: &usize| {
            let connected = self.connected(Node::Member(*source), Node::Member(replica));
            let frozen = self.frozen_until(Node::Member(*source)).is_some();
            *source != replica && self.members_up[*source] && connected && !frozen
        };
        let sources = (0..self.members.len()).filter(follows);
        let source = sources.max_by_key(|source| self.members[*source].history_term);
        if !self.members_up[replica] {
            return;
        }
        let source_member = source.map(|source| self.members[source].clone());
        self.members[replica].record_upstream(source_member.as_ref(), REPLICATION_INTERVAL);
        let Some(source) = source else {
            return;
        };
        let domains = &self.member_domains;
        let latency = self.link.latency(&domains[source], &domains[replica]);
        let delay = latency + self.members[replica].lag;
        let source = self.members[source].clone();
        if let Some(until) = self.now.checked_sub(delay) {
            self.members[replica].replicate_from(&source, until);
        }
        self.answer_held(replica);
    }
}

impl Scheduled {
    /// Returns how long an entry waits after its process thaws. Replication waits for one interval, so that a
    /// member first receives the messages that were sent to it and only then a newer term.
    fn delay_after_freeze(&self) -> Duration {
        match self {
            Self::Replicate(_) => REPLICATION_INTERVAL,
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
