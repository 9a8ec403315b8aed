//! Tests of accepting callers over loopback, with this crate's client or raw bytes as the caller.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarlift_wire::backend::{self, CancelKey};
use fulmarlift_wire::handshake::{self, Accepted, LoginMethod};
use fulmarlift_wire::{parameter, scram, tls};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time limit of a login, longer than any successful test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// ReadyForQuery outside a transaction.
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

const CANCEL_SECRET: &[u8] = &[1, 2, 3, 4];

fn deadline() -> Instant {
    Instant::now() + TEST_TIMEOUT
}

fn login_method(user: &str) -> LoginMethod {
    match user {
        "trusted" => LoginMethod::Trust,
        "courier" => LoginMethod::Scram(scram::Verifier::from_password("pencil", b"salt", 4096)),
        _ => LoginMethod::Unknown {
            secret: b"shared".as_slice().into(),
        },
    }
}

fn credentials(user: &str, password: Option<&str>) -> backend::Credentials {
    backend::Credentials {
        user: user.into(),
        database: "ledger".into(),
        password: password.map(Box::from),
    }
}

type AcceptTask = JoinHandle<Result<Accepted, handshake::Error>>;

/// Starts a server that accepts one connection and, after a login, completes it with parameters, key and ReadyForQuery.
async fn start_server(tls: Option<tls::Acceptor>) -> (SocketAddr, AcceptTask) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        let accepted = handshake::accept(tcp, tls.as_ref(), deadline(), login_method).await?;
        if let Accepted::Session(mut session) = accepted {
            let parameters = [("server_version".into(), "16.0".into())];
            let key = CancelKey {
                pid: 7,
                secret: CANCEL_SECRET.into(),
            };
            handshake::finish(&mut session.framed, &parameters, &key).await?;
            return Ok(Accepted::Session(session));
        }
        Ok(accepted)
    });
    (address, server)
}

/// Sends raw bytes and returns the answer up to a ReadyForQuery or the end of the stream. If `shut_down` is set, shuts
/// down the write side after the bytes.
async fn send_raw(address: SocketAddr, bytes: &[u8], shut_down: bool) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if shut_down {
        stream.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    while !answer.ends_with(READY_FOR_QUERY) {
        match stream.read_buf(&mut answer).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    answer
}

fn packet(code: i32, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as i32 + 8).to_be_bytes();
    [&length[..], &code.to_be_bytes(), body].concat()
}

fn startup(body: &[u8]) -> Vec<u8> {
    packet(196608, body)
}

fn contains(bytes: &[u8], text: &str) -> bool {
    String::from_utf8_lossy(bytes).contains(text)
}

#[rstest]
#[case::trust("trusted", None)]
#[case::scram("courier", Some("pencil"))]
#[tokio::test]
async fn accept_login(#[case] user: &str, #[case] password: Option<&str>) {
    let (address, server) = start_server(None).await;
    let options = "-c fulmarlift.token=g:1.2 --fulmarlift.read_class=a\\ b -cwork_mem=1MB";
    let params = [
        ("options".into(), options.into()),
        ("application_name".into(), "test".into()),
    ];
    let connection = backend::connect(
        address,
        &params,
        &credentials(user, password),
        None,
        deadline(),
    )
    .await
    .unwrap();
    assert_eq!(connection.parameter("server_version"), Some("16.0"));
    let key = connection.key.unwrap();
    assert_eq!((key.pid, &key.secret[..]), (7, CANCEL_SECRET));
    let Ok(Accepted::Session(session)) = server.await.unwrap() else {
        panic!("no session");
    };
    assert_eq!((&*session.user, &*session.database), (user, "ledger"));
    assert!(session.parameters.is_sorted());
    for (name, value) in [
        ("fulmarlift.token", "g:1.2"),
        ("fulmarlift.read_class", "a b"),
        ("work_mem", "1MB"),
        ("application_name", "test"),
    ] {
        assert_eq!(parameter::get(&session.parameters, name), Some(value));
    }
}

