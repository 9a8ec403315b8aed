//! Logins, TLS and malformed messages.

mod support;

#[path = "support/callers.rs"]
mod callers;

use std::time::Duration;

use callers::{RawCaller, connect_courier, error_code, query_error_code, query_values, run};
use fulmarlift_config::model;
use fulmarlift_config::verifier::Verifier;
use fulmarlift_wire::backend;
use fulmarlift_wire::tls;
use support::system::System;

/// Iterations of the SCRAM verifier; few, so that the tests are short.
const SCRAM_ITERATIONS: u32 = 4_096;

/// Returns a configuration with a caller `sealed`, who has a password, and a read class `stale`.
fn document_with_password(system: &System) -> model::Document {
    let mut document = system.document();
    let verifier = Verifier::from_password("s3cret", b"salt of sealed", SCRAM_ITERATIONS);
    document.callers.push(model::Caller {
        name: "sealed".into(),
        verifier: verifier.to_string().into(),
    });
    document.services[0].callers.push("sealed".into());
    document.read_classes.push(model::ReadClass {
        name: "stale".into(),
        max_age_ms: 60_000,
        tables: vec!["t".into()],
    });
    document.services[0].read_classes.push("stale".into());
    document
}

#[tokio::test]
async fn login_by_scram_tells_unknown_and_wrong_alike() {
    let system = System::start(2).await;
    let document = document_with_password(&system);
    callers::submit(&system, 2, &document).await;
    for address in &system.proxy_addresses {
        let correct_login = "user=sealed password=s3cret dbname=ledger";
        let client = callers::wait_for_login(*address, correct_login).await;
        assert_eq!(query_values(&client, "SELECT 7").await, ["7"]);
        let mut answers = Vec::new();
        for user in ["sealed", "nobody"] {
            let settings = format!("user={user} password=wrong dbname=ledger");
            let refused = callers::connect(*address, &settings).await;
            let error = refused.expect_err("the proxy refuses the login");
            assert_eq!(error_code(&error), "28P01");
            let message = error.as_db_error().expect("the proxy answers").message();
            answers.push(message.replace(user, "USER"));
        }
        assert_eq!(answers[0], answers[1]);
        let unknown_service = "user=sealed password=s3cret dbname=nothing";
        let refused = callers::connect(*address, unknown_service).await;
        assert_eq!(
            error_code(&refused.expect_err("the proxy refuses an unknown service")),
            "3D000"
        );
    }
    // An unknown user gets the same salt at both proxies and at every attempt.
    let mut salts = Vec::new();
    for address in system.proxy_addresses.iter().cycle().take(4) {
        let mut raw = RawCaller::connect(*address).await;
        let body = b"\x00\x03\x00\x00user\0nobody\0database\0ledger\0\0";
        raw.send(&(body.len() as i32 + 4).to_be_bytes()).await;
        raw.send(body).await;
        raw.read_until(b'R').await;
        let client_first = b"n,,n=,r=clientnonce";
        let mut sasl = b"SCRAM-SHA-256\0".to_vec();
        sasl.extend_from_slice(&(client_first.len() as i32).to_be_bytes());
        sasl.extend_from_slice(client_first);
        raw.send_message(b'p', &sasl).await;
        let (_, challenge) = raw.read_until(b'R').await;
        let text = String::from_utf8_lossy(&challenge[4..]).into_owned();
        salts.push(
            text.split(',')
                .nth(1)
                .expect("the challenge has a salt")
                .to_owned(),
        );
    }
    assert!(salts.iter().all(|salt| *salt == salts[0]), "{salts:?}");
}

#[tokio::test]
async fn tls_protects_callers() {
    let system = System::start(1).await;
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let certificate = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]);
    let certificate = certificate.expect("the certificate is generated");
    let (chain, key) = (folder.path().join("chain"), folder.path().join("key"));
    std::fs::write(&chain, certificate.cert.pem()).expect("the file can be written");
    std::fs::write(&key, certificate.signing_key.serialize_pem()).expect("the file can be written");
    let flags = [
        format!("--tls-chain={}", chain.display()),
        format!("--tls-key={}", key.display()),
    ];
    let (_proxy, address) = callers::start_proxy(&system, &flags);
    callers::wait_for_login(address, "user=courier dbname=ledger").await;
    let connector =
        tls::Connector::from_file(&chain, None).expect("the root certificates are valid");
    let credentials = backend::Credentials {
        user: "courier".into(),
        database: "ledger".into(),
        password: None,
    };
    let deadline = tokio::time::Instant::now() + Duration::from_secs(60);
    let connected = backend::connect(address, &[], &credentials, Some(&connector), deadline).await;
    let mut connection = connected.expect("the caller connects with TLS");
    assert!(connection.framed.get_ref().is_encrypted());
    let rows = backend::query(&mut connection, "SELECT 7", deadline).await;
    assert_eq!(
        rows.expect("the proxy answers the query"),
        [[Some("7".into())]]
    );
}

