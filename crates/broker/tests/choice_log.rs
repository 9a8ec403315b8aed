//! Tests of what the diagnostic log tells about choices of other proxies.

mod support;

use std::time::Duration;

use fulmarlift_broker::claim::{ChoiceRecord, Claim, ClaimRow, LastOrdered};
use fulmarlift_broker::effect::{Effect, StateChange};
use fulmarlift_broker::event::{Answer, Event, StatementReport, StoreOutcome, ToldCommit};
use fulmarlift_broker::request::Requirement;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, version};

/// The choice of member 2, which had received the first 40 entries of term 1, as the next leader.
fn choice(token: u64) -> ChoiceRecord {
    ChoiceRecord {
        token,
        claimant: "proxy-9-0".into(),
        target: "member-2".into(),
        replaced_term: 1,
        at_order: true,
        target_had: Some(Point::new(1, 40)),
        ..ChoiceRecord::default()
    }
}

/// The claim row after the promotion of member 2 to term 2.
fn row(choice: ChoiceRecord) -> ClaimRow {
    ClaimRow {
        claim: Claim {
            holder: choice.claimant.clone(),
            token: choice.token,
            target: Some(choice.target.clone()),
            settled: true,
            until_ms: 900,
            last_ordered: LastOrdered::Member {
                name: choice.target.clone(),
                replaced_term: choice.replaced_term,
            },
            led_term: 2,
            choice: Some(Box::new(choice)),
            ..Claim::default()
        },
        revision: version(30),
        now_ms: 20_000,
    }
}

/// Lets the directory list another leader.
fn list_leader(fixture: &mut Fixture, leader: id::MemberId, row_version: u64) {
    for (member, domain) in [(1, "a"), (2, "b"), (3, "c")] {
        let mut entry = member_at(member, domain, member == leader);
        entry.revision = version(row_version + member);
        fixture.handle(Event::Listed(entry));
    }
}

fn load_choice(fixture: &mut Fixture, row: ClaimRow) {
    let (group, asked_at) = (GROUP, fixture.now);
    fixture.handle(Event::ChoiceLoaded {
        group,
        asked_at,
        row,
    });
}

fn load_claim(fixture: &mut Fixture, row: ClaimRow) {
    let (group, asked_at) = (GROUP, fixture.now);
    let stored = Some(row);
    fixture.handle(Event::ClaimLoaded {
        group,
        asked_at,
        stored,
    });
}

fn reads(fixture: &Fixture) -> usize {
    let reads = |effect: &&Effect| matches!(effect, Effect::LoadChoice(GROUP));
    fixture.effects.iter().filter(reads).count()
}

/// Returns the leaders, terms and tokens of the choices that were logged.
fn logged(fixture: &Fixture) -> Vec<(id::MemberId, u64)> {
    let logged = |effect: &Effect| match effect {
        Effect::RecordChange(StateChange::LeaderChoice { leader, choice, .. }) => {
            Some((*leader, choice.token))
        }
        _ => None,
    };
    fixture.effects.iter().filter_map(logged).collect()
}

#[test]
fn choice_is_read_once_after_change_of_leader() {
    let mut fixture = Fixture::unfenced();
    fixture.advance(1_000);
    assert_eq!(reads(&fixture), 0, "a first leader is no change");
    list_leader(&mut fixture, 2, 10);
    assert_eq!(fixture.leader(), Some(2));
    fixture.advance(600);
    assert_eq!(reads(&fixture), 1);
    fixture.advance(5_000);
    assert_eq!(reads(&fixture), 1);
    list_leader(&mut fixture, 3, 20);
    fixture.advance(600);
    assert_eq!(reads(&fixture), 2);
}

/// The first record of a hand-over does not tell the end of the target's log.
#[rstest]
#[case::no_record(None, 0)]
#[case::at_order(Some((true, true)), 0)]
#[case::takeover(Some((false, false)), 0)]
#[case::first_record_of_handover(Some((true, false)), 1)]
fn choice_is_not_read_if_claim_row_was_read_since(
    #[case] record: Option<(bool, bool)>,
    #[case] expected: usize,
) {
    let mut fixture = Fixture::new();
    list_leader(&mut fixture, 2, 10);
    let mut row = row(choice(4));
    row.claim.choice = record.map(|(hands_over, at_order)| {
        Box::new(ChoiceRecord {
            hands_over,
            at_order,
            ..choice(4)
        })
    });
    load_claim(&mut fixture, row);
    fixture.advance(1_000);
    assert_eq!(reads(&fixture), expected);
    assert_eq!(logged(&fixture).len(), usize::from(record.is_some()));
}

#[test]
fn choice_is_not_read_beside_attempt() {
    let mut fixture = Fixture::new();
    fixture.silence(1);
    fixture.advance(200);
    load_claim(&mut fixture, ClaimRow::default());
    let (group, outcome) = (GROUP, StoreOutcome::Written(version(11)));
    fixture.handle(Event::ClaimStored { group, outcome });
    list_leader(&mut fixture, 2, 10);
    assert_eq!(fixture.leader(), Some(2));
    fixture.advance(600);
    assert_eq!(reads(&fixture), 0);
}

