//! HTTP client of the log service.

use std::time::Duration;

use hyssop_core::{AppendReply, AppendRequest, Millis, Offset, ReadReply};
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Header that names the client to the log service.
const CLIENT_HEADER: &str = "X-Client";
/// Largest reply accepted, in bytes. The service cuts replies by size well below this.
const MAX_REPLY: usize = 16 * 1024 * 1024;
/// Longest part of a refusal's body that is kept in an error, in characters.
const MAX_CAUSE: usize = 200;

/// Timeouts and identity of a [`LogClient`].
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Name sent with each request.
    pub client_name: String,
    /// Longest wait for a connection.
    pub connect_timeout: Millis,
    /// Longest wait for the answer to an append.
    pub append_timeout: Millis,
    /// Longest wait for the answer to a read, beyond the wait that the read asks for.
    pub read_timeout: Millis,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            client_name: "hyssop".to_owned(),
            connect_timeout: Millis(500),
            append_timeout: Millis(2_000),
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

    /// Sets the longest wait for a connection.
    #[must_use]
    pub const fn with_connect_timeout(mut self, connect_timeout: Millis) -> Self {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Sets the longest wait for the answer to an append.
    #[must_use]
    pub const fn with_append_timeout(mut self, append_timeout: Millis) -> Self {
        self.append_timeout = append_timeout;
        self
    }

    /// Sets the longest wait for the answer to a read.
    #[must_use]
    pub const fn with_read_timeout(mut self, read_timeout: Millis) -> Self {
        self.read_timeout = read_timeout;
        self
    }
}

/// Client of the log service. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct LogClient {
    base: String,
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
            .connect_timeout(duration(options.connect_timeout))
            // A proxy from the environment would break the rule on where traffic goes.
            .no_proxy()
            // A retried append could take effect twice without the caller knowing.
            .retry(reqwest::retry::never())
            .build()
            .map_err(|e| Error::Setup(e.to_string()))?;
        let base = format!("http://{}/v1/streams", address.as_ref());
        Ok(Self {
            base,
            options,
            http,
        })
    }

    /// Appends records to a stream, together and in order, and returns the offset of the first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAppended`] if the append certainly has no effect, and
    /// [`Error::Unknown`] if it may have taken effect or may still do so.
    pub async fn append(&self, stream: &str, records: &[String]) -> Result<Offset> {
        let request = AppendRequest {
            records: records.to_vec(),
        };
        let sent = self
            .http
            .post(format!("{}/{stream}", self.base))
            .header(CLIENT_HEADER, &self.options.client_name)
            .timeout(duration(self.options.append_timeout))
            .json(&request)
            .send()
            .await;
        let response = sent.map_err(|e| append_error(&e))?;
        let status = response.status();
        if status.is_success() {
            let reply: AppendReply = body(response).await.map_err(Error::Unknown)?;
            return Ok(reply.offset);
        }
        let cause = refusal(response).await;
        if has_no_effect(status) {
            Err(Error::NotAppended(cause))
        } else {
            Err(Error::Unknown(cause))
        }
    }

    /// Reads up to `max` records from `from` on. If there are none yet, the service waits up to
    /// `wait` for one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`] if no complete reply arrives in time.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: u32,
        wait: Millis,
    ) -> Result<ReadReply> {
        let url = format!("{}/{stream}?from={from}&max={max}&wait={wait}", self.base);
        let sent = self
            .http
            .get(url)
            .header(CLIENT_HEADER, &self.options.client_name)
            .timeout(duration(self.options.read_timeout + wait))
            .send()
            .await;
        let response = sent.map_err(|e| Error::Read(chain(&e)))?;
        if !response.status().is_success() {
            return Err(Error::Read(refusal(response).await));
        }
        body(response).await.map_err(Error::Read)
    }
}

fn duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

/// Converts a failed send. Only a connection that was never made proves that nothing was sent.
fn append_error(err: &reqwest::Error) -> Error {
    let cause = chain(err);
    if err.is_connect() || err.is_builder() {
        Error::NotAppended(cause)
    } else {
        Error::Unknown(cause)
    }
}

/// Tells whether the service promises with this status that an append had no effect: any request
/// error, and 503 while it takes no appends. Other server errors promise nothing.
fn has_no_effect(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT
        || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Reads a JSON body of bounded size.
async fn body<T: DeserializeOwned>(mut response: Response) -> Result<T, String> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|e| chain(&e))? {
        if bytes.len() + chunk.len() > MAX_REPLY {
            return Err(format!("reply above {MAX_REPLY} bytes"));
        }
        bytes.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Describes a refusal by its status and the start of its body.
async fn refusal(mut response: Response) -> String {
    let status = response.status();
    let chunk = response.chunk().await.ok().flatten().unwrap_or_default();
    let text = String::from_utf8_lossy(&chunk);
    let text: String = text.chars().take(MAX_CAUSE).collect();
    format!("status {status}: {text}")
}

/// Describes an error with its causes; reqwest's own text leaves them out.
fn chain(err: &reqwest::Error) -> String {
    let mut text = err.to_string();
    let mut source = std::error::Error::source(err);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
