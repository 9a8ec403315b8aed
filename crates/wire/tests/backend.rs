//! Tests of connections to databases, against scripted databases over loopback.

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

/// Time limit of a login or query, longer than any successful test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn deadline() -> Instant {
    Instant::now() + TEST_TIMEOUT
}

fn credentials() -> Credentials {
    Credentials {
        user: "proxy".into(),
        database: "ledger".into(),
        password: Some("pencil".into()),
    }
}

fn ready_for_query() -> Frame {
    let ready = ReadyForQuery::new(TransactionStatus::Idle);
    frame::encode_backend(&Message::ReadyForQuery(ready))
}

fn row_description(names: &[&str]) -> Frame {
    let field = |name: &&str| FieldDescription::new(name.to_string(), 0, 0, 25, -1, -1, 0);
    let fields = names.iter().map(field).collect();
    frame::encode_backend(&Message::RowDescription(RowDescription::new(fields)))
}

fn data_row(values: &[Option<&str>]) -> Frame {
    let mut data = bytes::BytesMut::new();
    for value in values {
        let length = value.map_or(-1, |value| value.len() as i32);
        data.extend_from_slice(&length.to_be_bytes());
        data.extend_from_slice(value.unwrap_or_default().as_bytes());
    }
    frame::encode_backend(&Message::DataRow(DataRow::new(data, values.len() as i16)))
}

fn command_complete() -> Frame {
    frame::encode_backend(&Message::CommandComplete(CommandComplete::new(
        "SELECT 1".into(),
    )))
}

/// Starts a database that accepts one login and answers each query with the same frames. Its task returns the received
/// queries.
async fn start_database(answer: Vec<Frame>) -> (SocketAddr, tokio::task::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let database = tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        let mut framed = accept_login(tcp).await;
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
    (address, database)
}

async fn accept_login(tcp: TcpStream) -> Framed<Stream> {
    let login_method = |_: &str| handshake::LoginMethod::Trust;
    let accepted = handshake::accept(tcp, None, deadline(), login_method).await;
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
    backend::connect(address, &[], &credentials(), None, deadline())
        .await
        .unwrap()
}

/// Starts a database that sends the same frames to its client whatever the client sends.
async fn start_scripted_database(frames: Vec<Frame>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (tcp, _) = listener.accept().await.unwrap();
        tcp.readable().await.unwrap();
        let mut ignored = [0; 1 << 10];
        let _ = tcp.try_read(&mut ignored);
        let mut framed = Framed::new(Stream::Plain(tcp), frame::Codec::default());
        frames.iter().for_each(|frame| framed.feed(frame));
        framed.flush().await.unwrap();
        // Closing the connection with unread input would reset it, and the client could lose frames it has not read.
        while let Ok(Some(_)) = framed.read_frame().await {}
    });
    address
}

fn authentication(request: Authentication) -> Frame {
    frame::encode_backend(&Message::Authentication(request))
}

async fn connect_error(frames: Vec<Frame>) -> Error {
    let address = start_scripted_database(frames).await;
    backend::connect(address, &[], &credentials(), None, deadline())
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
    let error = backend::connect(address, &[], &credentials(), None, deadline())
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
    let error = backend::connect(address, &[], &credentials(), None, past)
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Deadline), "{error}");
}

#[rstest]
#[case::md5(authentication(Authentication::MD5Password(vec![1, 2, 3, 4])))]
#[case::plus_only(authentication(Authentication::SASL(vec!["SCRAM-SHA-256-PLUS".into()])))]
#[tokio::test]
async fn connect_method(#[case] request: Frame) {
    let error = connect_error(vec![request]).await;
    assert!(matches!(error, Error::Method(_)), "{error}");
}

#[tokio::test]
async fn connect_cleartext() {
    let frames = vec![
        authentication(Authentication::CleartextPassword),
        authentication(Authentication::Ok),
        ready_for_query(),
    ];
    let address = start_scripted_database(frames).await;
    connect(address).await;
    let without_password = Credentials {
        password: None,
        ..credentials()
    };
    let address =
        start_scripted_database(vec![authentication(Authentication::CleartextPassword)]).await;
    let error = backend::connect(address, &[], &without_password, None, deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, Error::NoPassword), "{error}");
}

/// A database that sends AuthenticationOk without its SCRAM signature has not proved that it knows the password. The
/// login must fail.
#[tokio::test]
async fn connect_scram_cut_short() {
    let sasl = Authentication::SASL(vec!["SCRAM-SHA-256".into()]);
    let error = connect_error(vec![
        authentication(sasl),
        authentication(Authentication::Ok),
        ready_for_query(),
    ])
    .await;
    assert!(matches!(error, Error::Scram(_)), "{error}");
}

#[tokio::test]
async fn query_rows() {
    let status = ParameterStatus::new("group_position".into(), "1:2".into());
    let answer = vec![
        row_description(&["a", "b"]),
        data_row(&[Some("x"), None]),
        data_row(&[Some(""), Some("é")]),
        command_complete(),
        frame::encode_backend(&Message::ParameterStatus(status)),
        ready_for_query(),
    ];
    let (address, database) = start_database(answer).await;
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
    assert_eq!(database.await.unwrap(), ["SELECT a, b"]);
}

#[tokio::test]
async fn query_error_then_usable() {
    let refusal = Answer::error(sqlstate::READ_ONLY_SQL_TRANSACTION, "fenced");
    let (address, _database) = start_database(vec![refusal.frame(), ready_for_query()]).await;
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
    let (address, _database) = start_database(answer).await;
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
    vec![
        row_description(&STATUS_COLUMNS),
        data_row(&values),
        command_complete(),
        ready_for_query(),
    ]
}

#[tokio::test]
async fn member_functions() {
    let answer = status_answer(["4", "p'1", "primary", "4", "19", "17", "3", "16"]);
    let (address, database) = start_database(answer).await;
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
    assert_eq!(database.await.unwrap(), expected);
}

#[rstest]
#[case::no_rows(vec![row_description(&STATUS_COLUMNS), command_complete(), ready_for_query()])]
#[case::bad_term(status_answer(["-1", "", "primary", "4", "19", "17", "3", "16"]))]
#[case::bad_role(status_answer(["4", "", "leader", "4", "19", "17", "3", "16"]))]
#[tokio::test]
async fn member_status_malformed(#[case] answer: Vec<Frame>) {
    let (address, _database) = start_database(answer).await;
    let mut connection = connect(address).await;
    let error = member::status(&mut connection, 0, 0, deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Answer(_)), "{error}");
}
