//! Driver of the agent: feeds events to the core and executes its decisions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{RunId, Start, WorkerInfo};
use hyssop_node::links::LinkError;
use hyssop_platform::{
    CallError, Heartbeat, Settings, StartRunError, Store, WorkerClient, WorkerError,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::cores::Core;
use super::io::{AgentInput, AgentOutput, Inspection, ProbeError, SpeedError, StartError};
use super::servers;
use crate::clocks;
use crate::elections::OwnerRecord;
use crate::messages::{self, FleetLink, ReportRequest};
use crate::metrics::{self, metrics, outcome_label};
use crate::owners::{query_entries, read_entries, read_owner_record};
use crate::reloads::SettingsWatcher;

/// Timeout of a probe beyond the time that it waits for an end. The worker is on the same host.
const PROBE_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of an order to the worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a report: the time that the owner waits for orders, plus one second.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Timeout of a call that locates the owner.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of workers whose last heartbeats are kept. There are two for the time in which one
/// takes the place of the other, and more only if heartbeats come from other writers.
const MAX_HEARTBEATS: usize = 8;
/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Message of the worker to its agent.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// The worker is running.
    Heartbeat(Heartbeat),
    /// The worker with this identifier has deregistered.
    Left(Arc<str>),
}

/// Runs the agent's core and executes its actions in the background.
struct Driver {
    core: Core,
    /// Last heartbeat of each incarnation of a worker that has sent one, the newest one last.
    heartbeats: Vec<Heartbeat>,
    client: WorkerClient,
    store: Store,
    links: HashMap<SocketAddr, Arc<FleetLink>>,
    /// Addresses of the entries, queried for the owner while the store is unreachable.
    entries: Vec<SocketAddr>,
    events: UnboundedSender<Event>,
}

/// Event for the main loop of the agent.
enum Event {
    Core(AgentInput),
    Worker(WorkerEvent),
    Entries(Vec<SocketAddr>),
}

/// Runs the agent until SIGTERM. It needs no handover, since the worker's lease outlasts a restart.
///
/// # Errors
///
/// Returns an error if the servers or clients cannot be set up.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let (events, mut inbox) = unbounded_channel();
    let control = settings
        .control_address
        .ok_or_else(|| eyre::eyre!("no address for the worker's heartbeats"))?;
    let _server = servers::start(control, forward_worker_events(&events))?;
    let _metrics = metrics::serve(settings.peer_address);
    let mut driver = Driver {
        core: Core::new()
            .with_max_lease(settings.max_lease)
            .with_speed_delay(settings.speed_delay),
        heartbeats: Vec::new(),
        client: WorkerClient::new()?,
        store: Store::new(settings.store_address)?,
        links: HashMap::new(),
        entries: Vec::new(),
        events,
    };
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut settings_watcher = SettingsWatcher::new(settings.clone())?;
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    log::info!(node:% = settings.node, control:% = control; "agent started");
    loop {
        let mut inputs = Vec::new();
        tokio::select! {
            event = inbox.recv() => inputs.extend(event.and_then(|event| driver.on_event(event))),
            _ = ticks.tick() => {}
            settings = settings_watcher.next_change() => driver.store.set_address(settings.store_address),
            _ = sigterm.recv() => break,
        }
        drain_events(&mut inbox, &mut driver, &mut inputs);
        for output in driver.core.tick(clocks::now(), inputs) {
            driver.execute(output);
        }
    }
    log::info!(node:% = settings.node; "agent stopped");
    Ok(())
}

fn forward_worker_events(events: &UnboundedSender<Event>) -> UnboundedSender<WorkerEvent> {
    let (sender, mut receiver) = unbounded_channel();
    let events = events.clone();
    tokio::spawn(async move {
        while let Some(event) = receiver.recv().await {
            if events.send(Event::Worker(event)).is_err() {
                return;
            }
        }
    });
    sender
}

