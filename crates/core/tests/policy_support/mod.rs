//! A bench for the reducer of one proxy: a test passes it events for a group of three members and inspects the
//! effects.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use fulmarlift_core::{State, effect, event, floor, id, identity, peer, request, sorted, topology};

/// Regions and domains of the members. The first member is primary; the proxy runs in the domain of the second.
pub const DOMAINS: [(&str, &str); 3] = [("rvk", "rvk-a"), ("rvk", "rvk-b"), ("aey", "aey-a")];

/// A proxy with a clock that the test advances, and the effects that the test has not consumed.
pub struct Bench {
    pub state: State,
    pub now: Instant,
    pub effects: Vec<effect::Effect>,
    pub last_request: id::RequestId,
    pub limits: topology::Limits,
}

pub fn group() -> id::GroupId {
    id::of("ledger")
}

pub fn member(index: usize) -> id::MemberId {
    id::member(group(), &format!("m{index}"))
}

pub fn topology(limits: &topology::Limits, connections: u32) -> topology::Topology {
    let members = DOMAINS.iter().enumerate().map(|(index, (region, domain))| {
        let config = topology::Member {
            name: format!("m{index}").into(),
            address: format!("m{index}").into(),
            place: topology::Place {
                region: (*region).into(),
                domain: (*domain).into(),
            },
            connections,
            connect_time: Duration::from_millis(12),
        };
        (member(index), config)
    });
    let config = topology::Group {
        name: "ledger".into(),
        slots: 2,
        members: members.collect(),
    };
    let service = |name: &str| topology::Service {
        name: name.into(),
        group: group(),
        limits: limits.clone(),
    };
    let services = ["ledger", "other"].map(|name| (id::of(name), service(name)));
    topology::Topology {
        version: 1,
        groups: sorted::Map::from_iter([(group(), config)]),
        services: sorted::Map::from_iter(services),
    }
}

impl Bench {
    /// Creates a proxy to which every member has reported term 1 and position 10.
    pub fn new() -> Self {
        Self::with(topology::Limits::default(), 16)
    }

    /// Creates such a proxy with limits for its services and a number of connections that each member accepts.
    pub fn with(limits: topology::Limits, connections: u32) -> Self {
        let now = Instant::now();
        let identity = identity::Identity::new("proxy-0", "rvk", "rvk-b", "proxy-0");
        let mut bench = Self {
            state: State::new(identity, Vec::new(), now),
            now,
            effects: Vec::new(),
            last_request: 0,
            limits: limits.clone(),
        };
        let head = peer::Head {
            version: 1,
            digest: "1".into(),
        };
        bench.step(event::Event::Configured(
            topology(&limits, connections),
            head,
        ));
        bench.step(event::Event::Tick);
        bench.later(1);
        bench.answer_all([10; 3]);
        bench
    }

    pub fn step(&mut self, event: event::Event) {
        self.state.step(self.now, event, &mut self.effects);
    }

    /// Advances the clock without a tick.
    pub fn later(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    pub fn status(index: usize, term: id::Term, position: id::Position) -> event::Status {
        event::Status {
            term,
            primary: index == 0,
            last: floor::Point::new(term, position),
            term_start: 1,
            connections_used: 0,
            upstream_silence: Duration::ZERO,
        }
    }

    /// Answers the outstanding status requests to each member with its position in `positions`.
    pub fn answer_all(&mut self, positions: [id::Position; 3]) {
        for (index, position) in positions.into_iter().enumerate() {
            self.answer(index, position);
        }
    }

    /// Answers the outstanding status requests to a member that ask for at most this position.
    pub fn answer(&mut self, index: usize, position: id::Position) {
        let effects = std::mem::take(&mut self.effects);
        for effect in effects {
            match effect {
                effect::Effect::AskStatus {
                    control_request,
                    member: asked,
                    min_position,
                    ..
                } if asked == member(index) && min_position <= position => {
                    self.step(event::Event::StatusAnswered(event::StatusAnswer {
                        control_request,
                        group: group(),
                        member: asked,
                        status: Some(Self::status(index, 1, position)),
                    }));
                }
                other => self.effects.push(other),
            }
        }
    }

    /// Sends a request, with a floor at this position of term 1 if one is given.
    pub fn request(
        &mut self,
        service: &str,
        kind: request::Kind,
        position: Option<id::Position>,
        timeout_ms: u64,
    ) -> id::RequestId {
        self.last_request += 1;
        let floor = position.map(|position| {
            let mut floor = floor::Floor::default();
            floor.raise(group(), floor::Point::new(1, position));
            floor
        });
        let request = request::Request {
            id: self.last_request,
            caller: id::of(service),
            service: id::of(service),
            kind,
            floor,
            deadline: self.now + Duration::from_millis(timeout_ms),
        };
        self.step(event::Event::Arrived(request));
        self.last_request
    }

    pub fn read(&mut self, position: id::Position) -> id::RequestId {
        let kind = request::Kind::Read { fresh_since: None };
        self.request("ledger", kind, Some(position), 10_000)
    }

    pub fn write(&mut self) -> id::RequestId {
        let kind = request::Kind::Write { repeatable: false };
        self.request("ledger", kind, Some(1), 10_000)
    }

    /// Opens all connections that the proxy requested; returns their number.
    pub fn open_all(&mut self) -> usize {
        let opened = self.opens();
        self.effects
            .retain(|effect| !matches!(effect, effect::Effect::Open { .. }));
        for (conn, _) in &opened {
            self.step(event::Event::Opened(*conn));
        }
        opened.len()
    }

    pub fn opens(&self) -> Vec<(id::ConnId, id::MemberId)> {
        let open = |effect: &effect::Effect| match effect {
            effect::Effect::Open { conn, member, .. } => Some((*conn, *member)),
            _ => None,
        };
        self.effects.iter().filter_map(open).collect()
    }

    pub fn dispatches(&self) -> Vec<effect::Dispatch> {
        let dispatch = |effect: &effect::Effect| match effect {
            effect::Effect::Dispatch(dispatch) => Some(*dispatch),
            _ => None,
        };
        self.effects.iter().filter_map(dispatch).collect()
    }

    pub fn refusals(&self) -> Vec<effect::Refuse> {
        let refusal = |effect: &effect::Effect| match effect {
            effect::Effect::Refuse(refuse) => Some(*refuse),
            _ => None,
        };
        self.effects.iter().filter_map(refusal).collect()
    }

    /// Returns member and position of each outstanding status request that the member answers only at a
    /// position.
    pub fn held_status_requests(&self) -> Vec<(id::MemberId, id::Position)> {
        let held_status_request = |effect: &effect::Effect| match effect {
            effect::Effect::AskStatus {
                member,
                min_position,
                ..
            } if *min_position > 0 => Some((*member, *min_position)),
            _ => None,
        };
        self.effects
            .iter()
            .filter_map(held_status_request)
            .collect()
    }

    /// Returns a dispatched request with its outcome to the proxy.
    pub fn finish(&mut self, dispatch: effect::Dispatch, outcome: event::Outcome, clean: bool) {
        self.step(event::Event::Returned(event::Returned {
            request: dispatch.request,
            conn: dispatch.conn,
            outcome,
            clean,
        }));
    }
}
