//! Tests of the choice of homes, and of forwarding requests to them.

mod support;

use std::time::Duration;

use fulmarlift_broker::effect::{Effect, Grant};
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport};
use fulmarlift_broker::homes::{self, Candidate};
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::topology::{Member, Peer, Topology};
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, place, version};

fn candidates<'a>(names: &[(&str, &'a str)]) -> Vec<Candidate<'a>> {
    let candidate = |(name, domain): &(&str, &'a str)| Candidate {
        proxy: id::of(name),
        domain,
    };
    names.iter().map(candidate).collect()
}

const PROXIES: [(&str, &str); 8] = [
    ("a1", "a"),
    ("a2", "a"),
    ("a3", "a"),
    ("a4", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("b3", "b"),
    ("c1", "c"),
];

#[test]
fn choose_takes_two_of_each_domain_with_members() {
    let chosen = homes::choose(1, &["a", "b"], &candidates(&PROXIES));
    assert_eq!(chosen.len(), 4);
    assert!(!chosen.contains(&id::of("c1")), "no member is in domain c");
}

#[test]
fn choose_moves_one_home_when_one_proxy_leaves() {
    let all = candidates(&PROXIES);
    let before = homes::choose(1, &["a"], &all);
    let left: Vec<_> = all
        .iter()
        .filter(|candidate| candidate.proxy != before[0])
        .copied()
        .collect();
    let after = homes::choose(1, &["a"], &left);
    let kept = before.iter().filter(|home| after.contains(home)).count();
    assert_eq!(kept, before.len() - 1);
}

#[test]
fn choose_takes_everyone_where_no_proxy_is_near() {
    let chosen = homes::choose(1, &["x"], &candidates(&PROXIES));
    assert_eq!(chosen.len(), PROXIES.len());
}

/// Creates a proxy in a domain without members, with two other proxies in each domain that has a member.
fn remote_proxy() -> Fixture {
    let mut fixture = Fixture::in_domain("far");
    for domain in ["a", "b", "c"] {
        for nth in 1..=2 {
            fixture.handle(Event::PeerListed(Peer {
                vm_name: format!("{domain}{nth}").into(),
                address: ([127, 0, 0, 1], 7000 + nth).into(),
                updates_address: ([127, 0, 0, 1], 8000 + nth).into(),
                place: place(domain),
            }));
        }
    }
    fixture.effects.clear();
    fixture
}

/// When hundreds of proxies start together, each of them learns of all others within a moment.
#[rstest]
#[case::of_30(30)]
#[case::of_100(100)]
#[case::of_300(300)]
#[case::of_1000(1_000)]
fn homes_are_chosen_rarely_whatever_the_number_of_proxies(#[case] proxies: u16) {
    let mut fixture = Fixture::in_domain("far");
    let before = fixture.broker.home_choices();
    for nth in 1..=proxies {
        fixture.handle(Event::PeerListed(Peer {
            vm_name: format!("vm-{nth}").into(),
            address: ([127, 0, 0, 1], 7000 + nth).into(),
            updates_address: ([127, 0, 0, 1], 8000 + nth).into(),
            place: place(["a", "b", "c"][usize::from(nth % 3)]),
        }));
    }
    fixture.advance(10_000);
    assert_eq!(fixture.broker.home_choices() - before, 1);
    assert!(fixture.broker.forwards_requests(GROUP));
}

#[test]
fn arrived_is_forwarded_by_proxy_that_is_no_home() {
    let mut fixture = remote_proxy();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    assert!(fixture.broker.is_home(grant.member));
    assert!(!grant.verify, "the home verifies the leader itself");
}

#[test]
fn arrived_is_served_here_when_no_home_can_be_reached() {
    let mut fixture = remote_proxy();
    for _ in 0..20 {
        fixture.add_request_within(Requirement::Leader, 2_000, 2_000);
        for effect in fixture.take_effects() {
            if let Effect::Open { conn, member } = effect {
                let failure = OpenFailure::Refused;
                match fixture.broker.is_home(member) {
                    true => fixture.handle(Event::OpenFailed { conn, failure }),
                    false => fixture.handle(Event::Opened(conn)),
                }
            }
        }
        let granted = fixture.take_grants();
        if let Some(grant) = granted.first() {
            assert!(!fixture.broker.is_home(grant.member));
            return;
        }
        fixture.advance(20);
    }
    panic!("no request was served here");
}

#[test]
fn arrived_is_not_forwarded_twice() {
    let mut fixture = remote_proxy();
    let now = fixture.now;
    fixture.handle(Event::Arrived(Request {
        id: 900,
        group: GROUP,
        requirement: Requirement::Leader,
        priority: 1,
        objective_at: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(800),
        avoid: None,
        hedge: false,
        forwarded: true,
        workspace: None,
    }));
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    assert!(!fixture.broker.is_home(grant.member));
}

#[test]
fn tick_opens_nothing_before_other_proxies_are_known() {
    let mut fixture = Fixture::before_peers_read("a");
    fixture.advance(2_000);
    let opens = |effect: &Effect| matches!(effect, Effect::Open { .. });
    assert!(!fixture.effects.iter().any(opens));
}

const OTHER_GROUP: id::GroupId = 8;

/// Adds a second group with three other members, which has the same homes.
fn add_group(fixture: &mut Fixture) {
    let first = support::topology();
    let group = first
        .groups
        .get(GROUP)
        .expect("the group is configured")
        .clone();
    let routes = first
        .route(support::DATABASE)
        .cloned()
        .into_iter()
        .collect();
    let groups = vec![(GROUP, group.clone()), (OTHER_GROUP, group)];
    fixture.handle(Event::Configured(Topology::new(2, routes, groups)));
    for (member, domain) in [(4, "a"), (5, "b"), (6, "c")] {
        fixture.handle(Event::Listed(Member {
            group: OTHER_GROUP,
            ..support::member_at(member, domain, member == 4)
        }));
    }
    fixture.advance(100);
    fixture.effects.clear();
}

fn add_request_to(fixture: &mut Fixture, group: id::GroupId, id: id::RequestId) {
    let now = fixture.now;
    fixture.handle(Event::Arrived(Request {
        id,
        group,
        requirement: Requirement::Leader,
        priority: 1,
        objective_at: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(800),
        avoid: None,
        hedge: false,
        forwarded: false,
        workspace: None,
    }));
}

/// Ends a statement whose answer did not come in time.
fn end_without_answer(fixture: &mut Fixture, grant: &Grant, took_ms: u64) {
    fixture.handle(Event::StatementEnded(StatementReport {
        member: grant.member,
        answer: Answer::Silent { commit: false },
        point: None,
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(took_ms)),
    }));
    fixture.handle(Event::Returned {
        conn: grant.conn,
        reusable: false,
    });
}

