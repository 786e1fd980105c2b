//! Workers of the model, as their published protocol specifies them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, Refusal, Resources, RunEnd, RunId, RunStatus, TaskId, WorkerInfo, WorkerState,
};
use hyssop_platform::UnreadableRow;
use rand::Rng;

use crate::judges::Sent;

use super::calls::{Call, Order, Outcome};
use super::{Event, Model};

/// Largest number of ends in one response.
const MAX_LISTED_ENDS: usize = 500;
/// Maximum time that a worker takes to stop a run.
const MAX_STOP_MS: u64 = 200;
/// Maximum time until a confirmed speed is in force.
pub(super) const MAX_SPEED_DELAY_MS: u64 = 100;
/// Wall-clock time at which the simulated time is 0.
pub(crate) const CLOCK_ORIGIN: u64 = 1_000_000;

/// Tail latency that service tasks must stay below.
pub(crate) const LATENCY_TARGET: Millis = Millis(100);
/// Processors that a best-effort run uses, in thousandths of a core.
pub(crate) const BEST_EFFORT_CPU: u64 = 1_000;
/// Time for which the tail latency of a worker's service tasks stays the same.
const LATENCY_PERIOD_MS: u64 = 1_500;

/// How a worker treats acknowledged ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckRule {
    /// It drops the ends up to the acknowledged number when a call arrives.
    DropAtCall,
    /// It never lists an end whose number is not above the highest acknowledged one.
    HighWater,
}

/// Run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct ModelRun {
    pub(crate) reserved: Resources,
    started_at: u64,
    duration_ms: u64,
    is_stopping: bool,
    /// Whether the run makes no progress, because its speed is 0.
    is_paused: bool,
    /// Whether the run lasts until it is stopped, and reports its tail latency.
    is_service: bool,
    is_best_effort: bool,
}

/// Probe that waits for an end.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: u64,
    responds: bool,
}

/// One incarnation of a worker.
#[derive(Debug)]
pub(crate) struct ModelWorker {
    pub(crate) host: usize,
    pub(crate) info: WorkerInfo,
    pub(crate) is_alive: bool,
    pub(crate) runs: BTreeMap<RunId, ModelRun>,
    born_at: u64,
    /// Rate of the clock in thousandths of real time.
    clock_rate: u64,
    token: u64,
    lease_end: u64,
    is_leased: bool,
    highest_runs: BTreeMap<TaskId, u64>,
    ends: Vec<RunEnd>,
    end_count: u64,
    acknowledged: u64,
    waiting: Vec<Waiting>,
    pub(super) heartbeats: u64,
}

impl ModelWorker {
    pub(super) fn new(host: usize, info: WorkerInfo, now: u64, clock_rate: u64) -> Self {
        Self {
            host,
            info,
            is_alive: true,
            runs: BTreeMap::new(),
            born_at: now,
            clock_rate,
            token: 0,
            lease_end: 0,
            is_leased: false,
            highest_runs: BTreeMap::new(),
            ends: Vec::new(),
            end_count: 0,
            acknowledged: 0,
            waiting: Vec::new(),
            heartbeats: 0,
        }
    }

    fn clock(&self, now: u64) -> u64 {
        (now - self.born_at) * self.clock_rate / 1_000
    }

    /// Returns the simulated time at which the worker's clock reads a value.
    fn time_of(&self, clock: u64) -> u64 {
        self.born_at + (clock * 1_000).div_ceil(self.clock_rate)
    }

    fn free(&self) -> Resources {
        let runs = self.runs.values();
        runs.fold(self.info.capacity, |free, run| free.minus(&run.reserved))
    }

    /// Returns the tail latency of a service run, or the processors that a best-effort run uses. Beside
    /// best-effort runs, the latency exceeds its target in some of the periods.
    fn measurement(&self, now: u64, state: &ModelRun) -> u64 {
        if state.is_best_effort {
            return BEST_EFFORT_CPU;
        }
        let is_disturbed = self.runs.values().any(|other| other.is_best_effort);
        let period = (self.host, now / LATENCY_PERIOD_MS);
        let is_late = is_disturbed && hash(&period).is_multiple_of(4);
        match (state.is_service, is_late) {
            (true, true) => 2 * LATENCY_TARGET.0,
            (true, false) => LATENCY_TARGET.0 / 4,
            (false, _) => 0,
        }
    }

