//! Tests of choices that are withheld, since all members that answer may lack acknowledged commits. One proxy plays against a store, a
//! platform and members.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{
    Answer, Event, GroupKnowledge, MissingMember, OpenFailure, OrderOutcome, StatementReport,
    StoreOutcome,
};
use fulmarlift_broker::leader::KnownPoints;
use fulmarlift_broker::topology::{Group, Member, Peer, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use support::{Fixture, GROUP, member_at, place, status, topology, version};

/// Returns what other proxies answer at an instant.
type Tell = Box<dyn FnMut(Instant) -> Vec<(id::ProxyId, GroupKnowledge)>>;

/// Plays the store, the platform and the members for one proxy.
struct World {
    fixture: Fixture,
    row: ClaimRow,
    began: Instant,
    /// Members that answer, with the term and end of their logs.
    logs: Vec<(id::MemberId, (u64, u64))>,
    tell: Tell,
    order: OrderOutcome,
    orders: Vec<(u64, id::MemberId)>,
    /// Whether other proxies answer the questions beside the read of the directory.
    tells_at_read: bool,
}

impl World {
    fn new(fixture: Fixture, logs: &[(id::MemberId, (u64, u64))]) -> Self {
        let began = fixture.now;
        Self {
            fixture,
            row: ClaimRow::default(),
            began,
            logs: logs.to_vec(),
            tell: Box::new(|_| Vec::new()),
            order: OrderOutcome::Deferred,
            orders: Vec::new(),
            tells_at_read: true,
        }
    }

    fn log(&self, member: id::MemberId) -> Option<(u64, u64)> {
        self.logs
            .iter()
            .find(|(other, _)| *other == member)
            .map(|(_, log)| *log)
    }

    fn tell_all(&mut self) {
        let now = self.fixture.now;
        for (proxy, knowledge) in (self.tell)(now) {
            self.fixture.handle(Event::ProxyTold {
                group: GROUP,
                proxy,
                asked_at: now,
                knowledge,
            });
        }
    }

    fn answer(&mut self) {
        for _ in 0..50 {
            let effects = self.fixture.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.play(effect);
            }
        }
    }

    fn play(&mut self, effect: Effect) {
        let now = self.fixture.now;
        let now_ms = now.duration_since(self.began).as_millis() as u64;
        let group = GROUP;
        match effect {
            Effect::LoadClaim(_) => {
                self.row.now_ms = now_ms;
                let stored = Some(self.row.clone());
                self.fixture.handle(Event::ClaimLoaded {
                    group,
                    asked_at: now,
                    stored,
                });
            }
            Effect::StoreClaim {
                claim, revision, ..
            } => {
                let outcome = if revision == self.row.revision {
                    self.row.revision = version(revision.version + 1);
                    self.row.claim = claim;
                    StoreOutcome::Written(self.row.revision)
                } else {
                    StoreOutcome::Conflict
                };
                self.fixture.handle(Event::ClaimStored { group, outcome });
            }
            Effect::AskProxies(_) => self.tell_all(),
            Effect::ReadDirectory(_) => {
                if self.tells_at_read {
                    self.tell_all();
                }
                self.fixture.handle(Event::DirectoryLoaded {
                    group,
                    is_read: true,
                });
            }
            Effect::Open { conn, member } => match self.log(member) {
                Some(_) => self.fixture.handle(Event::Opened(conn)),
                None => {
                    let failure = OpenFailure::Refused;
                    self.fixture.handle(Event::OpenFailed { conn, failure });
                }
            },
            Effect::SendCommand {
                member,
                command,
                conn,
                ..
            } => {
                if let Some(conn) = conn {
                    self.fixture.handle(Event::Returned {
                        conn,
                        reusable: true,
                    });
                }
                let held = match command {
                    MemberCommand::Hold(term) => term,
                    MemberCommand::Release { .. } => return,
                    _ => 0,
                };
                let status = self.log(member).map(|log| status(false, log.0, log, held));
                self.fixture.handle(Event::StatusAnswered {
                    group,
                    member,
                    asked_at: now,
                    status,
                });
            }
            Effect::OrderPromotion { member, .. } => {
                self.orders.push((now_ms, member));
                let outcome = self.order;
                self.fixture
                    .handle(Event::PromotionOrdered { group, outcome });
            }
            _ => {}
        }
    }

    /// Runs until a promotion is ordered. Returns the member and the time in ms.
    fn run(&mut self, ms: u64) -> Option<(u64, id::MemberId)> {
        for _ in 0..ms / 50 {
            self.fixture.advance(50);
            self.answer();
            if let Some(order) = self.orders.first() {
                return Some(*order);
            }
        }
        None
    }
}

