//! Callers that use the driver or raw messages, and helpers to change the configuration and start proxies.
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

/// Delay between login attempts while a configuration is not yet in force.
pub const LOGIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connects with these settings of the driver besides host and port.
pub async fn connect(
    address: SocketAddr,
    driver_settings: &str,
) -> Result<Client, tokio_postgres::Error> {
    let settings = format!(
        "host={} port={} {driver_settings}",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&settings, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Connects as `courier`, the caller without a password, with further settings of the driver.
pub async fn connect_courier(address: SocketAddr, driver_settings: &str) -> Client {
    let settings = format!("user=courier dbname=ledger {driver_settings}");
    connect(address, &settings)
        .await
        .expect("the proxy accepts the login")
}

/// Returns the SQLSTATE of an error from the proxy or a member; `none: …` when the error has none.
pub fn error_code(error: &tokio_postgres::Error) -> String {
    let code = error.code().map(|code| code.code().to_owned());
    code.unwrap_or_else(|| format!("none: {error}"))
}

/// Runs a simple query that must fail and returns the SQLSTATE of its error.
pub async fn query_error_code(client: &Client, sql: &str) -> String {
    match client.simple_query(sql).await {
        Ok(_) => format!("none: {sql} succeeded"),
        Err(error) => error_code(&error),
    }
}

/// Runs a simple query and returns the first column of all rows.
pub async fn query_values(client: &Client, sql: &str) -> Vec<String> {
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

/// Submits a document as this version, based on the version before it.
pub async fn submit(system: &System, version: u64, document: &model::Document) {
    let client = client::Client::new(&system.platform_url()).expect("the URL is valid");
    let submission = submit::Submission {
        document: document.clone(),
        base: version - 1,
        submitter: "test".into(),
        submitted_at_ms: 0,
        nonce: submit::random_nonce(),
        retry: retry::Retry::default(),
    };
    let result = submit::submit(&client, &submission).await;
    result.expect("the platform accepts the version");
}

/// Retries a login until it succeeds, such as for a caller whom only a new configuration has.
pub async fn wait_for_login(address: SocketAddr, driver_settings: &str) -> Client {
    loop {
        if let Ok(client) = connect(address, driver_settings).await {
            return client;
        }
        tokio::time::sleep(LOGIN_RETRY_DELAY).await;
    }
}

/// Starts another proxy with these flags in addition; returns its process and its address for callers.
pub fn start_proxy(system: &System, flags: &[String]) -> (Process, SocketAddr) {
    let mut all_flags = vec![
        "--name=extra".to_owned(),
        "--region=rvk".to_owned(),
        "--domain=rvk-a".to_owned(),
        format!("--platform=http://{}", system.platform_address),
    ];
    all_flags.extend_from_slice(flags);
    let mut proxy = Process::start(env!("CARGO_BIN_EXE_fulmarliftd"), &all_flags);
    let address = proxy.read_address("ready");
    (proxy, address)
}

/// Caller that sends and receives raw messages, valid or not.
pub struct RawCaller {
    /// Connection to the proxy.
    pub stream: TcpStream,
}

impl RawCaller {
    /// Connects without a startup message.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address)
            .await
            .expect("the proxy listens");
        Self { stream }
    }

    /// Connects, logs in as `courier` and reads up to the first ReadyForQuery.
    pub async fn log_in(address: SocketAddr) -> Self {
        let mut raw = Self::connect(address).await;
        let mut body = 196_608_i32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0courier\0database\0ledger\0\0");
        let length = i32::try_from(body.len() + 4).expect("the message is short");
        raw.send(&length.to_be_bytes()).await;
        raw.send(&body).await;
        raw.read_until(b'Z').await;
        raw
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .await
            .expect("the connection is open");
    }

    /// Sends a message with this tag and body.
    pub async fn send_message(&mut self, tag: u8, body: &[u8]) {
        let length = i32::try_from(body.len() + 4).expect("the message is short");
        let mut bytes = vec![tag];
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(body);
        self.send(&bytes).await;
    }

    /// Sends a simple query.
    pub async fn send_query(&mut self, sql: &str) {
        let body = [sql.as_bytes(), b"\0"].concat();
        self.send_message(b'Q', &body).await;
    }

    /// Reads the tag and the body of a message; `None` at the end of the stream.
    pub async fn read_message(&mut self) -> Option<(u8, Vec<u8>)> {
        let tag = self.stream.read_u8().await.ok()?;
        let length = self.stream.read_u32().await.ok()?;
        let mut body = vec![0; length as usize - 4];
        self.stream.read_exact(&mut body).await.ok()?;
        Some((tag, body))
    }

    /// Reads messages up to one with this tag and returns the tags of all and the body of the last.
    pub async fn read_until(&mut self, last_tag: u8) -> (String, Vec<u8>) {
        let mut tags = String::new();
        loop {
            let (tag, body) = self
                .read_message()
                .await
                .expect("the connection stays open");
            tags.push(char::from(tag));
            if tag == last_tag {
                return (tags, body);
            }
        }
    }

    /// Reads messages until the proxy closes the connection and returns the SQLSTATE of the last error.
    pub async fn read_until_closed(&mut self) -> Option<String> {
        let mut code = None;
        while let Some((tag, body)) = self.read_message().await {
            if tag == b'E' {
                code = error_response_code(&body);
            }
        }
        code
    }
}

/// Returns the SQLSTATE in the body of an ErrorResponse.
pub fn error_response_code(body: &[u8]) -> Option<String> {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter_map(|field| field.strip_prefix(b"C")).next()?;
    String::from_utf8(code.to_vec()).ok()
}
