//! Helper functions for the tests of members.
#![allow(dead_code, missing_docs)]

use std::time::Duration;

use bytes::{Buf, BytesMut};
use fulmarlift_standin::member;
use pgwire::messages::{Message, extendedquery, simplequery, startup};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, SimpleQueryRow};

pub const SCHEMA: &str = "CREATE TABLE letter (id INTEGER PRIMARY KEY, place INT, name TEXT, sent BOOLEAN, \
     weight REAL, seal BYTEA)";

/// Starts a primary with the table of [`SCHEMA`], after `adjust` has changed its configuration.
pub async fn start_primary(adjust: impl FnOnce(&mut member::Config)) -> member::Handle {
    let mut config = member::Config {
        primary: true,
        initial_sql: SCHEMA.into(),
        ..member::Config::default()
    };
    adjust(&mut config);
    member::Member::start(config).await.unwrap()
}

/// Starts a primary and two replicas that apply entries after `lag_ms`.
pub async fn start_group(lag_ms: u64) -> Vec<member::Handle> {
    let mut members = vec![start_primary(|_| {}).await];
    for _ in 0..2 {
        let config = member::Config {
            lag_ms,
            ..member::Config::default()
        };
        members.push(member::Member::start(config).await.unwrap());
    }
    for (index, member) in members.iter().enumerate() {
        let others = members.iter().enumerate();
        let peers = others.filter(|(other, _)| *other != index);
        member.set_peers(peers.map(|(_, peer)| peer.as_peer()).collect());
    }
    members
}

pub fn client_config(member: &member::Handle) -> Config {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(member.address().port())
        .user("caller")
        .dbname("main")
        .connect_timeout(Duration::from_secs(20));
    config
}

pub async fn try_connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

pub async fn connect(member: &member::Handle) -> Client {
    try_connect(&client_config(member)).await.unwrap()
}

pub async fn connect_control(member: &member::Handle) -> Client {
    let mut config = client_config(member);
    config.options("-c group_control=true");
    try_connect(&config).await.unwrap()
}

/// Client that sends single protocol messages.
pub struct RawCaller {
    stream: TcpStream,
    received: BytesMut,
}

impl RawCaller {
    pub async fn connect(member: &member::Handle) -> Self {
        let mut caller = Self {
            stream: TcpStream::connect(member.address()).await.unwrap(),
            received: BytesMut::new(),
        };
        caller.send(startup::Startup::new()).await;
        caller.read_until(b'Z').await;
        caller
    }

    pub async fn send_query(&mut self, text: &str) {
        self.send(simplequery::Query::new(text.into())).await;
    }

    pub async fn send_extended_query(&mut self, text: &str) {
        self.send(extendedquery::Parse::new(None, text.into(), vec![]))
            .await;
        self.send(extendedquery::Bind::new(None, None, vec![], vec![], vec![]))
            .await;
        self.send(extendedquery::Execute::new(None, 0)).await;
    }

    pub async fn send_flush(&mut self) {
        self.send(extendedquery::Flush::new()).await;
    }

    pub async fn send_sync(&mut self) {
        self.send(extendedquery::Sync::new()).await;
    }

    /// Reads messages up to and including one of type `kind`, and returns their types.
    pub async fn read_until(&mut self, kind: u8) -> Vec<u8> {
        let mut kinds = Vec::new();
        while kinds.last() != Some(&kind) {
            while self.received.len() < 5
                || self.received.len() < 1 + (&self.received[1..5]).get_u32() as usize
            {
                assert_ne!(self.stream.read_buf(&mut self.received).await.unwrap(), 0);
            }
            kinds.push(self.received[0]);
            let length = 1 + (&self.received[1..5]).get_u32() as usize;
            self.received.advance(length);
        }
        kinds
    }

    async fn send(&mut self, message: impl Message) {
        let mut out = BytesMut::new();
        message.encode(&mut out).unwrap();
        self.stream.write_all(&out).await.unwrap();
    }
}

pub async fn query_row(client: &Client, query: &str) -> SimpleQueryRow {
    let messages = client.simple_query(query).await.unwrap();
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    row.unwrap()
}

pub async fn query_text(client: &Client, query: &str) -> String {
    query_row(client, query).await.get(0).unwrap().to_string()
}

/// Returns the SQLSTATE of the error, its text if it has no SQLSTATE, or `none` for success.
pub fn sqlstate<T>(result: Result<T, tokio_postgres::Error>) -> String {
    match result {
        Ok(_) => "none".into(),
        Err(error) => error
            .code()
            .map_or_else(|| error.to_string(), |code| code.code().to_string()),
    }
}

/// Waits until the member's log reaches the position, for at most 20 s, and returns its status.
pub async fn wait_for_position(client: &Client, position: u64) -> SimpleQueryRow {
    let query = format!("SELECT * FROM group_status({position}, 20000)");
    query_row(client, &query).await
}
