//! Tests of the entry against stand-ins of the platform, with real agents, in this process.

mod calls;
mod changes;
mod events;
mod fleet;
mod jobs;
mod metrics;
mod paths;
mod ports;
mod restarts;
mod retention;
