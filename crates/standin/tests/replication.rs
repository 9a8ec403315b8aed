//! Tests of fences, promotions and replication.

mod support;

use std::time::Duration;

use fulmarlift_standin::member;
use futures::{SinkExt, StreamExt, pin_mut};
use rstest::rstest;
use tokio_postgres::{AsyncMessage, NoTls};

const STATUS: &str = "SELECT * FROM group_status(0, 0)";
const COUNT: &str = "SELECT count(*) FROM letter";

#[tokio::test]
async fn group_status_reports_primary_and_replica() {
    let members = support::start_group(0).await;
    let primary = support::connect_control(&members[0]).await;
    let replica = support::connect_control(&members[1]).await;
    let status = support::query_row(&primary, STATUS).await;
    let names = [
        "term",
        "claimant",
        "role",
        "last_term",
        "position",
        "term_start",
    ];
    let fields: Vec<_> = names
        .iter()
        .map(|name| status.get(*name).unwrap())
        .collect();
    assert_eq!(fields, ["1", "", "primary", "1", "1", "1"]);
    let status = support::wait_for_position(&replica, 1).await;
    let fields: Vec<_> = names
        .iter()
        .map(|name| status.get(*name).unwrap())
        .collect();
    assert_eq!(fields, ["1", "", "replica", "1", "1", "1"]);
}

#[tokio::test]
async fn group_status_waits_for_position() {
    let members = support::start_group(100).await;
    let primary = support::connect(&members[0]).await;
    let replica = support::connect(&members[1]).await;
    primary
        .batch_execute("INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    let status = support::wait_for_position(&replica, 2).await;
    assert_eq!(status.get("position"), Some("2"));
    assert_eq!(support::query_text(&replica, COUNT).await, "1");
}

#[tokio::test]
async fn replica_refuses_writes() {
    let members = support::start_group(0).await;
    let replica = support::connect(&members[1]).await;
    support::wait_for_position(&replica, 1).await;
    let refused = replica
        .simple_query("INSERT INTO letter (id) VALUES (1)")
        .await;
    assert_eq!(support::sqlstate(refused), "25006");
}

#[tokio::test]
async fn replica_applies_params_and_copied_rows() {
    let members = support::start_group(0).await;
    let primary = support::connect(&members[0]).await;
    let replica = support::connect(&members[2]).await;
    primary
        .execute(
            "INSERT INTO letter (id, name) VALUES ($1, $2)",
            &[&1_i64, &"a"],
        )
        .await
        .unwrap();
    let sink = primary
        .copy_in::<_, bytes::Bytes>("COPY letter (id, name) FROM STDIN")
        .await
        .unwrap();
    pin_mut!(sink);
    sink.send("2\tb\n3\t\\N\n".into()).await.unwrap();
    sink.finish().await.unwrap();
    support::wait_for_position(&replica, 3).await;
    let rows = replica
        .query(
            "SELECT name FROM letter WHERE id <= $1 ORDER BY id",
            &[&3_i64],
        )
        .await
        .unwrap();
    let names: Vec<Option<&str>> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(names, [Some("a"), Some("b"), None]);
}

#[tokio::test]
async fn commit_reports_position() {
    let member = support::start_primary(|_| {}).await;
    let config = support::client_config(&member);
    let (client, mut connection) = config.connect(NoTls).await.unwrap();
    let statements = tokio::spawn(async move {
        client
            .batch_execute("INSERT INTO letter (id) VALUES (1)")
            .await
            .unwrap();
        client.batch_execute("SELECT 1").await.unwrap();
        client.execute("DELETE FROM letter", &[]).await.unwrap();
        client
            .batch_execute("BEGIN; DELETE FROM letter; ROLLBACK")
            .await
            .unwrap();
        client
            .batch_execute("BEGIN; DELETE FROM letter; COMMIT")
            .await
            .unwrap();
    });
    while std::future::poll_fn(|context| connection.poll_message(context))
        .await
        .is_some_and(|message: Result<AsyncMessage, _>| message.is_ok())
    {}
    statements.await.unwrap();
    assert_eq!(connection.parameter("group_position"), Some("1:4"));
}

#[tokio::test]
async fn fence_grants_term_to_one_claimant() {
    let members = support::start_group(0).await;
    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.push(support::connect_control(&members[1]).await);
    }
    let fences = clients
        .iter()
        .enumerate()
        .map(|(claimant, client)| async move {
            let query = format!("SELECT * FROM group_fence(2, 'c{claimant}')");
            let status = support::query_row(client, &query).await;
            status.get("claimant").unwrap().to_string()
        });
    let claimants: Vec<String> = futures::stream::iter(fences)
        .buffer_unordered(8)
        .collect()
        .await;
    assert!(
        claimants.iter().all(|claimant| *claimant == claimants[0]),
        "{claimants:?}"
    );
}