#[rstest]
#[case::wrong_password("courier", "pen")]
#[case::unknown_user("nobody", "pencil")]
#[tokio::test]
async fn accept_refused(#[case] user: &str, #[case] password: &str) {
    let (address, server) = start_server(None).await;
    let error = backend::connect(
        address,
        &[],
        &credentials(user, Some(password)),
        None,
        deadline(),
    )
    .await
    .unwrap_err();
    assert_eq!(error.sqlstate(), Some("28P01"), "{error}");
    let expected = format!("password authentication failed for user \"{user}\"");
    assert!(error.to_string().contains(&expected), "{error}");
    assert!(matches!(
        server.await.unwrap(),
        Err(handshake::Error::Login { .. })
    ));
}

#[tokio::test]
async fn accept_tls() {
    let certified_key = rcgen::generate_simple_self_signed(["db.test".to_owned()]).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (chain, key) = (
        folder.path().join("chain.pem"),
        folder.path().join("key.pem"),
    );
    std::fs::write(&chain, certified_key.cert.pem()).unwrap();
    std::fs::write(&key, certified_key.signing_key.serialize_pem()).unwrap();
    let acceptor = tls::Acceptor::from_files(&chain, &key).unwrap();
    let connector = tls::Connector::from_file(&chain, Some("db.test")).unwrap();
    let (address, server) = start_server(Some(acceptor.clone())).await;
    let credentials = credentials("courier", Some("pencil"));
    let connected =
        backend::connect(address, &[], &credentials, Some(&connector), deadline()).await;
    assert!(connected.unwrap().framed.get_ref().is_encrypted());
    let Ok(Accepted::Session(session)) = server.await.unwrap() else {
        panic!("no session");
    };
    assert!(session.framed.get_ref().is_encrypted());

    let other = tls::Connector::from_file(&chain, Some("other.test")).unwrap();
    let (address, _server) = start_server(Some(acceptor)).await;
    let error = backend::connect(address, &[], &credentials, Some(&other), deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, backend::Error::Tls(_)), "{error}");
}

#[tokio::test]
async fn accept_no_tls() {
    let certified_key = rcgen::generate_simple_self_signed(["db.test".to_owned()]).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let chain = folder.path().join("chain.pem");
    std::fs::write(&chain, certified_key.cert.pem()).unwrap();
    let connector = tls::Connector::from_file(&chain, None).unwrap();
    let (address, _server) = start_server(None).await;
    let credentials = credentials("trusted", None);
    let error = backend::connect(address, &[], &credentials, Some(&connector), deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, backend::Error::TlsRefused), "{error}");
}

#[rstest]
#[case::missing("", "missing.pem")]
#[case::empty("", "chain.pem")]
#[case::garbage(
    "-----BEGIN CERTIFICATE-----\n%%\n-----END CERTIFICATE-----\n",
    "chain.pem"
)]
fn acceptor_bad_files(#[case] content: &str, #[case] name: &str) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("chain.pem"), content).unwrap();
    let path = folder.path().join(name);
    let error = tls::Acceptor::from_files(&path, &path).err().unwrap();
    assert!(error.to_string().contains(name), "{error}");
}

#[tokio::test]
async fn accept_cancel() {
    let (address, server) = start_server(None).await;
    let key = CancelKey {
        pid: -5,
        secret: CANCEL_SECRET.into(),
    };
    backend::cancel(address, &key, deadline()).await.unwrap();
    let Ok(Accepted::Cancel(received)) = server.await.unwrap() else {
        panic!("no cancel request");
    };
    assert_eq!(received, key);
}

/// A client that prefers encryption requests GSSAPI and TLS, and continues unencrypted after both are refused.
#[tokio::test]
async fn accept_after_refused_encryption() {
    let (address, server) = start_server(None).await;
    let sent = [
        packet(80877104, b""),
        packet(80877103, b""),
        startup(b"user\0trusted\0\0"),
    ]
    .concat();
    let answer = send_raw(address, &sent, true).await;
    assert_eq!(&answer[..2], b"NN");
    assert!(answer.ends_with(READY_FOR_QUERY));
    let Ok(Accepted::Session(session)) = server.await.unwrap() else {
        panic!("no session");
    };
    assert_eq!(&*session.database, "trusted");
}

