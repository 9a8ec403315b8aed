//! What a proxy believes about the members that the directory does not list.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{Effect, StateChange};
use fulmarlift_broker::event::{Answer, DirectoryContact, Event, OpenFailure, StatementReport};
use fulmarlift_broker::request::{Request, Requirement};
use fulmarlift_broker::topology::{Member, Peer};
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, place, version};

/// Creates a proxy in a domain without members, which forwards requests to the homes in the domains of the members.
fn remote_proxy() -> Fixture {
    let mut fixture = Fixture::in_domain("far");
    for domain in ["a", "b", "c"] {
        fixture.handle(Event::PeerListed(Peer {
            vm_name: format!("home-{domain}").into(),
            address: ([127, 0, 0, 1], 7000).into(),
            updates_address: ([127, 0, 0, 1], 8000).into(),
            place: place(domain),
        }));
    }
    fixture.advance(100);
    fixture.effects.clear();
    fixture
}

fn unlist(fixture: &mut Fixture, member: id::MemberId) {
    fixture.handle(Event::Unlisted {
        name: format!("member-{member}").into(),
        revision: version(60),
    });
}

/// Lets a request arrive that another proxy has forwarded, so that this proxy watches the group.
fn add_forwarded_request(fixture: &mut Fixture) {
    fixture.handle(Event::Arrived(Request {
        id: 900,
        group: GROUP,
        requirement: Requirement::Leader,
        priority: 1,
        objective_at: fixture.now + Duration::from_millis(500),
        deadline: fixture.now + Duration::from_millis(800),
        avoid: None,
        hedge: false,
        forwarded: true,
        workspace: None,
    }));
}

/// Takes all effects, lets connections to `member` end so, and opens the others. Returns the number of those to `member`.
fn end_connections(
    fixture: &mut Fixture,
    member: id::MemberId,
    failure: Option<OpenFailure>,
) -> usize {
    let mut asked = 0;
    for effect in fixture.take_effects() {
        let Effect::Open { conn, member: to } = effect else {
            continue;
        };
        asked += usize::from(to == member);
        match failure {
            Some(failure) if to == member => fixture.handle(Event::OpenFailed { conn, failure }),
            _ => fixture.handle(Event::Opened(conn)),
        }
    }
    asked
}

/// Lets time pass while the group is watched, and connections to `member` end so. Returns the number of those.
fn watch(
    fixture: &mut Fixture,
    ms: u64,
    member: id::MemberId,
    failure: Option<OpenFailure>,
) -> usize {
    let mut asked = 0;
    for _ in 0..ms / 100 {
        add_forwarded_request(fixture);
        fixture.advance(100);
        asked += end_connections(fixture, member, failure);
    }
    asked
}

/// A member that is cut off from the directory may run, and the proxy may come to watch the group.
#[test]
fn unlisted_member_is_asked_first_by_proxy_that_comes_to_watch() {
    let mut fixture = remote_proxy();
    unlist(&mut fixture, 2);
    for _ in 0..100 {
        fixture.advance(100);
        assert_eq!(end_connections(&mut fixture, 2, None), 0, "nobody watches");
    }
    assert!(fixture.broker.member(2).is_some());
    assert!(watch(&mut fixture, 10_000, 2, None) > 0);
    assert!(fixture.broker.member(2).is_some(), "it has answered");
}

#[rstest]
#[case::that_refuses(OpenFailure::Refused)]
#[case::that_is_silent(OpenFailure::Silent)]
#[case::whose_address_has_another(OpenFailure::WrongMember)]
fn unlisted_member_is_dropped_once_it_has_been_asked_in_vain(#[case] failure: OpenFailure) {
    let mut fixture = remote_proxy();
    unlist(&mut fixture, 2);
    fixture.advance(10_000);
    fixture.effects.clear();
    assert!(watch(&mut fixture, 3_000, 2, Some(failure)) > 0);
    assert!(fixture.broker.member(2).is_some());
    watch(&mut fixture, 1_000, 2, Some(failure));
    assert!(fixture.broker.member(2).is_none());
}