fn silence(fixture: &mut Fixture, member: id::MemberId) {
    for _ in 0..2 {
        fixture.handle(Event::StatementEnded(StatementReport {
            member,
            answer: Answer::Silent { commit: false },
            point: None,
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(760)),
        }));
    }
}

fn commit(fixture: &mut Fixture, member: id::MemberId, point: (u64, u64)) {
    let sent_at = fixture.now;
    fixture.now += Duration::from_millis(20);
    fixture.handle(Event::StatementEnded(StatementReport {
        member,
        answer: Answer::Led {
            sent_at,
            commit: true,
        },
        point: Some(Point::new(point.0, point.1)),
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(20)),
    }));
}

fn peer(name: &str, domain: &str) -> Peer {
    Peer {
        vm_name: name.into(),
        address: ([127, 0, 0, 1], 7000).into(),
        updates_address: ([127, 0, 0, 1], 8000).into(),
        place: place(domain),
    }
}

fn list_peers(fixture: &mut Fixture, peers: &[(&str, &str)]) {
    for (name, domain) in peers {
        fixture.handle(Event::PeerListed(peer(name, domain)));
    }
    fixture.advance(100);
}

fn points(acknowledged: Option<u64>, answered_end: Option<u64>) -> KnownPoints {
    KnownPoints {
        acknowledged: acknowledged.map(|at| Point::new(1, at)),
        answered_end: answered_end.map(|at| Point::new(1, at)),
        term_start: None,
    }
}

fn knows(acknowledged: Option<u64>, answered_end: Option<u64>) -> GroupKnowledge {
    GroupKnowledge {
        points: points(acknowledged, answered_end),
        ..GroupKnowledge::default()
    }
}

fn missing(entry: Member, until: Instant) -> GroupKnowledge {
    let missing = vec![MissingMember {
        entry,
        awaited_until: until,
        is_silent: true,
    }];
    GroupKnowledge {
        missing,
        ..GroupKnowledge::default()
    }
}

fn unlist(fixture: &mut Fixture, name: &str) {
    fixture.handle(Event::Unlisted {
        name: name.into(),
        revision: version(60),
    });
}

fn two_listed(fixture: &mut Fixture, peers: &[(&str, &str)]) {
    fixture.handle(Event::Configured(topology()));
    for (name, domain) in peers {
        fixture.handle(Event::PeerListed(peer(name, domain)));
    }
    fixture.handle(Event::PeersRead);
    for (member, domain) in [(1, "a"), (2, "b")] {
        fixture.handle(Event::Listed(member_at(member, domain, member == 1)));
    }
    fixture.directory_answers = true;
    fixture.advance(5_000);
    fixture.trust_leader();
    fixture.effects.clear();
}

/// Hypothesis 2: member 3, which has the last commits, has no entry and was never known here; no home answers.
#[test]
fn fresh_claimant_waits_for_answer_of_home() {
    let mut fixture = Fixture::starting();
    two_listed(&mut fixture, &[("a1", "a"), ("b1", "b"), ("c1", "c")]);
    silence(&mut fixture, 1);
    let mut world = World::new(fixture, &[(2, (1, 281))]);
    assert_eq!(world.run(10_000), None);
}

