//! Driver of the agent: carries out what the core decides.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{RunId, Start};
use hyssop_node::links::LinkError;
use hyssop_platform::{
    CallError, Heartbeat, Settings, StartRefusal, Store, WorkerClient, WorkerError,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::cores::Core;
use super::io::{AgentInput, AgentOutput, ProbeError, StartError};
use super::servers;
use crate::clocks;
use crate::elections::OwnerRecord;
use crate::messages::{self, FleetLink, ReportRequest};
use crate::metrics::{self, metrics, outcome_label};
use crate::owners::{query_entries, read_entries, read_owner_record};
use crate::reloads::Reloads;

/// Time beyond the wait for an end within which a look has to be answered, on the same host.
const PROBE_MARGIN: Duration = Duration::from_millis(700);
/// Time within which an order has to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which a report has to be answered: the owner's wait for orders and a second.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time within which the store or an entry has to tell the owner.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of the core's timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What a worker says to its agent.
#[derive(Debug)]
pub(crate) enum WorkerEvent {
    /// It reports itself.
    Heartbeat(Heartbeat),
    /// It leaves.
    Left(Arc<str>),
}

struct Driver {
    core: Core,
    worker: Option<Heartbeat>,
    client: WorkerClient,
    store: Store,
    links: HashMap<SocketAddr, Arc<FleetLink>>,
    entries: Vec<SocketAddr>,
    events: UnboundedSender<Event>,
}

enum Event {
    Core(AgentInput),
    Worker(WorkerEvent),
    Entries(Vec<SocketAddr>),
}

/// Runs the agent until SIGTERM. Nothing is handed over: the worker's lease outlasts a restart.
///
/// # Errors
///
/// Returns an error if the servers or clients cannot be set up.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let (events, mut inbox) = unbounded_channel();
    let control = settings
        .control_address
        .ok_or_else(|| eyre::eyre!("no address for the worker's reports"))?;
    let _server = servers::start(control, forward_worker_events(&events))?;
    let _metrics = metrics::serve(settings.peer_address);
    let mut driver = Driver {
        core: Core::new(),
        worker: None,
        client: WorkerClient::new()?,
        store: Store::new(settings.store_address)?,
        links: HashMap::new(),
        entries: Vec::new(),
        events,
    };
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut reloads = Reloads::new(settings.clone())?;
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    log::info!(node:% = settings.node, control:% = control; "agent started");
    loop {
        let mut inputs = Vec::new();
        tokio::select! {
            event = inbox.recv() => inputs.extend(event.and_then(|event| driver.handle_event(event))),
            _ = ticks.tick() => {}
            settings = reloads.changed() => driver.store.set_address(settings.store_address),
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
        inputs.extend(driver.handle_event(event));
    }
}

impl Driver {
    /// Takes in an event and returns what the core has to know.
    fn handle_event(&mut self, event: Event) -> Option<AgentInput> {
        match event {
            Event::Core(input) => Some(input),
            Event::Entries(entries) => {
                self.entries = entries;
                None
            }
            Event::Worker(WorkerEvent::Left(id)) => Some(AgentInput::WorkerLeft(id)),
            Event::Worker(WorkerEvent::Heartbeat(heartbeat)) => {
                // A report of the same life that was overtaken by a later one is outdated.
                let is_outdated = self.worker.as_ref().is_some_and(|known| {
                    let is_same_worker = known.info.id == heartbeat.info.id;
                    is_same_worker
                        && (heartbeat.info.born, heartbeat.number) < (known.info.born, known.number)
                });
                if is_outdated {
                    return None;
                }
                let info = heartbeat.info.clone();
                self.worker = Some(heartbeat);
                Some(AgentInput::Heartbeat(info))
            }
        }
    }

    fn execute(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Log(text) => log::info!("{text}"),
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
            AgentOutput::Pace {
                session,
                run,
                percent,
            } => self.pace(session, run, percent),
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
                    log::warn!("the store does not tell the owner: {error}");
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
            let began = Instant::now();
            let reply = messages::report(&link, request, REPORT_TIMEOUT).await;
            metrics().record_call("exchange", outcome_label(&reply), began.elapsed());
            let input = match reply {
                Ok(reply) => AgentInput::ReportAnswered {
                    epoch,
                    sent_at,
                    number,
                    reply,
                },
                Err(error) => {
                    if error != LinkError::Backoff {
                        log::info!(owner:% = link.address(); "report not answered: {error}");
                    }
                    AgentInput::ReportFailed { epoch }
                }
            };
            let _closed = events.send(Event::Core(input));
        });
    }

    fn probe(&self, session: u64, lease: Option<Millis>, acknowledged_end: u64, wait: Millis) {
        let Some(worker) = self.worker.clone() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        let wait = Duration::from_millis(wait.0);
        tokio::spawn(async move {
            let (sent_at, began) = (clocks::now(), Instant::now());
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
            metrics().record_call("look", outcome_label(&probed), began.elapsed());
            let is_other = |born: Option<u64>| born.is_some_and(|b| b != worker.info.born);
            let input = match probed {
                Ok(probed) if is_other(probed.incarnation) => AgentInput::ProbeFailed {
                    session,
                    error: ProbeError::Lost,
                },
                Ok(probed) => AgentInput::Probed {
                    session,
                    sent_at,
                    worker_clock: probed.clock,
                    running: probed.running,
                    ended: probed.ended,
                },
                Err(error) => {
                    log::info!(worker:% = worker.info.id; "look failed: {error}");
                    AgentInput::ProbeFailed {
                        session,
                        error: probe_error(&error),
                    }
                }
            };
            let _closed = events.send(Event::Core(input));
        });
    }

    fn start(&self, session: u64, start: Start, lease: Millis) {
        let Some(worker) = self.worker.clone() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let (run, began) = (start.run, Instant::now());
            let call = client.start(&worker, &start, session, lease, ORDER_TIMEOUT);
            let result = call.await;
            metrics().record_call("start", outcome_label(&result), began.elapsed());
            let result = result.map_err(|refusal| {
                log::info!(run:% = run, worker:% = worker.info.id; "not started: {refusal:?}");
                start_error(&refusal)
            });
            let _closed = events.send(Event::Core(AgentInput::Started {
                session,
                run,
                result,
            }));
        });
    }

    fn stop(&self, session: u64, run: RunId) {
        let Some(worker) = self.worker.clone() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        tokio::spawn(async move {
            let began = Instant::now();
            let result = client.stop(&worker, run, session, ORDER_TIMEOUT).await;
            metrics().record_call("stop", outcome_label(&result), began.elapsed());
            if let Err(error) = &result {
                log::info!(run:% = run, worker:% = worker.info.id; "not stopped: {error}");
            }
            let is_answered = result.is_ok();
            let _closed = events.send(Event::Core(AgentInput::Stopped {
                session,
                run,
                is_answered,
            }));
        });
    }

    fn pace(&self, session: u64, run: RunId, percent: u32) {
        let Some(worker) = self.worker.clone() else {
            return;
        };
        let client = self.client.clone();
        tokio::spawn(async move {
            // The next report shows the speed as it is, and the owner repeats the order.
            let began = Instant::now();
            let call = client.pace(&worker, run, percent, session, ORDER_TIMEOUT);
            let result = call.await;
            metrics().record_call("pace", outcome_label(&result), began.elapsed());
            if let Err(error) = result {
                log::info!(run:% = run, worker:% = worker.info.id; "speed not set: {error}");
            }
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

fn start_error(refusal: &StartRefusal) -> StartError {
    use hyssop_jobs::Refusal;
    match refusal {
        StartRefusal::Never(refusal) => StartError::Refused(*refusal),
        StartRefusal::Failed(WorkerError::OtherLife | WorkerError::Busy(_)) => {
            StartError::Refused(Refusal::Other)
        }
        StartRefusal::Failed(_) => StartError::Unknown,
    }
}
