//! Driver of the owner's core.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{
    Advice, Answer, Ask, Input, Machine, Order, Output, Owner, OwnerOptions, Record, StepId,
    UpkeepAnswer,
};
use hyssop_platform::{STATUS_TOPIC, wave_status};
use tokio::sync::mpsc::{
    UnboundedReceiver, UnboundedSender, WeakUnboundedSender, unbounded_channel,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::JOBS_TOPIC;
use super::ownerships::Seat;
use super::services::Services;
use super::writers::{Entry, EpochWriter};
use crate::clocks;
use crate::messages::{AskReply, Exchange, ExchangeReply, NumberedOrder};
use crate::metrics::metrics;

/// Wait of a report for orders. Leases are extended that often.
const PARK: Millis = Millis(400);
/// Interval of the core's timers.
const TICK: Millis = Millis(50);
/// Bits of a session's number below the epoch: sessions that one owner may open.
const SESSION_BITS: u32 = 20;

/// What the owner hears.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// An agent reports.
    Exchange(Exchange, oneshot::Sender<ExchangeReply>),
    /// A caller asks.
    Ask(Ask, oneshot::Sender<Answer>),
    /// The store proved the ownership at this time.
    Proved(Millis),
    /// A write is stored.
    Written(u64),
    /// An answer to a question for advice.
    Advised(StepId, Option<Advice>),
    /// The list of machines, if it could be read.
    Machines(Option<Vec<Machine>>),
    /// An answer to an order to take a machine down: wave, machine, answer.
    Upkeep(u64, Arc<str>, UpkeepAnswer),
}

/// Way to the owner in this process. The owner ends when the last one is dropped.
#[derive(Clone, Debug)]
pub(crate) struct OwnerHandle(UnboundedSender<OwnerEvent>);

impl OwnerHandle {
    /// Sends an event. If the owner has ended, those who wait for an answer see that.
    pub(crate) fn send(&self, event: OwnerEvent) {
        let _ended = self.0.send(event);
    }

    /// Has the owner take in a request. The handle is dropped meanwhile, so that it does not keep an
    /// owner that has lost the jobs.
    pub(crate) async fn ask(self, ask: Ask) -> AskReply {
        let (reply, answer) = oneshot::channel();
        self.send(OwnerEvent::Ask(ask, reply));
        drop(self);
        // The owner may have stored what was asked before it ended.
        answer.await.map_or(AskReply::Lost, AskReply::Answered)
    }
}

/// Session of an agent.
#[derive(Debug, Default)]
struct Session {
    orders: VecDeque<NumberedOrder>,
    numbered: u64,
    acknowledged: u64,
    told: u64,
    parked: Option<Parked>,
}

#[derive(Debug)]
struct Parked {
    reply: oneshot::Sender<ExchangeReply>,
    granted: bool,
    until: Millis,
}

struct Driver {
    epoch: u64,
    owner: Owner,
    writes: UnboundedSender<(u64, Vec<Record>)>,
    /// Records for operators.
    statuses: UnboundedSender<Entry>,
    sessions: HashMap<u64, Session>,
    asks: HashMap<u64, oneshot::Sender<Answer>>,
    next_session: u64,
    next_tag: u64,
    services: Services,
    /// Way of answers back to the owner.
    events: WeakUnboundedSender<OwnerEvent>,
}

