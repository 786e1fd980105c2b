//! Polls workers over HTTP.

use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::{Fenced, Millis, PollReply, PollRequest, WorkerName};
use hyssop_plan::Input;
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// Longest duration of a poll. It is shorter than the time after which the core gives a poll up.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Longest wait for a connection to a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest poll reply that is read.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Creates the HTTP client for workers.
pub(crate) fn client() -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(POLL_TIMEOUT)
        // Polls must go to the workers directly, whatever proxy the environment names.
        .no_proxy()
        // The core repeats polls itself, with a new timestamp each time.
        .retry(reqwest::retry::never())
        .build()
}

/// Sends polls and passes the replies to the core's input channel.
pub(crate) struct WorkerPoller {
    http: Client,
    workers: HashMap<WorkerName, SocketAddr>,
    input_sender: mpsc::UnboundedSender<Input>,
}

impl WorkerPoller {
    /// Creates a poller. `workers` holds the HTTP addresses of the configured workers.
    pub(crate) const fn new(
        http: Client,
        workers: HashMap<WorkerName, SocketAddr>,
        input_sender: mpsc::UnboundedSender<Input>,
    ) -> Self {
        Self {
            http,
            workers,
            input_sender,
        }
    }

    /// Polls a worker in a background task. The reply or failure becomes an input of the core.
    pub(crate) fn poll(&self, sent_at: Millis, worker: WorkerName, request: PollRequest) {
        let Some(address) = self.workers.get(&worker).copied() else {
            // A worker that is no longer configured counts as one that does not reply.
            let _closed = self
                .input_sender
                .send(Input::PollFailed { worker, sent_at });
            return;
        };
        let (http, input_sender) = (self.http.clone(), self.input_sender.clone());
        tokio::spawn(async move {
            let input = send_poll(&http, address, sent_at, worker, &request).await;
            // A closed channel means that the driver has ended.
            let _closed = input_sender.send(input);
        });
    }
}

async fn send_poll(
    http: &Client,
    address: SocketAddr,
    sent_at: Millis,
    worker: WorkerName,
    request: &PollRequest,
) -> Input {
    let url = format!("http://{address}/v1/poll");
    let response = http.post(url).json(request).send().await;
    let response = match response {
        Ok(response) => response,
        Err(e) => {
            log::debug!(worker = worker.as_str(); "poll failed: {e}");
            return if is_refused(&e) {
                Input::PollRefused { worker, sent_at }
            } else {
                Input::PollFailed { worker, sent_at }
            };
        }
    };
    match response.status() {
        StatusCode::OK => match read_json::<PollReply>(response).await {
            Some(reply) => Input::Polled {
                worker,
                sent_at,
                reply,
            },
            None => Input::PollFailed { worker, sent_at },
        },
        StatusCode::CONFLICT => match read_json::<Fenced>(response).await {
            Some(Fenced { term }) => Input::Fenced { worker, term },
            None => Input::PollFailed { worker, sent_at },
        },
        status => {
            log::debug!(worker = worker.as_str(); "poll refused with status {status}");
            Input::PollFailed { worker, sent_at }
        }
    }
}

/// Returns whether the host refused the connection, because no process listens there.
fn is_refused(e: &reqwest::Error) -> bool {
    let mut cause = e.source();
    while let Some(e) = cause {
        let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = e.source();
    }
    false
}

/// Reads a JSON body of bounded size.
async fn read_json<T: DeserializeOwned>(mut response: Response) -> Option<T> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if bytes.len() + chunk.len() > MAX_REPLY_BYTES {
            return None;
        }
        bytes.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&bytes).ok()
}
