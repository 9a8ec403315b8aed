//! Tests of the leases of leaders, where promotions are not fenced.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::claim::{Claim, ClaimRow, LastOrdered, Standing};
use fulmarlift_broker::effect::{Effect, MemberCommand, RefusalReason};
use fulmarlift_broker::event::{Answer, Event, OpenFailure, StatementReport, StoreOutcome};
use fulmarlift_broker::lease::{LEASE_DURATION, LeaderLease};
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::trust::TRUST_DURATION;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

const LEASE_MS: u64 = LEASE_DURATION.as_millis() as u64;

/// Guards against a member's term behind which there is none.
#[rstest]
#[case::none(0)]
#[case::first(1)]
#[case::same(id::Term::MAX)]
fn lease_of_last_term_is_followed_by_none(#[case] term: id::Term) {
    let now = Instant::now();
    let mut lease = LeaderLease::default();
    lease.start(id::Term::MAX, now);
    assert!(!lease.follow(now, term, now));
    assert!(lease.covers(id::Term::MAX, now));
}

/// Returns a broker that has got an answer of the leader of term 1.
fn unfenced() -> Fixture {
    let mut fixture = Fixture::unfenced();
    show_leader(&mut fixture, 1);
    fixture
}

/// Lets the member that is believed to lead answer a probe in a term.
fn show_leader(fixture: &mut Fixture, term: id::Term) {
    let probe = |effect: &Effect| match effect {
        Effect::Probe { conn, member } => Some((*conn, *member)),
        _ => None,
    };
    let (conn, member) = loop {
        fixture.handle(Event::Tick);
        fixture.open_all();
        if let Some(found) = fixture.effects.iter().find_map(probe) {
            break found;
        }
        fixture.now += Duration::from_millis(1);
    };
    let sent_at = fixture.now;
    let commit = false;
    fixture.handle(Event::ProbeEnded(StatementReport {
        member,
        answer: Answer::Led { sent_at, commit },
        point: Some(Point::new(term, 10)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    let reusable = true;
    fixture.handle(Event::Returned { conn, reusable });
    fixture.effects.clear();
}

/// Adds a read of the newest data.
fn read(fixture: &mut Fixture) -> id::RequestId {
    let acknowledged_before = fixture.now;
    fixture.add_request(Requirement::VerifiedLeader {
        acknowledged_before,
    })
}

/// Answers the read of the claim row that the proxy has sent, and returns whether there was one.
fn answer_claim_read(fixture: &mut Fixture, stored: Option<&ClaimRow>) -> bool {
    let is_read = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    let asked = fixture.effects.iter().any(is_read);
    fixture.effects.retain(|effect| !is_read(effect));
    if asked {
        fixture.handle(Event::ClaimLoaded {
            group: GROUP,
            asked_at: fixture.now,
            stored: stored.cloned(),
        });
    }
    asked
}

/// Returns a broker with a lease that the claim row has started.
fn with_lease() -> Fixture {
    let mut fixture = unfenced();
    read(&mut fixture);
    assert!(answer_claim_read(&mut fixture, Some(&ClaimRow::default())));
    let grant = fixture.take_grants().remove(0);
    fixture.end_statement(&grant, Answer::Served, Some(Point::new(1, 10)));
    fixture.effects.clear();
    fixture
}

/// Returns a broker that has no lease and cannot read the claim row.
fn without_claim_row() -> Fixture {
    let mut fixture = unfenced();
    read(&mut fixture);
    assert!(answer_claim_read(&mut fixture, None));
    fixture
}

/// Opens the requested connections, and returns the members that are asked for their status, with the connections.
fn take_questions(fixture: &mut Fixture) -> Vec<(id::MemberId, id::ConnId, Instant)> {
    for _ in 0..3 {
        fixture.open_all();
        fixture.advance(1);
        fixture.handle(Event::Tick);
    }
    let now = fixture.now;
    let asked = |effect: &Effect| match effect {
        Effect::AskStatus { member, conn, .. } => Some((*member, *conn, now)),
        _ => None,
    };
    let questions = fixture.effects.iter().filter_map(asked).collect();
    fixture
        .effects
        .retain(|effect| !matches!(effect, Effect::AskStatus { .. }));
    questions
}

/// Answers a question. The fields are those of [`status`].
fn answer(
    fixture: &mut Fixture,
    question: (id::MemberId, id::ConnId, Instant),
    fields: Option<(bool, u64, (u64, u64), u64)>,
) {
    let (member, conn, asked_at) = question;
    fixture.handle(Event::LeaseAnswered {
        group: GROUP,
        member,
        asked_at,
        status: fields.map(|(leads, term, received, held)| status(leads, term, received, held)),
    });
    let reusable = true;
    fixture.handle(Event::Returned { conn, reusable });
}

#[test]
fn read_waits_until_claim_row_has_been_read() {
    let mut fixture = unfenced();
    let request = read(&mut fixture);
    assert!(fixture.take_grants().is_empty());
    assert!(answer_claim_read(&mut fixture, Some(&ClaimRow::default())));
    let grants = fixture.take_grants();
    assert_eq!(grants.len(), 1);
    assert_eq!((grants[0].request, grants[0].member), (request, 1));
    assert!(take_questions(&mut fixture).is_empty());
}

#[test]
fn read_that_arrives_within_lease_needs_no_claim_row() {
    let mut fixture = with_lease();
    let started_at = fixture.now;
    fixture.now = started_at + LEASE_DURATION - Duration::from_millis(1);
    read(&mut fixture);
    let grant = fixture.take_grants().remove(0);
    fixture.end_statement(&grant, Answer::Served, Some(Point::new(1, 10)));
    assert!(!answer_claim_read(&mut fixture, None));
    fixture.now = started_at + LEASE_DURATION;
    read(&mut fixture);
    assert!(fixture.take_grants().is_empty(), "the lease has ended");
    assert!(answer_claim_read(&mut fixture, None));
}

/// Opens the requested connections, runs the granted reads and those that follow, and returns their number.
fn serve_reads(fixture: &mut Fixture) -> usize {
    let mut served = 0;
    loop {
        fixture.open_all();
        let grants = fixture.take_grants();
        if grants.is_empty() {
            return served;
        }
        served += grants.len();
        for grant in grants {
            fixture.end_statement(&grant, Answer::Served, Some(Point::new(1, 10)));
        }
    }
}

/// Returns a broker with a lease by the consent of both replicas, while the claim row cannot be read.
fn with_lease_by_consent() -> Fixture {
    let mut fixture = with_lease();
    fixture.now += 2 * LEASE_DURATION;
    for _ in 0..8 {
        read(&mut fixture);
        answer_claim_read(&mut fixture, None);
        for question in take_questions(&mut fixture) {
            answer(&mut fixture, question, Some((false, 1, (1, 10), 0)));
        }
        if serve_reads(&mut fixture) > 0 {
            fixture.effects.clear();
            return fixture;
        }
        fixture.advance(70);
    }
    panic!("no lease has been started");
}

#[test]
fn consent_of_all_replicas_starts_lease_without_claim_row() {
    let mut fixture = with_lease_by_consent();
    read(&mut fixture);
    assert_eq!(fixture.take_grants().len(), 1);
}

#[rstest]
#[case::held(Some((false, 1, (1, 10), 2)))]
#[case::silent(None)]
#[case::of_newer_term(Some((false, 3, (1, 10), 0)))]
fn lease_is_not_started_without_consent_of_one_replica(
    #[case] status_of_other: Option<(bool, u64, (u64, u64), u64)>,
) {
    let mut fixture = with_lease();
    fixture.now += 2 * LEASE_DURATION;
    for _ in 0..20 {
        read(&mut fixture);
        answer_claim_read(&mut fixture, None);
        for question in take_questions(&mut fixture) {
            let status = match question.0 {
                2 => Some((false, 1, (1, 10), 0)),
                _ => status_of_other,
            };
            answer(&mut fixture, question, status);
        }
        fixture.open_all();
        assert!(fixture.take_grants().is_empty());
        fixture.advance(70);
    }
}

#[test]
fn lease_ends_once_replica_is_held_while_others_are_asked() {
    let mut fixture = with_lease_by_consent();
    let mut asked = Vec::new();
    let mut served_at = fixture.now;
    let held_at = fixture.now;
    while fixture.now < held_at + 3 * LEASE_DURATION {
        read(&mut fixture);
        answer_claim_read(&mut fixture, None);
        for question in take_questions(&mut fixture) {
            asked.push(question.0);
            let held_term = if question.0 == 2 { 2 } else { 0 };
            answer(&mut fixture, question, Some((false, 1, (1, 10), held_term)));
        }
        if serve_reads(&mut fixture) > 0 {
            served_at = fixture.now;
        }
        fixture.advance(70);
    }
    assert!(served_at < held_at + LEASE_DURATION);
    assert!(asked.contains(&2) && asked.contains(&3));
    assert!(!asked.contains(&1), "the leader cannot vouch for itself");
}

#[test]
fn lease_is_not_extended_without_consent_of_replica_that_joined() {
    let mut fixture = with_lease_by_consent();
    let mut joined = member_at(4, "a", false);
    joined.revision = version(40);
    fixture.handle(Event::Listed(joined));
    fixture.advance(2 * LEASE_MS);
    for _ in 0..20 {
        read(&mut fixture);
        answer_claim_read(&mut fixture, None);
        for question in take_questions(&mut fixture) {
            let consents = question.0 != 4;
            answer(
                &mut fixture,
                question,
                consents.then_some((false, 1, (1, 10), 0)),
            );
        }
        assert_eq!(serve_reads(&mut fixture), 0);
        fixture.advance(70);
    }
}

#[rstest]
#[case::soon(1_000, 2, true)]
#[case::late(4_000, 2, false)]
#[case::after_two_promotions(1_000, 3, false)]
fn member_that_shows_newer_term_starts_its_lease(
    #[case] later_ms: u64,
    #[case] term: id::Term,
    #[case] started: bool,
) {
    let mut fixture = with_lease();
    fixture.now += Duration::from_millis(later_ms);
    let entry = |listed_as_leader| {
        let mut entry = member_at(2, "b", listed_as_leader);
        entry.revision = version(50);
        entry
    };
    fixture.handle(Event::Listed(entry(true)));
    read(&mut fixture);
    answer_claim_read(&mut fixture, None);
    let asked_at = fixture.now;
    answer(
        &mut fixture,
        (2, 900, asked_at),
        Some((true, term, (1, 10), 0)),
    );
    assert_eq!(fixture.leader(), Some(2));
    fixture.open_all();
    let grants = fixture.take_grants();
    assert_eq!(grants.iter().any(|grant| grant.member == 2), started);
    assert!(grants.iter().all(|grant| grant.member == 2));
}

/// Returns the entry of a claim row for an order that replaces the leader of term 1.
fn ordered(member: &str) -> LastOrdered {
    LastOrdered::Member {
        name: member.into(),
        replaced_term: 1,
    }
}

#[rstest]
#[case::of_nobody(LastOrdered::Nobody, None, true, 0, Standing::Undisputed)]
#[case::of_leader(ordered("member-1"), Some("member-1"), true, 0, Standing::Undisputed)]
#[case::of_leader_by_last_claim(
    ordered("member-1"),
    Some("member-1"),
    true,
    9,
    Standing::Undisputed
)]
#[case::of_leader_by_repeated_order(
    ordered("member-1"),
    Some("member-1"),
    false,
    9,
    Standing::Undisputed
)]
#[case::of_other(ordered("member-2"), Some("member-2"), true, 0, Standing::Replaced)]
#[case::of_other_by_earlier_claim(ordered("member-2"), None, true, 0, Standing::Replaced)]
#[case::of_pending_order(ordered("member-2"), Some("member-2"), false, 0, Standing::Disputed)]
#[case::of_attempt(LastOrdered::Nobody, None, true, 9, Standing::Disputed)]
#[case::unknown(LastOrdered::Unknown, None, true, 0, Standing::Unknown)]
fn standing_of_leader_of_term_2(
    #[case] last_ordered: LastOrdered,
    #[case] target: Option<&str>,
    #[case] settled: bool,
    #[case] until_ms: u64,
    #[case] expected: Standing,
) {
    let claim = Claim {
        target: target.map(Box::from),
        settled,
        until_ms,
        order_ends_ms: 100,
        last_ordered,
        ..Claim::default()
    };
    let row = ClaimRow {
        claim,
        now_ms: 5,
        ..ClaimRow::default()
    };
    assert_eq!(row.standing("member-1", 2), expected);
}

