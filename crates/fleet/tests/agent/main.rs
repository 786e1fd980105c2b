//! Tests of the agent's core.

mod orders;
mod probes;
mod speeds;
mod support;