#[rstest]
#[case("group_fence(1, 'a')", "1", "", "primary")]
#[case("group_fence(0, 'a')", "1", "", "primary")]
#[case("group_fence(5, 'a')", "5", "a", "replica")]
#[case("group_promote(1, '')", "1", "", "primary")]
#[case("group_promote(2, 'a')", "1", "", "primary")]
#[tokio::test]
async fn attempt_on_primary_reports_outcome(
    #[case] call: &str,
    #[case] term: &str,
    #[case] claimant: &str,
    #[case] role: &str,
) {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect_control(&member).await;
    let status = support::query_row(&client, &format!("SELECT * FROM {call}")).await;
    assert_eq!(status.get("term"), Some(term));
    assert_eq!(status.get("claimant"), Some(claimant));
    assert_eq!(status.get("role"), Some(role));
}

#[tokio::test]
async fn promote_is_idempotent() {
    let members = support::start_group(0).await;
    let control = support::connect_control(&members[1]).await;
    support::wait_for_position(&control, 1).await;
    support::query_row(&control, "SELECT * FROM group_fence(2, 'a')").await;
    let other = support::query_row(&control, "SELECT * FROM group_promote(2, 'b')").await;
    assert_eq!(other.get("role"), Some("replica"));
    for _ in 0..2 {
        let status = support::query_row(&control, "SELECT * FROM group_promote(2, 'a')").await;
        assert_eq!(status.get("role"), Some("primary"));
        assert_eq!(status.get("last_term"), Some("2"));
        assert_eq!(status.get("position"), Some("2"));
        assert_eq!(status.get("term_start"), Some("2"));
    }
}

#[tokio::test]
async fn promote_refuses_second_primary_of_term() {
    let members = support::start_group(0).await;
    let first = support::connect_control(&members[1]).await;
    let second = support::connect_control(&members[2]).await;
    for control in [&first, &second] {
        support::wait_for_position(control, 1).await;
        support::query_row(control, "SELECT * FROM group_fence(2, 'a')").await;
    }
    support::query_row(&first, "SELECT * FROM group_promote(2, 'a')").await;
    support::wait_for_position(&second, 2).await;
    let status = support::query_row(&second, "SELECT * FROM group_promote(2, 'a')").await;
    assert_eq!(status.get("role"), Some("replica"));
    assert_eq!(
        support::query_text(&first, "SHOW transaction_read_only").await,
        "off"
    );
    assert_eq!(
        support::query_text(&second, "SHOW transaction_read_only").await,
        "on"
    );
}

#[rstest]
#[case("COMMIT")]
#[case("SELECT 1")]
#[case("INSERT INTO letter (id) VALUES (2)")]
#[tokio::test]
async fn fence_rolls_back_open_transaction(#[case] next: &str) {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let control = support::connect_control(&member).await;
    client
        .batch_execute("BEGIN; INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    support::query_row(&control, "SELECT * FROM group_fence(2, 'a')").await;
    assert_eq!(support::sqlstate(client.simple_query(next).await), "25006");
    client.batch_execute("ROLLBACK").await.unwrap();
    assert_eq!(support::query_text(&client, COUNT).await, "0");
}

#[tokio::test]
async fn fence_ends_statement_of_write_transaction() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let control = support::connect_control(&member).await;
    client
        .batch_execute("BEGIN; INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    let sleep = client.simple_query("SELECT pg_sleep(600)");
    let fence = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        support::query_row(&control, "SELECT * FROM group_fence(2, 'a')").await
    };
    let (slept, _) = tokio::join!(sleep, fence);
    assert_eq!(support::sqlstate(slept), "25006");
}

#[tokio::test]
async fn fence_ends_copy() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let control = support::connect_control(&member).await;
    let sink = client
        .copy_in::<_, bytes::Bytes>("COPY letter (id) FROM STDIN")
        .await
        .unwrap();
    pin_mut!(sink);
    sink.send("1\n".into()).await.unwrap();
    sink.flush().await.unwrap();
    support::query_row(&control, "SELECT * FROM group_fence(2, 'a')").await;
    sink.send("2\n".into()).await.unwrap();
    assert_eq!(support::sqlstate(sink.finish().await), "25006");
    assert_eq!(support::query_text(&client, COUNT).await, "0");
}