/// Where a token ends orders, the claimant may be about to order another member than the one that was promoted late.
#[test]
fn standing_of_late_leader_is_disputed_while_another_may_be_chosen() {
    let claim = Claim {
        target: Some("member-1".into()),
        until_ms: 10,
        last_ordered: ordered("member-1"),
        ..Claim::default()
    };
    let row = ClaimRow {
        claim,
        now_ms: 5,
        ..ClaimRow::default()
    };
    assert_eq!(row.standing("member-1", 2), Standing::Disputed);
}

#[test]
fn standing_of_former_leader_is_disputed_while_it_is_ordered_again() {
    let mut row = ClaimRow::default();
    row.claim.target = Some("member-1".into());
    row.claim.last_ordered = ordered("member-1");
    assert_eq!(row.standing("member-1", 1), Standing::Disputed);
}

#[test]
fn standing_is_unknown_in_row_that_store_may_have_lost() {
    let mut row = ClaimRow::default();
    row.claim.settled = true;
    row.revision.era = 1;
    assert_eq!(row.standing("member-1", 1), Standing::Unknown);
}

#[test]
fn leader_is_not_believed_once_claim_row_names_another() {
    let mut fixture = unfenced();
    read(&mut fixture);
    let claim = Claim {
        target: Some("member-2".into()),
        settled: true,
        last_ordered: ordered("member-2"),
        ..Claim::default()
    };
    let row = ClaimRow {
        claim,
        ..ClaimRow::default()
    };
    assert!(answer_claim_read(&mut fixture, Some(&row)));
    assert_eq!(fixture.leader(), None);
    assert!(fixture.take_grants().is_empty());
}

