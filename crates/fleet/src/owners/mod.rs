//! Ownership of the jobs: the election of the owner, and the driver of the owner's core.

mod batches;
mod drivers;
mod ownerships;
mod services;
mod writers;

pub(crate) use drivers::OwnerEvent;
pub(crate) use ownerships::{
    Ownership, announce_entry, follow_peers, query_entries, read_entries, read_owner_record,
    run_election,
};
pub(crate) use services::Services;

/// Topic of the owner record.
const OWNER_TOPIC: &str = "keyed.owner";
/// Key of the owner record.
const OWNER_KEY: &str = "owner";
/// Topic with the addresses of the entries, by host.
const ENTRIES_TOPIC: &str = "keyed.entries";
/// Topic with the jobs.
const JOBS_TOPIC: &str = "keyed.jobs";
/// Writer name that all owners share; their epochs tell them apart.
const WRITER: &str = "owner";
