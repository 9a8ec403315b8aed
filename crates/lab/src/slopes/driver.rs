//! Driver of one proxy's reducer on a virtual clock. The members and peers of the proxy are simulated: members answer
//! after a round trip, and peers send heartbeats as often as the proxy does.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fulmarlift_core::{State, effect, event, floor, id, identity, peer, request, sorted, topology};

use crate::slopes::reducer;

/// Interval of the reducer's ticks, the same as in the daemon (`fulmarliftd`).
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time until a member answers, a connection opens or a peer's heartbeat arrives.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Term of all primaries.
const TERM: id::Term = 1;

/// An entry of the event queue.
enum Scheduled {
    /// The reducer gets an event.
    Event(event::Event),
    /// The timer of the proxy fires.
    Tick,
    /// A heartbeat of the peer with this index arrives.
    HeartbeatReceived(usize),
    /// A request with this identifier arrives.
    RequestArrived(id::RequestId),
    /// A member answers the statement of a request.
    StatementEnded {
        request: id::RequestId,
        conn: id::ConnId,
    },
}

/// Counts and sums since the last [`Driver::reset_counts`].
#[derive(Default)]
pub struct Counts {
    /// Time spent in the reducer.
    step_time: Duration,
    questions: u64,
    heartbeats_sent: u64,
    sent_bytes: u64,
    received_bytes: u64,
    answered: u64,
    refused: u64,
    ticks: u64,
    /// Requests in flight, summed over the ticks.
    in_flight: u64,
}

/// A proxy's reducer, the event queue that drives it, and its simulated members and peers.
pub struct Driver {
    setup: reducer::Setup,
    state: State,
    now: Instant,
    /// Entries by time, and by the order in which they were scheduled.
    queue: BTreeMap<(Instant, u64), Scheduled>,
    scheduled_count: u64,
    topology: topology::Topology,
    /// Position of the newest log entry of each group.
    positions: sorted::Map<id::GroupId, id::Position>,
    /// Newest heartbeat of each peer.
    peers: Vec<peer::Message>,
    /// Group that gets all requests.
    loaded_group: id::GroupId,
    effects: Vec<effect::Effect>,
    counts: Counts,
}

impl Counts {
    /// Returns the mean cost per second of virtual time, for counts that were taken over this length.
    pub fn cost_per_second(&self, length: Duration) -> reducer::Cost {
        let rate = |count: u64| count as f64 / length.as_secs_f64();
        let mean = |sum: u64, count: u64| sum as f64 / count.max(1) as f64;
        reducer::Cost {
            step_us: self.step_time.as_secs_f64() * 1e6 / length.as_secs_f64(),
            questions: rate(self.questions),
            heartbeats_sent: rate(self.heartbeats_sent),
            heartbeat_bytes: mean(self.sent_bytes, self.heartbeats_sent),
            peer_bytes: rate(self.sent_bytes + self.received_bytes),
            answered: rate(self.answered),
            refused: rate(self.refused),
            in_flight: mean(self.in_flight, self.ticks),
        }
    }
}