/// Starts the owner of an epoch.
pub(super) fn start(epoch: u64, seat: Arc<Seat>, services: Services) -> OwnerHandle {
    let (sender, inbox) = unbounded_channel();
    // The owner must not keep its own inbox open, or it would outlive its ownership.
    let back = sender.downgrade();
    let claimed = clocks::now();
    let mut writer = EpochWriter::new(services.store.clone(), JOBS_TOPIC, epoch);
    let events = back.clone();
    tokio::spawn(async move {
        let Some(stored) = writer.load().await else {
            return;
        };
        let options = OwnerOptions {
            epoch,
            claimed,
            day_start: clocks::day_start(),
        };
        let (owner, errors) = Owner::new(clocks::now(), options, &stored);
        for error in errors {
            log::error!("stored record left out: {error}");
        }
        log::info!(epoch = epoch, records = stored.len(); "owner has read the jobs");
        let (writes, mut queue) = unbounded_channel::<(u64, Vec<Record>)>();
        tokio::spawn(async move {
            while let Some((number, records)) = queue.recv().await {
                let entries = records.into_iter().map(|r| (r.key.text(), r.value));
                let entries: Vec<Entry> = entries.collect();
                if !writer.append(&entries).await {
                    return;
                }
                let Some(sender) = back.upgrade() else { return };
                let _ended = sender.send(OwnerEvent::Written(number));
            }
        });
        let (statuses, mut news) = unbounded_channel::<Entry>();
        let mut teller = EpochWriter::new(services.store.clone(), STATUS_TOPIC, epoch);
        tokio::spawn(async move {
            while let Some(record) = news.recv().await {
                if !teller.append(&[record]).await {
                    return;
                }
            }
        });
        let driver = Driver {
            epoch,
            owner,
            writes,
            statuses,
            sessions: HashMap::new(),
            asks: HashMap::new(),
            next_session: epoch << SESSION_BITS,
            next_tag: 0,
            services,
            events,
        };
        driver.run(inbox, &seat).await;
        log::info!(epoch = epoch; "owner ended");
    });
    OwnerHandle(sender)
}

impl Driver {
    async fn run(mut self, mut inbox: UnboundedReceiver<OwnerEvent>, seat: &Seat) {
        let mut policy = seat.policy.subscribe();
        policy.mark_changed();
        loop {
            let wait = self.wait();
            let first = tokio::select! {
                event = timeout(Duration::from_millis(wait.0), inbox.recv()) => match event {
                    Ok(Some(event)) => Some(event),
                    Ok(None) => return,
                    Err(_) => None,
                },
                changed = policy.changed() => {
                    if changed.is_err() { return; }
                    None
                }
            };
            let mut inputs = vec![
                Input::Policy(Arc::clone(&policy.borrow_and_update())),
                Input::TimeOfDay(clocks::day_start()),
            ];
            let mut granted = Vec::new();
            let mut next = first;
            while let Some(event) = next {
                self.take(event, &mut inputs, &mut granted);
                next = inbox.try_recv().ok();
            }
            self.tick(inputs, granted);
        }
    }

    /// Returns a reply without orders. Without a session the agent has to open another one.
    fn plain_reply(&self, session: Option<u64>) -> ExchangeReply {
        ExchangeReply {
            owner: true,
            epoch: self.epoch,
            session,
            ..ExchangeReply::default()
        }
    }

    /// Returns the time until the next tick.
    fn wait(&self) -> Millis {
        let now = clocks::now();
        match self.owner.due() {
            Some(due) => due.since(now).min(TICK),
            None => TICK,
        }
    }

    fn tick(&mut self, inputs: Vec<Input>, waiting: Vec<(u64, oneshot::Sender<ExchangeReply>)>) {
        let (now, began) = (clocks::now(), Instant::now());
        for output in self.owner.tick(now, inputs) {
            self.act(output);
        }
        metrics().call("tick", "ok", began.elapsed());
        metrics().set("jobs", self.owner.open_jobs() as u64);
        metrics().set("workers", self.sessions.len() as u64);
        for (session, reply) in waiting {
            let granted = self.owner.grant(now, session);
            match self.sessions.get_mut(&session) {
                Some(entry) => {
                    let parked = Parked {
                        reply,
                        granted,
                        until: now + PARK,
                    };
                    if let Some(former) = entry.parked.replace(parked) {
                        entry.answer(session, former);
                    }
                }
                None => send(reply, self.plain_reply(None)),
            }
        }
        for (&session, entry) in &mut self.sessions {
            let has_news = !entry.orders.is_empty() || entry.acknowledged > entry.told;
            let is_due = entry
                .parked
                .as_ref()
                .is_some_and(|p| has_news || now >= p.until);
            if is_due && let Some(parked) = entry.parked.take() {
                entry.answer(session, parked);
            }
        }
    }

    fn take(
        &mut self,
        event: OwnerEvent,
        inputs: &mut Vec<Input>,
        waiting: &mut Vec<(u64, oneshot::Sender<ExchangeReply>)>,
    ) {
        match event {
            OwnerEvent::Proved(at) => inputs.push(Input::Proved(at)),
            OwnerEvent::Written(number) => inputs.push(Input::Written(number)),
            OwnerEvent::Machines(machines) => inputs.push(Input::Machines(machines)),
            OwnerEvent::Upkeep(wave, machine, answer) => inputs.push(Input::Upkeep {
                wave,
                machine,
                answer,
            }),
            OwnerEvent::Advised(step, advice) => inputs.push(Input::Advised { step, advice }),
            OwnerEvent::Ask(ask, reply) => {
                self.next_tag += 1;
                self.asks.insert(self.next_tag, reply);
                inputs.push(Input::Ask(self.next_tag, ask));
            }
            OwnerEvent::Exchange(exchange, reply) => {
                self.exchange(exchange, reply, inputs, waiting);
            }
        }
    }

