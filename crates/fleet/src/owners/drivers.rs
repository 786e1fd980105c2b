//! Driver of the owner's core: feeds it events and executes its decisions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{
    AdviceReply, AdviceStatus, CallerRequest, CallerResponse, Input, Key, Machine,
    MaintenanceReply, Order, Output, Owner, OwnerOptions, Record, Refusal, Report, RunId, Start,
};
use hyssop_platform::{RECORD_HEAD_BYTES, STATUS_TOPIC, wave_status_record};
use tokio::sync::mpsc::{
    UnboundedReceiver, UnboundedSender, WeakUnboundedSender, unbounded_channel,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::JOBS_TOPIC;
use super::batches;
use super::ownerships::Ownership;
use super::services::Services;
use super::writers::{Append, EpochWriter, KeyedRecord};
use crate::clocks;
use crate::messages::{ReportReply, ReportRequest, RequestReply};
use crate::metrics::metrics;
use crate::order_queues::OrderQueue;

/// Maximum time that a report waits for orders. It is also the interval at which leases are
/// renewed.
const MAX_ORDERS_WAIT: Millis = Millis(400);
/// Maximum interval between ticks of the core.
const TICK_INTERVAL: Millis = Millis(50);
/// Bits of a session number below the epoch. They limit how many sessions one owner can open.
const SESSION_BITS: u32 = 20;

/// Event for the owner in this process.
#[derive(Debug)]
pub(crate) enum OwnerEvent {
    /// Report of an agent, and the channel for the reply.
    Report(Box<ReportRequest>, oneshot::Sender<ReportReply>),
    /// Request of a caller, and the channel for the response.
    Request(CallerRequest, oneshot::Sender<CallerResponse>),
    /// The store confirmed the ownership with a call that was sent at this time.
    Confirmed(Millis),
    /// As [`OwnerEvent::Confirmed`], by a renewal.
    Renewed(Millis),
    /// The write with this number is over. Its records are stored, apart from those with the keys that
    /// the store has refused for good.
    Written(u64, Vec<Key>),
    /// Outcome of a request for advice, with its number.
    Advised(u64, AdviceReply),
    /// List of machines, none if the request failed.
    Machines(Option<Vec<Machine>>),
    /// Reply to a request to take a machine down: wave, machine, reply.
    Maintenance(u64, Arc<str>, MaintenanceReply),
}

/// Handle of the owner in this process. The owner ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub(crate) struct OwnerHandle(UnboundedSender<OwnerEvent>);

impl OwnerHandle {
    /// Sends an event. If the owner has ended, the reply channels in the event are closed.
    pub(crate) fn send(&self, event: OwnerEvent) {
        let _ended = self.0.send(event);
    }

    /// Sends a request to the owner and waits for the response. The handle is dropped before the
    /// wait, so that it does not keep an owner running that has lost the ownership.
    pub(crate) async fn request(self, request: CallerRequest) -> RequestReply {
        let (reply, response) = oneshot::channel();
        self.send(OwnerEvent::Request(request, reply));
        drop(self);
        // The owner may have stored the effect of the request before it ended.
        response
            .await
            .map_or(RequestReply::Lost, RequestReply::Answered)
    }
}

/// Session of an agent.
#[derive(Debug, Default)]
struct Session {
    /// Orders that the agent has not acknowledged.
    orders: OrderQueue,
    /// Number of the last end that the owner has stored.
    acknowledged_end: u64,
    /// Value of `acknowledged_end` that was last sent to the agent.
    notified_end: u64,
    pending_report: Option<PendingReport>,
}

/// Report whose reply is deferred until there are orders or other updates, or until `reply_at`.
#[derive(Debug)]
struct PendingReport {
    reply: oneshot::Sender<ReportReply>,
    is_lease_renewed: bool,
    reply_at: Millis,
}

/// Runs the owner's core for one epoch.
struct Driver {
    epoch: u64,
    owner: Owner,
    ownership: Arc<Ownership>,
    /// Queue of numbered writes to the topic of the jobs.
    writes: UnboundedSender<(u64, Vec<Record>)>,
    /// Queue of status records for operators.
    statuses: UnboundedSender<KeyedRecord>,
    sessions: HashMap<u64, Session>,
    /// Runs whose starts are too large for a message, with their sessions. The next tick takes them as
    /// refused.
    unsendable: Vec<(u64, RunId)>,
    /// Requests of callers that wait for a response, by number.
    pending_requests: HashMap<u64, oneshot::Sender<CallerResponse>>,
    next_session: u64,
    next_request_id: u64,
    services: Services,
    /// Channel back to this owner, for the outcomes of calls to services.
    events: WeakUnboundedSender<OwnerEvent>,
}

/// Starts the owner of an epoch: loads the stored jobs, then runs until its handles are dropped.
pub(super) fn start(epoch: u64, ownership: Arc<Ownership>, services: Services) -> OwnerHandle {
    let (sender, inbox) = unbounded_channel();
    // A strong sender here would keep the inbox open, and the owner would outlive its ownership.
    let weak = sender.downgrade();
    let acquired_at = clocks::now();
    let mut writer = EpochWriter::new(
        services.store.clone(),
        JOBS_TOPIC,
        epoch,
        services.append_rate,
    );
    let events = weak.clone();
    tokio::spawn(async move {
        let Some(stored) = writer.load().await else {
            return;
        };
        let options = OwnerOptions {
            epoch,
            acquired_at,
            clock_origin: clocks::boot_unix_ms(),
            max_lease: services.max_lease,
            max_record_bytes: services.max_record_bytes.saturating_sub(RECORD_HEAD_BYTES),
        };
        let (owner, errors) = Owner::new(clocks::now(), options, &stored);
        for error in errors {
            log::error!("stored record skipped: {error}");
        }
        log::info!(epoch = epoch, records = stored.len(); "owner loaded the jobs");
        let max_append_bytes = services.max_append_bytes;
        let (writes, mut queue) = unbounded_channel::<(u64, Vec<Record>)>();
        tokio::spawn(async move {
            while let Some((number, records)) = queue.recv().await {
                let stored = batches::store(&mut writer, records, max_append_bytes).await;
                let Some(refused) = stored else { return };
                let Some(sender) = weak.upgrade() else { return };
                let _ended = sender.send(OwnerEvent::Written(number, refused));
            }
        });
        let (statuses, mut status_queue) = unbounded_channel::<KeyedRecord>();
        let mut status_writer = EpochWriter::new(
            services.store.clone(),
            STATUS_TOPIC,
            epoch,
            services.append_rate,
        );
        tokio::spawn(async move {
            while let Some(record) = status_queue.recv().await {
                match status_writer.append(std::slice::from_ref(&record)).await {
                    Append::Stored => {}
                    Append::Fenced => return,
                    Append::Refused(status) => batches::note_refused("status", &record, status),
                }
            }
        });
        let driver = Driver {
            epoch,
            owner,
            ownership,
            writes,
            statuses,
            sessions: HashMap::new(),
            unsendable: Vec::new(),
            pending_requests: HashMap::new(),
            next_session: epoch << SESSION_BITS,
            next_request_id: 0,
            services,
            events,
        };
        driver.run(inbox).await;
        set_advice_metrics(AdviceStatus::default());
        log::info!(epoch = epoch; "owner ended");
    });
    OwnerHandle(sender)
}

impl Driver {
    async fn run(mut self, mut inbox: UnboundedReceiver<OwnerEvent>) {
        let mut policy = self.ownership.policy.subscribe();
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
                Input::ClockOrigin(clocks::boot_unix_ms()),
            ];
            inputs.extend(self.unsendable.drain(..).map(refused_input));
            let mut waiting_reports = Vec::new();
            let mut next = first;
            while let Some(event) = next {
                self.on_event(event, &mut inputs, &mut waiting_reports);
                next = inbox.try_recv().ok();
            }
            self.tick(inputs, waiting_reports);
        }
    }

    /// Returns a reply without orders. A reply without a session makes the agent open another one.
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
        match self.owner.next_write_at() {
            Some(due) => due.since(now).min(TICK_INTERVAL),
            None => TICK_INTERVAL,
        }
    }

    fn tick(
        &mut self,
        inputs: Vec<Input>,
        waiting_reports: Vec<(u64, oneshot::Sender<ReportReply>)>,
    ) {
        let (now, started_at) = (clocks::now(), Instant::now());
        for output in self.owner.tick(now, inputs) {
            self.execute(output);
        }
        metrics().record_call("tick", "ok", started_at.elapsed());
        metrics().set_gauge("jobs", self.owner.open_jobs() as u64);
        metrics().set_gauge("workers", self.sessions.len() as u64);
        metrics().set_gauge("stalled_jobs", self.owner.stalled_jobs() as u64);
        metrics().set_gauge("hiding_workers", self.owner.hiding_workers() as u64);
        metrics().set_gauge("unknown_ends", self.owner.unknown_ends() as u64);
        let late_start_wait = self.owner.longest_late_start_wait();
        metrics().set_gauge("late_start_wait_ms", late_start_wait.0);
        set_advice_metrics(self.owner.advice_status());
        for (session, reply) in waiting_reports {
            let is_lease_renewed = self.owner.renew_lease(now, session);
            match self.sessions.get_mut(&session) {
                Some(entry) => {
                    let pending_report = PendingReport {
                        reply,
                        is_lease_renewed,
                        reply_at: now + MAX_ORDERS_WAIT,
                    };
                    if let Some(previous) = entry.pending_report.replace(pending_report) {
                        entry.send_reply(session, previous);
                    }
                }
                None => send(reply, self.plain_reply(None)),
            }
        }
        for (&session, entry) in &mut self.sessions {
            let has_updates =
                !entry.orders.is_empty() || entry.acknowledged_end > entry.notified_end;
            let is_due = entry
                .pending_report
                .as_ref()
                .is_some_and(|p| has_updates || now >= p.reply_at);
            if is_due && let Some(pending_report) = entry.pending_report.take() {
                entry.send_reply(session, pending_report);
            }
        }
    }

    fn on_event(
        &mut self,
        event: OwnerEvent,
        inputs: &mut Vec<Input>,
        waiting_reports: &mut Vec<(u64, oneshot::Sender<ReportReply>)>,
    ) {
        match event {
            OwnerEvent::Confirmed(at) => inputs.push(Input::OwnershipConfirmed(at)),
            OwnerEvent::Renewed(at) => inputs.push(Input::OwnershipRenewed(at)),
            OwnerEvent::Written(number, refused) if refused.is_empty() => {
                inputs.push(Input::WriteCompleted(number));
            }
            OwnerEvent::Written(number, refused) => {
                inputs.push(Input::WriteRefused { number, refused });
            }
            OwnerEvent::Machines(machines) => inputs.push(Input::MachineList(machines)),
            OwnerEvent::Maintenance(wave, machine, reply) => inputs.push(Input::MaintenanceReply {
                wave,
                machine,
                reply,
            }),
            OwnerEvent::Advised(call, reply) => inputs.push(Input::AdviceReply { call, reply }),
            OwnerEvent::Request(request, reply) => {
                self.next_request_id += 1;
                self.pending_requests.insert(self.next_request_id, reply);
                inputs.push(Input::Request(self.next_request_id, request));
            }
            OwnerEvent::Report(request, reply) => {
                self.handle_report(*request, reply, inputs, waiting_reports);
            }
        }
    }

    fn handle_report(
        &mut self,
        request: ReportRequest,
        reply: oneshot::Sender<ReportReply>,
        inputs: &mut Vec<Input>,
        waiting_reports: &mut Vec<(u64, oneshot::Sender<ReportReply>)>,
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
        entry.orders.acknowledge(applied_order);
        if let Some(worker) = worker {
            inputs.push(Input::WorkerChanged {
                session: id,
                worker,
            });
        }
        inputs.push(Input::Report {
            session: id,
            report,
        });
        waiting_reports.push((id, reply));
    }

    /// Runs a call to a service in the background and sends its outcome to the owner.
    fn call_service(&self, call: impl Future<Output = OwnerEvent> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = call.await;
            if let Some(events) = events.upgrade() {
                // The owner may have ended in the meantime.
                let _ended = events.send(event);
            }
        });
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::ListMachines => self.call_service(self.services.clone().list_machines()),
            Output::StartMaintenance {
                wave,
                machine,
                proof,
            } => {
                let (services, epoch) = (self.services.clone(), self.epoch);
                let ownership = Arc::clone(&self.ownership);
                let permit = move || ownership.permit(epoch, proof);
                self.call_service(services.start_maintenance(permit, epoch, wave, machine));
            }
            Output::WaveStatus { wave, is_complete } => {
                // Fails only after a later owner has fenced this one.
                let _ended = self.statuses.send(wave_status_record(wave, is_complete));
            }
            Output::RequestAdvice {
                call,
                step,
                workers,
                timeout,
            } => {
                let services = self.services.clone();
                self.call_service(services.advise(call, step, workers, timeout));
            }
            Output::LostTime { queue, lost } => {
                for (cause, time) in lost {
                    metrics().count_lost(&queue, cause, time);
                }
            }
            Output::LateStartWait { cause, time } => {
                metrics().record_late_start_wait(cause.name(), time);
            }
            Output::CrashedRun { queue, is_given_up } => {
                metrics().count_crashed_run(&queue, is_given_up);
            }
            Output::Log(text) => log::info!("{text}"),
            Output::Write { number, records } => {
                // Fails only after a later owner has fenced this one.
                let _ended = self.writes.send((number, records));
            }
            Output::Response(request_id, response) => {
                if let Some(reply) = self.pending_requests.remove(&request_id) {
                    // The caller may no longer be waiting.
                    let _closed = reply.send(response);
                }
            }
            Output::Orders { session, orders } => {
                if let Some(entry) = self.sessions.get_mut(&session) {
                    let refused = entry.push(orders);
                    self.unsendable
                        .extend(refused.into_iter().map(|run| (session, run)));
                }
            }
            Output::Acknowledge { session, number } => {
                if let Some(entry) = self.sessions.get_mut(&session) {
                    entry.acknowledged_end = number;
                }
            }
            Output::CloseSession(session) => {
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
    /// Queues orders and returns the runs whose starts are too large for a message.
    fn push(&mut self, orders: Vec<Order>) -> Vec<RunId> {
        let mut refused = Vec::new();
        for order in orders {
            let Err(order) = self.orders.push(order) else {
                continue;
            };
            if let Order::Start(Start { run, .. }) | Order::Canary(Start { run, .. }) = *order {
                log::error!(run:% = run; "start refused: it exceeds the frame limit");
                refused.push(run);
            }
        }
        refused
    }

    fn send_reply(&mut self, session: u64, pending_report: PendingReport) {
        self.notified_end = self.acknowledged_end;
        let reply = ReportReply {
            is_owner: true,
            epoch: session >> SESSION_BITS,
            session: Some(session),
            is_lease_renewed: pending_report.is_lease_renewed,
            orders: self.orders.next_batch(),
            acknowledged_end: self.acknowledged_end,
        };
        send(pending_report.reply, reply);
    }
}

fn set_advice_metrics(advice: AdviceStatus) {
    metrics().set_gauge("advice_calls", advice.open_calls as u64);
    metrics().set_gauge("advice_call_ms", advice.call_time.0);
    metrics().set_gauge("advice_oldest_wait_ms", advice.oldest_wait.0);
}

/// Returns the input for a start that was not sent to its worker.
fn refused_input((session, run): (u64, RunId)) -> Input {
    let report = Report {
        refused: vec![(run, Refusal::Other)],
        ..Report::default()
    };
    Input::Report { session, report }
}

/// Replies to an agent, which may no longer be waiting.
fn send(sender: oneshot::Sender<ReportReply>, reply: ReportReply) {
    let _closed = sender.send(reply);
}
