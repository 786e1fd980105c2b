//! Polls of workers over HTTP.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::{Fenced, Millis, PollReply, PollRequest, WorkerName};
use hyssop_plan::Input;
use reqwest::{Client, Response, StatusCode};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// Longest wait for a worker, below the time after which the core gives a poll up.
const POLL_LIMIT: Duration = Duration::from_millis(1_800);
/// Longest wait for a connection to a worker.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Largest answer that is read, in bytes.
const MAX_REPLY: usize = 8 * 1024 * 1024;

/// Creates the HTTP client for workers.
pub(crate) fn client() -> reqwest::Result<Client> {
    Client::builder()
        .connect_timeout(CONNECT_LIMIT)
        .timeout(POLL_LIMIT)
        // A proxy from the environment would break the rule on where traffic goes.
        .no_proxy()
        // The core repeats polls with a new stamp.
        .retry(reqwest::retry::never())
        .build()
}

/// Sends polls and reports the answers.
pub(crate) struct Pollster {
    http: Client,
    workers: HashMap<WorkerName, SocketAddr>,
    answers: mpsc::UnboundedSender<Input>,
}

impl Pollster {
    /// Creates a sender of polls.
    pub(crate) const fn new(
        http: Client,
        workers: HashMap<WorkerName, SocketAddr>,
        answers: mpsc::UnboundedSender<Input>,
    ) -> Self {
        Self {
            http,
            workers,
            answers,
        }
    }

    /// Polls a worker.
    pub(crate) fn poll(&self, sent: Millis, worker: WorkerName, request: PollRequest) {
        let Some(address) = self.workers.get(&worker).copied() else {
            // A worker that is no longer in the settings is one that does not answer.
            let _ended = self.answers.send(Input::PollFailed {
                worker,
                sent_at: sent,
            });
            return;
        };
        let (http, answers) = (self.http.clone(), self.answers.clone());
        tokio::spawn(async move {
            let input = exchange(&http, address, sent, worker, &request).await;
            // A closed channel means that the driver has ended.
            let _ended = answers.send(input);
        });
    }
}

async fn exchange(
    http: &Client,
    address: SocketAddr,
    sent: Millis,
    worker: WorkerName,
    request: &PollRequest,
) -> Input {
    let url = format!("http://{address}/v1/poll");
    let response = http.post(url).json(request).send().await;
    let response = match response {
        Ok(response) => response,
        Err(e) => {
            log::debug!(worker = worker.as_str(); "poll failed: {e}");
            return Input::PollFailed {
                worker,
                sent_at: sent,
            };
        }
    };
    match response.status() {
        StatusCode::OK => match body::<PollReply>(response).await {
            Some(reply) => Input::Polled {
                worker,
                sent_at: sent,
                reply,
            },
            None => Input::PollFailed {
                worker,
                sent_at: sent,
            },
        },
        StatusCode::CONFLICT => match body::<Fenced>(response).await {
            Some(Fenced { term }) => Input::Fenced { worker, term },
            None => Input::PollFailed {
                worker,
                sent_at: sent,
            },
        },
        status => {
            log::debug!(worker = worker.as_str(); "poll refused with status {status}");
            Input::PollFailed {
                worker,
                sent_at: sent,
            }
        }
    }
}

/// Reads a JSON body of bounded size.
async fn body<T: DeserializeOwned>(mut response: Response) -> Option<T> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if bytes.len() + chunk.len() > MAX_REPLY {
            return None;
        }
        bytes.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&bytes).ok()
}