/// Adds so many requests that every usable home gets at least one, and returns their grants.
fn spread_over_homes(fixture: &mut Fixture, group: id::GroupId) -> Vec<Grant> {
    let mut grants = Vec::new();
    for id in 800..830 {
        add_request_to(fixture, group, id);
        fixture.open_all();
        grants.extend(fixture.take_grants());
    }
    grants
}

fn home_name(fixture: &Fixture, member: id::MemberId) -> Box<str> {
    let home = fixture.broker.member(member).expect("the home is known");
    home.name.clone()
}

#[test]
fn silent_home_is_avoided_for_other_groups_too() {
    let mut fixture = remote_proxy();
    add_group(&mut fixture);
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    let silent = home_name(&fixture, grant.member);
    fixture.now += Duration::from_millis(760);
    end_without_answer(&mut fixture, &grant, 760);
    let used = spread_over_homes(&mut fixture, OTHER_GROUP);
    assert!(used.len() > 1);
    assert!(
        used.iter()
            .all(|grant| home_name(&fixture, grant.member) != silent)
    );
}

/// A home whose group has no leader must refuse what was forwarded to it before the forwarding proxy gives up. Otherwise all
/// proxies take the home for dead, close their connections to it and open new ones at the same time.
#[test]
fn forwarded_request_is_refused_before_its_deadline() {
    let mut fixture = Fixture::new();
    let mut entry = member_at(1, "a", false);
    entry.revision = version(9);
    fixture.handle(Event::Listed(entry));
    fixture.advance(950);
    let id = fixture.add_request_within(Requirement::Leader, 500, 2_000);
    let deadline = fixture.now + Duration::from_millis(2_000);
    let refused = |fixture: &Fixture| {
        fixture
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::Refuse(refusal) if refusal.request == id))
    };
    // The shell's timer: the next tick or the next expiry.
    while !refused(&fixture) {
        let tick_at = fixture.now + Duration::from_millis(97);
        let expiry = fixture.broker.next_expiry().filter(|at| *at < tick_at);
        fixture.now = expiry.unwrap_or(tick_at);
        fixture.handle(match expiry {
            Some(_) => Event::RequestsExpired,
            None => Event::Tick,
        });
    }
    assert!(fixture.now + Duration::from_millis(10) < deadline);
}

