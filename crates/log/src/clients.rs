//! HTTP client of the log service.

use std::time::Duration;

use hyssop_core::{AppendReply, AppendRequest, Millis, Offset, ReadReply};
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Header with the name of the client, which the log service expects.
const CLIENT_HEADER: &str = "X-Client";
/// Maximum size of a reply that is accepted. The log service limits the size of its replies to much less.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of characters of an error response's body that are copied into an error.
const MAX_CAUSE_CHARS: usize = 200;

/// Default of [`LogOptions::append_timeout`].
pub const APPEND_TIMEOUT: Millis = Millis(2_000);

/// Timeouts and identity of a [`LogClient`].
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Name sent with each request.
    pub client_name: String,
    /// Longest time to establish a connection.
    pub connect_timeout: Millis,
    /// Longest time until the complete response to an append.
    pub append_timeout: Millis,
    /// Longest time until the complete response to a read, in addition to the wait that the read
    /// requests.
    pub read_timeout: Millis,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            client_name: "hyssop".to_owned(),
            connect_timeout: Millis(500),
            append_timeout: APPEND_TIMEOUT,
            read_timeout: Millis(2_000),
        }
    }
}

impl LogOptions {
    /// Sets the name sent with each request.
    #[must_use]
    pub fn with_client_name(mut self, client_name: impl Into<String>) -> Self {
        self.client_name = client_name.into();
        self
    }

    /// Sets the longest time to establish a connection.
    #[must_use]
    pub const fn with_connect_timeout(mut self, connect_timeout: Millis) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets the longest time until the complete response to an append.
    #[must_use]
    pub const fn with_append_timeout(mut self, append_timeout: Millis) -> Self {
        self.append_timeout = append_timeout;
        self
    }

    /// Sets the longest time until the complete response to a read, without the requested wait.
    #[must_use]
    pub const fn with_read_timeout(mut self, read_timeout: Millis) -> Self {
        self.read_timeout = read_timeout;
        self
    }
}

/// Client of the log service. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct LogClient {
    streams_url: String,
    options: LogOptions,
    http: Client,
}

impl LogClient {
    /// Creates a client of the service at `address`, such as `127.0.0.1:7300`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Setup`] if the HTTP client cannot be created.
    pub fn new(address: impl AsRef<str>, options: LogOptions) -> Result<Self> {
        let http = Client::builder()
            .connect_timeout(to_duration(options.connect_timeout))
            // The platform forbids traffic through a proxy that the environment may name.
            .no_proxy()
            // The caller would not know that a retried append may have taken effect twice.
            .retry(reqwest::retry::never())
            .build()
            .map_err(|e| Error::Setup(e.to_string()))?;
        let streams_url = format!("http://{}/v1/streams", address.as_ref());
        Ok(Self {
            streams_url,
            options,
            http,
        })
    }

    /// Appends records to a stream in one request, in order, and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAppended`] if the append certainly has no effect, and
    /// [`Error::Unknown`] if it may have taken effect or may still do so.
    pub async fn append(&self, stream: &str, records: &[String]) -> Result<Offset> {
        let request = AppendRequest {
            records: records.to_vec(),
        };
        let result = self
            .http
            .post(format!("{}/{stream}", self.streams_url))
            .header(CLIENT_HEADER, &self.options.client_name)
            .timeout(to_duration(self.options.append_timeout))
            .json(&request)
            .send()
            .await;
        let response = result.map_err(|e| append_error(&e))?;
        let status = response.status();
        if status.is_success() {
            let reply: AppendReply = read_json(response).await.map_err(Error::Unknown)?;
            return Ok(reply.offset);
        }
        let cause = describe_rejection(response).await;
        if is_certain_rejection(status) {
            Err(Error::NotAppended(cause))
        } else {
            Err(Error::Unknown(cause))
        }
    }

    /// Reads up to `max` records from offset `from` on. If there are none yet, the service waits up
    /// to `wait` for one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`] if no complete and valid reply arrives in time.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: u32,
        wait: Millis,
    ) -> Result<ReadReply> {
        let url = format!(
            "{}/{stream}?from={from}&max={max}&wait={wait}",
            self.streams_url
        );
        let result = self
            .http
            .get(url)
            .header(CLIENT_HEADER, &self.options.client_name)
            .timeout(to_duration(self.options.read_timeout + wait))
            .send()
            .await;
        let response = result.map_err(|e| Error::Read(error_chain(&e)))?;
        if !response.status().is_success() {
            return Err(Error::Read(describe_rejection(response).await));
        }
        read_json(response).await.map_err(Error::Read)
    }
}

fn to_duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

/// Converts the error of a request. Nothing was sent only if no connection was established.
fn append_error(err: &reqwest::Error) -> Error {
    let cause = error_chain(err);
    if err.is_connect() || err.is_builder() {
        Error::NotAppended(cause)
    } else {
        Error::Unknown(cause)
    }
}

/// Returns whether this status guarantees that an append had no effect: all client errors except
/// 408, and 503, which the service sends while it accepts no appends. Other server errors guarantee
/// nothing.
fn is_certain_rejection(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT
        || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Reads a JSON body of bounded size.
async fn read_json<T: DeserializeOwned>(mut response: Response) -> Result<T, String> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|e| error_chain(&e))? {
        if bytes.len() + chunk.len() > MAX_REPLY_BYTES {
            return Err(format!("the reply exceeds {MAX_REPLY_BYTES} bytes"));
        }
        bytes.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Describes an error response by its status and the start of its body.
async fn describe_rejection(mut response: Response) -> String {
    let status = response.status();
    let chunk = response.chunk().await.ok().flatten().unwrap_or_default();
    let text = String::from_utf8_lossy(&chunk);
    let text: String = text.chars().take(MAX_CAUSE_CHARS).collect();
    format!("status {status}: {text}")
}

/// Formats an error with its causes, which reqwest's own text leaves out.
fn error_chain(err: &reqwest::Error) -> String {
    let mut text = err.to_string();
    let mut source = std::error::Error::source(err);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
