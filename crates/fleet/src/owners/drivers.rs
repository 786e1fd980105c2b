//! Driver of the owner's core.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{
    Advice, Answer, Ask, Input, Machine, Order, Output, Owner, OwnerOptions, Record, StepId,
    UpkeepAnswer,
};
use hyssop_platform::{STATUS_TOPIC, wave_status_record};
use tokio::sync::mpsc::{
    UnboundedReceiver, UnboundedSender, WeakUnboundedSender, unbounded_channel,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::JOBS_TOPIC;
use super::ownerships::Ownership;
use super::services::Services;
use super::writers::{EpochWriter, RecordEntry};
use crate::clocks;
use crate::messages::{NumberedOrder, ReportReply, ReportRequest, RequestReply};
use crate::metrics::metrics;

/// Wait of a report for orders. Leases are extended that often.
const ORDERS_WAIT: Millis = Millis(400);
/// Interval of the core's timers.
const TICK_INTERVAL: Millis = Millis(50);
/// Bits of a session's number below the epoch: sessions that one owner may open.
const SESSION_BITS: u32 = 20;

/// What the owner hears.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// An agent reports.
    Report(ReportRequest, oneshot::Sender<ReportReply>),
    /// A caller asks.
    Request(Ask, oneshot::Sender<Answer>),
    /// The store proved the ownership at this time.
    Confirmed(Millis),
    /// A write is stored.
    Written(u64),
    /// An answer to a question for advice.
    Advised(StepId, Option<Advice>),
    /// The list of machines, if it could be read.
    Machines(Option<Vec<Machine>>),
    /// An answer to an order to take a machine down: wave, machine, answer.
    Maintenance(u64, Arc<str>, UpkeepAnswer),
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
    pub(crate) async fn request(self, request: Ask) -> RequestReply {
        let (reply, answer) = oneshot::channel();
        self.send(OwnerEvent::Request(request, reply));
        drop(self);
        // The owner may have stored what was asked before it ended.
        answer
            .await
            .map_or(RequestReply::Lost, RequestReply::Answered)
    }
}

/// Session of an agent.
#[derive(Debug, Default)]
struct Session {
    orders: VecDeque<NumberedOrder>,
    last_order: u64,
    acknowledged_end: u64,
    notified_end: u64,
    pending_report: Option<PendingReport>,
}

#[derive(Debug)]
struct PendingReport {
    reply: oneshot::Sender<ReportReply>,
    is_lease_renewed: bool,
    reply_at: Millis,
}

struct Driver {
    epoch: u64,
    owner: Owner,
    writes: UnboundedSender<(u64, Vec<Record>)>,
    /// Records for operators.
    statuses: UnboundedSender<RecordEntry>,
    sessions: HashMap<u64, Session>,
    pending_requests: HashMap<u64, oneshot::Sender<Answer>>,
    next_session: u64,
    next_tag: u64,
    services: Services,
    /// Way of answers back to the owner.
    events: WeakUnboundedSender<OwnerEvent>,
}

