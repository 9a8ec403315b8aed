//! A simulated member that gives fixed answers at once, and a proxy in front of it.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_core::{floor, id, peer};
use fulmarlift_proxy::{Proxy, document, settings};
use fulmarlift_wire::backend;
use fulmarlift_wire::frame::{Codec, tag};
use fulmarlift_wire::stream::{Framed, Stream};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Time after which a missing answer fails the benchmark.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Size of the value in each row of the large answer.
const VALUE_BYTES: usize = 1_000;
/// Number of rows in the large answer, 100 MB in all.
const ROW_COUNT: usize = 100_000;

/// Starts the member, the primary and only member of its group.
pub async fn start_member() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let length = stream.read_u32().await.ok()?;
    let mut startup = vec![0; length as usize - 4];
    stream.read_exact(&mut startup).await.ok()?;
    let mut framed = Framed::new(Stream::Plain(stream), Codec::default());
    framed.feed_bytes(&message(b'R', &[0; 4]));
    framed.feed_bytes(&message(b'K', &[0; 8]));
    framed.feed_bytes(&message(b'Z', b"I"));
    framed.flush().await.ok()?;
    let small = answer(&["v"], &["7"]);
    let status = answer(
        &STATUS_COLUMNS,
        &["1", "", "primary", "1", "1", "0", "0", "900"],
    );
    loop {
        let query = framed.read_frame().await.ok()??;
        if query.tag != tag::frontend::QUERY {
            continue;
        }
        if contains(query.body(), b"group_status") {
            framed.feed_bytes(&status);
        } else if contains(query.body(), b"large") {
            send_large(&mut framed).await?;
        } else {
            framed.feed_bytes(&small);
        }
        framed.flush().await.ok()?;
    }
}

/// Columns of the answer to `group_status`.
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

async fn send_large(framed: &mut Framed<Stream>) -> Option<()> {
    framed.feed_bytes(&row_description(&["v"]));
    let row = data_row(&[&"x".repeat(VALUE_BYTES)]);
    for _ in 0..ROW_COUNT {
        framed.feed_bytes(&row);
        if framed.should_flush() {
            framed.flush().await.ok()?;
        }
    }
    framed.feed_bytes(&message(b'C', b"SELECT 100000\0"));
    framed.feed_bytes(&message(b'Z', b"I"));
    Some(())
}

fn contains(body: &[u8], word: &[u8]) -> bool {
    body.windows(word.len()).any(|part| part == word)
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![tag];
    bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn row_description(names: &[&str]) -> Vec<u8> {
    let mut body = (names.len() as u16).to_be_bytes().to_vec();
    for name in names {
        body.extend_from_slice(name.as_bytes());
        body.extend_from_slice(&[0; 7]);
        body.extend_from_slice(&25_u32.to_be_bytes());
        body.extend_from_slice(&[0xff; 6]);
        body.extend_from_slice(&[0; 2]);
    }
    message(b'T', &body)
}

fn data_row(values: &[&str]) -> Vec<u8> {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        body.extend_from_slice(&(value.len() as u32).to_be_bytes());
        body.extend_from_slice(value.as_bytes());
    }
    message(b'D', &body)
}

fn answer(names: &[&str], values: &[&str]) -> Vec<u8> {
    let parts = [
        row_description(names),
        data_row(values),
        message(b'C', b"SELECT 1\0"),
        message(b'Z', b"I"),
    ];
    parts.concat()
}

/// Returns a configuration with one group, whose only member is this one.
pub fn document(member: SocketAddr) -> model::Document {
    model::Document {
        regions: vec![model::Region {
            name: "default".into(),
            domains: vec!["default".into()],
        }],
        groups: vec![model::Group {
            name: "ledger".into(),
            slots: 1,
            members: vec![model::Member {
                name: "m0".into(),
                address: member.to_string().into(),
                domain: "default".into(),
                connections: 64,
                connect_ms: 1,
            }],
        }],
        callers: vec![model::Caller {
            name: "courier".into(),
            verifier: "trust".into(),
        }],
        read_classes: vec![model::ReadClass {
            name: "stale".into(),
            max_age_ms: 60_000,
            tables: vec!["t".into()],
        }],
        services: vec![model::Service {
            name: "ledger".into(),
            group: "ledger".into(),
            callers: vec!["courier".into()],
            read_classes: vec!["stale".into()],
            limits: model::Limits {
                caller_connections: 2_000,
                ..model::Limits::default()
            },
        }],
        ..model::Document::default()
    }
}

/// Starts a proxy in front of the member and returns the address of the proxy for callers.
pub async fn start_proxy(member: SocketAddr) -> SocketAddr {
    let settings = settings::Settings::check(&settings::Raw::default());
    let proxy = Proxy::start(settings.expect("the settings are valid"), None).await;
    let proxy = proxy.expect("the proxy starts");
    let document = document(member);
    let digest = document.digest();
    let head = peer::Head { version: 1, digest };
    let accepted = document::Accepted::parse(&document.to_json(), head);
    proxy.configure(accepted.expect("the document is valid"));
    let address = proxy.caller_address;
    // The proxy is never dropped, so that it serves until the program ends.
    std::mem::forget(proxy);
    address
}

/// Connects and logs in a caller.
pub async fn connect(address: SocketAddr) -> Result<backend::Connection, backend::Error> {
    let credentials = backend::Credentials {
        user: "courier".into(),
        database: "ledger".into(),
        password: None,
    };
    let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    backend::connect(address, &[], &credentials, None, deadline).await
}

/// Waits until the proxy answers a read.
pub async fn wait_until_ready(address: SocketAddr) {
    loop {
        if let Ok(mut connection) = connect(address).await {
            let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
            let answer = backend::query(&mut connection, "SELECT v FROM t", deadline).await;
            if answer.is_ok() {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the `SET` statement that passes a token to the session.
pub fn set_token_statement() -> String {
    let mut floor = floor::Floor::default();
    floor.raise(id::of("ledger"), floor::Point::new(1, 1));
    format!("SET fulmarlift.token = '{}'", floor.token())
}