/// A promotion ends the hold of a replica before the replica has heard of the new leader.
#[test]
fn replica_released_by_promotion_grants_no_lease_of_old_term() {
    let mut fixture = without_claim_row();
    let question = take_questions(&mut fixture)[0];
    answer(&mut fixture, question, Some((false, 1, (1, 10), 2)));
    fixture.advance(900);
    read(&mut fixture);
    let question = take_questions(&mut fixture)
        .pop()
        .expect("a replica is asked");
    answer(&mut fixture, question, Some((false, 1, (1, 10), 0)));
    fixture.open_all();
    assert!(fixture.take_grants().is_empty());
}

#[rstest]
#[case::for_read_of_newest_data(0, false)]
#[case::for_read_that_allows_staleness(1_500, true)]
fn old_leader_proves_nothing_after_promotion(#[case] staleness_ms: u64, #[case] stale: bool) {
    let mut fixture = without_claim_row();
    let question = take_questions(&mut fixture)[0];
    // A replica follows a newer term, while the old leader leads on.
    answer(&mut fixture, question, Some((false, 2, (1, 10), 0)));
    assert_eq!(fixture.leader(), None);
    let mut entry = member_at(2, "b", true);
    entry.revision = version(50);
    fixture.handle(Event::Listed(entry));
    assert_eq!(fixture.leader(), Some(2));
    // Its answers no longer count.
    fixture.handle(Event::StatementEnded(
        fulmarlift_broker::event::StatementReport {
            member: 1,
            answer: Answer::Led {
                sent_at: fixture.now,
                commit: true,
            },
            point: Some(Point::new(1, 99)),
            floor: None,
            connected_at: None,
            took: None,
        },
    ));
    assert_eq!(fixture.leader(), Some(2));
    fixture.effects.clear();
    let acknowledged_before = fixture.now - Duration::from_millis(staleness_ms);
    fixture.add_request(match stale {
        true => Requirement::Recent {
            acknowledged_before,
            session_commit: None,
        },
        false => Requirement::VerifiedLeader {
            acknowledged_before,
        },
    });
    fixture.open_all();
    let reads_of_old_term = |effect: &Effect| match effect {
        Effect::Grant(grant) => grant.member == 1 || grant.floor.is_some_and(|f| f.term < 2),
        _ => false,
    };
    assert!(!fixture.effects.iter().any(reads_of_old_term));
}

