//! Options and injected faults of the backend server.

use hyssop_core::{Millis, ServiceName};
use serde::{Deserialize, Serialize};

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Service that the backend server announces.
    pub service: ServiceName,
    /// Address to listen on; port 0 takes any free port.
    pub listen: String,
    /// Address of the agent as `ip:port`; with `None` nothing is announced.
    pub agent: Option<String>,
    /// Announced number of requests that may run at once.
    pub slots: u32,
    /// Announced number of connections that may be open at once.
    pub connections: u32,
    /// Time that each request takes.
    pub service_time: Millis,
    /// Interval between announcements.
    pub announce_interval: Millis,
    /// Longest time that a graceful shutdown waits for the agent.
    pub leave_timeout: Millis,
    /// Faults injected from the start.
    pub faults: BackendFaults,
}

impl BackendOptions {
    /// Creates options with default values and without an agent.
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

    /// Sets the address of the agent, `ip:port`.
    #[must_use]
    pub fn with_agent(mut self, agent: impl Into<String>) -> Self {
        self.agent = Some(agent.into());
        self
    }

    /// Sets the announced limits of concurrent requests and of connections.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }

    /// Sets the time that each request takes.
    #[must_use]
    pub const fn with_service_time(mut self, service_time: Millis) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets the longest time that a graceful shutdown waits for the agent.
    #[must_use]
    pub const fn with_leave_timeout(mut self, leave_timeout: Millis) -> Self {
        self.leave_timeout = leave_timeout;
        self
    }

    /// Sets the interval between announcements.
    #[must_use]
    pub const fn with_announce_interval(mut self, announce_interval: Millis) -> Self {
        self.announce_interval = announce_interval;
        self
    }

    /// Sets the faults injected from the start.
    #[must_use]
    pub const fn with_faults(mut self, faults: BackendFaults) -> Self {
        self.faults = faults;
        self
    }
}

/// Response to a request that has run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendMode {
    /// A complete response with the echo.
    #[default]
    Normal,
    /// Half of the body that `Content-Length` declares; then the connection breaks.
    Truncated,
    /// A body that ends when the connection closes, without `Content-Length` or chunks.
    CloseDelimited,
    /// No response; the connection stays open.
    Hang,
    /// An error response with status 500.
    Errors,
}

/// Injected faults. `POST /v1/faults` replaces all of them; omitted fields are reset to no fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Response to requests that have run.
    pub mode: BackendMode,
    /// Time added to the service time of each request, in milliseconds.
    #[serde(rename = "slow")]
    pub added_delay: Millis,
}

impl BackendFaults {
    /// Sets the response to requests that have run.
    #[must_use]
    pub const fn with_mode(mut self, mode: BackendMode) -> Self {
        self.mode = mode;
        self
    }

    /// Sets the time added to the service time of each request.
    #[must_use]
    pub const fn with_added_delay(mut self, added_delay: Millis) -> Self {
        self.added_delay = added_delay;
        self
    }
}
