//! State of sessions: settings, tokens, cancel requests, and transactions of callers that vanish.

mod support;

#[path = "support/callers.rs"]
mod callers;

use std::time::Duration;

use callers::{RawCaller, connect_courier, error_code, query_error_code, query_values, run};
use futures::future;
use rstest::rstest;
use support::system::System;
use tokio_postgres::NoTls;

/// Statements that the proxy does not support.
const REFUSED: [&str; 14] = [
    "LISTEN channel",
    "CREATE TEMPORARY TABLE t (id BIGINT)",
    "SELECT pg_advisory_lock(1)",
    "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
    "SELECT * FROM group_fence(9, 'x')",
    "SELECT FROM WHERE group_fence(9, 'x')",
    "PREPARE p AS SELECT 1",
    "COMMIT AND CHAIN",
    "BEGIN; SELECT 1; COMMIT; SELECT 2",
    "SET a.b = 1; ROLLBACK; SET a.c = 1",
    "SET fulmarlift.read_class = 'x'; SELECT 1",
    "SET fulmarlift.request_id = 'r1'",
    "SET standard_conforming_strings = off",
    "SET NAMES 'SJIS'",
];

#[tokio::test]
async fn refused_with_what_to_do() {
    let system = System::start(1).await;
    let client = system.connect(0).await;
    for sql in REFUSED {
        let error = client.simple_query(sql).await.expect_err(sql);
        let answer = error.as_db_error().expect("the proxy answers");
        assert_eq!(answer.code().code(), "0A000", "{sql}");
        let message = answer.message();
        assert!(
            message.ends_with("is not supported through the proxy"),
            "{message}"
        );
        assert!(answer.hint().is_some_and(|hint| !hint.is_empty()), "{sql}");
        let executed = client.execute(sql, &[]).await;
        assert!(executed.is_err(), "{sql}");
        assert_eq!(query_values(&client, "SELECT 7").await, ["7"]);
    }
}

#[rstest]
#[case::strings("options='-c standard_conforming_strings=off'")]
#[case::strings_by_word("options='--Standard-Conforming-Strings=no'")]
#[tokio::test]
async fn setting_that_changes_syntax_is_refused_at_startup(#[case] options: &str) {
    let system = System::start(1).await;
    let address = system.proxy_addresses[0];
    let settings = format!("user=courier dbname=ledger {options}");
    let refused = callers::connect(address, &settings).await;
    let code = refused.map_err(|error| error_code(&error)).err();
    assert_eq!(code.as_deref(), Some("0A000"));
}

#[tokio::test]
async fn settings_follow_their_session() {
    let system = System::start(1).await;
    let address = system.proxy_addresses[0];
    let (first, second) = (
        connect_courier(address, "").await,
        connect_courier(address, "").await,
    );
    run(&first, "SET search_path TO a, \"B c\"").await;
    run(&first, "SET work_mem = '64MB'").await;
    // Sessions share connections to members; a third caller in a transaction keeps more than one open.
    for round in 0..8 {
        let busy = connect_courier(address, "").await;
        run(&busy, "BEGIN").await;
        assert_eq!(
            query_values(&first, "SHOW work_mem").await,
            ["64MB"],
            "round {round}"
        );
        assert_eq!(
            query_values(&first, "SHOW search_path").await,
            ["a, \"B c\""]
        );
        assert_eq!(
            query_error_code(&second, "SHOW work_mem").await,
            "42704",
            "round {round}"
        );
        run(&busy, "ROLLBACK").await;
    }
    run(&first, "BEGIN").await;
    run(&first, "SET work_mem = '1MB'").await;
    run(&first, "ROLLBACK").await;
    assert_eq!(query_values(&first, "SHOW work_mem").await, ["64MB"]);
    run(&first, "BEGIN").await;
    run(&first, "SET work_mem = '2MB'").await;
    assert!(first.simple_query("SELECT no_such_column").await.is_err());
    // The member rolls the failed transaction back at COMMIT.
    run(&first, "COMMIT").await;
    assert_eq!(query_values(&first, "SHOW work_mem").await, ["64MB"]);
    run(&first, "RESET ALL").await;
    assert_eq!(query_error_code(&first, "SHOW work_mem").await, "42704");
    let started = connect_courier(address, "options='-c work_mem=3MB'").await;
    run(&started, "SET work_mem = '4MB'").await;
    run(&started, "RESET work_mem").await;
    assert_eq!(query_values(&started, "SHOW work_mem").await, ["3MB"]);
}

#[tokio::test]
async fn unparsed_statement_leaves_nothing_on_its_connection() {
    let system = System::start(1).await;
    let address = system.proxy_addresses[0];
    let (first, second) = (
        connect_courier(address, "").await,
        connect_courier(address, "").await,
    );
    for _ in 0..4 {
        // The proxy's parser does not accept the second `=`, but the member does.
        run(&first, "SET a.dirty = = 'x'").await;
        // A transaction runs on the primary, as the statement above did.
        run(&second, "BEGIN").await;
        assert_eq!(query_error_code(&second, "SHOW a.dirty").await, "42704");
        run(&second, "ROLLBACK").await;
    }
}

