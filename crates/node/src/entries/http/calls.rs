//! Handlers of callers' requests to services, and of requests for tickets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::api::{self, ApiError, ErrorCode, TicketsReply, TicketsRequest};
use hyssop_core::limits::{MAX_BODY_BYTES, MAX_TICKET_BATCH};
use hyssop_core::{
    Class, CompleteResponse, Millis, NotRun, Outcome, ServiceName, Ticket, TicketCall, Unknown,
};
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::{Request, Response, handler};
use tokio::time::{Instant, timeout_at};

use super::replies::{
    kebab_name, parse_json, path_param, read_body, respond_error, respond_outcome, set_header,
};
use crate::entries::access::Caller;
use crate::entries::requests::{self, CallRequest};
use crate::entries::shared::Shared;

/// Largest accepted value of the deadline header.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Path prefix of calls, followed by the service.
const CALL_PREFIX: &str = "/v1/call/";
/// Largest body of a request for tickets.
const MAX_TICKETS_REQUEST_BYTES: usize = 1024;

/// Value of the reason header and label for requests refused because the entry is stopping.
const STOPPING_REASON: &str = "stopping";

/// Headers that are not forwarded because they concern one connection or the entry itself.
const LOCAL_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Prefix of the system's own headers, which are not forwarded either.
const SYSTEM_HEADER_PREFIX: &str = "hyssop-";

fn is_forwarded(name: &str, connection_headers: &[String]) -> bool {
    !LOCAL_HEADERS.contains(&name)
        && !name.starts_with(SYSTEM_HEADER_PREFIX)
        && !connection_headers.iter().any(|other| other == name)
}

/// Handles `/v1/call/{service}/{path}`.
pub(crate) struct Calls(pub(crate) Arc<Shared>);

#[handler]
impl Calls {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        // A request with a ticket may have run through another entry. If this entry refuses it
        // without calling the agent, the outcome is unknown and must not be stated as not run.
        let has_ticket = matches!(ticket(req, true), Ok(Some(_)));
        let Some(_inflight) = self.0.admit() else {
            self.0.metrics.record_refusal(STOPPING_REASON);
            refuse_stopping(res);
            return mark_unknown(res, has_ticket);
        };
        let is_head = req.method().as_str() == "HEAD";
        match self.prepare(req).await {
            Ok(Ok(prepared)) => respond_outcome(res, self.run(prepared).await, is_head),
            Ok(Err(outcome)) => {
                self.count_refused(&outcome);
                respond_outcome(res, outcome, is_head);
            }
            Err(error) => {
                self.0.metrics.record_refusal(&kebab_name(&error.code));
                respond_error(res, &error, None);
                mark_unknown(res, has_ticket);
            }
        }
    }
}

/// A request that has passed all checks of the entry.
struct Prepared {
    request: CallRequest,
    /// Class of the service; `None` if it has no document and the ticket names the agent.
    class: Option<Class>,
    started_at: Instant,
}

impl Calls {
    /// Reads and checks a request. The inner error is an outcome that needs no agent.
    async fn prepare(&self, req: &mut Request) -> Result<Result<Prepared, Outcome>, ApiError> {
        let started_at = Instant::now();
        let caller = Caller::from_request(&self.0, req)?;
        let team = caller.require_team()?.clone();
        let service: ServiceName = path_param(req, "service")?;
        let view = self.0.view();
        let doc = view.doc(&service);
        if doc.is_none() && ticket(req, true)?.is_none() {
            return Ok(Err(Outcome::NotRun(NotRun::NoService)));
        }
        let limits = doc.map(|doc| doc.limits).unwrap_or_default();
        let deadline = started_at + budget(req, limits.deadline)?;
        let path = path_below(req)?;
        let method = req.method().as_str().to_owned();
        let path_only = path.split('?').next().unwrap_or_default();
        let is_idempotent = doc.is_some_and(|doc| doc.is_idempotent(&method, path_only));
        let ticket = ticket(req, is_idempotent)?;
        if !is_idempotent && ticket.is_none() {
            return Ok(Err(Outcome::NotRun(NotRun::TicketMissing)));
        }
        let headers = forwarded_headers(req);
        let body = timeout_at(deadline, read_body(req, MAX_BODY_BYTES)).await;
        let Ok(body) = body else {
            return Ok(Err(match ticket {
                Some(_) => Outcome::Unknown(Unknown::Deadline),
                None => Outcome::NotRun(NotRun::Deadline),
            }));
        };
        let request = CallRequest {
            team,
            service,
            method,
            path,
            headers,
            body: body?,
            ticket,
            is_idempotent,
            deadline,
        };
        Ok(Ok(Prepared {
            request,
            class: doc.map(|doc| doc.class),
            started_at,
        }))
    }

    /// Counts a request that got its outcome without a call to an agent.
    fn count_refused(&self, outcome: &Outcome) {
        let reason = match outcome {
            Outcome::NotRun(reason) => kebab_name(reason),
            Outcome::Unknown(reason) => kebab_name(reason),
            Outcome::Complete(_) => return,
        };
        self.0.metrics.record_refusal(&reason);
    }

    async fn run(&self, prepared: Prepared) -> Outcome {
        let Prepared {
            request,
            class,
            started_at,
        } = prepared;
        let outcome = requests::run(&self.0, &request).await;
        if let Some(class) = class {
            let metrics = &self.0.metrics;
            metrics.record_request(&request.team, class, &outcome, started_at.elapsed());
        }
        outcome
    }
}

