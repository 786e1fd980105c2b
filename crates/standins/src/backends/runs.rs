//! Ledger of the requests that a backend server ran.

use std::collections::VecDeque;

use hyssop_core::{Incarnation, Millis};
use serde::{Deserialize, Serialize};

/// Maximum number of recorded requests; the oldest are dropped first.
const MAX_RECORDED_RUNS: usize = 1 << 20;

/// A request that has started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// Request key from the `X-Request-Key` header, if the request has one.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path without its query.
    pub path: String,
    /// XXH3-64 hash of the request body.
    pub hash: u64,
    /// Start time on the backend server's clock.
    #[serde(rename = "start")]
    pub started_at: Millis,
    /// End time on the backend server's clock; `None` while the request is running.
    #[serde(rename = "end")]
    pub ended_at: Option<Millis>,
}

/// Response to `GET /v1/ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLedger {
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Unix time at which the backend server's clock showed 0.
    #[serde(rename = "epoch")]
    pub clock_start: Millis,
    /// Highest number of requests that ran at once.
    #[serde(rename = "peak")]
    pub max_running: u32,
    /// Recorded requests in the order in which they started.
    pub runs: Vec<RequestRun>,
}

/// Requests that have started so far.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: VecDeque<RequestRun>,
    /// Number of runs dropped from the front.
    dropped: usize,
    running: u32,
    max_running: u32,
}

impl Runs {
    /// Records the start of a request. Returns its number and the count of running requests.
    pub(super) fn start(&mut self, run: RequestRun) -> (usize, u32) {
        if self.runs.len() >= MAX_RECORDED_RUNS {
            self.runs.pop_front();
            self.dropped += 1;
        }
        self.runs.push_back(run);
        self.running += 1;
        self.max_running = self.max_running.max(self.running);
        (self.dropped + self.runs.len() - 1, self.running)
    }

    /// Records the end of a request. Returns the count of requests that are still running.
    pub(super) fn end(&mut self, number: usize, at: Millis) -> u32 {
        let index = number.checked_sub(self.dropped);
        if let Some(run) = index.and_then(|index| self.runs.get_mut(index)) {
            run.ended_at = Some(at);
        }
        self.running -= 1;
        self.running
    }

    pub(super) fn ledger(&self, incarnation: Incarnation, clock_start: Millis) -> BackendLedger {
        BackendLedger {
            incarnation,
            clock_start,
            max_running: self.max_running,
            runs: self.runs.iter().cloned().collect(),
        }
    }
}