#[test]
fn arrived_does_not_wait_for_home_that_has_failed() {
    let mut fixture = remote_proxy();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    fixture.now += Duration::from_millis(760);
    end_without_answer(&mut fixture, &grant, 760);
    fixture.effects.clear();
    // The back-off is over, but the home has not answered since.
    fixture.advance(200);
    fixture.add_request(Requirement::Leader);
    let failed_home_tried = open_except(&mut fixture, |member| member == grant.member);
    assert!(
        failed_home_tried,
        "the proxy connects to the failed home in the background"
    );
    let granted = fixture.take_grants();
    assert_eq!(granted.len(), 1, "another home takes the request meanwhile");
}

#[test]
fn home_that_is_back_is_used_for_all_groups() {
    let mut fixture = remote_proxy();
    add_group(&mut fixture);
    add_request_to(&mut fixture, OTHER_GROUP, 901);
    fixture.open_all();
    let first = fixture.take_grants().remove(0);
    fixture.end_statement(&first, Answer::Served, None);
    fixture.now += Duration::from_millis(10);
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    fixture.now += Duration::from_millis(760);
    end_without_answer(&mut fixture, &grant, 760);
    fixture.effects.clear();
    fixture.advance(200);
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let name = home_name(&fixture, grant.member);
    assert!(!fixture.broker.is_suspect(id::member(GROUP, &name)));
    assert!(!fixture.broker.is_suspect(id::member(OTHER_GROUP, &name)));
}

#[test]
fn silent_statement_says_nothing_about_home_that_answers_others() {
    let mut fixture = remote_proxy();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let silent = fixture.take_grants().remove(0);
    fixture.now += Duration::from_millis(400);
    let others = spread_over_homes(&mut fixture, GROUP);
    let same = others.iter().find(|grant| grant.member == silent.member);
    let other = same.expect("the home runs another statement");
    fixture.end_statement(other, Answer::Served, None);
    fixture.now += Duration::from_millis(360);
    end_without_answer(&mut fixture, &silent, 760);
    assert!(!fixture.broker.is_suspect(silent.member));
}

#[test]
fn arrived_does_not_wait_for_home_that_was_never_reached() {
    let mut fixture = remote_proxy();
    fixture.add_request(Requirement::Leader);
    let first = fixture
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Open { conn, member } => Some((conn, member)),
            _ => None,
        });
    let (conn, home) = first.expect("a connection is opened");
    fixture.handle(Event::Opened(conn));
    assert_eq!(fixture.take_grants().len(), 1);
    // This home is busy, so another one would cost a little less if it had answered before.
    fixture.add_request(Requirement::Leader);
    let others_opened = open_except(&mut fixture, |member| member != home);
    let granted = fixture.take_grants();
    assert_eq!(
        granted.len(),
        1,
        "the home that has answered takes the request"
    );
    assert_eq!(granted[0].member, home);
    assert!(
        !others_opened,
        "connections to the other homes are opening already"
    );
}

