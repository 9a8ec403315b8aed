//! Graceful stop and sudden end of a proxy while callers are connected.

mod support;

use std::net::TcpStream;

use support::system::{self, System};
use support::{load, standin, wait};
use tokio_postgres::Client;

/// SQLSTATE with which a stopping proxy ends an idle session.
const ADMIN_SHUTDOWN: &str = "57P01";
/// Number of requests in flight when the proxy receives the signal.
const IN_FLIGHT_REQUESTS: i64 = 6;

async fn busy_connections(system: &System, index: usize) -> u32 {
    let status = system.status(index).await.expect("the proxy answers");
    let members = status.groups[0].members.iter();
    members.map(|member| member.connections_busy).sum()
}

async fn run(client: &Client, sql: &str) {
    client.simple_query(sql).await.expect(sql);
}

#[tokio::test]
async fn sigterm_ends_what_is_in_flight_and_nothing_else() {
    let mut system = System::start(2).await;
    load::create_table(&system.connect(1).await).await;
    // One caller is in a transaction, others send requests that wait at the member for its end, and one is idle.
    let in_transaction = system.connect(0).await;
    let (_idle, idle_connection) = system::open(system.proxies[0].caller_address)
        .await
        .expect("the proxy accepts the login");
    let idle = tokio::spawn(idle_connection);
    let mut clients = Vec::new();
    for _ in 0..IN_FLIGHT_REQUESTS {
        clients.push(system.connect(0).await);
    }
    run(&in_transaction, "BEGIN").await;
    run(&in_transaction, "INSERT INTO counter VALUES (100)").await;
    let requests = clients
        .into_iter()
        .zip(0..IN_FLIGHT_REQUESTS)
        .map(|(client, id)| {
            tokio::spawn(async move {
                let sql = format!("INSERT INTO counter VALUES ({id})");
                client.simple_query(&sql).await.map(drop)
            })
        });
    let requests: Vec<_> = requests.collect();
    wait::until("the requests are in flight", async || {
        busy_connections(&system, 0).await
            > u32::try_from(IN_FLIGHT_REQUESTS).expect("the number is small")
    })
    .await;

    system.proxies[0].process.signal("TERM");
    wait::until("the proxy is not ready", async || {
        system.readiness(0).await.0 == 503
    })
    .await;
    wait::until("the proxy refuses callers", async || {
        TcpStream::connect(system.proxies[0].caller_address).is_err()
    })
    .await;
    system.proxies[0].process.signal("TERM");
    let ended = wait::until_ended("the idle session", idle)
        .await
        .expect("the task of the connection does not panic");
    let ended = ended.expect_err("the proxy ends the idle session");
    assert_eq!(ended.code().map(|code| code.code()), Some(ADMIN_SHUTDOWN));
    assert!(system.proxies[0].process.is_running());
    run(&in_transaction, "INSERT INTO counter VALUES (101)").await;
    run(&in_transaction, "COMMIT").await;
    for request in requests {
        let answer = wait::until_ended("a request", request)
            .await
            .expect("the task of the request does not panic");
        answer.expect("the proxy completes the request in flight");
    }
    assert_eq!(system.proxies[0].process.wait().code(), Some(0));
    let other = system.connect(1).await;
    let count = standin::query_first(&other, "SELECT COUNT(*) FROM counter").await;
    assert_eq!(
        count.expect("the proxy answers the read").as_deref(),
        Some("8")
    );
}

#[tokio::test]
async fn sigkill_in_transaction_leaves_nothing_half_done() {
    let mut system = System::start(2).await;
    let other = system.connect(1).await;
    load::create_table(&other).await;
    let caller = system.connect(0).await;
    run(&caller, "BEGIN").await;
    run(&caller, "INSERT INTO counter VALUES (1)").await;
    run(&caller, "INSERT INTO counter VALUES (2)").await;
    system.proxies[0].process.signal("KILL");
    system.proxies[0].process.wait();
    // The member has rolled the transaction back; otherwise this write would wait for its end.
    run(&other, "INSERT INTO counter VALUES (3)").await;
    let ids = standin::query_first(&other, "SELECT group_concat(id) FROM counter").await;
    assert_eq!(
        ids.expect("the proxy answers the read").as_deref(),
        Some("3")
    );
    assert!(caller.simple_query("COMMIT").await.is_err());
}

#[tokio::test]
async fn sigkill_of_proxy_leaves_other_callers_alone() {
    let system = System::start(2).await;
    load::create_table(&system.connect(1).await).await;
    let caller_address = |index: usize| system.proxies[index].caller_address;
    let load = load::Load::start(&[
        caller_address(1),
        caller_address(0),
        caller_address(1),
        caller_address(0),
    ]);
    load.wait_for_acknowledged(1, 5).await;
    load.wait_for_acknowledged(0, 5).await;
    system.proxies[0].process.signal("KILL");
    load.wait_for_acknowledged(0, 20).await;
    load.wait_for_acknowledged(2, 20).await;
    let outcomes = load.stop().await;
    for undisturbed in [&outcomes[0], &outcomes[2]] {
        assert!(undisturbed.not_run.is_empty() && undisturbed.unknown.is_empty());
    }
    load::check(&system.connect(1).await, &outcomes).await;
}

#[tokio::test]
async fn caller_gone_in_transaction_leaves_nothing() {
    let system = System::start(1).await;
    let other = system.connect(0).await;
    load::create_table(&other).await;
    let (caller, connection) = system::open(system.proxies[0].caller_address)
        .await
        .expect("the proxy accepts the login");
    let connection = tokio::spawn(connection);
    run(&caller, "BEGIN").await;
    run(&caller, "INSERT INTO counter VALUES (1)").await;
    drop(caller);
    // The connection ends without a COMMIT or ROLLBACK.
    let _ = wait::until_ended("the caller's connection", connection).await;
    for id in 2..8 {
        run(&other, &format!("INSERT INTO counter VALUES ({id})")).await;
    }
    let count =
        standin::query_first(&system.connect(0).await, "SELECT COUNT(*) FROM counter").await;
    assert_eq!(
        count.expect("the proxy answers the read").as_deref(),
        Some("6")
    );
    let first = standin::query_first(&other, "SELECT COUNT(*) FROM counter WHERE id = 1").await;
    assert_eq!(
        first.expect("the proxy answers the read").as_deref(),
        Some("0")
    );
}
