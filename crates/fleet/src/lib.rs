//! Daemons on the users' platform.
//!
//! An entry serves callers; one entry at a time also owns all jobs. An agent stands beside each
//! worker. The cores ([`Election`], [`agents::Core`], `hyssop_jobs::Owner`) decide; the drivers move
//! bytes. What must last is in the platform's store.

pub mod agents;
mod clocks;
mod elections;
pub mod entries;
mod messages;
mod metrics;
mod owners;
mod reloads;
mod servers;

pub use elections::{Election, ElectionEvent, ElectionOptions, ElectionStep, OwnerRecord};
pub use messages::{NumberedOrder, ReportReply, ReportRequest, RequestReply};
pub use reloads::{SettingField, changed_fields};
