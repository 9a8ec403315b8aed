//! Members whose answers cannot be decoded: what is logged, what callers are told, and how often the members are asked (issue 61).

#[path = "support/answering.rs"]
mod answering;
mod support;

use std::cell::RefCell;
use std::sync::Once;
use std::time::Duration;

use answering::{Reaction, System, TIMEOUT_MS};
use fulmarlift_broker::topology::Consistency;
use fulmarlift_session::protocol::member::{Command, Verb};
use fulmarlift_session::protocol::{Code, Mode};
use rstest::rstest;
use tokio::io::AsyncWriteExt;

const READ: Verb = Verb::Run(Mode::Read);
const WRITE: Verb = Verb::Run(Mode::Write);
const BEGIN: Verb = Verb::Begin(Mode::Write);
const BARE_LF: Reaction = Reaction::Sends("DATAROW x\nCOMPLETE forged\r\nREADY I\r\n");
const BUSY: Reaction = Reaction::Refuses("BUSY");
const FAILED: Reaction = Reaction::Refuses("FAILED");

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

thread_local! {
    /// Lines that the current test has logged.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines that a test logs.
struct KeptLines;

impl log::Log for KeptLines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn keep_lines() {
    static START: Once = Once::new();
    START.call_once(|| {
        log::set_logger(&KeptLines).expect("no other logger is set");
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.take();
}

/// Returns the kept lines of an event.
fn lines_of(event: &str) -> Vec<String> {
    let start = format!("event={event} ");
    LINES.with_borrow(|lines| {
        let told = lines.iter().filter(|line| line.starts_with(&start));
        told.cloned().collect()
    })
}

fn assert_has(line: &str, parts: &[&str]) {
    for part in parts {
        assert!(line.contains(part), "{part:?} is not in {line:?}");
    }
}

/// One statement was served on the connection before, so that not every answer of the member was malformed.
#[tokio::test]
async fn malformed_answer_is_logged_with_its_bytes_and_what_stood_behind() {
    keep_lines();
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let mut caller = system.connect().await;
        caller.run("s0", "WRITE 1 x", WRITE).await;
        system.react(Reaction::Sends(
            "DATAROW a\r\nDATAROW b\nCOMPLETE forged\r\nREADY I\r\n",
        ));
        caller.run("s1", "WRITE 2 x", WRITE).await;
    })
    .await;
    let lines = lines_of("member_malformed");
    assert_eq!(lines.len(), 1, "{lines:#?}");
    let parts = [
        "request=s1 member=member-1 connection=127.0.0.1:",
        "error=\"malformed message: line without CR LF\"",
        "rows_before=1",
        "sent_ms_ago=",
        r#"message="DATAROW\x20b\nCOMPLETE\x20for"#,
        r#"left_bytes=26 left="COMPLETE\x20forged\r\nREADY\x20I\r\n""#,
    ];
    assert_has(&lines[0], &parts);
    // The startup and at least the first write were answered.
    assert!(!lines[0].contains("answers_before=0 "), "{lines:?}");
}

#[tokio::test]
async fn log_of_long_malformed_answer_is_bounded() {
    keep_lines();
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let answer = format!("{}\x1b[2J\n", "x".repeat(100_000));
        system.react(Reaction::Sends(answer.leak()));
        system.connect().await.run("s1", "WRITE 2 x", WRITE).await;
    })
    .await;
    let lines = lines_of("member_malformed");
    assert_eq!(lines.len(), 1, "{lines:#?}");
    assert!(lines[0].len() < 600, "{}", lines[0]);
}

#[rstest]
#[case::malformed(
    BARE_LF,
    "last_error=\"member's answer: malformed message: line without CR LF\""
)]
#[case::broken(Reaction::Closes, "last_error=\"connection broken\"")]
#[case::refused(Reaction::Refuses("BUSY"), "last_code=Busy")]
#[tokio::test]
async fn failed_read_is_logged_with_its_attempts(#[case] reaction: Reaction, #[case] last: &str) {
    keep_lines();
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        system.react(reaction);
        system.connect().await.run("s1", "READ 2", READ).await;
    })
    .await;
    let lines = lines_of("failed");
    assert_eq!(lines.len(), 1, "{lines:#?}");
    assert_has(
        &lines[0],
        &["request=s1", "attempts=", "last_member=member-1", last],
    );
}

