//! Maintenance waves. Each machine of a wave goes down once, a few at a time, after its worker has
//! been vacated as far as possible.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

use crate::accounts::LossCause;
use crate::io::{Machine, MachineState, MaintenanceReply, Output};
use crate::limits::{MACHINE_LIST_INTERVAL, MAINTENANCE_RETRY_DELAY, VACATE_TIMEOUT};
use crate::owners::Owner;
use crate::records::{Key, Record};
use crate::workers::Worker;
use crate::{RunId, StepId};

/// Maintenance wave as configured by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Names of the machines to take down, in this order.
    pub machines: Vec<Arc<str>>,
    /// Maximum number of machines of the wave that may be down at once.
    pub max_down: u32,
}

/// Stored state of a maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Machines whose maintenance has begun. They are not taken down again.
    #[serde(rename = "begun")]
    pub started: BTreeSet<Arc<str>>,
}

/// Retry time of an order that has no reply yet.
const NO_RETRY: Millis = Millis(u64::MAX);

/// State of a machine that a wave is working on.
#[derive(Clone, Debug)]
enum Phase {
    /// The worker gets no new tasks, and tasks that can move are stopped to restart elsewhere.
    Vacating { worker: Arc<str>, since: Millis },
    /// The order was sent. It is repeated at `retry_at` if the reply allows that.
    Ordered { worker: Arc<str>, retry_at: Millis },
    /// The machine is down until it is listed with another worker.
    Down { worker: Arc<str> },
}

/// Progress of one maintenance wave.
#[derive(Debug, Default)]
struct WaveProgress {
    record: WaveRecord,
    active: BTreeMap<Arc<str>, Phase>,
    /// Machines that do not exist or do not belong to the wave, as the platform replied.
    excluded: BTreeSet<Arc<str>>,
    /// Whether the last status for operators said complete, or none if there was none yet.
    reported_status: Option<bool>,
}

/// Progress of all maintenance waves, and the last known machines.
#[derive(Debug, Default)]
pub(crate) struct WaveTable {
    progress: BTreeMap<u64, WaveProgress>,
    machines: BTreeMap<Arc<str>, Machine>,
    /// When the list of machines was last requested, and whether the reply has arrived.
    last_list: Option<(Millis, bool)>,
}

impl WaveTable {
    /// Restores the state that an earlier owner stored.
    pub(crate) fn restore(&mut self, wave: u64, record: WaveRecord) {
        self.progress.entry(wave).or_default().record = record;
    }
}

impl Owner {
    /// Applies the list of machines, or none if it could not be read.
    pub(crate) fn update_machines(&mut self, machines: Option<Vec<Machine>>) {
        if let Some((_, is_received)) = &mut self.waves.last_list {
            *is_received = true;
        }
        if let Some(machines) = machines {
            let named = machines.into_iter().map(|m| (Arc::clone(&m.name), m));
            self.waves.machines = named.collect();
        }
    }

    /// Applies the reply to a maintenance order.
    pub(crate) fn handle_maintenance_reply(
        &mut self,
        wave: u64,
        machine: &Arc<str>,
        reply: MaintenanceReply,
    ) {
        let now = self.now;
        self.log(format!("maintenance of {machine}, wave {wave}: {reply:?}"));
        let Some(progress) = self.waves.progress.get_mut(&wave) else {
            return;
        };
        let Some(Phase::Ordered { worker, retry_at }) = progress.active.get_mut(machine) else {
            return;
        };
        let worker = Arc::clone(worker);
        match reply {
            // The order may have been carried out. Repeating it is safe.
            MaintenanceReply::Unknown | MaintenanceReply::Busy => {
                *retry_at = now + MAINTENANCE_RETRY_DELAY;
            }
            MaintenanceReply::Begun => {
                let down = Phase::Down {
                    worker: Arc::clone(&worker),
                };
                progress.active.insert(Arc::clone(machine), down);
                progress.record.started.insert(Arc::clone(machine));
                let record = Record::put(Key::Wave(wave), &progress.record);
                self.writes.add(now, record, None);
                // The platform has ended all tasks on the machine.
                self.mark_worker_lost(&worker);
            }
            MaintenanceReply::Gone => {
                progress.active.remove(machine);
                progress.excluded.insert(Arc::clone(machine));
                self.set_vacating(&worker, false);
            }
        }
    }

