//! HTTP client of the entries, with failover.

use std::time::Duration;

use hyssop_core::TeamName;
use hyssop_core::api::{self, ApiError, ErrorCode};
use reqwest::{Method, RequestBuilder, Response, redirect};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{CtlError, FailedAttempt, Result};

/// Time to open a connection; a host that is gone must not hold up the next entry for long.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for one try. An entry settles a change in the log within its own, shorter deadline.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

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
            timeout: ATTEMPT_TIMEOUT,
        }
    }
}

/// Whether a call may be made again after a try without a clear answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
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
    retry_policy: RetryPolicy,
    status_command: String,
}

impl Request {
    /// Creates a call that reads.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path, RetryPolicy::Read)
    }

    /// Creates a call without body.
    pub(crate) fn new(method: Method, path: impl Into<String>, retry_policy: RetryPolicy) -> Self {
        Self {
            method,
            path: path.into(),
            body: Body::Empty,
            retry_policy,
            status_command: "hyssopctl status".to_owned(),
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
    pub(crate) fn with_status_command(mut self, command: impl Into<String>) -> Self {
        self.status_command = command.into();
        self
    }
}

/// End of one try at one entry.
enum AttemptOutcome<T> {
    /// The entry's answer.
    Reply(T),
    /// The entry refused and changed nothing.
    Refused(ApiError),
    /// Nothing was sent.
    NotSent(String),
    /// The call was sent and may have taken effect.
    Unknown(String),
}

/// Client of several entries that stays with the one that answered last.
#[derive(Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    options: ClientOptions,
    current_entry: usize,
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
            .map_err(|e| CtlError::Usage(root_cause(&e)))?;
        Ok(Self {
            http,
            options,
            current_entry: 0,
        })
    }

    /// Makes a call at the first entry that answers it.
    ///
    /// The next entry is tried when nothing was sent, when the entry states that nothing ran,
    /// and, unless the call is [`RetryPolicy::Never`], when a try has no clear answer.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Api`] when an entry refuses, [`CtlError::Unknown`] when a change may
    /// have taken effect, and [`CtlError::Unreachable`] when no entry answers.
    pub(crate) async fn call<T: DeserializeOwned>(&mut self, request: &Request) -> Result<T> {
        let count = self.options.entries.len();
        let mut failed_attempts = Vec::new();
        let mut has_unknown_attempt = false;
        let mut refusal = None;
        for step in 0..count {
            let index = (self.current_entry + step) % count;
            let entry = self.options.entries[index].clone();
            let cause = match self.attempt(&entry, request).await {
                AttemptOutcome::Reply(reply) => {
                    self.current_entry = index;
                    return Ok(reply);
                }
                AttemptOutcome::Refused(error) if error.code == ErrorCode::NotRun => {
                    let cause = error.to_string();
                    refusal = Some(error);
                    cause
                }
                AttemptOutcome::Refused(error) => {
                    self.current_entry = index;
                    return Err(refusal_error(error, has_unknown_attempt, request));
                }
                AttemptOutcome::NotSent(cause) => cause,
                AttemptOutcome::Unknown(cause) => {
                    has_unknown_attempt = true;
                    cause
                }
            };
            failed_attempts.push(FailedAttempt { entry, cause });
            if has_unknown_attempt && request.retry_policy == RetryPolicy::Never {
                break;
            }
        }
        Err(failure_error(
            failed_attempts,
            has_unknown_attempt,
            refusal,
            request,
        ))
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        entry: &str,
        request: &Request,
    ) -> AttemptOutcome<T> {
        match self.build(entry, request).send().await {
            Ok(response) => read_response(response).await,
            Err(e) if e.is_connect() || e.is_builder() => AttemptOutcome::NotSent(root_cause(&e)),
            Err(e) => AttemptOutcome::Unknown(root_cause(&e)),
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
            Body::Json(text) => with_body(builder, "application/json", text),
            Body::Toml(text) => with_body(builder, "application/toml", text),
        }
    }
}

fn with_body(builder: RequestBuilder, kind: &'static str, text: &str) -> RequestBuilder {
    builder.header("Content-Type", kind).body(text.to_owned())
}

async fn read_response<T: DeserializeOwned>(response: Response) -> AttemptOutcome<T> {
    let status = response.status();
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(e) => return AttemptOutcome::Unknown(root_cause(&e)),
    };
    if status.is_success() {
        return match serde_json::from_slice(&body) {
            Ok(reply) => AttemptOutcome::Reply(reply),
            Err(e) => AttemptOutcome::Unknown(format!("the answer cannot be read: {e}")),
        };
    }
    let error = serde_json::from_slice(&body).unwrap_or_else(|_| {
        let code = ErrorCode::from_status(status.as_u16());
        ApiError::new(code, format!("HTTP status {status} without an error body"))
    });
    match error.code {
        ErrorCode::Unknown => AttemptOutcome::Unknown(error.to_string()),
        _ => AttemptOutcome::Refused(error),
    }
}

fn refusal_error(error: ApiError, has_unknown_attempt: bool, request: &Request) -> CtlError {
    CtlError::Api {
        error: Box::new(error),
        has_unknown_attempt: has_unknown_attempt && request.retry_policy != RetryPolicy::Read,
        status_command: request.status_command.clone(),
    }
}

fn failure_error(
    failed_attempts: Vec<FailedAttempt>,
    has_unknown_attempt: bool,
    refusal: Option<ApiError>,
    request: &Request,
) -> CtlError {
    match refusal {
        _ if has_unknown_attempt && request.retry_policy != RetryPolicy::Read => {
            CtlError::Unknown {
                failed_attempts,
                status_command: request.status_command.clone(),
                is_idempotent: request.retry_policy == RetryPolicy::Idempotent,
            }
        }
        Some(error) => refusal_error(error, false, request),
        None => CtlError::Unreachable(failed_attempts),
    }
}

/// Writes an error with its sources; the outermost message alone names only the address.
fn root_cause(error: &reqwest::Error) -> String {
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