#[tokio::test]
async fn malformed_message_of_caller_is_logged_with_its_address() {
    keep_lines();
    let mut address = String::new();
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let mut caller = system.connect().await;
        address = caller.stream.local_addr().expect("connected").to_string();
        // A frame of a kind that does not exist.
        let written = caller.stream.write_all(b"\0\0\0\x04\xff\xff\xff\xff").await;
        written.expect("the proxy accepts the bytes");
        while lines_of("malformed").is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let lines = lines_of("malformed");
    let client = format!("database=ledger client=caller address={address} error=");
    assert_has(&lines[0], &[&client, r#"message="\x00\x00\x00\x04\xff"#]);
}

/// A read that got no result in time, or none at all, is told apart from one that no member has run.
#[rstest]
#[case::malformed(
    BARE_LF,
    Code::Failed,
    "no usable answer in 6 attempts, last: member's answer: malformed message: line without CR LF"
)]
#[case::broken(
    Reaction::Closes,
    Code::Failed,
    "no usable answer in 6 attempts, last: connection broken"
)]
#[case::silent(
    Reaction::Rests,
    Code::Timeout,
    "no usable answer in time, last: no answer in time"
)]
#[case::refused(BUSY, Code::Busy, "not run in 6 attempts, last: refused with Busy")]
#[tokio::test]
async fn read_without_answer_is_told_why(
    #[case] reaction: Reaction,
    #[case] code: Code,
    #[case] text: &str,
) {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        system.react(reaction);
        let refused = system.connect().await.run("s1", "READ 2", READ).await;
        assert_eq!(refused, Some((code, text.into())));
    })
    .await;
}

#[rstest]
#[case::malformed(BARE_LF, Code::Failed)]
#[case::broken(Reaction::Closes, Code::Failed)]
#[case::silent(Reaction::Rests, Code::Timeout)]
#[case::refused(BUSY, Code::Busy)]
#[tokio::test]
async fn read_without_answer_is_told_why_through_home(
    #[case] reaction: Reaction,
    #[case] code: Code,
) {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, true).await;
        system.react(reaction);
        let refused = system.connect().await.run("s1", "READ 2", READ).await;
        assert_eq!(refused.map(|(code, _)| code), Some(code));
    })
    .await;
}

/// The home repeats the read as often as it is worth it.
#[tokio::test]
async fn failed_read_is_repeated_by_home_only() {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, true).await;
        system.react(FAILED);
        let refused = system.connect().await.run("s1", "READ 2", READ).await;
        assert_eq!(refused.map(|(code, _)| code), Some(Code::Failed));
        let arrivals = system.arrivals().len();
        assert!(arrivals <= 6, "{arrivals}");
    })
    .await;
}

/// Statements of a transaction, the last of which gets no usable answer, and the code that tells what became of it.
#[rstest]
#[case::write(&[("WRITE 1 x", WRITE)], Code::InDoubt)]
#[case::read_in_transaction(&[("BEGIN", BEGIN), ("READ 1", READ)], Code::Aborted)]
#[case::write_in_transaction(&[("BEGIN", BEGIN), ("WRITE 1 x", WRITE)], Code::Aborted)]
#[case::commit_of_write(
    &[("BEGIN", BEGIN), ("WRITE 1 x", WRITE), ("COMMIT", Verb::Commit)],
    Code::InDoubt
)]
#[case::commit_of_read(
    &[("BEGIN", BEGIN), ("READ 1", READ), ("COMMIT", Verb::Commit)],
    Code::Aborted
)]
#[tokio::test]
async fn statement_without_answer_is_told_its_outcome(
    #[case] statements: &[(&'static str, Verb)],
    #[case] code: Code,
    #[values(BARE_LF, Reaction::Closes, Reaction::Rests)] reaction: Reaction,
    #[values(false, true)] forwards: bool,
) {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, forwards).await;
        let mut caller = system.connect().await;
        let (last, before) = statements.split_last().expect("there is one");
        for (text, verb) in before {
            assert_eq!(caller.run("t1", text, *verb).await, None, "{text}");
        }
        system.react(reaction);
        let refused = caller.run("t1", last.0, last.1).await;
        assert_eq!(refused.map(|(code, _)| code), Some(code));
    })
    .await;
}

/// The proxy's check that the member leads comes before the statement, which has not run.
#[rstest]
#[case::single("READ 1", None)]
#[case::transaction("READ 1", Some("BEGIN"))]
#[tokio::test]
async fn statement_behind_malformed_check_is_told_that_it_has_not_run(
    #[case] text: &'static str,
    #[case] begin: Option<&'static str>,
) {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let mut caller = system.connect().await;
        system.members[0].own.set(Some(("BEGIN", BARE_LF)));
        if let Some(begin) = begin {
            caller.run("t1", begin, Verb::Begin(Mode::Read)).await;
        }
        let refused = caller.run("t1", text, READ).await;
        let (code, text) = refused.expect("the member does not answer");
        assert_eq!(code, Code::Busy);
        let why = "in 6 attempts, last: not sent: member's answer: malformed message";
        assert!(text.contains(why), "{text}");
    })
    .await;
}

/// A member that answers malformed is not asked six times within milliseconds.
#[rstest]
#[case::malformed(BARE_LF)]
#[case::broken(Reaction::Closes)]
#[tokio::test]
async fn read_without_answer_is_repeated_at_growing_pauses(#[case] reaction: Reaction) {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        system.react(reaction);
        system.connect().await.run("s1", "READ 2", READ).await;
        let arrivals = system.arrivals();
        assert_eq!(arrivals.len(), 6);
        let pauses = arrivals.windows(2).map(|pair| pair[1] - pair[0]);
        let pauses_ms: Vec<u128> = pauses.map(|pause| pause.as_millis()).collect();
        for (pause_ms, at_least) in pauses_ms.iter().zip([0, 10, 20, 40, 80]) {
            assert!(*pause_ms >= at_least, "{pauses_ms:?}");
        }
    })
    .await;
}

