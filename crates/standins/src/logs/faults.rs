//! Faults injected into the log service.

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

/// Injected faults. `POST /v1/faults` replaces all of them; omitted fields are reset to no fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Every request fails with 503 and has no effect.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Delay before each request takes effect, in milliseconds. An append takes effect even if the
    /// client has disconnected in the meantime.
    #[serde(rename = "slow")]
    pub delay: Millis,
    /// Number of following appends that take effect but whose response is lost with the connection.
    #[serde(rename = "lose")]
    pub lost_responses: u32,
    /// Clients whose requests fail with 403, by their `X-Client` header.
    #[serde(rename = "refuse")]
    pub refused_clients: Vec<String>,
}

impl LogFaults {
    /// Makes every request fail with 503.
    #[must_use]
    pub const fn with_down(mut self) -> Self {
        self.is_down = true;
        self
    }

    /// Sets the delay of each request.
    #[must_use]
    pub const fn with_delay(mut self, delay: Millis) -> Self {
        self.delay = delay;
        self
    }

    /// Sets the number of following appends whose response is lost.
    #[must_use]
    pub const fn with_lost_responses(mut self, lost_responses: u32) -> Self {
        self.lost_responses = lost_responses;
        self
    }

    /// Adds a client whose requests fail with 403.
    #[must_use]
    pub fn with_refused_client(mut self, client: impl Into<String>) -> Self {
        self.refused_clients.push(client.into());
        self
    }
}