/// Responds that the request was not run because the entry is stopping.
pub(crate) fn refuse_stopping(res: &mut Response) {
    let error = ApiError::new(ErrorCode::NotRun, "this entry is stopping");
    respond_error(res, &error, Some(STOPPING_REASON.to_owned()));
}

/// Sets the outcome of a refused request to unknown if it has a ticket.
fn mark_unknown(res: &mut Response, has_ticket: bool) {
    if has_ticket {
        set_header(res, api::OUTCOME, api::OUTCOME_UNKNOWN);
    }
}

/// Returns the time budget of a request from its deadline header, or else the default.
fn budget(req: &Request, default_ms: u32) -> Result<Duration, ApiError> {
    let Some(value) = req.headers().get(api::DEADLINE_MS) else {
        return Ok(Duration::from_millis(u64::from(default_ms)));
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match millis {
        Some(millis @ 1..=MAX_DEADLINE_MS) => Ok(Duration::from_millis(millis)),
        _ => {
            let allowed = format!("1 to {MAX_DEADLINE_MS}");
            let message = "the deadline is not a number of milliseconds";
            Err(ApiError::new(ErrorCode::Invalid, message).with_field(api::DEADLINE_MS, allowed))
        }
    }
}

/// Parses the ticket in the idempotency key. An idempotent request may carry a key that is not a
/// ticket, which is only forwarded.
fn ticket(req: &Request, is_idempotent: bool) -> Result<Option<Ticket>, ApiError> {
    let Some(value) = req.headers().get(api::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str().unwrap_or_default().parse::<Ticket>() {
        Ok(ticket) => Ok(Some(ticket)),
        Err(_) if is_idempotent => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// Returns the path and query below the service, as they were sent.
///
/// # Errors
///
/// Returns an error with code `malformed` for a path with dot segments. A backend server would
/// resolve them, and the path could escape the prefixes of idempotent paths.
fn path_below(req: &Request) -> Result<String, ApiError> {
    let uri = req.uri();
    let below = uri.path().strip_prefix(CALL_PREFIX).unwrap_or_default();
    let path = below.find('/').map_or("/", |start| &below[start..]);
    if has_dot_segments(path) {
        let message = "the path has dot segments";
        return Err(ApiError::new(ErrorCode::Malformed, message));
    }
    Ok(match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    })
}

/// Returns whether a path has dot segments, plain or percent-encoded, also with encoded separators.
fn has_dot_segments(path: &str) -> bool {
    let decoded = path.to_ascii_lowercase().replace("%2e", ".");
    let decoded = decoded.replace("%2f", "/").replace("%5c", "/");
    let mut parts = decoded.split(['/', '\\']);
    parts.any(|part| part == "." || part == "..")
}

/// Returns the headers to forward to the backend server.
fn forwarded_headers(req: &Request) -> Vec<(String, Bytes)> {
    let connection_headers = connection_headers(req.headers().get_all("connection").iter());
    let all = req.headers().iter();
    let passed = all.filter(|(name, _)| is_forwarded(name.as_str(), &connection_headers));
    passed
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Returns the header names in the values of the `Connection` header, in lower case.
fn connection_headers<'a>(values: impl Iterator<Item = &'a HeaderValue>) -> Vec<String> {
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Writes the response of the backend server, without the body for a HEAD request.
pub(crate) fn respond_complete(res: &mut Response, response: CompleteResponse, is_head: bool) {
    let status = StatusCode::from_u16(response.status);
    res.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in response.headers {
        let name = name.to_ascii_lowercase();
        if !is_forwarded(&name, &[]) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            res.headers_mut().append(name, value);
        }
    }
    set_header(res, api::OUTCOME, api::OUTCOME_COMPLETE);
    if !is_head {
        res.replace_body(salvo::http::ResBody::Once(response.body));
    }
}

/// Handles `POST /v1/services/{service}/tickets`.
pub(crate) struct Tickets(pub(crate) Arc<Shared>);

#[handler]
impl Tickets {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return refuse_stopping(res);
        };
        match self.issue(req).await {
            Ok(Ok(reply)) => super::replies::respond(res, Ok(reply)),
            Ok(Err(reason)) => respond_error(res, &reason.into(), Some(kebab_name(&reason))),
            Err(error) => respond_error(res, &error, None),
        }
    }
}

impl Tickets {
    async fn issue(&self, req: &mut Request) -> Result<Result<TicketsReply, NotRun>, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let team = caller.require_team()?.clone();
        let service: ServiceName = path_param(req, "service")?;
        let view = self.0.view();
        let Some(doc) = view.doc(&service) else {
            return Ok(Err(NotRun::NoService));
        };
        let budget = budget(req, doc.limits.deadline)?;
        let deadline = requests::deadline_after(Millis(budget.as_millis() as u64));
        let body = read_body(req, MAX_TICKETS_REQUEST_BYTES).await?;
        let tickets_request = match body.is_empty() {
            true => TicketsRequest::default(),
            false => parse_json(&body)?,
        };
        if !(1..=MAX_TICKET_BATCH).contains(&tickets_request.count) {
            let message = format!("{} tickets requested", tickets_request.count);
            let error = ApiError::new(ErrorCode::Invalid, message);
            return Err(error.with_field("count", format!("1 to {MAX_TICKET_BATCH}")));
        }
        let call = TicketCall {
            team,
            service: service.clone(),
            count: tickets_request.count,
        };
        let tickets = requests::tickets(&self.0, call, deadline).await;
        Ok(tickets.map(|tickets| TicketsReply::new(service, &tickets)))
    }
}
