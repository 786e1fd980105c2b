//! The owner of all jobs: who it is, and the driver of its core.

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

/// Topic with the record of the owner.
const OWNER_TOPIC: &str = "keyed.owner";
/// Key of that record.
const OWNER_KEY: &str = "owner";
/// Topic with the addresses of the entries, by host.
const ENTRIES_TOPIC: &str = "keyed.entries";
/// Topic with the jobs.
const JOBS_TOPIC: &str = "keyed.jobs";
/// Name under which all owners write jobs; the epoch tells them apart.
const WRITER: &str = "owner";
