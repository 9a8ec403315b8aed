//! Members whose answers cannot be decoded: what is logged, what callers are told, and how often the members are asked (issue 61).

#[path = "support/answering.rs"]
mod answering;
mod support;

use std::cell::RefCell;
use std::sync::Once;

use answering::{Reaction, System};
use fulmarlift_broker::topology::Consistency;
use fulmarlift_session::protocol::Mode;
use fulmarlift_session::protocol::member::Verb;
use rstest::rstest;
use tokio::io::AsyncWriteExt;

const READ: Verb = Verb::Run(Mode::Read);
const WRITE: Verb = Verb::Run(Mode::Write);
const BARE_LF: Reaction = Reaction::Sends("DATAROW x\nCOMPLETE forged\r\nREADY I\r\n");

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
#[case::refused(Reaction::Sends("ERROR BUSY\r\nREADY I\r\n"), "last_code=Busy")]
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
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    })
    .await;
    let lines = lines_of("malformed");
    let client = format!("database=ledger client=caller address={address} error=");
    assert_has(&lines[0], &[&client, r#"message="\x00\x00\x00\x04\xff"#]);
}