/// Opens all requested connections except those to excluded members. Returns whether any connection was excluded.
fn open_except(fixture: &mut Fixture, excluded: impl Fn(id::MemberId) -> bool) -> bool {
    let mut any_excluded = false;
    for effect in fixture.take_effects() {
        match effect {
            Effect::Open { member, .. } if excluded(member) => any_excluded = true,
            Effect::Open { conn, .. } => fixture.handle(Event::Opened(conn)),
            other => fixture.effects.push(other),
        }
    }
    any_excluded
}

/// A request that requires the leader must go to a home in the leader's domain. Through any other home it would cross
/// domains twice.
#[test]
fn arrived_for_leader_is_forwarded_to_its_domain() {
    let mut fixture = remote_proxy();
    for (leader, domain) in [(1, "a"), (2, "b"), (3, "c")] {
        fixture.handle(Event::Listed(Member {
            revision: version(10 + leader),
            ..support::member_at(leader, domain, true)
        }));
        fixture.advance(100);
        fixture.add_request(Requirement::Leader);
        fixture.open_all();
        for grant in fixture.take_grants() {
            let home = fixture
                .broker
                .member(grant.member)
                .expect("the home is known");
            assert_eq!(*home.place.domain, *domain, "member {leader} leads there");
            fixture.end_statement(&grant, Answer::Served, None);
        }
    }
}

/// An overloaded home refuses requests at once. Its short answer times must not attract the requests of all proxies.
#[test]
fn home_that_refuses_is_left_for_another() {
    let mut fixture = remote_proxy();
    let mut served = 0;
    let mut refusing = None;
    for _ in 0..40 {
        fixture.add_request(Requirement::Leader);
        fixture.open_all();
        for grant in fixture.take_grants() {
            let refuses = *refusing.get_or_insert(grant.member) == grant.member;
            served += usize::from(!refuses);
            let answer = if refuses {
                Answer::Busy
            } else {
                Answer::Served
            };
            let took_ms = if refuses { 1 } else { 30 };
            fixture.now += Duration::from_millis(took_ms);
            fixture.handle(Event::StatementEnded(StatementReport {
                member: grant.member,
                answer,
                point: None,
                floor: None,
                connected_at: None,
                took: Some(Duration::from_millis(took_ms)),
            }));
            let (conn, reusable) = (grant.conn, true);
            fixture.handle(Event::Returned { conn, reusable });
        }
    }
    assert!(served >= 25, "{served} of 40 requests served");
}

/// After the restart of a home, each open connection to it would break under another attempt of the same statement.
#[test]
fn broken_connection_closes_others_to_the_same_home() {
    let mut fixture = remote_proxy();
    let mut granted = Vec::new();
    for _ in 0..12 {
        fixture.add_request(Requirement::Leader);
        fixture.open_all();
        granted.extend(fixture.take_grants());
    }
    let home = granted[0].member;
    let same_home: Vec<_> = granted
        .iter()
        .filter(|grant| grant.member == home)
        .cloned()
        .collect();
    assert!(same_home.len() > 1);
    for grant in &same_home[1..] {
        fixture.end_statement(grant, Answer::Served, None);
    }
    fixture.effects.clear();
    fixture.handle(Event::StatementEnded(StatementReport {
        member: home,
        answer: Answer::Broken,
        point: None,
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(1)),
    }));
    let closed = |effect: &Effect| matches!(effect, Effect::Close(conn) if same_home[1..].iter().any(|grant| grant.conn == *conn));
    let closed = fixture
        .effects
        .iter()
        .filter(|effect| closed(effect))
        .count();
    assert_eq!(closed, same_home.len() - 1);
}
