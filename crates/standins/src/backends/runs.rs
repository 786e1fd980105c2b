//! Record of the requests that a backend server ran.

use std::collections::VecDeque;

use hyssop_core::{Incarnation, Millis};
use serde::{Deserialize, Serialize};

/// Most requests kept; the oldest are dropped first.
const MAX_RUNS: usize = 1 << 20;

/// A request that was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRun {
    /// Request key, from the `X-Request-Key` header.
    pub key: Option<String>,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// XXH3-64 of the body.
    pub hash: u64,
    /// Start, on the backend server's clock.
    #[serde(rename = "start")]
    pub started_at: Millis,
    /// End; `None` while it runs.
    #[serde(rename = "end")]
    pub ended_at: Option<Millis>,
}

/// Answer to `GET /v1/ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLedger {
    /// Life of the backend server.
    pub incarnation: Incarnation,
    /// Time since the Unix epoch at which the backend server's clock showed 0.
    #[serde(rename = "epoch")]
    pub clock_start: Millis,
    /// Most requests that ran at once.
    #[serde(rename = "peak")]
    pub max_running: u32,
    /// Requests, in the order in which they started.
    pub runs: Vec<RequestRun>,
}

/// Requests run so far.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: VecDeque<RequestRun>,
    /// Number of runs dropped from the front.
    dropped: usize,
    running: u32,
    max_running: u32,
}

impl Runs {
    /// Records the start of a request, and returns its number and the requests that run now.
    pub(super) fn start(&mut self, run: RequestRun) -> (usize, u32) {
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
            self.dropped += 1;
        }
        self.runs.push_back(run);
        self.running += 1;
        self.max_running = self.max_running.max(self.running);
        (self.dropped + self.runs.len() - 1, self.running)
    }

    /// Records the end of a request, and returns the requests that still run.
    pub(super) fn end(&mut self, number: usize, at: Millis) -> u32 {
        let place = number.checked_sub(self.dropped);
        if let Some(run) = place.and_then(|place| self.runs.get_mut(place)) {
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
