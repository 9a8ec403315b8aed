//! Tests of the member's switches.

mod support;

use std::time::{Duration, Instant};

use fulmarlift_standin::member::{Cut, Switch};

const NO_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn silent_spares_new_connections() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let control = support::connect_control(&member).await;
    support::query_row(&control, "SELECT member_switch('silent', '')").await;
    assert!(
        tokio::time::timeout(NO_ANSWER_TIMEOUT, client.simple_query("SELECT 1"))
            .await
            .is_err()
    );
    assert!(!client.is_closed());
    let new_client = support::connect(&member).await;
    assert_eq!(support::query_text(&new_client, "SELECT 1").await, "1");
    assert_eq!(support::query_text(&control, "SELECT 1").await, "1");
}

#[tokio::test]
async fn cut_of_callers_ends_with_the_switch() {
    let member = support::start_primary(|_| {}).await;
    let busy = support::connect(&member).await;
    let idle = support::connect(&member).await;
    let control = support::connect_control(&member).await;
    support::query_row(&control, "SELECT member_switch('cut', 'callers')").await;
    assert!(
        tokio::time::timeout(NO_ANSWER_TIMEOUT, busy.simple_query("SELECT 1"))
            .await
            .is_err()
    );
    assert!(
        support::try_connect(&support::client_config(&member))
            .await
            .is_err()
    );
    support::query_row(&control, "SELECT member_switch('cut', 'none')").await;
    let after = tokio::time::timeout(ANSWER_TIMEOUT, busy.simple_query("SELECT 1")).await;
    assert!(after.unwrap().is_err());
    assert_eq!(support::query_text(&idle, "SELECT 1").await, "1");
    support::connect(&member).await;
}

#[tokio::test]
async fn cut_of_peers_stops_replication() {
    let members = support::start_group(0).await;
    let primary = support::connect(&members[0]).await;
    let replica = support::connect(&members[1]).await;
    support::wait_for_position(&replica, 1).await;
    members[1].switch(Switch::Cut(Cut::Peers));
    primary
        .batch_execute("INSERT INTO letter (id) VALUES (1)")
        .await
        .unwrap();
    let status = support::query_row(&replica, "SELECT * FROM group_status(2, 300)").await;
    assert_eq!(status.get("position"), Some("1"));
    members[1].switch(Switch::Cut(Cut::None));
    let status = support::wait_for_position(&replica, 2).await;
    assert_eq!(status.get("position"), Some("2"));
}

#[tokio::test]
async fn delays_hold_answers() {
    let member = support::start_primary(|config| config.connect_ms = 60).await;
    let started = Instant::now();
    let client = support::connect(&member).await;
    assert!(started.elapsed() >= Duration::from_millis(60));
    member.switch(Switch::LatencyUs(30_000));
    let started = Instant::now();
    support::query_text(&client, "SELECT 1").await;
    assert!(started.elapsed() >= Duration::from_millis(60));
    member.switch(Switch::LatencyUs(0));
    let started = Instant::now();
    member.switch(Switch::FreezeMs(200));
    support::query_text(&client, "SELECT 1").await;
    assert!(started.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn stop_closes_connections() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    member.stop();
    assert!(client.simple_query("SELECT pg_sleep(600)").await.is_err());
    assert!(
        support::try_connect(&support::client_config(&member))
            .await
            .is_err()
    );
}

#[tokio::test]
async fn lose_answers_keeps_effect() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let other = support::connect(&member).await;
    member.switch(Switch::LoseAnswers(1));
    support::query_text(&client, "SELECT 1").await;
    let insert = "INSERT INTO letter (id) VALUES (1)";
    assert_eq!(
        support::sqlstate(client.simple_query(insert).await),
        "connection closed"
    );
    assert_eq!(
        support::query_text(&other, "SELECT count(*) FROM letter").await,
        "1"
    );
    other.batch_execute("DELETE FROM letter").await.unwrap();
}

#[tokio::test]
async fn functions_tell_session_and_member() {
    let member = support::start_primary(|_| {}).await;
    let first = support::connect(&member).await;
    let second = support::connect(&member).await;
    let port = support::query_text(&first, "SELECT inet_server_port()").await;
    assert_eq!(port, member.address().port().to_string());
    let pid = "SELECT pg_backend_pid()";
    assert_ne!(
        support::query_text(&first, pid).await,
        support::query_text(&second, pid).await
    );
}

#[tokio::test]
async fn switch_refuses_unknown_name() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect_control(&member).await;
    let refused = client
        .simple_query("SELECT member_switch('cut', 'some')")
        .await;
    assert_eq!(support::sqlstate(refused), "22023");
}