#[rstest]
#[case::read("READ 1", READ)]
#[case::write("WRITE 1 x", WRITE)]
#[tokio::test]
async fn refused_session_value_costs_no_connections(
    #[case] text: &'static str,
    #[case] verb: Verb,
) {
    keep_lines();
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let mut caller = system.connect().await;
        caller.run("s0", text, verb).await;
        let connections = system.members[0].connections.get();
        system.members[0]
            .own
            .set(Some(("SET", Reaction::Refuses("FAILED"))));
        let (name, value) = ("zone", &"north".into());
        assert_eq!(caller.ask(Command::Set { name, value }).await, None);
        let refused = caller.run("s1", text, verb).await;
        let text_told = "not run in 6 attempts, last: not sent: session values refused with Failed";
        assert_eq!(refused, Some((Code::Busy, text_told.into())));
        // Others are served on the same connection.
        assert_eq!(system.connect().await.run("s2", text, verb).await, None);
        assert_eq!(system.members[0].connections.get(), connections);
    })
    .await;
    let lines = lines_of("values_refused");
    assert_eq!(lines.len(), 6, "{lines:#?}");
    assert_eq!(
        lines[0],
        "event=values_refused request=s1 member=member-1 code=Failed"
    );
}

#[rstest]
#[case::statement("READ 1", READ)]
#[case::commit("COMMIT", Verb::Commit)]
#[tokio::test]
async fn refused_session_value_rolls_transaction_back(
    #[case] text: &'static str,
    #[case] verb: Verb,
) {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let mut caller = system.connect().await;
        caller.run("t1", "BEGIN", BEGIN).await;
        assert_eq!(caller.run("t1", "WRITE 1 x", WRITE).await, None);
        let connections = system.members[0].connections.get();
        system.members[0]
            .own
            .set(Some(("SET", Reaction::Refuses("FAILED"))));
        let (name, value) = ("zone", &"north".into());
        assert_eq!(caller.ask(Command::Set { name, value }).await, None);
        let refused = caller.run("t1", text, verb).await;
        let text_told = "session values refused with Failed";
        assert_eq!(refused, Some((Code::Aborted, text_told.into())));
        let other = system.connect().await.run("s2", "WRITE 1 x", WRITE).await;
        assert_eq!(other, None);
        assert_eq!(system.members[0].connections.get(), connections);
    })
    .await;
}

#[tokio::test]
async fn transaction_with_refused_session_value_is_not_begun() {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let mut caller = system.connect().await;
        caller.run("s0", "WRITE 1 x", WRITE).await;
        let connections = system.members[0].connections.get();
        system.members[0]
            .own
            .set(Some(("SET", Reaction::Refuses("FAILED"))));
        let (name, value) = ("zone", &"north".into());
        assert_eq!(caller.ask(Command::Set { name, value }).await, None);
        caller.run("t1", "BEGIN", BEGIN).await;
        let refused = caller.run("t1", "READ 1", READ).await;
        let text_told = "the transaction was not begun in 6 attempts, last: not sent: session values refused with Failed";
        assert_eq!(refused, Some((Code::Busy, text_told.into())));
        assert_eq!(system.members[0].connections.get(), connections);
    })
    .await;
}

/// The connection has the value of another session before.
#[rstest]
#[case::write(Verb::Begin(Mode::Write))]
#[case::read(Verb::Begin(Mode::Read))]
#[tokio::test]
async fn begin_runs_with_values_of_its_session(
    #[case] begin: Verb,
    #[values(false, true)] forwards: bool,
) {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, forwards).await;
        for value in ["north", "south"] {
            let mut caller = system.connect().await;
            let (name, value) = ("zone", &value.into());
            assert_eq!(caller.ask(Command::Set { name, value }).await, None);
            for (text, verb) in [("BEGIN", begin), ("READ 1", READ), ("COMMIT", Verb::Commit)] {
                assert_eq!(caller.run("t1", text, verb).await, None);
            }
        }
        let begun_with = system.members[0].begun_with.take();
        assert_eq!(begun_with, ["SET zone north", "SET zone south"]);
    })
    .await;
}

/// The member answers after the time of the hedge, which waits for the only connection.
#[tokio::test]
async fn hedge_that_waits_is_not_sent_once_the_answer_is_there() {
    on_one_thread(async {
        let system = System::start(1, Consistency::Leader, false).await;
        let mut caller = system.connect().await;
        caller.run("s0", "READ 1", READ).await;
        system.members[0].accepts.set(false);
        let hedge_at = Duration::from_millis(u64::from(TIMEOUT_MS) / 2);
        let delay = hedge_at + Duration::from_millis(150);
        system.react(Reaction::Delays(delay));
        let before = system.arrivals().len();
        assert_eq!(caller.run("s1", "READ 1", READ).await, None);
        tokio::time::sleep(delay).await;
        assert_eq!(system.arrivals().len() - before, 1);
        // Neither is the connection lost.
        system.react(Reaction::Runs);
        assert_eq!(caller.run("s2", "READ 1", READ).await, None);
    })
    .await;
}
