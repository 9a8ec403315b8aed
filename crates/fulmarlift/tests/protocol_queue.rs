//! Requests that wait for a connection while transactions use all connections.

mod support;

#[path = "support/callers.rs"]
mod callers;

use std::net::SocketAddr;
use std::time::Duration;

use callers::{RawCaller, connect_courier, error_code, query_values, run};
use futures::future;
use support::system::System;
use tokio_postgres::{Client, NoTls};

/// Starts a proxy with two connections to each member and this request timeout.
async fn start_with_few_connections(request_timeout_ms: u64) -> (System, SocketAddr) {
    let system = System::start(1).await;
    let mut document = system.document();
    for member in &mut document.groups[0].members {
        member.connections = 2;
    }
    document.groups[0].slots = 1;
    document.services[0].limits.request_timeout_ms = request_timeout_ms;
    document.callers.push(document.callers[0].clone());
    document.callers[1].name = "late".into();
    document.services[0].callers.push("late".into());
    callers::submit(&system, 2, &document).await;
    let address = system.proxy_addresses[0];
    callers::wait_for_login(address, "user=late dbname=ledger").await;
    (system, address)
}

/// Opens transactions until they use all connections to the primary, so that a further one does not start in time.
async fn occupy_all_connections(address: SocketAddr) -> Vec<Client> {
    let mut transactions = Vec::new();
    loop {
        let client = connect_courier(address, "").await;
        let begun = client.simple_query("BEGIN; SELECT 1");
        match tokio::time::timeout(Duration::from_millis(500), begun).await {
            Ok(begun) => drop(begun.expect("the transaction starts")),
            Err(_) => return transactions,
        }
        transactions.push(client);
        assert!(
            transactions.len() < 64,
            "the transactions did not use up all connections"
        );
    }
}

#[tokio::test]
async fn cancel_of_a_waiting_request_is_answered_and_true() {
    let (_system, address) = start_with_few_connections(60_000).await;
    let setup = connect_courier(address, "").await;
    run(&setup, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    let transactions = occupy_all_connections(address).await;
    let waiting = connect_courier(address, "").await;
    let token = waiting.cancel_token();
    let insert = waiting.simple_query("INSERT INTO t VALUES (1)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        token
            .cancel_query(NoTls)
            .await
            .expect("the cancel request is sent");
    };
    let (inserted, ()) = future::join(insert, cancel).await;
    let error = inserted.expect_err("the statement is cancelled");
    assert_eq!(error_code(&error), "57014");
    let detail = error.as_db_error().and_then(|error| error.detail());
    assert!(detail.is_some_and(|detail| detail.starts_with("not run")));
    for transaction in &transactions {
        run(transaction, "ROLLBACK").await;
    }
    assert_eq!(
        query_values(&waiting, "SELECT count(*) FROM t").await,
        ["0"]
    );
}

#[tokio::test]
async fn vanished_while_waiting_gives_up_its_place() {
    let (_system, address) = start_with_few_connections(60_000).await;
    let setup = connect_courier(address, "").await;
    run(&setup, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    let transactions = occupy_all_connections(address).await;
    for id in 0..4 {
        let mut vanished = RawCaller::log_in(address).await;
        vanished
            .send_query(&format!("INSERT INTO t VALUES ({id})"))
            .await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let waiting = connect_courier(address, "").await;
    let wait = waiting.simple_query("SELECT count(*) FROM t; INSERT INTO t VALUES (100)");
    let release = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for transaction in &transactions {
            run(transaction, "ROLLBACK").await;
        }
    };
    let (waited, ()) = future::join(wait, release).await;
    waited.expect("the proxy answers the request");
    assert_eq!(query_values(&waiting, "SELECT id FROM t").await, ["100"]);
}

#[tokio::test]
async fn idle_transaction_ends_and_frees_its_connection() {
    let (_system, address) = start_with_few_connections(1_000).await;
    let setup = connect_courier(address, "").await;
    run(&setup, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    let mut idle = RawCaller::log_in(address).await;
    idle.send_query("BEGIN; INSERT INTO t VALUES (1)").await;
    idle.read_until(b'Z').await;
    assert_eq!(idle.read_until_closed().await.as_deref(), Some("25P03"));
    run(&setup, "INSERT INTO t VALUES (1)").await;
    assert_eq!(query_values(&setup, "SELECT count(*) FROM t").await, ["1"]);
}