    fn statuses(&self, now: u64) -> Vec<RunStatus> {
        let done = |state: &ModelRun| match state.is_service {
            true => 100,
            false => ((now - state.started_at) * 99 / state.duration_ms.max(1)).min(99) as u32,
        };
        let status = |(&run, state): (&RunId, &ModelRun)| RunStatus {
            run,
            checkpoint: None,
            percent_done: done(state),
            measurement: self.measurement(now, state),
        };
        self.runs.iter().map(status).collect()
    }
}

impl Model {
    /// Executes a call on a worker and sends the response if `responds`.
    pub(super) fn execute_call(&mut self, index: usize, id: u64, call: &Call, responds: bool) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if worker.info.id != call.info.id {
            return self.respond(id, responds, Outcome::Misdirected);
        }
        let is_other = worker.info.incarnation != call.info.incarnation;
        if is_other {
            let text = format!(
                "{} of session {} meant for incarnation {} arrives, sent at {}",
                call.order, call.session, call.info.incarnation, call.sent_at
            );
            self.judge.note(now, index, call.order.task(), text);
        } else if now > call.sent_at + 1_500 {
            let text = format!("late {} sent at {}", call.order, call.sent_at);
            self.judge.note(now, index, call.order.task(), text);
        }
        let worker = &mut self.workers[index];
        if call.session < worker.token {
            return self.respond(id, responds, Outcome::Fenced);
        }
        if call.session > worker.token {
            let text = format!("first call of session {}: {}", call.session, call.order);
            self.judge.note(now, index, None, text);
        }
        worker.token = call.session;
        match &call.order {
            Order::Probe {
                lease,
                acknowledged,
                wait,
            } => {
                let (lease, acknowledged, wait) = (*lease, *acknowledged, *wait);
                if let Some(lease) = lease {
                    self.extend_lease(index, lease.0);
                }
                self.acknowledge(index, acknowledged);
                let has_ends = !self.workers[index].ends.is_empty();
                if has_ends || wait == Millis(0) {
                    self.respond_probe(index, id, responds);
                } else {
                    let waiting = Waiting { call: id, responds };
                    self.workers[index].waiting.push(waiting);
                    self.schedule(wait.0, Event::ProbeDue(index, id));
                }
            }
            Order::Start(start, _) if self.rng.random_bool(self.rates.refused) => {
                let outcome = match self.rng.random_bool(0.5) {
                    true => Outcome::Started(Err(Refusal::NoRoom)),
                    false => Outcome::Busy,
                };
                let text = format!("start of {} refused: {outcome:?}", start.run);
                self.judge.note(now, index, Some(start.run.task), text);
                self.respond(id, responds, outcome);
            }
            Order::Start(start, lease) => {
                let outcome = self.start_run(index, start.run, lease.0, call);
                if let Outcome::Started(Err(refusal)) = outcome {
                    let text = format!("start of {} refused: {refusal:?}", start.run);
                    self.judge.note(now, index, Some(start.run.task), text);
                }
                self.respond(id, responds, outcome);
            }
            Order::Inspect => self.respond_probe(index, id, responds),
            Order::Stop(run) | Order::EndRun(run) => {
                let text = format!("stop of {run} received");
                self.judge.note(now, index, Some(run.task), text);
                let highest = worker.highest_runs.entry(run.task).or_default();
                *highest = run.run.max(*highest);
                let delay = match worker.runs.get_mut(run) {
                    Some(state) => {
                        state.is_stopping = true;
                        self.rng.random_range(0..=MAX_STOP_MS)
                    }
                    None => 0,
                };
                self.schedule(delay, Event::RunStopped(index, *run));
                // The worker may respond before or after the run has ended.
                let response_delay = if self.rng.random_bool(0.5) { delay } else { 0 };
                self.schedule(
                    response_delay,
                    Event::Answer(id, responds, Outcome::Stopped),
                );
            }
            Order::Speed(run, 0) => {
                let delay = self.rng.random_range(0..=MAX_SPEED_DELAY_MS);
                self.schedule(delay, Event::RunPaused(index, *run));
                self.respond(id, responds, Outcome::SpeedSet);
            }
            Order::Speed(..) => self.respond(id, responds, Outcome::SpeedSet),
        }
    }

    fn extend_lease(&mut self, index: usize, lease_end: u64) {
        let now = self.now;
        let limit = self.options.max_lease_ms;
        let worker = &mut self.workers[index];
        let clock = worker.clock(now);
        worker.lease_end = worker.lease_end.max(lease_end.min(clock + limit));
        if worker.lease_end > clock {
            worker.is_leased = true;
            let at = worker.time_of(worker.lease_end);
            self.schedule(at.saturating_sub(now), Event::LeaseCheck(index));
        }
    }

    /// Kills all runs if the lease has ended.
    pub(super) fn check_lease(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if !worker.is_alive || !worker.is_leased || worker.clock(now) < worker.lease_end {
            return;
        }
        worker.is_leased = false;
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        self.judge.lapse(now, index);
        for run in runs {
            self.end_run(index, run, EndKind::LeaseExpired);
        }
    }

    fn acknowledge(&mut self, index: usize, number: u64) {
        let worker = &mut self.workers[index];
        worker.acknowledged = worker.acknowledged.max(number);
        worker.ends.retain(|end| end.number > number);
        self.judge.acknowledge(self.now, index, number);
    }

    fn start_run(&mut self, index: usize, run: RunId, lease_end: u64, call: &Call) -> Outcome {
        let now = self.now;
        let worker = &self.workers[index];
        if lease_end < worker.clock(now) {
            return Outcome::Started(Err(Refusal::Late));
        }
        self.extend_lease(index, lease_end);
        let worker = &self.workers[index];
        let clock = Millis(worker.clock(now));
        if worker.runs.contains_key(&run) {
            return Outcome::Started(Ok(clock));
        }
        let highest = worker.highest_runs.get(&run.task).copied().unwrap_or(0);
        if run.run <= highest {
            return Outcome::Started(Err(Refusal::Old));
        }
        let Some(step) = self.jobs[&run.task.job].step(run.task) else {
            return Outcome::Started(Err(Refusal::Other));
        };
        let reserved = step.reserved();
        let (is_service, is_best_effort) = (step.is_service, step.is_best_effort);
        if !worker.free().covers(&reserved) {
            return Outcome::Started(Err(Refusal::NoRoom));
        }
        let (duration_ms, kind) = self.draw_run();
        let worker = &mut self.workers[index];
        worker.highest_runs.insert(run.task, run.run);
        let state = ModelRun {
            reserved,
            started_at: now,
            duration_ms,
            is_stopping: false,
            is_paused: false,
            is_service,
            is_best_effort,
        };
        worker.runs.insert(run, state);
        let sent = Sent {
            at: call.sent_at,
            is_to_other: call.info.incarnation != worker.info.incarnation,
            session: call.session,
        };
        self.judge.start(now, index, run, sent);
        if !is_service {
            self.schedule(duration_ms, Event::RunEnds(index, run, kind));
        }
        Outcome::Started(Ok(clock))
    }

    /// Draws the duration of a run and how it ends. Some runs hang for long.
    fn draw_run(&mut self) -> (u64, EndKind) {
        let (least, most) = self.options.run_ms;
        let duration = match self.rng.random_range(0..100) {
            0..3 => self.rng.random_range(5_000..12_000),
            _ => self.rng.random_range(least..most),
        };
        let kind = match self.rng.random_range(0..100) {
            number if number < self.options.failed_percent => EndKind::Failed,
            _ => EndKind::Done,
        };
        (duration, kind)
    }

    pub(super) fn finish_run(&mut self, index: usize, run: RunId, kind: EndKind) {
        let state = self.workers[index].runs.get(&run);
        if state.is_some_and(|state| !state.is_stopping && !state.is_paused) {
            self.end_run(index, run, kind);
        }
    }

    /// Pauses a run for good: owners set no other speed after 0.
    pub(super) fn pause_run(&mut self, index: usize, run: RunId) {
        if let Some(state) = self.workers[index].runs.get_mut(&run) {
            state.is_paused = true;
        }
    }

    pub(super) fn end_run(&mut self, index: usize, run: RunId, kind: EndKind) {
        let rule = self.options.ack_rule;
        let worker = &mut self.workers[index];
        if !worker.is_alive || worker.runs.remove(&run).is_none() {
            return;
        }
        worker.end_count += 1;
        let number = worker.end_count;
        let is_hidden = rule == AckRule::HighWater && number <= worker.acknowledged;
        if !is_hidden {
            worker.ends.push(RunEnd {
                number,
                run,
                kind,
                checkpoint: None,
            });
        }
        self.judge
            .end(self.now, index, run, kind, number, is_hidden);
        if self.is_row_odd(index, (1, run)) {
            self.judge.hide_row(self.now, index, run, number);
        }
        if !is_hidden {
            let waiting = std::mem::take(&mut self.workers[index].waiting);
            for Waiting { call, responds } in waiting {
                self.respond_probe(index, call, responds);
            }
        }
    }

    pub(super) fn on_probe_due(&mut self, index: usize, call: u64) {
        let waiting = &mut self.workers[index].waiting;
        let position = waiting.iter().position(|waiting| waiting.call == call);
        if let Some(position) = position {
            let Waiting { call, responds } = waiting.remove(position);
            self.respond_probe(index, call, responds);
        }
    }

    fn respond_probe(&mut self, index: usize, call: u64, responds: bool) {
        let (mut running, mut ended, mut unreadable) = (Vec::new(), Vec::new(), Vec::new());
        for status in self.workers[index].statuses(self.now) {
            match self.is_run_odd(index, status.run) {
                true => unreadable.push(UnreadableRow {
                    id: hash(&(0, status.run)),
                    end_before: None,
                }),
                false => running.push(status),
            }
        }
        let worker = &self.workers[index];
        let has_odd_row = self.options.odd_rows > 0.0 && worker.host.is_multiple_of(2);
        if has_odd_row {
            let rows = [(1, None), (2, Some(0))];
            let rows = rows.map(|(id, end_before)| UnreadableRow { id, end_before });
            unreadable.extend(rows);
        }
        let odd_ends = usize::from(has_odd_row);
        for end in worker.ends.iter().take(MAX_LISTED_ENDS - odd_ends) {
            match self.is_row_odd(index, (1, end.run)) {
                true => unreadable.push(UnreadableRow {
                    id: hash(&(1, end.run)),
                    end_before: Some(ended.last().map_or(0, |end: &RunEnd| end.number)),
                }),
                false => ended.push(end.clone()),
            }
        }
        let outcome = Outcome::Probed {
            clock: Millis(worker.clock(self.now)),
            incarnation: worker.info.incarnation,
            running,
            ended,
            unreadable,
        };
        self.respond(call, responds, outcome);
    }

    /// Returns whether a row of a worker's lists is unreadable for good.
    fn is_row_odd(&self, index: usize, row: (u8, RunId)) -> bool {
        (hash(&(index, row)) % 1_000_000) as f64 <= self.options.odd_rows * 1e6 - 1.0
    }

    /// Returns whether the row of a run is unreadable in one response.
    fn is_run_odd(&mut self, index: usize, run: RunId) -> bool {
        let rate = self.options.odd_rows;
        self.is_row_odd(index, (0, run)) || rate > 0.0 && self.rng.random_bool(rate)
    }

    /// Ends the process of a host's worker. Its calls in flight are reset, or get no response if the
    /// crash is silent.
    pub(crate) fn crash(&mut self, host: usize, is_silent: bool) {
        let Some(index) = self.hosts[host].worker.take() else {
            return;
        };
        self.hosts[host].is_silent = is_silent;
        let worker = &mut self.workers[index];
        worker.is_alive = false;
        worker.runs.clear();
        let waiting = std::mem::take(&mut worker.waiting);
        self.judge.crash(self.now, index, is_silent);
        for Waiting { call, responds } in waiting {
            self.respond(call, responds && !is_silent, Outcome::NoResponse);
        }
    }

    /// Starts a worker process on a host, under this identifier.
    pub(crate) fn start_worker(&mut self, host: usize, id: Arc<str>) {
        let now = self.now;
        let info = WorkerInfo {
            id,
            incarnation: CLOCK_ORIGIN + now,
            address: host_address(host),
            service: "planner".into(),
            domain: "bergen-a".into(),
            labels: vec!["r1".into()],
            capacity: Resources {
                cpu: 16_000,
                mem: 64_000,
                gpu: 0,
            },
            state: WorkerState::Ready,
        };
        let rate = self.rng.random_range(980..=1_000);
        let index = self.workers.len();
        self.judge.add_worker(now, index, host, &info);
        self.workers.push(ModelWorker::new(host, info, now, rate));
        self.hosts[host].worker = Some(index);
        self.hosts[host].is_silent = false;
        // Most workers send the first heartbeat at once.
        let wait = match self.rng.random_bool(0.3) {
            true => self.rng.random_range(0..1_500),
            false => 0,
        };
        self.schedule(wait, Event::Heartbeat(index));
    }
}

pub(crate) fn host_address(host: usize) -> Arc<str> {
    format!("10.0.0.{host}:8080").into()
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
