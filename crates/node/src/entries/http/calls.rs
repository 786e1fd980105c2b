//! Callers' requests and tickets.

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

use super::replies::{conclude, kebab, param, parse_json, read_body, refuse, set_header};
use crate::entries::access::Caller;
use crate::entries::requests::{self, CallRequest};
use crate::entries::shared::Shared;

/// Longest deadline that a caller may ask for, in milliseconds.
const MAX_DEADLINE: u64 = 600_000;
/// Start of the path of a call, before the service.
const PREFIX: &str = "/v1/call/";
/// Largest body of a question for tickets, in bytes.
const MAX_QUESTION: usize = 1024;

/// Reason of a refusal because the entry stops.
const STOPPING: &str = "stopping";

/// Headers that concern one connection only, or the entry itself.
const OWN_HEADERS: &[&str] = &[
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
/// Start of the names of the system's own headers.
const OWN_PREFIX: &str = "hyssop-";

fn is_passed_on(name: &str, listed: &[String]) -> bool {
    !OWN_HEADERS.contains(&name)
        && !name.starts_with(OWN_PREFIX)
        && !listed.iter().any(|other| other == name)
}

/// Handles `/v1/call/{service}/{path}`.
pub(crate) struct Calls(pub(crate) Arc<Shared>);

#[handler]
impl Calls {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        // A request with a ticket may have run through another entry, so that what this entry
        // refuses without asking the agent must not be called not run.
        let ticketed = matches!(ticket(req, true), Ok(Some(_)));
        let Some(_inflight) = self.0.admit() else {
            self.0.metrics.record_refusal(STOPPING);
            stopping(res);
            return without_agent(res, ticketed);
        };
        let head = req.method().as_str() == "HEAD";
        match self.prepare(req).await {
            Ok(Ok(prepared)) => conclude(res, self.run(prepared).await, head),
            Ok(Err(outcome)) => {
                self.count_refused(&outcome);
                conclude(res, outcome, head);
            }
            Err(error) => {
                self.0.metrics.record_refusal(&kebab(&error.code));
                refuse(res, &error, None);
                without_agent(res, ticketed);
            }
        }
    }
}

/// A request that can be routed.
struct Prepared {
    request: CallRequest,
    /// Class of the service; `None` without a document, when only a ticket names the agent.
    class: Option<Class>,
    started: Instant,
}

impl Calls {
    /// Reads a request and checks all that needs no backend server.
    async fn prepare(&self, req: &mut Request) -> Result<Result<Prepared, Outcome>, ApiError> {
        let started = Instant::now();
        let caller = Caller::of(&self.0, req)?;
        let team = caller.need_team()?.clone();
        let service: ServiceName = param(req, "service")?;
        let view = self.0.view();
        let doc = view.doc(&service);
        if doc.is_none() && ticket(req, true)?.is_none() {
            return Ok(Err(Outcome::NotRun(NotRun::NoService)));
        }
        let limits = doc.map(|doc| doc.limits).unwrap_or_default();
        let deadline = started + budget(req, limits.deadline)?;
        let path = path_below(req)?;
        let method = req.method().as_str().to_owned();
        let plain = path.split('?').next().unwrap_or_default();
        let idempotent = doc.is_some_and(|doc| doc.is_idempotent(&method, plain));
        let ticket = ticket(req, idempotent)?;
        if !idempotent && ticket.is_none() {
            return Ok(Err(Outcome::NotRun(NotRun::TicketMissing)));
        }
        let headers = passed_on(req);
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
            idempotent,
            deadline,
        };
        Ok(Ok(Prepared {
            request,
            class: doc.map(|doc| doc.class),
            started,
        }))
    }

    /// Counts a request that was answered without asking for a backend server.
    fn count_refused(&self, outcome: &Outcome) {
        let reason = match outcome {
            Outcome::NotRun(reason) => kebab(reason),
            Outcome::Unknown(reason) => kebab(reason),
            Outcome::Complete(_) => return,
        };
        self.0.metrics.record_refusal(&reason);
    }

    async fn run(&self, prepared: Prepared) -> Outcome {
        let Prepared {
            request,
            class,
            started,
        } = prepared;
        let outcome = requests::run(&self.0, &request).await;
        if let Some(class) = class {
            let metrics = &self.0.metrics;
            metrics.record_request(&request.team, class, &outcome, started.elapsed());
        }
        outcome
    }
}

/// Refuses a request because the entry stops.
pub(crate) fn stopping(res: &mut Response) {
    let error = ApiError::new(ErrorCode::NotRun, "this entry is stopping");
    refuse(res, &error, Some(STOPPING.to_owned()));
}

/// States the outcome of a refused request with a ticket as unknown.
fn without_agent(res: &mut Response, ticketed: bool) {
    if ticketed {
        set_header(res, api::OUTCOME, api::OUTCOME_UNKNOWN);
    }
}

