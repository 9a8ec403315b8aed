//! Each caller gets the whole answer to its own request and no other, even when a member sends messages that no request
//! asked for, breaks off an answer or stays silent.

mod scripted_member;

use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_core::peer;
use fulmarlift_proxy::{Proxy, document, settings};
use fulmarlift_wire::backend::{self, Connection};
use fulmarlift_wire::frame;
use rstest::rstest;
use scripted_member::ScriptedMember;

/// Timeout of an answer, which only a fault exceeds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

async fn start_proxy(repeatable: &[&str], request_timeout_ms: u64) -> (ScriptedMember, Proxy) {
    let member = ScriptedMember::start().await;
    let raw = settings::Raw::default();
    let settings = settings::Settings::check(&raw).expect("the settings are right");
    let proxy = Proxy::start(settings, None).await.expect("it starts");
    let document = document(&member, repeatable, request_timeout_ms);
    let digest = document.digest();
    let head = peer::Head { version: 1, digest };
    let accepted = document::Accepted::parse(&document.to_json(), head);
    proxy.configure(accepted.expect("the document is right"));
    while !proxy.is_ready()
        || proxy
            .engine
            .status()
            .groups
            .iter()
            .any(|g| g.primary.is_none())
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (member, proxy)
}

fn document(
    member: &ScriptedMember,
    repeatable: &[&str],
    request_timeout_ms: u64,
) -> model::Document {
    let member_config = model::Member {
        name: "m0".into(),
        address: member.address.to_string().into(),
        domain: "default".into(),
        connections: 16,
        connect_ms: 1,
    };
    model::Document {
        regions: vec![model::Region {
            name: "default".into(),
            domains: vec!["default".into()],
        }],
        groups: vec![model::Group {
            name: "ledger".into(),
            slots: 1,
            members: vec![member_config],
        }],
        callers: vec![model::Caller {
            name: "courier".into(),
            verifier: "trust".into(),
        }],
        services: vec![model::Service {
            name: "ledger".into(),
            group: "ledger".into(),
            callers: vec!["courier".into()],
            read_classes: Vec::new(),
            limits: model::Limits {
                request_timeout_ms,
                repeatable_tables: repeatable.iter().map(|name| (*name).into()).collect(),
                ..model::Limits::default()
            },
        }],
        ..model::Document::default()
    }
}

async fn connect(proxy: &Proxy) -> Connection {
    let credentials = backend::Credentials {
        user: "courier".into(),
        database: "ledger".into(),
        password: None,
    };
    let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    let connected = backend::connect(proxy.caller_address, &[], &credentials, None, deadline).await;
    connected.expect("the proxy serves")
}

async fn query(connection: &mut Connection, sql: &str) -> Result<String, backend::Error> {
    let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    let rows = backend::query(connection, sql, deadline).await?;
    let rows = rows.into_iter().flatten().flatten();
    Ok(rows.map(String::from).collect::<Vec<_>>().join(","))
}

fn queries_after_misbehavior(member: &ScriptedMember) -> Vec<Box<str>> {
    member
        .state
        .lock()
        .expect("no panic")
        .queries_after_misbehavior
        .clone()
}

#[rstest]
#[case::extra_ready("SELECT /* extra_ready */ 1")]
#[case::row_after_ready("SELECT /* row_after_ready */ 1")]
#[case::late_row("SELECT /* late_row */ 1")]
#[case::stray_next("SELECT /* stray_next */ 1")]
#[case::unparsed_extra_ready("SELECT extra_ready 1")]
#[case::unparsed_row_after_ready("SELECT row_after_ready 1")]
#[case::unparsed_late_row("SELECT late_row 1")]
#[case::unparsed_stray_next("SELECT stray_next 1")]
#[case::unasked("SELECT /* unasked */ 1")]
#[case::notice("SELECT /* notice */ 1")]
#[tokio::test]
async fn crossed_answers_reach_nobody(#[case] sql: &str) {
    let (member, proxy) = start_proxy(&[], 5_000).await;
    let mut caller = connect(&proxy).await;
    let mut other_caller = connect(&proxy).await;
    for round in 0..10 {
        assert_eq!(query(&mut caller, sql).await.expect("it is answered"), "1");
        tokio::time::sleep(Duration::from_millis(if round % 2 == 0 { 0 } else { 40 })).await;
        for value in ["7", "8", "9"] {
            let sql = format!("SELECT {value}");
            assert_eq!(
                query(&mut other_caller, &sql)
                    .await
                    .expect("it is answered"),
                value
            );
            assert_eq!(
                query(&mut caller, &sql).await.expect("it is answered"),
                value
            );
        }
    }
    let queries = queries_after_misbehavior(&member);
    assert!(queries.is_empty(), "{queries:?}");
}

#[rstest]
#[case::only_ready("SELECT /* only_ready */ 1")]
#[case::half_row("SELECT /* half_row */ 1")]
#[tokio::test]
async fn broken_read_fails_truthfully(#[case] sql: &str) {
    let (member, proxy) = start_proxy(&[], 300).await;
    let mut caller = connect(&proxy).await;
    let mut other_caller = connect(&proxy).await;
    let error = query(&mut caller, sql)
        .await
        .expect_err("the answer is incomplete");
    // The read was sent, so the error must not say that it did not run. It changed nothing, so its outcome is not
    // unknown either.
    assert_eq!(error.sqlstate(), Some("08006"));
    assert_eq!(
        query(&mut caller, "SELECT 8")
            .await
            .expect("it is answered"),
        "8"
    );
    assert_eq!(
        query(&mut other_caller, "SELECT 7")
            .await
            .expect("it is answered"),
        "7"
    );
    assert!(queries_after_misbehavior(&member).is_empty());
}

