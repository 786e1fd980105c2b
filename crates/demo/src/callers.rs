//! A caller of the entries' HTTP interface.

use std::time::Duration;

use eyre::{Result, bail, eyre};
use hyssop_core::api::{
    AUTHORIZATION, BEARER, DEADLINE_MS, IDEMPOTENCY_KEY, OUTCOME, OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN, REASON, TicketsReply, TicketsRequest,
};
use reqwest::{Client, Method, RequestBuilder};

/// Longest wait for an answer to a call that has no deadline.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);
/// Deadline of a request that names none, in milliseconds.
const DEADLINE: u64 = 5_000;
/// Time after the deadline for the answer that it has passed.
const GRACE: Duration = Duration::from_millis(500);

/// What a caller was told about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response of a backend server.
    Complete {
        /// Status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// It did not run and will not run; with the reason.
    NotRun(String),
    /// It may have run; with the reason.
    Unknown(String),
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path below the service, with its leading slash.
    pub path: String,
    /// Ticket.
    pub ticket: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

impl CallerRequest {
    /// Creates a GET request.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            ticket: None,
            body: Vec::new(),
            deadline_ms: DEADLINE,
        }
    }

    /// Creates a POST request with a ticket.
    #[must_use]
    pub fn post(path: impl Into<String>, ticket: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            method: Method::POST,
            ticket: Some(ticket.to_owned()),
            body: body.into(),
            ..Self::get(path)
        }
    }

    /// Sets the time that the caller waits, in milliseconds.
    #[must_use]
    pub const fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }
}

/// A caller with the token of a team.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    token: String,
}

impl Caller {
    /// Creates a caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(token: &str) -> Result<Self> {
        let client = Client::builder().no_proxy().timeout(ANSWER_LIMIT).build()?;
        Ok(Self {
            client,
            token: format!("{BEARER}{token}"),
        })
    }

    /// Returns the HTTP client.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Starts a request to any path of an entry, with the token.
    pub fn request(&self, method: Method, entry: &str, path: &str) -> RequestBuilder {
        let url = format!("{entry}{path}");
        self.client
            .request(method, url)
            .header(AUTHORIZATION, &self.token)
    }

    /// Asks an entry for tickets.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer or refuses.
    pub async fn tickets(&self, entry: &str, service: &str, count: u32) -> Result<Vec<String>> {
        self.tickets_with_deadline(entry, service, count, DEADLINE)
            .await
    }

    /// Asks an entry for tickets with a deadline in milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer or refuses.
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
            .timeout(Duration::from_millis(deadline) + GRACE);
        let response = request.json(&TicketsRequest { count }).send().await?;
        let status = response.status();
        if !status.is_success() {
            bail!("tickets: {status} {}", response.text().await?);
        }
        Ok(response.json::<TicketsReply>().await?.tickets)
    }

    /// Sends a request through an entry. A connection that breaks counts as unknown, unless it was
    /// never made.
    pub async fn call(&self, entry: &str, service: &str, ask: &CallerRequest) -> CallOutcome {
        let path = format!("/v1/call/{service}{}", ask.path);
        let mut request = self
            .request(ask.method.clone(), entry, &path)
            .header(DEADLINE_MS, ask.deadline_ms)
            .timeout(Duration::from_millis(ask.deadline_ms) + GRACE)
            .body(ask.body.clone());
        if let Some(ticket) = &ask.ticket {
            request = request.header(IDEMPOTENCY_KEY, ticket);
        }
        match request.send().await {
            Ok(response) => read(response).await,
            Err(error) if error.is_connect() => CallOutcome::NotRun("not-connected".to_owned()),
            Err(error) => CallOutcome::Unknown(error.to_string()),
        }
    }

    /// Sends a request through the entries in turn until an answer is whole or final, as an
    /// application with a ticket does.
    pub async fn call_in_turn(
        &self,
        entries: &[String],
        service: &str,
        ask: &CallerRequest,
    ) -> CallOutcome {
        let mut last = CallOutcome::NotRun("no entry".to_owned());
        let mut unknown = false;
        for entry in entries {
            last = self.call(entry, service, ask).await;
            match &last {
                CallOutcome::Complete { .. } => return last,
                CallOutcome::Unknown(_) => unknown = true,
                CallOutcome::NotRun(_) => {}
            }
        }
        match last {
            // An earlier try may have run.
            CallOutcome::NotRun(reason) if unknown => CallOutcome::Unknown(reason),
            last => last,
        }
    }
}

async fn read(response: reqwest::Response) -> CallOutcome {
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
    /// Returns an error for every other answer.
    pub fn complete_body(&self) -> Result<&[u8]> {
        match self {
            Self::Complete { body, .. } => Ok(body),
            other => Err(eyre!("not a complete response: {other:?}")),
        }
    }
}
