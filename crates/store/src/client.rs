//! HTTP client of the platform.

use std::time;

use reqwest::header;
use serde::{Serialize, de};

use crate::{
    message,
    platform::{self, Platform},
};

/// Timeout of a call, unless [`Client::with_timeout`] sets another one.
pub const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Maximum number of characters of an unexpected answer that an error message quotes.
const MAX_QUOTED_CHARS: usize = 200;

/// HTTP client of the platform. Clones share one connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: reqwest::Url,
    timeout: time::Duration,
}

impl Client {
    /// Returns a client of the platform at `url`, such as `http://127.0.0.1:7070`. Its calls time out after
    /// [`DEFAULT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// [`platform::Error::Address`] if `url` is not an HTTP address.
    pub fn new(url: &str) -> Result<Self, platform::Error> {
        let (http, base) = http_client(url)?;
        Ok(Self {
            http,
            base,
            timeout: DEFAULT_TIMEOUT,
        })
    }

    /// Returns a client that shares this one's connections and whose calls time out after `timeout`.
    #[must_use]
    pub fn with_timeout(&self, timeout: time::Duration) -> Self {
        Self {
            timeout,
            ..self.clone()
        }
    }

    fn url(&self, segments: &[&str]) -> reqwest::Url {
        let mut url = self.base.clone();
        url.path_segments_mut()
            .expect("http_client accepts only URLs that can have path segments")
            .pop_if_empty()
            .extend(segments);
        url
    }

    async fn call(
        &self,
        method: reqwest::Method,
        url: reqwest::Url,
        body: Option<Vec<u8>>,
    ) -> Result<Answer, platform::Error> {
        log::trace!("platform call method={method} url={url}");
        let mut request = self.http.request(method, url).timeout(self.timeout);
        if let Some(body) = body {
            request = request
                .header(header::CONTENT_TYPE, "application/json")
                .body(body);
        }
        let response = request.send().await.map_err(unavailable)?;
        let status = response.status();
        let bytes = response.bytes().await.map_err(unavailable)?.to_vec();
        Ok(Answer { status, bytes })
    }

    async fn get(&self, url: reqwest::Url) -> Result<Option<Vec<u8>>, platform::Error> {
        let answer = self.call(reqwest::Method::GET, url, None).await?;
        match answer.status {
            reqwest::StatusCode::OK => Ok(Some(answer.bytes)),
            reqwest::StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.unexpected_status()),
        }
    }
}

impl Platform for Client {
    async fn row<V>(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<message::Row<V>>, platform::Error>
    where
        V: de::DeserializeOwned + Send,
    {
        let bytes = self.get(self.url(&["v1", "tables", table, key])).await?;
        bytes.as_deref().map(decode).transpose()
    }

    async fn rows<V>(
        &self,
        table: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<message::Row<V>>, platform::Error>
    where
        V: de::DeserializeOwned + Send,
    {
        let mut url = self.url(&["v1", "tables", table]);
        url.query_pairs_mut()
            .append_pair("after", after)
            .append_pair("limit", &limit.to_string());
        let bytes = self
            .get(url)
            .await?
            .ok_or_else(|| platform::Error::NotFound(table.into()))?;
        decode::<message::Rows<V>>(&bytes).map(|answer| answer.rows)
    }

    async fn transact(
        &self,
        transaction: &message::Transaction,
    ) -> Result<message::Committed, platform::Error> {
        let url = self.url(&["v1", "transactions"]);
        let answer = self
            .call(reqwest::Method::POST, url, Some(encode(transaction)))
            .await?;
        match answer.status {
            reqwest::StatusCode::OK => decode(&answer.bytes),
            reqwest::StatusCode::CONFLICT => Err(platform::Error::Conflict(decode(&answer.bytes)?)),
            _ => Err(answer.unexpected_status()),
        }
    }

    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), platform::Error> {
        let url = self.url(&["v1", "objects", name]);
        let answer = self
            .call(reqwest::Method::PUT, url, Some(bytes.to_vec()))
            .await?;
        match answer.status {
            reqwest::StatusCode::CREATED | reqwest::StatusCode::OK => Ok(()),
            reqwest::StatusCode::CONFLICT => Err(platform::Error::ObjectDiffers(name.into())),
            _ => Err(answer.unexpected_status()),
        }
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, platform::Error> {
        self.get(self.url(&["v1", "objects", name])).await
    }

    async fn vms(&self) -> Result<Vec<message::Vm>, platform::Error> {
        let url = self.url(&["v1", "vms"]);
        let bytes = self
            .get(url)
            .await?
            .ok_or_else(|| platform::Error::NotFound("vms".into()))?;
        decode::<message::Vms>(&bytes).map(|answer| answer.vms)
    }
}

struct Answer {
    status: reqwest::StatusCode,
    bytes: Vec<u8>,
}

impl Answer {
    /// Returns the error for an answer whose status the call does not handle.
    fn unexpected_status(&self) -> platform::Error {
        let text = format!("status {}: {}", self.status.as_u16(), self.quoted_text());
        match self.status {
            reqwest::StatusCode::NOT_FOUND => platform::Error::NotFound(text.into()),
            status if status.is_server_error() => platform::Error::Unavailable(text.into()),
            _ => platform::Error::Malformed(text.into()),
        }
    }

    fn quoted_text(&self) -> String {
        String::from_utf8_lossy(&self.bytes)
            .chars()
            .take(MAX_QUOTED_CHARS)
            .collect()
    }
}

/// Returns an HTTP client with a connection pool, and the parsed `url`.
///
/// The client ignores HTTP proxies set in the environment, because the platform and fulmarlift's proxies are reached
/// directly, by IP address.
pub(crate) fn http_client(url: &str) -> Result<(reqwest::Client, reqwest::Url), platform::Error> {
    let address_error = |cause: String| platform::Error::Address {
        url: url.into(),
        cause: cause.into(),
    };
    let base = reqwest::Url::parse(url).map_err(|error| address_error(error.to_string()))?;
    if base.cannot_be_a_base() || base.scheme() != "http" {
        return Err(address_error("expected http://HOST:PORT".to_owned()));
    }
    let http = reqwest::Client::builder().no_proxy().build();
    Ok((
        http.map_err(|error| address_error(error.to_string()))?,
        base,
    ))
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("message types have only string keys")
}

fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, platform::Error> {
    serde_json::from_slice(bytes)
        .map_err(|error| platform::Error::Malformed(error.to_string().into()))
}

fn unavailable(error: reqwest::Error) -> platform::Error {
    platform::Error::Unavailable(message_with_sources(&error).into())
}

/// Returns the error's message followed by those of its sources: the message of a `reqwest` error alone does not say
/// what failed.
pub(crate) fn message_with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
