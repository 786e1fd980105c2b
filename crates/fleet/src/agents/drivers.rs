//! Driver of the agent: carries out what the core decides.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{RunId, Start};
use hyssop_node::links::LinkError;
use hyssop_platform::{Beat, CallError, Settings, StartRefusal, Store, WorkerClient, WorkerError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::cores::Core;
use super::io::{AgentInput, AgentOutput, HoldError, StartError};
use super::servers;
use crate::clocks;
use crate::elections::Lead;
use crate::messages::{self, Exchange, FleetLink};
use crate::metrics::{self, metrics, word};
use crate::owners::{ask_entries, read_entries, read_lead};
use crate::reloads::Reloads;

/// Time beyond the wait for an end within which a look has to be answered, on the same host.
const HOLD_SLACK: Duration = Duration::from_millis(700);
/// Time within which an order has to be answered.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// Time within which a report has to be answered: the owner's wait for orders and a second.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(1_400);
/// Time within which the store or an entry has to tell the owner.
const LOCATE_LIMIT: Duration = Duration::from_millis(800);
/// Interval of the core's timers.
const TICK: Duration = Duration::from_millis(50);

/// What a worker says to its agent.
#[derive(Debug)]
pub(crate) enum FromWorker {
    /// It reports itself.
    Beat(Beat),
    /// It leaves.
    Left(Arc<str>),
}

struct Driver {
    core: Core,
    worker: Option<Beat>,
    client: WorkerClient,
    store: Store,
    links: HashMap<SocketAddr, Arc<FleetLink>>,
    entries: Vec<SocketAddr>,
    events: UnboundedSender<Event>,
}

enum Event {
    Core(AgentInput),
    Worker(FromWorker),
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
        .control
        .ok_or_else(|| eyre::eyre!("no address for the worker's reports"))?;
    let _server = servers::start(control, events_of_worker(&events))?;
    let _metrics = metrics::serve(settings.peer);
    let mut driver = Driver {
        core: Core::new(),
        worker: None,
        client: WorkerClient::new()?,
        store: Store::new(settings.store)?,
        links: HashMap::new(),
        entries: Vec::new(),
        events,
    };
    let mut term = signal(SignalKind::terminate())?;
    let mut reloads = Reloads::new(settings.clone())?;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    log::info!(node:% = settings.node, control:% = control; "agent started");
    loop {
        let mut inputs = Vec::new();
        tokio::select! {
            event = inbox.recv() => inputs.extend(event.and_then(|event| driver.take(event))),
            _ = ticks.tick() => {}
            settings = reloads.changed() => driver.store.move_to(settings.store),
            _ = term.recv() => break,
        }
        drain(&mut inbox, &mut driver, &mut inputs);
        for output in driver.core.tick(clocks::now(), inputs) {
            driver.act(output);
        }
    }
    log::info!(node:% = settings.node; "agent stopped");
    Ok(())
}

fn events_of_worker(events: &UnboundedSender<Event>) -> UnboundedSender<FromWorker> {
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

fn drain(inbox: &mut UnboundedReceiver<Event>, driver: &mut Driver, inputs: &mut Vec<AgentInput>) {
    while let Ok(event) = inbox.try_recv() {
        inputs.extend(driver.take(event));
    }
}

impl Driver {
    /// Takes in an event and returns what the core has to know.
    fn take(&mut self, event: Event) -> Option<AgentInput> {
        match event {
            Event::Core(input) => Some(input),
            Event::Entries(entries) => {
                self.entries = entries;
                None
            }
            Event::Worker(FromWorker::Left(id)) => Some(AgentInput::Left(id)),
            Event::Worker(FromWorker::Beat(beat)) => {
                // A report of the same life that was overtaken by a later one is outdated.
                let is_late = self.worker.as_ref().is_some_and(|known| {
                    let same = known.info.id == beat.info.id;
                    same && (beat.info.born, beat.number) < (known.info.born, known.number)
                });
                if is_late {
                    return None;
                }
                let info = beat.info.clone();
                self.worker = Some(beat);
                Some(AgentInput::Beat(info))
            }
        }
    }

    fn act(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Note(text) => log::info!("{text}"),
            AgentOutput::Locate => self.locate(),
            AgentOutput::Exchange {
                lead,
                number,
                exchange,
            } => self.exchange(&lead, number, *exchange),
            AgentOutput::Hold {
                session,
                lease,
                seen,
                wait,
            } => self.hold(session, lease, seen, wait),
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

    fn locate(&mut self) {
        let store = self.store.clone();
        let events = self.events.clone();
        let addresses = self.entries.clone();
        let needs_entries = addresses.is_empty();
        tokio::spawn(async move {
            if needs_entries && let Ok(entries) = read_entries(&store, LOCATE_LIMIT).await {
                let _closed = events.send(Event::Entries(entries));
            }
            let lead = match read_lead(&store, LOCATE_LIMIT).await {
                Ok((_, lead)) => lead,
                Err(error) => {
                    log::warn!("the store does not tell the owner: {error}");
                    let links: Vec<_> = addresses.into_iter().map(messages::link).collect();
                    ask_entries(&links, LOCATE_LIMIT).await
                }
            };
            let _closed = events.send(Event::Core(AgentInput::Located(lead)));
        });
    }

    fn exchange(&mut self, lead: &Lead, number: u64, exchange: Exchange) {
        let link = self.link(lead.address);
        let events = self.events.clone();
        let epoch = lead.epoch;
        let sent = clocks::now();
        tokio::spawn(async move {
            let began = Instant::now();
            let reply = messages::exchange(&link, exchange, EXCHANGE_LIMIT).await;
            metrics().call("exchange", word(&reply), began.elapsed());
            let input = match reply {
                Ok(reply) => AgentInput::Answered {
                    epoch,
                    sent,
                    number,
                    reply,
                },
                Err(error) => {
                    if error != LinkError::Backoff {
                        log::info!(owner:% = link.address(); "report not answered: {error}");
                    }
                    AgentInput::Unanswered { epoch }
                }
            };
            let _closed = events.send(Event::Core(input));
        });
    }

    fn hold(&self, session: u64, lease: Option<Millis>, seen: u64, wait: Millis) {
        let Some(worker) = self.worker.clone() else {
            return;
        };
        let client = self.client.clone();
        let events = self.events.clone();
        let wait = Duration::from_millis(wait.0);
        tokio::spawn(async move {
            let (sent, began) = (clocks::now(), Instant::now());
            let held = client
                .hold(&worker, session, lease, seen, wait, HOLD_SLACK)
                .await;
            metrics().call("look", word(&held), began.elapsed());
            let is_other = |born: Option<u64>| born.is_some_and(|b| b != worker.info.born);
            let input = match held {
                Ok(held) if is_other(held.born) => AgentInput::NotHeld {
                    session,
                    error: HoldError::Gone,
                },
                Ok(held) => AgentInput::Held {
                    session,
                    sent,
                    clock: held.clock,
                    running: held.running,
                    ended: held.ended,
                },
                Err(error) => {
                    log::info!(worker:% = worker.info.id; "look failed: {error}");
                    AgentInput::NotHeld {
                        session,
                        error: hold_error(&error),
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
            let call = client.start(&worker, &start, session, lease, ORDER_LIMIT);
            let result = call.await;
            metrics().call("start", word(&result), began.elapsed());
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
            let result = client.stop(&worker, run, session, ORDER_LIMIT).await;
            metrics().call("stop", word(&result), began.elapsed());
            if let Err(error) = &result {
                log::info!(run:% = run, worker:% = worker.info.id; "not stopped: {error}");
            }
            let answered = result.is_ok();
            let _closed = events.send(Event::Core(AgentInput::Stopped {
                session,
                run,
                answered,
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
            let call = client.pace(&worker, run, percent, session, ORDER_LIMIT);
            let result = call.await;
            metrics().call("pace", word(&result), began.elapsed());
            if let Err(error) = result {
                log::info!(run:% = run, worker:% = worker.info.id; "speed not set: {error}");
            }
        });
    }
}

fn hold_error(error: &WorkerError) -> HoldError {
    match error {
        WorkerError::Call(CallError::ConnectionRefused) | WorkerError::OtherLife => HoldError::Gone,
        WorkerError::Fenced => HoldError::Fenced,
        _ => HoldError::Silent,
    }
}

fn start_error(refusal: &StartRefusal) -> StartError {
    use hyssop_jobs::Refusal;
    match refusal {
        StartRefusal::Never(refusal) => StartError::Never(*refusal),
        StartRefusal::Failed(WorkerError::OtherLife | WorkerError::Busy(_)) => {
            StartError::Never(Refusal::Other)
        }
        StartRefusal::Failed(_) => StartError::Unknown,
    }
}
