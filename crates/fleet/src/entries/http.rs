//! HTTP handlers for requests of callers and for the balancer's readiness check.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hyssop_jobs::{CallerRequest, QueueRule};
use hyssop_platform::{Routes, read_deadline, read_job, read_job_id, response_parts};
use salvo::http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use salvo::http::{Method, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use tokio::sync::watch;
use tokio::time::Instant;

use super::requests::{ForwardOutcome, RequestForwarder, request_timeout};
use crate::metrics::metrics;

/// What to do with a decoded request of a caller.
enum CallAction {
    Forward(CallerRequest),
    Reject(StatusCode, String),
}

/// Handler for requests of callers.
pub(super) struct CallerHandler {
    /// Time by which all requests have to be answered, set when the process is stopping.
    pub(super) stop_deadline: watch::Receiver<Option<Instant>>,
    pub(super) forwarder: RequestForwarder,
    pub(super) routes: watch::Receiver<Option<Arc<Routes>>>,
}

impl CallerHandler {
    async fn decode(&self, req: &mut Request) -> CallAction {
        let Some(routes) = self.routes.borrow().clone() else {
            return CallAction::Reject(StatusCode::SERVICE_UNAVAILABLE, "no routes yet".to_owned());
        };
        let host = req
            .headers()
            .get("host")
            .and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default().to_owned();
        let path = req.uri().path().to_owned();
        let Some((route, rest)) = routes.find(&host, &path) else {
            return CallAction::Reject(StatusCode::NOT_FOUND, "no such queue".to_owned());
        };
        let queue = Arc::clone(&route.queue);
        if rest.is_empty() && req.method() == Method::GET {
            return CallAction::Forward(CallerRequest::Pending(Arc::clone(&queue.name)));
        }
        decode_job_call(req, &queue, rest, routes.max_body_bytes).await
    }
}

async fn decode_job_call(
    req: &mut Request,
    queue: &QueueRule,
    rest: &str,
    max_body_bytes: usize,
) -> CallAction {
    let reject = |error: String| CallAction::Reject(StatusCode::BAD_REQUEST, error);
    let job = match read_job_id(rest) {
        Ok(job) => job,
        Err(error) => return reject(error.to_string()),
    };
    match *req.method() {
        Method::GET => CallAction::Forward(CallerRequest::Show(job)),
        Method::DELETE => CallAction::Forward(CallerRequest::Cancel(job)),
        Method::POST => {
            let body = match req.payload_with_max_size(max_body_bytes).await {
                Ok(body) => body,
                Err(error) => return reject(error.to_string()),
            };
            match read_job(body) {
                Ok(spec) => CallAction::Forward(CallerRequest::Submit {
                    job,
                    rule: queue.clone(),
                    spec,
                }),
                Err(error) => reject(error.to_string()),
            }
        }
        _ => CallAction::Reject(
            StatusCode::METHOD_NOT_ALLOWED,
            "GET, POST or DELETE".to_owned(),
        ),
    }
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let headers = req.headers();
        let deadline =
            read_deadline(|name| headers.get(name).and_then(|value| value.to_str().ok()));
        let stop_deadline = self.stop_deadline.clone();
        let started_at = Instant::now();
        let request = match self.decode(req).await {
            CallAction::Forward(request) => request,
            CallAction::Reject(status, reason) => {
                log::info!(path:% = req.uri().path(), status = status.as_u16(); "request rejected: {reason}");
                let body = serde_json::json!({ "error": reason }).to_string();
                write_response(res, status.as_u16(), body);
                metrics().record_call("unread", status.as_str(), started_at.elapsed());
                return;
            }
        };
        let until = started_at + request_timeout(&request, deadline);
        let is_submit = matches!(request, CallerRequest::Submit { .. });
        let kind = metric_label(&request);
        match self.forwarder.forward(request, until, stop_deadline).await {
            ForwardOutcome::Answered(response) => {
                let (status, body, retry_after) = response_parts(&response);
                write_response(res, status, body);
                set_retry_after(res, retry_after.map(|delay| delay.0));
            }
            ForwardOutcome::NotSent { retry_after } => {
                log::info!(path:% = req.uri().path(); "request not executed: no owner");
                write_response(res, 503, "{\"error\":\"no owner\"}".to_owned());
                set_retry_after(res, Some(retry_after.0));
            }
            ForwardOutcome::Unknown => {
                log::info!(path:% = req.uri().path(); "outcome unknown: no response from the owner");
                let status = if is_submit { 504 } else { 503 };
                write_response(
                    res,
                    status,
                    "{\"error\":\"no answer of the owner\"}".to_owned(),
                );
            }
        }
        let status = res.status_code.unwrap_or(StatusCode::OK);
        metrics().record_call(kind, status.as_str(), started_at.elapsed());
    }
}

/// Returns the label of a request in the metrics.
const fn metric_label(request: &CallerRequest) -> &'static str {
    match request {
        CallerRequest::Submit { .. } => "submit",
        CallerRequest::Show(_) => "show",
        CallerRequest::Cancel(_) => "cancel",
        CallerRequest::Pending(_) => "pending",
    }
}

fn write_response(res: &mut Response, status: u16, body: String) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.body(body);
}

/// Sets the header that says when to try again, in whole seconds, rounded up.
fn set_retry_after(res: &mut Response, millis: Option<u64>) {
    let Some(millis) = millis else { return };
    let name: HeaderName = RETRY_AFTER;
    res.headers_mut()
        .insert(name, HeaderValue::from(millis.div_ceil(1_000)));
}

/// Handler for the readiness check. The entry is ready once it has routes and until it stops.
pub(super) struct ReadinessHandler {
    pub(super) routes: watch::Receiver<Option<Arc<Routes>>>,
    pub(super) is_stopping: Arc<AtomicBool>,
}

#[async_trait]
impl Handler for ReadinessHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let is_ready = self.routes.borrow().is_some() && !self.is_stopping.load(Ordering::Relaxed);
        write_response(res, if is_ready { 200 } else { 503 }, "{}".to_owned());
    }
}
