//! Start options of an entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::limits::WORKER_POLL_INTERVAL;
use hyssop_core::{CellId, DomainName, EntryName, Incarnation, Millis, WorkerName};

use crate::settings::{HttpBase, Secret, Tokens};
use crate::telemetry::Metrics;

/// Options of an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Name of the entry, the same after a restart.
    pub name: EntryName,
    /// Incarnation of the process; a new random value for each start in production.
    pub incarnation: Incarnation,
    /// Seed of all random choices; random in production.
    pub seed: u64,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address on which the HTTP server for callers and operators listens.
    pub http_address: SocketAddr,
    /// Address on which the RPC server for agents and the other entries listens.
    pub rpc_address: SocketAddr,
    /// All other entries with their RPC addresses.
    pub peers: Vec<(EntryName, SocketAddr)>,
    /// Base address of the platform's log service.
    pub log_address: HttpBase,
    /// Workers with their cells and HTTP addresses.
    pub workers: Vec<(WorkerName, CellId, SocketAddr)>,
    /// All failure domains, in service or not.
    pub domains: BTreeSet<DomainName>,
    /// Tokens of the teams.
    pub tokens: Tokens,
    /// Token of the operators, who may act on behalf of any team.
    pub operator_token: Secret,
    /// Time for which the log keeps records; snapshots are written more often than that.
    pub retention: Millis,
    /// Interval between polls of an idle worker.
    pub poll_interval: Millis,
    /// Longest duration of [`EntryHandle::stop`](super::EntryHandle::stop).
    pub shutdown_limit: Millis,
    /// Metrics of the process; with `None` the entry creates metrics that are only served on
    /// `/metrics`.
    pub metrics: Option<Arc<Metrics>>,
}

impl EntryOptions {
    /// Creates options for an entry without peers and workers that listens on free loopback ports,
    /// with a random incarnation and seed.
    #[must_use]
    pub fn new(
        name: EntryName,
        domain: DomainName,
        log_address: HttpBase,
        operator_token: Secret,
    ) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            incarnation: Incarnation(rand::random()),
            seed: rand::random(),
            domains: BTreeSet::from([domain.clone()]),
            domain,
            http_address: free,
            rpc_address: free,
            peers: Vec::new(),
            log_address,
            workers: Vec::new(),
            tokens: Tokens::default(),
            operator_token,
            retention: Millis(3_600_000),
            poll_interval: WORKER_POLL_INTERVAL,
            shutdown_limit: Millis(30_000),
            metrics: None,
        }
    }

    /// Returns all cells in order: shard 0 of each failure domain and the cells of the workers.
    pub(crate) fn cells(&self) -> Vec<CellId> {
        let first = self.domains.iter();
        let first = first.map(|domain| CellId::new(domain.clone(), 0));
        let named = self.workers.iter().map(|(_, cell, _)| cell.clone());
        let cells: BTreeSet<_> = first.chain(named).collect();
        cells.into_iter().collect()
    }
}
