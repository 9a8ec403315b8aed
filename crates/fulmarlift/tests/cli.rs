//! Output and exit status of the operators' command, run as a process.

use std::{
    fs,
    io::{Read, Write},
    net, process, thread,
};

use fulmarlift_config::{builder, model, schema, verifier};
use fulmarlift_store::admin;

/// Names of the members in the sample configuration.
const MEMBERS: [&str; 3] = ["a", "b", "c"];
/// Environment variables that the command reads.
const VARIABLES: [&str; 5] = [
    "FULMARLIFT_PLATFORM",
    "FULMARLIFT_PROXY",
    "FULMARLIFT_WHO",
    "FULMARLIFT_LOG",
    "USER",
];

/// Exit status and output of the command.
struct Run {
    status: i32,
    stdout: String,
    stderr: String,
}

/// Runs the command; of [`VARIABLES`], only these are set.
fn run(arguments: &[&str], variables: &[(&str, &str)]) -> Run {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_fulmarlift"));
    for name in VARIABLES {
        command.env_remove(name);
    }
    let output = command
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    Run {
        status: output.status.code().expect("the command exits by itself"),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn valid_document() -> model::Document {
    let member = |(index, name): (usize, &str)| {
        builder::Member::new(name, &format!("10.0.0.{index}:5432"))
            .domain("d1")
            .connections(4)
    };
    builder::Document::new()
        .region("r1", ["d1"])
        .group(builder::Group::new("g1").members(MEMBERS.into_iter().enumerate().map(member)))
        .caller("c1", verifier::Verifier::Trust)
        .service(builder::Service::new("s1", "g1").caller("c1"))
        .build()
        .unwrap()
}

fn write_document(folder: &tempfile::TempDir, text: &str) -> String {
    let path = folder.path().join("document.json");
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn check_accepts_sound_document() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_document(&folder, &valid_document().to_json());
    let run = run(&["check", &file], &[]);
    assert_eq!((run.status, &*run.stderr), (0, ""));
    assert_eq!(
        run.stdout,
        format!(
            "{file}: no findings, digest {}\n",
            valid_document().digest()
        )
    );
}

#[test]
fn check_prints_all_findings() {
    let folder = tempfile::tempdir().unwrap();
    let mut document = valid_document();
    document.groups[0].members[0].address = "nowhere".into();
    document.services[0].group = "g9".into();
    let run = run(
        &["check", &write_document(&folder, &document.to_json())],
        &[],
    );
    assert_eq!(run.status, 1);
    let places: Vec<_> = run
        .stdout
        .lines()
        .filter_map(|line| line.split(": ").next())
        .collect();
    assert_eq!(
        places,
        ["groups[0].members[0].address", "services[0].group"]
    );
    assert!(run.stderr.contains("2 finding(s)"), "{}", run.stderr);
}

#[test]
fn check_prints_findings_as_json() {
    let folder = tempfile::tempdir().unwrap();
    let mut document = valid_document();
    document.services[0].group = "g9".into();
    let run = run(
        &[
            "check",
            "--json",
            &write_document(&folder, &document.to_json()),
        ],
        &[],
    );
    assert_eq!(run.status, 1);
    let report: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    let expected = serde_json::json!({"findings": [{
        "place": "services[0].group",
        "message": "unknown group \"g9\"",
        "problem": {"kind": "unknown_name", "of": "group", "name": "g9"},
    }]});
    assert_eq!(report, expected);
}

#[test]
fn check_says_where_text_is_no_document() {
    let folder = tempfile::tempdir().unwrap();
    let run = run(
        &["check", &write_document(&folder, "{\n\"regoins\": []}")],
        &[],
    );
    assert_eq!(run.status, 1);
    assert!(
        run.stderr.contains("regoins") && run.stderr.contains("line 2"),
        "{}",
        run.stderr
    );
}

#[test]
fn check_prints_schema() {
    let run = run(&["check", "--schema"], &[]);
    assert_eq!((run.status, run.stdout), (0, schema::to_json()));
}

#[test]
fn version_is_printed() {
    let run = run(&["--version"], &[]);
    let expected = concat!("fulmarlift ", env!("CARGO_PKG_VERSION"), "\n");
    assert_eq!((run.status, &*run.stdout), (0, expected));
}

#[rstest::rstest]
#[case::no_subcommand(&[], &[], "a subcommand is expected")]
#[case::unknown_subcommand(&["chekc"], &[], "chekc")]
#[case::no_file(&["check"], &[], "either a file or --schema")]
#[case::missing_file(&["check", "/nonexistent/document.json"], &[], "/nonexistent/document.json")]
#[case::no_base(&["submit", "document.json"], &[], "--base")]
#[case::no_platform(&["show"], &[], "FULMARLIFT_PLATFORM")]
#[case::empty_platform(&["audit"], &[("FULMARLIFT_PLATFORM", "")], "FULMARLIFT_PLATFORM")]
#[case::bad_platform(&["show", "--platform", "ftp://x"], &[], "ftp://x")]
#[case::flag_before_variable(
    &["show", "--platform", "bad-flag"], &[("FULMARLIFT_PLATFORM", "bad-variable")], "bad-flag")]