#[tokio::test]
async fn read_class_read_sees_writes_up_to_the_floor() {
    let system = System::start(1).await;
    let document = document_with_password(&system);
    callers::submit(&system, 2, &document).await;
    let address = system.proxy_addresses[0];
    let correct_login = "user=sealed password=s3cret dbname=ledger";
    let client = callers::wait_for_login(address, correct_login).await;
    run(&client, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    run(&client, "INSERT INTO t VALUES (1)").await;
    let token = query_values(&client, "SHOW fulmarlift.token")
        .await
        .remove(0);
    run(&client, &format!("SET fulmarlift.token = '{token}'")).await;
    run(&client, "SET fulmarlift.read_class = 'stale'").await;
    for _ in 0..20 {
        assert_eq!(query_values(&client, "SELECT count(*) FROM t").await, ["1"]);
    }
    assert_eq!(
        query_values(&client, "SHOW fulmarlift.read_class").await,
        ["stale"]
    );
}

#[tokio::test]
async fn bad_frames_end_their_connection_only() {
    let system = System::start(1).await;
    let address = system.proxy_addresses[0];
    let other_caller = system.connect(0).await;
    run(&other_caller, "BEGIN").await;
    let cases: [(&str, Vec<u8>); 6] = [
        (
            "a length below the size of the length field",
            vec![b'Q', 0, 0, 0, 1],
        ),
        ("a length of 2 GB", vec![b'Q', 0x7f, 0xff, 0xff, 0xff]),
        ("an unknown message", vec![b'!', 0, 0, 0, 4]),
        (
            "a query text without its terminating zero",
            vec![b'Q', 0, 0, 0, 5, b'x'],
        ),
        ("a truncated Bind", vec![b'B', 0, 0, 0, 6, 0, 0]),
        ("a function call", vec![b'F', 0, 0, 0, 4]),
    ];
    for (name, bytes) in cases {
        let mut raw = RawCaller::log_in(address).await;
        raw.send(&bytes).await;
        assert_eq!(
            raw.read_until_closed().await.as_deref(),
            Some("08P01"),
            "{name}"
        );
        assert_eq!(
            query_values(&other_caller, "SELECT 7").await,
            ["7"],
            "{name}"
        );
    }
    // The connection closes in the middle of a message.
    let mut truncated = RawCaller::log_in(address).await;
    truncated.send(&[b'Q', 0, 0, 1, 0, b'S']).await;
    drop(truncated);
    // An HTTP request instead of a startup message, and a startup message that is too long.
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0],
    ] {
        let mut raw = RawCaller::connect(address).await;
        raw.send(bytes).await;
        raw.read_until_closed().await;
    }
    run(&other_caller, "COMMIT").await;
    assert_eq!(
        query_values(&connect_courier(address, "").await, "SELECT 7").await,
        ["7"]
    );
    assert_eq!(
        query_error_code(&other_caller, "SELECT no_such_column")
            .await
            .len(),
        5
    );
}

#[tokio::test]
async fn oversized_frame_ends_its_connection_only() {
    let system = System::start(1).await;
    let flags = ["--max-frame-bytes=2048".to_owned()];
    let (_proxy, address) = callers::start_proxy(&system, &flags);
    let other_caller = callers::wait_for_login(address, "user=courier dbname=ledger").await;
    let mut raw = RawCaller::log_in(address).await;
    raw.send_query(&"-".repeat(4_096)).await;
    assert_eq!(raw.read_until_closed().await.as_deref(), Some("08P01"));
    assert_eq!(query_values(&other_caller, "SELECT 7").await, ["7"]);
}
