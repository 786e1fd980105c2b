//! HTTP client of the entries, as an application uses it.

use std::time::Duration;

use eyre::{Result, bail, eyre};
use hyssop_core::api::{
    AUTHORIZATION, BEARER, DEADLINE_MS, IDEMPOTENCY_KEY, OUTCOME, OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN, REASON, TicketsReply, TicketsRequest,
};
use reqwest::{Client, Method, RequestBuilder};

/// Timeout of requests without a deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default deadline of a request, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 5_000;
/// Time after the deadline in which the response that reports its expiry may still arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Outcome of a request as its caller knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response of a backend server arrived.
    Complete {
        /// HTTP status.
        status: u16,
        /// Complete body.
        body: Vec<u8>,
    },
    /// The request did not run and will not run; holds the reason.
    NotRun(String),
    /// The request may have run; holds the reason.
    Unknown(String),
}

/// Request to a service through an entry.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query within the service, with a leading slash.
    pub path: String,
    /// Ticket that makes the request run at most once; `None` for an idempotent request.
    pub ticket: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
    /// Time within which the caller needs the response, in milliseconds.
    pub deadline_ms: u64,
}

impl CallerRequest {
    /// Creates a GET request without a ticket and with the default deadline.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            ticket: None,
            body: Vec::new(),
            deadline_ms: DEFAULT_DEADLINE_MS,
        }
    }

    /// Creates a POST request with a ticket and the default deadline.
    #[must_use]
    pub fn post(path: impl Into<String>, ticket: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            method: Method::POST,
            ticket: Some(ticket.to_owned()),
            body: body.into(),
            ..Self::get(path)
        }
    }

    /// Sets the time within which the caller needs the response, in milliseconds.
    #[must_use]
    pub const fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }
}

/// HTTP client with the token of a team or of the operators.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    token: String,
}

impl Caller {
    /// Creates a caller that authenticates with `token`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(token: &str) -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .timeout(RESPONSE_TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            token: format!("{BEARER}{token}"),
        })
    }

    /// Returns the HTTP client, which sends no token by itself.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Builds a request with the token to any path of an entry.
    pub fn request(&self, method: Method, entry: &str, path: &str) -> RequestBuilder {
        let url = format!("{entry}{path}");
        self.client
            .request(method, url)
            .header(AUTHORIZATION, &self.token)
    }

    /// Requests tickets from an entry with the default deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond or refuses the request.
    pub async fn tickets(&self, entry: &str, service: &str, count: u32) -> Result<Vec<String>> {
        self.tickets_with_deadline(entry, service, count, DEFAULT_DEADLINE_MS)
            .await
    }

    /// Requests tickets from an entry with a deadline in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond or refuses the request.
    pub async fn tickets_with_deadline(
        &self,
        entry: &str,
        service: &str,
        count: u32,
        deadline: u64,
    ) -> Result<Vec<String>> {
        let path = format!("/v1/services/{service}/tickets");
        let request = self.request(Method::POST, entry, &path);
        let request = request
            .header(DEADLINE_MS, deadline)
            .timeout(Duration::from_millis(deadline) + DEADLINE_GRACE);
        let response = request.json(&TicketsRequest { count }).send().await?;
        let status = response.status();
        if !status.is_success() {
            bail!("tickets: {status} {}", response.text().await?);
        }
        Ok(response.json::<TicketsReply>().await?.tickets)
    }

    /// Sends a request through an entry. The outcome is unknown if the connection breaks, and "not
    /// run" if it was never established.
    pub async fn call(&self, entry: &str, service: &str, call: &CallerRequest) -> CallOutcome {
        let path = format!("/v1/call/{service}{}", call.path);
        let mut request = self
            .request(call.method.clone(), entry, &path)
            .header(DEADLINE_MS, call.deadline_ms)
            .timeout(Duration::from_millis(call.deadline_ms) + DEADLINE_GRACE)
            .body(call.body.clone());
        if let Some(ticket) = &call.ticket {
            request = request.header(IDEMPOTENCY_KEY, ticket);
        }
        match request.send().await {
            Ok(response) => read_outcome(response).await,
            Err(error) if error.is_connect() => CallOutcome::NotRun("not-connected".to_owned()),
            Err(error) => CallOutcome::Unknown(error.to_string()),
        }
    }

    /// Sends a request through the entries in turn until one returns a complete response, as an
    /// application with a ticket does.
    pub async fn call_in_turn(
        &self,
        entries: &[String],
        service: &str,
        call: &CallerRequest,
    ) -> CallOutcome {
        let mut last = CallOutcome::NotRun("no entry".to_owned());
        let mut may_have_run = false;
        for entry in entries {
            last = self.call(entry, service, call).await;
            match &last {
                CallOutcome::Complete { .. } => return last,
                CallOutcome::Unknown(_) => may_have_run = true,
                CallOutcome::NotRun(_) => {}
            }
        }
        match last {
            // An earlier attempt may have run.
            CallOutcome::NotRun(reason) if may_have_run => CallOutcome::Unknown(reason),
            last => last,
        }
    }
}

async fn read_outcome(response: reqwest::Response) -> CallOutcome {
    let status = response.status().as_u16();
    let header = |name| {
        let value = response.headers().get(name)?;
        Some(value.to_str().unwrap_or_default().to_owned())
    };
    let outcome = header(OUTCOME).unwrap_or_default();
    let reason = header(REASON).unwrap_or_else(|| format!("status {status}"));
    let body = response.bytes().await;
    match (outcome.as_str(), body) {
        (OUTCOME_COMPLETE, Ok(body)) => CallOutcome::Complete {
            status,
            body: body.into(),
        },
        (OUTCOME_NOT_RUN, _) => CallOutcome::NotRun(reason),
        (_, Err(error)) => CallOutcome::Unknown(error.to_string()),
        (_, Ok(_)) => CallOutcome::Unknown(reason),
    }
}

impl CallOutcome {
    /// Returns the body of a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error for every other outcome.
    pub fn complete_body(&self) -> Result<&[u8]> {
        match self {
            Self::Complete { body, .. } => Ok(body),
            other => Err(eyre!("not a complete response: {other:?}")),
        }
    }
}
