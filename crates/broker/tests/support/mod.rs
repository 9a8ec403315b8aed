//! A broker with one group of three members, on a simulated clock.

// Each test file is compiled as a separate program and uses only part of this module.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use fulmarlift_broker::Broker;
use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{Effect, Grant};
use fulmarlift_broker::event::{Answer, Event, MemberStatus, StatementReport};
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Group, Member, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;

pub const GROUP: id::GroupId = 7;
pub const DATABASE: &str = "letters";

/// A broker with its clock, and the effects that no test has taken yet.
pub struct Fixture {
    pub broker: Broker,
    pub now: Instant,
    pub effects: Vec<Effect>,
    /// Whether the directory answers whenever the clock advances.
    pub directory_answers: bool,
    next_request: id::RequestId,
}

impl Fixture {
    /// Creates a proxy in domain a, with members 1 to 3 in domains a to c. Member 1 leads, and the directory has been reached
    /// for 12 s.
    pub fn new() -> Self {
        Self::in_domain("a")
    }

    /// Creates the same fixture with promotions that are not fenced.
    pub fn unfenced() -> Self {
        let mut fixture = Self::create("a", false);
        fixture.handle(Event::PeersRead);
        fixture
    }

    /// Creates the same fixture with the proxy in another domain.
    pub fn in_domain(domain: &str) -> Self {
        let mut fixture = Self::before_peers_read(domain);
        fixture.handle(Event::PeersRead);
        fixture
    }

    /// Creates the same fixture before the list of proxies has been read.
    pub fn before_peers_read(domain: &str) -> Self {
        Self::create(domain, true)
    }

    /// Creates a proxy that knows nothing yet.
    pub fn starting() -> Self {
        Self::of_broker(Broker::new(settings("a", true)))
    }

    fn of_broker(broker: Broker) -> Self {
        Self {
            broker,
            now: Instant::now(),
            effects: Vec::new(),
            directory_answers: false,
            next_request: 0,
        }
    }

    fn create(domain: &str, fenced: bool) -> Self {
        let settings = settings(domain, fenced);
        let mut fixture = Self::of_broker(Broker::new(settings));
        fixture.handle(Event::Configured(topology()));
        for (member, domain) in [(1, "a"), (2, "b"), (3, "c")] {
            fixture.handle(Event::Listed(member_at(member, domain, member == 1)));
        }
        fixture.handle(Event::DirectoryRead {
            answered_at: Some(fixture.now),
        });
        fixture.now += Duration::from_secs(12);
        fixture.directory_answers = true;
        if fenced {
            fixture.trust_leader();
        }
        fixture.effects.clear();
        fixture
    }

    /// Lets a read of the claim row show that nobody replaces the leader.
    pub fn trust_leader(&mut self) {
        self.handle(Event::ClaimLoaded {
            group: GROUP,
            asked_at: self.now,
            stored: Some(ClaimRow::default()),
        });
    }

    pub fn handle(&mut self, event: Event) {
        self.broker.step(self.now, event, &mut self.effects);
    }

