//! Faults that the log service injects.

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

/// Faults in force. A `POST /v1/faults` replaces all of them; fields left out are off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Every request is refused with 503 and has no effect.
    pub down: bool,
    /// Delay of each request before it takes effect, in milliseconds. It takes effect even if the
    /// client has given up in the meantime.
    pub slow: Millis,
    /// Number of next appends that take effect and whose answer is cut off.
    pub lose: u32,
    /// Clients, by their `X-Client` header, that are refused with 403.
    pub refuse: Vec<String>,
}

impl LogFaults {
    /// Refuses every request.
    #[must_use]
    pub const fn with_down(mut self) -> Self {
        self.down = true;
        self
    }

    /// Delays each request.
    #[must_use]
    pub const fn with_slow(mut self, slow: Millis) -> Self {
        self.slow = slow;
        self
    }

    /// Loses the answers of the next appends.
    #[must_use]
    pub const fn with_lose(mut self, lose: u32) -> Self {
        self.lose = lose;
        self
    }

    /// Refuses a client.
    #[must_use]
    pub fn with_refused(mut self, client: impl Into<String>) -> Self {
        self.refuse.push(client.into());
        self
    }
}
