//! Start and stop of the daemon processes.

use std::io;
use std::sync::Arc;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_blocking;

use super::{agent_options, entry_options};
use crate::settings::{AgentSettings, EntrySettings, HttpBase, LogSettings};
use crate::telemetry::{self, Metrics, init_logs};
use crate::{agents, entries};

/// Result of running a daemon until it stops.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a daemon ended other than by a stop signal.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The logger or the metrics cannot be set up.
    #[error(transparent)]
    Telemetry(#[from] telemetry::Error),
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[from] io::Error),
    /// The entry cannot start, or a part of it has failed.
    #[error(transparent)]
    Entry(#[from] entries::Error),
    /// The agent cannot start.
    #[error(transparent)]
    Agent(#[from] agents::AgentError),
}

/// Runs an entry until SIGTERM or SIGINT, and then stops it gracefully.
///
/// # Errors
///
/// Returns [`Error`] if the entry cannot start, or if a part of it has failed. The rest is then
/// stopped gracefully as well, so that its cells are handed over.
pub async fn run_entry(settings: EntrySettings) -> Result<()> {
    let name = settings.name.clone();
    let metrics = init_telemetry(
        "hyssop-entry",
        name.as_str(),
        settings.log_lines,
        settings.otlp,
    )?;
    let mut stop = StopSignals::new()?;
    let mut options = entry_options(settings);
    options.metrics = Some(Arc::clone(&metrics));
    let mut entry = entries::start(options).await?;
    log::info!(entry:% = name, http:% = entry.http_address(), rpc:% = entry.rpc_address(); "listening");
    let failure = tokio::select! {
        () = stop.wait() => None,
        failure = entry.wait_for_failure() => Some(failure),
    };
    if let Some(failure) = &failure {
        log::error!(entry:% = name; "stopping after a failure: {failure}");
    }
    entry.stop().await;
    log::info!(entry:% = name; "stopped");
    shut_down_metrics(metrics).await;
    failure.map_or(Ok(()), |failure| Err(failure.into()))
}

/// Runs an agent until SIGTERM or SIGINT, and then stops it gracefully.
///
/// # Errors
///
/// Returns [`Error`] if the agent cannot start.
pub async fn run_agent(settings: AgentSettings) -> Result<()> {
    let name = settings.name.clone();
    let metrics = init_telemetry(
        "hyssop-agent",
        name.as_str(),
        settings.log_lines,
        settings.otlp,
    )?;
    let mut stop = StopSignals::new()?;
    let agent = agents::start(agent_options(settings)).await?;
    let (http, rpc) = (agent.local_address(), agent.rpc_address());
    log::info!(agent:% = name, http:% = http, rpc:% = rpc; "listening");
    stop.wait().await;
    agent.stop().await;
    log::info!(agent:% = name; "stopped");
    shut_down_metrics(metrics).await;
    Ok(())
}

fn init_telemetry(
    program: &'static str,
    name: &str,
    lines: LogSettings,
    collector: Option<HttpBase>,
) -> Result<Arc<Metrics>> {
    init_logs(&lines)?;
    Ok(Arc::new(Metrics::new(program, name, collector)?))
}

/// Exports the metrics a last time. An unreachable collector must not make the stop fail.
async fn shut_down_metrics(metrics: Arc<Metrics>) {
    match spawn_blocking(move || metrics.shutdown()).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!("final metrics export failed: {error}"),
        Err(error) => log::warn!("final metrics export failed: {error}"),
    }
}

/// The signals that stop a daemon.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the signal handlers, so that a signal that arrives during the start is not lost.
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait(&mut self) {
        let name = tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        };
        log::info!("received {name}, stopping");
    }
}