fn drain_events(
    inbox: &mut UnboundedReceiver<Event>,
    driver: &mut Driver,
    inputs: &mut Vec<AgentInput>,
) {
    while let Ok(event) = inbox.try_recv() {
        inputs.extend(driver.on_event(event));
    }
}

impl Driver {
    /// Applies an event to the driver and returns the input for the core, if there is one.
    fn on_event(&mut self, event: Event) -> Option<AgentInput> {
        match event {
            Event::Core(input) => Some(input),
            Event::Entries(entries) => {
                self.entries = entries;
                None
            }
            Event::Worker(WorkerEvent::Left(id)) => Some(AgentInput::WorkerLeft(id)),
            Event::Worker(WorkerEvent::Heartbeat(heartbeat)) => {
                if !self.note_heartbeat(&heartbeat) {
                    return None;
                }
                let info = heartbeat.info;
                Some(AgentInput::Heartbeat(info))
            }
        }
    }

    /// Keeps a heartbeat, and returns false if a later one of the same worker has overtaken it.
    fn note_heartbeat(&mut self, heartbeat: &Heartbeat) -> bool {
        let identity = |info: &WorkerInfo| (Arc::clone(&info.id), info.incarnation);
        let sender = identity(&heartbeat.info);
        let is_same = |known: &Heartbeat| identity(&known.info) == sender;
        let mut known = self.heartbeats.iter();
        if known.any(|known| is_same(known) && heartbeat.number < known.number) {
            return false;
        }
        let worker = self.core.worker().map(identity);
        self.heartbeats.retain(|known| !is_same(known));
        let is_droppable = |known: &Heartbeat| Some(identity(&known.info)) != worker;
        if self.heartbeats.len() >= MAX_HEARTBEATS
            && let Some(oldest) = self.heartbeats.iter().position(is_droppable)
        {
            self.heartbeats.remove(oldest);
        }
        self.heartbeats.push(heartbeat.clone());
        true
    }

    /// Returns the last heartbeat of the worker that the core's calls are meant for.
    fn worker(&self) -> Option<Heartbeat> {
        let worker = self.core.worker()?;
        let mut heartbeats = self.heartbeats.iter();
        let heartbeat = heartbeats.find(|heartbeat| {
            heartbeat.info.id == worker.id && heartbeat.info.incarnation == worker.incarnation
        });
        heartbeat.cloned()
    }

    /// Returns the last heartbeat of a worker at its address, of whichever incarnation.
    fn any_incarnation(&self, worker: &WorkerInfo) -> Option<Heartbeat> {
        let mut heartbeats = self.heartbeats.iter().rev();
        let heartbeat = heartbeats
            .find(|known| known.info.id == worker.id && known.info.address == worker.address);
        heartbeat.cloned()
    }

