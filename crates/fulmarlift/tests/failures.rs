//! Failures of members, proxies and the platform while callers write: no acknowledged write is lost.

mod support;

use support::load::{self, Load};
use support::system::System;
use support::{standin, wait};

/// Replication delay at each replica, in milliseconds.
///
/// When the primary fails, entries that only it has are lost, and the slower replica lacks many acknowledged entries.
const REPLICA_LAG_MS: [&str; 2] = ["20", "150"];

/// Starts a system and four callers that write, two at each proxy.
async fn start_under_load() -> (System, Load) {
    let system = System::start(2).await;
    load::create_table(&system.connect(0).await).await;
    for (replica, lag_ms) in system.member_addresses[1..].iter().zip(REPLICA_LAG_MS) {
        standin::switch_member(*replica, "lag_ms", lag_ms).await;
    }
    let caller_address = |index: usize| system.proxies[index].caller_address;
    let load = Load::start(&[
        caller_address(0),
        caller_address(1),
        caller_address(0),
        caller_address(1),
    ]);
    load.wait_for_acknowledged(0, 10).await;
    load.wait_for_acknowledged(1, 10).await;
    (system, load)
}

/// Waits for further writes at both proxies, stops the load and checks all writes.
async fn check_writes(system: &System, load: Load) {
    load.wait_for_acknowledged(0, 20).await;
    load.wait_for_acknowledged(1, 20).await;
    let outcomes = load.stop().await;
    for index in 0..2 {
        load::check(&system.connect(index).await, &outcomes).await;
    }
}

#[rstest::rstest]
#[case::store_up(serde_json::json!({"mode": "up"}))]
#[case::store_down(serde_json::json!({"mode": "down"}))]
#[case::store_slow(serde_json::json!({"delay_ms": 5_000}))]
#[case::store_loses_answers(serde_json::json!({"lose_answers": 3}))]
#[tokio::test]
async fn failover_after_kill_keeps_acknowledged_writes(#[case] store_switches: serde_json::Value) {
    let (mut system, load) = start_under_load().await;
    system.switch_platform(store_switches).await;
    system.members[0].signal("KILL");
    system.members[0].wait();
    system.wait_until_replaced(0, "m0").await;
    system.wait_until_replaced(1, "m0").await;
    check_writes(&system, load).await;
}

#[tokio::test]
async fn failover_after_freeze_fences_old_primary() {
    let (system, load) = start_under_load().await;
    system.members[0].signal("STOP");
    system.wait_until_replaced(0, "m0").await;
    system.wait_until_replaced(1, "m0").await;
    load.wait_for_acknowledged(0, 5).await;
    system.members[0].signal("CONT");
    check_writes(&system, load).await;
    wait::until(
        "the old primary has as many rows as the new primary",
        async || {
            let sql = "SELECT COUNT(*) FROM counter";
            let old = standin::query_member(system.member_addresses[0], sql).await;
            let new = standin::query_first(&system.connect(0).await, sql).await;
            new.is_ok_and(|new| new.is_some() && new == old)
        },
    )
    .await;
}

#[rstest::rstest]
#[case::callers("callers")]
#[case::all("all")]
#[tokio::test]
async fn failover_after_cut_keeps_acknowledged_writes(#[case] cut: &str) {
    let (system, load) = start_under_load().await;
    standin::switch_member(system.member_addresses[0], "cut", cut).await;
    system.wait_until_replaced(0, "m0").await;
    system.wait_until_replaced(1, "m0").await;
    check_writes(&system, load).await;
}

#[rstest::rstest]
#[case::claiming("Claiming", 150, "0")]
#[case::fencing("Fencing", 0, "60")]
#[tokio::test]
async fn failover_goes_on_without_paused_claimant(
    #[case] stage: &str,
    #[case] store_delay_ms: u64,
    #[case] latency_ms: &str,
) {
    let (system, load) = start_under_load().await;
    // The delays leave time to pause the claimant before it receives an answer.
    let delay = serde_json::json!({"delay_ms": store_delay_ms});
    system.switch_platform(delay).await;
    for replica in &system.member_addresses[1..] {
        standin::switch_member(*replica, "latency_ms", latency_ms).await;
    }
    system.members[0].signal("KILL");
    let stage = format!("stage={stage}");
    let in_stage = |index: usize| {
        let process = &system.proxies[index].process;
        process.has_logged(&["event=failover", &stage])
    };
    wait::until("a proxy reaches the stage of the failover", async || {
        in_stage(0) || in_stage(1)
    })
    .await;
    let (paused, other) = match in_stage(0) {
        true => (0, 1),
        false => (1, 0),
    };
    system.proxies[paused].process.signal("STOP");
    for replica in &system.member_addresses[1..] {
        standin::switch_member(*replica, "latency_ms", "0").await;
    }
    system.wait_until_replaced(other, "m0").await;
    load.wait_for_acknowledged(other, 10).await;
    system.proxies[paused].process.signal("CONT");
    system.wait_until_replaced(paused, "m0").await;
    check_writes(&system, load).await;
}

#[tokio::test]
async fn silent_connections_are_left_for_new_ones() {
    let (system, load) = start_under_load().await;
    standin::switch_member(system.member_addresses[0], "silent", "").await;
    let new_caller = system.connect(0).await;
    let read = new_caller
        .simple_query("SELECT COUNT(*) FROM counter")
        .await;
    read.expect("the proxy answers the read");
    check_writes(&system, load).await;
}

#[tokio::test]
async fn silent_connections_do_not_fail_reads() {
    let system = System::start(1).await;
    load::create_table(&system.connect(0).await).await;
    let mut callers = Vec::new();
    for _ in 0..6 {
        callers.push(system.connect(0).await);
    }
    let sql = "SELECT COUNT(*) FROM counter";
    let read_all = async || {
        let reads = callers
            .iter()
            .map(|caller| standin::query_first(caller, sql));
        futures::future::join_all(reads).await
    };
    for read in read_all().await {
        read.expect("the proxy answers the read");
    }
    for member in &system.member_addresses {
        standin::switch_member(*member, "silent", "").await;
    }
    // The proxy still has the silent connections to the members; only new connections get answers.
    for read in read_all().await {
        let count = read.expect("the proxy retries the read on another connection");
        assert_eq!(count.as_deref(), Some("0"));
    }
}

#[tokio::test]
async fn writes_resume_when_primary_is_cut_from_replicas() {
    let (system, load) = start_under_load().await;
    // The primary still answers the proxies, but no replica can confirm its commits.
    standin::switch_member(system.member_addresses[0], "cut", "peers").await;
    system.wait_until_replaced(0, "m0").await;
    check_writes(&system, load).await;
}
