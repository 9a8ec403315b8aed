//! Drives one proxy's reducer on a virtual clock: members answer after a millisecond, peers send
//! heartbeats at the proxy's own pace.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarlift_core::{State, effect, event, floor, id, identity, peer, request, sorted, topology};

use crate::slopes::reducer;

/// Time between two ticks, as in the daemon.
const TICK: Duration = Duration::from_millis(10);
/// Time until a member answers or a connection opens.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Deadline of requests after their arrival.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Term of every primary.
const TERM: id::Term = 1;

/// What happens next.
enum Happening {
    Event(event::Event),
    Tick,
    PeerSends(usize),
    Arrival(id::RequestId),
    Returns {
        request: id::RequestId,
        conn: id::ConnId,
    },
}

/// Counts since the last [`Driver::forget`].
#[derive(Default)]
pub struct Counts {
    spent: Duration,
    questions: u64,
    heartbeats: u64,
    sent_bytes: u64,
    received_bytes: u64,
    answered: u64,
    refused: u64,
    ticks: u64,
    in_flight: u64,
}

/// The reducer with its fakes.
pub struct Driver {
    setup: reducer::Setup,
    state: State,
    now: Instant,
    plan: BTreeMap<(Instant, u64), Happening>,
    planned: u64,
    topology: topology::Topology,
    positions: sorted::Map<id::GroupId, id::Position>,
    peers: Vec<peer::Message>,
    first: id::GroupId,
    effects: Vec<effect::Effect>,
    counts: Counts,
}

impl Counts {
    /// Returns what a second cost.
    pub fn per_second(&self, length: Duration) -> reducer::Cost {
        let rate = |count: u64| count as f64 / length.as_secs_f64();
        let mean = |sum: u64, count: u64| sum as f64 / count.max(1) as f64;
        reducer::Cost {
            step_us: self.spent.as_secs_f64() * 1e6 / length.as_secs_f64(),
            questions: rate(self.questions),
            heartbeats_sent: rate(self.heartbeats),
            heartbeat_bytes: mean(self.sent_bytes, self.heartbeats),
            peer_bytes: rate(self.sent_bytes + self.received_bytes),
            answered: rate(self.answered),
            refused: rate(self.refused),
            in_flight: mean(self.in_flight, self.ticks),
        }
    }
}

impl Driver {
    /// Creates a proxy that knows its configuration and the addresses of its peers.
    pub fn new(setup: &reducer::Setup, now: Instant) -> Self {
        let topology = reducer::topology(setup.groups);
        let head = peer::Head {
            version: 1,
            digest: "0".repeat(64).into(),
        };
        let heartbeat = |number| reducer::heartbeat(number, &head, &topology);
        let peers: Vec<peer::Message> = (1..=setup.peers).map(heartbeat).collect();
        let addresses = peers.iter().map(|peer| peer.address.clone()).collect();
        let identity =
            identity::Identity::new("proxy-0", "region-1", "region-1-0", "10.9.0.0:7000");
        let mut driver = Self {
            setup: *setup,
            state: State::new(identity, addresses, now),
            now,
            plan: BTreeMap::new(),
            planned: 0,
            positions: topology.groups.keys().map(|group| (group, 1)).collect(),
            peers,
            first: id::of("library-0"),
            effects: Vec::new(),
            counts: Counts::default(),
            topology: topology.clone(),
        };
        driver.step(event::Event::Configured(topology, head));
        driver.begin();
        driver
    }

    fn begin(&mut self) {
        self.after(TICK, Happening::Tick);
        for index in 0..self.peers.len() {
            self.after(ROUND_TRIP, Happening::PeerSends(index));
        }
        if self.setup.requests_per_second > 0 {
            // Requests come when connections may be opened.
            self.after(Duration::from_secs(1), Happening::Arrival(1));
        }
    }

    /// Returns the counts.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Starts counting anew.
    pub fn forget(&mut self) {
        self.counts = Counts::default();
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while let Some(entry) = self.plan.first_entry() {
            let at = entry.key().0;
            if at > until {
                break;
            }
            let happening = entry.remove();
            self.now = at;
            self.happen(happening);
        }
        self.now = until;
    }