    fn exchange(
        &mut self,
        exchange: Exchange,
        reply: oneshot::Sender<ExchangeReply>,
        inputs: &mut Vec<Input>,
        waiting: &mut Vec<(u64, oneshot::Sender<ExchangeReply>)>,
    ) {
        let Exchange {
            session,
            worker,
            seen,
            report,
        } = exchange;
        let Some(id) = session else {
            let Some(worker) = worker else {
                send(reply, self.plain_reply(None));
                return;
            };
            self.next_session += 1;
            let session = self.next_session;
            self.sessions.insert(session, Session::default());
            inputs.push(Input::Attach { session, worker });
            send(reply, self.plain_reply(Some(session)));
            return;
        };
        let Some(entry) = self.sessions.get_mut(&id) else {
            send(reply, self.plain_reply(None));
            return;
        };
        while entry
            .orders
            .front()
            .is_some_and(|order| order.number <= seen)
        {
            entry.orders.pop_front();
        }
        if let Some(worker) = worker {
            inputs.push(Input::Changed {
                session: id,
                worker,
            });
        }
        inputs.push(Input::Report {
            session: id,
            report,
        });
        waiting.push((id, reply));
    }

    /// Runs a call to a service and hands the owner what came of it.
    fn ask_service(&self, call: impl Future<Output = OwnerEvent> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = call.await;
            if let Some(events) = events.upgrade() {
                // The owner may have ended meanwhile.
                let _ended = events.send(event);
            }
        });
    }

    fn act(&mut self, output: Output) {
        match output {
            Output::ListMachines => self.ask_service(self.services.clone().list_machines()),
            Output::Upkeep { wave, machine } => {
                let services = self.services.clone();
                self.ask_service(services.order_upkeep(self.epoch, wave, machine));
            }
            Output::WaveStatus { wave, is_complete } => {
                // Fails only after a later owner has written, which ends this one.
                let _ended = self.statuses.send(wave_status(wave, is_complete));
            }
            Output::Advise { step, workers } => {
                self.ask_service(self.services.clone().advise(step, workers));
            }
            Output::Note(text) => log::info!("{text}"),
            Output::Write { number, records } => {
                // Fails only after a later owner has written, which ends this one.
                let _ended = self.writes.send((number, records));
            }
            Output::Answer(tag, answer) => {
                if let Some(reply) = self.asks.remove(&tag) {
                    // The caller may have gone.
                    let _gone = reply.send(answer);
                }
            }
            Output::Orders { session, orders } => {
                if let Some(entry) = self.sessions.get_mut(&session) {
                    entry.push(orders);
                }
            }
            Output::Acknowledge { session, number } => {
                if let Some(entry) = self.sessions.get_mut(&session) {
                    entry.acknowledged = number;
                }
            }
            Output::Close(session) => {
                let parked = self
                    .sessions
                    .remove(&session)
                    .and_then(|entry| entry.parked);
                if let Some(parked) = parked {
                    send(parked.reply, self.plain_reply(None));
                }
            }
        }
    }
}

impl Session {
    fn push(&mut self, orders: Vec<Order>) {
        for order in orders {
            self.numbered += 1;
            self.orders.push_back(NumberedOrder {
                number: self.numbered,
                order,
            });
        }
    }

    fn answer(&mut self, session: u64, parked: Parked) {
        self.told = self.acknowledged;
        let reply = ExchangeReply {
            owner: true,
            epoch: session >> SESSION_BITS,
            session: Some(session),
            granted: parked.granted,
            orders: self.orders.iter().cloned().collect(),
            acknowledged: self.acknowledged,
        };
        send(parked.reply, reply);
    }
}

/// Answers an agent, which may have gone.
fn send(reply: oneshot::Sender<ExchangeReply>, answer: ExchangeReply) {
    let _gone = reply.send(answer);
}
