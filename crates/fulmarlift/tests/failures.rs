//! Failures of members, proxies and the platform while callers write.

mod support;

use support::load::{self, Load};
use support::system::System;
use support::{standin, wait};

/// Delay of each replicated entry, in ms, at the replicas: what the primary alone has when it fails is lost, and
/// one of them lacks much of what was acknowledged.
const LAG_MS: [&str; 2] = ["20", "150"];

async fn start() -> (System, Load) {
    let system = System::start(2).await;
    load::create_table(&system.connect(0).await).await;
    for (replica, lag_ms) in system.member_addresses[1..].iter().zip(LAG_MS) {
        standin::switch_member(*replica, "lag_ms", lag_ms).await;
    }
    let listen = |index: usize| system.proxies[index].caller_address;
    let load = Load::start(&[listen(0), listen(1), listen(0), listen(1)]);
    load.wait_for_acknowledged(0, 10).await;
    load.wait_for_acknowledged(1, 10).await;
    (system, load)
}

/// Writes go on at both proxies; then all that was promised holds.
async fn check(system: &System, load: Load) {
    load.wait_for_acknowledged(0, 20).await;
    load.wait_for_acknowledged(1, 20).await;
    let ledgers = load.stop().await;
    for index in 0..2 {
        load::check(&system.connect(index).await, &ledgers).await;
    }
}

#[rstest::rstest]
#[case::store_up(serde_json::json!({"mode": "up"}))]
#[case::store_down(serde_json::json!({"mode": "down"}))]
#[case::store_slow(serde_json::json!({"delay_ms": 5_000}))]
#[case::store_loses_answers(serde_json::json!({"lose_answers": 3}))]
#[tokio::test]
async fn failover_after_kill_keeps_acknowledged_writes(#[case] store: serde_json::Value) {
    let (mut system, load) = start().await;
    system.switch_platform(store).await;
    system.members[0].signal("KILL");
    system.members[0].wait();
    system.wait_until_replaced(0, "m0").await;
    system.wait_until_replaced(1, "m0").await;
    check(&system, load).await;
}

#[tokio::test]
async fn failover_after_freeze_fences_old_primary() {
    let (system, load) = start().await;
    system.members[0].signal("STOP");
    system.wait_until_replaced(0, "m0").await;
    system.wait_until_replaced(1, "m0").await;
    load.wait_for_acknowledged(0, 5).await;
    system.members[0].signal("CONT");
    check(&system, load).await;
    wait::until(
        "the old primary has what the new one has acknowledged",
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
    let (system, load) = start().await;
    standin::switch_member(system.member_addresses[0], "cut", cut).await;
    system.wait_until_replaced(0, "m0").await;
    system.wait_until_replaced(1, "m0").await;
    check(&system, load).await;
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
    let (system, load) = start().await;
    // Answers take long enough for the claimant to be paused before they come.
    let delay = serde_json::json!({"delay_ms": store_delay_ms});
    system.switch_platform(delay).await;
    for replica in &system.member_addresses[1..] {
        standin::switch_member(*replica, "latency_ms", latency_ms).await;
    }
    system.members[0].signal("KILL");
    let stage = format!("stage={stage}");
    let claims = |index: usize| {
        let process = &system.proxies[index].process;
        process.has_logged(&["event=failover", &stage])
    };
    wait::until("a proxy claims the term", async || claims(0) || claims(1)).await;
    let (paused, other) = match claims(0) {
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
    check(&system, load).await;
}

#[tokio::test]
async fn silent_connections_are_left_for_new_ones() {
    let (system, load) = start().await;
    standin::switch_member(system.member_addresses[0], "silent", "").await;
    let fresh = system.connect(0).await;
    let read = fresh.simple_query("SELECT COUNT(*) FROM counter").await;
    read.expect("the read is served");
    check(&system, load).await;
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
        read.expect("the read is served");
    }
    for member in &system.member_addresses {
        standin::switch_member(*member, "silent", "").await;
    }
    // The proxy still holds the silent connections; new ones work.
    for read in read_all().await {
        let count = read.expect("the read is tried again on another connection");
        assert_eq!(count.as_deref(), Some("0"));
    }
}

#[tokio::test]
async fn writes_resume_when_primary_is_cut_from_replicas() {
    let (system, load) = start().await;
    // It answers the proxies, yet nothing that it commits can be confirmed.
    standin::switch_member(system.member_addresses[0], "cut", "peers").await;
    system.wait_until_replaced(0, "m0").await;
    check(&system, load).await;
}