/// The home told before the old leader's trust had ended, and its second answer does not come.
#[test]
fn answer_to_question_before_end_of_leases_proves_nothing() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    silence(&mut fixture, 1);
    let until = fixture.now + Duration::from_secs(20);
    let mut world = World::new(fixture, &[(2, (1, 310)), (3, (1, 281))]);
    world.tells_at_read = false;
    world.tell = Box::new(move |_| {
        let mut told = missing(member_at(4, "d", false), until);
        told.points = points(None, Some(310));
        vec![(id::of("b1"), told)]
    });
    assert_eq!(world.run(5_000), None);
}

/// The home that had sent the last commits has started again.
#[test]
fn home_that_has_started_again_proves_nothing() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    commit(&mut fixture, 1, (1, 300));
    fixture.advance(2_000);
    silence(&mut fixture, 1);
    let until = fixture.now + Duration::from_secs(20);
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 281))]);
    world.tell = Box::new(move |_| vec![(id::of("b1"), missing(member_at(4, "d", false), until))]);
    assert_eq!(world.run(5_000), None);
}

/// Member 3 in c counts as gone, so the proxies of c are homes no more, and need not be asked.
#[test]
fn homes_beside_missing_member_have_to_tell() {
    let mut fixture = Fixture::unfenced();
    list_peers(
        &mut fixture,
        &[
            ("a1", "a"),
            ("b1", "b"),
            ("b2", "b"),
            ("c1", "c"),
            ("c2", "c"),
        ],
    );
    commit(&mut fixture, 1, (1, 300));
    unlist(&mut fixture, "member-3");
    let mut world = World::new(fixture, &[(1, (1, 340)), (2, (1, 300))]);
    world.run(4_000);
    assert!(world.fixture.broker.member(3).is_none(), "dropped");
    world.logs.retain(|(member, _)| *member != 1);
    silence(&mut world.fixture, 1);
    // The proxies in c, which have sent the commits up to 340, cannot be reached.
    world.tell = Box::new(|_| {
        let told = |name: &str| (id::of(name), knows(None, Some(300)));
        vec![told("a1"), told("b1"), told("b2")]
    });
    assert_eq!(world.run(3_000), None);
}

/// Member 1 has been replaced by member 2 and follows it; its lapsed entry still says that it leads.
#[test]
fn replaced_leader_without_new_entry_is_awaited() {
    let mut fixture = Fixture::unfenced();
    unlist(&mut fixture, "member-1");
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 2,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(2, 300)),
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(20)),
    }));
    assert_eq!(fixture.leader(), Some(2));
    let mut world = World::new(fixture, &[(2, (2, 340)), (3, (2, 300))]);
    world.run(4_000);
    assert!(world.fixture.broker.member(1).is_none(), "dropped");
    let known = world
        .fixture
        .broker
        .knowledge(world.fixture.now, GROUP)
        .missing
        .len();
    world.logs.retain(|(member, _)| *member != 2);
    silence(&mut world.fixture, 2);
    assert_eq!((known, world.run(3_000)), (1, None));
}

/// A leaving member ends, and its log goes to a new member at its address, which is not listed yet.
#[test]
fn leaving_member_whose_log_moves_is_awaited() {
    let mut fixture = Fixture::unfenced();
    let mut leaving = member_at(3, "c", false);
    leaving.leaving = true;
    leaving.revision = version(50);
    fixture.handle(Event::Listed(leaving));
    unlist(&mut fixture, "member-3");
    let mut world = World::new(fixture, &[(1, (1, 340)), (2, (1, 300))]);
    world.run(4_000);
    assert!(world.fixture.broker.member(3).is_none(), "dropped");
    world.logs.retain(|(member, _)| *member != 1);
    silence(&mut world.fixture, 1);
    assert_eq!(world.run(3_000), None);
}

/// Another proxy, which has dropped the member earlier, shortens the wait of this one.
#[test]
fn longest_wait_for_missing_member_counts() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    silence(&mut fixture, 1);
    let (long, short) = (
        fixture.now + Duration::from_secs(20),
        fixture.now + Duration::from_secs(1),
    );
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 281))]);
    world.tell = Box::new(move |_| {
        let entry = || member_at(4, "d", false);
        vec![
            (id::of("b1"), missing(entry(), long)),
            (id::of("b2"), missing(entry(), short)),
        ]
    });
    assert_eq!(world.run(8_000), None);
}