    fn after(&mut self, delay: Duration, happening: Happening) {
        self.planned += 1;
        self.plan
            .insert((self.now + delay, self.planned), happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event(event) => self.step(event),
            Happening::Tick => {
                self.counts.ticks += 1;
                self.counts.in_flight += self.state.in_flight() as u64;
                self.step(event::Event::Tick);
                self.after(TICK, Happening::Tick);
            }
            Happening::PeerSends(index) => self.peer_sends(index),
            Happening::Arrival(request) => self.arrive(request),
            Happening::Returns { request, conn } => self.returns(request, conn),
        }
    }

    fn step(&mut self, event: event::Event) {
        let started = Instant::now();
        self.state.step(self.now, event, &mut self.effects);
        self.counts.spent += started.elapsed();
        for effect in std::mem::take(&mut self.effects) {
            self.run_effect(effect);
        }
    }

    fn peer_sends(&mut self, index: usize) {
        self.peers[index].sequence += 1;
        let message = self.peers[index].clone();
        self.counts.received_bytes += message.encoded_len() as u64;
        self.step(event::Event::PeerMessage(message));
    }

    fn writes(&self, request: id::RequestId) -> bool {
        let every = u64::from(self.setup.write_every);
        every > 0 && request.is_multiple_of(every)
    }

    fn arrive(&mut self, id: id::RequestId) {
        let kind = match self.writes(id) {
            true => request::Kind::Write { repeatable: false },
            false => request::Kind::Read { fresh_since: None },
        };
        self.step(event::Event::Arrived(request::Request {
            id,
            caller: id::of("courier"),
            service: self.first,
            kind,
            floor: None,
            deadline: self.now + REQUEST_TIMEOUT,
        }));
        let pause = Duration::from_secs(1) / self.setup.requests_per_second;
        self.after(pause, Happening::Arrival(id + 1));
    }

    fn returns(&mut self, request: id::RequestId, conn: id::ConnId) {
        let outcome = match self.writes(request) {
            true => {
                let position = self.positions.entry(self.first);
                *position += 1;
                event::Outcome::Committed(floor::Point::new(TERM, *position))
            }
            false => {
                self.counts.answered += 1;
                event::Outcome::Answered
            }
        };
        self.step(event::Event::Returned(event::Returned {
            request,
            conn,
            outcome,
            clean: true,
        }));
    }

    fn run_effect(&mut self, effect: effect::Effect) {
        match effect {
            effect::Effect::AskStatus {
                control_request,
                group,
                member,
                min_position,
                ..
            } => {
                self.counts.questions += 1;
                let status = self.status(group, member, min_position);
                let answer = event::StatusAnswer {
                    control_request,
                    group,
                    member,
                    status: Some(status),
                };
                self.after(
                    ROUND_TRIP,
                    Happening::Event(event::Event::StatusAnswered(answer)),
                );
            }
            effect::Effect::Open { conn, .. } => {
                self.after(ROUND_TRIP, Happening::Event(event::Event::Opened(conn)));
            }
            effect::Effect::Dispatch(dispatch) => {
                let statement = Duration::from_millis(self.setup.statement_ms);
                let (request, conn) = (dispatch.request, dispatch.conn);
                self.after(statement, Happening::Returns { request, conn });
            }
            effect::Effect::Send { to, message } => {
                self.counts.heartbeats += 1;
                self.counts.sent_bytes += message.encoded_len() as u64;
                self.mirror(&to);
            }
            effect::Effect::Acknowledge { .. } => self.counts.answered += 1,
            effect::Effect::Refuse(_) => self.counts.refused += 1,
            _ => {}
        }
    }

    /// A peer has the same pace as this proxy, so it sends when this proxy has sent to it.
    fn mirror(&mut self, to: &str) {
        let mut peers = self.peers.iter();
        if let Some(index) = peers.position(|peer| peer.address.as_ref() == to) {
            self.after(ROUND_TRIP, Happening::PeerSends(index));
        }
    }

    fn status(
        &self,
        group: id::GroupId,
        member: id::MemberId,
        min_position: id::Position,
    ) -> event::Status {
        let position = self.positions.get(group).copied().unwrap_or(1);
        let members = self.topology.groups.get(group).map(|group| &group.members);
        let first = members.and_then(|members| members.keys().next());
        event::Status {
            term: TERM,
            primary: first == Some(member),
            last: floor::Point::new(TERM, position.max(min_position)),
            term_start: 1,
            connections_used: 0,
            upstream_silence: Duration::ZERO,
        }
    }
}
