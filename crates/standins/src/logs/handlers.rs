//! HTTP handlers of the log service.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::{AppendReply, AppendRequest, Millis, Offset, ReadReply};
use salvo::handler;
use salvo::http::StatusCode;
use salvo::{Request, Response, Router};
use tokio::time::{Instant, timeout_at};

use super::{LogFaults, Shared};
use crate::servers::{read_json, reject, respond, sleep_for};

/// Header in which clients send their name.
const CLIENT_HEADER: &str = "X-Client";
/// Upper bound of the time that a read waits for new records.
const MAX_READ_WAIT: Millis = Millis(30_000);
/// Default and upper bound of the number of records in one reply.
const MAX_RECORDS: usize = 4_096;

/// Reason why a request was rejected without effect.
#[derive(Clone, Copy, Debug)]
enum Rejection {
    Unavailable,
    RefusedClient,
    RateLimit,
}

impl Rejection {
    fn render(self, res: &mut Response) {
        match self {
            Self::Unavailable => reject(res, StatusCode::SERVICE_UNAVAILABLE, "the log is down"),
            Self::RefusedClient => reject(res, StatusCode::FORBIDDEN, "the client is refused"),
            Self::RateLimit => reject(res, StatusCode::TOO_MANY_REQUESTS, "too many appends"),
        }
    }
}

/// Result of an append that took effect.
#[derive(Clone, Copy, Debug)]
struct Appended {
    offset: Offset,
    /// Whether the connection is to break instead of a response.
    is_response_lost: bool,
}

impl Shared {
    /// Applies the injected faults to a request: rejects it or delays it.
    async fn admit(&self, client: &str) -> Result<(), Rejection> {
        let delay = {
            let faults = &self.lock().faults;
            if faults.refused_clients.iter().any(|name| name == client) {
                return Err(Rejection::RefusedClient);
            }
            faults.delay
        };
        sleep_for(delay).await;
        self.check_available()
    }

    fn check_available(&self) -> Result<(), Rejection> {
        if self.lock().faults.is_down {
            return Err(Rejection::Unavailable);
        }
        Ok(())
    }

    async fn append(
        &self,
        client: &str,
        stream: &str,
        records: Vec<String>,
    ) -> Result<Appended, Rejection> {
        self.admit(client).await?;
        let appended = self.append_now(stream, records)?;
        self.notify_change();
        Ok(appended)
    }

    fn append_now(&self, stream: &str, records: Vec<String>) -> Result<Appended, Rejection> {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.store.try_admit(now) {
            return Err(Rejection::RateLimit);
        }
        let offset = inner.store.append(now, stream, records);
        let is_response_lost = inner.faults.lost_responses > 0;
        inner.faults.lost_responses = inner.faults.lost_responses.saturating_sub(1);
        Ok(Appended {
            offset,
            is_response_lost,
        })
    }

    async fn read(&self, client: &str, query: &ReadQuery) -> Result<ReadReply, Rejection> {
        self.admit(client).await?;
        let deadline = Instant::now() + Duration::from_millis(query.wait.0);
        let mut changes = self.changes.subscribe();
        loop {
            self.check_available()?;
            let now = self.clock.now();
            let reply = {
                let mut inner = self.lock();
                inner.store.read(now, &query.stream, query.from, query.max)
            };
            if query.from < reply.head || Instant::now() >= deadline {
                return Ok(reply);
            }
            // The stream is read again after a change and after the deadline.
            let _result = timeout_at(deadline, changes.changed()).await;
        }
    }
}

/// Query parameters of a read.
#[derive(Clone, Debug)]
struct ReadQuery {
    stream: String,
    from: Offset,
    max: usize,
    wait: Millis,
}

impl ReadQuery {
    fn new(req: &Request) -> Self {
        let wait = Millis(req.query("wait").unwrap_or(0));
        let max: usize = req.query("max").unwrap_or(MAX_RECORDS);
        Self {
            stream: req.param("stream").unwrap_or_default(),
            from: Offset(req.query("from").unwrap_or(0)),
            max: max.min(MAX_RECORDS),
            wait: wait.min(MAX_READ_WAIT),
        }
    }
}

fn client_name(req: &Request) -> String {
    req.header(CLIENT_HEADER).unwrap_or_default()
}

/// Handles `POST /v1/streams/{stream}`.
struct Append(Arc<Shared>);

#[handler]
impl Append {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let client = client_name(req);
        let stream: String = req.param("stream").unwrap_or_default();
        let Some(AppendRequest { records }) = read_json(req, res).await else {
            return;
        };
        if records.is_empty() {
            reject(res, StatusCode::BAD_REQUEST, "no records");
            return;
        }
        let shared = Arc::clone(&self.0);
        // A separate task completes the append even if the client disconnects.
        let append = async move { shared.append(&client, &stream, records).await };
        match tokio::spawn(append).await {
            Ok(Ok(Appended {
                is_response_lost: true,
                ..
            })) => break_connection(res),
            Ok(Ok(Appended { offset, .. })) => respond(res, StatusCode::OK, AppendReply { offset }),
            Ok(Err(rejection)) => rejection.render(res),
            Err(e) => reject(res, StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }
}

/// Breaks the connection instead of sending the response.
fn break_connection(res: &mut Response) {
    let reset = io::Error::from(io::ErrorKind::ConnectionReset);
    res.channel().send_error(reset);
}

/// Handles `GET /v1/streams/{stream}`.
struct Read(Arc<Shared>);

#[handler]
impl Read {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.0.read(&client_name(req), &ReadQuery::new(req)).await {
            Ok(reply) => respond(res, StatusCode::OK, reply),
            Err(rejection) => rejection.render(res),
        }
    }
}

/// Handles `POST /v1/faults`.
struct SetFaults(Arc<Shared>);

#[handler]
impl SetFaults {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json::<LogFaults>(req, res).await {
            self.0.set_faults(faults.clone());
            respond(res, StatusCode::OK, faults);
        }
    }
}

/// Handles `GET /v1/faults`.
struct ShowFaults(Arc<Shared>);

#[handler]
impl ShowFaults {
    async fn handle(&self, res: &mut Response) {
        let faults = self.0.lock().faults.clone();
        respond(res, StatusCode::OK, faults);
    }
}

pub(super) fn router(shared: &Arc<Shared>) -> Router {
    let streams = Router::with_path("v1/streams/{stream}")
        .post(Append(Arc::clone(shared)))
        .get(Read(Arc::clone(shared)));
    let faults = Router::with_path("v1/faults")
        .post(SetFaults(Arc::clone(shared)))
        .get(ShowFaults(Arc::clone(shared)));
    Router::new().push(streams).push(faults)
}