#[tokio::test]
async fn own_statements_work_in_both_protocols() {
    let system = System::start(1).await;
    let client = system.connect(0).await;
    run(&client, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    client
        .execute("INSERT INTO t VALUES (1)", &[])
        .await
        .expect("the proxy acknowledges the write");
    let simple = query_values(&client, "SHOW fulmarlift.token").await;
    let row = client.query_one("SHOW fulmarlift.token", &[]).await;
    assert_eq!(
        row.expect("the proxy shows the token").get::<_, String>(0),
        simple[0]
    );
    let set = format!("SET fulmarlift.token = '{}'", simple[0]);
    client
        .execute(&set, &[])
        .await
        .expect("the proxy accepts the token");
    let wrong = client.execute("SET fulmarlift.nonsense = 1", &[]).await;
    assert_eq!(
        error_code(&wrong.expect_err("the proxy refuses an unknown setting")),
        "42704"
    );
    assert_eq!(query_values(&client, "SELECT 7").await, ["7"]);
    assert_eq!(
        query_error_code(&client, "DEALLOCATE nothing").await,
        "26000"
    );
    run(&client, "DEALLOCATE ALL").await;
}

#[tokio::test]
async fn token_carries_the_floor_of_a_write() {
    let system = System::start_with(2, &["--lag-ms=300"]).await;
    let addresses = &system.proxy_addresses;
    let writer = connect_courier(addresses[0], "").await;
    run(&writer, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    for id in 0..5 {
        run(&writer, &format!("INSERT INTO t VALUES ({id})")).await;
        let token = query_values(&writer, "SHOW fulmarlift.token")
            .await
            .remove(0);
        assert!(!token.is_empty());
        let options = format!("options='-c fulmarlift.token={token}'");
        let reader = connect_courier(addresses[1], &options).await;
        let sql = format!("SELECT count(*) FROM t WHERE id = {id}");
        assert_eq!(query_values(&reader, &sql).await, ["1"]);
        let plain = connect_courier(addresses[1], "").await;
        run(&plain, &format!("SET fulmarlift.token = '{token}'")).await;
        assert_eq!(query_values(&plain, &sql).await, ["1"]);
    }
}

#[rstest]
#[case::no_token("'nonsense'")]
#[case::unknown_group("")]
#[tokio::test]
async fn token_refused_that_names_nothing(#[case] value: &str) {
    let system = System::start(1).await;
    let client = system.connect(0).await;
    let mut floor = fulmarlift_core::floor::Floor::default();
    floor.raise(12_345, fulmarlift_core::floor::Point::new(1, 1));
    let unknown = format!("'{}'", floor.token());
    let value = if value.is_empty() { &unknown } else { value };
    let sql = format!("SET fulmarlift.token = {value}");
    assert_eq!(query_error_code(&client, &sql).await, "22023");
    let options = format!(
        "user=courier dbname=ledger options='-c fulmarlift.token={}'",
        value.trim_matches('\'')
    );
    let refused = callers::connect(system.proxy_addresses[0], &options).await;
    assert_eq!(
        error_code(&refused.expect_err("the proxy refuses the token")),
        "22023"
    );
}

#[tokio::test]
async fn cancel_through_the_other_proxy_stops_the_statement() {
    let system = System::start(2).await;
    let client = system.connect(0).await;
    let other_caller = system.connect(0).await;
    let mut cancel_key = Vec::new();
    let address = system.proxy_addresses[0];
    let mut raw = RawCaller::connect(address).await;
    let mut body = 196_608_i32.to_be_bytes().to_vec();
    body.extend_from_slice(b"user\0courier\0database\0ledger\0\0");
    raw.send(&(body.len() as i32 + 4).to_be_bytes()).await;
    raw.send(&body).await;
    raw.read_until(b'K').await.1.clone_into(&mut cancel_key);
    raw.read_until(b'Z').await;
    raw.send_query("SELECT pg_sleep(60)").await;
    let undisturbed = other_caller.simple_query("SELECT pg_sleep(0.5)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut other = RawCaller::connect(system.proxy_addresses[1]).await;
        other.send(&16_i32.to_be_bytes()).await;
        other.send(&80_877_102_i32.to_be_bytes()).await;
        other.send(&cancel_key).await;
        let (_, error) = raw.read_until(b'E').await;
        assert_eq!(
            callers::error_response_code(&error).as_deref(),
            Some("57014")
        );
        raw.read_until(b'Z').await;
    };
    let (undisturbed, ()) = future::join(undisturbed, cancel).await;
    undisturbed.expect("the statement of another caller completes");
    // The driver sends its cancel request to the proxy of the session.
    let cancel_token = client.cancel_token();
    let sleep = client.simple_query("SELECT pg_sleep(60)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cancel_token
            .cancel_query(NoTls)
            .await
            .expect("the cancel request is sent");
    };
    let (slept, ()) = future::join(sleep, cancel).await;
    assert_eq!(
        error_code(&slept.expect_err("the statement is cancelled")),
        "57014"
    );
    assert_eq!(query_values(&client, "SELECT 7").await, ["7"]);
}

#[tokio::test]
async fn vanished_caller_leaves_nothing_behind() {
    let system = System::start(1).await;
    let address = system.proxy_addresses[0];
    let client = system.connect(0).await;
    run(&client, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    for _ in 0..4 {
        let mut vanished = RawCaller::log_in(address).await;
        vanished.send_query("BEGIN; INSERT INTO t VALUES (1)").await;
        vanished.read_until(b'Z').await;
        vanished.send_query("SET a.dirty = 'yes'").await;
        vanished.read_until(b'Z').await;
        drop(vanished);
        // The member has rolled the transaction back and released its write lock; otherwise this write would wait.
        run(&client, "BEGIN; INSERT INTO t VALUES (1)").await;
        assert_eq!(query_error_code(&client, "SHOW a.dirty").await, "42704");
        run(&client, "ROLLBACK").await;
    }
    assert_eq!(query_values(&client, "SELECT count(*) FROM t").await, ["0"]);
}
