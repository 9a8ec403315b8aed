//! Tests of the adaptive concurrency limits, alone and with six homes in front of modelled members.
//!
//! In [`System`], member 1 leads, and members 2 and 3 are replicas. All have five slots and serve a statement in 10 ms on average.

#[path = "pace/system.rs"]
mod system;

mod support;

use std::time::{Duration, Instant};

use fulmarlift_broker::effect::{Effect, StateChange};
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::pace::{Cause, Change, Outcome, Pace, Usage};
use fulmarlift_broker::request::Requirement;
use rstest::rstest;
use support::{Fixture, member_at, version};
use system::{HOMES, Phase, System};

const USAGE: Usage = Usage {
    slots: 5,
    sharers: 6,
    allowance_max: 2.0,
    leads: false,
    is_last_resort: false,
    group_usual_ms: Some(10.0),
};
const USUAL: Duration = Duration::from_millis(10);
const FAST: Outcome = Outcome::Answered { took: Some(USUAL) };

/// Plays a member 3 that restarts at 20 s and is 8 times slower for 3 s, which its entry says, until 35 s.
fn play_cold_start(paced: bool, rate_per_s: u64) -> (System, [usize; 4]) {
    let mut system = System::new(paced, rate_per_s, 10);
    let cold = Phase {
        from_ms: 20_000,
        until_ms: 23_000,
        slowness: 8,
        ..Phase::default()
    };
    system.add_phase(2, cold);
    system.restart(20_000, 2, 3_000);
    let counts = [20_000, 23_000, 24_500, 25_500].map(|at_ms| {
        system.run_until(at_ms);
        system.limiting_homes(2)
    });
    system.run_until(35_000);
    (system, counts)
}

/// Without a limit, 6 homes with 2 statements each keep a queue at a cold member while the others are busy.
#[test]
fn cold_member_is_not_flooded() {
    let (paced, limiting) = play_cold_start(true, 230);
    let (unpaced, _) = play_cold_start(false, 230);
    assert_eq!(
        limiting[..2],
        [0, HOMES],
        "limits before and in the cold time"
    );
    let waiting = |system: &System| system.servers[2].waiting(20_000, 23_000);
    let busy = |system: &System| system.servers[2].busy_between(20_000, 23_000);
    assert!(
        waiting(&paced) < 0.5,
        "statements that an arrival finds in the queue"
    );
    assert!(waiting(&unpaced) > 2.0 * waiting(&paced) + 1.0);
    assert!(busy(&paced) <= 2 && busy(&unpaced) > 10);
}

/// Without a limit, the answer time that the member had while it was cold keeps requests away from it for long.
#[test]
fn member_that_was_cold_is_soon_in_full_use() {
    let (paced, limiting) = play_cold_start(true, 160);
    let (unpaced, _) = play_cold_start(false, 160);
    assert_eq!(limiting[3], 0, "limits 2.5 s after the cold time");
    let arrived = |system: &System| system.servers[2].arrived(25_500, 27_500);
    assert!(arrived(&paced) * 2 > arrived(&unpaced) * 3);
    assert!(paced.refused <= unpaced.refused);
}

#[rstest]
#[case::light(60)]
#[case::usual(120)]
#[case::heavy(230)]
fn healthy_members_get_same_decisions(#[case] rate_per_s: u64) {
    let grants = |paced| {
        let mut system = System::new(paced, rate_per_s, 10);
        system.run_until(24_000);
        system.grants
    };
    let (paced, unpaced) = (grants(true), grants(false));
    assert!(paced.len() > 2_000 && paced == unpaced);
}