#[tokio::test]
async fn half_of_a_large_row_closes_the_caller() {
    let (_member, proxy) = start_proxy(&[], 5_000).await;
    let mut caller = connect(&proxy).await;
    let mut other_caller = connect(&proxy).await;
    let error = query(&mut caller, "SELECT /* half_large */ 1").await;
    let error = error.expect_err("the connection ends");
    let ended = matches!(error, backend::Error::Closed | backend::Error::Frame(_));
    assert!(ended, "{error}");
    assert_eq!(
        query(&mut other_caller, "SELECT 7")
            .await
            .expect("it is answered"),
        "7"
    );
}

#[rstest]
#[case::dies("INSERT INTO t VALUES (die)")]
#[case::silent("INSERT INTO t VALUES (silent)")]
#[tokio::test]
async fn unknown_outcome_is_told_and_not_repeated(#[case] sql: &str) {
    let (member, proxy) = start_proxy(&[], 400).await;
    let mut caller = connect(&proxy).await;
    let error = query(&mut caller, sql)
        .await
        .expect_err("the outcome is unknown");
    assert_eq!(error.sqlstate(), Some("08007"));
    // The member sends the end of that answer late, while it serves other queries.
    for round in 0..40 {
        let value = round.to_string();
        let answer = query(&mut caller, &format!("SELECT {value}")).await;
        assert_eq!(answer.expect("it is answered"), value);
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    assert_eq!(
        member.state.lock().expect("no panic").writes,
        [Box::from(sql)]
    );
    assert!(queries_after_misbehavior(&member).is_empty());
}

#[tokio::test]
async fn refused_as_no_primary_is_sent_again_and_runs_once() {
    let (member, proxy) = start_proxy(&[], 5_000).await;
    member.state.lock().expect("no panic").refusals = 2;
    let mut caller = connect(&proxy).await;
    let sql = "INSERT INTO t VALUES (1)";
    query(&mut caller, sql).await.expect("it is acknowledged");
    assert_eq!(
        member.state.lock().expect("no panic").writes,
        [Box::from(sql)]
    );
}

#[rstest]
#[case::repeatable(&["t"], true)]
#[case::another_table(&["u"], false)]
#[tokio::test]
async fn unknown_outcome_is_repeated_only_where_it_may(
    #[case] repeatable: &[&str],
    #[case] is_repeated: bool,
) {
    let (member, proxy) = start_proxy(repeatable, 300).await;
    let mut caller = connect(&proxy).await;
    let sql = "INSERT INTO t VALUES (die)";
    let error = query(&mut caller, sql)
        .await
        .expect_err("the outcome is unknown");
    assert_eq!(error.sqlstate(), Some("08007"));
    let runs = member.state.lock().expect("no panic").writes.len();
    assert!(
        if is_repeated { runs >= 2 } else { runs == 1 },
        "{runs} runs"
    );
}

#[tokio::test]
async fn notice_passes_and_notification_does_not() {
    let (_member, proxy) = start_proxy(&[], 5_000).await;
    let mut caller = connect(&proxy).await;
    let message = pgwire::messages::simplequery::Query::new("SELECT /* notice unasked */ 1".into());
    let message = pgwire::messages::PgWireFrontendMessage::Query(message);
    let sent = caller.framed.send(&frame::encode_frontend(&message)).await;
    sent.expect("it is sent");
    let mut tags = String::new();
    while !tags.ends_with('Z') {
        let frame = caller.framed.read_frame().await.expect("it is open");
        tags.push(char::from(frame.expect("it is open").tag));
    }
    assert_eq!(tags, "NTDCZ");
}

#[tokio::test]
async fn late_cancel_hits_nobody_else() {
    let (member, proxy) = start_proxy(&[], 5_000).await;
    let mut caller = connect(&proxy).await;
    let mut other_callers = Vec::new();
    for _ in 0..8 {
        other_callers.push(connect(&proxy).await);
    }
    let key = caller.key.clone().expect("a cancel key");
    for _ in 0..5 {
        let slow = query(&mut caller, "SELECT /* slow */ 1");
        let cancel = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
            let sent = backend::cancel(proxy.caller_address, &key, deadline).await;
            sent.expect("it is sent");
        };
        let (slow, ()) = futures::future::join(slow, cancel).await;
        assert_eq!(slow.expect("the cancel comes too late"), "1");
        // As many queries at the same time as it takes to use every idle connection.
        let other_answers = other_callers
            .iter_mut()
            .map(|other_caller| query(other_caller, "SELECT /* slow */ 7"));
        for answer in futures::future::join_all(other_answers).await {
            assert_eq!(answer.expect("the query was not cancelled"), "7");
        }
    }
    // The member received all cancel requests, and none of them hit a query.
    assert_eq!(member.state.lock().expect("no panic").cancels.len(), 5);
}