/// The row of an earlier release, or one without a choice, tells nothing.
#[test]
fn choice_is_not_logged_without_record() {
    let mut fixture = Fixture::new();
    list_leader(&mut fixture, 2, 10);
    let mut row = row(choice(4));
    row.claim.choice = None;
    load_choice(&mut fixture, row);
    fixture.advance(2_000);
    assert_eq!(logged(&fixture), []);
}

#[test]
fn choice_is_logged_once_for_each_token() {
    let mut fixture = Fixture::new();
    load_choice(&mut fixture, row(choice(4)));
    fixture.advance(200);
    assert_eq!(logged(&fixture), [], "member 1 leads");
    list_leader(&mut fixture, 2, 10);
    for _ in 0..3 {
        load_choice(&mut fixture, row(choice(4)));
        fixture.advance(200);
    }
    assert_eq!(logged(&fixture), [(2, 4)]);
    load_choice(&mut fixture, row(choice(3)));
    fixture.advance(200);
    assert_eq!(logged(&fixture), [(2, 4)]);
    load_choice(&mut fixture, row(choice(6)));
    fixture.advance(200);
    assert_eq!(logged(&fixture), [(2, 4), (2, 6)]);
}

/// Ways in which a proxy gets a claim row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Read {
    ForLog,
    ForLease,
}

/// Returns the effects of 6 s of ticks and requests, without those of the diagnostic log, after a read of this row or without one.
fn effects_after(before: &Fixture, read: Option<(Read, &ClaimRow)>) -> Vec<Effect> {
    let mut fixture = Fixture::new();
    fixture.broker = before.broker.clone();
    fixture.now = before.now;
    match read {
        Some((Read::ForLog, row)) => load_choice(&mut fixture, row.clone()),
        Some((Read::ForLease, row)) => load_claim(&mut fixture, row.clone()),
        None => {}
    }
    for _ in 0..60 {
        fixture.add_request(Requirement::Leader);
        let acknowledged_before = fixture.now - Duration::from_millis(50);
        fixture.add_request(Requirement::VerifiedLeader {
            acknowledged_before,
        });
        fixture.advance(100);
    }
    let decides = |effect: &Effect| {
        !matches!(
            effect,
            Effect::RecordChange(StateChange::LeaderChoice { .. }) | Effect::LoadChoice(_)
        )
    };
    let mut effects = fixture.take_effects();
    effects.retain(decides);
    effects
}

/// The store is asked more often than before the choice was logged; what it tells then must not move leases or beliefs.
#[rstest]
fn read_for_log_changes_no_decision(
    #[values(true, false)] fenced: bool,
    #[values("member-1", "member-2", "member-3")] target: &str,
    #[values(true, false)] settled: bool,
    #[values(1, 2)] leader: id::MemberId,
) {
    let mut before = match fenced {
        true => Fixture::new(),
        false => Fixture::unfenced(),
    };
    list_leader(&mut before, leader, 10);
    before.advance(1_500);
    let mut row = row(ChoiceRecord {
        target: target.into(),
        replaced_term: 3,
        ..choice(4)
    });
    row.claim.settled = settled;
    row.claim.led_term = 0;
    let expected = effects_after(&before, None);
    let with_read = effects_after(&before, Some((Read::ForLog, &row)));
    assert_eq!(with_read, expected);
    let with_lease_read = effects_after(&before, Some((Read::ForLease, &row)));
    assert_ne!(with_lease_read, expected, "the comparison sees decisions");
}

/// Lets the proxy tell of a commit in term 1 at this position, before which the log was seen to reach `seen_before`.
fn tell_commit(
    fixture: &mut Fixture,
    request: &str,
    point: (id::Term, id::Position),
    seen_before: (id::Term, id::Position),
) {
    let commit = ToldCommit {
        request: request.into(),
        point: Point::new(point.0, point.1),
        seen_before: Some(Point::new(seen_before.0, seen_before.1)),
    };
    let group = GROUP;
    fixture.handle(Event::CommitTold { group, commit });
}

/// Lets member 2 lead by this choice, and the proxy read of it.
fn promote_second(fixture: &mut Fixture, choice: ChoiceRecord) {
    list_leader(fixture, 2, 10);
    load_choice(fixture, row(choice));
    fixture.advance(100);
}

/// Requests whose commits were logged as lost, each with whether that is certain, and the numbers of others that are and that are not.
type Lost = (Vec<(Box<str>, bool)>, Vec<(usize, usize)>);

fn take_lost(fixture: &mut Fixture) -> Lost {
    let (mut lost, mut more) = (Vec::new(), Vec::new());
    for effect in fixture.take_effects() {
        match effect {
            Effect::RecordChange(StateChange::CommitLost(commit)) => {
                assert_eq!((commit.group, commit.leader), (GROUP, 2));
                assert_eq!(commit.leader_had, Point::new(1, 40));
                lost.push((commit.request, commit.is_certain));
            }
            Effect::RecordChange(StateChange::MoreCommitsLost {
                certain, uncertain, ..
            }) => more.push((certain, uncertain)),
            _ => {}
        }
    }
    (lost, more)
}

