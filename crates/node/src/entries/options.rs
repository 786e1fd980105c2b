//! Options of an entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::limits::WORKER_POLL_INTERVAL;
use hyssop_core::{CellId, DomainName, EntryName, Incarnation, Millis, WorkerName};

use crate::settings::{HttpBase, Secret, Tokens};
use crate::telemetry::Metrics;

/// What an entry needs to know when it starts.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Name of the entry, the same after a restart.
    pub name: EntryName,
    /// Life of the process; random in production.
    pub incarnation: Incarnation,
    /// Seed of all random choices; unpredictable in production.
    pub seed: u64,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address for the HTTP requests of callers and operators.
    pub http_address: SocketAddr,
    /// Address for the other entries and the agents.
    pub rpc_address: SocketAddr,
    /// All other entries with their RPC addresses.
    pub peers: Vec<(EntryName, SocketAddr)>,
    /// Log service of the platform.
    pub log_address: HttpBase,
    /// Workers with their cells and HTTP addresses.
    pub workers: Vec<(WorkerName, CellId, SocketAddr)>,
    /// All failure domains.
    pub domains: BTreeSet<DomainName>,
    /// Tokens of the teams.
    pub tokens: Tokens,
    /// Token of the operators of the fleet.
    pub operator_token: Secret,
    /// Time for which the log keeps records.
    pub retention: Millis,
    /// Interval of polls of an idle worker.
    pub poll_interval: Millis,
    /// Longest wait of a stop for requests in flight and the resignation of cells.
    pub shutdown_limit: Millis,
    /// Metrics of the process; `None` for metrics that are served on `/metrics` only.
    pub metrics: Option<Arc<Metrics>>,
}

impl EntryOptions {
    /// Creates options for an entry without peers and workers that listens on free ports of the
    /// loopback address.
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

    /// Returns the cells: shard 0 of each failure domain and those of the workers.
    pub(crate) fn cells(&self) -> Vec<CellId> {
        let first = self.domains.iter();
        let first = first.map(|domain| CellId::new(domain.clone(), 0));
        let named = self.workers.iter().map(|(_, cell, _)| cell.clone());
        let cells: BTreeSet<_> = first.chain(named).collect();
        cells.into_iter().collect()
    }
}
