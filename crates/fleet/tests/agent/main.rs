//! Tests of the agent's core.

mod identities;
mod orders;
mod probes;
mod speeds;
mod support;