/// Five records of the loss did not tell whether callers had been told of the lost commits (users' LOST, inc14).
#[rstest]
#[case::in_log_of_leader((1, 40), (1, 39), None)]
#[case::answer_past_log_of_leader((1, 41), (1, 39), Some(false))]
#[case::sent_past_log_of_leader((1, 41), (1, 40), Some(true))]
#[case::log_was_seen_in_earlier_term((1, 41), (0, 50), Some(false))]
#[case::of_term_of_leader((2, 41), (1, 40), None)]
fn lost_commit_is_told_once(
    #[case] point: (id::Term, id::Position),
    #[case] seen_before: (id::Term, id::Position),
    #[case] expected: Option<bool>,
) {
    let mut fixture = Fixture::new();
    tell_commit(&mut fixture, "r-1", point, seen_before);
    promote_second(&mut fixture, choice(4));
    let expected = expected.map(|is_certain| ("r-1".into(), is_certain));
    assert_eq!(
        take_lost(&mut fixture),
        (expected.into_iter().collect(), vec![])
    );
    load_choice(&mut fixture, row(choice(5)));
    fixture.advance(500);
    assert_eq!(take_lost(&mut fixture), (vec![], vec![]));
}

/// An answer of the old leader may be passed on after the promotion.
/// A claimant asks for it: no member without the commit may be promoted.
#[test]
fn told_commit_is_known_to_be_acknowledged() {
    let mut fixture = Fixture::new();
    tell_commit(&mut fixture, "r-1", (1, 41), (1, 40));
    let known = fixture.broker.knowledge(fixture.now, GROUP).points;
    assert_eq!(known.acknowledged, Some(Point::new(1, 41)));
}

#[test]
fn commit_that_is_told_after_choice_is_lost() {
    let mut fixture = Fixture::new();
    promote_second(&mut fixture, choice(4));
    tell_commit(&mut fixture, "r-1", (1, 44), (1, 43));
    fixture.advance(100);
    assert_eq!(
        take_lost(&mut fixture),
        (vec![("r-1".into(), true)], vec![])
    );
}

#[rstest]
#[case::other_member_leads(ChoiceRecord { target: "member-3".into(), ..choice(4) })]
#[case::first_record_of_handover(ChoiceRecord { hands_over: true, at_order: false, ..choice(4) })]
#[case::log_of_leader_unknown(ChoiceRecord { target_had: None, ..choice(4) })]
fn commit_is_not_lost_by_choice_that_tells_no_end_of_log(#[case] choice: ChoiceRecord) {
    let mut fixture = Fixture::new();
    tell_commit(&mut fixture, "r-1", (1, 44), (1, 43));
    promote_second(&mut fixture, choice);
    assert_eq!(take_lost(&mut fixture), (vec![], vec![]));
}

#[rstest]
#[case::kept(19_000, true)]
#[case::too_old(21_000, false)]
fn told_commit_is_kept_for_20_s(#[case] ms: u64, #[case] expected: bool) {
    let mut fixture = Fixture::new();
    tell_commit(&mut fixture, "r-1", (1, 44), (1, 43));
    fixture.advance(ms);
    promote_second(&mut fixture, choice(4));
    assert_eq!(!take_lost(&mut fixture).0.is_empty(), expected);
}

#[test]
fn lost_commits_are_logged_up_to_a_bound() {
    let mut fixture = Fixture::new();
    for number in 0..500 {
        let request = format!("r-{number}");
        let seen = if number % 2 == 0 { 40 } else { 30 };
        tell_commit(&mut fixture, &request, (1, 41 + number), (1, seen));
    }
    promote_second(&mut fixture, choice(4));
    let (lost, more) = take_lost(&mut fixture);
    assert_eq!(lost.len(), 24);
    assert_eq!(lost[0], ("r-100".into(), true));
    assert_eq!(more, [(188, 188)]);
    tell_commit(&mut fixture, "r-late", (1, 600), (1, 599));
    fixture.advance(100);
    assert_eq!(take_lost(&mut fixture), (vec![], vec![(1, 0)]));
}

/// The end of the log is what any member has shown, before the commit is sent.
#[test]
fn newest_log_end_is_that_of_answers() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.broker.newest_log_end(GROUP), None);
    for (member, position) in [(1, 7), (2, 9), (3, 8)] {
        fixture.handle(Event::StatementEnded(StatementReport {
            member,
            answer: Answer::Served,
            point: Some(Point::new(1, position)),
            floor: None,
            connected_at: None,
            took: None,
        }));
    }
    let expected = Some(Point::new(1, 9));
    assert_eq!(fixture.broker.newest_log_end(GROUP), expected);
}
