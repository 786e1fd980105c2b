//! HTTP handlers of the backend server.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use hyssop_core::{Incarnation, Millis, limits};
use salvo::handler;
use salvo::http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use salvo::http::{ResBody, StatusCode};
use salvo::{Request, Response, Router};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::closers::CLOSE_MARK;
use super::runs::RequestRun;
use super::{BackendFaults, BackendMode, Shared};
use crate::servers::{answer, delay, read_json, refuse};

/// Header that carries the request key.
const KEY_HEADER: &str = "X-Request-Key";

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Request key, from the `X-Request-Key` header.
    pub key: Option<String>,
    /// XXH3-64 of the request's body.
    pub hash: u64,
    /// Life of the backend server.
    pub incarnation: Incarnation,
}

impl Shared {
    /// Runs a request and records it.
    async fn run(&self, echo: &Echo, time: Millis) {
        let run = RequestRun {
            key: echo.key.clone(),
            method: echo.method.clone(),
            path: echo.path.clone(),
            hash: echo.hash,
            started_at: self.clock.now(),
            ended_at: None,
        };
        let number = self.start(run);
        delay(time).await;
        self.end(number);
    }

    /// Records the start of a request. The number that run is published under the lock, so that
    /// a later number is never overwritten by an earlier one.
    fn start(&self, run: RequestRun) -> usize {
        let mut runs = self.lock();
        let (number, running) = runs.start(run);
        self.running.send_replace(running);
        number
    }

    fn end(&self, number: usize) {
        let mut runs = self.lock();
        let running = runs.end(number, self.clock.now());
        self.running.send_replace(running);
    }
}

/// Handles any path.
struct Serve {
    shared: Arc<Shared>,
    time: Millis,
}

#[handler]
impl Serve {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(echo) = self.echo(req).await else {
            refuse(
                res,
                StatusCode::BAD_REQUEST,
                "the body is incomplete or too large",
            );
            return;
        };
        let faults = *self.shared.faults.borrow();
        let shared = Arc::clone(&self.shared);
        let time = self.time + faults.added_delay;
        let run = async move {
            shared.run(&echo, time).await;
            echo
        };
        // In a task of its own, the request runs to its end even if the client disconnects.
        match tokio::spawn(run).await {
            Ok(echo) => render(res, &echo, faults).await,
            Err(e) => refuse(res, StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }
}

impl Serve {
    async fn echo(&self, req: &mut Request) -> Option<Echo> {
        let body = req
            .payload_with_max_size(limits::MAX_BODY_BYTES)
            .await
            .ok()?;
        let hash = xxh3_64(body);
        Some(Echo {
            method: req.method().to_string(),
            path: req.uri().path().to_owned(),
            key: req.header(KEY_HEADER),
            hash,
            incarnation: self.shared.incarnation,
        })
    }
}

async fn render(res: &mut Response, echo: &Echo, faults: BackendFaults) {
    match faults.mode {
        BackendMode::Normal => answer(res, StatusCode::OK, echo),
        BackendMode::Errors => refuse(res, StatusCode::INTERNAL_SERVER_ERROR, "injected error"),
        BackendMode::Hang => std::future::pending().await,
        BackendMode::Truncated => truncate(res, echo).await,
        BackendMode::CloseDelimited => {
            answer(res, StatusCode::OK, echo);
            let headers = res.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
            headers.insert(CLOSE_MARK, HeaderValue::from_static("1"));
        }
    }
}

/// Promises a whole body and breaks the connection after half of it.
async fn truncate(res: &mut Response, echo: &Echo) {
    let body = Bytes::from(serde_json::to_vec(echo).unwrap_or_default());
    let half = body.slice(..body.len() / 2);
    let json = HeaderValue::from_static("application/json");
    res.status_code(StatusCode::OK);
    res.headers_mut().insert(CONTENT_TYPE, json);
    res.headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    let (mut sender, body) = ResBody::channel();
    res.replace_body(body);
    let cut = io::Error::from(io::ErrorKind::ConnectionReset);
    tokio::spawn(async move {
        // A client that is gone needs no truncated body.
        let _gone = sender.send_data(half).await;
        sender.send_error(cut);
    });
}

/// Handles `GET /v1/ledger`.
struct Ledger(Arc<Shared>);

#[handler]
impl Ledger {
    async fn handle(&self, res: &mut Response) {
        answer(res, StatusCode::OK, self.0.ledger());
    }
}

/// Handles `POST /v1/faults`.
struct SetFaults(Arc<Shared>);

#[handler]
impl SetFaults {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Some(faults) = read_json::<BackendFaults>(req, res).await {
            self.0.faults.send_replace(faults);
            answer(res, StatusCode::OK, faults);
        }
    }
}

pub(super) fn router(shared: &Arc<Shared>, time: Millis) -> Router {
    let ledger = Router::with_path("v1/ledger").get(Ledger(Arc::clone(shared)));
    let faults = Router::with_path("v1/faults").post(SetFaults(Arc::clone(shared)));
    let serve = Router::with_path("{**rest}").goal(Serve {
        shared: Arc::clone(shared),
        time,
    });
    Router::new().push(ledger).push(faults).push(serve)
}
