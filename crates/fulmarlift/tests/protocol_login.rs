//! Logins, TLS and frames that are no frames.

mod support;

#[path = "support/callers.rs"]
mod callers;

use std::time::Duration;

use callers::{Raw, code, courier, failure, run, values};
use fulmarlift_config::model;
use fulmarlift_config::verifier::Verifier;
use fulmarlift_wire::backend;
use fulmarlift_wire::tls;
use support::system::System;

/// Iterations that keep the test short.
const ITERATIONS: u32 = 4_096;

fn with_password(system: &System) -> model::Document {
    let mut document = system.document();
    let verifier = Verifier::from_password("s3cret", b"salt of sealed", ITERATIONS);
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
    let document = with_password(&system);
    callers::submit(&system, 2, &document).await;
    for address in &system.proxy_addresses {
        let right = "user=sealed password=s3cret dbname=ledger";
        let client = callers::until_login(*address, right).await;
        assert_eq!(values(&client, "SELECT 7").await, ["7"]);
        let mut answers = Vec::new();
        for user in ["sealed", "nobody"] {
            let settings = format!("user={user} password=wrong dbname=ledger");
            let refused = callers::connect(*address, &settings).await;
            let error = refused.expect_err("it is refused");
            assert_eq!(code(&error), "28P01");
            let message = error.as_db_error().expect("an answer").message();
            answers.push(message.replace(user, "USER"));
        }
        assert_eq!(answers[0], answers[1]);
        let elsewhere = "user=sealed password=s3cret dbname=nothing";
        let refused = callers::connect(*address, elsewhere).await;
        assert_eq!(code(&refused.expect_err("no such service")), "3D000");
    }
    // The salt shown to an unknown user is the same at both proxies, and at every try.
    let mut salts = Vec::new();
    for address in system.proxy_addresses.iter().cycle().take(4) {
        let mut raw = Raw::connect(*address).await;
        let body = b"\x00\x03\x00\x00user\0nobody\0database\0ledger\0\0";
        raw.send(&(body.len() as i32 + 4).to_be_bytes()).await;
        raw.send(body).await;
        raw.until(b'R').await;
        let first = b"n,,n=,r=clientnonce";
        let mut sasl = b"SCRAM-SHA-256\0".to_vec();
        sasl.extend_from_slice(&(first.len() as i32).to_be_bytes());
        sasl.extend_from_slice(first);
        raw.message(b'p', &sasl).await;
        let (_, challenge) = raw.until(b'R').await;
        let text = String::from_utf8_lossy(&challenge[4..]).into_owned();
        salts.push(text.split(',').nth(1).expect("a salt").to_owned());
    }
    assert!(salts.iter().all(|salt| *salt == salts[0]), "{salts:?}");
}

#[tokio::test]
async fn tls_protects_callers() {
    let system = System::start(1).await;
    let folder = tempfile::tempdir().expect("a folder");
    let certificate = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]);
    let certificate = certificate.expect("a certificate");
    let (chain, key) = (folder.path().join("chain"), folder.path().join("key"));
    std::fs::write(&chain, certificate.cert.pem()).expect("it is written");
    std::fs::write(&key, certificate.signing_key.serialize_pem()).expect("it is written");
    let flags = [
        format!("--tls-chain={}", chain.display()),
        format!("--tls-key={}", key.display()),
    ];
    let (_proxy, address) = callers::start_proxy(&system, &flags);
    callers::until_login(address, "user=courier dbname=ledger").await;
    let connector = tls::Connector::from_file(&chain, None).expect("the roots are read");
    let login = backend::Credentials {
        user: "courier".into(),
        database: "ledger".into(),
        password: None,
    };
    let deadline = tokio::time::Instant::now() + Duration::from_secs(60);
    let connected = backend::connect(address, &[], &login, Some(&connector), deadline).await;
    let mut connection = connected.expect("it connects under TLS");
    assert!(connection.framed.get_ref().is_encrypted());
    let rows = backend::query(&mut connection, "SELECT 7", deadline).await;
    assert_eq!(rows.expect("it is answered"), [[Some("7".into())]]);
}

#[tokio::test]
async fn read_class_is_served_from_a_replica_at_the_floor() {
    let system = System::start(1).await;
    let document = with_password(&system);
    callers::submit(&system, 2, &document).await;
    let address = system.proxy_addresses[0];
    let right = "user=sealed password=s3cret dbname=ledger";
    let client = callers::until_login(address, right).await;
    run(&client, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    run(&client, "INSERT INTO t VALUES (1)").await;
    let token = values(&client, "SHOW fulmarlift.token").await.remove(0);
    run(&client, &format!("SET fulmarlift.token = '{token}'")).await;
    run(&client, "SET fulmarlift.read_class = 'stale'").await;
    for _ in 0..20 {
        assert_eq!(values(&client, "SELECT count(*) FROM t").await, ["1"]);
    }
    assert_eq!(
        values(&client, "SHOW fulmarlift.read_class").await,
        ["stale"]
    );
}

#[tokio::test]
async fn bad_frames_end_their_connection_only() {
    let system = System::start(1).await;
    let address = system.proxy_addresses[0];
    let bystander = system.connect(0).await;
    run(&bystander, "BEGIN").await;
    let cases: [(&str, Vec<u8>); 6] = [
        ("length below its own size", vec![b'Q', 0, 0, 0, 1]),
        ("a length of 2 GB", vec![b'Q', 0x7f, 0xff, 0xff, 0xff]),
        ("an unknown message", vec![b'!', 0, 0, 0, 4]),
        ("a text without its end", vec![b'Q', 0, 0, 0, 5, b'x']),
        ("a bind that is cut", vec![b'B', 0, 0, 0, 6, 0, 0]),
        ("a function call", vec![b'F', 0, 0, 0, 4]),
    ];
    for (name, bytes) in cases {
        let mut raw = Raw::log_in(address).await;
        raw.send(&bytes).await;
        assert_eq!(raw.until_closed().await.as_deref(), Some("08P01"), "{name}");
        assert_eq!(values(&bystander, "SELECT 7").await, ["7"], "{name}");
    }
    // Half a frame, and then nothing more.
    let mut half = Raw::log_in(address).await;
    half.send(&[b'Q', 0, 0, 1, 0, b'S']).await;
    drop(half);
    // A startup message that is none, and one that is too long.
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0],
    ] {
        let mut raw = Raw::connect(address).await;
        raw.send(bytes).await;
        raw.until_closed().await;
    }
    run(&bystander, "COMMIT").await;
    assert_eq!(values(&courier(address, "").await, "SELECT 7").await, ["7"]);
    assert_eq!(failure(&bystander, "SELECT no_such_column").await.len(), 5);
}

#[tokio::test]
async fn oversized_frame_ends_its_connection_only() {
    let system = System::start(1).await;
    let flags = ["--max-frame-bytes=2048".to_owned()];
    let (_proxy, address) = callers::start_proxy(&system, &flags);
    let bystander = callers::until_login(address, "user=courier dbname=ledger").await;
    let mut raw = Raw::log_in(address).await;
    raw.query(&"-".repeat(4_096)).await;
    assert_eq!(raw.until_closed().await.as_deref(), Some("08P01"));
    assert_eq!(values(&bystander, "SELECT 7").await, ["7"]);
}