#[test]
fn old_leader_that_has_stepped_down_grants_no_lease() {
    let mut fixture = unfenced();
    let acknowledged_before = fixture.now;
    fixture.advance(100);
    // The old leader was never held, and does not follow the newer term yet.
    answer(
        &mut fixture,
        (1, 1, acknowledged_before),
        Some((false, 1, (1, 10), 0)),
    );
    fixture.effects.clear();
    fixture.add_request(Requirement::Recent {
        acknowledged_before,
        session_commit: None,
    });
    assert!(fixture.take_grants().is_empty());
}

#[test]
fn leader_that_has_not_shown_its_term_is_asked_itself() {
    let mut fixture = without_claim_row();
    let question = take_questions(&mut fixture)[0];
    answer(&mut fixture, question, Some((false, 2, (1, 10), 0)));
    fixture.advance(100);
    let question = take_questions(&mut fixture)[0];
    assert_eq!(question.0, 1);
    answer(&mut fixture, question, Some((true, 2, (1, 10), 0)));
    assert_eq!(fixture.leader(), Some(1));
}

/// A member may have received the commit that was released by a promotion, or that no attempt has held.
#[rstest]
#[case::within_lease(100)]
#[case::after_lease(500)]
fn acknowledged_commit_extends_no_lease(#[case] later_ms: u64) {
    let mut fixture = with_lease();
    fixture.add_request(Requirement::Leader);
    let grant = fixture.take_grants().remove(0);
    fixture.now += Duration::from_millis(later_ms);
    let sent_at = fixture.now;
    let commit = true;
    let led = Answer::Led { sent_at, commit };
    fixture.end_statement(&grant, led, Some(Point::new(1, 11)));
    fixture.now = sent_at + LEASE_DURATION - Duration::from_millis(1);
    fixture.effects.clear();
    read(&mut fixture);
    assert!(fixture.take_grants().is_empty());
    assert!(answer_claim_read(&mut fixture, None));
}