/// An answer arrives while the platform defers the order.
#[test]
fn deferred_order_is_not_repeated_once_target_lacks_commits() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    silence(&mut fixture, 1);
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 281))]);
    world.tell = Box::new(|_| vec![(id::of("b1"), knows(Some(300), Some(300)))]);
    assert_eq!(world.run(5_000).map(|order| order.1), Some(2));
    let knowledge = knows(Some(340), Some(340));
    let asked_at = world.fixture.now;
    world.fixture.handle(Event::ProxyTold {
        group: GROUP,
        proxy: id::of("b1"),
        asked_at,
        knowledge,
    });
    world.orders.clear();
    assert_eq!(world.run(1_000), None);
}

/// A proxy that does not watch the group keeps a member that has ended for long, and does not ask it.
#[test]
fn member_that_has_ended_is_awaited_briefly_beside_idle_proxy() {
    let mut idle = Fixture::in_domain("far");
    list_peers(&mut idle, &[("a1", "a"), ("b1", "b"), ("c1", "c")]);
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("a1", "a"), ("b1", "b"), ("c1", "c")]);
    unlist(&mut idle, "member-3");
    unlist(&mut fixture, "member-3");
    let mut world = World::new(fixture, &[(1, (1, 300)), (2, (1, 300))]);
    world.run(4_000);
    assert!(world.fixture.broker.member(3).is_none(), "dropped");
    idle.advance(4_000);
    silence(&mut world.fixture, 1);
    world.logs.retain(|(member, _)| *member != 1);
    let lost_ms = world.fixture.now.duration_since(world.began).as_millis() as u64;
    let lag = world.fixture.now - idle.now;
    world.tell = Box::new(move |now| {
        while idle.now + lag < now {
            idle.advance(50);
        }
        let mut told = idle.broker.knowledge(idle.now, GROUP);
        told.points = points(Some(300), Some(300));
        let home = |name: &str| (id::of(name), knows(Some(300), Some(300)));
        vec![(id::of("far"), told), home("a1"), home("b1"), home("c1")]
    });
    let order = world.run(120_000);
    let waited = order.map(|order| order.0 - lost_ms);
    assert!(waited.is_some_and(|ms| ms < 14_000), "waited {waited:?}");
}

/// As before, without the idle proxy: the time that a failover takes beside a dropped member whose log is proven whole.
#[test]
fn member_with_whole_log_is_promoted_beside_dropped_one() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("a1", "a"), ("b1", "b"), ("c1", "c")]);
    unlist(&mut fixture, "member-3");
    let mut world = World::new(fixture, &[(1, (1, 300)), (2, (1, 300))]);
    world.run(4_000);
    silence(&mut world.fixture, 1);
    world.logs.retain(|(member, _)| *member != 1);
    let lost_ms = world.fixture.now.duration_since(world.began).as_millis() as u64;
    world.tell = Box::new(move |_| {
        let home = |name: &str| (id::of(name), knows(Some(300), Some(300)));
        vec![home("a1"), home("b1"), home("c1")]
    });
    let order = world.run(120_000);
    assert!(order.is_some_and(|order| order.0 - lost_ms < 5_000));
}

/// Commits of a group without replication need not be waited for.
#[test]
fn unreplicated_group_does_not_wait_for_missing_member() {
    let mut fixture = Fixture::unfenced();
    let group = Group {
        name: "ledger".into(),
        connections_max: 16,
        sync_replicas: 0,
    };
    fixture.handle(Event::Configured(Topology::new(
        2,
        vec![],
        vec![(GROUP, group)],
    )));
    list_peers(&mut fixture, &[("b1", "b")]);
    silence(&mut fixture, 1);
    let until = fixture.now + Duration::from_secs(8);
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 281))]);
    world.tell = Box::new(move |_| {
        let mut told = missing(member_at(4, "d", false), until);
        told.points = points(Some(300), Some(300));
        vec![(id::of("b1"), told)]
    });
    let order = world.run(20_000);
    assert!(order.is_some_and(|(ms, _)| ms < 5_000), "{order:?}");
}

