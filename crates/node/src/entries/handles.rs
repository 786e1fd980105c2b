//! Start and stop of an entry.

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

/// Changes of the configuration that may wait.
const WRITES: usize = 256;
/// Interval at which members that are gone are forgotten.
const SWEEP: Duration = Duration::from_secs(1);
/// Part of the limit of a stop, as a divisor, that is kept for the resignation of the cells.
const RESIGN_PART: u32 = 4;

/// A running entry; it ends at once, as a killed process does, when dropped.
pub struct EntryHandle {
    shared: Arc<Shared>,
    http: HttpServer,
    rpc: RpcServer,
    /// Drivers that run until the entry ends.
    drivers: JoinSet<()>,
    /// Drivers of the cells, which end when the cells are given up.
    cells: JoinSet<()>,
    stop: watch::Sender<bool>,
    limit: Millis,
}

impl EntryHandle {
    /// Returns the address for callers and operators.
    #[must_use]
    pub const fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the address for agents and the other entries.
    #[must_use]
    pub const fn rpc_address(&self) -> SocketAddr {
        self.rpc.address()
    }

    /// Waits until a part of the entry has ended by a fault, and returns which and why. A process
    /// whose entry has lost a part should stop it and end with an error, so that it is replaced.
    pub async fn wait_for_failure(&mut self) -> Error {
        let ended = tokio::select! {
            Some(ended) = self.drivers.join_next() => ended,
            Some(ended) = self.cells.join_next() => ended,
            else => Ok(()),
        };
        Error::TaskEnded(match ended {
            Ok(()) => "a driver returned".to_owned(),
            Err(e) => format!("a driver was lost: {e}"),
        })
    }

    /// Stops in order: new requests are refused as not run, requests in flight finish, the cells
    /// are given up, and the servers end; all within the limit of the options.
    pub async fn stop(mut self) {
        let end = Instant::now() + duration(self.limit);
        self.shared.begin_stop();
        let idle = end - duration(self.limit) / RESIGN_PART;
        if timeout_at(idle, self.shared.idle()).await.is_err() {
            log::warn!("requests are still in flight at the limit of the stop");
        }
        self.stop.send_replace(true);
        let resigned = async { while self.cells.join_next().await.is_some() {} };
        if timeout_at(end, resigned).await.is_err() {
            log::warn!("cells were not given up within the limit of the stop");
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
    let web = listen(options.http_address)?;
    let rpc = listen(options.rpc_address)?;
    let log = LogOptions::default().with_client_name(options.name.as_str());
    let log = LogClient::new(options.log_address.0.to_string(), log);
    let log = log.map_err(|e| Error::Client(e.to_string()))?;
    let (writes, changes) = mpsc::channel(WRITES);
    let (calls, receivers) = channels(&options.cells());
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
    drivers.spawn(sweep(Arc::clone(&shared)));
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
        http: HttpServer::start(&shared, web).map_err(failed(options.http_address))?,
        rpc: rpcs::start(Arc::clone(&shared), rpc).map_err(failed(options.rpc_address))?,
        shared,
        drivers,
        cells,
        stop,
        limit: options.shutdown_limit,
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

fn channels(cells: &[CellId]) -> (Senders, Receivers) {
    let mut senders = Senders::new();
    let mut receivers = Receivers::new();
    for cell in cells {
        let (sender, receiver) = mpsc::channel(cells::CALLS);
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
            // Each cell has random numbers of its own.
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

async fn sweep(shared: Arc<Shared>) {
    let mut tick = interval(SWEEP);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        shared.sweep();
    }
}
