//! Tests of leader detection.

mod support;

use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport};
use fulmarlift_broker::leader::{KnownPoints, TermStart};
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use std::time::Duration;
use support::{Fixture, member_at, version};

/// Fails all requested connections as if the members' processes refused them.
fn refuse_connections(fixture: &mut Fixture) {
    for effect in fixture.take_effects() {
        if let Effect::Open { conn, .. } = effect {
            let failure = OpenFailure::Refused;
            fixture.handle(Event::OpenFailed { conn, failure });
        }
    }
}

#[test]
fn elect_follows_entry_newer_than_dead_leader() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.leader(), Some(1));
    for _ in 0..4 {
        fixture.add_request(Requirement::Leader);
        refuse_connections(&mut fixture);
        fixture.advance(200);
    }
    // The old leader's entry still says that it leads when another member's entry begins to say so.
    let mut entry = member_at(2, "b", true);
    entry.revision = version(9);
    fixture.handle(Event::Listed(entry));
    assert_eq!(fixture.leader(), Some(2));
    fixture.handle(Event::Unlisted {
        name: "member-1".into(),
        revision: version(99),
    });
    fixture.advance(3_000);
    assert_eq!(fixture.leader(), Some(2));
}

#[test]
fn elect_keeps_leader_confirmed_after_older_entry() {
    let mut fixture = Fixture::new();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    let grant = fixture.take_grants().remove(0);
    let sent_at = fixture.now;
    let led = fulmarlift_broker::event::Answer::Led {
        sent_at,
        commit: true,
    };
    let point = Some(fulmarlift_core::floor::Point::new(3, 10));
    fixture.end_statement(&grant, led, point);
    // Another member's entry changes, but does not say that the member leads.
    let mut other = member_at(2, "b", false);
    other.revision = version(9);
    fixture.handle(Event::Listed(other));
    assert_eq!(fixture.leader(), Some(1));
}

/// Ends a commit at the leader in this way, 760 ms after it was sent.
fn end_commit(fixture: &mut Fixture, answer: Answer) {
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 1,
        answer,
        point: Some(Point::new(3, 10)),
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(760)),
    }));
}

fn count_claim_loads(fixture: &mut Fixture) -> usize {
    let is_load = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    fixture
        .take_effects()
        .iter()
        .filter(|effect| is_load(effect))
        .count()
}

#[test]
fn verdict_replaces_leader_whose_commits_do_not_end() {
    let mut fixture = Fixture::new();
    let lost = Answer::Silent { commit: true };
    end_commit(&mut fixture, lost);
    end_commit(&mut fixture, lost);
    fixture.advance(800);
    assert_eq!(
        count_claim_loads(&mut fixture),
        1,
        "1.5 s after the first was sent"
    );
}

#[test]
fn verdict_keeps_leader_that_others_commit_at() {
    let mut fixture = Fixture::new();
    let lost = Answer::Silent { commit: true };
    let ended = Answer::Led {
        sent_at: fixture.now,
        commit: true,
    };
    for _ in 0..10 {
        end_commit(&mut fixture, ended);
        end_commit(&mut fixture, lost);
        end_commit(&mut fixture, lost);
        fixture.advance(500);
    }
    assert_eq!(count_claim_loads(&mut fixture), 0);
}

/// No log can have what a promotion has rolled back, so no later choice may wait for it.
#[test]
fn required_leaves_out_commits_that_promotion_rolled_back() {
    let points = |acknowledged, term_start| KnownPoints {
        acknowledged,
        answered_end: acknowledged,
        term_start,
    };
    let start = TermStart {
        term: 3,
        log_end: Point::new(2, 290),
    };
    let mut known = points(Some(Point::new(2, 340)), None);
    assert_eq!(known.required(), Some(Point::new(2, 340)));
    known.merge(points(Some(Point::new(2, 310)), Some(start)));
    assert_eq!(known.required(), Some(Point::new(2, 290)));
    assert_eq!(known.sufficient(), Some(Point::new(2, 290)));
    known.merge(points(Some(Point::new(3, 291)), None));
    assert_eq!(known.required(), Some(Point::new(3, 291)));
}
