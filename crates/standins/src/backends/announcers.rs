//! Announcements of a backend server to its agent.

use std::time::Duration;

use hyssop_core::{BackendAck, BackendAnnounce, Millis};
use reqwest::Client;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::BackendOptions;
use crate::Result;

/// Interval at which a leaving backend server asks its agent whether anything is in flight.
const LEAVE_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for one answer of the agent, which is on the same host.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Unanswered leaves in a row after which the agent is taken for gone.
const MAX_FAILURES: u32 = 10;

/// Tells an agent about a backend server.
#[derive(Clone, Debug)]
pub(super) struct Announcer {
    http: Client,
    agent: String,
    announce: BackendAnnounce,
    every: Duration,
    leave: Duration,
}

impl Announcer {
    /// Creates an announcer, or `None` if the options name no agent.
    pub(super) fn new(options: &BackendOptions, announce: BackendAnnounce) -> Result<Option<Self>> {
        let Some(agent) = options.agent.clone() else {
            return Ok(None);
        };
        let http = Client::builder()
            .no_proxy()
            .timeout(AGENT_TIMEOUT)
            .build()?;
        let every = options.announce_interval.max(Millis(1));
        Ok(Some(Self {
            http,
            agent,
            announce,
            every: Duration::from_millis(every.0),
            leave: Duration::from_millis(options.leave_timeout.0),
        }))
    }

    /// Announces until the task is aborted. A lost announcement is made up for by the next one.
    pub(super) async fn announce(self) {
        let mut ticks = interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let _lost = self.post("announce").await;
        }
    }

    /// Leaves, and returns when the agent has nothing in flight, is gone, or the wait is over.
    pub(super) async fn leave(self) {
        // When the wait is over the backend server stops in any case.
        let _over = timeout(self.leave, self.wait_idle()).await;
    }

    async fn wait_idle(&self) {
        let mut ticks = interval(LEAVE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut failures = 0;
        while failures < MAX_FAILURES {
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
        let sent = self.http.post(url).json(&self.announce).send().await?;
        Ok(sent.error_for_status()?.json().await?)
    }
}
