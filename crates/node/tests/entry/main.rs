//! Tests of the entry in this process, with real agents and stand-ins of the platform.

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
