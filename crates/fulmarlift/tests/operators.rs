//! The operators' command and the metrics, with a platform and proxies that run as processes.

mod support;

use support::system::System;
use support::{load, standin, wait};

#[tokio::test]
async fn command_shows_system() {
    let system = System::start(2).await;
    let caller = system.connect(0).await;
    let result = caller
        .simple_query("CREATE TABLE handover (id BIGINT)")
        .await;
    result.expect("the proxy acknowledges the write");
    let admin = format!("http://{}", system.proxies[0].admin_address);
    let proxy = ["--proxy", &admin];

    let status = system.command_output(&[&["status"], &proxy[..]].concat());
    assert!(
        status.starts_with("proxy p0, configuration 1, ready yes"),
        "{status}"
    );
    assert!(
        status.contains("group ledger, term 1, primary m0"),
        "{status}"
    );
    let sql = "SELECT id FROM handover";
    let explained =
        system.command_output(&[&["explain", "--service", "ledger", sql], &proxy[..]].concat());
    assert!(explained.starts_with("kind    read\n"), "{explained}");
    let sql = "DELETE FROM handover";
    let explained =
        system.command_output(&[&["explain", "--service", "ledger", sql], &proxy[..]].concat());
    assert!(
        explained.starts_with("kind    write\nclass   -\nmember  m0\n"),
        "{explained}"
    );
    let unknown = system.run_command(&[&["explain", "--service", "s9", sql], &proxy[..]].concat());
    assert_eq!(unknown.status.code(), Some(1));
}

#[tokio::test]
async fn command_submits_and_audits() {
    let system = System::start(1).await;
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let file = folder.path().join("document.json");
    std::fs::write(&file, system.document_with_queue_limit(77).to_json())
        .expect("the file can be written");
    let file = file.to_str().expect("the path is text");
    let printed = system.command_output(&["submit", file, "--base", "1"]);
    assert!(
        printed.starts_with("accepted as version 2, digest "),
        "{printed}"
    );
    system.wait_for_version(0, 2).await;
    let shown = system.command_output(&["show"]);
    assert!(
        shown.starts_with("version 2, on base 1, by operator\n"),
        "{shown}"
    );
    let second_submit = system.run_command(&["submit", file, "--base", "1"]);
    assert_eq!(second_submit.status.code(), Some(1));
    let trail = system.command_output(&["audit"]);
    let first = trail.lines().next().expect("the trail has an entry");
    assert!(
        first.starts_with("version 2  ") && first.ends_with("  by operator  on base 1"),
        "{trail}"
    );
    assert!(trail.contains("by operator-1000  on base 0"), "{trail}");
}

#[rstest::rstest]
#[case::store_up(false)]
#[case::store_down_meanwhile(true)]
#[tokio::test]
async fn audit_shows_failover(#[case] store_down: bool) {
    let mut system = System::start(1).await;
    if store_down {
        let down = serde_json::json!({"mode": "down"});
        system.switch_platform(down).await;
    }
    system.members[0].signal("KILL");
    system.members[0].wait();
    system.wait_until_replaced(0, "m0").await;
    let up = serde_json::json!({"mode": "up"});
    system.switch_platform(up).await;
    wait::until("the claim is in the audit trail", async || {
        let trail = system.command_output(&["audit"]);
        trail.contains("failover of group ledger") && trail.contains("claimed by p0")
    })
    .await;
    let trail: serde_json::Value =
        serde_json::from_str(&system.command_output(&["audit", "--json"]))
            .expect("the command prints JSON");
    let kinds = trail.as_array().expect("the trail is a list").iter();
    let kinds: Vec<&str> = kinds.filter_map(|entry| entry["kind"].as_str()).collect();
    assert_eq!(kinds.last(), Some(&"configuration"));
    assert_eq!(kinds.first(), Some(&"failover"));
}

#[tokio::test]
async fn metrics_count_reads_commits_and_gap() {
    let system = System::start(1).await;
    let caller = system.connect(0).await;
    load::create_table(&caller).await;
    for id in 0..5 {
        let sql = format!("INSERT INTO counter VALUES ({id})");
        caller
            .simple_query(&sql)
            .await
            .expect("the proxy acknowledges the write");
        let read = standin::query_first(&caller, "SELECT COUNT(*) FROM counter").await;
        read.expect("the proxy answers the read");
    }
    let reads = async |role: &str| {
        let series = format!("fulmarlift_reads_total{{role=\"{role}\",distance=\"domain\"}}");
        system.metric(0, &series).await
    };
    // The count includes the reads by which `System::start` waits for the proxy.
    assert!(reads("primary").await + reads("replica").await >= 5.0);
    let confirmed = system.metric(0, "fulmarlift_commits_confirmed_total").await;
    assert!((confirmed - 6.0).abs() < f64::EPSILON, "{confirmed}");
    assert!(system.metric(0, "fulmarlift_connections{").await >= 1.0);
    assert!(system.metric(0, "fulmarlift_control_questions_total").await >= 6.0);
    let gap_count = "fulmarlift_failover_gap_seconds_count{group=\"ledger\"}";
    assert!(system.metric(0, gap_count).await < 1.0);
    system.members[0].signal("KILL");
    system.wait_until_replaced(0, "m0").await;
    wait::until("the proxy has measured the failover gap", async || {
        system.metric(0, gap_count).await >= 1.0
    })
    .await;
}

#[test]
fn settings_page_names_all_flags() {
    let page = include_str!("../../../docs/src/settings.md");
    let help = std::process::Command::new(env!("CARGO_BIN_EXE_fulmarliftd"))
        .arg("--help")
        .output()
        .expect("the daemon runs");
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    let flags = help.lines().filter_map(|line| {
        let flag = line.trim().strip_prefix("--")?.split(' ').next()?;
        line.contains('<').then_some(flag)
    });
    let flags: Vec<&str> = flags.collect();
    assert!(!flags.is_empty(), "{help}");
    for flag in flags {
        let variable = flag.to_uppercase().replace('-', "_");
        let row = format!("| `--{flag}` | `FULMARLIFT_{variable}` |");
        assert!(page.contains(&row), "{row}");
    }
}

#[tokio::test]
async fn operating_page_names_all_metrics() {
    let page = include_str!("../../../docs/src/operating.md");
    let system = System::start(1).await;
    let url = format!("http://{}/metrics", system.proxies[0].admin_address);
    let answer = reqwest::get(url).await.expect("the admin port answers");
    let text = answer.text().await.expect("the body is text");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    assert!(!names.is_empty(), "{text}");
    for name in names {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}