/// The member had failed before its entry vanished, and nobody had asked it since.
#[rstest]
#[case::that_answers(None)]
#[case::that_allows_no_further_connection(Some(OpenFailure::Full))]
fn unlisted_member_is_not_dropped_for_failure_before(#[case] failure: Option<OpenFailure>) {
    let mut fixture = Fixture::new();
    fixture.handle(Event::StatementEnded(StatementReport {
        member: 2,
        answer: Answer::Silent { commit: false },
        point: None,
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(500)),
    }));
    assert!(fixture.broker.is_suspect(2), "it has failed");
    unlist(&mut fixture, 2);
    watch(&mut fixture, 10_000, 2, failure);
    assert!(fixture.broker.member(2).is_some());
}

#[test]
fn unlisted_member_of_group_that_is_not_watched_is_dropped_at_last() {
    let mut fixture = remote_proxy();
    unlist(&mut fixture, 2);
    fixture.advance(70_000);
    assert!(fixture.broker.member(2).is_none());
}

/// Proxies keep such a member for different times.
#[test]
fn homes_are_not_chosen_for_domain_of_member_that_counts_as_gone() {
    let mut fixture = remote_proxy();
    let home = id::member(GROUP, "home-b");
    assert!(fixture.broker.is_home(home));
    unlist(&mut fixture, 2);
    fixture.advance(2_500);
    assert!(!fixture.broker.is_home(home));
    let mut entry = support::member_at(2, "b", false);
    entry.revision = version(70);
    fixture.handle(Event::Listed(entry));
    fixture.advance(100);
    assert!(fixture.broker.is_home(home));
}

/// The only listed member of a group cannot be replaced, whichever members are kept.
#[test]
fn leader_is_not_replaced_beside_members_that_count_as_gone() {
    let mut fixture = remote_proxy();
    unlist(&mut fixture, 2);
    unlist(&mut fixture, 3);
    fixture.advance(5_000);
    fixture.effects.clear();
    for _ in 0..50 {
        add_forwarded_request(&mut fixture);
        fixture.advance(100);
        for effect in fixture.take_effects() {
            let failure = OpenFailure::Refused;
            match effect {
                Effect::Open { conn, .. } => fixture.handle(Event::OpenFailed { conn, failure }),
                Effect::SendCommand { .. } | Effect::StoreClaim { .. } => {
                    panic!("an attempt has begun")
                }
                _ => {}
            }
        }
    }
}

/// Creates a proxy that has just started and read the directory, which lists members 1 to 3.
fn started_proxy() -> Fixture {
    let mut fixture = Fixture::starting();
    fixture.handle(Event::Configured(support::topology()));
    fixture.handle(Event::PeersRead);
    for (member, domain) in [(1, "a"), (2, "b"), (3, "c")] {
        fixture.handle(Event::Listed(support::member_at(
            member,
            domain,
            member == 1,
        )));
    }
    let answered_at = Some(fixture.now);
    fixture.handle(Event::DirectoryRead { answered_at });
    fixture.effects.clear();
    fixture
}

/// Lets connections to the leader be refused for some time. Returns whether an attempt to replace it has read the claim row.
fn claims_while_leader_refuses(fixture: &mut Fixture, ms: u64) -> bool {
    let mut claims = false;
    for _ in 0..ms / 100 {
        fixture.add_request(Requirement::Leader);
        for effect in fixture.take_effects() {
            let failure = OpenFailure::Refused;
            match effect {
                Effect::Open { conn, member: 1 } => {
                    fixture.handle(Event::OpenFailed { conn, failure });
                }
                Effect::RecordChange(StateChange::Failover { step, .. }) => {
                    claims |= step == "claiming";
                }
                Effect::LoadClaim(group) => fixture.handle(Event::ClaimLoaded {
                    group,
                    asked_at: fixture.now,
                    stored: Some(ClaimRow::default()),
                }),
                _ => {}
            }
        }
        fixture.advance(100);
    }
    claims
}

/// Entries may have lapsed during an outage that ended just before the start.
#[test]
fn leader_is_not_replaced_by_proxy_that_has_just_started() {
    let mut fixture = started_proxy();
    assert!(!claims_while_leader_refuses(&mut fixture, 2_000));
    assert!(claims_while_leader_refuses(&mut fixture, 1_500));
}

/// A leader that answers hands over to a member that has its whole log, whichever members are listed.
#[test]
fn leader_that_leaves_is_replaced_by_proxy_that_has_just_started() {
    let mut fixture = started_proxy();
    let mut entry = support::member_at(1, "a", true);
    entry.leaving = true;
    entry.revision = version(60);
    fixture.handle(Event::Listed(entry));
    fixture.advance(500);
    let begins = |effect: &Effect| match effect {
        Effect::RecordChange(StateChange::Failover { step, .. }) => *step == "loading",
        _ => false,
    };
    assert!(fixture.effects.iter().any(begins));
}

