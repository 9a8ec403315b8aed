//! HTTP client of the platform.

use std::time;

use reqwest::header;
use serde::{Serialize, de};

use crate::{
    http, message,
    platform::{self, Platform},
};

/// Time until the answer of a call begins, and from one piece of it to the next, unless [`Client::with_timeout`] sets another
/// one.
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

    /// Returns a client that shares this one's connections and whose calls time out when nothing arrives for `timeout`.
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
    ) -> Result<http::Answer, platform::Error> {
        log::trace!("platform call method={method} url={url}");
        let mut request = self.http.request(method, url);
        if let Some(body) = body {
            request = request
                .header(header::CONTENT_TYPE, "application/json")
                .body(body);
        }
        let timeouts = http::Timeouts {
            answer: self.timeout,
            piece: self.timeout,
        };
        let answer = http::send(request, timeouts, |_| ()).await;
        answer.map_err(|error| platform::Error::Unavailable(error.to_string().into()))
    }

    async fn get(&self, url: reqwest::Url) -> Result<Option<Vec<u8>>, platform::Error> {
        let answer = self.call(reqwest::Method::GET, url, None).await?;
        match answer.status {
            reqwest::StatusCode::OK => Ok(Some(answer.body)),
            reqwest::StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected_status(&answer)),
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
            reqwest::StatusCode::OK => decode(&answer.body),
            reqwest::StatusCode::CONFLICT => Err(platform::Error::Conflict(decode(&answer.body)?)),
            _ => Err(unexpected_status(&answer)),
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
            _ => Err(unexpected_status(&answer)),
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

/// Returns the error for an answer whose status the call does not handle.
fn unexpected_status(answer: &http::Answer) -> platform::Error {
    let text = format!("status {}: {}", answer.status.as_u16(), quoted_text(answer));
    match answer.status {
        reqwest::StatusCode::NOT_FOUND => platform::Error::NotFound(text.into()),
        status if status.is_server_error() => platform::Error::Unavailable(text.into()),
        _ => platform::Error::Malformed(text.into()),
    }
}

fn quoted_text(answer: &http::Answer) -> String {
    String::from_utf8_lossy(&answer.body)
        .chars()
        .take(MAX_QUOTED_CHARS)
        .collect()
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