#[test]
fn read_is_refused_at_once_without_member_to_ask() {
    let mut fixture = unfenced();
    for _ in 0..4 {
        read(&mut fixture);
        answer_claim_read(&mut fixture, None);
        for effect in fixture.take_effects() {
            if let Effect::Open { conn, member } = effect {
                assert_ne!(member, 1);
                let failure = OpenFailure::Refused;
                fixture.handle(Event::OpenFailed { conn, failure });
            }
        }
        fixture.advance(900);
    }
    fixture.effects.clear();
    let request = read(&mut fixture);
    let refused = fixture.effects.iter().any(|effect| {
        matches!(effect, Effect::Refuse(refusal)
            if refusal.request == request && refusal.reason == RefusalReason::NoLeader)
    });
    assert!(refused);
}

/// Requests made a proxy ask a leader of an older term again with each answer, a thousand times a second (inc6).
#[test]
fn leader_of_older_term_is_asked_with_pauses() {
    let mut fixture = without_claim_row();
    let question = take_questions(&mut fixture).remove(0);
    answer(&mut fixture, question, Some((false, 2, (2, 10), 0)));
    let mut asked = 0;
    for _ in 0..1_000 {
        read(&mut fixture);
        for question in take_questions(&mut fixture) {
            asked += usize::from(question.0 == 1);
            answer(&mut fixture, question, Some((true, 1, (1, 10), 0)));
        }
        fixture.effects.clear();
    }
    assert!(asked > 0, "the listed leader is asked");
    assert!(asked <= 50, "asked {asked} times in 3 s");
}

