//! Messages of a proxy's admin port, and a client that reads them.

use std::{net, time};

use serde::{Deserialize, Serialize, de};

use crate::platform;

/// Path at which the admin port answers with [`Status`].
pub const STATUS_PATH: &str = "/status";

/// Path at which the admin port answers with [`Explanation`]. It takes the query parameters `service` and `sql`.
pub const EXPLAIN_PATH: &str = "/explain";

/// Timeout of a request to the admin port.
const TIMEOUT: time::Duration = time::Duration::from_millis(5_000);

/// State of the deployment as one proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the proxy that answers.
    pub proxy: Box<str>,
    /// Version of the configuration that the proxy runs.
    pub config_version: u64,
    /// Whether the proxy accepts callers.
    pub ready: bool,
    /// Database groups of the configuration.
    pub groups: Vec<GroupStatus>,
    /// Other proxies that the proxy knows.
    pub peers: Vec<PeerStatus>,
}

/// Database group as a proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub name: Box<str>,
    /// Highest term of the group that the proxy knows.
    pub term: u64,
    /// Name of the primary in that term; `None` if the proxy knows none.
    pub primary: Option<Box<str>>,
    /// Members of the group.
    pub members: Vec<MemberStatus>,
}

/// Member of a database group as a proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: Box<str>,
    /// Role of the member: `primary` or `replica`.
    pub role: Box<str>,
    /// Term of the member's last log entry. A term is the number of a period in which the group has one primary.
    pub last_term: u64,
    /// Position of the member's last log entry.
    pub position: u64,
    /// Number of log entries by which the member is behind the primary.
    pub lag: u64,
    /// Age of the member's last answer, on which these values are based, in ms; `None` before the first answer.
    pub age_ms: Option<u64>,
    /// Whether the member answers the proxy.
    pub reachable: bool,
    /// Number of connections that the proxy holds to the member.
    pub connections_open: u32,
    /// Number of these connections that currently serve a caller.
    pub connections_busy: u32,
}

/// Another proxy as the answering proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the other proxy.
    pub proxy: Box<str>,
    /// Failure domain of the other proxy.
    pub domain: Box<str>,
    /// Address at which the other proxy receives messages from its peers.
    pub address: net::SocketAddr,
    /// Whether the heartbeats of the other proxy arrive.
    pub alive: bool,
}

/// Routing decision that a proxy would make for a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Read class of the statement, if it has one.
    pub class: Option<Box<str>>,
    /// Kind of the statement, such as `read` or `write`.
    pub kind: Box<str>,
    /// Member to which the proxy would send the statement; `None` if the statement would wait or be refused.
    pub member: Option<Box<str>>,
    /// Reason for the decision.
    pub reason: Box<str>,
    /// Position in the group's log that a member must have reached to serve the statement, if there is one.
    pub floor: Option<Box<str>>,
}

/// Failure of a request to a proxy's admin port.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The proxy's address is not an HTTP URL.
    #[error("invalid proxy address {url:?}: {cause}")]
    Address {
        /// Address as the user gave it.
        url: Box<str>,
        /// Reason why the address is rejected.
        cause: Box<str>,
    },
    /// The proxy is unreachable or does not answer in time.
    #[error("proxy unreachable: {0}")]
    Unreachable(Box<str>),
    /// The proxy answers with an HTTP error status.
    #[error("proxy refuses with status {status}: {text}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        text: Box<str>,
    },
    /// The answer is not the expected JSON.
    #[error("malformed answer from the proxy: {0}")]
    Malformed(Box<str>),
}

/// Client of a proxy's admin port.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: reqwest::Url,
}

impl Client {
    /// Returns a client of the admin port at `url`, such as `http://127.0.0.1:9090`.
    ///
    /// # Errors
    ///
    /// [`Error::Address`] if `url` is not an HTTP address.
    pub fn new(url: &str) -> Result<Self, Error> {
        let (http, base) = crate::client::http_client(url).map_err(|error| match error {
            platform::Error::Address { url, cause } => Error::Address { url, cause },
            other => Error::Address {
                url: url.into(),
                cause: other.to_string().into(),
            },
        })?;
        Ok(Self { http, base })
    }

    /// Reads the state of the deployment as the proxy sees it.
    ///
    /// # Errors
    ///
    /// [`Error`] if the proxy does not answer with a [`Status`].
    pub async fn status(&self) -> Result<Status, Error> {
        self.get(self.url(STATUS_PATH)).await
    }

    /// Asks to which member the proxy would send a statement of a service.
    ///
    /// # Errors
    ///
    /// [`Error`] if the proxy does not answer with an [`Explanation`].
    pub async fn explain(&self, service: &str, sql: &str) -> Result<Explanation, Error> {
        let mut url = self.url(EXPLAIN_PATH);
        url.query_pairs_mut()
            .append_pair("service", service)
            .append_pair("sql", sql);
        self.get(url).await
    }

    fn url(&self, path: &str) -> reqwest::Url {
        let mut url = self.base.clone();
        url.set_path(path);
        url
    }

    async fn get<T: de::DeserializeOwned>(&self, url: reqwest::Url) -> Result<T, Error> {
        let unreachable = |error: reqwest::Error| {
            Error::Unreachable(crate::http::message_with_sources(&error).into())
        };
        let response = self
            .http
            .get(url)
            .timeout(TIMEOUT)
            .send()
            .await
            .map_err(unreachable)?;
        let status = response.status();
        let bytes = response.bytes().await.map_err(unreachable)?;
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes).trim().into();
            return Err(Error::Refused {
                status: status.as_u16(),
                text,
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string().into()))
    }
}
