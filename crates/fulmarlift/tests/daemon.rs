//! Command line of the daemon.

use std::process::{Command, Output};

use rstest::rstest;

fn run_daemon(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarliftd"));
    command.args(arguments).output().expect("the daemon runs")
}

#[test]
fn daemon_reports_all_findings_with_their_place() {
    let output = run_daemon(&[
        "--listen",
        "nowhere",
        "--max-frame-bytes",
        "x",
        "--tls-key",
        "/no-such-file",
    ]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for place in [
        "--listen: ",
        "--max-frame-bytes: ",
        "--tls-key: ",
        "--tls-chain: ",
    ] {
        assert!(text.contains(place), "{place} in {text}");
    }
}

#[rstest]
#[case::check(&["--check"], 0)]
#[case::version(&["--version"], 0)]
#[case::unknown_flag(&["--no-such-flag"], 2)]
#[case::zero(&["--check", "--login-timeout-ms", "0"], 2)]
fn daemon_exits_with_status(#[case] arguments: &[&str], #[case] status: i32) {
    assert_eq!(run_daemon(arguments).status.code(), Some(status));
}
