//! HTTP client for the entries, with failover between them.

use std::time::Duration;

use hyssop_core::TeamName;
use hyssop_core::api::{self, ApiError, ErrorCode};
use reqwest::{Method, RequestBuilder, Response, redirect};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{CtlError, FailedAttempt, Result};

/// Limit for opening a connection. It is short so that an unreachable host delays the failover to
/// the next entry only briefly.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Default limit for one attempt. An entry commits a change to the log, or fails it, within a
/// shorter deadline of its own.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub(crate) struct ClientOptions {
    /// Addresses of the entries, `http://ip:port`, in order of preference.
    pub(crate) entries: Vec<String>,
    /// Bearer token of an operator or a team; without it no `Authorization` header is sent.
    pub(crate) token: Option<String>,
    /// Team on whose behalf an operator calls; sent as the `Hyssop-Team` header.
    pub(crate) team: Option<TeamName>,
    /// Limit for one attempt at one entry.
    pub(crate) timeout: Duration,
}

impl ClientOptions {
    /// Creates settings without token and team, with the default timeout.
    pub(crate) const fn new(entries: Vec<String>) -> Self {
        Self {
            entries,
            token: None,
            team: None,
            timeout: ATTEMPT_TIMEOUT,
        }
    }
}

/// Whether a call may be repeated at another entry after an attempt of unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// Repeatable: the call changes nothing.
    Read,
    /// Repeatable: the base version, key or receipt makes the call take effect at most once.
    Idempotent,
    /// Not repeatable: each execution takes effect.
    Never,
}

/// Body of a request, with its content type.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    /// No body.
    Empty,
    /// Serialized JSON.
    Json(String),
    /// A document in TOML.
    Toml(String),
}

/// One call of the entries' HTTP interface, independent of the entry that serves it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    method: Method,
    path: String,
    body: Body,
    retry_policy: RetryPolicy,
    status_command: String,
}

impl Request {
    /// Creates a `GET` request, which is always repeatable.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path, RetryPolicy::Read)
    }

    /// Creates a request without a body.
    pub(crate) fn new(method: Method, path: impl Into<String>, retry_policy: RetryPolicy) -> Self {
        Self {
            method,
            path: path.into(),
            body: Body::Empty,
            retry_policy,
            status_command: "hyssopctl status".to_owned(),
        }
    }

    /// Sets the body to the JSON form of a value.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Output`] if the value cannot be serialized.
    pub(crate) fn with_json<T: Serialize>(mut self, value: &T) -> Result<Self> {
        let text = serde_json::to_string(value).map_err(std::io::Error::from)?;
        self.body = Body::Json(text);
        Ok(self)
    }

    /// Sets the body to a document in TOML.
    pub(crate) fn with_toml(mut self, text: String) -> Self {
        self.body = Body::Toml(text);
        self
    }

    /// Sets the command that shows the current state; error messages refer to it.
    pub(crate) fn with_status_command(mut self, command: impl Into<String>) -> Self {
        self.status_command = command.into();
        self
    }
}

/// Outcome of one attempt at one entry.
enum AttemptOutcome<T> {
    /// The decoded reply of the entry.
    Reply(T),
    /// The entry refused the call and changed nothing.
    Refused(ApiError),
    /// The request was not sent.
    NotSent(String),
    /// The request was sent and may have taken effect.
    Unknown(String),
}

/// Client for several entries. It prefers the entry that answered the previous call.
#[derive(Debug)]
pub(crate) struct Client {
    http: reqwest::Client,
    options: ClientOptions,
    current_entry: usize,
}

impl Client {
    /// Creates a client, which opens no connection yet.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Usage`] if the HTTP client cannot be set up.
    pub(crate) fn new(options: ClientOptions) -> Result<Self> {
        let http = reqwest::Client::builder()
            // Entries are addressed directly by IP. A proxy from the environment would hide which
            // of them answered.
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

    /// Sends a request to the entries in turn until one of them answers it.
    ///
    /// The next entry is tried when the request was not sent, when the entry reports that it was
    /// not executed, and, except for [`RetryPolicy::Never`], when the outcome is unknown.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Api`] when an entry refuses the call, [`CtlError::Unknown`] when a
    /// change may have taken effect, and [`CtlError::Unreachable`] when no entry answers.
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
            Err(e) => AttemptOutcome::Unknown(format!("the response cannot be decoded: {e}")),
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

/// Returns the message of the innermost source, because the outer messages name only the address.
fn root_cause(error: &reqwest::Error) -> String {
    let mut source = std::error::Error::source(error);
    let mut text = String::new();
    while let Some(cause) = source {
        text = cause.to_string();
        source = cause.source();
    }
    if error.is_timeout() {
        return "no response before the timeout".to_owned();
    }
    if text.is_empty() {
        error.to_string()
    } else {
        text
    }
}
