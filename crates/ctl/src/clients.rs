//! HTTP client of the entries, with failover.

use std::time::Duration;

use hyssop_core::TeamName;
use hyssop_core::api::{self, ApiError, ErrorCode};
use reqwest::{Method, RequestBuilder, Response, redirect};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{CtlError, Result, Tried};

/// Time to open a connection; a host that is gone must not hold up the next entry for long.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for one try. An entry settles a change in the log within its own, shorter deadline.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub(crate) struct ClientOptions {
    /// Addresses of the entries, `http://ip:port`, in order of preference.
    pub(crate) entries: Vec<String>,
    /// Token of the operator or team.
    pub(crate) token: Option<String>,
    /// Team for which an operator's token calls.
    pub(crate) team: Option<TeamName>,
    /// Time for one try.
    pub(crate) timeout: Duration,
}

impl ClientOptions {
    /// Creates settings with defaults.
    pub(crate) const fn new(entries: Vec<String>) -> Self {
        Self {
            entries,
            token: None,
            team: None,
            timeout: TIMEOUT,
        }
    }
}

/// Whether a call may be made again after a try without a clear answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// It changes nothing.
    Read,
    /// It takes effect once, by its base, key or receipt.
    Idempotent,
    /// It may take effect each time.
    Never,
}

/// Body of a request.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    /// None.
    Empty,
    /// JSON text.
    Json(String),
    /// TOML text.
    Toml(String),
}

/// One call to an entry.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    method: Method,
    path: String,
    body: Body,
    repeat: Repeat,
    check: String,
}

impl Request {
    /// Creates a call that reads.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path, Repeat::Read)
    }

    /// Creates a call without body.
    pub(crate) fn new(method: Method, path: impl Into<String>, repeat: Repeat) -> Self {
        Self {
            method,
            path: path.into(),
            body: Body::Empty,
            repeat,
            check: "hyssopctl status".to_owned(),
        }
    }

    /// Sets a body in JSON.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Output`] if the value has no JSON form.
    pub(crate) fn with_json<T: Serialize>(mut self, value: &T) -> Result<Self> {
        let text = serde_json::to_string(value).map_err(std::io::Error::from)?;
        self.body = Body::Json(text);
        Ok(self)
    }

    /// Sets a body in TOML.
    pub(crate) fn with_toml(mut self, text: String) -> Self {
        self.body = Body::Toml(text);
        self
    }

    /// Names the command that shows what is in force, for errors.
    pub(crate) fn with_check(mut self, command: impl Into<String>) -> Self {
        self.check = command.into();
        self
    }
}

/// End of one try at one entry.
enum Attempt<T> {
    /// The entry's answer.
    Answer(T),
    /// The entry refused and changed nothing.
    Refused(ApiError),
    /// Nothing was sent.
    NotSent(String),
    /// The call was sent and may have taken effect.
    Unclear(String),
}

/// Client of several entries that stays with the one that answered last.
#[derive(Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    options: ClientOptions,
    current: usize,
}

