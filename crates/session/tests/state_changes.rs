//! Log lines of state changes.

mod support;

use std::cell::RefCell;
use std::sync::{Arc, Mutex, Once};
use std::time::{Duration, Instant};

use fulmarlift_broker::claim::{ChoiceRecord, RecordedMember};
use fulmarlift_broker::effect::{
    Choice, ChoiceBasis, ChoiceMember, CommandAnswer, Comparison, DroppedMember, LostCommit,
    StateChange,
};
use fulmarlift_broker::event::{MemberStatus, StatusAnswer};
use fulmarlift_broker::leader::ReplaceReason;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_session::clock;
use fulmarlift_session::shell::state_changes;
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, SharedString, Unit};
use rstest::rstest;
use support::{ClaimRows, shell_with};

thread_local! {
    /// Lines that the current test has written.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps lines with their levels.
struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!("level={} {}", record.level(), record.args());
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

/// Keeps the increments of counters, each with the counter's name and labels.
#[derive(Default)]
struct Counters(Arc<Mutex<Vec<(String, u64)>>>);

struct Counted(String, Arc<Mutex<Vec<(String, u64)>>>);

impl metrics::CounterFn for Counted {
    fn increment(&self, value: u64) {
        let mut counted = self.1.lock().expect("no test panics meanwhile");
        counted.push((self.0.clone(), value));
    }

    fn absolute(&self, _: u64) {}
}

impl metrics::Recorder for Counters {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let labels = key.labels();
        let labels: String = labels
            .map(|label| format!(" {}={}", label.key(), label.value()))
            .collect();
        let name = format!("{}{labels}", key.name());
        Counter::from_arc(Arc::new(Counted(name, Arc::clone(&self.0))))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

/// Logs a state change, and returns the increments of counters other than 0.
fn counted_by(change: &StateChange) -> Vec<(String, u64)> {
    let counters = Counters::default();
    metrics::with_local_recorder(&counters, || lines_of(change));
    let mut counted = counters.0.lock().expect("no test panics meanwhile").clone();
    counted.retain(|(_, value)| *value > 0);
    counted
}

/// Logs a state change of a broker that knows no member, and returns the lines.
fn lines_of(change: &StateChange) -> Vec<String> {
    static START: Once = Once::new();
    START.call_once(|| {
        log::set_logger(&Lines).expect("no other logger is set");
        log::set_max_level(log::LevelFilter::Info);
    });
    let shell = shell_with("proxy-1", "a", true, ClaimRows::default());
    LINES.take();
    shell.with_broker(|broker| state_changes::log(broker, change));
    LINES.take()
}

fn ago(now: Instant, seconds: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_secs(seconds))
}

/// A member that was listed 60 s ago, and answered 7 s ago over a connection that was opened 9 s ago.
fn answered(now: Instant, member: id::MemberId, leads: bool, position: u64) -> ChoiceMember {
    let status = MemberStatus {
        leads,
        term: 13,
        received: Point::new(13, position),
        held_term: 14,
    };
    ChoiceMember {
        member,
        name: format!("member-{member}").into(),
        answer: Some(CommandAnswer {
            status,
            answered_at: ago(now, 7).expect("the clock counts from long ago"),
            connected_at: ago(now, 9),
        }),
        known_since: ago(now, 60),
        asked: true,
        listed: true,
        leaving: false,
        dropped: None,
    }
}

/// Replaces the milliseconds of ages in whole seconds, which depend on the time between two readings of the clock.
fn in_seconds(line: &str) -> String {
    let whole = |text: &str| match text.parse::<u64>() {
        Ok(ms) if ms >= 1_000 => format!("{}s", ms / 1_000),
        _ => text.to_owned(),
    };
    let parts: Vec<String> = line.split('/').map(whole).collect();
    let line = parts.join("/");
    let (before, after) = line.split_once("dropped=").unwrap_or((&line, ""));
    match after.split_once('+') {
        Some((age, after)) => format!("{before}dropped={}+{after}", whole(age)),
        None => line,
    }
}

#[test]
fn line_of_choice_tells_all_that_its_claimant_knew() {
    let now = clock::now();
    let silent = ChoiceMember {
        answer: None,
        ..answered(now, 3, false, 0)
    };
    let dropped = ChoiceMember {
        known_since: None,
        listed: false,
        ..answered(now, 4, false, 528)
    };
    let dropped_unanswered = ChoiceMember {
        answer: None,
        dropped: Some(DroppedMember {
            at: ago(now, 3).expect("the clock counts from long ago"),
            reached: Some(Point::new(13, 527)),
        }),
        ..dropped.clone()
    };
    let away = ChoiceMember {
        asked: false,
        listed: false,
        leaving: true,
        answer: None,
        ..answered(now, 5, false, 0)
    };
    let change = StateChange::Choice(Choice {
        group: 7,
        token: 12,
        reason: ReplaceReason::Leaving,
        target: Some(2),
        basis: ChoiceBasis {
            old_leader: Some(1),
            hands_over: true,
            surveyed_end: Some(Point::new(13, 528)),
            log_end: Some(Point::new(13, 529)),
            acknowledged: Some(Point::new(13, 526)),
            answered_end: Some(Point::new(13, 527)),
        },
        members: vec![
            answered(now, 1, true, 528),
            answered(now, 2, false, 529),
            silent,
            dropped,
            dropped_unanswered,
            away,
        ],
        told_by: vec!["vm-2".into(), "vm-3".into()],
    });
    let lines: Vec<String> = lines_of(&change)
        .iter()
        .map(|line| in_seconds(line))
        .collect();
    assert_eq!(
        lines,
        [
            "level=INFO event=choice group=unknown token=12 reason=Leaving hands_over=true target=member-2 old_leader=member-1 \
             log_end=13.529 surveyed_end=13.528 acknowledged=13.526 answered_end=13.527 told_by=\"vm-2 vm-3\" members=\"member-1:13.528/13/14/7s/9s/60s/leads member-2:13.529/13/14/7s/9s/60s/- \
             member-3:-/-/-/-/-/60s/no_answer member-4:13.528/13/14/7s/9s/-/dropped \
             member-4:13.527/-/-/-/-/-/dropped=3s+no_answer \
             member-5:-/-/-/-/-/60s/leaving+unlisted+not_asked\""
        ]
    );
}

#[test]
fn line_of_leader_choice_tells_record() {
    let member = RecordedMember {
        name: "member-1".into(),
        received: Some(Point::new(13, 528)),
        held_term: 14,
        listed: true,
        leaving: true,
        answered: true,
        dropped_for_ms: None,
    };
    let dropped = RecordedMember {
        name: "member-2".into(),
        received: Some(Point::new(13, 530)),
        dropped_for_ms: Some(3_200),
        ..RecordedMember::default()
    };
    let unknown = RecordedMember {
        name: "member-3".into(),
        ..RecordedMember::default()
    };
    let choice = ChoiceRecord {
        token: 12,
        claimant: "proxy-2-0".into(),
        target: "member-1".into(),
        replaced_term: 13,
        hands_over: false,
        at_order: true,
        acknowledged: None,
        target_had: Some(Point::new(13, 528)),
        members: vec![member, dropped, unknown],
        told_by: vec!["proxy-3".into(), "proxy-4".into()],
    };
    let change = StateChange::LeaderChoice {
        group: 7,
        leader: 1,
        term: 14,
        choice: Box::new(choice),
    };
    assert_eq!(
        lines_of(&change),
        [
            "level=INFO event=leader_choice group=unknown leader=unknown term=14 token=12 claimant=proxy-2-0 target=member-1 \
             target_had=13.528 acknowledged=none hands_over=false at_order=true told_by=\"proxy-3 proxy-4\" \
             members=\"member-1:13.528/14/listed+leaving+answered member-2:13.530/0/dropped=3200 member-3:-/0/-\""
        ]
    );
}

#[test]
fn lines_of_lost_commits_name_request_and_leader() {
    let lost = LostCommit {
        group: 7,
        request: "09ab".into(),
        point: Point::new(13, 531),
        told_at: ago(clock::now(), 3).expect("the clock counts from long ago"),
        leader: 2,
        leader_had: Point::new(13, 528),
        is_certain: true,
    };
    let lines = lines_of(&StateChange::CommitLost(lost));
    let [line] = lines.as_slice() else {
        panic!("one line, not {lines:?}");
    };
    let (before, after) = line
        .split_once("acknowledged_ms_ago=3")
        .expect("the age is told");
    assert_eq!(
        before,
        "level=WARN event=commit_lost request=09ab group=unknown point=13.531 leader=unknown leader_had=13.528 "
    );
    assert!(after.ends_with(" certain=true"), "{after}");
    let more = StateChange::MoreCommitsLost {
        group: 7,
        leader: 2,
        leader_had: Point::new(13, 528),
        certain: 5,
        uncertain: 14,
    };
    assert_eq!(
        lines_of(&more),
        [
            "level=WARN event=more_commits_lost group=unknown leader=unknown leader_had=13.528 certain=5 uncertain=14"
        ]
    );
}

#[rstest]
#[case::certain(true, "true")]
#[case::uncertain(false, "false")]
fn lost_commits_are_counted_by_certainty(#[case] is_certain: bool, #[case] certain: &str) {
    let point = Point::new(13, 531);
    let lost = StateChange::CommitLost(LostCommit {
        group: 7,
        request: "09ab".into(),
        point,
        told_at: clock::now(),
        leader: 2,
        leader_had: Point::new(13, 528),
        is_certain,
    });
    let name = format!("fulmarlift_commits_lost_total certain={certain}");
    assert_eq!(counted_by(&lost), [(name.clone(), 1)]);
    let more = StateChange::MoreCommitsLost {
        group: 7,
        leader: 2,
        leader_had: Point::new(13, 528),
        certain: if is_certain { 5 } else { 0 },
        uncertain: if is_certain { 0 } else { 5 },
    };
    assert_eq!(counted_by(&more), [(name, 5)]);
}

#[rstest]
#[case::without_point(None, 1)]
#[case::with_point(Some(Point::new(13, 528)), 0)]
fn choice_without_acknowledged_point_is_counted(
    #[case] acknowledged: Option<Point>,
    #[case] expected: usize,
) {
    let change = StateChange::Choice(Choice {
        group: 7,
        token: 12,
        reason: ReplaceReason::Gone,
        target: None,
        basis: ChoiceBasis {
            old_leader: None,
            hands_over: false,
            surveyed_end: None,
            log_end: None,
            acknowledged,
            answered_end: None,
        },
        members: vec![],
        told_by: vec![],
    });
    let name = "fulmarlift_choices_without_point_total".to_owned();
    assert_eq!(counted_by(&change), vec![(name, 1); expected]);
}

const REFUSED: StatusAnswer = StatusAnswer::Refused {
    is_busy: true,
    point: Some(Point {
        term: 14,
        position: 530,
    }),
};
const TOLD: StatusAnswer = StatusAnswer::Status(MemberStatus {
    leads: false,
    term: 14,
    received: Point {
        term: 13,
        position: 528,
    },
    held_term: 14,
});

#[rstest]
#[case::told(Some(TOLD), false, "received=13.528 answer=14/14", None)]
#[case::busy(
    Some(REFUSED),
    true,
    "received=14.530 answer=busy",
    Some("had=14.530 refused=true")
)]
#[case::ahead(
    Some(TOLD),
    true,
    "received=13.528 answer=14/14",
    Some("had=13.528 refused=false")
)]
#[case::refused(
    Some(StatusAnswer::Refused { is_busy: false, point: None }),
    false,
    "received=none answer=refused",
    None
)]
#[case::unanswered(Some(StatusAnswer::Missing), false, "received=none answer=none", None)]
#[case::not_asked(None, false, "received=none answer=not_asked", None)]
fn lines_of_comparison_warn_of_replica_ahead(
    #[case] answer: Option<StatusAnswer>,
    #[case] is_ahead: bool,
    #[case] compared: &str,
    #[case] warned: Option<&str>,
) {
    let change = StateChange::Compared(Comparison {
        group: 7,
        token: 12,
        leader: 2,
        term: 14,
        leader_had: Some(Point::new(13, 529)),
        member: 3,
        choice_received: Some(Point::new(13, 528)),
        answer,
        is_ahead,
    });
    let promotion =
        "group=unknown token=12 leader=unknown leader_term=14 leader_had=13.529 member=unknown";
    let compared = format!(
        "level=INFO event=promotion_compared {promotion} choice_received=13.528 {compared}"
    );
    let warned =
        warned.map(|warned| format!("level=WARN event=replica_ahead {promotion} {warned}"));
    let expected: Vec<String> = [compared].into_iter().chain(warned).collect();
    assert_eq!(lines_of(&change), expected);
}

#[test]
fn line_of_stopped_leader_that_went_on_warns() {
    let stopped = StateChange::LeaderStopped {
        group: 7,
        token: 12,
        member: 1,
        log_end: Point::new(13, 529),
    };
    let went_on = StateChange::StoppedLeaderWentOn {
        group: 7,
        token: 12,
        member: 1,
        log_end: Point::new(13, 529),
        point: Point::new(13, 530),
    };
    let leader = "group=unknown token=12 member=unknown log_end=13.529";
    assert_eq!(
        lines_of(&stopped),
        [format!("level=INFO event=leader_stopped {leader}")]
    );
    assert_eq!(
        lines_of(&went_on),
        [format!(
            "level=WARN event=stopped_leader_went_on {leader} now=13.530"
        )]
    );
}