#[rstest]
#[case::slow(Phase { slowness: 7, ..Phase::default() })]
#[case::failing(Phase { failing_percent: 15, ..Phase::default() })]
fn unwell_replica_gets_few_requests_and_is_tried_again(#[case] phase: Phase) {
    let mut system = System::new(true, 120, 10);
    let (from_ms, until_ms) = (20_000, 30_000);
    system.add_phase(
        2,
        Phase {
            from_ms,
            until_ms,
            ..phase
        },
    );
    system.run_until(40_000);
    let [_, well, unwell] = [0, 1, 2].map(|index| system.servers[index].arrived(21_000, 30_000));
    assert!(
        unwell * 5 < well,
        "{unwell} at the unwell replica, {well} at the other"
    );
    for from_ms in [20_000, 22_000, 24_000, 26_000, 28_000] {
        let arrived = system.servers[2].arrived(from_ms, from_ms + 2_000);
        assert!(arrived > 0, "none from {from_ms} ms on");
    }
    let after = [1, 2].map(|index| system.servers[index].arrived(33_000, 38_000));
    assert!(after[1] * 3 > after[0], "{after:?} after recovery");
    assert_eq!(system.limiting_homes(2), 0);
}

/// Each time that it comes up, it starts with few statements; the rest of the group goes on serving.
#[test]
fn flapping_replica_is_limited_and_still_used() {
    let mut system = System::new(true, 120, 10);
    for from_ms in [20_000, 21_500, 23_000, 24_500] {
        let until_ms = from_ms + 500;
        let down = true;
        system.add_phase(
            2,
            Phase {
                from_ms,
                until_ms,
                down,
                ..Phase::default()
            },
        );
    }
    for up_ms in [20_600, 22_100, 23_600] {
        system.run_until(up_ms);
        assert_eq!(system.limiting_homes(2), HOMES);
        let arrived = system.servers[2].arrived(up_ms - 100, up_ms + 900);
        assert_eq!(arrived, system.servers[2].arrived(up_ms - 100, up_ms));
        system.run_until(up_ms + 800);
        let arrived = system.servers[2].arrived(up_ms - 100, up_ms + 800);
        assert!((1..120).contains(&arrived), "{arrived} statements in 0.9 s");
    }
    system.run_until(30_000);
    assert_eq!((system.limiting_homes(2), system.refused), (0, 0));
}

#[rstest]
#[case::failed(Outcome::Failed)]
#[case::broken(Outcome::Broken)]
#[case::busy(Outcome::Busy)]
#[case::slow(Outcome::Answered { took: Some(Duration::from_millis(70)) })]
fn limit_falls_at_once_is_never_zero_and_ends(#[case] bad: Outcome) {
    let mut now = Instant::now();
    let mut pace = Pace::default();
    let change = pace.start(now, Duration::ZERO, &USAGE);
    let limit = 1.0 / 6.0;
    let cause = Cause::Start;
    assert_eq!(change, Change::Limited { limit, cause });
    assert!(pace.allows(now, 0, &USAGE) && !pace.allows(now, 1, &USAGE));
    pace.record(now, USUAL, bad, &USAGE);
    assert!(pace.limit() < Some(limit), "falls with one answer");
    for _ in 0..1_000 {
        pace.record(now, USUAL, bad, &USAGE);
        assert!(pace.limit() > Some(0.0) && !pace.allows(now, 0, &USAGE));
        now += Duration::from_millis(400);
        assert!(pace.allows(now, 0, &USAGE), "after the longest pause");
    }
    for answers in 1.. {
        if pace.record(now, USUAL, FAST, &USAGE) == Some(Change::Full) {
            assert!(answers <= 18, "full use after {answers} fast answers");
            break;
        }
    }
    assert_eq!(pace.limit(), None);
}

/// Occasional failures, rejections and slow statements are usual at a member that is well.
#[test]
fn limit_does_not_begin_with_occasional_bad_answers() {
    let now = Instant::now();
    let mut pace = Pace::default();
    let slow = Outcome::Answered {
        took: Some(USUAL * 30),
    };
    for bad in [Outcome::Failed, Outcome::Broken, Outcome::Busy, slow] {
        for nth in 1..=3_000 {
            let outcome = if nth % 30 == 0 { bad } else { FAST };
            assert_eq!(pace.record(now, USUAL, outcome, &USAGE), None, "{bad:?}");
        }
    }
}

