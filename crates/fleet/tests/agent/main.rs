//! Tests of the agent's core.

mod backlogs;
mod identities;
mod orders;
mod probes;
mod speeds;
mod support;
