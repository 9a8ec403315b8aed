//! Connections to databases, against scripted ones over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarlift_wire::answer::{Answer, sqlstate};
use fulmarlift_wire::backend::{self, CancelKey, Connection, Credentials, Error};
use fulmarlift_wire::frame::{self, Frame, tag};
use fulmarlift_wire::handshake::{self, Accepted};
use fulmarlift_wire::member::{self, Role};
use fulmarlift_wire::stream::{Framed, Stream};
use pgwire::messages::PgWireBackendMessage as Message;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{CommandComplete, ReadyForQuery, TransactionStatus};
use pgwire::messages::startup::{Authentication, ParameterStatus};
use rstest::rstest;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Longer than any test takes; a test that reaches it has failed.
const TEST_DEADLINE: Duration = Duration::from_secs(30);

fn deadline() -> Instant {
    Instant::now() + TEST_DEADLINE
}

fn login() -> Credentials {
    Credentials {
        user: "proxy".into(),
        database: "ledger".into(),
        password: Some("pencil".into()),
    }
}

fn ready() -> Frame {
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    frame::encode_backend(&Message::ReadyForQuery(ready))
}

fn columns(names: &[&str]) -> Frame {
    let field = |name: &&str| FieldDescription::new(name.to_string(), 0, 0, 25, -1, -1, 0);
    let fields = names.iter().map(field).collect();
    frame::encode_backend(&Message::RowDescription(RowDescription::new(fields)))
}

fn row(values: &[Option<&str>]) -> Frame {
    let mut data = bytes::BytesMut::new();
    for value in values {
        let length = value.map_or(-1, |value| value.len() as i32);
        data.extend_from_slice(&length.to_be_bytes());
        data.extend_from_slice(value.unwrap_or_default().as_bytes());
    }
    frame::encode_backend(&Message::DataRow(DataRow::new(data, values.len() as i16)))
}

fn complete() -> Frame {
    frame::encode_backend(&Message::CommandComplete(CommandComplete::new(
        "SELECT 1".into(),
    )))
}

/// A database that takes one login and answers each query with the same frames; it gives the queries it got.
async fn database(answer: Vec<Frame>) -> (SocketAddr, tokio::task::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        let mut framed = accept(tcp).await;
        let mut queries = Vec::new();
        while let Ok(Some(frame)) = framed.read_frame().await {
            let PgWireFrontendMessage::Query(query) = frame.decode_frontend().unwrap() else {
                break;
            };
            queries.push(query.query);
            answer.iter().for_each(|frame| framed.feed(frame));
            framed.flush().await.unwrap();
        }
        queries
    });
    (address, served)
}

async fn accept(tcp: TcpStream) -> Framed<Stream> {
    let verify = |_: &str| handshake::LoginMethod::Trust;
    let accepted = handshake::accept(tcp, None, deadline(), verify).await;
    let Ok(Accepted::Session(mut session)) = accepted else {
        panic!("no session");
    };
    let key = CancelKey {
        pid: 1,
        secret: vec![0; 4].into(),
    };
    handshake::finish(&mut session.framed, &[], &key)
        .await
        .unwrap();
    session.framed
}

async fn connect(address: SocketAddr) -> Connection {
    backend::connect(address, &[], &login(), None, deadline())
        .await
        .unwrap()
}

/// Sends the frames to whoever connects, whatever it says, and closes.
async fn scripted(frames: Vec<Frame>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        tcp.readable().await.unwrap();
        let mut seen = [0; 1 << 10];
        let _ = tcp.try_read(&mut seen);
        let mut framed = Framed::new(Stream::Plain(tcp), frame::Codec::default());
        frames.iter().for_each(|frame| framed.feed(frame));
        framed.flush().await.unwrap();
        // Reads on until the other side closes, so that nothing is reset before it is read.
        while let Ok(Some(_)) = framed.read_frame().await {}
    });
    address
}

fn request(request: Authentication) -> Frame {
    frame::encode_backend(&Message::Authentication(request))
}

async fn connect_error(frames: Vec<Frame>) -> Error {
    let address = scripted(frames).await;
    backend::connect(address, &[], &login(), None, deadline())
        .await
        .unwrap_err()
}

#[tokio::test]
async fn connect_too_many_connections() {
    let refusal = Answer::error(sqlstate::TOO_MANY_CONNECTIONS, "too many").fatal();
    let error = connect_error(vec![refusal.frame()]).await;
    assert!(error.is_too_many_connections(), "{error}");
    assert!(!error.is_recoverable());
}

#[tokio::test]
async fn connect_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = backend::connect(address, &[], &login(), None, deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Unreachable(_)), "{error}");
    assert!(!error.is_too_many_connections());
}

#[tokio::test]
async fn connect_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let past = Instant::now();
    let error = backend::connect(address, &[], &login(), None, past)
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Deadline), "{error}");
}

#[rstest]
#[case::md5(request(Authentication::MD5Password(vec![1, 2, 3, 4])))]
#[case::plus_only(request(Authentication::SASL(vec!["SCRAM-SHA-256-PLUS".into()])))]
#[tokio::test]
async fn connect_method(#[case] asked: Frame) {
    let error = connect_error(vec![asked]).await;
    assert!(matches!(error, Error::Method(_)), "{error}");
}

