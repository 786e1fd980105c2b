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
use crate::servers::{answer, delay, read_json, refuse};

/// Header by which clients name themselves.
const CLIENT_HEADER: &str = "X-Client";
/// Longest wait of a read for records.
const MAX_WAIT: Millis = Millis(30_000);
/// Records in a reply if the request names no number, and most that it may name.
const MAX_RECORDS: usize = 4_096;

/// Why a request was not carried out.
#[derive(Clone, Copy, Debug)]
enum Refused {
    Down,
    Client,
    Rate,
}

impl Refused {
    fn render(self, res: &mut Response) {
        match self {
            Self::Down => refuse(res, StatusCode::SERVICE_UNAVAILABLE, "the log is down"),
            Self::Client => refuse(res, StatusCode::FORBIDDEN, "the client is refused"),
            Self::Rate => refuse(res, StatusCode::TOO_MANY_REQUESTS, "too many appends"),
        }
    }
}

/// An append that took effect.
#[derive(Clone, Copy, Debug)]
struct Appended {
    offset: Offset,
    /// Whether the answer is to be lost.
    lost: bool,
}

impl Shared {
    /// Checks the faults that refuse requests, then waits for the one that delays them.
    async fn admit(&self, client: &str) -> Result<(), Refused> {
        let slow = {
            let faults = &self.lock().faults;
            if faults
                .refused_clients
                .iter()
                .any(|refused| refused == client)
            {
                return Err(Refused::Client);
            }
            faults.delay
        };
        delay(slow).await;
        self.check_up()
    }

    fn check_up(&self) -> Result<(), Refused> {
        if self.lock().faults.is_down {
            return Err(Refused::Down);
        }
        Ok(())
    }

    async fn append(
        &self,
        client: &str,
        stream: &str,
        records: Vec<String>,
    ) -> Result<Appended, Refused> {
        self.admit(client).await?;
        let appended = self.write(stream, records)?;
        self.note_change();
        Ok(appended)
    }

    fn write(&self, stream: &str, records: Vec<String>) -> Result<Appended, Refused> {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.store.try_admit(now) {
            return Err(Refused::Rate);
        }
        let offset = inner.store.append(now, stream, records);
        let lost = inner.faults.lost_responses > 0;
        inner.faults.lost_responses = inner.faults.lost_responses.saturating_sub(1);
        Ok(Appended { offset, lost })
    }

    async fn read(&self, client: &str, query: &ReadQuery) -> Result<ReadReply, Refused> {
        self.admit(client).await?;
        let deadline = Instant::now() + Duration::from_millis(query.wait.0);
        let mut changes = self.changes.subscribe();
        loop {
            self.check_up()?;
            let now = self.clock.now();
            let reply = {
                let mut inner = self.lock();
                inner.store.read(now, &query.stream, query.from, query.max)
            };
            if query.from < reply.head || Instant::now() >= deadline {
                return Ok(reply);
            }
            // Whether something changed or the wait is over, the stream is read once more.
            let _changed = timeout_at(deadline, changes.changed()).await;
        }
    }
}

/// What a read asks for.
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
            wait: wait.min(MAX_WAIT),
        }
    }
}

fn client(req: &Request) -> String {
    req.header(CLIENT_HEADER).unwrap_or_default()
}

/// Handles `POST /v1/streams/{stream}`.
struct Append(Arc<Shared>);

#[handler]
impl Append {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let client = client(req);
        let stream: String = req.param("stream").unwrap_or_default();
        let Some(AppendRequest { records }) = read_json(req, res).await else {
            return;
        };
        if records.is_empty() {
            refuse(res, StatusCode::BAD_REQUEST, "no records");
            return;
        }
        let shared = Arc::clone(&self.0);
        // In a task of its own, the append takes effect even if the client disconnects.
        let append = async move { shared.append(&client, &stream, records).await };
        match tokio::spawn(append).await {
            Ok(Ok(Appended { lost: true, .. })) => cut_off(res),
            Ok(Ok(Appended { offset, .. })) => answer(res, StatusCode::OK, AppendReply { offset }),
            Ok(Err(refused)) => refused.render(res),
            Err(e) => refuse(res, StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }
}

/// Breaks the connection instead of sending the answer.
fn cut_off(res: &mut Response) {
    let cut = io::Error::from(io::ErrorKind::ConnectionReset);
    res.channel().send_error(cut);
}

/// Handles `GET /v1/streams/{stream}`.
struct Read(Arc<Shared>);

#[handler]
impl Read {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.0.read(&client(req), &ReadQuery::new(req)).await {
            Ok(reply) => answer(res, StatusCode::OK, reply),
            Err(refused) => refused.render(res),
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
            answer(res, StatusCode::OK, faults);
        }
    }
}

/// Handles `GET /v1/faults`.
struct ShowFaults(Arc<Shared>);

#[handler]
impl ShowFaults {
    async fn handle(&self, res: &mut Response) {
        let faults = self.0.lock().faults.clone();
        answer(res, StatusCode::OK, faults);
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