/// Returns the time that the caller leaves for the request, or else the default in milliseconds.
fn budget(req: &Request, default: u32) -> Result<Duration, ApiError> {
    let Some(value) = req.headers().get(api::DEADLINE_MS) else {
        return Ok(Duration::from_millis(u64::from(default)));
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match millis {
        Some(millis @ 1..=MAX_DEADLINE) => Ok(Duration::from_millis(millis)),
        _ => {
            let allowed = format!("1 to {MAX_DEADLINE}");
            let message = "the deadline is not a number of milliseconds";
            Err(ApiError::new(ErrorCode::Invalid, message).with_field(api::DEADLINE_MS, allowed))
        }
    }
}

/// Reads the ticket. An idempotent request may carry another key, which is only passed on.
fn ticket(req: &Request, idempotent: bool) -> Result<Option<Ticket>, ApiError> {
    let Some(value) = req.headers().get(api::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str().unwrap_or_default().parse::<Ticket>() {
        Ok(ticket) => Ok(Some(ticket)),
        Err(_) if idempotent => Ok(None),
        Err(e) => Err(e.into()),
    }
}

/// Returns the path and query below the service, as they were sent.
///
/// # Errors
///
/// Returns an error of kind `malformed` for a path with dot segments. A backend server would
/// resolve them, so that the prefixes of idempotent paths would not hold.
fn path_below(req: &Request) -> Result<String, ApiError> {
    let uri = req.uri();
    let below = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let path = below.find('/').map_or("/", |start| &below[start..]);
    if has_dots(path) {
        let message = "the path has dot segments";
        return Err(ApiError::new(ErrorCode::Malformed, message));
    }
    Ok(match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    })
}

/// Tells whether a path has dot segments, also when they or their separators are encoded.
fn has_dots(path: &str) -> bool {
    let plain = path.to_ascii_lowercase().replace("%2e", ".");
    let plain = plain.replace("%2f", "/").replace("%5c", "/");
    let mut parts = plain.split(['/', '\\']);
    parts.any(|part| part == "." || part == "..")
}

/// Returns the headers for the backend server.
fn passed_on(req: &Request) -> Vec<(String, Bytes)> {
    let listed = listed(req.headers().get_all("connection").iter());
    let all = req.headers().iter();
    let passed = all.filter(|(name, _)| is_passed_on(name.as_str(), &listed));
    passed
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Returns the headers that a `Connection` header names as its own.
fn listed<'a>(values: impl Iterator<Item = &'a HeaderValue>) -> Vec<String> {
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Answers with the response of the backend server.
pub(crate) fn pass_back(res: &mut Response, whole: CompleteResponse, head: bool) {
    let status = StatusCode::from_u16(whole.status);
    res.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in whole.headers {
        let name = name.to_ascii_lowercase();
        if !is_passed_on(&name, &[]) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            res.headers_mut().append(name, value);
        }
    }
    set_header(res, api::OUTCOME, api::OUTCOME_COMPLETE);
    if !head {
        res.replace_body(salvo::http::ResBody::Once(whole.body));
    }
}

/// Handles `POST /v1/services/{service}/tickets`.
pub(crate) struct Tickets(pub(crate) Arc<Shared>);

#[handler]
impl Tickets {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return stopping(res);
        };
        match self.issue(req).await {
            Ok(Ok(reply)) => super::replies::answer(res, Ok(reply)),
            Ok(Err(reason)) => refuse(res, &reason.into(), Some(kebab(&reason))),
            Err(error) => refuse(res, &error, None),
        }
    }
}

impl Tickets {
    async fn issue(&self, req: &mut Request) -> Result<Result<TicketsReply, NotRun>, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let team = caller.need_team()?.clone();
        let service: ServiceName = param(req, "service")?;
        let view = self.0.view();
        let Some(doc) = view.doc(&service) else {
            return Ok(Err(NotRun::NoService));
        };
        let budget = budget(req, doc.limits.deadline)?;
        let deadline = requests::deadline(Millis(budget.as_millis() as u64));
        let body = read_body(req, MAX_QUESTION).await?;
        let question = match body.is_empty() {
            true => TicketsRequest::default(),
            false => parse_json(&body)?,
        };
        if !(1..=MAX_TICKET_BATCH).contains(&question.count) {
            let message = format!("{} tickets asked for", question.count);
            let error = ApiError::new(ErrorCode::Invalid, message);
            return Err(error.with_field("count", format!("1 to {MAX_TICKET_BATCH}")));
        }
        let call = TicketCall {
            team,
            service: service.clone(),
            count: question.count,
        };
        let tickets = requests::tickets(&self.0, call, deadline).await;
        Ok(tickets.map(|tickets| TicketsReply::new(service, &tickets)))
    }
}