/// The leader has acknowledged a commit whose answer was lost on the way to this proxy.
#[test]
fn unanswered_commits_need_proof() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    commit(&mut fixture, 1, (1, 300));
    for _ in 0..2 {
        fixture.handle(Event::StatementEnded(StatementReport {
            member: 1,
            answer: Answer::Silent { commit: true },
            point: None,
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(10)),
        }));
    }
    fixture.advance(1_400);
    let until = fixture.now + Duration::from_secs(20);
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 281))]);
    world.tell = Box::new(move |_| {
        let mut told = missing(member_at(4, "d", false), until);
        told.points = points(None, Some(300));
        vec![(id::of("b1"), told)]
    });
    assert_eq!(world.run(5_000), None);
}

/// An odd position of a member must not end the process.
#[test]
fn highest_position_does_not_overflow() {
    let mut fixture = Fixture::unfenced();
    for _ in 0..2 {
        commit(&mut fixture, 1, (1, u64::MAX));
    }
}

/// Control of 3: the home b1 has not told at all.
#[test]
fn home_that_has_not_told_is_awaited() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    commit(&mut fixture, 1, (1, 300));
    fixture.advance(2_000);
    silence(&mut fixture, 1);
    let until = fixture.now + Duration::from_secs(20);
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 281))]);
    world.tell = Box::new(move |_| vec![(id::of("zz"), missing(member_at(4, "d", false), until))]);
    assert_eq!(world.run(5_000), None);
}

/// Control of 6 and 7: an ordinary replica that was dropped is awaited.
#[test]
fn dropped_replica_is_awaited() {
    let mut fixture = Fixture::unfenced();
    unlist(&mut fixture, "member-3");
    let mut world = World::new(fixture, &[(1, (1, 340)), (2, (1, 300))]);
    world.run(4_000);
    assert!(world.fixture.broker.member(3).is_none(), "dropped");
    let known = world.fixture.broker.knowledge(world.fixture.now, GROUP);
    assert_eq!(known.missing.len(), 1, "others learn of it");
    world.logs.retain(|(member, _)| *member != 1);
    silence(&mut world.fixture, 1);
    assert_eq!(world.run(3_000), None);
}

/// Member 2 leads term 3 from (2, 300) on and has written nothing; nobody saw its promotion confirmed.
#[test]
fn point_of_earlier_term_does_not_block_after_unseen_promotion() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    let mut leads = member_at(2, "b", true);
    leads.revision = version(70);
    let mut follows = member_at(1, "a", false);
    follows.revision = version(71);
    fixture.handle(Event::Listed(follows));
    fixture.handle(Event::Listed(leads));
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 2,
        answer: Answer::Led {
            sent_at: fixture.now,
            commit: false,
        },
        point: Some(Point::new(2, 300)),
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(20)),
    }));
    let asked_at = fixture.now;
    let leads = Some(status(true, 3, (2, 300), 0));
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member: 2,
        asked_at,
        status: leads,
    });
    assert_eq!(fixture.leader(), Some(2));
    silence(&mut fixture, 2);
    let mut world = World::new(fixture, &[(1, (2, 300)), (3, (2, 300))]);
    world.tell = Box::new(|_| {
        let points = KnownPoints {
            acknowledged: Some(Point::new(2, 340)),
            answered_end: Some(Point::new(2, 340)),
            term_start: None,
        };
        vec![(
            id::of("b1"),
            GroupKnowledge {
                points,
                ..GroupKnowledge::default()
            },
        )]
    });
    assert!(world.run(120_000).is_some(), "no order in 120 s");
}