    fn execute(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Log(text) => log::info!("{text}"),
            AgentOutput::Inspect { token, worker } => self.inspect(token, &worker),
            AgentOutput::EndRun { token, worker, run } => self.end_run(token, &worker, run),
            AgentOutput::LocateOwner => self.locate_owner(),
            AgentOutput::SendReport {
                owner,
                number,
                request,
            } => self.send_report(&owner, number, *request),
            AgentOutput::Probe {
                session,
                lease,
                acknowledged_end,
                wait,
            } => self.probe(session, lease, acknowledged_end, wait),
            AgentOutput::Start {
                session,
                start,
                lease,
            } => self.start(session, start, lease),
            AgentOutput::Stop { session, run } => self.stop(session, run),
            AgentOutput::SetSpeed {
                session,
                run,
                percent,
            } => self.set_speed(session, run, percent),
        }
    }

    fn link(&mut self, address: SocketAddr) -> Arc<FleetLink> {
        let link = self.links.entry(address);
        Arc::clone(link.or_insert_with(|| Arc::new(messages::link(address))))
    }

    fn locate_owner(&mut self) {
        let store = self.store.clone();
        let events = self.events.clone();
        let addresses = self.entries.clone();
        let needs_entries = addresses.is_empty();
        tokio::spawn(async move {
            if needs_entries && let Ok(entries) = read_entries(&store, LOCATE_TIMEOUT).await {
                let _closed = events.send(Event::Entries(entries));
            }
            let owner = match read_owner_record(&store, LOCATE_TIMEOUT).await {
                Ok((_, owner)) => owner,
                Err(error) => {
                    log::warn!("owner record not read: {error}");
                    let links: Vec<_> = addresses.into_iter().map(messages::link).collect();
                    query_entries(&links, LOCATE_TIMEOUT).await
                }
            };
            let _closed = events.send(Event::Core(AgentInput::OwnerLocated(owner)));
        });
    }

    fn send_report(&mut self, owner: &OwnerRecord, number: u64, request: ReportRequest) {
        let link = self.link(owner.address);
        let events = self.events.clone();
        let epoch = owner.epoch;
        let sent_at = clocks::now();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let reply = messages::report(&link, request, REPORT_TIMEOUT).await;
            metrics().record_call("exchange", outcome_label(&reply), started_at.elapsed());
            let input = match reply {
                Ok(reply) => AgentInput::ReportAnswered {
                    epoch,
                    sent_at,
                    number,
                    reply,
                },
                Err(error) => {
                    if error != LinkError::Backoff {
                        log::info!(owner:% = link.address(); "report failed: {error}");
                    }
                    AgentInput::ReportFailed { epoch, number }
                }
            };
            let _closed = events.send(Event::Core(input));
        });
    }

    fn probe(&self, session: u64, lease: Option<Millis>, acknowledged_end: u64, wait: Millis) {
        let Some(worker) = self.worker() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        let wait = Duration::from_millis(wait.0);
        tokio::spawn(async move {
            let (sent_at, started_at) = (clocks::now(), Instant::now());
            let probed = client
                .probe(
                    &worker,
                    session,
                    lease,
                    acknowledged_end,
                    wait,
                    PROBE_MARGIN,
                )
                .await;
            metrics().record_call("look", outcome_label(&probed), started_at.elapsed());
            let is_other = |other: Option<u64>| {
                other.is_some_and(|incarnation| incarnation != worker.info.incarnation)
            };
            if let Ok(probed) = &probed
                && is_other(probed.incarnation)
            {
                log::info!(
                    worker:% = worker.info.id, expected = worker.info.incarnation,
                    incarnation = probed.incarnation;
                    "probe answered by another incarnation"
                );
            }
            let input = match probed {
                Ok(probed) if is_other(probed.incarnation) => AgentInput::ProbeFailed {
                    session,
                    error: ProbeError::Restarted,
                },
                Ok(probed) => AgentInput::Probed {
                    session,
                    sent_at,
                    worker_clock: probed.clock,
                    running: probed.running,
                    ended: probed.ended,
                    unreadable: probed.unreadable,
                },
                Err(error) => {
                    log::info!(worker:% = worker.info.id; "probe failed: {error}");
                    AgentInput::ProbeFailed {
                        session,
                        error: probe_error(&error),
                    }
                }
            };
            let _closed = events.send(Event::Core(input));
        });
    }

    fn inspect(&self, token: u64, worker: &WorkerInfo) {
        let Some(worker) = self.any_incarnation(worker) else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let call = client.probe(&worker, token, None, 0, Duration::ZERO, PROBE_MARGIN);
            let probed = call.await;
            metrics().record_call("inspect", outcome_label(&probed), started_at.elapsed());
            match probed {
                Ok(probed) => {
                    let inspection = Inspection {
                        incarnation: probed.incarnation.unwrap_or(worker.info.incarnation),
                        worker_clock: probed.clock,
                        running: probed.running,
                        ended: probed.ended,
                    };
                    let input = AgentInput::Inspected { token, inspection };
                    let _closed = events.send(Event::Core(input));
                }
                Err(error) => {
                    log::info!(worker:% = worker.info.id; "inspection failed: {error}");
                }
            }
        });
    }

    fn end_run(&self, token: u64, worker: &WorkerInfo, run: RunId) {
        let Some(worker) = self.any_incarnation(worker) else {
            return;
        };
        let client = self.client.clone();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let result = client.stop(&worker, run, token, ORDER_TIMEOUT).await;
            metrics().record_call("end_run", outcome_label(&result), started_at.elapsed());
            if let Err(error) = &result {
                log::info!(run:% = run, worker:% = worker.info.id; "run not ended: {error}");
            }
        });
    }

    fn start(&self, session: u64, start: Start, lease: Millis) {
        let Some(worker) = self.worker() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let (run, started_at) = (start.run, Instant::now());
            let call = client.start(&worker, &start, session, lease, ORDER_TIMEOUT);
            let result = call.await;
            metrics().record_call("start", outcome_label(&result), started_at.elapsed());
            let worker_clock = result.as_ref().ok().copied().flatten();
            let result = result.map(drop).map_err(|refusal| {
                log::info!(run:% = run, worker:% = worker.info.id; "run not started: {refusal:?}");
                start_error(&refusal)
            });
            let _closed = events.send(Event::Core(AgentInput::Started {
                session,
                run,
                result,
                worker_clock,
            }));
        });
    }

    fn stop(&self, session: u64, run: RunId) {
        let Some(worker) = self.worker() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let result = client.stop(&worker, run, session, ORDER_TIMEOUT).await;
            metrics().record_call("stop", outcome_label(&result), started_at.elapsed());
            if let Err(error) = &result {
                log::info!(run:% = run, worker:% = worker.info.id; "run not stopped: {error}");
            }
            let is_answered = result.is_ok();
            let _closed = events.send(Event::Core(AgentInput::Stopped {
                session,
                run,
                is_answered,
            }));
        });
    }

    fn set_speed(&self, session: u64, run: RunId, percent: u32) {
        let Some(worker) = self.worker() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let started_at = Instant::now();
            let call = client.set_speed(&worker, run, percent, session, ORDER_TIMEOUT);
            let result = call.await;
            metrics().record_call("pace", outcome_label(&result), started_at.elapsed());
            if let Err(error) = &result {
                log::info!(run:% = run, worker:% = worker.info.id; "run speed not set: {error}");
            }
            let _closed = events.send(Event::Core(AgentInput::SpeedSet {
                session,
                run,
                percent,
                result: result.map_err(|error| speed_error(&error)),
            }));
        });
    }
}

fn probe_error(error: &WorkerError) -> ProbeError {
    match error {
        WorkerError::Call(CallError::ConnectionRefused) | WorkerError::OtherLife => {
            ProbeError::Lost
        }
        WorkerError::Fenced => ProbeError::Fenced,
        _ => ProbeError::NoResponse,
    }
}

fn start_error(error: &StartRunError) -> StartError {
    use hyssop_jobs::Refusal;
    match error {
        StartRunError::Never(refusal) => StartError::Refused(*refusal),
        StartRunError::Failed(WorkerError::OtherLife | WorkerError::Busy(_)) => {
            StartError::Refused(Refusal::Other)
        }
        StartRunError::Failed(WorkerError::Call(
            CallError::ConnectionRefused | CallError::NotConnected(_),
        )) => StartError::NotConnected,
        StartRunError::Failed(_) => StartError::Unknown,
    }
}

/// Returns the outcome of a failed speed call. Server errors tell nothing about the run.
fn speed_error(error: &WorkerError) -> SpeedError {
    match error {
        WorkerError::Fenced | WorkerError::OtherLife | WorkerError::Refused(400..=499) => {
            SpeedError::Refused
        }
        _ => SpeedError::Unknown,
    }
}
