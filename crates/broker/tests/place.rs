//! Tests of the choice of a member, under load and with replicas that are behind.
//!
//! In [`Fixture`], members 1 to 3 are in domains a to c, member 1 leads, and each member has two slots.

mod support;

use fulmarlift_broker::effect::{Effect, Grant};
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::topology::Peer;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use std::time::Duration;
use support::{Fixture, GROUP, version};

/// Records a sample of the leader's log by ending a write at this position.
fn record_sample(fixture: &mut Fixture, position: u64) {
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    let led = Answer::Led {
        sent_at: fixture.now,
        commit: true,
    };
    fixture.end_statement(&grant, led, Some(Point::new(3, position)));
}

fn recent_requirement(fixture: &Fixture, session_commit: Option<Point>) -> Requirement {
    let acknowledged_before = fixture.now - Duration::from_millis(1_500);
    Requirement::Recent {
        acknowledged_before,
        session_commit,
    }
}

/// Adds a read, opens the connections that it needs, and returns its grant.
fn grant_read(fixture: &mut Fixture, session_commit: Option<Point>) -> Grant {
    let requirement = recent_requirement(fixture, session_commit);
    fixture.add_request(requirement);
    fixture.open_all();
    fixture.take_grants().remove(0)
}

#[test]
fn read_goes_to_near_replica_rather_than_far_one() {
    let mut fixture = Fixture::in_domain("b");
    record_sample(&mut fixture, 10);
    assert_eq!(grant_read(&mut fixture, None).member, 2);
}

#[test]
fn replica_that_is_behind_keeps_reads_with_lower_floor() {
    let mut fixture = Fixture::in_domain("b");
    record_sample(&mut fixture, 10);
    let session_commit = Some(Point::new(3, 12));
    let grant = grant_read(&mut fixture, session_commit);
    assert_eq!((grant.member, grant.floor), (2, session_commit));
    fixture.end_statement(&grant, Answer::Behind, Some(Point::new(3, 11)));
    let other = grant_read(&mut fixture, None);
    assert_eq!(
        other.member, 2,
        "member 2 has reached the point that this read requires"
    );
    fixture.end_statement(&other, Answer::Served, Some(Point::new(3, 11)));
    assert_ne!(grant_read(&mut fixture, session_commit).member, 2);
}

/// The homes of a group share twice the slots of a member, and each may use at least two. Otherwise, when all proxies start at
/// once, each home could open as many connections as a single proxy may use. Each connection takes a slot while it is set up,
/// and more statements than that only move the queue to the member.
#[test]
fn slots_are_shared_by_homes() {
    let granted_at = |peers: &[(&str, &str)]| {
        let mut fixture = Fixture::in_domain("b");
        for (nth, (name, domain)) in (1..).zip(peers) {
            fixture.handle(Event::PeerListed(Peer {
                vm_name: (*name).into(),
                address: ([127, 0, 0, 1], 7000 + nth).into(),
                updates_address: ([127, 0, 0, 1], 8000 + nth).into(),
                place: support::place(domain),
            }));
        }
        record_sample(&mut fixture, 10);
        let mut granted = Vec::new();
        for _ in 0..12 {
            let requirement = recent_requirement(&fixture, None);
            fixture.add_request(requirement);
            fixture.open_all();
            granted.extend(fixture.take_grants());
        }
        granted.iter().filter(|grant| grant.member == 2).count()
    };
    assert_eq!(granted_at(&[]), 4, "a single proxy: twice the slots");
    let others = [
        ("a1", "a"),
        ("a2", "a"),
        ("b1", "b"),
        ("c1", "c"),
        ("c2", "c"),
    ];
    assert_eq!(
        granted_at(&others),
        2,
        "one of six homes: two, though its share is smaller"
    );
}

#[test]
fn busy_lets_fewer_statements_run_side_by_side() {
    let mut fixture = Fixture::in_domain("b");
    record_sample(&mut fixture, 10);
    let concurrency = |fixture: &mut Fixture| {
        let mut granted = Vec::new();
        for _ in 0..12 {
            let requirement = recent_requirement(fixture, None);
            fixture.add_request(requirement);
            fixture.open_all();
            granted.extend(fixture.take_grants());
        }
        let near = granted.iter().filter(|grant| grant.member == 2).count();
        for grant in &granted {
            let answer = if grant.member == 2 {
                Answer::Busy
            } else {
                Answer::Served
            };
            fixture.end_statement(grant, answer, None);
        }
        fixture.advance(100);
        near
    };
    let before = concurrency(&mut fixture);
    let after = concurrency(&mut fixture);
    assert_eq!(before, 4, "twice the slots");
    assert!(
        (1..before).contains(&after),
        "{after} statements after {before}"
    );
}