/// Starts the owner of an epoch.
pub(super) fn start(epoch: u64, ownership: Arc<Ownership>, services: Services) -> OwnerHandle {
    let (sender, inbox) = unbounded_channel();
    // The owner must not keep its own inbox open, or it would outlive its ownership.
    let weak_sender = sender.downgrade();
    let claimed = clocks::now();
    let mut writer = EpochWriter::new(services.store.clone(), JOBS_TOPIC, epoch);
    let events = weak_sender.clone();
    tokio::spawn(async move {
        let Some(stored) = writer.load().await else {
            return;
        };
        let options = OwnerOptions {
            epoch,
            claimed,
            day_start: clocks::boot_unix_ms(),
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
                let entries: Vec<RecordEntry> = entries.collect();
                if !writer.append(&entries).await {
                    return;
                }
                let Some(sender) = weak_sender.upgrade() else {
                    return;
                };
                let _ended = sender.send(OwnerEvent::Written(number));
            }
        });
        let (statuses, mut status_queue) = unbounded_channel::<RecordEntry>();
        let mut status_writer = EpochWriter::new(services.store.clone(), STATUS_TOPIC, epoch);
        tokio::spawn(async move {
            while let Some(record) = status_queue.recv().await {
                if !status_writer.append(&[record]).await {
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
            pending_requests: HashMap::new(),
            next_session: epoch << SESSION_BITS,
            next_tag: 0,
            services,
            events,
        };
        driver.run(inbox, &ownership).await;
        log::info!(epoch = epoch; "owner ended");
    });
    OwnerHandle(sender)
}

impl Driver {
    async fn run(mut self, mut inbox: UnboundedReceiver<OwnerEvent>, ownership: &Ownership) {
        let mut policy = ownership.policy.subscribe();
        policy.mark_changed();
        loop {
            let wait = self.time_to_tick();
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
                Input::TimeOfDay(clocks::boot_unix_ms()),
            ];
            let mut waiting = Vec::new();
            let mut next = first;
            while let Some(event) = next {
                self.handle_event(event, &mut inputs, &mut waiting);
                next = inbox.try_recv().ok();
            }
            self.tick(inputs, waiting);
        }
    }

    /// Returns a reply without orders. Without a session the agent has to open another one.
    fn plain_reply(&self, session: Option<u64>) -> ReportReply {
        ReportReply {
            is_owner: true,
            epoch: self.epoch,
            session,
            ..ReportReply::default()
        }
    }

    /// Returns the time until the next tick.
    fn time_to_tick(&self) -> Millis {
        let now = clocks::now();
        match self.owner.due() {
            Some(due) => due.since(now).min(TICK_INTERVAL),
            None => TICK_INTERVAL,
        }
    }

    fn tick(&mut self, inputs: Vec<Input>, waiting: Vec<(u64, oneshot::Sender<ReportReply>)>) {
        let (now, began) = (clocks::now(), Instant::now());
        for output in self.owner.tick(now, inputs) {
            self.execute(output);
        }
        metrics().record_call("tick", "ok", began.elapsed());
        metrics().set_gauge("jobs", self.owner.open_jobs() as u64);
        metrics().set_gauge("workers", self.sessions.len() as u64);
        for (session, reply) in waiting {
            let is_lease_renewed = self.owner.grant(now, session);
            match self.sessions.get_mut(&session) {
                Some(entry) => {
                    let pending_report = PendingReport {
                        reply,
                        is_lease_renewed,
                        reply_at: now + ORDERS_WAIT,
                    };
                    if let Some(previous) = entry.pending_report.replace(pending_report) {
                        entry.send_reply(session, previous);
                    }
                }
                None => send(reply, self.plain_reply(None)),
            }
        }
        for (&session, entry) in &mut self.sessions {
            let has_news = !entry.orders.is_empty() || entry.acknowledged_end > entry.notified_end;
            let is_due = entry
                .pending_report
                .as_ref()
                .is_some_and(|p| has_news || now >= p.reply_at);
            if is_due && let Some(pending_report) = entry.pending_report.take() {
                entry.send_reply(session, pending_report);
            }
        }
    }

    fn handle_event(
        &mut self,
        event: OwnerEvent,
        inputs: &mut Vec<Input>,
        waiting: &mut Vec<(u64, oneshot::Sender<ReportReply>)>,
    ) {
        match event {
            OwnerEvent::Confirmed(at) => inputs.push(Input::Proved(at)),
            OwnerEvent::Written(number) => inputs.push(Input::Written(number)),
            OwnerEvent::Machines(machines) => inputs.push(Input::Machines(machines)),
            OwnerEvent::Maintenance(wave, machine, answer) => inputs.push(Input::Upkeep {
                wave,
                machine,
                answer,
            }),
            OwnerEvent::Advised(step, advice) => inputs.push(Input::Advised { step, advice }),
            OwnerEvent::Request(request, reply) => {
                self.next_tag += 1;
                self.pending_requests.insert(self.next_tag, reply);
                inputs.push(Input::Ask(self.next_tag, request));
            }
            OwnerEvent::Report(request, reply) => {
                self.handle_report(request, reply, inputs, waiting);
            }
        }
    }

    fn handle_report(
        &mut self,
        request: ReportRequest,
        reply: oneshot::Sender<ReportReply>,
        inputs: &mut Vec<Input>,
        waiting: &mut Vec<(u64, oneshot::Sender<ReportReply>)>,
    ) {
        let ReportRequest {
            session,
            worker,
            applied_order,
            report,
        } = request;
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
            .is_some_and(|order| order.number <= applied_order)
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
    fn call_service(&self, call: impl Future<Output = OwnerEvent> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = call.await;
            if let Some(events) = events.upgrade() {
                // The owner may have ended meanwhile.
                let _ended = events.send(event);
            }
        });
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::ListMachines => self.call_service(self.services.clone().list_machines()),
            Output::Upkeep { wave, machine } => {
                let services = self.services.clone();
                self.call_service(services.order_maintenance(self.epoch, wave, machine));
            }
            Output::WaveStatus { wave, is_complete } => {
                // Fails only after a later owner has written, which ends this one.
                let _ended = self.statuses.send(wave_status_record(wave, is_complete));
            }
            Output::Advise { step, workers } => {
                self.call_service(self.services.clone().advise(step, workers));
            }
            Output::Note(text) => log::info!("{text}"),
            Output::Write { number, records } => {
                // Fails only after a later owner has written, which ends this one.
                let _ended = self.writes.send((number, records));
            }
            Output::Answer(tag, answer) => {
                if let Some(reply) = self.pending_requests.remove(&tag) {
                    // The caller may have gone.
                    let _closed = reply.send(answer);
                }
            }
            Output::Orders { session, orders } => {
                if let Some(entry) = self.sessions.get_mut(&session) {
                    entry.push(orders);
                }
            }
            Output::Acknowledge { session, number } => {
                if let Some(entry) = self.sessions.get_mut(&session) {
                    entry.acknowledged_end = number;
                }
            }
            Output::Close(session) => {
                let pending_report = self
                    .sessions
                    .remove(&session)
                    .and_then(|entry| entry.pending_report);
                if let Some(pending_report) = pending_report {
                    send(pending_report.reply, self.plain_reply(None));
                }
            }
        }
    }
}

impl Session {
    fn push(&mut self, orders: Vec<Order>) {
        for order in orders {
            self.last_order += 1;
            self.orders.push_back(NumberedOrder {
                number: self.last_order,
                order,
            });
        }
    }

    fn send_reply(&mut self, session: u64, pending_report: PendingReport) {
        self.notified_end = self.acknowledged_end;
        let reply = ReportReply {
            is_owner: true,
            epoch: session >> SESSION_BITS,
            session: Some(session),
            is_lease_renewed: pending_report.is_lease_renewed,
            orders: self.orders.iter().cloned().collect(),
            acknowledged_end: self.acknowledged_end,
        };
        send(pending_report.reply, reply);
    }
}

/// Answers an agent, which may have gone.
fn send(sender: oneshot::Sender<ReportReply>, reply: ReportReply) {
    let _closed = sender.send(reply);
}
