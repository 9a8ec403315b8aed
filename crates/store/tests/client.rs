//! Tests of the HTTP clients against a local server with fixed answers.

use std::{net, time};

use axum::{extract, http, response::IntoResponse, routing};
use fulmarlift_store::{
    admin, client, message,
    platform::{self, Platform},
};

/// Serves the router on a free port until the test ends. Returns its URL.
async fn serve(router: axum::Router) -> String {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
    url
}

/// Returns a client of a server that answers every call with `status` and `body`.
async fn client_with_answer(status: u16, body: &'static str) -> client::Client {
    let status = http::StatusCode::from_u16(status).unwrap();
    let url = serve(axum::Router::new().fallback(move || async move { (status, body) })).await;
    client::Client::new(&url).unwrap()
}

/// Returns a client of a server whose answer to every call holds the call's method, path, query and body as row key.
async fn echo_client() -> client::Client {
    let echo = |method: http::Method, uri: http::Uri, body: String| async move {
        let key = format!("{method} {uri} {body}");
        let row = message::Row {
            key: key.clone().into(),
            version: 1,
            value: 1,
        };
        axum::Json(serde_json::json!({
            "key": key, "version": 1, "value": 1, "rows": [row], "vms": [],
        }))
    };
    client::Client::new(&serve(axum::Router::new().fallback(echo)).await).unwrap()
}

#[tokio::test]
async fn row_asks_for_escaped_key() {
    let row: message::Row<u64> = echo_client()
        .await
        .row("claim", "a/b ?")
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&*row.key, "GET /v1/tables/claim/a%2Fb%20%3F ");
}

#[tokio::test]
async fn rows_asks_for_keys_after() {
    let rows: Vec<message::Row<u64>> = echo_client().await.rows("audit", "a&b", 7).await.unwrap();
    assert_eq!(&*rows[0].key, "GET /v1/tables/audit?after=a%26b&limit=7 ");
}

#[tokio::test]
async fn row_is_absent() {
    assert_eq!(
        client_with_answer(404, "")
            .await
            .row::<u64>("claim", "g")
            .await
            .unwrap(),
        None
    );
}

#[tokio::test]
async fn object_is_read() {
    assert_eq!(
        client_with_answer(200, "bytes")
            .await
            .object("o")
            .await
            .unwrap(),
        Some(b"bytes".to_vec())
    );
    assert_eq!(
        client_with_answer(404, "").await.object("o").await.unwrap(),
        None
    );
}

#[tokio::test]
async fn vms_are_read() {
    let body = r#"{"vms": [{"name": "v1", "domain": "d1", "region": "r1",
        "address": "127.0.0.1:7000", "state": "leaving"}]}"#;
    let vms = client_with_answer(200, body).await.vms().await.unwrap();
    assert_eq!(
        (&*vms[0].name, vms[0].state),
        ("v1", message::VmState::Leaving)
    );
}