/// In a slow group, a hedge must not double the load of the slow member.
#[test]
fn hedge_is_refused_where_no_other_member_can_serve() {
    let mut fixture = Fixture::in_domain("a");
    record_sample(&mut fixture, 10);
    for member in [2, 3] {
        fixture.handle(Event::Unlisted {
            name: format!("member-{member}").into(),
            revision: version(99),
        });
    }
    let first = grant_read(&mut fixture, None);
    let now = fixture.now;
    fixture.handle(Event::Arrived(Request {
        id: 900,
        group: GROUP,
        requirement: recent_requirement(&fixture, None),
        priority: 1,
        objective_at: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(800),
        avoid: Some(first.member),
        hedge: true,
        forwarded: false,
        workspace: None,
    }));
    let refused =
        |effect: &Effect| matches!(effect, Effect::Refuse(refusal) if refusal.request == 900);
    assert!(fixture.effects.iter().any(refused));
}

/// At three times the load that the group can serve, requests that would be served too late are refused at once.
#[test]
fn request_is_refused_on_arrival_if_its_wait_is_too_long() {
    let mut fixture = Fixture::in_domain("a");
    record_sample(&mut fixture, 10);
    let mut running: Vec<(u64, Grant)> = Vec::new();
    let (mut served, mut refused_late, mut refused) = (0, 0, 0);
    let mut arrived_at: Vec<(id::RequestId, u64)> = Vec::new();
    for ms in 0..3_000_u64 {
        fixture.now += Duration::from_millis(1);
        if ms % 100 == 0 {
            fixture.handle(Event::Tick);
        }
        // Three members with two slots run two statements per slot, 12 in all, of 40 ms each: 300 per second. 900 arrive.
        if ms % 10 != 9 {
            let requirement = recent_requirement(&fixture, None);
            arrived_at.push((fixture.add_request(requirement), ms));
        }
        fixture.open_all();
        running.extend(
            fixture
                .take_grants()
                .into_iter()
                .map(|grant| (ms + 40, grant)),
        );
        let (done, rest) = running.into_iter().partition(|(until, _)| *until <= ms);
        running = rest;
        let done: Vec<(u64, Grant)> = done;
        for (_, grant) in done {
            served += 1;
            fixture.handle(Event::StatementEnded(StatementReport {
                member: grant.member,
                answer: Answer::Served,
                point: Some(Point::new(3, 10)),
                floor: grant.floor,
                connected_at: None,
                took: Some(Duration::from_millis(40)),
            }));
            let (conn, reusable) = (grant.conn, true);
            fixture.handle(Event::Returned { conn, reusable });
        }
        if ms % 500 == 0 {
            record_sample_without_connection(&mut fixture);
        }
        fixture.open_all();
        running.extend(
            fixture
                .take_grants()
                .into_iter()
                .map(|grant| (ms + 40, grant)),
        );
        for effect in fixture.take_effects() {
            if let Effect::Refuse(refusal) = effect {
                refused += 1;
                let arrived = arrived_at.iter().find(|(id, _)| *id == refusal.request);
                let waited = arrived.map_or(0, |(_, at)| ms - at);
                refused_late += u32::from(waited > 125);
                assert!(refusal.retry_at > fixture.now);
            }
        }
    }
    // A refusal counts as late more than 125 ms after the arrival; at most 2 % may be late.
    assert!(served > 700, "{served} served");
    assert!(refused > 500, "{refused} refused");
    assert!(
        refused_late * 50 < refused,
        "{refused_late} of {refused} refused late"
    );
}

/// Records a sample of the leader's log by the answer to a statement that uses no slot, without a connection.
fn record_sample_without_connection(fixture: &mut Fixture) {
    let led = Answer::Led {
        sent_at: fixture.now,
        commit: false,
    };
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer: led,
        point: Some(Point::new(3, 10)),
        floor: None,
        connected_at: None,
        took: None,
    }));
}

/// At the start, the first requests wait for connections that are being opened. This must not count as overload.
#[test]
fn request_is_not_refused_while_first_connections_open() {
    let mut fixture = Fixture::in_domain("a");
    record_sample_without_connection(&mut fixture);
    for _ in 0..10 {
        let requirement = recent_requirement(&fixture, None);
        fixture.add_request(requirement);
        fixture.now += Duration::from_millis(10);
    }
    let refused = |effect: &Effect| matches!(effect, Effect::Refuse(_));
    assert!(!fixture.effects.iter().any(refused));
    fixture.open_all();
    assert!(!fixture.take_grants().is_empty());
}