#[test]
fn fenced_leader_needs_no_lease() {
    let mut fixture = Fixture::new();
    show_leader(&mut fixture, 1);
    read(&mut fixture);
    assert_eq!(fixture.take_grants().len(), 1);
    assert!(take_questions(&mut fixture).is_empty());
}

/// Leaves statements at the leader unanswered, holds both replicas, and returns the time until the directory is read, after which the
/// choice is made.
fn time_from_hold_to_choice_ms(mut fixture: Fixture) -> u64 {
    for _ in 0..2 {
        fixture.handle(Event::StatementEnded(StatementReport {
            member: 1,
            answer: Answer::Silent { commit: false },
            point: None,
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(760)),
        }));
    }
    fixture.advance(1_600);
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored: Some(ClaimRow::default()),
    });
    let outcome = StoreOutcome::Written(version(11));
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    fixture.advance(100);
    let held = |effect: &Effect| match effect {
        Effect::SendCommand {
            member,
            command: MemberCommand::Hold(term),
            ..
        } => Some((*member, *term)),
        _ => None,
    };
    let holds: Vec<_> = fixture.effects.iter().filter_map(held).collect();
    fixture.effects.clear();
    assert_eq!(holds.len(), 2);
    for (member, term) in holds {
        fixture.handle(Event::StatusAnswered {
            group: GROUP,
            member,
            asked_at: fixture.now,
            status: Some(status(false, term - 1, (term - 1, 10), term)),
        });
    }
    let reads = |effect: &Effect| matches!(effect, Effect::ReadDirectory(_));
    let mut waited_ms = 0;
    while !fixture.effects.iter().any(reads) {
        fixture.advance(100);
        waited_ms += 100;
        assert!(waited_ms < 2_000, "the choice is never made");
    }
    waited_ms
}

#[test]
fn promotion_waits_for_end_of_leases_or_trust() {
    let trust_ms = TRUST_DURATION.as_millis() as u64;
    assert_eq!(time_from_hold_to_choice_ms(Fixture::new()), trust_ms);
    assert_eq!(time_from_hold_to_choice_ms(Fixture::unfenced()), LEASE_MS);
}

#[test]
fn claim_row_of_earlier_release_can_be_read_and_reads_new_rows() {
    #[derive(serde::Serialize, serde::Deserialize, Debug, PartialEq)]
    struct Earlier {
        holder: Box<str>,
        token: u64,
        target: Option<Box<str>>,
        settled: bool,
        until_ms: u64,
    }
    let earlier = Earlier {
        holder: "proxy-1-0".into(),
        token: 7,
        target: Some("member-2".into()),
        settled: false,
        until_ms: 900,
    };
    let bytes = postcard::to_stdvec(&earlier).expect("plain values encode");
    let mut claim = Claim::from_bytes(&bytes).expect("the row is valid");
    assert_eq!((claim.token, claim.order_ends_ms), (7, 0));
    assert_eq!(claim.last_ordered, LastOrdered::Unknown);
    claim.order_ends_ms = 12_000;
    claim.last_ordered = ordered("member-2");
    assert_eq!(
        Claim::from_bytes(&claim.to_bytes()).ok(),
        Some(claim.clone())
    );
    let read: Earlier =
        postcard::from_bytes(&claim.to_bytes()).expect("trailing bytes are ignored");
    assert_eq!(read, earlier);
}

/// Both questions to a replica may be answered right after a promotion has released it, although they were sent one after the other.
#[test]
fn answers_at_the_same_instant_are_no_consent() {
    let mut fixture = with_lease();
    fixture.now += 2 * LEASE_DURATION;
    read(&mut fixture);
    assert!(answer_claim_read(&mut fixture, None));
    let now = fixture.now;
    for member in [2, 3] {
        for asked_at in [now - Duration::from_millis(300), now] {
            fixture.handle(Event::LeaseAnswered {
                group: GROUP,
                member,
                asked_at,
                status: Some(status(false, 1, (1, 10), 0)),
            });
        }
    }
    fixture.open_all();
    assert!(fixture.take_grants().is_empty());
}