#[tokio::test]
async fn fence_between_execute_and_sync_refuses_commit() {
    let member = support::start_primary(|_| {}).await;
    let control = support::connect_control(&member).await;
    let mut caller = support::RawCaller::connect(&member).await;
    caller
        .send_extended_query("INSERT INTO letter (id) VALUES (1)")
        .await;
    caller.send_flush().await;
    caller.read_until(b'C').await;
    support::query_row(&control, "SELECT * FROM group_fence(2, 'a')").await;
    caller.send_sync().await;
    let kinds = caller.read_until(b'Z').await;
    assert_eq!(kinds, b"EZ");
    assert_eq!(support::query_text(&control, COUNT).await, "0");
}

#[tokio::test]
async fn fence_frees_writer_of_stalled_caller() {
    let members = support::start_group(0).await;
    let old_primary = support::connect_control(&members[0]).await;
    let new_primary = support::connect_control(&members[1]).await;
    support::wait_for_position(&new_primary, 1).await;
    let mut stalled = support::RawCaller::connect(&members[0]).await;
    stalled
        .send_query(
            "BEGIN; INSERT INTO letter (id) VALUES (1); \
             SELECT n, repeat('x', 1000) FROM generate_series(1, 1000000) AS n",
        )
        .await;
    stalled.read_until(b'D').await;
    for client in [&old_primary, &new_primary] {
        support::query_row(client, "SELECT * FROM group_fence(2, 'a')").await;
    }
    support::query_row(&new_primary, "SELECT * FROM group_promote(2, 'a')").await;
    let status = support::wait_for_position(&old_primary, 2).await;
    assert_eq!(status.get("last_term"), Some("2"));
    assert_eq!(support::query_text(&old_primary, COUNT).await, "0");
}

