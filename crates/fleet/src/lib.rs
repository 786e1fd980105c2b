//! Daemons of the scheduler on the users' platform.
//!
//! An entry serves callers; one entry at a time is also the owner of all jobs. An agent runs beside
//! each worker. The cores ([`Election`], [`agents::Core`], `hyssop_jobs::Owner`) are state machines
//! without I/O that make the decisions; the drivers do the I/O. All durable state is kept in the
//! platform's store.

pub mod agents;
mod clocks;
mod elections;
pub mod entries;
mod messages;
mod metrics;
mod order_queues;
mod owners;
mod reloads;
mod servers;
mod sizes;

pub use elections::{
    Election, ElectionEvent, ElectionOptions, ElectionStep, OwnerRecord, OwnerRecordError,
};
pub use messages::{NumberedOrder, ReportReply, ReportRequest, RequestReply};
pub use order_queues::OrderQueue;
pub use reloads::{SettingField, changed_fields};