/// A process that refuses a connection or has moved may be back under its identifier at once, be promoted, and release the other
/// replica, which has not heard of it yet.
#[rstest]
#[case::refused(OpenFailure::Refused)]
#[case::at_another_address(OpenFailure::WrongMember)]
fn lease_is_not_started_while_one_replica_only_refuses_connections(#[case] failure: OpenFailure) {
    let mut fixture = with_lease();
    fixture.now += 2 * LEASE_DURATION;
    for _ in 0..20 {
        read(&mut fixture);
        answer_claim_read(&mut fixture, None);
        for _ in 0..3 {
            for effect in fixture.take_effects() {
                match effect {
                    Effect::Open { conn, member: 3 } => {
                        fixture.handle(Event::OpenFailed { conn, failure });
                    }
                    Effect::Open { conn, .. } => fixture.handle(Event::Opened(conn)),
                    Effect::AskStatus { conn, member, .. } => {
                        let asked_at = fixture.now;
                        answer(
                            &mut fixture,
                            (member, conn, asked_at),
                            Some((false, 1, (1, 10), 0)),
                        );
                    }
                    other => fixture.effects.push(other),
                }
            }
            fixture.advance(10);
        }
        assert!(fixture.take_grants().is_empty());
        fixture.advance(70);
    }
}

/// While the directory cannot be read, a member may have joined and been promoted.
#[test]
fn lease_is_not_started_by_consent_while_directory_is_not_reached() {
    let mut fixture = with_lease();
    fixture.directory_answers = false;
    fixture.now += Duration::from_secs(30);
    for _ in 0..8 {
        read(&mut fixture);
        answer_claim_read(&mut fixture, None);
        for question in take_questions(&mut fixture) {
            answer(&mut fixture, question, Some((false, 1, (1, 10), 0)));
        }
        assert_eq!(serve_reads(&mut fixture), 0);
        fixture.advance(70);
    }
}

/// The leader has been replaced in term 1, and promoted again since. Its lease of term 1 would cover samples of its log from the
/// time when it led on.
#[test]
fn standing_of_leader_that_was_promoted_back_is_not_undisputed_in_its_earlier_term() {
    let mut row = ClaimRow::default();
    row.claim.target = Some("member-1".into());
    row.claim.settled = true;
    row.claim.last_ordered = LastOrdered::Member {
        name: "member-1".into(),
        replaced_term: 2,
    };
    assert_eq!(row.standing("member-1", 3), Standing::Undisputed);
    assert_ne!(row.standing("member-1", 1), Standing::Undisputed);
}

/// An answer that the replaced leader still gives must not win it back.
#[test]
fn replaced_leader_is_not_believed_again_by_answer_of_its_term() {
    let mut fixture = unfenced();
    read(&mut fixture);
    let mut row = ClaimRow::default();
    row.claim.target = Some("member-2".into());
    row.claim.settled = true;
    row.claim.last_ordered = ordered("member-2");
    assert!(answer_claim_read(&mut fixture, Some(&row)));
    assert_eq!(fixture.leader(), None);
    let asked_at = fixture.now;
    answer(
        &mut fixture,
        (1, 900, asked_at),
        Some((true, 1, (1, 12), 0)),
    );
    assert_ne!(fixture.leader(), Some(1));
}