#[case::variable_without_flag(&["show"], &[("FULMARLIFT_PLATFORM", "bad-variable")], "bad-variable")]
#[case::no_proxy(&["status"], &[], "FULMARLIFT_PROXY")]
#[case::no_service(&["explain", "SELECT 1"], &[], "--service")]
fn usage_is_refused(
    #[case] arguments: &[&str],
    #[case] variables: &[(&str, &str)],
    #[case] expected: &str,
) {
    let run = run(arguments, variables);
    assert_eq!((run.status, &*run.stdout), (2, ""), "{}", run.stderr);
    assert!(run.stderr.contains(expected), "{}", run.stderr);
}

#[rstest::rstest]
#[case::show(&["show"])]
#[case::audit(&["audit", "--json"])]
#[case::status(&["status"])]
#[case::explain(&["explain", "--service", "s1", "SELECT 1"])]
fn unreachable_is_refused(#[case] arguments: &[&str]) {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let run = run(
        arguments,
        &[("FULMARLIFT_PLATFORM", &url), ("FULMARLIFT_PROXY", &url)],
    );
    assert_eq!((run.status, &*run.stdout), (1, ""));
    assert!(run.stderr.contains(&url), "{}", run.stderr);
}

#[test]
fn submit_without_who_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let file = write_document(&folder, &valid_document().to_json());
    let run = run(
        &[
            "submit",
            &file,
            "--base",
            "0",
            "--platform",
            "http://127.0.0.1:1",
        ],
        &[],
    );
    assert_eq!(run.status, 2);
    assert!(run.stderr.contains("FULMARLIFT_WHO"), "{}", run.stderr);
}

/// Starts a server that answers one HTTP request with this body.
///
/// Returns the URL of the server, and a thread whose result is the request line.
fn serve_once(body: String) -> (String, thread::JoinHandle<String>) {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).unwrap();
        String::from_utf8(request)
            .unwrap()
            .lines()
            .next()
            .unwrap()
            .to_owned()
    });
    (url, server)
}

fn sample_status() -> admin::Status {
    let member = admin::MemberStatus {
        name: "a".into(),
        role: "primary".into(),
        last_term: 7,
        position: 1234,
        lag: 0,
        age_ms: None,
        reachable: true,
        connections_open: 3,
        connections_busy: 1,
    };
    let group = admin::GroupStatus {
        name: "g1".into(),
        term: 7,
        primary: Some("a".into()),
        members: vec![member],
    };
    let peer = admin::PeerStatus {
        proxy: "p2".into(),
        domain: "d2".into(),
        address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7000)),
        alive: false,
    };
    admin::Status {
        proxy: "p1".into(),
        config_version: 4,
        ready: true,
        groups: vec![group],
        peers: vec![peer],
    }
}

#[test]
fn status_prints_tables() {
    let (url, server) = serve_once(serde_json::to_string(&sample_status()).unwrap());
    let run = run(&["status", "--proxy", &url], &[]);
    assert_eq!((run.status, &*run.stderr), (0, ""));
    assert_eq!(server.join().unwrap(), "GET /status HTTP/1.1");
    let expected = "proxy p1, configuration 4, ready yes\n\n\
        group g1, term 7, primary a\n\
        MEMBER  ROLE     LAST_TERM  POSITION  LAG  AGE_MS  REACHABLE  OPEN  BUSY\n\
        a       primary  7          1234      0    -       yes        3     1\n\n\
        PEER  DOMAIN  ADDRESS         ALIVE\n\
        p2    d2      127.0.0.1:7000  no\n";
    assert_eq!(run.stdout, expected);
}

#[test]
fn status_prints_json() {
    let (url, server) = serve_once(serde_json::to_string(&sample_status()).unwrap());
    let run = run(&["status", "--json"], &[("FULMARLIFT_PROXY", &url)]);
    server.join().unwrap();
    assert_eq!(
        serde_json::from_str::<admin::Status>(&run.stdout).unwrap(),
        sample_status()
    );
}

#[test]
fn explain_prints_reason() {
    let explanation = admin::Explanation {
        class: Some("k1".into()),
        kind: "read".into(),
        member: None,
        reason: "no member has reached the floor".into(),
        floor: Some("7:1234".into()),
    };
    let (url, server) = serve_once(serde_json::to_string(&explanation).unwrap());
    let run = run(
        &["explain", "--proxy", &url, "--service", "s1", "SELECT 1"],
        &[],
    );
    assert_eq!((run.status, &*run.stderr), (0, ""));
    assert_eq!(
        server.join().unwrap(),
        "GET /explain?service=s1&sql=SELECT+1 HTTP/1.1"
    );
    let expected = "kind    read\nclass   k1\nmember  -\nfloor   7:1234\n\
        reason  no member has reached the floor\n";
    assert_eq!(run.stdout, expected);
}