#[tokio::test]
async fn accept_newer_minor_version() {
    let (address, _server) = start_server(None).await;
    let sent = packet(196610, b"user\0trusted\0_pq_.x\0yes\0\0");
    let answer = send_raw(address, &sent, true).await;
    assert_eq!(answer[0], b'v');
    assert!(contains(&answer, "_pq_.x"));
    assert!(answer.ends_with(READY_FOR_QUERY));
}

#[rstest]
#[case::short_length(vec![0, 0, 0, 7], "08P01")]
#[case::negative_length(vec![0xff; 8], "08P01")]
#[case::oversized(vec![0, 0x10, 0, 0], "08P01")]
#[case::http(b"GET / HTTP/1.1\r\n\r\n".to_vec(), "08P01")]
#[case::version_2(packet(131072, b"user\0trusted\0\0"), "0A000")]
#[case::no_user(startup(b"database\0ledger\0\0"), "28000")]
#[case::empty_user(startup(b"user\0\0\0"), "28000")]
#[case::unterminated(startup(b"user\0trusted"), "08P01")]
#[case::early_end(startup(b"user\0trusted\0\0more\0"), "08P01")]
#[case::replication(startup(b"user\0trusted\0replication\0true\0\0"), "0A000")]
#[case::bad_options(startup(b"user\0trusted\0options\0-x\0\0"), "08P01")]
#[case::option_without_value(startup(b"user\0trusted\0options\0-c\0\0"), "08P01")]
#[case::short_cancel(packet(80877102, b"\0\0\0\x01"), "08P01")]
#[case::many_encryption_requests(packet(80877103, b"").repeat(9), "08P01")]
#[case::query_for_password(
    [startup(b"user\0courier\0\0"), b"Q\0\0\0\x05\0".to_vec()].concat(), "08P01")]
#[case::oversized_password(
    [startup(b"user\0courier\0\0"), b"p\0\xff\0\0".to_vec()].concat(), "08P01")]
#[case::malformed_sasl(
    [startup(b"user\0courier\0\0"), b"p\0\0\0\x05x".to_vec()].concat(), "08P01")]
#[case::sasl_length_past_end(
    [startup(b"user\0courier\0\0"), b"p\0\0\0\x0ax\0\x7f\0\0\0".to_vec()].concat(), "08P01")]
#[case::other_mechanism(
    [startup(b"user\0courier\0\0"), b"p\0\0\0\x0ax\0\0\0\0\0".to_vec()].concat(), "08P01")]
#[tokio::test]
async fn accept_malformed(#[case] sent: Vec<u8>, #[case] code: &str) {
    let (address, server) = start_server(None).await;
    let answer = send_raw(address, &sent, false).await;
    assert!(contains(&answer, "SFATAL"), "{answer:?}");
    assert!(contains(&answer, code), "{answer:?}");
    assert!(server.await.unwrap().is_err());
}

#[rstest]
#[case::nothing(b"".to_vec())]
#[case::half_length(vec![0, 0])]
#[case::half_startup(startup(b"user\0trusted\0\0")[..12].to_vec())]
#[case::half_password([startup(b"user\0courier\0\0"), b"p\0\0".to_vec()].concat())]
#[tokio::test]
async fn accept_half_sent(#[case] sent: Vec<u8>) {
    let (address, server) = start_server(None).await;
    send_raw(address, &sent, true).await;
    assert!(server.await.unwrap().is_err());
}

#[tokio::test]
async fn accept_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _silent_caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (tcp, _) = listener.accept().await.unwrap();
    let error = handshake::accept(tcp, None, Instant::now(), login_method)
        .await
        .unwrap_err();
    assert!(matches!(error, handshake::Error::Deadline), "{error}");
}
