//! Conversion of checked settings into the options of an entry or an agent.

use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::EntryName;

use crate::agents::AgentOptions;
use crate::entries::EntryOptions;
use crate::settings::{AgentSettings, EntryAddress, EntrySettings};

/// Returns the options of an entry, with a new incarnation and random seed.
#[must_use]
pub fn entry_options(settings: EntrySettings) -> EntryOptions {
    let base = EntryOptions::new(
        settings.name,
        settings.domain,
        settings.log,
        settings.operator_token,
    );
    let workers = settings.workers.into_iter();
    let workers = workers.map(|worker| (worker.name, worker.cell, worker.base_url.0));
    EntryOptions {
        http_address: settings.listen,
        rpc_address: settings.rpc,
        peers: addresses(settings.peers),
        workers: workers.collect(),
        domains: settings.domains,
        tokens: settings.tokens,
        retention: settings.retention,
        poll_interval: settings.worker_poll,
        shutdown_limit: settings.shutdown_limit,
        ..base
    }
}

/// Returns the options of an agent. Values that aren't settings have their defaults.
#[must_use]
pub fn agent_options(settings: AgentSettings) -> AgentOptions {
    let base = AgentOptions::new(
        settings.name,
        settings.domain,
        settings.rack,
        settings.service,
        settings.listen,
        settings.rpc,
    );
    AgentOptions {
        entries: addresses(settings.entries),
        announce_interval: Duration::from_millis(settings.announce_interval.0),
        shutdown_limit: Duration::from_millis(settings.shutdown_limit.0),
        ..base
    }
}

fn addresses(entries: Vec<EntryAddress>) -> Vec<(EntryName, SocketAddr)> {
    let pairs = entries.into_iter();
    pairs.map(|entry| (entry.name, entry.address)).collect()
}
