//! Tests of the agent's core.

mod descriptions;
mod orders;
mod probes;
mod speeds;
mod support;
