//! Starts and stops an entry.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::{CellId, Millis};
use hyssop_log::{LogClient, LogOptions};
use hyssop_plan::CellOptions;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use super::cells::{self, CellCall, CellDriver, CellParts};
use super::clocks::duration;
use super::confs::ConfDriver;
use super::http::HttpServer;
use super::shared::Shared;
use super::{EntryOptions, Error, Result, heartbeats, rpcs};
use crate::links::{self, RpcServer};
use crate::telemetry::Metrics;

/// Capacity of the queue of changes of the configuration.
const MAX_PENDING_WRITES: usize = 256;
/// Interval at which expired members and their links are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The last part of the shutdown limit, one in `RESIGN_TIME_DIVISOR`, is reserved for the cells to
/// resign.
const RESIGN_TIME_DIVISOR: u32 = 4;

/// A running entry. Dropping it aborts all tasks at once, as when the process is killed.
pub struct EntryHandle {
    shared: Arc<Shared>,
    http: HttpServer,
    rpc: RpcServer,
    /// Tasks that run for the lifetime of the entry.
    drivers: JoinSet<()>,
    /// Drivers of the cells; each ends after `stop` is set and its cell has resigned.
    cells: JoinSet<()>,
    stop: watch::Sender<bool>,
    shutdown_limit: Millis,
}

impl EntryHandle {
    /// Returns the bound address of the HTTP server for callers and operators.
    #[must_use]
    pub const fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the bound address of the RPC server for agents and the other entries.
    #[must_use]
    pub const fn rpc_address(&self) -> SocketAddr {
        self.rpc.address()
    }

    /// Waits until a task of the entry has ended unexpectedly, and returns the cause. The process
    /// should then call [`EntryHandle::stop`] and exit with an error, so that it is replaced.
    pub async fn wait_for_failure(&mut self) -> Error {
        let ended = tokio::select! {
            Some(ended) = self.drivers.join_next() => ended,
            Some(ended) = self.cells.join_next() => ended,
            else => Ok(()),
        };
        Error::TaskEnded(match ended {
            Ok(()) => "a driver returned".to_owned(),
            Err(e) => format!("a driver failed: {e}"),
        })
    }

    /// Stops gracefully: refuses new requests as not run, lets requests in flight finish, resigns
    /// the cells, and stops the servers, all within [`EntryOptions::shutdown_limit`].
    pub async fn stop(mut self) {
        let end = Instant::now() + duration(self.shutdown_limit);
        self.shared.begin_stop();
        let idle_deadline = end - duration(self.shutdown_limit) / RESIGN_TIME_DIVISOR;
        if timeout_at(idle_deadline, self.shared.wait_idle())
            .await
            .is_err()
        {
            log::warn!("requests are still in flight after their part of the shutdown limit");
        }
        self.stop.send_replace(true);
        let resigned = async { while self.cells.join_next().await.is_some() {} };
        if timeout_at(end, resigned).await.is_err() {
            log::warn!("cells have not resigned within the shutdown limit");
        }
        let left = end.saturating_duration_since(Instant::now());
        tokio::join!(self.http.stop(left), self.rpc.stop(left));
        self.drivers.shutdown().await;
    }
}

