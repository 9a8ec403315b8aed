//! Tests of opening connections, and of failures to answer.

mod support;

use fulmarlift_broker::effect::{Effect, StateChange};
use std::time::Duration;

use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport};
use fulmarlift_broker::request::Requirement;
use rstest::rstest;
use support::{Fixture, member_at};

/// Without this line, the log would show a member as unreachable for ever.
#[test]
fn recovery_is_logged_when_a_statement_is_answered() {
    let mut fixture = Fixture::new();
    fixture.add_request(Requirement::Leader);
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grants = fixture.take_grants();
    let report = |answer| StatementReport {
        member: 1,
        answer,
        point: None,
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(300)),
    };
    let changes = |fixture: &mut Fixture| -> Vec<bool> {
        let reachable = |effect| match effect {
            Effect::RecordChange(StateChange::Reachable { reachable, .. }) => Some(reachable),
            _ => None,
        };
        fixture
            .take_effects()
            .into_iter()
            .filter_map(reachable)
            .collect()
    };
    assert_eq!(grants.len(), 2);
    fixture.handle(Event::StatementEnded(report(Answer::Silent {
        commit: false,
    })));
    assert_eq!(changes(&mut fixture), [false]);
    fixture.handle(Event::StatementEnded(report(Answer::Served)));
    assert_eq!(changes(&mut fixture), [true]);
}

/// Thirty writes wait for a member that has no connection left for a second. The proxy must not try a connection per write.
#[test]
fn open_stays_rare_while_member_is_full() {
    let mut fixture = Fixture::new();
    for _ in 0..30 {
        fixture.add_request(Requirement::Leader);
    }
    let mut opened = 0;
    for _ in 0..10 {
        for effect in fixture.take_effects() {
            if let Effect::Open { conn, .. } = effect {
                opened += 1;
                let failure = OpenFailure::Full;
                fixture.handle(Event::OpenFailed { conn, failure });
            }
        }
        fixture.advance(100);
    }
    assert!(
        (1..=12).contains(&opened),
        "{opened} connections were tried"
    );
}

/// Under overload, statements that waited long are sent shortly before their deadline and given up soon after. This must not
/// count as a failure of the member.
#[rstest]
#[case::soon(50, false)]
#[case::after_a_while(400, true)]
fn silence_counts_once_it_has_lasted(#[case] took_ms: u64, #[case] suspect: bool) {
    let mut fixture = Fixture::new();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    fixture.now += Duration::from_millis(took_ms);
    fixture.handle(Event::StatementEnded(StatementReport {
        member: grant.member,
        answer: Answer::Silent { commit: false },
        point: None,
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(took_ms)),
    }));
    assert_eq!(fixture.broker.is_suspect(grant.member), suspect);
}

/// Each open transaction holds a connection. A burst must not open more of them side by side than the member's slots can serve,
/// however many connections the member allows.
#[test]
fn open_is_limited_by_the_statements_that_may_run() {
    const REQUESTS: usize = 10;
    /// Two for each of the member's two slots.
    const STATEMENTS_MAX: usize = 4;
    let mut fixture = Fixture::new();
    for _ in 0..REQUESTS {
        fixture.add_request(Requirement::Leader);
    }
    let mut opened = 0;
    for _ in 0..REQUESTS {
        opened += fixture.open_all().len();
        for grant in fixture.take_grants() {
            let rests = StatementReport {
                member: grant.member,
                answer: Answer::Served,
                point: None,
                floor: None,
                connected_at: None,
                took: Some(Duration::from_millis(5)),
            };
            // The transaction goes on, so the connection is not returned.
            fixture.handle(Event::StatementEnded(rests));
        }
    }
    assert_eq!(opened, STATEMENTS_MAX);
}

/// A command of another proxy uses a connection like one of this proxy: no request gets it meanwhile, and the next one does then.
#[rstest]
#[case::reusable(true)]
#[case::broken(false)]
fn lent_connection_is_in_use_until_it_is_returned(#[case] reusable: bool) {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.broker.lend_connection(1), None);
    let request = fixture.add_request(Requirement::Leader);
    let conn = fixture.open_all()[0];
    let grant = fixture.take_grants()[0];
    assert_eq!((grant.request, grant.conn), (request, conn));
    fixture.end_statement(&grant, Answer::Served, None);
    assert_eq!(fixture.broker.lend_connection(1), Some(conn));
    assert_eq!(fixture.broker.lend_connection(1), None);
    assert_eq!(fixture.broker.connection_and_request_counts().0, 1);
    fixture.add_request(Requirement::Leader);
    assert!(fixture.take_grants().is_empty());
    fixture.handle(Event::Returned { conn, reusable });
    let grants = fixture.take_grants();
    assert_eq!(grants.iter().any(|grant| grant.conn == conn), reusable);
}

/// A member that is dropped while its connection is lent leaves no connection behind.
#[test]
fn lent_connection_of_dropped_member_is_closed_on_return() {
    let mut fixture = Fixture::new();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants()[0];
    fixture.end_statement(&grant, Answer::Served, None);
    let conn = fixture.broker.lend_connection(1);
    let conn = conn.expect("the connection is idle");
    let mut successor = member_at(4, "a", true);
    successor.name = "member-1".into();
    fixture.handle(Event::Listed(successor));
    fixture.take_effects();
    fixture.handle(Event::Returned {
        conn,
        reusable: true,
    });
    assert!(fixture.take_effects().contains(&Effect::Close(conn)));
    assert_eq!(fixture.broker.lend_connection(1), None);
}
