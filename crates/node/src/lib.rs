//! Root of the crate; modules follow.

pub mod settings;
pub mod telemetry;
