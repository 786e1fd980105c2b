//! Announcements from a backend server to its agent.

use std::time::Duration;

use hyssop_core::{BackendAck, BackendAnnouncement, Millis};
use reqwest::Client;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::BackendOptions;
use crate::Result;

/// Interval at which a backend server that shuts down asks its agent for the requests in flight.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one request to the agent, which runs on the same host.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive failed requests to leave after which the agent counts as lost.
const MAX_LEAVE_FAILURES: u32 = 10;

/// Client that registers and deregisters a backend server at its agent.
#[derive(Clone, Debug)]
pub(super) struct Announcer {
    http: Client,
    agent: String,
    announcement: BackendAnnouncement,
    announce_interval: Duration,
    leave_timeout: Duration,
}

impl Announcer {
    /// Creates an announcer, or `None` if the options name no agent.
    pub(super) fn new(
        options: &BackendOptions,
        announcement: BackendAnnouncement,
    ) -> Result<Option<Self>> {
        let Some(agent) = options.agent.clone() else {
            return Ok(None);
        };
        let http = Client::builder()
            .no_proxy()
            .timeout(AGENT_TIMEOUT)
            .build()?;
        let interval = options.announce_interval.max(Millis(1));
        Ok(Some(Self {
            http,
            agent,
            announcement,
            announce_interval: Duration::from_millis(interval.0),
            leave_timeout: Duration::from_millis(options.leave_timeout.0),
        }))
    }

    /// Sends announcements until the task is aborted. A failed one is not retried, because the next
    /// one follows after the interval.
    pub(super) async fn announce_periodically(self) {
        let mut ticks = interval(self.announce_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let _failed = self.post("announce").await;
        }
    }

    /// Deregisters the backend server. Returns when the agent has no requests in flight, does not
    /// respond any more, or the timeout has passed.
    pub(super) async fn leave(self) {
        // The backend server stops after the timeout in any case.
        let _elapsed = timeout(self.leave_timeout, self.wait_idle()).await;
    }

    async fn wait_idle(&self) {
        let mut ticks = interval(LEAVE_POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut failures = 0;
        while failures < MAX_LEAVE_FAILURES {
            ticks.tick().await;
            match self.post("leave").await {
                Ok(ack) if ack.inflight == 0 => return,
                Ok(_) => failures = 0,
                Err(_) => failures += 1,
            }
        }
    }

    async fn post(&self, what: &str) -> Result<BackendAck> {
        let url = format!("http://{}/v1/{what}", self.agent);
        let response = self.http.post(url).json(&self.announcement).send().await?;
        Ok(response.error_for_status()?.json().await?)
    }
}
