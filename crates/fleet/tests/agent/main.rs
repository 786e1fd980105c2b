//! Tests of the agent's core.

mod acknowledgements;
mod backlogs;
mod canaries;
mod descriptions;
mod frames;
mod identities;
mod isolations;
mod late_starts;
mod orders;
mod probes;
mod speeds;
mod support;
mod unreadable;