    /// Advances all open maintenance waves.
    pub(crate) fn advance_waves(&mut self) {
        self.release_dropped_waves();
        if self.policy.waves.is_empty() || !self.is_ownership_confirmed(self.now) {
            return;
        }
        let policy = Arc::clone(&self.policy);
        let is_open = |wave: &&u64| {
            let progress = self.waves.progress.get(wave);
            progress.is_none_or(|progress| progress.reported_status != Some(true))
        };
        let open: Vec<u64> = policy.waves.keys().filter(is_open).copied().collect();
        if open.is_empty() {
            return;
        }
        self.list_machines();
        for number in open {
            self.advance_wave(number, &policy.waves[&number]);
        }
    }

    /// Releases workers that were vacated for waves which operators have removed. A worker whose
    /// order has no reply yet stays vacated, because the order may have been carried out.
    fn release_dropped_waves(&mut self) {
        let mut released = Vec::new();
        for (number, progress) in &mut self.waves.progress {
            if self.policy.waves.contains_key(number) {
                continue;
            }
            progress.active.retain(|_, phase| match phase {
                Phase::Ordered { retry_at, .. } if *retry_at == NO_RETRY => true,
                Phase::Vacating { worker, .. } | Phase::Ordered { worker, .. } => {
                    released.push(Arc::clone(worker));
                    false
                }
                Phase::Down { .. } => false,
            });
        }
        for worker in released {
            self.log(format!(
                "worker {worker} released: its maintenance wave was removed"
            ));
            self.set_vacating(&worker, false);
        }
    }

    /// Removes machines from the wave's active ones that are back, are no longer listed, or got
    /// another worker before they went down.
    fn refresh_machines(&mut self, number: u64) {
        let Some(progress) = self.waves.progress.get_mut(&number) else {
            return;
        };
        let machines = &self.waves.machines;
        let mut released = Vec::new();
        progress.active.retain(|name, phase| {
            let known = machines.get(name);
            match phase {
                Phase::Down { worker } => known.is_some_and(|m| !m.has_other(worker)),
                Phase::Vacating { worker, .. } => {
                    let is_same = known.is_some_and(|m| !m.has_other(worker));
                    if !is_same {
                        released.push(Arc::clone(worker));
                    }
                    is_same
                }
                Phase::Ordered { .. } => true,
            }
        });
        for worker in released {
            self.set_vacating(&worker, false);
        }
    }

    /// Requests the list of machines at regular intervals.
    fn list_machines(&mut self) {
        let now = self.now;
        let is_due = match self.waves.last_list {
            None => true,
            Some((at, is_received)) => is_received && now >= at + MACHINE_LIST_INTERVAL,
        };
        if is_due {
            self.waves.last_list = Some((now, false));
            self.outputs.push(Output::ListMachines);
        }
    }

    fn advance_wave(&mut self, number: u64, wave: &MaintenanceWave) {
        if self.waves.machines.is_empty() {
            return;
        }
        self.refresh_machines(number);
        let progress = self.waves.progress.entry(number).or_default();
        let machines = &self.waves.machines;
        let is_left = |name: &&Arc<str>| {
            let is_excluded = progress.excluded.contains(*name) || !machines.contains_key(*name);
            !is_excluded && !progress.record.started.contains(*name)
        };
        let left: Vec<Arc<str>> = wave.machines.iter().filter(is_left).cloned().collect();
        let is_over = left.is_empty();
        // An earlier owner may have taken these machines down.
        let others = wave.machines.iter().filter(|name| {
            let is_down = |m: &Machine| m.state == MachineState::InMaintenance;
            !progress.active.contains_key(*name) && machines.get(*name).is_some_and(is_down)
        });
        let max_down = (wave.max_down as usize).saturating_sub(others.count());
        if progress.reported_status.is_none()
            || (is_over && progress.reported_status == Some(false))
        {
            progress.reported_status = Some(is_over);
            self.outputs.push(Output::WaveStatus {
                wave: number,
                is_complete: is_over,
            });
        }
        for name in left {
            self.advance_machine(number, max_down, &name);
        }
    }