impl Driver {
    /// Creates a driver whose proxy has its configuration and the addresses of its peers.
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
            queue: BTreeMap::new(),
            scheduled_count: 0,
            positions: topology.groups.keys().map(|group| (group, 1)).collect(),
            peers,
            loaded_group: id::of("library-0"),
            effects: Vec::new(),
            counts: Counts::default(),
            topology: topology.clone(),
        };
        driver.step(event::Event::Configured(topology, head));
        driver.schedule_first_entries();
        driver
    }

    /// Schedules the first tick, the first heartbeat of each peer and, if the setup has a load, the first request.
    fn schedule_first_entries(&mut self) {
        self.schedule(TICK_INTERVAL, Scheduled::Tick);
        for index in 0..self.peers.len() {
            self.schedule(ROUND_TRIP, Scheduled::HeartbeatReceived(index));
        }
        if self.setup.requests_per_second > 0 {
            // A second after its start, the proxy may open connections.
            self.schedule(Duration::from_secs(1), Scheduled::RequestArrived(1));
        }
    }

    /// Returns the counts since the last reset.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Sets all counts to 0.
    pub fn reset_counts(&mut self) {
        self.counts = Counts::default();
    }

    /// Runs the proxy for this length of virtual time.
    pub fn run(&mut self, length: Duration) {
        let until = self.now + length;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > until {
                break;
            }
            let scheduled = entry.remove();
            self.now = at;
            self.handle(scheduled);
        }
        self.now = until;
    }

    /// Schedules an entry after a delay.
    fn schedule(&mut self, delay: Duration, entry: Scheduled) {
        self.scheduled_count += 1;
        self.queue
            .insert((self.now + delay, self.scheduled_count), entry);
    }

    fn handle(&mut self, entry: Scheduled) {
        match entry {
            Scheduled::Event(event) => self.step(event),
            Scheduled::Tick => {
                self.counts.ticks += 1;
                self.counts.in_flight += self.state.in_flight() as u64;
                self.step(event::Event::Tick);
                self.schedule(TICK_INTERVAL, Scheduled::Tick);
            }
            Scheduled::HeartbeatReceived(index) => self.receive_heartbeat(index),
            Scheduled::RequestArrived(request) => self.receive_request(request),
            Scheduled::StatementEnded { request, conn } => self.end_statement(request, conn),
        }
    }

    /// Passes an event to the reducer, measures the time that it takes, and runs the effects.
    fn step(&mut self, event: event::Event) {
        let started = Instant::now();
        self.state.step(self.now, event, &mut self.effects);
        self.counts.step_time += started.elapsed();
        for effect in std::mem::take(&mut self.effects) {
            self.run_effect(effect);
        }
    }

    /// Passes the next heartbeat of a peer to the reducer.
    fn receive_heartbeat(&mut self, index: usize) {
        self.peers[index].sequence += 1;
        let message = self.peers[index].clone();
        self.counts.received_bytes += message.encoded_len() as u64;
        self.step(event::Event::HeartbeatArrived(message));
    }

    /// Returns whether a request writes: every n-th does, as the setup says.
    fn is_write(&self, request: id::RequestId) -> bool {
        let every = u64::from(self.setup.write_every);
        every > 0 && request.is_multiple_of(every)
    }

    /// Passes a request to the reducer and schedules the next one.
    fn receive_request(&mut self, id: id::RequestId) {
        let kind = match self.is_write(id) {
            true => request::Kind::Write { repeatable: false },
            false => request::Kind::Read { fresh_since: None },
        };
        self.step(event::Event::Arrived(request::Request {
            id,
            caller: id::of("courier"),
            service: self.loaded_group,
            kind,
            floor: None,
            deadline: self.now + REQUEST_TIMEOUT,
        }));
        let interval = Duration::from_secs(1) / self.setup.requests_per_second;
        self.schedule(interval, Scheduled::RequestArrived(id + 1));
    }

    /// Returns a statement's connection with its outcome to the reducer.
    fn end_statement(&mut self, request: id::RequestId, conn: id::ConnId) {
        let outcome = match self.is_write(request) {
            true => {
                let position = self.positions.entry(self.loaded_group);
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

    /// Counts an effect and schedules the event that answers it.
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
                self.schedule(
                    ROUND_TRIP,
                    Scheduled::Event(event::Event::StatusAnswered(answer)),
                );
            }
            effect::Effect::Open { conn, .. } => {
                self.schedule(ROUND_TRIP, Scheduled::Event(event::Event::Opened(conn)));
            }
            effect::Effect::Dispatch(dispatch) => {
                let run_time = Duration::from_millis(self.setup.statement_ms);
                let (request, conn) = (dispatch.request, dispatch.conn);
                self.schedule(run_time, Scheduled::StatementEnded { request, conn });
            }
            effect::Effect::SendHeartbeat { to, message } => {
                self.counts.heartbeats_sent += 1;
                self.counts.sent_bytes += message.encoded_len() as u64;
                self.schedule_answering_heartbeat(&to);
            }
            effect::Effect::Acknowledge { .. } => self.counts.answered += 1,
            effect::Effect::Refuse(_) => self.counts.refused += 1,
            _ => {}
        }
    }

    /// Schedules a heartbeat of the peer at this address. A peer sends heartbeats as often as this proxy, so it sends one
    /// whenever it gets one.
    fn schedule_answering_heartbeat(&mut self, to: &str) {
        let mut peers = self.peers.iter();
        if let Some(index) = peers.position(|peer| peer.address.as_ref() == to) {
            self.schedule(ROUND_TRIP, Scheduled::HeartbeatReceived(index));
        }
    }

    /// Returns the status of a member. The first member of each group is the primary, and all members have the same log,
    /// which has always reached the position that the proxy waits for.
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