/// Statements that become slower at all members show no fault.
#[test]
fn limit_does_not_begin_if_whole_group_is_slower() {
    let now = Instant::now();
    let mut pace = Pace::default();
    let record = |pace: &mut Pace, ms, group_ms| {
        let took = Duration::from_millis(ms);
        let usage = Usage {
            group_usual_ms: Some(group_ms),
            ..USAGE
        };
        pace.record(now, took, Outcome::Answered { took: Some(took) }, &usage)
    };
    for _ in 0..50 {
        assert_eq!(record(&mut pace, 10, 10.0), None);
    }
    for _ in 0..50 {
        assert_eq!(record(&mut pace, 90, 80.0), None);
    }
    let mut alone = Pace::default();
    let mut changes = (0..50).map(|nth| record(&mut alone, if nth < 40 { 10 } else { 90 }, 10.0));
    let limited = Change::Limited {
        limit: 1.0 / 6.0,
        cause: Cause::Slow,
    };
    assert!(changes.any(|change| change == Some(limited)));
}

/// No other member takes writes, so they wait for a short pause at most.
#[test]
fn leader_that_has_failed_takes_writes_after_short_pause() {
    let mut fixture = Fixture::new();
    fixture.broker.adapt_concurrency();
    fixture.add_request(Requirement::Leader);
    fixture.open_all();
    for answer in [Answer::Silent { commit: false }, Answer::Busy] {
        let grant = fixture.take_grants().remove(0);
        fixture.handle(Event::StatementEnded(StatementReport {
            member: 1,
            answer,
            point: None,
            floor: None,
            connected_at: None,
            took: Some(Duration::from_millis(300)),
        }));
        fixture.handle(Event::Returned {
            conn: grant.conn,
            reusable: false,
        });
        fixture.advance(100);
        assert!(
            fixture.broker.pace_limit(1).is_some(),
            "limit after {answer:?}"
        );
        fixture.add_request(Requirement::Leader);
        fixture.open_all();
        fixture.trust_leader();
        end_probes(&mut fixture);
        fixture.advance(100);
        fixture.open_all();
    }
    assert_eq!(fixture.take_grants().len(), 1);
}

/// Ends the probes of the leader, which use connections, too.
fn end_probes(fixture: &mut Fixture) {
    for effect in fixture.take_effects() {
        let Effect::Probe { conn, member } = effect else {
            fixture.effects.push(effect);
            continue;
        };
        let sent_at = fixture.now;
        let commit = false;
        fixture.handle(Event::ProbeEnded(StatementReport {
            member,
            answer: Answer::Led { sent_at, commit },
            point: None,
            floor: None,
            connected_at: None,
            took: None,
        }));
        let reusable = true;
        fixture.handle(Event::Returned { conn, reusable });
    }
}

fn paces(fixture: &mut Fixture) -> Vec<(u64, Change)> {
    let pace = |effect| match effect {
        Effect::RecordChange(StateChange::Pace { member, change }) => Some((member, change)),
        _ => None,
    };
    fixture
        .take_effects()
        .into_iter()
        .filter_map(pace)
        .collect()
}

/// All entries are new to a proxy that has just started: only what they say of themselves counts.
#[rstest]
#[case::known_group(true, 0, true)]
#[case::starting_proxy(false, 0, false)]
#[case::starting_proxy_and_cold_member(false, 2_000, true)]
fn limit_begins_with_entry_of_started_member(
    #[case] knows_group: bool,
    #[case] cold_remaining_ms: u32,
    #[case] expected: bool,
) {
    let mut fixture = match knows_group {
        true => Fixture::new(),
        false => Fixture::starting(),
    };
    fixture.broker.adapt_concurrency();
    let mut entry = member_at(13, "c", false);
    entry.revision = version(13);
    entry.cold_remaining_ms = cold_remaining_ms;
    fixture.handle(Event::Configured(support::topology()));
    fixture.handle(Event::Listed(entry));
    assert_eq!(!paces(&mut fixture).is_empty(), expected);
    assert_eq!(fixture.broker.pace_limit(13).is_some(), expected);
}