    /// Advances the clock by `ms` milliseconds, in steps of at most 100 ms with a tick after each.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while self.now < until {
            self.now += Duration::from_millis(100).min(until - self.now);
            if self.directory_answers {
                let answered_at = Some(self.now);
                self.handle(Event::DirectoryRead { answered_at });
            }
            self.handle(Event::Tick);
        }
    }

    /// Leaves statements at a member unanswered until it seems not to run.
    pub fn silence(&mut self, member: id::MemberId) {
        for _ in 0..2 {
            self.handle(Event::StatementEnded(StatementReport {
                member,
                answer: Answer::Silent { commit: false },
                point: None,
                floor: None,
                connected_at: None,
                took: Some(Duration::from_millis(760)),
            }));
        }
        self.advance(1_400);
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn add_request(&mut self, requirement: Requirement) -> id::RequestId {
        self.add_request_within(requirement, 500, 800)
    }

    /// Adds a request whose objective and deadline are this many milliseconds from now.
    pub fn add_request_within(
        &mut self,
        requirement: Requirement,
        objective_ms: u64,
        ms: u64,
    ) -> id::RequestId {
        self.next_request += 1;
        let id = self.next_request;
        self.handle(Event::Arrived(Request {
            id,
            group: GROUP,
            requirement,
            priority: 1,
            objective_at: self.now + Duration::from_millis(objective_ms),
            deadline: self.now + Duration::from_millis(ms),
            avoid: None,
            hedge: false,
            forwarded: false,
            workspace: None,
        }));
        id
    }

    /// Opens all requested connections and returns them.
    pub fn open_all(&mut self) -> Vec<id::ConnId> {
        let mut opened = Vec::new();
        for effect in self.take_effects() {
            match effect {
                Effect::Open { conn, .. } => {
                    opened.push(conn);
                    self.handle(Event::Opened(conn));
                }
                other => self.effects.push(other),
            }
        }
        opened
    }

    /// Removes the grants from the effects and returns them.
    pub fn take_grants(&mut self) -> Vec<Grant> {
        let (grants, rest) = self
            .take_effects()
            .into_iter()
            .partition(|effect| matches!(effect, Effect::Grant(_)));
        self.effects = rest;
        let grant = |effect| match effect {
            Effect::Grant(grant) => Some(grant),
            _ => None,
        };
        let grants: Vec<Effect> = grants;
        grants.into_iter().filter_map(grant).collect()
    }

    /// Ends a granted statement and returns its connection. The reported answer time is 10 ms; the clock does not advance.
    pub fn end_statement(&mut self, grant: &Grant, answer: Answer, point: Option<Point>) {
        self.handle(Event::StatementEnded(StatementReport {
            member: grant.member,
            answer,
            point,
            floor: grant.floor,
            connected_at: None,
            took: Some(Duration::from_millis(10)),
        }));
        self.handle(Event::Returned {
            conn: grant.conn,
            reusable: true,
        });
    }

    /// Lets a replica that follows term 1 answer that it has received a point.
    pub fn receive(&mut self, member: id::MemberId, received: Point) {
        self.receive_over(member, received, self.now - Duration::from_secs(1));
    }

    /// The same over a connection that was opened at an instant.
    pub fn receive_over(&mut self, member: id::MemberId, received: Point, connected_at: Instant) {
        self.handle(Event::ReceiptAnswered {
            group: GROUP,
            member,
            asked_at: self.now,
            connected_at,
            status: Some(MemberStatus {
                leads: false,
                term: 1,
                received,
                held_term: 0,
            }),
        });
    }

    pub fn leader(&self) -> Option<id::MemberId> {
        self.broker.leader(GROUP)
    }
}

fn settings(domain: &str, fenced: bool) -> Settings {
    Settings {
        name: "proxy-1-0".into(),
        vm_name: "proxy-1".into(),
        place: place(domain),
        drain_timeout: Duration::from_secs(7),
        fenced,
    }
}

pub fn place(domain: &str) -> Place {
    Place {
        region: "north".into(),
        domain: domain.into(),
    }
}

pub fn topology() -> Topology {
    let route = Route {
        database: DATABASE.into(),
        group: GROUP,
        consistency: Consistency::Leader,
        statement_timeout_ms: 800,
        objective_ms: 500,
        priority: 1,
        allows_anonymous: false,
    };
    let group = Group {
        name: "ledger".into(),
        connections_max: 16,
        sync_replicas: 1,
    };
    Topology::new(1, vec![route], vec![(GROUP, group)])
}

pub fn member_at(member: id::MemberId, domain: &str, listed_as_leader: bool) -> Member {
    Member {
        id: member,
        name: format!("member-{member}").into(),
        group: GROUP,
        address: ([127, 0, 0, 1], 9000 + member as u16).into(),
        place: place(domain),
        slots: 2,
        leaving: false,
        listed_as_leader,
        cold_remaining_ms: 0,
        revision: version(member),
    }
}

/// Returns a revision of a store that does not tell its era.
pub fn version(version: u64) -> Revision {
    Revision { era: 0, version }
}

/// Returns a status. `received` is the term and the position of the last log entry that the member has received.
pub fn status(leads: bool, term: u64, received: (u64, u64), held_term: u64) -> MemberStatus {
    MemberStatus {
        leads,
        term,
        received: Point::new(received.0, received.1),
        held_term,
    }
}
