//! Faults that the log service injects.

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

/// Faults in force. A `POST /v1/faults` replaces all of them; fields left out are off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Every request is refused with 503 and has no effect.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Delay of each request before it takes effect, in milliseconds. It takes effect even if the
    /// client has given up in the meantime.
    #[serde(rename = "slow")]
    pub delay: Millis,
    /// Number of next appends that take effect and whose answer is cut off.
    #[serde(rename = "lose")]
    pub lost_responses: u32,
    /// Clients, by their `X-Client` header, that are refused with 403.
    #[serde(rename = "refuse")]
    pub refused_clients: Vec<String>,
}

impl LogFaults {
    /// Refuses every request.
    #[must_use]
    pub const fn with_down(mut self) -> Self {
        self.is_down = true;
        self
    }

    /// Delays each request.
    #[must_use]
    pub const fn with_delay(mut self, delay: Millis) -> Self {
        self.delay = delay;
        self
    }

    /// Loses the answers of the next appends.
    #[must_use]
    pub const fn with_lost_responses(mut self, lost_responses: u32) -> Self {
        self.lost_responses = lost_responses;
        self
    }

    /// Refuses a client.
    #[must_use]
    pub fn with_refused_client(mut self, client: impl Into<String>) -> Self {
        self.refused_clients.push(client.into());
        self
    }
}
