//! Callers of all kinds, and configurations beyond the plain one.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_store::publish::submit;
use fulmarlift_store::{client, retry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use crate::support::process::Process;
use crate::support::system::System;

/// Time between two tries at something that takes a while to come true.
pub const POLL: Duration = Duration::from_millis(20);

/// Connects with further settings of the driver.
pub async fn connect(address: SocketAddr, more: &str) -> Result<Client, tokio_postgres::Error> {
    let settings = format!("host={} port={} {more}", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&settings, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Connects as the caller without a password.
pub async fn courier(address: SocketAddr, more: &str) -> Client {
    let settings = format!("user=courier dbname=ledger {more}");
    connect(address, &settings).await.expect("the proxy serves")
}

/// Returns the SQLSTATE of an error that the proxy or a member answered.
pub fn code(error: &tokio_postgres::Error) -> String {
    let code = error.code().map(|code| code.code().to_owned());
    code.unwrap_or_else(|| format!("none: {error}"))
}

/// Runs a simple query and returns the SQLSTATE that it fails with.
pub async fn failure(client: &Client, sql: &str) -> String {
    match client.simple_query(sql).await {
        Ok(_) => format!("no failure of {sql}"),
        Err(error) => code(&error),
    }
}

/// Runs a simple query and returns the first column of its rows.
pub async fn values(client: &Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).await.expect("the query succeeds");
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("null").to_owned()),
        _ => None,
    });
    rows.collect()
}

/// Runs a simple query that must succeed.
pub async fn run(client: &Client, sql: &str) {
    if let Err(error) = client.simple_query(sql).await {
        panic!("{sql}: {error:?}");
    }
}

/// Puts a document in force as this version.
pub async fn submit(system: &System, version: u64, document: &model::Document) {
    let client = client::Client::new(&system.platform_url()).expect("an address");
    let submission = submit::Submission {
        document: document.clone(),
        base: version - 1,
        submitter: "test".into(),
        submitted_at_ms: 0,
        nonce: submit::random_nonce(),
        retry: retry::Retry::default(),
    };
    let accepted = submit::submit(&client, &submission).await;
    accepted.expect("the version is accepted");
}

/// Waits until a caller can log in that an earlier configuration does not have.
pub async fn until_login(address: SocketAddr, settings: &str) -> Client {
    loop {
        if let Ok(client) = connect(address, settings).await {
            return client;
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Starts a further proxy with flags of its own; returns its process and address for callers.
pub fn start_proxy(system: &System, flags: &[String]) -> (Process, SocketAddr) {
    let mut all = vec![
        "--name=extra".to_owned(),
        "--region=rvk".to_owned(),
        "--domain=rvk-a".to_owned(),
        format!("--platform=http://{}", system.platform_address),
    ];
    all.extend_from_slice(flags);
    let mut proxy = Process::start(env!("CARGO_BIN_EXE_fulmarliftd"), &all);
    let address = proxy.address("ready");
    (proxy, address)
}

/// A caller that sends whatever bytes it likes.
pub struct Raw {
    /// The connection.
    pub stream: TcpStream,
}

impl Raw {
    /// Connects and says nothing.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("it listens");
        Self { stream }
    }

    /// Connects and logs in as the caller without a password, up to the first ReadyForQuery.
    pub async fn log_in(address: SocketAddr) -> Self {
        let mut raw = Self::connect(address).await;
        let mut body = 196_608_i32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0courier\0database\0ledger\0\0");
        let length = i32::try_from(body.len() + 4).expect("short");
        raw.send(&length.to_be_bytes()).await;
        raw.send(&body).await;
        raw.until(b'Z').await;
        raw
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("it is open");
    }

    /// Sends a message.
    pub async fn message(&mut self, tag: u8, body: &[u8]) {
        let length = i32::try_from(body.len() + 4).expect("short");
        let mut bytes = vec![tag];
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(body);
        self.send(&bytes).await;
    }

    /// Sends a simple query.
    pub async fn query(&mut self, sql: &str) {
        let body = [sql.as_bytes(), b"\0"].concat();
        self.message(b'Q', &body).await;
    }

    /// Reads a message; none at the end of the stream.
    pub async fn read(&mut self) -> Option<(u8, Vec<u8>)> {
        let tag = self.stream.read_u8().await.ok()?;
        let length = self.stream.read_u32().await.ok()?;
        let mut body = vec![0; length as usize - 4];
        self.stream.read_exact(&mut body).await.ok()?;
        Some((tag, body))
    }

    /// Reads up to a message with this tag and returns all tags and the last body.
    pub async fn until(&mut self, last: u8) -> (String, Vec<u8>) {
        let mut tags = String::new();
        loop {
            let (tag, body) = self.read().await.expect("the connection stays open");
            tags.push(char::from(tag));
            if tag == last {
                return (tags, body);
            }
        }
    }

    /// Reads to the end of the stream and returns the SQLSTATE of the last error.
    pub async fn until_closed(&mut self) -> Option<String> {
        let mut code = None;
        while let Some((tag, body)) = self.read().await {
            if tag == b'E' {
                code = sqlstate(&body);
            }
        }
        code
    }
}

/// Returns the SQLSTATE in the body of an ErrorResponse.
pub fn sqlstate(body: &[u8]) -> Option<String> {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter_map(|field| field.strip_prefix(b"C")).next()?;
    String::from_utf8(code.to_vec()).ok()
}