#[tokio::test]
async fn rejoin_drops_unreplicated_tail() {
    let members = support::start_group(0).await;
    let old_primary = support::connect(&members[0]).await;
    let new_primary = support::connect(&members[1]).await;
    let third = support::connect(&members[2]).await;
    old_primary
        .batch_execute("INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    support::wait_for_position(&new_primary, 2).await;
    support::wait_for_position(&third, 2).await;
    members[0].switch(member::Switch::Cut(member::Cut::Peers));
    for id in [2, 3] {
        old_primary
            .batch_execute(&format!("INSERT INTO letter (id) VALUES ({id})"))
            .await
            .unwrap();
    }
    for client in [&new_primary, &third] {
        support::query_row(client, "SELECT * FROM group_fence(2, 'a')").await;
    }
    support::query_row(&new_primary, "SELECT * FROM group_promote(2, 'a')").await;
    new_primary
        .batch_execute("INSERT INTO letter (id) VALUES (10)")
        .await
        .unwrap();
    support::wait_for_position(&third, 4).await;
    members[0].switch(member::Switch::Cut(member::Cut::None));
    let ids = "SELECT group_concat(id) FROM (SELECT id FROM letter ORDER BY id)";
    while support::query_row(&old_primary, STATUS)
        .await
        .get("last_term")
        != Some("2")
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let status = support::wait_for_position(&old_primary, 4).await;
    assert_eq!(status.get("role"), Some("replica"));
    assert_eq!(status.get("term"), Some("2"));
    assert_eq!(status.get("claimant"), Some(""));
    assert_eq!(status.get("term_start"), Some("3"));
    for client in [&old_primary, &new_primary, &third] {
        assert_eq!(support::query_text(client, ids).await, "1,10");
    }
    let refused = old_primary
        .simple_query("INSERT INTO letter (id) VALUES (4)")
        .await;
    assert_eq!(support::sqlstate(refused), "25006");
}

#[tokio::test]
async fn replica_fenced_ignores_older_primary() {
    let members = support::start_group(0).await;
    let primary = support::connect(&members[0]).await;
    let replica = support::connect(&members[1]).await;
    let other = support::connect(&members[2]).await;
    support::wait_for_position(&replica, 1).await;
    support::query_row(&replica, "SELECT * FROM group_fence(2, 'a')").await;
    primary
        .batch_execute("INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    support::wait_for_position(&other, 2).await;
    let status = support::query_row(&replica, "SELECT * FROM group_status(2, 300)").await;
    assert_eq!(status.get("position"), Some("1"));
}

#[tokio::test]
async fn fence_alone_lets_replica_catch_up() {
    let members = support::start_group(200).await;
    let primary = support::connect(&members[0]).await;
    let replica = support::connect(&members[1]).await;
    primary
        .batch_execute("INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    let fenced = support::query_row(&primary, "SELECT * FROM group_fence(2, 'a')").await;
    assert_eq!(fenced.get("role"), Some("replica"));
    assert_eq!(fenced.get("position"), Some("2"));
    let status = support::wait_for_position(&replica, 2).await;
    assert_eq!(status.get("term"), Some("1"));
    support::query_row(&replica, "SELECT * FROM group_fence(2, 'a')").await;
    let promoted = support::query_row(&replica, "SELECT * FROM group_promote(2, 'a')").await;
    assert_eq!(promoted.get("role"), Some("primary"));
    assert_eq!(promoted.get("position"), Some("3"));
}

#[tokio::test]
async fn failovers_keep_replicated_writes() {
    const ROUNDS: usize = 12;
    let members = support::start_group(1).await;
    let mut clients = Vec::new();
    for member in &members {
        clients.push(support::connect(member).await);
    }
    let mut replicated = Vec::new();
    let mut primary = 0;
    for round in 0..ROUNDS {
        let next = (primary + 1 + round % 2) % members.len();
        let term = round + 2;
        for id in [10 * round, 10 * round + 1] {
            let insert = format!("INSERT INTO letter (id) VALUES ({id})");
            clients[primary].batch_execute(&insert).await.unwrap();
            replicated.push(id.to_string());
        }
        let position = members[primary].status().head.position;
        support::wait_for_position(&clients[next], position).await;
        members[primary].switch(member::Switch::Cut(member::Cut::Peers));
        let insert = format!("INSERT INTO letter (id) VALUES ({})", 10 * round + 2);
        clients[primary].batch_execute(&insert).await.unwrap();
        for (index, client) in clients.iter().enumerate() {
            if index != primary {
                support::query_row(client, &format!("SELECT * FROM group_fence({term}, 'a')"))
                    .await;
            }
        }
        support::query_row(
            &clients[next],
            &format!("SELECT * FROM group_promote({term}, 'a')"),
        )
        .await;
        members[primary].switch(member::Switch::Cut(member::Cut::None));
        primary = next;
    }
    let head = members[primary].status().head;
    for (member, client) in members.iter().zip(&clients) {
        while member.status().head != head {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let ids = "SELECT group_concat(id) FROM (SELECT id FROM letter ORDER BY id)";
        let ids = support::query_text(client, ids).await;
        assert_eq!(ids.split(',').collect::<Vec<_>>(), replicated);
    }
}

async fn upstream_silence(client: &tokio_postgres::Client) -> Duration {
    let status = support::query_row(client, STATUS).await;
    let silence = status.get("upstream_silence_ms").unwrap();
    Duration::from_millis(silence.parse().unwrap())
}

/// Polls the replica's status until its `upstream_silence_ms` is in the range.
async fn wait_for_silence(client: &tokio_postgres::Client, range: std::ops::Range<Duration>) {
    while !range.contains(&upstream_silence(client).await) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn replica_tells_how_long_it_has_missed_its_primary() {
    const SILENCE: Duration = Duration::from_secs(2);
    let members = support::start_group(0).await;
    let replica = support::connect_control(&members[1]).await;
    support::wait_for_position(&replica, 1).await;
    members[0].switch(member::Switch::Cut(member::Cut::Peers));
    wait_for_silence(&replica, SILENCE..Duration::MAX).await;
    members[0].switch(member::Switch::Cut(member::Cut::None));
    // The contact is renewed even though the primary has no new entries.
    wait_for_silence(&replica, Duration::ZERO..SILENCE / 2).await;
}

#[tokio::test]
async fn replica_that_lags_hears_its_primary() {
    const LAG_MS: u64 = 600_000;
    const OBSERVATION: Duration = Duration::from_secs(2);
    let members = support::start_group(LAG_MS).await;
    let replica = support::connect_control(&members[1]).await;
    tokio::time::sleep(OBSERVATION).await;
    wait_for_silence(&replica, Duration::ZERO..OBSERVATION / 2).await;
    let status = support::query_row(&replica, STATUS).await;
    assert_eq!(status.get("position"), Some("0"), "it holds the entry back");
}
