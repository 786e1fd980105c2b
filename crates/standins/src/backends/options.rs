//! Options and faults of the backend server.

use hyssop_core::{Millis, ServiceName};
use serde::{Deserialize, Serialize};

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Service.
    pub service: ServiceName,
    /// Address to listen on; port 0 takes any free port.
    pub listen: String,
    /// Address of the agent, `ip:port`; `None` to announce nothing.
    pub agent: Option<String>,
    /// Requests that it claims to run at once.
    pub slots: u32,
    /// Connections that it claims to keep open.
    pub connections: u32,
    /// Time that a request takes.
    pub service_time: Millis,
    /// Interval of the announcements.
    pub announce_interval: Millis,
    /// Longest wait for the agent when leaving.
    pub leave_timeout: Millis,
    /// Faults from the start.
    pub faults: BackendFaults,
}

impl BackendOptions {
    /// Creates options for a backend server of a service.
    #[must_use]
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            listen: "127.0.0.1:0".to_owned(),
            agent: None,
            slots: 8,
            connections: 64,
            service_time: Millis(5),
            announce_interval: Millis(1_000),
            leave_timeout: Millis(60_000),
            faults: BackendFaults::default(),
        }
    }

    /// Sets the address to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: impl Into<String>) -> Self {
        self.listen = listen.into();
        self
    }

    /// Sets the address of the agent.
    #[must_use]
    pub fn with_agent(mut self, agent: impl Into<String>) -> Self {
        self.agent = Some(agent.into());
        self
    }

    /// Sets the announced slots and connections.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }

    /// Sets the time that a request takes.
    #[must_use]
    pub const fn with_service_time(mut self, service_time: Millis) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets the longest wait for the agent when leaving.
    #[must_use]
    pub const fn with_leave_timeout(mut self, leave_timeout: Millis) -> Self {
        self.leave_timeout = leave_timeout;
        self
    }

    /// Sets the interval of the announcements.
    #[must_use]
    pub const fn with_announce_interval(mut self, announce_interval: Millis) -> Self {
        self.announce_interval = announce_interval;
        self
    }

    /// Sets faults from the start.
    #[must_use]
    pub const fn with_faults(mut self, faults: BackendFaults) -> Self {
        self.faults = faults;
        self
    }
}

/// How requests are answered once they have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendMode {
    /// With the echo.
    #[default]
    Normal,
    /// With half of the body that `Content-Length` promises; then the connection breaks.
    Truncated,
    /// With a body that ends when the connection closes, without `Content-Length` or chunks.
    CloseDelimited,
    /// Not at all; the connection stays open.
    Hang,
    /// With status 500.
    Errors,
}

/// Faults in force. A `POST /v1/faults` replaces all of them; fields left out are off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// How requests are answered.
    pub mode: BackendMode,
    /// Time that a request takes in addition, in milliseconds.
    #[serde(rename = "slow")]
    pub added_delay: Millis,
}

impl BackendFaults {
    /// Sets how requests are answered.
    #[must_use]
    pub const fn with_mode(mut self, mode: BackendMode) -> Self {
        self.mode = mode;
        self
    }

    /// Sets the time that a request takes in addition.
    #[must_use]
    pub const fn with_added_delay(mut self, added_delay: Millis) -> Self {
        self.added_delay = added_delay;
        self
    }
}
