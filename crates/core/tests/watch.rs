//! Tests of a group's watch: reports out of order, missing answers, pauses of the proxy, and heartbeat intervals.

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, floor, id, status};
use rstest::rstest;

const GROUP: id::GroupId = 1;
const MEMBER: id::MemberId = 1;
const TICK_INTERVAL: Duration = Duration::from_millis(20);

struct Fixture {
    watch: status::Watch,
    now: Instant,
    last_control_request: id::ControlRequestId,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            watch: status::Watch::new(GROUP, 1..=3, now),
            now,
            last_control_request: 0,
        }
    }

    /// Ticks while time passes and returns the control requests to [`MEMBER`].
    fn run(&mut self, time: Duration) -> Vec<id::ControlRequestId> {
        let until = self.now + time;
        let mut control_requests = Vec::new();
        while self.now < until {
            self.now += TICK_INTERVAL;
            control_requests.extend(self.tick().0);
        }
        control_requests
    }

    /// Returns the control requests to [`MEMBER`] of one tick, and what else follows from the tick.
    fn tick(&mut self) -> (Vec<id::ControlRequestId>, status::Results) {
        let mut effects = Vec::new();
        let results = self
            .watch
            .tick(self.now, &mut self.last_control_request, &mut effects);
        let control_requests = effects.iter().filter_map(|effect| match effect {
            effect::Effect::AskStatus {
                control_request,
                member,
                ..
            } if *member == MEMBER => Some(*control_request),
            _ => None,
        });
        (control_requests.collect(), results)
    }

    /// Answers a control request as [`MEMBER`], with a log that ends at this term and position.
    fn answer(
        &mut self,
        control_request: id::ControlRequestId,
        term: id::Term,
        position: id::Position,
    ) {
        let status = event::Status {
            term,
            last: floor::Point::new(term, position),
            ..event::Status::default()
        };
        let answer = event::StatusAnswer {
            control_request,
            group: GROUP,
            member: MEMBER,
            status: Some(status),
        };
        self.watch.apply_status_answer(self.now, answer);
    }

    fn last(&self) -> floor::Point {
        let member = self.watch.members.get(MEMBER);
        member.expect("the member is configured").last_point()
    }

    fn reachable(&self) -> bool {
        let member = self.watch.members.get(MEMBER);
        member.expect("the member is configured").reachable
    }
}

#[test]
fn answer_overtaken_by_newer_one_is_ignored() {
    let mut fixture = Fixture::new();
    let control_requests = fixture.run(Duration::from_millis(220));
    fixture.answer(control_requests[1], 5, 10);
    fixture.answer(control_requests[0], 4, 12);
    assert_eq!(fixture.last(), floor::Point::new(5, 10));
    assert_eq!(fixture.watch.top_term(), 5);
}

#[test]
fn answer_asked_before_a_grant_does_not_undo_it() {
    let mut fixture = Fixture::new();
    let control_requests = fixture.run(TICK_INTERVAL);
    let granted = event::Status {
        term: 5,
        ..event::Status::default()
    };
    fixture.watch.record_status(fixture.now, MEMBER, granted);
    fixture.answer(control_requests[0], 4, 12);
    assert_eq!(fixture.watch.top_term(), 5);
}

#[test]
fn answer_of_member_that_lost_its_log_is_believed() {
    let mut fixture = Fixture::new();
    let control_requests = fixture.run(TICK_INTERVAL);
    fixture.answer(control_requests[0], 5, 10);
    let control_requests = fixture.run(Duration::from_millis(200));
    fixture.answer(control_requests[0], 0, 0);
    assert_eq!(fixture.last(), floor::Point::default());
}

#[test]
fn tick_asks_again_while_an_answer_stays_out() {
    let mut fixture = Fixture::new();
    let control_requests = fixture.run(Duration::from_millis(320));
    assert!(control_requests.len() >= 3, "{control_requests:?}");
    fixture.answer(control_requests[control_requests.len() - 1], 1, 1);
    assert!(fixture.reachable());
}

#[test]
fn tick_marks_silent_member() {
    let mut fixture = Fixture::new();
    let control_requests = fixture.run(TICK_INTERVAL);
    fixture.answer(control_requests[0], 1, 1);
    fixture.run(Duration::from_secs(1));
    assert!(!fixture.reachable());
}

#[test]
fn tick_after_own_pause_marks_nobody() {
    let mut fixture = Fixture::new();
    let control_requests = fixture.run(TICK_INTERVAL);
    fixture.answer(control_requests[0], 1, 1);
    fixture.now += Duration::from_secs(5);
    let (control_requests, results) = fixture.tick();
    assert_eq!(results, status::Results::default());
    assert!(
        !control_requests.is_empty(),
        "the proxy asks members at once"
    );
    assert!(fixture.reachable());
}

#[test]
fn ask_serves_many_reads_with_one_question() {
    let mut fixture = Fixture::new();
    let control_requests = fixture.run(TICK_INTERVAL);
    fixture.answer(control_requests[0], 1, 1);
    let mut effects = Vec::new();
    for read in 0..100 {
        fixture.now += Duration::from_micros(10);
        fixture.watch.read_index_waits.add(read, fixture.now);
        let (now, last_control_request) = (fixture.now, &mut fixture.last_control_request);
        fixture
            .watch
            .send_control_requests(now, last_control_request, &mut effects);
    }
    assert_eq!(effects.len(), 1, "the other members have not answered yet");
}