/// Returns an entry of member 2, or of a later incarnation of it.
fn incarnation(id: id::MemberId, revision: u64) -> Member {
    Member {
        id,
        revision: version(revision),
        ..support::member_at(2, "b", false)
    }
}

/// The entry is one that a proxy passes on which is behind, or an answer that was overtaken.
#[test]
fn incarnation_is_not_dropped_for_older_entry_of_earlier_one() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::Listed(incarnation(22, 50)));
    assert!(fixture.broker.member(2).is_none());
    fixture.handle(Event::Listed(incarnation(2, 40)));
    assert!(fixture.broker.member(22).is_some());
    assert!(fixture.broker.member(2).is_none());
}

#[test]
fn incarnation_is_not_listed_by_entry_older_than_removal_of_later_one() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::Listed(incarnation(22, 50)));
    unlist(&mut fixture, 2);
    fixture.handle(Event::Listed(incarnation(2, 40)));
    assert!(fixture.broker.member(2).is_none());
    fixture.handle(Event::Listed(incarnation(23, 70)));
    assert!(fixture.broker.member(23).is_some());
    assert!(fixture.broker.member(22).is_none());
}

/// Creates a proxy that knows members 1 to 3 from its reader, which has reached the directory for some time.
fn listening_proxy(reached_ms: u64) -> Fixture {
    let mut fixture = started_proxy();
    let reached_since = fixture.now;
    fixture.now += Duration::from_millis(reached_ms);
    tell(&mut fixture, reached_since);
    fixture
}

fn tell(fixture: &mut Fixture, reached_since: Instant) {
    fixture.handle(Event::DirectoryTold(Some(DirectoryContact {
        answered_at: fixture.now,
        reached_since,
    })));
}

/// The members that run have had the time to be listed with its reader.
#[test]
fn leader_is_replaced_by_listener_whose_reader_knows_the_members() {
    let mut fixture = listening_proxy(2_300);
    assert!(claims_while_leader_refuses(&mut fixture, 1_500));
}

#[rstest]
#[case::that_has_just_reached_the_directory(Some(0))]
#[case::that_does_not_reach_the_directory(None)]
fn leader_is_not_replaced_by_listener_of_reader(#[case] reached_ms: Option<u64>) {
    let mut fixture = listening_proxy(10_000);
    match reached_ms {
        Some(reached_ms) => {
            let reached_since = fixture.now - Duration::from_millis(reached_ms);
            tell(&mut fixture, reached_since);
        }
        None => fixture.handle(Event::DirectoryTold(None)),
    }
    assert!(!claims_while_leader_refuses(&mut fixture, 2_000));
}

/// The reader has not noticed yet what the listener has seen itself.
#[rstest]
#[case::that_began_a_new_era(Event::StoreEra { era: 1, known_for: Duration::ZERO })]
#[case::that_did_not_answer(Event::DirectoryRead { answered_at: None })]
fn leader_is_not_replaced_by_listener_that_has_lost_directory(#[case] loss: Event) {
    let mut fixture = listening_proxy(10_000);
    let reached_since = fixture.now - Duration::from_secs(10);
    fixture.handle(loss);
    tell(&mut fixture, reached_since);
    assert!(!claims_while_leader_refuses(&mut fixture, 2_000));
}

/// Without a domain that has members, all proxies would be homes, and connect to members that allow few connections.
#[test]
fn proxy_does_not_become_home_where_all_members_count_as_gone() {
    let mut fixture = remote_proxy();
    fixture.handle(Event::LeaseAnswered {
        group: GROUP,
        member: 1,
        asked_at: fixture.now,
        status: Some(support::status(false, 2, (1, 10), 0)),
    });
    assert_eq!(fixture.leader(), None);
    for member in 1..=3 {
        unlist(&mut fixture, member);
    }
    fixture.effects.clear();
    fixture.advance(5_000);
    let asks = |effect: &Effect| match effect {
        Effect::Open { member, .. } => (1..=3).contains(member),
        _ => false,
    };
    assert!(!fixture.effects.iter().any(asks));
    assert!(fixture.broker.forwards_requests(GROUP));
}