/// Starts an entry on the current runtime.
///
/// # Errors
///
/// Returns [`Error::Listen`] if an address cannot be listened on, and [`Error::Client`] if an
/// HTTP client cannot be set up.
pub async fn start(options: EntryOptions) -> Result<EntryHandle> {
    let http_listener = listen(options.http_address)?;
    let rpc = listen(options.rpc_address)?;
    let log = LogOptions::default().with_client_name(options.name.as_str());
    let log = LogClient::new(options.log_address.0.to_string(), log);
    let log = log.map_err(|e| Error::Client(e.to_string()))?;
    let (writes, changes) = mpsc::channel(MAX_PENDING_WRITES);
    let (calls, receivers) = cell_channels(&options.cells());
    let metrics = match &options.metrics {
        Some(metrics) => Arc::clone(metrics),
        None => Arc::new(metrics(&options)?),
    };
    let shared = Arc::new(Shared::new(&options, metrics, writes, calls));

    let mut drivers = JoinSet::new();
    let seed = options.seed ^ options.incarnation.0;
    let conf = ConfDriver::new(
        Arc::clone(&shared),
        log.clone(),
        changes,
        options.retention,
        seed,
    );
    drivers.spawn(conf.run());
    drivers.spawn(sweep_members(Arc::clone(&shared)));
    for (peer, _) in &options.peers {
        drivers.spawn(heartbeats::run(Arc::clone(&shared), peer.clone()));
    }
    let (stop, stopped) = watch::channel(false);
    let cells = start_cells(&options, &shared, &log, receivers, &stopped)?;
    let failed = |address: SocketAddr| {
        move |e: std::io::Error| Error::Listen {
            address,
            cause: e.to_string(),
        }
    };
    log::info!(entry:% = options.name, incarnation:% = options.incarnation; "the entry has started");
    Ok(EntryHandle {
        http: HttpServer::start(&shared, http_listener).map_err(failed(options.http_address))?,
        rpc: rpcs::start(Arc::clone(&shared), rpc).map_err(failed(options.rpc_address))?,
        shared,
        drivers,
        cells,
        stop,
        shutdown_limit: options.shutdown_limit,
    })
}

fn metrics(options: &EntryOptions) -> Result<Metrics> {
    let metrics = Metrics::new("hyssop-entry", options.name.as_str(), None);
    metrics.map_err(|e| Error::Metrics(e.to_string()))
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    links::listen(address).map_err(|e| Error::Listen {
        address,
        cause: e.to_string(),
    })
}

type Senders = BTreeMap<CellId, mpsc::Sender<CellCall>>;
type Receivers = Vec<(CellId, mpsc::Receiver<CellCall>)>;

fn cell_channels(cells: &[CellId]) -> (Senders, Receivers) {
    let mut senders = Senders::new();
    let mut receivers = Receivers::new();
    for cell in cells {
        let (sender, receiver) = mpsc::channel(cells::MAX_PENDING_CALLS);
        senders.insert(cell.clone(), sender);
        receivers.push((cell.clone(), receiver));
    }
    (senders, receivers)
}

fn start_cells(
    options: &EntryOptions,
    shared: &Arc<Shared>,
    log: &LogClient,
    receivers: Receivers,
    stop: &watch::Receiver<bool>,
) -> Result<JoinSet<()>> {
    let http = cells::worker_client().map_err(|e| Error::Client(e.to_string()))?;
    let mut drivers = JoinSet::new();
    for (index, (cell, calls)) in receivers.into_iter().enumerate() {
        let workers = options.workers.iter();
        let workers: HashMap<_, _> = workers
            .filter(|(_, of, _)| *of == cell)
            .map(|(name, _, address)| (name.clone(), *address))
            .collect();
        let mut names: Vec<_> = workers.keys().cloned().collect();
        names.sort_unstable();
        let core = CellOptions {
            cell,
            cells: shared.cells.clone(),
            workers: names,
            entry: options.name.clone(),
            incarnation: options.incarnation,
            // Each cell uses a seed of its own.
            seed: options.seed.wrapping_add(index as u64 + 1),
            poll_interval: options.poll_interval,
            retention: options.retention,
        };
        let parts = CellParts {
            options: core,
            log: log.clone(),
            http: http.clone(),
            workers,
            calls,
            stop: stop.clone(),
        };
        drivers.spawn(CellDriver::new(Arc::clone(shared), parts).run());
    }
    Ok(drivers)
}

async fn sweep_members(shared: Arc<Shared>) {
    let mut tick = interval(SWEEP_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        shared.sweep();
    }
}