#[rstest]
#[case::few_groups(false, 0, 3, Some(240))]
#[case::one_group(false, 0, 1, Some(100))]
#[case::chosen(true, 23, 35, Some(1_840))]
#[case::passive(false, 23, 35, None)]
fn role_keeps_to_the_budget(
    #[case] is_chosen: bool,
    #[case] chosen: usize,
    #[case] groups: usize,
    #[case] heartbeat_ms: Option<u64>,
) {
    let expected = match heartbeat_ms {
        Some(heartbeat_ms) => status::Role::Watcher {
            heartbeat_interval: Duration::from_millis(heartbeat_ms),
        },
        None => status::Role::Passive,
    };
    assert_eq!(status::Role::new(is_chosen, chosen, groups), expected);
}

/// Ticks while time passes, answers every control request, and returns how many there were.
fn count_requests(fixture: &mut Fixture, role: status::Role, time: Duration) -> usize {
    let until = fixture.now + time;
    let mut count = 0;
    while fixture.now < until {
        fixture.now += TICK_INTERVAL;
        fixture.watch.set_role(fixture.now, role);
        let (control_requests, _) = fixture.tick();
        count += control_requests.len();
        for control_request in control_requests {
            fixture.answer(control_request, 1, 1);
        }
    }
    count
}

#[test]
fn passive_proxy_of_idle_group_asks_rarely_and_keeps_members_reachable() {
    let mut fixture = Fixture::new();
    count_requests(&mut fixture, status::Role::Passive, Duration::from_secs(10));
    let idle = Duration::from_secs(60);
    let count = count_requests(&mut fixture, status::Role::Passive, idle);
    assert!(count <= 4, "{count} requests in a minute");
    assert!(fixture.reachable());
    assert_eq!(
        fixture.watch.primary_answers(),
        None,
        "peers must not rely on its view"
    );
}

#[test]
fn record_activity_wakes_passive_proxy_at_once() {
    let mut fixture = Fixture::new();
    let role = status::Role::Passive;
    count_requests(&mut fixture, role, Duration::from_secs(10));
    fixture.watch.record_activity(fixture.now);
    let count = count_requests(&mut fixture, role, Duration::from_secs(1));
    assert!(count >= 9, "{count} requests in a second");
    assert_eq!(
        fixture.watch.primary_answers(),
        Some(false),
        "no member is primary"
    );
}

/// Upstream silence of a replica that is cut off from its primary.
const CUT_OFF: Duration = Duration::from_millis(1_500);
/// Upstream silence of a replica that hears from its primary.
const RECENT: Duration = Duration::from_millis(499);

#[rstest]
#[case::all_hear(&[RECENT, RECENT], 1, false)]
#[case::one_of_three_cut(&[CUT_OFF, RECENT], 1, false)]
#[case::two_of_three_cut(&[CUT_OFF, CUT_OFF], 1, true)]
#[case::one_of_two_cut(&[CUT_OFF], 1, false)]
#[case::two_of_four_cut(&[CUT_OFF, CUT_OFF, RECENT], 1, false)]
#[case::three_of_five_cut(&[CUT_OFF, CUT_OFF, CUT_OFF, RECENT], 1, true)]
#[case::cut_at_older_term(&[CUT_OFF, CUT_OFF], 2, false)]
fn has_primary_lost_majority_once_majority_misses_it(
    #[case] silences: &[Duration],
    #[case] primary_term: id::Term,
    #[case] lost_majority: bool,
) {
    let now = Instant::now();
    let members = silences.len() as u64 + 1;
    let mut watch = status::Watch::new(GROUP, 1..=members, now);
    let primary = event::Status {
        term: primary_term,
        primary: true,
        ..event::Status::default()
    };
    watch.record_status(now, MEMBER, primary);
    for (member, upstream_silence) in (2..).zip(silences) {
        let status = event::Status {
            term: 1,
            upstream_silence: *upstream_silence,
            ..event::Status::default()
        };
        watch.record_status(now, member, status);
    }
    for (_, member) in watch.members.iter_mut() {
        member.reachable = true;
    }
    assert_eq!(watch.primary_has_lost_majority(), lost_majority);
    for (_, member) in watch.members.iter_mut() {
        member.reachable = false;
    }
    assert!(
        !watch.primary_has_lost_majority(),
        "reports of unreachable members do not count"
    );
}

/// Member 2 has confirmed the commit and is removed from the group. Of the three that remain, only the primary holds the commit.
#[test]
fn commit_is_not_confirmed_by_member_that_was_removed() {
    let now = Instant::now();
    let point = floor::Point::new(4, 10);
    let mut watch = status::Watch::new(GROUP, 1..=4, now);
    watch.confirmations.add(7, point, MEMBER);
    let report = |position| event::Status {
        term: 4,
        last: floor::Point::new(4, position),
        ..event::Status::default()
    };
    assert_eq!(watch.record_status(now, 2, report(10)).confirmed, []);
    watch.configure([1, 3, 4].into_iter(), now);
    assert_eq!(watch.record_status(now, 3, report(9)).confirmed, []);
}