impl Client {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Usage`] if the HTTP client cannot be set up.
    pub(crate) fn new(options: ClientOptions) -> Result<Self> {
        let http = reqwest::Client::builder()
            // Entries are addressed directly by IP; a proxy from the environment would hide
            // which of them answered.
            .no_proxy()
            .redirect(redirect::Policy::none())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(options.timeout)
            .build()
            .map_err(|e| CtlError::Usage(causes(&e)))?;
        Ok(Self {
            http,
            options,
            current: 0,
        })
    }

    /// Makes a call at the first entry that answers it.
    ///
    /// The next entry is tried when nothing was sent, when the entry states that nothing ran,
    /// and, unless the call is [`Repeat::Never`], when a try has no clear answer.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Api`] when an entry refuses, [`CtlError::Unknown`] when a change may
    /// have taken effect, and [`CtlError::Unreachable`] when no entry answers.
    pub(crate) async fn call<T: DeserializeOwned>(&mut self, request: &Request) -> Result<T> {
        let count = self.options.entries.len();
        let mut tried = Vec::new();
        let mut unclear = false;
        let mut refusal = None;
        for step in 0..count {
            let index = (self.current + step) % count;
            let entry = self.options.entries[index].clone();
            let cause = match self.attempt(&entry, request).await {
                Attempt::Answer(answer) => {
                    self.current = index;
                    return Ok(answer);
                }
                Attempt::Refused(error) if error.code == ErrorCode::NotRun => {
                    let cause = error.to_string();
                    refusal = Some(error);
                    cause
                }
                Attempt::Refused(error) => {
                    self.current = index;
                    return Err(refused(error, unclear, request));
                }
                Attempt::NotSent(cause) => cause,
                Attempt::Unclear(cause) => {
                    unclear = true;
                    cause
                }
            };
            tried.push(Tried { entry, cause });
            if unclear && request.repeat == Repeat::Never {
                break;
            }
        }
        Err(failed(tried, unclear, refusal, request))
    }

    async fn attempt<T: DeserializeOwned>(&self, entry: &str, request: &Request) -> Attempt<T> {
        match self.build(entry, request).send().await {
            Ok(response) => receive(response).await,
            Err(e) if e.is_connect() || e.is_builder() => Attempt::NotSent(causes(&e)),
            Err(e) => Attempt::Unclear(causes(&e)),
        }
    }

    fn build(&self, entry: &str, request: &Request) -> RequestBuilder {
        let url = format!("{entry}{}", request.path);
        let mut builder = self.http.request(request.method.clone(), url);
        if let Some(token) = &self.options.token {
            builder = builder.header(api::AUTHORIZATION, format!("{}{token}", api::BEARER));
        }
        if let Some(team) = &self.options.team {
            builder = builder.header(api::TEAM, team.as_str());
        }
        match &request.body {
            Body::Empty => builder,
            Body::Json(text) => typed(builder, "application/json", text),
            Body::Toml(text) => typed(builder, "application/toml", text),
        }
    }
}

fn typed(builder: RequestBuilder, kind: &'static str, text: &str) -> RequestBuilder {
    builder.header("Content-Type", kind).body(text.to_owned())
}

async fn receive<T: DeserializeOwned>(response: Response) -> Attempt<T> {
    let status = response.status();
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(e) => return Attempt::Unclear(causes(&e)),
    };
    if status.is_success() {
        return match serde_json::from_slice(&body) {
            Ok(answer) => Attempt::Answer(answer),
            Err(e) => Attempt::Unclear(format!("the answer cannot be read: {e}")),
        };
    }
    let error = serde_json::from_slice(&body).unwrap_or_else(|_| {
        let code = ErrorCode::from_status(status.as_u16());
        ApiError::new(code, format!("HTTP status {status} without an error body"))
    });
    match error.code {
        ErrorCode::Unknown => Attempt::Unclear(error.to_string()),
        _ => Attempt::Refused(error),
    }
}

fn refused(error: ApiError, unclear: bool, request: &Request) -> CtlError {
    CtlError::Api {
        error: Box::new(error),
        unclear: unclear && request.repeat != Repeat::Read,
        check: request.check.clone(),
    }
}

fn failed(
    tried: Vec<Tried>,
    unclear: bool,
    refusal: Option<ApiError>,
    request: &Request,
) -> CtlError {
    match refusal {
        _ if unclear && request.repeat != Repeat::Read => CtlError::Unknown {
            tried,
            check: request.check.clone(),
            once: request.repeat == Repeat::Idempotent,
        },
        Some(error) => refused(error, false, request),
        None => CtlError::Unreachable(tried),
    }
}

/// Writes an error with its sources; the outermost message alone names only the address.
fn causes(error: &reqwest::Error) -> String {
    let mut source = std::error::Error::source(error);
    let mut text = String::new();
    while let Some(cause) = source {
        text = cause.to_string();
        source = cause.source();
    }
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    if text.is_empty() {
        error.to_string()
    } else {
        text
    }
}
