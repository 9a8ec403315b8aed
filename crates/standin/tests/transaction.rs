//! Tests of transactions, connection limits and cancel requests.

mod support;

use std::time::Duration;

use tokio_postgres::NoTls;

#[tokio::test]
async fn transaction_hides_uncommitted_rows() {
    let member = support::start_primary(|_| {}).await;
    let mut writer = support::connect(&member).await;
    let reader = support::connect(&member).await;
    let transaction = writer.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO letter (id) VALUES ($1)", &[&1_i64])
        .await
        .unwrap();
    let count = "SELECT count(*) FROM letter";
    assert_eq!(support::query_text(&reader, count).await, "0");
    let count_in_transaction = transaction.query_one(count, &[]).await.unwrap();
    assert_eq!(count_in_transaction.get::<_, i64>(0), 1);
    transaction.commit().await.unwrap();
    assert_eq!(support::query_text(&reader, count).await, "1");
}

#[tokio::test]
async fn transaction_refuses_statements_after_error() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    client
        .batch_execute("BEGIN; INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    assert_eq!(
        support::sqlstate(client.simple_query("SELECT absent").await),
        "42703"
    );
    assert_eq!(
        support::sqlstate(client.simple_query("SELECT 1").await),
        "25P02"
    );
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(
        support::query_text(&client, "SELECT count(*) FROM letter").await,
        "0"
    );
}

#[tokio::test]
async fn rollback_reports_restored_settings() {
    let member = support::start_primary(|_| {}).await;
    let mut caller = support::RawCaller::connect(&member).await;
    caller.send_query("BEGIN; SET application_name = 'a'").await;
    assert_eq!(caller.read_until(b'Z').await, b"CCSZ");
    caller.send_query("ROLLBACK").await;
    assert_eq!(caller.read_until(b'Z').await, b"CSZ");
    caller.send_query("SET fulmarlift.token = 'a'").await;
    assert_eq!(caller.read_until(b'Z').await, b"CZ");
}

#[tokio::test]
async fn transaction_goes_back_to_savepoint() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    client
        .batch_execute(
            "BEGIN; INSERT INTO letter (id) VALUES (1); SAVEPOINT a; \
             INSERT INTO letter (id) VALUES (2); ROLLBACK TO SAVEPOINT a; COMMIT",
        )
        .await
        .unwrap();
    assert_eq!(
        support::query_text(&client, "SELECT count(*) FROM letter").await,
        "1"
    );
}

#[tokio::test]
async fn transaction_of_dropped_connection_rolls_back() {
    let member = support::start_primary(|_| {}).await;
    let other = support::connect(&member).await;
    let (client, connection) = support::client_config(&member)
        .connect(NoTls)
        .await
        .unwrap();
    let driver = tokio::spawn(connection);
    client
        .batch_execute("BEGIN; INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    driver.abort();
    other
        .batch_execute("INSERT INTO letter (id) VALUES (2)")
        .await
        .unwrap();
    assert_eq!(
        support::query_text(&other, "SELECT min(id) FROM letter").await,
        "2"
    );
}

#[tokio::test]
async fn write_lock_times_out() {
    let member = support::start_primary(|config| config.lock_wait_ms = 50).await;
    let first = support::connect(&member).await;
    let second = support::connect(&member).await;
    first
        .batch_execute("BEGIN; INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    let refused = second
        .simple_query("INSERT INTO letter (id) VALUES (2)")
        .await;
    assert_eq!(support::sqlstate(refused), "55P03");
}

#[tokio::test]
async fn disconnect_ends_wait_for_position() {
    let member = support::start_primary(|config| config.connections_max = 1).await;
    let (client, connection) = support::client_config(&member)
        .connect(NoTls)
        .await
        .unwrap();
    let driver = tokio::spawn(connection);
    let status_query = tokio::spawn(async move {
        client
            .simple_query("SELECT * FROM group_status(99, 600000)")
            .await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    driver.abort();
    assert!(status_query.await.unwrap().is_err());
    while support::try_connect(&support::client_config(&member))
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn cancel_ends_sleep() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let token = client.cancel_token();
    let cancel = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        token.cancel_query(NoTls).await.unwrap();
    });
    assert_eq!(
        support::sqlstate(client.simple_query("SELECT pg_sleep(600)").await),
        "57014"
    );
    cancel.await.unwrap();
    assert_eq!(support::query_text(&client, "SELECT 1").await, "1");
}

#[tokio::test]
async fn cancel_of_idle_session_has_no_effect() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    client.cancel_token().cancel_query(NoTls).await.unwrap();
    assert_eq!(support::query_text(&client, "SELECT 1").await, "1");
}

#[tokio::test]
async fn connection_limit_spares_control_connections() {
    let member = support::start_primary(|config| config.connections_max = 1).await;
    let _client = support::connect(&member).await;
    let refused = support::try_connect(&support::client_config(&member)).await;
    assert_eq!(support::sqlstate(refused.map(|_| ())), "53300");
    let control = support::connect_control(&member).await;
    let status = support::query_row(&control, "SELECT * FROM group_status(0, 0)").await;
    assert_eq!(status.get("connections_used"), Some("1"));
    assert_eq!(status.get("connections_max"), Some("1"));
}