#[tokio::test]
async fn connect_cleartext() {
    let frames = vec![
        request(Authentication::CleartextPassword),
        request(Authentication::Ok),
        ready(),
    ];
    let address = scripted(frames).await;
    connect(address).await;
    let without = Credentials {
        password: None,
        ..login()
    };
    let address = scripted(vec![request(Authentication::CleartextPassword)]).await;
    let error = backend::connect(address, &[], &without, None, deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, Error::NoPassword), "{error}");
}

/// A database that skips the proof of its own knowledge must not pass as logged in.
#[tokio::test]
async fn connect_scram_cut_short() {
    let sasl = Authentication::SASL(vec!["SCRAM-SHA-256".into()]);
    let error = connect_error(vec![request(sasl), request(Authentication::Ok), ready()]).await;
    assert!(matches!(error, Error::Scram(_)), "{error}");
}

#[tokio::test]
async fn query_rows() {
    let status = ParameterStatus::new("group_position".into(), "1:2".into());
    let answer = vec![
        columns(&["a", "b"]),
        row(&[Some("x"), None]),
        row(&[Some(""), Some("é")]),
        complete(),
        frame::encode_backend(&Message::ParameterStatus(status)),
        ready(),
    ];
    let (address, served) = database(answer).await;
    let mut connection = connect(address).await;
    let rows = backend::query(&mut connection, "SELECT a, b", deadline())
        .await
        .unwrap();
    let expected = vec![
        vec![Some("x".into()), None],
        vec![Some("".into()), Some("é".into())],
    ];
    assert_eq!(rows, expected);
    assert_eq!(connection.parameter("group_position"), Some("1:2"));
    drop(connection);
    assert_eq!(served.await.unwrap(), ["SELECT a, b"]);
}

#[tokio::test]
async fn query_error_then_usable() {
    let refusal = Answer::error(sqlstate::READ_ONLY_SQL_TRANSACTION, "fenced");
    let (address, _served) = database(vec![refusal.frame(), ready()]).await;
    let mut connection = connect(address).await;
    for _ in 0..2 {
        let error = backend::query(&mut connection, "DELETE FROM t", deadline())
            .await
            .unwrap_err();
        assert_eq!(error.sqlstate(), Some("25006"));
        assert!(error.is_recoverable());
    }
}

#[rstest]
#[case::copy(vec![Frame { tag: tag::backend::COPY_DONE, bytes: b"c\0\0\0\x04"[..].into() }])]
#[case::malformed_row(vec![Frame { tag: tag::backend::DATA_ROW, bytes: b"D\0\0\0\x06\0\x01"[..].into() }])]
#[case::fatal(vec![Answer::shutdown().frame()])]
#[tokio::test]
async fn query_unusable(#[case] answer: Vec<Frame>) {
    let (address, _served) = database(answer).await;
    let mut connection = connect(address).await;
    let error = backend::query(&mut connection, "SELECT 1", deadline())
        .await
        .unwrap_err();
    assert!(!error.is_recoverable(), "{error}");
}

const STATUS_COLUMNS: [&str; 8] = [
    "term",
    "claimant",
    "role",
    "last_term",
    "position",
    "term_start",
    "connections_used",
    "connections_max",
];

fn status_answer(values: [&str; 8]) -> Vec<Frame> {
    let values = values.map(Some);
    vec![columns(&STATUS_COLUMNS), row(&values), complete(), ready()]
}

#[tokio::test]
async fn member_functions() {
    let answer = status_answer(["4", "p'1", "primary", "4", "19", "17", "3", "16"]);
    let (address, served) = database(answer).await;
    let mut connection = connect(address).await;
    let status = member::status(&mut connection, 18, 250, deadline())
        .await
        .unwrap();
    assert_eq!(status.role, Role::Primary);
    let positions = (status.last_term, status.position, status.term_start);
    assert_eq!(positions, (4, 19, 17));
    assert_eq!((status.connections_used, status.connections_max), (3, 16));
    assert!(status.is_granted(4, "p'1"));
    assert!(!status.is_granted(4, "p2"));
    member::fence(&mut connection, 4, "p'1", deadline())
        .await
        .unwrap();
    member::promote(&mut connection, 4, "p'1", deadline())
        .await
        .unwrap();
    drop(connection);
    let expected = [
        "SELECT * FROM group_status(18, 250)",
        "SELECT * FROM group_fence(4, 'p''1')",
        "SELECT * FROM group_promote(4, 'p''1')",
    ];
    assert_eq!(served.await.unwrap(), expected);
}

#[rstest]
#[case::no_rows(vec![columns(&STATUS_COLUMNS), complete(), ready()])]
#[case::bad_term(status_answer(["-1", "", "primary", "4", "19", "17", "3", "16"]))]
#[case::bad_role(status_answer(["4", "", "leader", "4", "19", "17", "3", "16"]))]
#[tokio::test]
async fn member_status_malformed(#[case] answer: Vec<Frame>) {
    let (address, _served) = database(answer).await;
    let mut connection = connect(address).await;
    let error = member::status(&mut connection, 0, 0, deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Answer(_)), "{error}");
}
