//! Start and stop of the daemons as processes.

use std::io;
use std::sync::Arc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_blocking;

use super::{agent_options, entry_options};
use crate::settings::{AgentSettings, EntrySettings, HttpBase, LogSettings};
use crate::telemetry::{self, Metrics, init_logs};
use crate::{agents, entries};

/// Result of a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a daemon ends other than by a stop.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// Log lines or metrics cannot be set up.
    #[error(transparent)]
    Telemetry(#[from] telemetry::Error),
    /// The signals cannot be caught.
    #[error("signals: {0}")]
    Signals(#[from] io::Error),
    /// The entry cannot start.
    #[error(transparent)]
    Entry(#[from] entries::Error),
    /// The agent cannot start.
    #[error(transparent)]
    Agent(#[from] agents::AgentError),
}

/// Runs an entry until SIGTERM or SIGINT, and then stops it in order.
///
/// # Errors
///
/// Returns [`Error`] if the entry cannot start, or if a part of it has ended by a fault. The rest
/// is then stopped in order as well, so that its cells are handed over.
pub async fn run_entry(settings: EntrySettings) -> Result<()> {
    let name = settings.name.clone();
    let metrics = telemetry(
        "hyssop-entry",
        name.as_str(),
        settings.log_lines,
        settings.otlp,
    )?;
    let mut stop = Stop::new()?;
    let mut options = entry_options(settings);
    options.metrics = Some(Arc::clone(&metrics));
    let mut entry = entries::start(options).await?;
    log::info!(entry:% = name, http:% = entry.http_address(), rpc:% = entry.rpc_address(); "listening");
    let failure = tokio::select! {
        () = stop.wait() => None,
        failure = entry.wait_for_failure() => Some(failure),
    };
    if let Some(failure) = &failure {
        log::error!(entry:% = name; "stopping after a fault: {failure}");
    }
    entry.stop().await;
    log::info!(entry:% = name; "stopped");
    close(metrics).await;
    failure.map_or(Ok(()), |failure| Err(failure.into()))
}

/// Runs an agent until SIGTERM or SIGINT, and then stops it in order.
///
/// # Errors
///
/// Returns [`Error`] if the agent cannot start.
pub async fn run_agent(settings: AgentSettings) -> Result<()> {
    let name = settings.name.clone();
    let metrics = telemetry(
        "hyssop-agent",
        name.as_str(),
        settings.log_lines,
        settings.otlp,
    )?;
    let mut stop = Stop::new()?;
    let agent = agents::start(agent_options(settings)).await?;
    let (http, rpc) = (agent.local_address(), agent.rpc_address());
    log::info!(agent:% = name, http:% = http, rpc:% = rpc; "listening");
    stop.wait().await;
    agent.stop().await;
    log::info!(agent:% = name; "stopped");
    close(metrics).await;
    Ok(())
}

fn telemetry(
    program: &'static str,
    name: &str,
    lines: LogSettings,
    collector: Option<HttpBase>,
) -> Result<Arc<Metrics>> {
    init_logs(&lines)?;
    Ok(Arc::new(Metrics::new(program, name, collector)?))
}

/// Sends the last values of the metrics. A collector that is gone must not fail the stop.
async fn close(metrics: Arc<Metrics>) {
    match spawn_blocking(move || metrics.shutdown()).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("last export of the metrics: {error}"),
        Err(error) => log::warn!("last export of the metrics: {error}"),
    }
}

/// The signals that stop a daemon.
struct Stop {
    term: Signal,
    interrupt: Signal,
}

impl Stop {
    /// Catches the signals from now on, so that one that arrives during the start is not lost.
    fn new() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait(&mut self) {
        let name = tokio::select! {
            _ = self.term.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        };
        log::info!("{name}: stopping");
    }
}
