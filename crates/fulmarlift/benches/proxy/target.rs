//! A member that answers at once, and a proxy before it.

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

/// Time that no answer takes unless something is wrong.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Bytes of the value in a row of the large answer.
const ROW_BYTES: usize = 1_000;
/// Rows of the large answer, which make 100 MB.
const ROWS: usize = 100_000;

/// Starts a member, the primary of its group.
pub async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
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
    let plain = answer(&["v"], &["7"]);
    let status = answer(&STATUS, &["1", "", "primary", "1", "1", "0", "0", "900"]);
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
            framed.feed_bytes(&plain);
        }
        framed.flush().await.ok()?;
    }
}

const STATUS: [&str; 8] = [
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
    framed.feed_bytes(&columns(&["v"]));
    let row = row(&[&"x".repeat(ROW_BYTES)]);
    for _ in 0..ROWS {
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

fn columns(names: &[&str]) -> Vec<u8> {
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

fn row(values: &[&str]) -> Vec<u8> {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        body.extend_from_slice(&(value.len() as u32).to_be_bytes());
        body.extend_from_slice(value.as_bytes());
    }
    message(b'D', &body)
}

fn answer(names: &[&str], values: &[&str]) -> Vec<u8> {
    let parts = [
        columns(names),
        row(values),
        message(b'C', b"SELECT 1\0"),
        message(b'Z', b"I"),
    ];
    parts.concat()
}

/// Returns the configuration with the member as the only one of its group.
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

/// Starts a proxy before the member and returns its address for callers.
pub async fn proxy(member: SocketAddr) -> SocketAddr {
    let settings = settings::Settings::check(&settings::Raw::default());
    let proxy = Proxy::start(settings.expect("the settings are right"), None).await;
    let proxy = proxy.expect("it starts");
    let document = document(member);
    let digest = document.digest();
    let head = peer::Head { version: 1, digest };
    let accepted = document::Accepted::parse(&document.to_json(), head);
    proxy.configure(accepted.expect("the document is right"));
    let address = proxy.caller_address;
    // It serves for as long as the program runs.
    std::mem::forget(proxy);
    address
}

/// Connects a caller.
pub async fn connect(address: SocketAddr) -> Result<backend::Connection, backend::Error> {
    let login = backend::Credentials {
        user: "courier".into(),
        database: "ledger".into(),
        password: None,
    };
    let deadline = tokio::time::Instant::now() + PATIENCE;
    backend::connect(address, &[], &login, None, deadline).await
}

/// Waits until a proxy answers a read.
pub async fn until_ready(address: SocketAddr) {
    loop {
        if let Ok(mut connection) = connect(address).await {
            let deadline = tokio::time::Instant::now() + PATIENCE;
            let answer = backend::query(&mut connection, "SELECT v FROM t", deadline).await;
            if answer.is_ok() {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the statement by which a caller brings its token.
pub fn token() -> String {
    let mut floor = floor::Floor::default();
    floor.raise(id::of("ledger"), floor::Point::new(1, 1));
    format!("SET fulmarlift.token = '{}'", floor.token())
}
