//! Ends of a process whose threads are blocked. Each test runs itself again as a process of its own.

use std::env;
use std::io::{self, Write};
use std::process::{Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use fulmarlift_session::{logging, stop};
use nix::sys::signal::{Signal, raise};

/// Environment variable that tells a process that it is the one under test.
const UNDER_TEST_VARIABLE: &str = "FULMARLIFT_UNDER_TEST";
/// Time from SIGTERM to the end of the process.
const STOP_LIMIT: Duration = Duration::from_millis(300);
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Exit status of a process that has got past the call under test.
const PASSED_EXIT_STATUS: i32 = 40;

fn is_under_test() -> bool {
    env::var_os(UNDER_TEST_VARIABLE).is_some()
}

/// Runs a test of this file in a process and returns its exit status; none if it does not end.
fn run(test: &str, stderr: Stdio) -> Option<ExitStatus> {
    let program = env::current_exe().expect("a test is a program");
    let mut child = Command::new(program)
        .args(["--exact", test, "--nocapture"])
        .env(UNDER_TEST_VARIABLE, "1")
        .stdout(Stdio::null())
        .stderr(stderr)
        .spawn()
        .expect("a test can be started");
    let started_at = Instant::now();
    let mut status = None;
    while status.is_none() && started_at.elapsed() < END_TIMEOUT {
        thread::sleep(Duration::from_millis(10));
        status = child.try_wait().expect("the process is a child");
    }
    let _ = child.kill();
    let _ = child.wait();
    status
}

#[test]
fn process_ends_after_stop_deadline_although_its_thread_is_blocked() {
    if is_under_test() {
        let _log = logging::init();
        stop::enforce_deadline(STOP_LIMIT).expect("a thread can be started");
        raise(Signal::SIGTERM).expect("the signal exists");
        loop {
            thread::park();
        }
    }
    let status = run(
        "process_ends_after_stop_deadline_although_its_thread_is_blocked",
        Stdio::null(),
    );
    let code = status.and_then(|status| status.code());
    assert_eq!(code, Some(stop::OVERDUE_EXIT_STATUS));
}

/// Guards against a panic of a task that blocked the process because nobody read its error output.
#[test]
fn panic_does_not_wait_for_reader_of_error_output() {
    if is_under_test() {
        let _log = logging::init();
        let panicked = thread::spawn(|| panic!("only this thread ends")).join();
        std::process::exit(match panicked {
            Ok(()) => 0,
            Err(_) => PASSED_EXIT_STATUS,
        });
    }
    let (_unread, mut stderr) = io::pipe().expect("a pipe can be made");
    let child_stderr = stderr.try_clone().expect("the pipe is open");
    thread::spawn(move || while stderr.write_all(&[b'\n'; 4_096]).is_ok() {});
    thread::sleep(Duration::from_millis(300));
    let test = "panic_does_not_wait_for_reader_of_error_output";
    let status = run(test, child_stderr.into());
    let code = status.and_then(|status| status.code());
    assert_eq!(code, Some(PASSED_EXIT_STATUS));
}