/// Plays a store that answers each read of the claim row after `store_ms`, and members that consent, for 10 s. Returns the number
/// of instants, one every 50 ms, at which a read is granted at once.
fn instants_with_lease(store_ms: Option<u64>) -> usize {
    let mut fixture = with_lease();
    let mut reads: Vec<(Instant, Instant)> = Vec::new();
    let mut served_instants = 0;
    for _ in 0..200 {
        read(&mut fixture);
        for _ in 0..4 {
            for effect in fixture.take_effects() {
                match effect {
                    Effect::LoadClaim(_) => {
                        let took = Duration::from_millis(store_ms.unwrap_or(10));
                        reads.push((fixture.now, fixture.now + took));
                    }
                    Effect::Open { conn, .. } => fixture.handle(Event::Opened(conn)),
                    Effect::AskStatus { conn, member, .. } => {
                        let asked_at = fixture.now;
                        answer(
                            &mut fixture,
                            (member, conn, asked_at),
                            Some((false, 1, (1, 10), 0)),
                        );
                    }
                    other => fixture.effects.push(other),
                }
            }
        }
        served_instants += usize::from(serve_reads(&mut fixture) > 0);
        fixture
            .effects
            .retain(|effect| !matches!(effect, Effect::Refuse(_)));
        fixture.advance(50);
        let now = fixture.now;
        let (answered, waiting) = reads.into_iter().partition(|(_, at)| *at <= now);
        reads = waiting;
        let answered: Vec<(Instant, Instant)> = answered;
        for (asked_at, _) in answered {
            let stored = store_ms.map(|_| ClaimRow::default());
            fixture.handle(Event::ClaimLoaded {
                group: GROUP,
                asked_at,
                stored,
            });
        }
    }
    served_instants
}

/// A slow store must not make leases rarer than a store that refuses all reads.
#[rstest]
#[case::of_450_ms(450)]
#[case::of_600_ms(600)]
#[case::of_1000_ms(1_000)]
fn slow_store_leaves_as_many_leases_as_store_that_refuses(#[case] store_ms: u64) {
    let refused = instants_with_lease(None);
    let slow = instants_with_lease(Some(store_ms));
    assert!(
        slow * 10 >= refused * 9,
        "{slow} of 200 instants, {refused} while refused"
    );
}

/// Without the claim row, no lease can be started while one member is silent, so a read must not wait for its whole time.
#[rstest]
#[case::replica(3)]
#[case::replica_of_other_domain(2)]
fn read_is_refused_early_while_one_member_is_silent(#[case] silent: id::MemberId) {
    let mut fixture = without_claim_row();
    let play = |fixture: &mut Fixture| {
        for _ in 0..4 {
            for effect in fixture.take_effects() {
                match effect {
                    Effect::LoadClaim(group) => fixture.handle(Event::ClaimLoaded {
                        group,
                        asked_at: fixture.now,
                        stored: None,
                    }),
                    Effect::Open { conn, member } if member == silent => {
                        let failure = OpenFailure::Silent;
                        fixture.handle(Event::OpenFailed { conn, failure });
                    }
                    Effect::Open { conn, .. } => fixture.handle(Event::Opened(conn)),
                    Effect::AskStatus { conn, member, .. } => {
                        let asked_at = fixture.now;
                        let fields = (false, 1, (1, 10), 0);
                        answer(fixture, (member, conn, asked_at), Some(fields));
                    }
                    other => fixture.effects.push(other),
                }
            }
        }
        fixture.advance(50);
    };
    for _ in 0..40 {
        play(&mut fixture);
    }
    fixture.effects.clear();
    let acknowledged_before = fixture.now;
    let requirement = Requirement::VerifiedLeader {
        acknowledged_before,
    };
    let request = fixture.add_request_within(requirement, 300, 5_000);
    let refused =
        |effect: &Effect| matches!(effect, Effect::Refuse(refusal) if refusal.request == request);
    let mut waited_ms = 0;
    while !fixture.effects.iter().any(refused) {
        assert!(
            waited_ms < 2_500,
            "the read still waits after {waited_ms} ms"
        );
        play(&mut fixture);
        waited_ms += 50;
    }
}

#[test]
fn grant_tells_belief_after_change_of_lease_only() {
    let mut fixture = unfenced();
    read(&mut fixture);
    answer_claim_read(&mut fixture, Some(&ClaimRow::default()));
    let first = fixture.take_grants().remove(0);
    fixture.end_statement(&first, Answer::Served, Some(Point::new(1, 10)));
    read(&mut fixture);
    let second = fixture.take_grants().remove(0);
    let belief = first.new_belief.expect("the lease has started");
    assert_eq!(belief.leader, Some(1));
    assert_eq!((belief.leader_term, belief.lease_term), (1, 1));
    assert_eq!(belief.lease_expires_at, Some(fixture.now + LEASE_DURATION));
    assert_eq!(second.new_belief, None);
}