#[tokio::test]
async fn transact_is_committed() {
    let committed = client_with_answer(200, r#"{"version": 9}"#)
        .await
        .transact(&message::Transaction::default())
        .await;
    assert_eq!(committed.unwrap(), message::Committed { version: 9 });
}

#[tokio::test]
async fn transact_tells_conflicts() {
    let body = r#"{"conflicts": [{"table": "t", "key": "k", "version": 3, "value": {"a": 1}}]}"#;
    let error = client_with_answer(409, body)
        .await
        .transact(&message::Transaction::default())
        .await
        .unwrap_err();
    assert!(!error.is_outcome_unknown());
    let platform::Error::Conflict(conflicts) = error else {
        panic!("{error}")
    };
    assert_eq!(conflicts.conflicts[0].version, 3);
}

#[rstest::rstest]
#[case::unavailable(503, "", true)]
#[case::malformed(200, "{", true)]
#[case::malformed_conflict(409, "{", true)]
#[case::other_status(418, "", true)]
#[case::not_found(404, "", false)]
#[tokio::test]
async fn transact_tells_unknown_outcome(
    #[case] status: u16,
    #[case] body: &'static str,
    #[case] is_unknown: bool,
) {
    let error = client_with_answer(status, body)
        .await
        .transact(&message::Transaction::default())
        .await
        .unwrap_err();
    assert_eq!(error.is_outcome_unknown(), is_unknown, "{error}");
}

#[rstest::rstest]
#[case::new(201, true)]
#[case::same(200, true)]
#[case::other(409, false)]
#[tokio::test]
async fn put_object_is(#[case] status: u16, #[case] is_stored: bool) {
    match client_with_answer(status, "")
        .await
        .put_object("o", b"bytes")
        .await
    {
        Ok(()) => assert!(is_stored),
        Err(platform::Error::ObjectDiffers(name)) => assert_eq!((is_stored, &*name), (false, "o")),
        Err(error) => panic!("{error}"),
    }
}

#[tokio::test]
async fn call_gives_up_on_silent_platform() {
    let silent = axum::Router::new().fallback(std::future::pending::<http::StatusCode>);
    let client = client::Client::new(&serve(silent).await).unwrap();
    let client = client.with_timeout(time::Duration::from_millis(20));
    let error = client.row::<u64>("claim", "g").await.unwrap_err();
    assert!(matches!(error, platform::Error::Unavailable(_)), "{error}");
}

/// The answer takes five times the timeout of the call, but its pieces arrive within it.
#[tokio::test]
async fn object_waits_for_answer_that_arrives_slowly() {
    const PIECES: usize = 10;
    let timeout = time::Duration::from_millis(200);
    let answer = move || async move {
        let pieces = futures::stream::unfold(0, move |sent| async move {
            tokio::time::sleep(timeout / 2).await;
            (sent < PIECES).then_some((Ok::<_, std::convert::Infallible>("piece"), sent + 1))
        });
        axum::body::Body::from_stream(pieces)
    };
    let slow = axum::Router::new().fallback(answer);
    let client = client::Client::new(&serve(slow).await).unwrap();
    let object = client.with_timeout(timeout).object("o").await.unwrap();
    assert_eq!(object, Some("piece".repeat(PIECES).into_bytes()));
}

#[tokio::test]
async fn call_gives_up_on_closed_port() {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let error = client::Client::new(&url).unwrap().vms().await.unwrap_err();
    assert!(matches!(error, platform::Error::Unavailable(_)), "{error}");
}

#[rstest::rstest]
#[case::no_scheme("127.0.0.1:7070")]
#[case::other_scheme("ftp://127.0.0.1")]
#[case::no_url("")]
fn client_refuses_address(#[case] url: &str) {
    assert!(matches!(
        client::Client::new(url),
        Err(platform::Error::Address { .. })
    ));
    assert!(matches!(
        admin::Client::new(url),
        Err(admin::Error::Address { .. })
    ));
}

#[derive(serde::Deserialize)]
struct ExplainQuery {
    service: String,
    sql: String,
}

#[tokio::test]
async fn admin_asks_and_is_told() {
    let status = admin::Status {
        proxy: "p1".into(),
        config_version: 4,
        ready: true,
        groups: Vec::new(),
        peers: Vec::new(),
    };
    let expected = status.clone();
    let explain = |query: extract::Query<ExplainQuery>| async move {
        if query.service != "ledger" {
            return (http::StatusCode::NOT_FOUND, "unknown service").into_response();
        }
        axum::Json(admin::Explanation {
            class: None,
            kind: "read".into(),
            member: Some("a".into()),
            reason: query.sql.clone().into(),
            floor: None,
        })
        .into_response()
    };
    let router = axum::Router::new()
        .route(
            admin::STATUS_PATH,
            routing::get(|| async { axum::Json(status) }),
        )
        .route(admin::EXPLAIN_PATH, routing::get(explain));
    let client = admin::Client::new(&serve(router).await).unwrap();
    assert_eq!(client.status().await.unwrap(), expected);
    let sql = "SELECT '&=', 1 + 1";
    assert_eq!(&*client.explain("ledger", sql).await.unwrap().reason, sql);
    let error = client.explain("other", sql).await.unwrap_err();
    assert_eq!(
        error.to_string(),
        "proxy refuses with status 404: unknown service"
    );
}
