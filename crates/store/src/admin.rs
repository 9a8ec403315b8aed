//! What a proxy tells on its admin port, and a client that asks for it.

use std::{net, time};

use serde::{Deserialize, Serialize, de};

use crate::platform;

/// The path of [`Status`].
pub const STATUS_PATH: &str = "/status";

/// The path of [`Explanation`], with the query parameters `service` and `sql`.
pub const EXPLAIN_PATH: &str = "/explain";

/// The time an answer may take.
const TIMEOUT: time::Duration = time::Duration::from_millis(5_000);

/// What a proxy sees.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The proxy's name.
    pub proxy: Box<str>,
    /// The configuration it runs.
    pub config_version: u64,
    /// Whether it takes callers.
    pub ready: bool,
    /// The database groups.
    pub groups: Vec<GroupStatus>,
    /// The other proxies.
    pub peers: Vec<PeerStatus>,
}

/// A database group as a proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group's name.
    pub name: Box<str>,
    /// The highest term known.
    pub term: u64,
    /// The member that is primary in that term; `None` when none is known.
    pub primary: Option<Box<str>>,
    /// The members.
    pub members: Vec<MemberStatus>,
}

/// A member of a database group as a proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: Box<str>,
    /// `primary` or `replica`.
    pub role: Box<str>,
    /// The term of its last log entry.
    pub last_term: u64,
    /// The position of its last log entry.
    pub position: u64,
    /// How many log entries it is behind the primary.
    pub lag: u64,
    /// How old this view is, in ms; `None` before the first answer.
    pub age_ms: Option<u64>,
    /// Whether it answers.
    pub reachable: bool,
    /// Connections the proxy holds to it.
    pub connections_open: u32,
    /// Those that work for a caller now.
    pub connections_busy: u32,
}

/// Another proxy as a proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The proxy's name.
    pub proxy: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where it takes its peers' messages.
    pub address: net::SocketAddr,
    /// Whether its heartbeats arrive.
    pub alive: bool,
}

/// Where a statement would go, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The read class it belongs to, if any.
    pub class: Option<Box<str>>,
    /// What kind of statement it is, such as `read` or `write`.
    pub kind: Box<str>,
    /// The member it would go to; `None` when it would wait or be refused.
    pub member: Option<Box<str>>,
    /// Why.
    pub reason: Box<str>,
    /// The position that the member must have reached, if any.
    pub floor: Option<Box<str>>,
}

/// Why a proxy did not tell.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The proxy's address is no URL.
    #[error("proxy address {url:?}: {cause}")]
    Address {
        /// The address as given.
        url: Box<str>,
        /// What is wrong with it.
        cause: Box<str>,
    },
    /// The proxy is not reached, or its answer did not come in time.
    #[error("proxy unreachable: {0}")]
    Unreachable(Box<str>),
    /// The proxy refuses.
    #[error("proxy refuses with status {status}: {text}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What it says.
        text: Box<str>,
    },
    /// The answer is not what is expected.
    #[error("malformed answer from the proxy: {0}")]
    Malformed(Box<str>),
}

/// A client of a proxy's admin port.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: reqwest::Url,
}

impl Client {
    /// A client of the admin port at `url`, such as `http://127.0.0.1:9090`.
    ///
    /// # Errors
    ///
    /// [`Error::Address`] when `url` is no HTTP address.
    pub fn new(url: &str) -> Result<Self, Error> {
        let (http, base) = crate::client::open(url).map_err(|error| match error {
            platform::Error::Address { url, cause } => Error::Address { url, cause },
            other => Error::Address {
                url: url.into(),
                cause: other.to_string().into(),
            },
        })?;
        Ok(Self { http, base })
    }

    /// Asks what the proxy sees.
    ///
    /// # Errors
    ///
    /// [`Error`] when it doesn't tell.
    pub async fn status(&self) -> Result<Status, Error> {
        self.get(self.url(STATUS_PATH)).await
    }

    /// Asks where a statement would go.
    ///
    /// # Errors
    ///
    /// [`Error`] when it doesn't tell.
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
        let unreachable =
            |error: reqwest::Error| Error::Unreachable(crate::client::with_sources(&error).into());
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