/// After an outage, requests that have missed their objective arrive together with new ones. The new ones must go first.
#[test]
fn requests_past_objective_go_after_those_in_time() {
    let mut fixture = Fixture::in_domain("b");
    record_sample(&mut fixture, 10);
    let granted = fill_leader(&mut fixture);
    let late = fixture.add_request_within(Requirement::Leader, 0, 800);
    let fresh = fixture.add_request_within(Requirement::Leader, 500, 800);
    let late_too = fixture.add_request_within(Requirement::Leader, 0, 800);
    let refused = |effect: &Effect| matches!(effect, Effect::Refuse(_));
    assert!(
        !fixture.effects.iter().any(refused),
        "all requests can be answered"
    );
    let led = Answer::Led {
        sent_at: fixture.now,
        commit: true,
    };
    fixture.end_statement(&granted[0], led, Some(Point::new(3, 11)));
    fixture.end_statement(&granted[1], led, Some(Point::new(3, 12)));
    fixture.end_statement(&granted[2], led, Some(Point::new(3, 13)));
    let order: Vec<_> = fixture
        .take_grants()
        .iter()
        .map(|grant| grant.request)
        .collect();
    assert_eq!(order, [fresh, late, late_too]);
}

/// Under overload, a request that cannot meet its objective any more must not go first. It would be served just too late,
/// and so would each request after it.
#[test]
fn request_that_cannot_meet_objective_goes_last() {
    let mut fixture = Fixture::in_domain("b");
    record_sample(&mut fixture, 10);
    let granted = fill_leader(&mut fixture);
    // `Fixture::end_statement` reports 10 ms for each answer.
    let hopeless = fixture.add_request_within(Requirement::Leader, 5, 800);
    let fresh = fixture.add_request_within(Requirement::Leader, 500, 800);
    let led = Answer::Led {
        sent_at: fixture.now,
        commit: true,
    };
    fixture.end_statement(&granted[0], led, Some(Point::new(3, 11)));
    fixture.end_statement(&granted[1], led, Some(Point::new(3, 12)));
    let order: Vec<_> = fixture
        .take_grants()
        .iter()
        .map(|grant| grant.request)
        .collect();
    assert_eq!(order, [fresh, hopeless]);
}

/// Adds writes until the leader's allowance is used up, and returns their grants.
fn fill_leader(fixture: &mut Fixture) -> Vec<Grant> {
    let mut granted = Vec::new();
    loop {
        let waiting = fixture.add_request_within(Requirement::Leader, 2_000, 2_000);
        fixture.open_all();
        let grants = fixture.take_grants();
        if grants.is_empty() {
            fixture.handle(Event::Abandoned(waiting));
            return granted;
        }
        granted.extend(grants);
    }
}

/// A reachable member answers statements with errors or breaks their connections. Reads must go to a more distant member, and
/// come back after four half-lives (8 s) of the error rate.
#[rstest]
#[case::answers(Answer::Failed)]
#[case::resets(Answer::Broken)]
fn reads_leave_member_that_fails_statements(#[case] failure: Answer) {
    let mut fixture = Fixture::in_domain("b");
    record_sample(&mut fixture, 10);
    let mut to_near = Vec::new();
    for nth in 0..40 {
        let grant = grant_read(&mut fixture, None);
        to_near.push(grant.member == 2);
        let fails = grant.member == 2 && nth % 2 == 0;
        let answer = if fails { failure } else { Answer::Served };
        fixture.now += Duration::from_millis(5);
        fixture.end_statement(&grant, answer, Some(Point::new(3, 10)));
        record_sample_without_connection(&mut fixture);
    }
    let late = to_near[20..].iter().filter(|to_near| **to_near).count();
    assert!(late <= 5, "{late} of 20 reads still go to member 2");
    fixture.now += Duration::from_secs(8);
    record_sample_without_connection(&mut fixture);
    assert_eq!(
        grant_read(&mut fixture, None).member,
        2,
        "member 2 gets reads again"
    );
}

/// Under overload, a statement that would be given up before its answer is refused instead of being sent, so that its caller
/// knows that it has not run.
#[test]
fn grant_is_not_given_when_too_little_time_is_left() {
    let mut fixture = Fixture::in_domain("a");
    record_sample(&mut fixture, 10);
    let granted = fill_leader(&mut fixture);
    let waiting = fixture.add_request_within(Requirement::Leader, 0, 800);
    // `Fixture::end_statement` reports 10 ms for each answer.
    fixture.now += Duration::from_millis(797);
    let led = Answer::Led {
        sent_at: fixture.now,
        commit: true,
    };
    fixture.end_statement(&granted[0], led, Some(Point::new(3, 11)));
    assert!(fixture.take_grants().is_empty());
    let refused =
        |effect: &Effect| matches!(effect, Effect::Refuse(refusal) if refusal.request == waiting);
    assert!(fixture.effects.iter().any(refused));
}