    fn advance_machine(&mut self, number: u64, max_down: usize, name: &Arc<str>) {
        let now = self.now;
        let Some(progress) = self.waves.progress.get_mut(&number) else {
            return;
        };
        match progress.active.get(name).cloned() {
            None => {
                let machine = self.waves.machines.get(name);
                let worker = machine.and_then(|machine| machine.worker.clone());
                let is_up = machine.is_some_and(|machine| machine.state == MachineState::Up);
                if let (true, Some(worker)) = (is_up, worker)
                    && progress.active.len() < max_down
                {
                    let phase = Phase::Vacating {
                        worker: Arc::clone(&worker),
                        since: now,
                    };
                    progress.active.insert(Arc::clone(name), phase);
                    self.set_vacating(&worker, true);
                }
            }
            Some(Phase::Vacating { worker, since }) => {
                if self.vacate(&worker, now >= since + VACATE_TIMEOUT) {
                    self.order_maintenance(number, name, worker);
                }
            }
            Some(Phase::Ordered { worker, retry_at }) if now >= retry_at => {
                self.order_maintenance(number, name, worker);
            }
            Some(Phase::Ordered { .. } | Phase::Down { .. }) => {}
        }
    }

    fn order_maintenance(&mut self, wave: u64, machine: &Arc<str>, worker: Arc<str>) {
        let Some(progress) = self.waves.progress.get_mut(&wave) else {
            return;
        };
        let retry_at = NO_RETRY;
        let phase = Phase::Ordered { worker, retry_at };
        progress.active.insert(Arc::clone(machine), phase);
        self.outputs.push(Output::StartMaintenance {
            wave,
            machine: Arc::clone(machine),
        });
    }

    fn set_vacating(&mut self, id: &Arc<str>, is_vacating: bool) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_vacating = is_vacating;
        }
    }

    /// Stops the tasks of a worker that can move. Returns whether its machine may go down: no task
    /// there must keep running, and, before the timeout, none is about to end by itself.
    fn vacate(&mut self, id: &Arc<str>, is_wait_over: bool) -> bool {
        // An earlier owner may have started tasks on the worker.
        if self.unconfirmed_workers.contains(id) {
            return false;
        }
        let Some(worker) = self.workers.get(id) else {
            // The machine may have got another worker since the machines were listed.
            return is_wait_over;
        };
        if worker.session.is_some() && !worker.has_reported {
            return false;
        }
        let runs = worker
            .runs
            .iter()
            .filter(|(_, run_entry)| !run_entry.is_stopping);
        let runs: Vec<(RunId, bool, bool)> = runs
            .map(|(&run, run_entry)| (run, run_entry.is_service, run_entry.has_checkpoints))
            .collect();
        let mut must_stay = false;
        let mut may_end = worker.runs.values().any(|run_entry| run_entry.is_stopping);
        let mut stopped = Vec::new();
        for (run, is_service, has_checkpoints) in runs {
            let step = run.task.of_step();
            let limit = self.max_unavailable(step);
            if is_service {
                let before = stopped
                    .iter()
                    .filter(|&&s: &&RunId| s.task.of_step() == step);
                let unavailable_count = self.unavailable_count(step) + before.count() as u32;
                if limit.is_some_and(|limit| unavailable_count >= limit) {
                    must_stay = true;
                    continue;
                }
                stopped.push(run);
            } else if has_checkpoints {
                stopped.push(run);
            } else {
                may_end = true;
            }
        }
        let has_stopped = !stopped.is_empty();
        for run in stopped {
            self.stop_run(id, run, LossCause::Stopped);
        }
        !must_stay && !has_stopped && (!may_end || is_wait_over)
    }

    /// Returns the limit on unavailable tasks of a service step, if it has one.
    fn max_unavailable(&self, step: StepId) -> Option<u32> {
        let job = self.jobs.get(step.job)?;
        job.spec.steps.get(usize::from(step.step))?.max_unavailable
    }

    /// Returns the number of tasks of a service step that are not active.
    fn unavailable_count(&self, step: StepId) -> u32 {
        let Some(job) = self.jobs.get(step.job) else {
            return 0;
        };
        let Some(step_state) = job.step(step.task(0)) else {
            return 0;
        };
        let is_active_run = |(worker, run): &(Arc<str>, RunId)| {
            let run_entry = self
                .workers
                .get(worker)
                .and_then(|w: &Worker| w.runs.get(run));
            run_entry.is_some_and(|run_entry| run_entry.is_active && !run_entry.is_stopping)
        };
        let runs = job.assigned_step_runs(step.occurrence, step.step);
        let active_count = runs.iter().filter(|run| is_active_run(run)).count();
        (step_state.tasks.len() - active_count) as u32
    }
}
