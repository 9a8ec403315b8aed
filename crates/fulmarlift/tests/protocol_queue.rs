//! Requests that wait for a connection, and transactions that hold one.

mod support;

#[path = "support/callers.rs"]
mod callers;

use std::net::SocketAddr;
use std::time::Duration;

use callers::{RawCaller, connect_courier, error_code, query_values, run};
use futures::future;
use support::system::System;
use tokio_postgres::{Client, NoTls};

/// Starts a proxy whose members take few connections and whose service has this time for a request.
async fn scarce(request_timeout_ms: u64) -> (System, SocketAddr) {
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

/// Opens transactions until no connection to the primary is left.
async fn hold_all(address: SocketAddr) -> Vec<Client> {
    let mut holders = Vec::new();
    loop {
        let client = connect_courier(address, "").await;
        let begun = client.simple_query("BEGIN; SELECT 1");
        match tokio::time::timeout(Duration::from_millis(500), begun).await {
            Ok(begun) => drop(begun.expect("it begins")),
            Err(_) => return holders,
        }
        holders.push(client);
        assert!(holders.len() < 64, "connections never run out");
    }
}

#[tokio::test]
async fn cancel_of_a_waiting_request_is_answered_and_true() {
    let (_system, address) = scarce(60_000).await;
    let setup = connect_courier(address, "").await;
    run(&setup, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    let holders = hold_all(address).await;
    let waiting = connect_courier(address, "").await;
    let token = waiting.cancel_token();
    let insert = waiting.simple_query("INSERT INTO t VALUES (1)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        token.cancel_query(NoTls).await.expect("it is sent");
    };
    let (inserted, ()) = future::join(insert, cancel).await;
    let error = inserted.expect_err("it is cancelled");
    assert_eq!(error_code(&error), "57014");
    let detail = error.as_db_error().and_then(|error| error.detail());
    assert!(detail.is_some_and(|detail| detail.starts_with("not run")));
    for holder in &holders {
        run(holder, "ROLLBACK").await;
    }
    assert_eq!(
        query_values(&waiting, "SELECT count(*) FROM t").await,
        ["0"]
    );
}

#[tokio::test]
async fn vanished_while_waiting_gives_up_its_place() {
    let (_system, address) = scarce(60_000).await;
    let setup = connect_courier(address, "").await;
    run(&setup, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    let holders = hold_all(address).await;
    for id in 0..4 {
        let mut gone = RawCaller::log_in(address).await;
        gone.send_query(&format!("INSERT INTO t VALUES ({id})"))
            .await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let waiting = connect_courier(address, "").await;
    let wait = waiting.simple_query("SELECT count(*) FROM t; INSERT INTO t VALUES (100)");
    let free = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for holder in &holders {
            run(holder, "ROLLBACK").await;
        }
    };
    let (waited, ()) = future::join(wait, free).await;
    waited.expect("it is served");
    assert_eq!(query_values(&waiting, "SELECT id FROM t").await, ["100"]);
}

#[tokio::test]
async fn idle_transaction_ends_and_frees_its_connection() {
    let (_system, address) = scarce(1_000).await;
    let setup = connect_courier(address, "").await;
    run(&setup, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    let mut idle = RawCaller::log_in(address).await;
    idle.send_query("BEGIN; INSERT INTO t VALUES (1)").await;
    idle.read_until(b'Z').await;
    assert_eq!(idle.read_until_closed().await.as_deref(), Some("25P03"));
    run(&setup, "INSERT INTO t VALUES (1)").await;
    assert_eq!(query_values(&setup, "SELECT count(*) FROM t").await, ["1"]);
}