/// The claimant does not reach the leader; another proxy passes commands on. No choice can be made beside a missing member.
#[test]
fn leader_is_not_demoted_by_attempt_that_cannot_choose() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    silence(&mut fixture, 1);
    let until = fixture.now + Duration::from_secs(20);
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 300))]);
    world.tell = Box::new(move |_| vec![(id::of("zz"), missing(member_at(4, "d", false), until))]);
    let mut demotions = 0;
    for _ in 0..60 {
        world.fixture.advance(50);
        for _ in 0..50 {
            let effects = world.fixture.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                if let Effect::SendCommand {
                    member: 1,
                    command: MemberCommand::Demote(_),
                    ..
                } = effect
                {
                    demotions += 1;
                }
                world.play(effect);
            }
        }
    }
    assert_eq!((demotions, world.orders.len()), (0, 0));
}

/// Another proxy knows member 3, which has crashed and lost its entry 2 s ago, and has not dropped it yet. The claimant is new.
#[test]
fn silent_member_that_another_proxy_has_not_dropped_yet_is_awaited() {
    let mut home = Fixture::unfenced();
    list_peers(&mut home, &[("proxy-2", "b")]);
    commit(&mut home, 1, (1, 340));
    unlist(&mut home, "member-3");
    let mut other = World::new(home, &[(1, (1, 340)), (2, (1, 300))]);
    other.run(2_000);
    assert!(other.fixture.broker.member(3).is_some(), "not dropped yet");
    let told = other.fixture.broker.knowledge(other.fixture.now, GROUP);
    let named = told.running.iter().any(|member| member.id == 3) || !told.missing.is_empty();
    let mut fixture = Fixture::starting();
    two_listed(&mut fixture, &[("a1", "a")]);
    silence(&mut fixture, 1);
    let mut world = World::new(fixture, &[(2, (1, 300))]);
    world.tell = Box::new(move |_| vec![(id::of("a1"), told.clone())]);
    assert_eq!((named, world.run(5_000)), (true, None));
}

/// Member 3, whose entry is missing, comes back and is listed between the first order and its repetition.
#[test]
fn deferred_order_is_not_repeated_once_member_has_come_back() {
    let mut fixture = Fixture::unfenced();
    list_peers(&mut fixture, &[("b1", "b")]);
    silence(&mut fixture, 1);
    let mut world = World::new(fixture, &[(2, (1, 300)), (3, (1, 281))]);
    world.tell = Box::new(|_| vec![(id::of("b1"), knows(Some(300), Some(300)))]);
    assert_eq!(world.run(5_000).map(|order| order.1), Some(2));
    world
        .fixture
        .handle(Event::Listed(member_at(4, "d", false)));
    world.logs.push((4, (1, 340)));
    world.orders.clear();
    assert_eq!(world.run(1_000), None);
}

/// Without a proxy in the domains of the members, all proxies are homes, and not all of them are asked.
#[test]
fn witnesses_are_bounded() {
    let mut fixture = Fixture::in_domain("far");
    for nth in 0..40 {
        let name = format!("p{nth}");
        fixture.handle(Event::PeerListed(peer(&name, "far")));
    }
    fixture.advance(100);
    assert_eq!(fixture.broker.witnesses(GROUP).len(), 32);
}

/// A crashed member is back under another name, at its address, with its log: it takes part itself.
#[test]
fn member_that_is_back_under_another_name_is_not_awaited() {
    let mut fixture = Fixture::unfenced();
    unlist(&mut fixture, "member-3");
    let mut world = World::new(fixture, &[(1, (1, 340)), (2, (1, 300)), (4, (1, 340))]);
    world.run(4_000);
    assert_eq!(missing_members(&world), 1);
    let mut back = member_at(3, "c", false);
    (back.id, back.name, back.revision) = (4, "member-4".into(), version(70));
    world.fixture.handle(Event::Listed(back));
    assert_eq!(missing_members(&world), 0);
    world.logs.retain(|(member, _)| *member != 1);
    silence(&mut world.fixture, 1);
    assert_eq!(world.run(5_000).map(|order| order.1), Some(4));
}

/// Returns the number of members that the proxy tells others to be missing.
fn missing_members(world: &World) -> usize {
    let fixture = &world.fixture;
    fixture.broker.knowledge(fixture.now, GROUP).missing.len()
}
